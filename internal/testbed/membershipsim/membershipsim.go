// Package membershipsim runs the deciders of package members in virtual time. It simulates many
// routers and the network between them with the faults of package faults, and checks invariants
// after each step. The same Spec gives the same run. The package performs no I/O and is
// single-threaded. Its memory is bounded by the number of routers and of datagrams in flight.
package membershipsim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"reachspread/coord/members"
	"reachspread/internal/testbed/eventqueue"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/simulator"
)

// Spec describes a run.
type Spec struct {
	Seed                uint64
	Routers             int
	Zones               int // the number of zones, to which routers are assigned in rotation; 0 counts as 1
	Seeds               int // how many drawn addresses each router knows at its start; 0 for all, and then no other router may join
	Duration            time.Duration
	LatencyWithinZone   time.Duration // of a datagram between routers of a zone; 0 selects defaults for both latencies and Jitter
	LatencyBetweenZones time.Duration // of a datagram between routers of different zones
	Jitter              float64       // greatest random increase of a latency, as a fraction of it
	StartSpread         time.Duration // routers start at random times within this time
	Faults              []faults.Fault
	MeanPauseInterval   time.Duration // mean time from the end of a router's random pause to the next one; 0 for no pauses
	PauseDuration       time.Duration // length of a random pause
	StartConverged      bool          // routers start with a view of all routers, so that a measurement excludes the joining
	History             func(*history.Event)
	Changed             func(router int, now time.Duration, c *members.Changed) // is called for each change of a router's view; may be nil
}

// Topology returns the fleet in the form that fault schedules need.
func (s *Spec) Topology() *faults.Topology {
	topology := &faults.Topology{}
	for i := range s.Routers {
		topology.Routers = append(topology.Routers, string(rune('a'+i%max(s.Zones, 1))))
	}
	return topology
}

// router is a simulated router. Its decider is nil while its process does not run.
type router struct {
	number          int
	addr            netip.AddrPort
	zone            string
	decider         *members.Decider
	generation      uint32             // how often the process has started
	incarnation     uint32             // the incarnation in the membership, after the last step
	wakeAt          time.Duration      // when the decider's timer fires
	activeFaults    int                // how many faults keep the process down
	activeFreezes   int                // how many faults keep the process frozen
	inbox           []members.Received // datagrams that arrived while the process was frozen
	draining        bool
	startedAt       time.Duration
	firstMissedPing time.Duration // when the first ping was sent to the process after its end; 0 for none yet
}

// World is the state of a run.
type World struct {
	spec       Spec
	now        time.Duration
	rng        *rand.Rand
	events     eventqueue.Queue[event]
	routers    []*router
	byAddress  map[netip.AddrPort]*router
	injections []*faults.Injection
	linkFaults []*faults.Injection
	link       *faults.Link
	copies     []faults.Copy
	violation  error
	roster     *members.Roster // the initial view of all routers with StartConverged
	seeds      []netip.AddrPort

	Datagrams, Bytes uint64 // the number and the size of all datagrams sent
	Deaths           int    // how often a router declared another one dead
	FalseDeaths      int    // how many of the Deaths were of routers that were healthy, see isHealthy
	Changes          int    // how often a router's view changed
}

type eventKind uint8

const (
	receiveDatagram eventKind = iota
	wakeUp
	startRouter
	beginFault
	endFault
	freezeRouter
	thawRouter
	beginPause // a random pause of a router begins
	endPause   // a random pause of a router ends
)

type event struct {
	at         time.Duration
	kind       eventKind
	number     int    // of a router or of an injection
	generation uint32 // for wakeUp, of the router's process; for freezeRouter and thawRouter, the injection's number
	from       netip.AddrPort
	data       []byte
}

