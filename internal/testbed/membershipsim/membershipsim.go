// Package membershipsim plays the deciders of package members in virtual time: many routers, the
// network between them with the faults of package faults, and invariants that are looked at after
// each step. The same Spec gives the same play. It is pure, single-threaded, and bounded by its
// routers and what is under way.
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

// Spec is a play.
type Spec struct {
	Seed           uint64
	Routers        int
	Zones          int // routers stand in them by turns; 0 counts as 1
	Seeds          int // addresses that each router knows, drawn; 0 for all, and only they may join
	Length         time.Duration
	Same           time.Duration // a datagram's way within a zone
	Cross          time.Duration // and between two
	Jitter         float64       // up to this share longer
	Spread         time.Duration // routers start within this time
	Faults         []faults.Fault
	Pauses         time.Duration // mean time between two standstills of a router, 0 for none; each is of
	Pause          time.Duration
	StartConverged bool // routers begin with views of all: what is measured is not the joining
	History        func(*history.Event)
	Changed        func(router int, now time.Duration, c *members.Changed) // nil for nobody
}

// Topology is the fleet as schedules see it.
func (s *Spec) Topology() *faults.Topology {
	topology := &faults.Topology{}
	for i := range s.Routers {
		topology.Routers = append(topology.Routers, string(rune('a'+i%max(s.Zones, 1))))
	}
	return topology
}

// router is one place, with a decider while its process lives.
type router struct {
	n        int
	addr     netip.AddrPort
	zone     string
	d        *members.Decider
	gen      uint32
	inc      uint32 // of this life
	due      time.Duration
	down     int
	still    int
	inbox    []members.Received
	draining bool
	born     time.Duration
	missed   time.Duration // the first ping that found it dead, 0 for none yet
}

// World is a play at one moment.
type World struct {
	s          Spec
	now        time.Duration
	rng        *rand.Rand
	events     eventqueue.Queue[event]
	routers    []*router
	at         map[netip.AddrPort]*router
	injections []*faults.Injection
	on         []*faults.Injection
	link       *faults.Link
	copies     []faults.Copy
	broken     error
	roster     *members.Roster // what all begin with, where they do
	seeds      []netip.AddrPort

	Datagrams, Bytes uint64 // sent
	Deaths           int    // told by any router of any other
	False            int    // of them, of routers that lived and were not still
	Changes          int
}

type doing uint8

const (
	arrives doing = iota
	wakes
	starts
	begins
	ends
	freezes
	thaws
	stands // a router, for a while, and again later
	goesOn
)

type event struct {
	at   time.Duration
	do   doing
	n    int // a router's or a strike's number
	gen  uint32
	from netip.AddrPort
	data []byte
}

// New makes a world. Its faults must exist in virtual time of views.
func New(s Spec) (*World, error) {
	if s.Routers < 1 || s.Routers > 60000 {
		return nil, fmt.Errorf("spec: Routers is %d; it must be from 1 to 60000", s.Routers)
	}
	if err := faults.Check(s.Faults, s.Topology(), faults.MembershipSimulation, s.Length); err != nil {
		return nil, err
	}
	for _, f := range s.Faults {
		if len(f.Links) > 0 && (len(f.Links) > 1 || f.Links[0] != faults.LinkPeers) {
			return nil, fmt.Errorf("%s: links must be %q: views have neither hosts nor list", f.Source, faults.LinkPeers)
		}
	}
	if s.Same == 0 {
		s.Same, s.Cross, s.Jitter = 300*time.Microsecond, 2*time.Millisecond, 0.2
	}
	w := &World{s: s, rng: rand.New(rand.NewPCG(s.Seed, 0x71e3)), at: map[netip.AddrPort]*router{}, link: faults.NewLink(s.Seed, 0)}
	topology := s.Topology()
	for i := range s.Routers {
		r := &router{n: i, zone: topology.Routers[i], addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 8), byte(i), 1}), 7946)}
		w.routers = append(w.routers, r)
		w.at[r.addr] = r
	}
	var all []members.Member
	for _, x := range w.routers {
		all = append(all, members.Member{Name: name(x.n), Zone: x.zone, Version: "1", Addr: x.addr, Boot: bootOf(x.n, 1), Incarnation: 1})
		w.seeds = append(w.seeds, x.addr)
	}
	if s.StartConverged {
		w.roster = members.NewRoster(all)
	}
	for i := range w.routers {
		at := time.Duration(0)
		if s.Spread > 0 {
			at = time.Duration(w.rng.Int64N(int64(s.Spread)))
		}
		w.put(event{at: at, do: starts, n: i})
		w.scheduleFreeze(i)
	}
	w.injections = faults.Resolve(s.Faults, topology, s.Seed)
	for i, x := range w.injections {
		w.put(event{at: x.At, do: begins, n: i})
	}
	return w, nil
}

