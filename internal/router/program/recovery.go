package program

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"reachspread/balance"
	"reachspread/internal/router/management"
	"reachspread/internal/router/peering"
	"reachspread/internal/router/recovery"
	"reachspread/internal/router/snapshot"
)

// recoveryDriver runs the recovery of this router after a restart. The goroutine of runRecovery owns
// the decider.
type recoveryDriver struct {
	decider     *recovery.Decider
	start       time.Time // the origin of the decider's times, with a monotonic clock reading
	events      chan recovery.Event
	statusCalls chan chan recovery.Status

	stage         atomic.Int32
	excludedHosts atomic.Uint64 // the number of hosts excluded from the previous incarnation's list
}

// recoveryGate admits or rejects requests before the balancer sees them. It publishes which fraction
// of the requests of each class it admits.
type recoveryGate struct {
	gate              *recovery.Gate
	rejected          atomic.Uint64
	admittedFractions atomic.Pointer[map[string]float64] // the admitted fraction by class; nil while all requests are admitted
	reportedAt        time.Duration                      // when the fractions were last published
}

// fractionsInterval is the minimum time between two updates of the published fractions.
const fractionsInterval = 200 * time.Millisecond

// Step implements routing.Gate.
func (x *recoveryGate) Step(now time.Duration, events []balance.Event) ([]balance.Event, []balance.Action) {
	pass, answers := x.gate.Step(now, events)
	x.rejected.Add(uint64(len(answers)))
	if now >= x.reportedAt+fractionsInterval {
		x.reportedAt = now
		if x.gate.Warm(now) {
			x.admittedFractions.Store(nil)
		} else {
			fractions := x.gate.AdmittedFractions()
			x.admittedFractions.Store(&fractions)
		}
	}
	return pass, answers
}

const (
	maxQueuedMessages = 64                     // the maximum number of queued datagrams; more are dropped
	pollInterval      = 200 * time.Millisecond // the time between two polls of the state of the rest of the program
)

// prepareRecovery creates the decider from the state that the previous incarnation persisted. The
// argument broken describes the snapshot files that could not be read.
func (p *Program) prepareRecovery(before *snapshot.State, broken []string) (err error) {
	c := &recoveryDriver{start: time.Now(), events: make(chan recovery.Event, maxQueuedMessages), statusCalls: make(chan chan recovery.Status)}
	duties := p.cfg.set.Roles != nil
	name, boot := p.cfg.Name, uint32(0)
	if p.cfg.set.Fleet != nil {
		m := p.cfg.member()
		name, boot = m.Name, m.Boot
	}
	if c.decider, err = recovery.New(recovery.Config{Self: name, Boot: boot, Saved: before, Damaged: broken, Discovery: p.listSource(), HasRoles: duties,
		WarmUpTimeout: 2 * p.cfg.balance.SlowStartWindow}, 0); err != nil {
		return fmt.Errorf("recovery: %w", err)
	}
	p.recovery = c
	return nil
}

// receiveRecoveryMessage queues a datagram of the recovery protocol from another router. It does not
// block, and drops a datagram that it cannot decode.
func (p *Program) receiveRecoveryMessage(_ netip.AddrPort, data []byte) {
	if e, err := recovery.Decode(data); err == nil {
		p.recovery.post(e)
	}
}

// post queues an event for the decider, or drops it if the queue is full.
func (c *recoveryDriver) post(e recovery.Event) {
	select {
	case c.events <- e:
	default:
	}
}

// startRecovery starts the recovery and the writing of snapshots. It runs after the component peers
// has opened the socket for datagrams between routers. Without this socket, the recovery does not
// query other routers.
func (p *Program) startRecovery(work context.Context) error {
	if p.recovery == nil {
		return nil
	}
	p.suspendCopies(true)
	go p.writeSnapshots(work, p.cfg.set.Recovery.Folder)
	go p.runRecovery(work, p.recovery)
	return nil
}

// suspendCopies suspends the copying of requests to shadow pools and the capture, or resumes both.
// They are suspended during recovery, because live requests have priority.
func (p *Program) suspendCopies(on bool) {
	if p.mirror != nil {
		p.mirror.Suspend(on)
	}
	if p.capture != nil {
		p.capture.Suspend(on)
	}
}

