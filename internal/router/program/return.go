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

// comeback drives how this router comes back: one goroutine owns the decider.
type comeback struct {
	d     *recovery.Decider
	start time.Time // with the monotonic clock
	in    chan recovery.Event
	ask   chan chan recovery.Status

	stage   atomic.Int32
	shunned atomic.Uint64 // hosts of the last life's list
}

// guard has a gate stand before the module, and tells others how it stands.
type guard struct {
	g      *recovery.Gate
	turned atomic.Uint64
	parts  atomic.Pointer[map[string]float64] // by class, of what is admitted; nil while all is
	at     time.Duration
}

// partsEvery is how old what is told of the parts may be.
const partsEvery = 200 * time.Millisecond

// Step implements routing.Gate.
func (x *guard) Step(now time.Duration, events []balance.Event) ([]balance.Event, []balance.Action) {
	pass, answers := x.g.Step(now, events)
	x.turned.Add(uint64(len(answers)))
	if now >= x.at+partsEvery {
		x.at = now
		if x.g.Warm(now) {
			x.parts.Store(nil)
		} else {
			parts := x.g.AdmittedFractions()
			x.parts.Store(&parts)
		}
	}
	return pass, answers
}

const (
	mostWords = 64                     // that wait; further ones are lost
	lookFor   = 200 * time.Millisecond // between two looks at what the rest of the program knows
)

// prepareReturn makes the decider, with what the last life has left.
func (p *Program) prepareReturn(before *snapshot.State, broken []string) (err error) {
	c := &comeback{start: time.Now(), in: make(chan recovery.Event, mostWords), ask: make(chan chan recovery.Status)}
	duties := p.cfg.set.Duties != nil
	name, boot := p.cfg.Name, uint32(0)
	if p.cfg.set.Fleet != nil {
		m := p.cfg.member()
		name, boot = m.Name, m.Boot
	}
	if c.d, err = recovery.New(recovery.Config{Self: name, Boot: boot, Saved: before, Damaged: broken, Discovery: p.source(), HasRoles: duties,
		WarmUpTimeout: 2 * p.cfg.balance.ColdTime}, 0); err != nil {
		return fmt.Errorf("recovery: %w", err)
	}
	p.back = c
	return nil
}

// takeWord takes a datagram of another router that comes back, or answers. It waits for nobody.
func (p *Program) takeWord(_ netip.AddrPort, data []byte) {
	if e, err := recovery.Decode(data); err == nil {
		p.back.post(e)
	}
}

func (c *comeback) post(e recovery.Event) {
	select {
	case c.in <- e:
	default:
	}
}

// startReturn begins to come back, and to keep what this life knows, once the socket is there over which others are asked; without one nobody is.
func (p *Program) startReturn(work context.Context) error {
	if p.back == nil {
		return nil
	}
	p.holdBack(true)
	go p.keep(work, p.cfg.set.Recovery.Folder)
	go p.comeBack(work, p.back)
	return nil
}

// holdBack has copies to candidate pools and captures wait, or go on: what is not live service comes last.
func (p *Program) holdBack(on bool) {
	if p.mirror != nil {
		p.mirror.Hold(on)
	}
	if p.capture != nil {
		p.capture.Hold(on)
	}
}