// scheduleFreeze has a router stand still some time.
func (w *World) scheduleFreeze(n int) {
	if w.s.Pauses > 0 {
		w.put(event{at: w.now + time.Duration(w.rng.ExpFloat64()*float64(w.s.Pauses)), do: stands, n: n})
	}
}

func (w *World) put(e event) {
	e.at = max(e.at, w.now)
	w.events.Add(e.at, e)
}

// Run plays until a time. An invariant that breaks ends it.
func (w *World) Run(until time.Duration) error {
	for w.broken == nil {
		e, at, ok := w.events.Next(until)
		if !ok {
			break
		}
		w.now = at
		w.play(&e)
	}
	if w.broken == nil {
		w.now = max(w.now, until)
	}
	return w.broken
}

// Now is the time of the play.
func (w *World) Now() time.Duration { return w.now }

func (w *World) emit(e history.Event) {
	if w.s.History != nil {
		e.T = w.now.Nanoseconds()
		w.s.History(&e)
	}
}

func name(n int) string { return fmt.Sprint("r", n) }

func (w *World) play(e *event) {
	switch e.do {
	case arrives:
		r := w.routers[e.n]
		switch {
		case r.d == nil:
		case r.still > 0:
			if len(r.inbox) < mostInbox {
				r.inbox = append(r.inbox, members.Received{From: e.from, Data: e.data})
			}
		default:
			w.step(r, members.Received{From: e.from, Data: e.data})
		}
	case wakes:
		if r := w.routers[e.n]; r.d != nil && r.gen == e.gen && r.due == e.at && r.still == 0 {
			w.step(r, members.Tick{})
		}
	case starts:
		w.start(w.routers[e.n])
	case begins:
		s := w.injections[e.n]
		w.emit(simulator.FaultEvent(history.Fault, e.n, s))
		w.put(event{at: w.now + s.Length, do: ends, n: e.n})
		w.inject(s, true)
	case ends:
		s := w.injections[e.n]
		w.inject(s, false)
		w.emit(simulator.FaultEvent(history.Heal, e.n, s))
	case freezes, thaws:
		w.crawl(e)
	case stands:
		if w.now < w.s.Length {
			w.freeze(w.routers[e.n], true)
			w.put(event{at: w.now + w.s.Pause, do: goesOn, n: e.n})
		}
	case goesOn:
		w.freeze(w.routers[e.n], false)
		w.scheduleFreeze(e.n)
	}
}

// mostInbox is what a process's socket holds while it stands still.
const mostInbox = 1000

func (w *World) start(r *router) {
	if r.d != nil || r.down > 0 {
		return
	}
	var seeds []netip.AddrPort
	if w.s.Seeds > 0 {
		for _, i := range w.rng.Perm(w.s.Routers)[:min(w.s.Seeds, w.s.Routers)] {
			seeds = append(seeds, w.routers[i].addr)
		}
	} else {
		seeds = w.seeds
	}
	r.gen++
	d, err := members.New(members.Config{Name: name(r.n), Zone: r.zone, Version: "1", Addr: r.addr, Boot: bootOf(r.n, r.gen), Seeds: seeds,
		SeedsOnly: w.s.Seeds == 0, RandomSeed: w.s.Seed<<20 | uint64(r.n)}, w.now)
	if err != nil {
		w.broken = err
		return
	}
	r.d, r.inc, r.draining, r.born = d, 0, false, w.now
	if w.s.StartConverged && r.gen == 1 {
		d.Restore(w.roster)
	}
	w.emit(history.Event{What: history.Start, Who: name(r.n)})
	w.step(r, members.Tick{})
}

// bootOf is as good as drawn.
func bootOf(n int, gen uint32) uint32 { return (uint32(n)*2654435761 ^ gen*2246822519) | 1 }

// stop ends a router's process.
func (w *World) stop(r *router) {
	if r.d != nil {
		r.d, r.inbox, r.missed = nil, nil, 0
		w.emit(history.Event{What: history.Exit, Who: name(r.n), Status: -1, Text: "killed"})
	}
}