// runRecovery owns the decider of the recovery until ctx ends. It passes events and the state of the
// rest of the program to the decider and carries out the decider's actions.
func (p *Program) runRecovery(ctx context.Context, c *recoveryDriver) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	polls := time.NewTicker(pollInterval)
	defer polls.Stop()
	var seen recoveryInputs
	for {
		var actions []recovery.Action
		step := func(e recovery.Event) { actions = append(actions, c.decider.Step(time.Since(c.start), e)...) }
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			step(e)
		case to := <-c.statusCalls:
			to <- c.decider.Status(time.Since(c.start))
			continue
		case <-timer.C:
			step(recovery.Tick{})
		case <-polls.C:
			p.pollRecoveryInputs(&seen, step)
		}
		for _, action := range actions {
			p.carryOutRecovery(c, &seen, action)
		}
		if next := c.decider.Next(); next != 0 {
			timer.Reset(max(next-time.Since(c.start), time.Millisecond))
		}
	}
}

// recoveryInputs records which state of the rest of the program the decider has already received.
type recoveryInputs struct {
	listChanges uint64 // the number of changes of the server list
	viewVersion uint64 // the version of the fleet view
	recovered   bool   // whether the last stage was entered
}

// pollRecoveryInputs passes the state of the rest of the program that has changed since the last
// poll to the decider.
func (p *Program) pollRecoveryInputs(seen *recoveryInputs, step func(recovery.Event)) {
	if version, serving, changes := p.snapshots.changedList(seen.listChanges); changes != seen.listChanges {
		seen.listChanges = changes
		step(recovery.ListReceived{Version: version, Serving: serving})
	}
	if !seen.recovered {
		_, listed := p.snapshots.hasList()
		step(recovery.HostsWarm{Warm: listed && p.snapshots.warmFraction(&p.inForce.Load().balance) >= recovery.NearlyWarm})
	}
	if l := p.snapshots.learned.Load(); l != nil {
		step(recovery.MeasureLearned{Measure: recovery.MeasureOf(l.mean)})
	}
	if p.roles != nil && !seen.recovered {
		s := p.roles.VoterStatus()
		step(recovery.VotersLed{Led: s != nil && s.Leader != "" || p.roles.HighestToken() > 0})
	}
	if p.view == nil {
		return
	}
	if v := p.view.Now(); v.Version != seen.viewVersion {
		seen.viewVersion = v.Version
		var routers []snapshot.Router
		for i := range v.Members {
			routers = append(routers, snapshot.Router{Name: v.Members[i].Name, Addr: v.Members[i].Addr.String()})
		}
		step(recovery.Membership{Routers: routers})
	}
}

// carryOutRecovery carries out one action of the decider.
func (p *Program) carryOutRecovery(c *recoveryDriver, seen *recoveryInputs, action recovery.Action) {
	switch a := action.(type) {
	case recovery.Announce:
		p.sendTo(a.To, a.Announcement.Encode())
	case recovery.UseSavedList:
		p.usePreviousList(a.Excluded)
	case recovery.ExcludeHosts:
		p.excludeHosts(a.Hosts)
	case recovery.SendQuery:
		p.sendTo(a.To, a.Query.Encode())
	case recovery.SendReply:
		p.sendTo([]snapshot.Router{a.To}, a.Reply.Encode())
	case recovery.AdoptMeasure:
		p.log.Info("host measure of another router adopted", "work", a.Measure.HostWork.Round(time.Millisecond), "mean_work", a.Measure.RequestWork.Round(time.Millisecond),
			"from", a.From, "known", a.Known)
		p.router.Restore(balance.Learned{CompletedWork: a.Measure.HostWork.Seconds(), MeanWork: a.Measure.RequestWork.Seconds()})
	case recovery.MeasureMissing:
		p.log.Info("no queried router has a host measure", "rounds", a.Rounds, "alive", a.Alive, "asked", joinNames(a.Asked), "answered", joinNames(a.Answered),
			"ended", a.Ended)
	case recovery.OutageClassified:
		p.log.Info("outage scope determined", "whose", a.Outage, "heard", a.Replied, "asked", a.Asked)
	case recovery.StageEntered:
		c.stage.Store(int32(a.Stage))
		if seen.recovered = a.Stage == recovery.Recovered; seen.recovered {
			p.suspendCopies(false)
		}
		p.log.Info("recovery stage entered", "stage", a.Stage, "after", a.After.Round(time.Millisecond), "why", a.Reason)
	}
}