// New returns the world of a Spec before its first event. It returns an error if the Spec is invalid.
func New(s Spec) (*World, error) {
	if s.Routers < 1 || s.Routers > 60000 {
		return nil, fmt.Errorf("spec: Routers is %d; it must be from 1 to 60000", s.Routers)
	}
	if err := faults.Check(s.Faults, s.Topology(), faults.MembershipSimulation, s.Duration); err != nil {
		return nil, err
	}
	for _, f := range s.Faults {
		if len(f.Links) > 0 && (len(f.Links) > 1 || f.Links[0] != faults.LinkPeers) {
			return nil, fmt.Errorf("%s: links must be only %q: a membership simulation has neither hosts nor a list of routers", f.Source, faults.LinkPeers)
		}
	}
	if s.LatencyWithinZone == 0 {
		s.LatencyWithinZone, s.LatencyBetweenZones, s.Jitter = 300*time.Microsecond, 2*time.Millisecond, 0.2
	}
	w := &World{spec: s, rng: rand.New(rand.NewPCG(s.Seed, 0x71e3)), byAddress: map[netip.AddrPort]*router{}, link: faults.NewLink(s.Seed, 0)}
	topology := s.Topology()
	for i := range s.Routers {
		r := &router{number: i, zone: topology.Routers[i], addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 8), byte(i), 1}), 7946)}
		w.routers = append(w.routers, r)
		w.byAddress[r.addr] = r
	}
	var all []members.Member
	for _, x := range w.routers {
		all = append(all, members.Member{Name: name(x.number), Zone: x.zone, Version: "1", Addr: x.addr, Boot: bootOf(x.number, 1), Incarnation: 1})
		w.seeds = append(w.seeds, x.addr)
	}
	if s.StartConverged {
		w.roster = members.NewRoster(all)
	}
	for i := range w.routers {
		at := time.Duration(0)
		if s.StartSpread > 0 {
			at = time.Duration(w.rng.Int64N(int64(s.StartSpread)))
		}
		w.schedule(event{at: at, kind: startRouter, number: i})
		w.scheduleFreeze(i)
	}
	w.injections = faults.Resolve(s.Faults, topology, s.Seed)
	for i, x := range w.injections {
		w.schedule(event{at: x.At, kind: beginFault, number: i})
	}
	return w, nil
}

// scheduleFreeze schedules the next random pause of a router.
func (w *World) scheduleFreeze(n int) {
	if w.spec.MeanPauseInterval > 0 {
		w.schedule(event{at: w.now + time.Duration(w.rng.ExpFloat64()*float64(w.spec.MeanPauseInterval)), kind: beginPause, number: n})
	}
}

func (w *World) schedule(e event) {
	e.at = max(e.at, w.now)
	w.events.Add(e.at, e)
}

// Run runs the simulation until a time. It stops at a violated invariant and returns the violation.
func (w *World) Run(until time.Duration) error {
	for w.violation == nil {
		e, at, ok := w.events.Next(until)
		if !ok {
			break
		}
		w.now = at
		w.handle(&e)
	}
	if w.violation == nil {
		w.now = max(w.now, until)
	}
	return w.violation
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }

func (w *World) emit(e history.Event) {
	if w.spec.History != nil {
		e.T = w.now.Nanoseconds()
		w.spec.History(&e)
	}
}

func name(n int) string { return fmt.Sprint("r", n) }

func (w *World) handle(e *event) {
	switch e.kind {
	case receiveDatagram:
		r := w.routers[e.number]
		switch {
		case r.decider == nil:
		case r.activeFreezes > 0:
			if len(r.inbox) < maxInbox {
				r.inbox = append(r.inbox, members.Received{From: e.from, Data: e.data})
			}
		default:
			w.step(r, members.Received{From: e.from, Data: e.data})
		}
	case wakeUp:
		if r := w.routers[e.number]; r.decider != nil && r.generation == e.generation && r.wakeAt == e.at && r.activeFreezes == 0 {
			w.step(r, members.Tick{})
		}
	case startRouter:
		w.startProcess(w.routers[e.number])
	case beginFault:
		s := w.injections[e.number]
		w.emit(simulator.FaultEvent(history.Fault, e.number, s))
		w.schedule(event{at: w.now + s.Length, kind: endFault, number: e.number})
		w.inject(s, true)
	case endFault:
		s := w.injections[e.number]
		w.inject(s, false)
		w.emit(simulator.FaultEvent(history.Heal, e.number, s))
	case freezeRouter, thawRouter:
		w.stepCrawl(e)
	case beginPause:
		if w.now < w.spec.Duration {
			w.freeze(w.routers[e.number], true)
			w.schedule(event{at: w.now + w.spec.PauseDuration, kind: endPause, number: e.number})
		}
	case endPause:
		w.freeze(w.routers[e.number], false)
		w.scheduleFreeze(e.number)
	}
}