func (p *Program) comeBack(ctx context.Context, c *comeback) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	looks := time.NewTicker(lookFor)
	defer looks.Stop()
	back, viewed, told := false, uint64(0), uint64(0)
	for {
		var all []recovery.Action
		step := func(e recovery.Event) { all = append(all, c.d.Step(time.Since(c.start), e)...) }
		select {
		case <-ctx.Done():
			return
		case e := <-c.in:
			step(e)
		case to := <-c.ask:
			to <- c.d.Status(time.Since(c.start))
			continue
		case <-timer.C:
			step(recovery.Tick{})
		case <-looks.C:
			if version, serving, changes := p.kept.spoken(told); changes != told {
				told = changes
				step(recovery.ListReceived{Version: version, Serving: serving})
			}
			if !back {
				_, spoke := p.kept.listed()
				step(recovery.HostsWarm{Warm: spoke && p.kept.share(&p.force.Load().balance) >= recovery.NearlyWarm})
			}
			if l := p.kept.learned.Load(); l != nil {
				step(recovery.MeasureLearned{Measure: recovery.MeasureOf(l.mean)})
			}
			if p.duties != nil && !back {
				s := p.duties.VoterStatus()
				step(recovery.VotersLed{Led: s != nil && s.Leader != "" || p.duties.HighestToken() > 0})
			}
			if p.view != nil && p.view.Now().Version != viewed {
				var lives []snapshot.Router
				v := p.view.Now()
				viewed = v.Version
				for i := range v.Members {
					lives = append(lives, snapshot.Router{Name: v.Members[i].Name, Addr: v.Members[i].Addr.String()})
				}
				step(recovery.Membership{Routers: lives})
			}
		}
		for _, a := range all {
			switch a := a.(type) {
			case recovery.Announce:
				p.sendTo(a.To, a.Announcement.Encode())
			case recovery.UseSavedList:
				p.useOldList(a.Excluded)
			case recovery.ExcludeHosts:
				p.shun(a.Hosts)
			case recovery.SendQuery:
				p.sendTo(a.To, a.Query.Encode())
			case recovery.SendReply:
				p.sendTo([]snapshot.Router{a.To}, a.Reply.Encode())
			case recovery.AdoptMeasure:
				p.log.Info("measure of others taken", "work", a.Measure.HostWork.Round(time.Millisecond), "mean_work", a.Measure.RequestWork.Round(time.Millisecond))
				p.router.Recall(balance.Learned{Work: a.Measure.HostWork.Seconds(), MeanWork: a.Measure.RequestWork.Seconds()})
			case recovery.OutageClassified:
				p.log.Info("power lost", "whose", a.Outage, "heard", a.Heard, "asked", a.Asked)
			case recovery.StageEntered:
				c.stage.Store(int32(a.Stage))
				if back = a.Stage == recovery.Recovered; back {
					p.holdBack(false)
				}
				p.log.Info("comes back", "stage", a.Stage, "after", a.After.Round(time.Millisecond), "why", a.Reason)
			}
		}
		if next := c.d.Next(); next != 0 {
			timer.Reset(max(next-time.Since(c.start), time.Millisecond))
		}
	}
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

// listed tells whether discovery has spoken, and how often its list has changed.
func (k *keeper) listed() (changes uint64, spoke bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changes, k.list != nil
}

// spoken returns discovery's list if it has changed since a count of changes: its version, the hosts that serve, and the count by now.
func (k *keeper) spoken(since uint64) (version int64, serving []string, changes uint64) {
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
	return k.told, serving, k.changes
}

// recoveryValues are the figures of the return, nil where there is none.
func (p *Program) recoveryValues() *management.Recovery {
	if p.back == nil {
		return nil
	}
	return &management.Recovery{Stage: int(p.back.stage.Load()), Share: p.kept.share(&p.force.Load().balance), Turned: p.gate.turned.Load(),
		Snapshots: p.kept.written.Load(), Shunned: p.back.shunned.Load()}
}

// Recovery implements management.Router.
func (p *Program) Recovery() (lines []string, on bool) {
	if p.back == nil {
		return nil, false
	}
	to := make(chan recovery.Status, 1)
	select {
	case p.back.ask <- to:
	case <-time.After(rebuildWithin):
		return []string{"recovery stage=unknown"}, true
	}
	s := <-to
	word := func(s string) string { return field(strings.ReplaceAll(s, " ", "_")) }
	lines = append(lines, fmt.Sprintf("recovery stage=%s for_ms=%d up_ms=%d loss=%s heard=%d asked=%d waits=%s last_life=%v old_list=%v snapshots=%d", s.Stage, s.StageFor.Milliseconds(),
		s.Uptime.Milliseconds(), word(string(s.Outage)), s.Heard, s.Asked, word(s.AwaitedEvent), s.HasSaved, s.SavedListUsed, p.kept.written.Load()))
	admits := "all"
	if parts := p.gate.parts.Load(); parts != nil {
		var all []string
		for class, part := range *parts {
			all = append(all, fmt.Sprintf("%s:%.2f", word(class), part))
		}
		slices.Sort(all)
		admits = strings.Join(all, ",")
	}
	lines = append(lines, fmt.Sprintf("admission warm=%.2f turned=%d admits=%s shunned=%d", p.kept.share(&p.force.Load().balance), p.gate.turned.Load(), admits, p.back.shunned.Load()))
	for _, w := range s.Damaged {
		lines = append(lines, "thrown why="+word(w))
	}
	return lines, true
}

// hearsWords has the datagrams of routers that come back be taken.
func (p *Program) hearsWords(g *peering.Gossip) {
	p.gossip = g
	if p.back != nil {
		g.OnRecoveryDatagram(p.takeWord)
	}
}