// step has a decider take an event, and carries out what it wants.
func (w *World) step(r *router, e members.Event) {
	gen := r.gen
	for _, a := range r.d.Step(w.now, e) {
		switch a := a.(type) {
		case members.Send:
			w.send(r, a)
		case members.Changed:
			w.changed(r, &a)
		}
	}
	if r.d == nil || r.gen != gen {
		return
	}
	w.invariants(r)
	if due := r.d.Next(); due != r.due || due <= w.now {
		if _, byTimer := e.(members.Tick); byTimer && due <= w.now && w.broken == nil {
			w.broken = fmt.Errorf("%v: %s was stepped at the time that it named, and names no later one: its loop would turn without pause", w.now, name(r.n))
		}
		r.due = max(due, w.now+time.Microsecond) // what a message has called for follows at once
		w.put(event{at: r.due, do: wakes, n: r.n, gen: r.gen})
	}
}

func (w *World) changed(r *router, c *members.Changed) {
	w.Changes++
	for _, x := range c.Changes {
		if x.Reason != members.ReasonCrashed && x.Reason != members.ReasonZoneLost {
			continue
		}
		w.Deaths++
		if of := w.at[x.Member.Addr]; w.well(of) {
			w.False++
			w.emit(history.Event{What: history.Note, Who: name(r.n), Text: "false death of " + x.Member.Name})
		}
	}
	if w.s.Changed != nil {
		w.s.Changed(r.n, w.now, c)
	}
}

// wellFor is how long a router must have lived and been reached for its death to be false: what led
// to it may be from before, and waits for others in doubt.
const wellFor = 6 * time.Second

// well tells that a router lives, runs, and is struck by no cut or partition, for long enough.
func (w *World) well(r *router) bool {
	if r.d == nil || r.still > 0 || w.now < r.born+wellFor {
		return false
	}
	for _, s := range w.injections {
		if partitioned := s.Kind == faults.Partition || s.Kind == faults.Blackhole && s.Concerns(r.n); partitioned && w.now >= s.At && w.now < s.At+s.Length+wellFor {
			return false
		}
		if still := s.Kind == faults.Freeze && slices.Contains(s.Routers, r.n); still && w.now >= s.At && w.now < s.At+s.Length+wellFor && s.Length > maxFreeze {
			return false
		}
	}
	return true
}

// maxFreeze is the longest standstill that is to be taken for no death.
const maxFreeze = time.Second

// invariants are looked at after each step of a router.
func (w *World) invariants(r *router) {
	inc := r.d.Incarnation()
	switch {
	case inc < r.inc:
		w.broken = fmt.Errorf("at %v the incarnation of %s went from %d to %d", w.now, name(r.n), r.inc, inc)
	case !r.draining && r.d.State() != members.Joining && r.d.State() != members.Alive:
		w.broken = fmt.Errorf("at %v %s is %v in its own view", w.now, name(r.n), r.d.State())
	}
	r.inc = inc
}

func (w *World) send(r *router, a members.Send) {
	w.Datagrams++
	w.Bytes += uint64(len(a.Data))
	if len(a.Data) > members.MaxDatagramLen {
		w.broken = fmt.Errorf("at %v %s sends %d bytes", w.now, name(r.n), len(a.Data))
		return
	}
	to := w.at[a.To]
	if to == nil {
		return
	}
	if to.d == nil && to.missed == 0 && len(a.Data) > 0 && a.Data[0] == pingByte {
		to.missed = w.now
	}
	way := w.s.Same
	if to.zone != r.zone {
		way = w.s.Cross
	}
	way += time.Duration(w.s.Jitter * w.rng.Float64() * float64(way))
	if len(w.on) == 0 {
		w.put(event{at: w.now + way, do: arrives, n: to.n, from: r.addr, data: a.Data})
		return
	}
	w.link.Condition = faults.ConditionOf(w.on, faults.End{N: r.n}, faults.End{N: to.n})
	w.copies = w.link.Pass(len(a.Data), w.copies[:0])
	for _, c := range w.copies {
		data := a.Data
		if c.Bytes < len(data) || c.Flip >= 0 {
			data = append([]byte(nil), data[:c.Bytes]...)
			if c.Flip >= 0 {
				data[c.Flip/8] ^= 1 << (c.Flip % 8)
			}
		}
		w.put(event{at: w.now + way + c.After, do: arrives, n: to.n, from: r.addr, data: data})
	}
}