// maxInbox is how many datagrams are queued for a frozen process, as in the buffer of its socket.
const maxInbox = 1000

func (w *World) startProcess(r *router) {
	if r.decider != nil || r.activeFaults > 0 {
		return
	}
	var seeds []netip.AddrPort
	if w.spec.Seeds > 0 {
		for _, i := range w.rng.Perm(w.spec.Routers)[:min(w.spec.Seeds, w.spec.Routers)] {
			seeds = append(seeds, w.routers[i].addr)
		}
	} else {
		seeds = w.seeds
	}
	r.generation++
	d, err := members.New(members.Config{Name: name(r.number), Zone: r.zone, Version: "1", Addr: r.addr, Boot: bootOf(r.number, r.generation), Seeds: seeds,
		SeedsOnly: w.spec.Seeds == 0, RandomSeed: w.spec.Seed<<20 | uint64(r.number)}, w.now)
	if err != nil {
		w.violation = err
		return
	}
	r.decider, r.incarnation, r.draining, r.startedAt = d, 0, false, w.now
	if w.spec.StartConverged && r.generation == 1 {
		d.Restore(w.roster)
	}
	w.emit(history.Event{What: history.Start, Who: name(r.number)})
	w.step(r, members.Tick{})
}

// bootOf returns a pseudo-random boot number for a process of a router.
func bootOf(n int, gen uint32) uint32 { return (uint32(n)*2654435761 ^ gen*2246822519) | 1 }

// stopProcess ends a router's process, if it runs.
func (w *World) stopProcess(r *router) {
	if r.decider != nil {
		r.decider, r.inbox, r.firstMissedPing = nil, nil, 0
		w.emit(history.Event{What: history.Exit, Who: name(r.number), Status: -1, Text: "killed"})
	}
}

// step makes a decider handle an event, and carries out the resulting actions.
func (w *World) step(r *router, e members.Event) {
	generation := r.generation
	for _, a := range r.decider.Step(w.now, e) {
		switch a := a.(type) {
		case members.Send:
			w.send(r, a)
		case members.Changed:
			w.handleChanged(r, &a)
		}
	}
	if r.decider == nil || r.generation != generation {
		return
	}
	w.checkInvariants(r)
	if due := r.decider.Next(); due != r.wakeAt || due <= w.now {
		if _, byTimer := e.(members.Tick); byTimer && due <= w.now && w.violation == nil {
			w.violation = fmt.Errorf("%v: %s was stepped at its wake-up time and requests no later one: its loop would spin", w.now, name(r.number))
		}
		r.wakeAt = max(due, w.now+time.Microsecond) // a step that a message makes due follows at once
		w.schedule(event{at: r.wakeAt, kind: wakeUp, number: r.number, generation: r.generation})
	}
}

func (w *World) handleChanged(r *router, c *members.Changed) {
	w.Changes++
	for _, x := range c.Changes {
		if x.Reason != members.ReasonCrashed && x.Reason != members.ReasonZoneLost {
			continue
		}
		w.Deaths++
		if subject := w.byAddress[x.Member.Addr]; w.isHealthy(subject) {
			w.FalseDeaths++
			w.emit(history.Event{What: history.Note, Who: name(r.number), Text: "false death of " + x.Member.Name})
		}
	}
	if w.spec.Changed != nil {
		w.spec.Changed(r.number, w.now, c)
	}
}

// minHealthyTime is how long a router must have run and been reachable before its reported death
// counts as false. A shorter time is not enough, because the cause of the death may be older, and
// its report may be delayed while other routers are suspected.
const minHealthyTime = 6 * time.Second

