package peering

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/coord/members"
	"reachspread/coord/pacing"
	"reachspread/internal/routing"
)

const (
	// mostWaiting bounds the datagrams that wait for the decider; further ones are lost, as on any network.
	maxQueuedDatagrams = 512
	// mostNames bounds the members that a log line names.
	maxLoggedNames = 8
)

// View drives the fleet view: one goroutine owns the decider.
type View struct {
	decider       *members.Decider
	send          func(to netip.AddrPort, data []byte)
	changed       func(*members.View, *members.Changed) // must not wait
	log           routing.Logger
	start         time.Time // with the monotonic clock, the only one that is asked
	datagrams     chan datagram
	leaveRequests chan leaveRequest
	seeds         chan []netip.AddrPort
	buffers       sync.Pool

	view     atomic.Pointer[members.View]
	figures  atomic.Pointer[members.Stats]
	dropped  atomic.Uint64 // datagrams that found no room
	loopPace pacing.Meter

	incarnation     uint32 // the own incarnation so far
	invariantBroken bool   // it was told that something does not hold
}

type datagram struct {
	from netip.AddrPort
	n    int
	data *[members.MaxDatagramLen]byte
}

type leaveRequest struct {
	replaced bool
	done     chan bool
}

// NewView returns the view of a router that starts now. Changed is told of each change, in order.
func NewView(c members.Config, send func(netip.AddrPort, []byte), changed func(*members.View, *members.Changed), log routing.Logger) (*View, error) {
	d, err := members.New(c, 0)
	if err != nil {
		return nil, err
	}
	v := &View{decider: d, send: send, changed: changed, log: log, start: time.Now(), datagrams: make(chan datagram, maxQueuedDatagrams), leaveRequests: make(chan leaveRequest), seeds: make(chan []netip.AddrPort),
		buffers: sync.Pool{New: func() any { return new([members.MaxDatagramLen]byte) }}}
	v.publish()
	return v, nil
}

// Take takes a datagram and keeps a copy. It waits for nobody.
func (v *View) HandleDatagram(from netip.AddrPort, data []byte) {
	if len(data) > members.MaxDatagramLen {
		v.dropped.Add(1)
		return
	}
	buffer := v.buffers.Get().(*[members.MaxDatagramLen]byte)
	select {
	case v.datagrams <- datagram{from, copy(buffer[:], data), buffer}:
	default:
		v.dropped.Add(1)
		v.buffers.Put(buffer)
	}
}

// Run works until ctx ends.
func (v *View) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now, byTimer := time.Duration(0), false
		select {
		case <-ctx.Done():
			return
		case x := <-v.datagrams:
			now = v.step(members.Received{From: x.from, Data: x.data[:x.n]})
			v.buffers.Put(x.data)
		case l := <-v.leaveRequests:
			now = v.step(members.Leave{Replaced: l.replaced})
			close(l.done)
		case all := <-v.seeds:
			now = v.step(members.SetSeeds{Addrs: all})
		case <-timer.C:
			now, byTimer = v.step(members.Tick{}), true
		}
		next := v.decider.Next()
		if stalled := v.loopPace.RecordStep(now, next, byTimer); stalled > 0 {
			v.log.Warn("loop stalls", "loop", "members", "steps", stalled)
		}
		timer.Reset(max(next-time.Since(v.start), 0))
	}
}

// Pace returns the counters of the loop. It waits for nothing.
func (v *View) Pace() pacing.Stats { return v.loopPace.Stats() }

// Leave tells the others that this router ends, unless another process of it takes over. It waits until they are told, or
// ctx has ended.
func (v *View) Leave(ctx context.Context, replaced bool) {
	l := leaveRequest{replaced, make(chan bool)}
	select {
	case v.leaveRequests <- l:
		<-l.done
	case <-ctx.Done():
	}
}

// SetSeeds replaces the addresses that are asked for the fleet.
func (v *View) SetSeeds(ctx context.Context, all []netip.AddrPort) {
	select {
	case v.seeds <- all:
	case <-ctx.Done():
	}
}

// Now returns the present view. It waits for nothing, and is not to be changed.
func (v *View) Now() *members.View { return v.view.Load() }

// Figures returns the counters as of the last step. It waits for nothing.
func (v *View) Figures() members.Stats { return *v.figures.Load() }

func (v *View) publish() {
	v.view.Store(v.decider.View())
	f := v.decider.Stats()
	v.figures.Store(&f)
}

// step takes in an event now, and returns that time.
func (v *View) step(e members.Event) time.Duration {
	at := time.Since(v.start)
	for _, a := range v.decider.Step(at, e) {
		switch a := a.(type) {
		case members.Send:
			v.send(a.To, a.Data)
		case members.Changed:
			now := v.decider.View()
			v.view.Store(now)
			v.changed(now, &a)
			v.logChange(&a)
		case members.NameConflict:
			v.log.Warn("name refused", "name", a.Name, "claimed_by", a.Addr)
		case members.LocalNameTaken:
			v.log.Warn("name taken", "told_by", a.By)
		}
	}
	f := v.decider.Stats()
	v.figures.Store(&f)
	v.checkInvariants()
	return at
}

// hold looks at what must always hold of the own member. A line of it is a fault of this program.
func (v *View) checkInvariants() {
	inc, state := v.decider.Incarnation(), v.decider.State()
	if wrong := inc < v.incarnation || state == members.Dead || state == members.Suspected; wrong && !v.invariantBroken {
		v.invariantBroken = true
		v.log.Warn("view broken", "incarnation", inc, "before", v.incarnation, "state", state)
	}
	v.incarnation = max(v.incarnation, inc)
}

// tell writes the lines of a change: members lost, by reason, and members that are back. Who joins, restarts or leaves as it
// should needs nobody.
func (v *View) logChange(c *members.Changed) {
	lost := map[members.Reason][]string{}
	for _, x := range c.Changes {
		lost[x.Reason] = append(lost[x.Reason], x.Member.Name)
	}
	for _, why := range []members.Reason{members.ReasonCrashed, members.ReasonZoneLost} {
		if names := lost[why]; len(names) > 0 {
			v.log.Warn("routers lost", "why", why, "count", len(names), "names", joinNames(names), "view", c.Version)
		}
	}
	if names := lost[members.ReasonReturned]; len(names) > 0 {
		v.log.Info("routers back", "count", len(names), "names", joinNames(names), "view", c.Version)
	}
}

func joinNames(names []string) string {
	if len(names) > maxLoggedNames {
		return strings.Join(names[:maxLoggedNames], ",") + ",..."
	}
	return strings.Join(names, ",")
}