// pingByte is the first of a ping.
const pingByte = 2 << 4

// FirstMiss is when the first ping found a router dead, since it died last; 0 for not yet.
func (w *World) FirstMiss(n int) time.Duration { return w.routers[n].missed }

// inject has a fault begin or end.
func (w *World) inject(s *faults.Injection, on bool) {
	if faults.Of(s.Kind).OfLinks() {
		if on {
			w.on = append(w.on, s)
		} else {
			w.on = slices.DeleteFunc(w.on, func(x *faults.Injection) bool { return x == s })
		}
		return
	}
	for _, n := range s.Routers {
		r := w.routers[n]
		switch s.Kind {
		case faults.Kill, faults.Power, faults.Restart:
			if on {
				if s.Kind == faults.Restart && r.d != nil && r.still == 0 {
					r.draining = true
					w.step(r, members.Leave{})
				}
				r.down++
				w.stop(r)
			} else if r.down--; r.down == 0 {
				w.start(r)
			}
		case faults.Replace:
			if on && r.d != nil && r.still == 0 && r.down == 0 {
				r.draining = true
				w.step(r, members.Leave{Replaced: true})
				w.stop(r)
				w.start(r)
			}
		case faults.Freeze:
			w.freeze(r, on)
		case faults.Crawl:
			if on {
				w.put(event{at: w.now, do: freezes, n: n, gen: uint32(slices.Index(w.injections, s))})
			}
		}
	}
}

func (w *World) freeze(r *router, on bool) {
	if on {
		r.still++
		return
	}
	if r.still--; r.still > 0 || r.d == nil {
		return
	}
	inbox := r.inbox
	r.inbox = nil
	for _, e := range inbox {
		if r.d != nil {
			w.step(r, e)
		}
	}
	if r.d != nil {
		w.step(r, members.Tick{})
	}
}

// burst is the length of one standstill of a router that crawls with the time until the next one.
const burst = 200 * time.Millisecond

func (w *World) crawl(e *event) {
	s, r := w.injections[e.gen], w.routers[e.n]
	if e.do == freezes {
		if w.now >= s.At+s.Length {
			return
		}
		w.freeze(r, true)
		w.put(event{at: w.now + time.Duration(s.Share*float64(burst)), do: thaws, n: e.n, gen: e.gen})
		return
	}
	w.freeze(r, false)
	w.put(event{at: w.now + time.Duration((1-s.Share)*float64(burst)), do: freezes, n: e.n, gen: e.gen})
}

// Settled tells whether all routers that live have the same view, in which are they and nobody
// else; if not, why.
func (w *World) Settled() (bool, string) {
	var digest uint64
	var first *router
	live := 0
	for _, r := range w.routers {
		if r.d == nil {
			continue
		}
		live++
		if first == nil {
			first, digest = r, r.d.Digest()
		}
		if r.d.Digest() != digest {
			return false, fmt.Sprintf("%s and %s see different fleets, of %d and %d", name(first.n), name(r.n), first.d.Stats().Alive, r.d.Stats().Alive)
		}
	}
	if first == nil {
		return true, ""
	}
	v := first.d.View()
	if len(v.Members) != live {
		return false, fmt.Sprintf("%s sees %d; %d live", name(first.n), len(v.Members), live)
	}
	for _, m := range v.Members {
		if r := w.at[m.Addr]; r.d == nil || name(r.n) != m.Name {
			return false, m.Name + " is seen, and does not live"
		}
	}
	return true, ""
}

// AwaitConvergence plays on until the fleet has settled, and returns when; ok is false where it has
// not by a time.
func (w *World) AwaitConvergence(until time.Duration) (at time.Duration, ok bool, why string) {
	const look = 50 * time.Millisecond
	for {
		if ok, why = w.Settled(); ok {
			return w.now, true, ""
		}
		if w.now >= until || w.broken != nil {
			return w.now, false, why
		}
		w.Run(min(w.now+look, until))
	}
}

// Decider returns a router's, nil while it is dead.
func (w *World) Decider(n int) *members.Decider { return w.routers[n].d }

// Live is how many routers live.
func (w *World) Live() (n int) {
	for _, r := range w.routers {
		if r.d != nil {
			n++
		}
	}
	return n
}