// isHealthy reports whether a router runs, is not frozen, and has run and been reachable for at least
// minHealthyTime. Freezes of up to maxFreeze do not count against it once they have ended.
func (w *World) isHealthy(r *router) bool {
	if r.decider == nil || r.activeFreezes > 0 || w.now < r.startedAt+minHealthyTime {
		return false
	}
	for _, s := range w.injections {
		if partitioned := s.Kind == faults.Partition || s.Kind == faults.Blackhole && s.Concerns(r.number); partitioned && w.now >= s.At && w.now < s.At+s.Length+minHealthyTime {
			return false
		}
		if frozen := s.Kind == faults.Freeze && slices.Contains(s.Routers, r.number); frozen && w.now >= s.At && w.now < s.At+s.Length+minHealthyTime && s.Length > maxFreeze {
			return false
		}
	}
	return true
}

// maxFreeze is the longest freeze during which other routers must not declare a router dead.
const maxFreeze = time.Second

// checkInvariants checks the invariants of a router after a step.
func (w *World) checkInvariants(r *router) {
	inc := r.decider.Incarnation()
	switch {
	case inc < r.incarnation:
		w.violation = fmt.Errorf("at %v the incarnation of %s fell from %d to %d", w.now, name(r.number), r.incarnation, inc)
	case !r.draining && r.decider.State() != members.Joining && r.decider.State() != members.Alive:
		w.violation = fmt.Errorf("at %v %s is %v in its own view; it must be joining or alive", w.now, name(r.number), r.decider.State())
	}
	r.incarnation = inc
}

func (w *World) send(r *router, a members.Send) {
	w.Datagrams++
	w.Bytes += uint64(len(a.Data))
	if len(a.Data) > members.MaxDatagramLen {
		w.violation = fmt.Errorf("at %v %s sends a datagram of %d bytes, which is longer than members.MaxDatagramLen", w.now, name(r.number), len(a.Data))
		return
	}
	to := w.byAddress[a.To]
	if to == nil {
		return
	}
	if to.decider == nil && to.firstMissedPing == 0 && len(a.Data) > 0 && a.Data[0] == pingByte {
		to.firstMissedPing = w.now
	}
	latency := w.spec.LatencyWithinZone
	if to.zone != r.zone {
		latency = w.spec.LatencyBetweenZones
	}
	latency += time.Duration(w.spec.Jitter * w.rng.Float64() * float64(latency))
	if len(w.linkFaults) == 0 {
		w.schedule(event{at: w.now + latency, kind: receiveDatagram, number: to.number, from: r.addr, data: a.Data})
		return
	}
	w.link.Condition = faults.ConditionOf(w.linkFaults, faults.End{N: r.number}, faults.End{N: to.number})
	w.copies = w.link.Pass(len(a.Data), w.copies[:0])
	for _, c := range w.copies {
		data := a.Data
		if c.Bytes < len(data) || c.Flip >= 0 {
			data = append([]byte(nil), data[:c.Bytes]...)
			if c.Flip >= 0 {
				data[c.Flip/8] ^= 1 << (c.Flip % 8)
			}
		}
		w.schedule(event{at: w.now + latency + c.After, kind: receiveDatagram, number: to.number, from: r.addr, data: data})
	}
}

// pingByte is the first byte of a ping datagram.
const pingByte = 2 << 4

// FirstMiss returns when the first ping was sent to a router after its last end, 0 for no ping yet.
func (w *World) FirstMiss(n int) time.Duration { return w.routers[n].firstMissedPing }

