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

// recoveryDriver drives how this router comes back: one goroutine owns the decider.
type recoveryDriver struct {
	decider     *recovery.Decider
	start       time.Time // with the monotonic clock
	events      chan recovery.Event
	statusCalls chan chan recovery.Status

	stage         atomic.Int32
	excludedHosts atomic.Uint64 // hosts of the previous incarnation's list
}

// recoveryGate admits requests before the decisions see them, and publishes what it admits.
type recoveryGate struct {
	gate              *recovery.Gate
	rejected          atomic.Uint64
	admittedFractions atomic.Pointer[map[string]float64] // admitted, by class; nil while all is
	reportedAt        time.Duration
}

// fractionsInterval is how old the published fractions may be.
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
	maxQueuedMessages = 64                     // beyond these, datagrams are dropped
	pollInterval      = 200 * time.Millisecond // between two polls of what the rest of the program knows
)

// prepareRecovery makes the decider from what the previous incarnation persisted.
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

// receiveRecoveryMessage takes a datagram of another router that comes back, or answers. It waits
// for nobody.
func (p *Program) receiveRecoveryMessage(_ netip.AddrPort, data []byte) {
	if e, err := recovery.Decode(data); err == nil {
		p.recovery.post(e)
	}
}

func (c *recoveryDriver) post(e recovery.Event) {
	select {
	case c.events <- e:
	default:
	}
}

// startRecovery starts the recovery and the writing of snapshots, once the socket is open over
// which other routers are queried; without one nobody is.
func (p *Program) startRecovery(work context.Context) error {
	if p.recovery == nil {
		return nil
	}
	p.suspendCopies(true)
	go p.writeSnapshots(work, p.cfg.set.Recovery.Folder)
	go p.runRecovery(work, p.recovery)
	return nil
}

// suspendCopies suspends copies to candidate pools and captures, or resumes them: what is not live
// service comes last.
func (p *Program) suspendCopies(on bool) {
	if p.mirror != nil {
		p.mirror.Suspend(on)
	}
	if p.capture != nil {
		p.capture.Suspend(on)
	}
}

// runRecovery owns the decider of the recovery until ctx ends: it feeds it with what the rest of
// the program knows and carries out what it decides.
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

// recoveryInputs is how much of what the rest of the program knows the decider has got already.
type recoveryInputs struct {
	listChanges uint64 // the count of changes of the server list
	viewVersion uint64 // of the fleet view
	recovered   bool   // the last stage was entered
}

// pollRecoveryInputs steps the decider with what the rest of the program has learnt since the last
// poll.
func (p *Program) pollRecoveryInputs(seen *recoveryInputs, step func(recovery.Event)) {
	if version, serving, changes := p.snapshots.changedList(seen.listChanges); changes != seen.listChanges {
		seen.listChanges = changes
		step(recovery.ListReceived{Version: version, Serving: serving})
	}
	if !seen.recovered {
		_, spoke := p.snapshots.hasList()
		step(recovery.HostsWarm{Warm: spoke && p.snapshots.warmFraction(&p.inForce.Load().balance) >= recovery.NearlyWarm})
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

// carryOutRecovery does what the decider asks for.
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
		p.log.Info("measure of others taken", "work", a.Measure.HostWork.Round(time.Millisecond), "mean_work", a.Measure.RequestWork.Round(time.Millisecond),
			"from", a.From, "known", a.Known)
		p.router.Restore(balance.Learned{CompletedWork: a.Measure.HostWork.Seconds(), MeanWork: a.Measure.RequestWork.Seconds()})
	case recovery.MeasureMissing:
		p.log.Info("measure of others missing", "rounds", a.Rounds, "alive", a.Alive, "asked", joinNames(a.Asked), "answered", joinNames(a.Answered),
			"ended", a.Ended)
	case recovery.OutageClassified:
		p.log.Info("power lost", "whose", a.Outage, "heard", a.Replied, "asked", a.Asked)
	case recovery.StageEntered:
		c.stage.Store(int32(a.Stage))
		if seen.recovered = a.Stage == recovery.Recovered; seen.recovered {
			p.suspendCopies(false)
		}
		p.log.Info("comes back", "stage", a.Stage, "after", a.After.Round(time.Millisecond), "why", a.Reason)
	}
}

// maxLoggedNames bounds the routers that a log line names.
const maxLoggedNames = 8

// joinNames returns names as a field of a log line.
func joinNames(names []string) string {
	if len(names) > maxLoggedNames {
		return strings.Join(names[:maxLoggedNames], ",") + ",..."
	}
	return strings.Join(names, ",")
}

// sendTo sends a datagram to routers, as far as there is a socket.
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

// hasList reports whether discovery has sent a list, and how often the list has changed.
func (k *snapshotWriter) hasList() (changes uint64, spoke bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changes, k.list != nil
}

// changedList returns discovery's list if it has changed since a count of changes: its version, the
// hosts that serve, and the count by now.
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

// recoveryValues are the figures of the recovery, nil where there is none.
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

// receiveRecoveryMessages registers the handler for datagrams of routers that come back.
func (p *Program) receiveRecoveryMessages(g *peering.Gossip) {
	p.gossip = g
	if p.recovery != nil {
		g.OnRecoveryDatagram(p.receiveRecoveryMessage)
	}
}
