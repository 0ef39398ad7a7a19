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
	mostWaiting = 512
	// mostNames bounds the members that a log line names.
	mostNames = 8
)

// View drives the fleet view: one goroutine owns the decider.
type View struct {
	d       *members.Decider
	send    func(to netip.AddrPort, data []byte)
	changed func(*members.View, *members.Changed) // must not wait
	log     routing.Logger
	start   time.Time // with the monotonic clock, the only one that is asked
	in      chan datagram
	leave   chan leaving
	seeds   chan []netip.AddrPort
	buffers sync.Pool

	view    atomic.Pointer[members.View]
	figures atomic.Pointer[members.Stats]
	lost    atomic.Uint64 // datagrams that found no room
	pace    pacing.Meter

	inc   uint32 // the own incarnation so far
	wrong bool   // it was told that something does not hold
}

type datagram struct {
	from netip.AddrPort
	n    int
	data *[members.MaxDatagramLen]byte
}

type leaving struct {
	replaced bool
	done     chan bool
}

// NewView returns the view of a router that starts now. Changed is told of each change, in order.
func NewView(c members.Config, send func(netip.AddrPort, []byte), changed func(*members.View, *members.Changed), log routing.Logger) (*View, error) {
	d, err := members.New(c, 0)
	if err != nil {
		return nil, err
	}
	v := &View{d: d, send: send, changed: changed, log: log, start: time.Now(), in: make(chan datagram, mostWaiting), leave: make(chan leaving), seeds: make(chan []netip.AddrPort),
		buffers: sync.Pool{New: func() any { return new([members.MaxDatagramLen]byte) }}}
	v.publish()
	return v, nil
}

// Take takes a datagram and keeps a copy. It waits for nobody.
func (v *View) Take(from netip.AddrPort, data []byte) {
	if len(data) > members.MaxDatagramLen {
		v.lost.Add(1)
		return
	}
	buffer := v.buffers.Get().(*[members.MaxDatagramLen]byte)
	select {
	case v.in <- datagram{from, copy(buffer[:], data), buffer}:
	default:
		v.lost.Add(1)
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
		case x := <-v.in:
			now = v.step(members.Received{From: x.from, Data: x.data[:x.n]})
			v.buffers.Put(x.data)
		case l := <-v.leave:
			now = v.step(members.Leave{Replaced: l.replaced})
			close(l.done)
		case all := <-v.seeds:
			now = v.step(members.SetSeeds{Addrs: all})
		case <-timer.C:
			now, byTimer = v.step(members.Tick{}), true
		}
		next := v.d.Next()
		if stalled := v.pace.Stepped(now, next, byTimer); stalled > 0 {
			v.log.Warn("loop stalls", "loop", "members", "steps", stalled)
		}
		timer.Reset(max(next-time.Since(v.start), 0))
	}
}

// Pace returns the counters of the loop. It waits for nothing.
func (v *View) Pace() pacing.Figures { return v.pace.Figures() }

// Leave tells the others that this router ends, unless another process of it takes over. It waits until they are told, or
// ctx has ended.
func (v *View) Leave(ctx context.Context, replaced bool) {
	l := leaving{replaced, make(chan bool)}
	select {
	case v.leave <- l:
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
	v.view.Store(v.d.View())
	f := v.d.Stats()
	v.figures.Store(&f)
}

// step takes in an event now, and returns that time.
func (v *View) step(e members.Event) time.Duration {
	at := time.Since(v.start)
	for _, a := range v.d.Step(at, e) {
		switch a := a.(type) {
		case members.Send:
			v.send(a.To, a.Data)
		case members.Changed:
			now := v.d.View()
			v.view.Store(now)
			v.changed(now, &a)
			v.tell(&a)
		case members.NameConflict:
			v.log.Warn("name refused", "name", a.Name, "claimed_by", a.Addr)
		case members.LocalNameTaken:
			v.log.Warn("name taken", "told_by", a.By)
		}
	}
	f := v.d.Stats()
	v.figures.Store(&f)
	v.hold()
	return at
}

// hold looks at what must always hold of the own member. A line of it is a fault of this program.
func (v *View) hold() {
	inc, state := v.d.Incarnation(), v.d.State()
	if wrong := inc < v.inc || state == members.Dead || state == members.Suspected; wrong && !v.wrong {
		v.wrong = true
		v.log.Warn("view broken", "incarnation", inc, "before", v.inc, "state", state)
	}
	v.inc = max(v.inc, inc)
}

// tell writes the lines of a change: members lost, by reason, and members that are back. Who joins, restarts or leaves as it
// should needs nobody.
func (v *View) tell(c *members.Changed) {
	lost := map[members.Reason][]string{}
	for _, x := range c.Changes {
		lost[x.Reason] = append(lost[x.Reason], x.Member.Name)
	}
	for _, why := range []members.Reason{members.ReasonCrashed, members.ReasonZoneLost} {
		if names := lost[why]; len(names) > 0 {
			v.log.Warn("routers lost", "why", why, "count", len(names), "names", some(names), "view", c.Version)
		}
	}
	if names := lost[members.ReasonReturned]; len(names) > 0 {
		v.log.Info("routers back", "count", len(names), "names", some(names), "view", c.Version)
	}
}

func some(names []string) string {
	if len(names) > mostNames {
		return strings.Join(names[:mostNames], ",") + ",..."
	}
	return strings.Join(names, ",")
}
