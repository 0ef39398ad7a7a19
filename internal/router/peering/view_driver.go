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
	// maxQueuedDatagrams is the length of the queue of datagrams for the decider. Datagrams that
	// arrive while it is full are dropped, which the protocol tolerates like any network loss.
	maxQueuedDatagrams = 512
	// maxLoggedNames is how many members a log line names at most.
	maxLoggedNames = 8
)

// ViewDriver drives the membership decider of a router. Run's goroutine owns the decider; any
// goroutine may read the view.
type ViewDriver struct {
	decider       *members.Decider
	send          func(to netip.AddrPort, data []byte)
	changed       func(*members.View, *members.Changed) // called by Run's goroutine; must not block
	log           routing.Logger
	start         time.Time // origin of the decider's time, by the monotonic clock
	datagrams     chan datagram
	leaveRequests chan leaveRequest
	seeds         chan []netip.AddrPort
	buffers       sync.Pool

	view     atomic.Pointer[members.View]
	stats    atomic.Pointer[members.Stats]
	dropped  atomic.Uint64 // datagrams that were too long or did not fit into the queue
	loopPace pacing.Meter

	incarnation     uint32 // highest incarnation of the local member so far
	invariantBroken bool   // a broken invariant was already logged
}

// datagram is a queued datagram: the first n bytes of data, a buffer from the pool.
type datagram struct {
	from netip.AddrPort
	n    int
	data *[members.MaxDatagramLen]byte
}

// leaveRequest asks Run's goroutine to leave the membership. Run closes done once it has sent the
// notifications to the other members.
type leaveRequest struct {
	replaced bool
	done     chan bool
}

// NewViewDriver returns the membership driver of a router. The caller starts it with Run or RunOn.
// Run calls changed for each change of the view, in order.
func NewViewDriver(c members.Config, send func(netip.AddrPort, []byte), changed func(*members.View, *members.Changed),
	log routing.Logger) (*ViewDriver, error) {
	d, err := members.New(c, 0)
	if err != nil {
		return nil, err
	}
	v := &ViewDriver{
		decider:       d,
		send:          send,
		changed:       changed,
		log:           log,
		datagrams:     make(chan datagram, maxQueuedDatagrams),
		leaveRequests: make(chan leaveRequest),
		seeds:         make(chan []netip.AddrPort),
		buffers:       sync.Pool{New: func() any { return new([members.MaxDatagramLen]byte) }},
	}
	v.publish()
	return v, nil
}

// HandleDatagram queues a copy of a datagram for Run. It never blocks.
func (v *ViewDriver) HandleDatagram(from netip.AddrPort, data []byte) {
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

// RunOn waits until g has opened its address, and then runs Run. A process that replaces another
// one can open the address only after the earlier process has closed it. If the member joined
// before that, it would receive no reply that states its earlier incarnation, and would start again
// with the first incarnation.
func (v *ViewDriver) RunOn(ctx context.Context, g *Gossip) {
	select {
	case <-g.Opened():
		v.Run(ctx)
	case <-ctx.Done():
	}
}

// Run steps the decider until ctx ends. The decider's time starts at 0 when Run is called.
func (v *ViewDriver) Run(ctx context.Context) {
	v.start = time.Now()
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

// Pace returns the step and stall counters of Run's loop. It never blocks.
func (v *ViewDriver) Pace() pacing.Stats { return v.loopPace.Stats() }

// Leave notifies the other members that this router ends. If replaced is set, another process of
// the same router takes over, and nothing is announced. Leave returns once the decider has handled
// the request, or ctx has ended.
func (v *ViewDriver) Leave(ctx context.Context, replaced bool) {
	l := leaveRequest{replaced, make(chan bool)}
	select {
	case v.leaveRequests <- l:
		<-l.done
	case <-ctx.Done():
	}
}

// SetSeeds replaces the addresses that the router contacts to join the membership.
func (v *ViewDriver) SetSeeds(ctx context.Context, all []netip.AddrPort) {
	select {
	case v.seeds <- all:
	case <-ctx.Done():
	}
}

// Now returns the current view. It never blocks, and the caller must not change the view.
func (v *ViewDriver) Now() *members.View { return v.view.Load() }

// Stats returns the counters as of the last step. It never blocks.
func (v *ViewDriver) Stats() members.Stats { return *v.stats.Load() }

// publish makes the decider's current view and counters visible to Now and Stats.
func (v *ViewDriver) publish() {
	v.view.Store(v.decider.View())
	v.publishStats()
}

func (v *ViewDriver) publishStats() {
	s := v.decider.Stats()
	v.stats.Store(&s)
}

// step steps the decider with an event at the current time, carries out the actions, and returns
// that time.
func (v *ViewDriver) step(e members.Event) time.Duration {
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
			v.log.Warn("name of a live member claimed by another process", "name", a.Name, "claimed_by", a.Addr)
		case members.LocalNameTaken:
			v.log.Warn("local router name already used by a live member", "told_by", a.By)
		}
	}
	v.publishStats()
	v.checkInvariants()
	return at
}

// checkInvariants logs, once, that an invariant of the local member is broken: its incarnation
// decreased, or its state is Dead or Suspected. Either is a bug of this program.
func (v *ViewDriver) checkInvariants() {
	incarnation, state := v.decider.Incarnation(), v.decider.State()
	broken := incarnation < v.incarnation || state == members.Dead || state == members.Suspected
	if broken && !v.invariantBroken {
		v.invariantBroken = true
		v.log.Warn("membership invariant broken", "incarnation", incarnation, "before", v.incarnation, "state", state)
	}
	v.incarnation = max(v.incarnation, incarnation)
}

// logChange logs the members that were lost, grouped by reason, and the members that returned.
// Joins, restarts and intended leaves are not logged.
func (v *ViewDriver) logChange(c *members.Changed) {
	byReason := map[members.Reason][]string{}
	for _, x := range c.Changes {
		byReason[x.Reason] = append(byReason[x.Reason], x.Member.Name)
	}
	for _, reason := range []members.Reason{members.ReasonCrashed, members.ReasonZoneLost} {
		if names := byReason[reason]; len(names) > 0 {
			v.log.Warn("routers lost", "why", reason, "count", len(names), "names", joinNames(names), "view", c.Version)
		}
	}
	if names := byReason[members.ReasonReturned]; len(names) > 0 {
		v.log.Info("lost routers returned", "count", len(names), "names", joinNames(names), "view", c.Version)
	}
}

func joinNames(names []string) string {
	if len(names) > maxLoggedNames {
		return strings.Join(names[:maxLoggedNames], ",") + ",..."
	}
	return strings.Join(names, ",")
}