// maxLoggedNames is the maximum number of routers that a field of a log line names.
const maxLoggedNames = 8

// joinNames returns names joined by commas, as the value of a field of a log line.
func joinNames(names []string) string {
	if len(names) > maxLoggedNames {
		return strings.Join(names[:maxLoggedNames], ",") + ",..."
	}
	return strings.Join(names, ",")
}

// sendTo sends a datagram to each of the routers. It sends nothing without a socket.
func (p *Program) sendTo(to []snapshot.Router, data []byte) {
	if p.gossip == nil {
		return
	}
	for _, r := range to {
		if at, err := netip.ParseAddrPort(r.Addr); err == nil {
			p.gossip.Send(at, data)
		}
	}
}

// hasList returns how often the server list has changed, and reports whether there is one, from
// discovery or from the configuration.
func (k *snapshotWriter) hasList() (changes uint64, listed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changes, k.list != nil
}

// changedList returns the version and the ready hosts of the list from discovery, and the number of
// its changes so far. If that number is still since, it returns no list.
func (k *snapshotWriter) changedList(since uint64) (version int64, serving []string, changes uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.list == nil || k.changes == since {
		return 0, nil, since
	}
	for id, e := range k.list {
		if e.State == "Ready" {
			serving = append(serving, id)
		}
	}
	return k.listVersion, serving, k.changes
}

// recoveryValues returns the metrics of the recovery, nil without a recovery.
func (p *Program) recoveryValues() *management.Recovery {
	if p.recovery == nil {
		return nil
	}
	return &management.Recovery{Stage: int(p.recovery.stage.Load()), WarmFraction: p.snapshots.warmFraction(&p.inForce.Load().balance), RejectedRequests: p.gate.rejected.Load(),
		Snapshots: p.snapshots.written.Load(), ExcludedHosts: p.recovery.excludedHosts.Load()}
}

// Recovery implements management.Router.
func (p *Program) Recovery() (lines []string, on bool) {
	if p.recovery == nil {
		return nil, false
	}
	to := make(chan recovery.Status, 1)
	select {
	case p.recovery.statusCalls <- to:
	case <-time.After(votersTimeout):
		return []string{"recovery stage=unknown"}, true
	}
	s := <-to
	underscored := func(s string) string { return field(strings.ReplaceAll(s, " ", "_")) }
	lines = append(lines, fmt.Sprintf("recovery stage=%s for_ms=%d up_ms=%d loss=%s heard=%d asked=%d waits=%s last_life=%v old_list=%v snapshots=%d", s.Stage, s.StageFor.Milliseconds(),
		s.Uptime.Milliseconds(), underscored(string(s.Outage)), s.Replied, s.Asked, underscored(s.AwaitedEvent), s.HasSaved, s.SavedListUsed, p.snapshots.written.Load()))
	admits := "all"
	if fractions := p.gate.admittedFractions.Load(); fractions != nil {
		var all []string
		for class, fraction := range *fractions {
			all = append(all, fmt.Sprintf("%s:%.2f", underscored(class), fraction))
		}
		slices.Sort(all)
		admits = strings.Join(all, ",")
	}
	lines = append(lines, fmt.Sprintf("admission warm=%.2f turned=%d admits=%s shunned=%d", p.snapshots.warmFraction(&p.inForce.Load().balance), p.gate.rejected.Load(), admits, p.recovery.excludedHosts.Load()))
	for _, w := range s.Damaged {
		lines = append(lines, "thrown why="+underscored(w))
	}
	return lines, true
}

// receiveRecoveryMessages registers the handler for datagrams of the recovery protocol.
func (p *Program) receiveRecoveryMessages(g *peering.Gossip) {
	p.gossip = g
	if p.recovery != nil {
		g.OnRecoveryDatagram(p.receiveRecoveryMessage)
	}
}