// inject begins a fault, or ends it.
func (w *World) inject(s *faults.Injection, on bool) {
	if faults.Of(s.Kind).OfLinks() {
		if on {
			w.linkFaults = append(w.linkFaults, s)
		} else {
			w.linkFaults = slices.DeleteFunc(w.linkFaults, func(x *faults.Injection) bool { return x == s })
		}
		return
	}
	for _, n := range s.Routers {
		r := w.routers[n]
		switch s.Kind {
		case faults.Kill, faults.Power, faults.Restart:
			if on {
				if s.Kind == faults.Restart && r.decider != nil && r.activeFreezes == 0 {
					r.draining = true
					w.step(r, members.Leave{})
				}
				r.activeFaults++
				w.stopProcess(r)
			} else if r.activeFaults--; r.activeFaults == 0 {
				w.startProcess(r)
			}
		case faults.Replace:
			if on && r.decider != nil && r.activeFreezes == 0 && r.activeFaults == 0 {
				r.draining = true
				w.step(r, members.Leave{Replaced: true})
				w.stopProcess(r)
				w.startProcess(r)
			}
		case faults.Freeze:
			w.freeze(r, on)
		case faults.Crawl:
			if on {
				w.schedule(event{at: w.now, kind: freezeRouter, number: n, generation: uint32(slices.Index(w.injections, s))})
			}
		}
	}
}

func (w *World) freeze(r *router, on bool) {
	if on {
		r.activeFreezes++
		return
	}
	if r.activeFreezes--; r.activeFreezes > 0 || r.decider == nil {
		return
	}
	inbox := r.inbox
	r.inbox = nil
	for _, e := range inbox {
		if r.decider != nil {
			w.step(r, e)
		}
	}
	if r.decider != nil {
		w.step(r, members.Tick{})
	}
}

// crawlPeriod is the length of one pause of a crawling router plus the time until the next pause.
const crawlPeriod = 200 * time.Millisecond

func (w *World) stepCrawl(e *event) {
	s, r := w.injections[e.generation], w.routers[e.number]
	if e.kind == freezeRouter {
		if w.now >= s.At+s.Length {
			return
		}
		w.freeze(r, true)
		w.schedule(event{at: w.now + time.Duration(s.Share*float64(crawlPeriod)), kind: thawRouter, number: e.number, generation: e.generation})
		return
	}
	w.freeze(r, false)
	w.schedule(event{at: w.now + time.Duration((1-s.Share)*float64(crawlPeriod)), kind: freezeRouter, number: e.number, generation: e.generation})
}

// Converged reports whether all running routers have the same view, whose members are exactly these
// routers. If not, it also returns the reason.
func (w *World) Converged() (bool, string) {
	var digest uint64
	var first *router
	live := 0
	for _, r := range w.routers {
		if r.decider == nil {
			continue
		}
		live++
		if first == nil {
			first, digest = r, r.decider.Digest()
		}
		if r.decider.Digest() != digest {
			return false, fmt.Sprintf("%s and %s have different views, with %d and %d alive members", name(first.number), name(r.number), first.decider.Stats().Alive, r.decider.Stats().Alive)
		}
	}
	if first == nil {
		return true, ""
	}
	v := first.decider.View()
	if len(v.Members) != live {
		return false, fmt.Sprintf("%s has %d members in its view; %d routers run", name(first.number), len(v.Members), live)
	}
	for _, m := range v.Members {
		if r := w.byAddress[m.Addr]; r.decider == nil || name(r.number) != m.Name {
			return false, m.Name + " is a member of the view, but does not run"
		}
	}
	return true, ""
}

// AwaitConvergence runs the simulation until the views have converged, and returns that time. If they
// have not converged by until, ok is false and reason says why.
func (w *World) AwaitConvergence(until time.Duration) (at time.Duration, ok bool, reason string) {
	const checkInterval = 50 * time.Millisecond
	for {
		if ok, reason = w.Converged(); ok {
			return w.now, true, ""
		}
		if w.now >= until || w.violation != nil {
			return w.now, false, reason
		}
		w.Run(min(w.now+checkInterval, until))
	}
}

// Decider returns the decider of a router, nil while its process does not run.
func (w *World) Decider(n int) *members.Decider { return w.routers[n].decider }

// Live returns how many routers run.
func (w *World) Live() (n int) {
	for _, r := range w.routers {
		if r.decider != nil {
			n++
		}
	}
	return n
}
