// Package dutylab plays duties in virtual time: voters of package quorum, agents of package duty, a receiver that they act upon, the
// network between them with the faults of package faults, disks that may be lost, swapped or older, and clocks whose rates differ. The
// same Spec gives the same play. It is pure and single-threaded.
package dutylab

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"reachspread/internal/duty"
	"reachspread/internal/faults"
	"reachspread/internal/history"
	"reachspread/internal/lab"
	"reachspread/internal/quorum"
)

// Spec is a play.
type Spec struct {
	Seed    uint64
	Routers int
	Zones   int // 0 counts as 1
	May     int // the first routers may vote; 0 counts as Voters
	Voters  int
	Duties  []duty.Duty
	Wants   func(router int) []string // the duties that a router wants, nil for all
	Times   duty.Times                // its zero value counts as duty.Usual
	Length  time.Duration
	Way     time.Duration // of a message; 0 counts as 500 us, each is up to a half longer
	Sync    time.Duration // of a write to disk; what waits for it leaves so much later
	Rates   float64       // the most by which two clocks' rates differ
	Every   time.Duration // between two acts of a holder; 0 counts as 40 ms
	Faults  []faults.Fault
	NoFence bool // planted: the receiver takes everything
	NoWait  bool // planted: a new leader does not wait a whole lease
	Replace time.Duration
	History func(*history.Event)
}

// Shape is the fleet as schedules see it. Its one host is the receiver.
func (s *Spec) Shape() *faults.Shape {
	shape := &faults.Shape{Hosts: []string{""}}
	for i := range s.Routers {
		shape.Routers = append(shape.Routers, string(rune('a'+i%max(s.Zones, 1))))
	}
	return shape
}

// router is one place.
type router struct {
	n      int
	name   string
	zone   string
	lives  bool
	gen    uint32
	down   int
	still  int
	rate   float64
	began  time.Duration // of this life
	disk   *quorum.Stored
	older  *quorum.Stored // as it was when this life began
	voter  *quorum.Voter
	agent  *duty.Agent
	held   map[string]uint64
	inbox  []event
	due    time.Duration
	stops  int // actions after which the process dies, where it is about to
	unseen time.Duration
}

// World is a play at one moment.
type World struct {
	s       Spec
	now     time.Duration
	rng     *rand.Rand
	queue   queue
	seq     uint64
	routers []*router
	byName  map[string]*router
	fence   duty.Fence
	strikes []*faults.Strike
	on      []*faults.Strike
	link    *faults.Link
	copies  []faults.Copy
	grantAt map[uint64]time.Duration // by token, its application

	// Spans has who held which duty when, by the moments at which holders began and ended; To is 0 while it lasts.
	Spans                       []Span
	Messages, Requests, Answers uint64
	Bytes                       uint64
	Acts, Refused               int
	Told                        []string
	Applied                     uint64 // the furthest
	table                       map[uint64]string
	Broken                      error
}

// Span is a time in which a router held a duty.
type Span struct {
	Duty     string
	Router   int
	Token    uint64
	From, To time.Duration
	Why      string
}

type doing uint8

const (
	toVoter doing = iota
	toVoters
	toAgent
	wakes
	starts
	begins
	ends
	freezes
	thaws
	acts
	leaves
	lands
	looks
)

type event struct {
	at      time.Duration
	seq     uint64
	do      doing
	n       int
	gen     uint32
	from    int
	data    []byte
	duty    string
	token   uint64
	checked time.Duration
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// New makes a world.
func New(s Spec) (*World, error) {
	if s.Routers < 1 || s.Routers > 5000 {
		return nil, fmt.Errorf("spec: Routers is %d; it must be from 1 to 5000", s.Routers)
	}
	if s.Times == (duty.Times{}) {
		s.Times = duty.Usual
	}
	s.May = max(s.May, s.Voters)
	if s.May > s.Routers {
		return nil, fmt.Errorf("spec: May is %d of %d routers", s.May, s.Routers)
	}
	for _, d := range []struct {
		of *time.Duration
		to time.Duration
	}{{&s.Way, 500 * time.Microsecond}, {&s.Every, 40 * time.Millisecond}, {&s.Replace, 10 * time.Second}} {
		if *d.of == 0 {
			*d.of = d.to
		}
	}
	if err := faults.Check(s.Faults, s.Shape(), faults.View, s.Length); err != nil {
		return nil, err
	}
	w := &World{s: s, rng: rand.New(rand.NewPCG(s.Seed, 0xd071)), byName: map[string]*router{}, link: faults.NewLink(s.Seed, 7), table: map[uint64]string{}, grantAt: map[uint64]time.Duration{}}
	shape := s.Shape()
	for i := range s.Routers {
		r := &router{n: i, name: fmt.Sprint("r", i), zone: shape.Routers[i], rate: 1 + s.Rates*(w.rng.Float64()-0.5), stops: -1}
		w.routers = append(w.routers, r)
		w.byName[r.name] = r
		w.put(event{at: time.Duration(w.rng.Int64N(int64(50 * time.Millisecond))), do: starts, n: i})
	}
	w.strikes = faults.Resolve(s.Faults, shape, s.Seed)
	for i, x := range w.strikes {
		w.put(event{at: x.At, do: begins, n: i})
	}
	w.put(event{at: lookEvery, do: looks})
	return w, nil
}

// names are of those that may vote.
func (w *World) names() (all []string) {
	for _, r := range w.routers[:w.s.May] {
		all = append(all, r.name)
	}
	return all
}

func (w *World) put(e event) {
	w.seq++
	e.seq, e.at = w.seq, max(e.at, w.now)
	heap.Push(&w.queue, e)
}

// Run plays until a time.
func (w *World) Run(until time.Duration) error {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.Broken == nil {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.play(&e)
	}
	w.now = max(w.now, until)
	return w.Broken
}

// Now is the time of the play.
func (w *World) Now() time.Duration { return w.now }

func (w *World) emit(e history.Event) {
	if w.s.History != nil {
		e.T = w.now.Nanoseconds()
		w.s.History(&e)
	}
}

// clock is a router's own time: of its machine, which goes on while the process stands still.
func (r *router) clock(now time.Duration) time.Duration {
	return time.Hour + time.Duration(r.n)*time.Minute + time.Duration(float64(now)*r.rate)
}

// truth is when a router's clock shows a time.
func (r *router) truth(local time.Duration) time.Duration {
	return time.Duration(float64(local-time.Hour-time.Duration(r.n)*time.Minute) / r.rate)
}

const (
	lookEvery = 500 * time.Millisecond
	lostAfter = 3 * time.Second // until the view of the play takes who is gone for dead
	mostInbox = 1000
)

func (w *World) play(e *event) {
	switch e.do {
	case toVoter, toVoters, toAgent, wakes, acts, leaves:
		r := w.routers[e.n]
		switch {
		case !r.lives || e.gen != 0 && e.gen != r.gen:
		case e.do == wakes && r.due != e.at:
		case r.still > 0:
			if len(r.inbox) < mostInbox && e.do != wakes {
				r.inbox = append(r.inbox, *e)
			}
		default:
			w.take(r, e)
		}
	case starts:
		w.start(w.routers[e.n])
	case lands:
		w.land(e)
	case looks:
		w.look()
	case begins:
		s := w.strikes[e.n]
		w.emit(lab.FaultEvent(history.Fault, e.n, s))
		w.put(event{at: w.now + s.Length, do: ends, n: e.n})
		w.strike(s, true)
	case ends:
		s := w.strikes[e.n]
		w.strike(s, false)
		w.emit(lab.FaultEvent(history.Heal, e.n, s))
	case freezes, thaws:
		w.crawl(e)
	}
}

// take has a process that runs deal with something.
func (w *World) take(r *router, e *event) {
	now := r.clock(w.now)
	switch e.do {
	case toVoter: // a router's request
		if q, _, err := duty.Read(e.data); err == nil && q != nil && r.voter != nil {
			w.voted(r, r.voter.Step(now, quorum.Asked{From: fmt.Sprint("r", e.from), Request: q}))
		}
	case toVoters:
		if r.voter != nil {
			w.voted(r, r.voter.Step(now, quorum.Received{Data: e.data}))
		}
	case toAgent:
		if _, p, err := duty.Read(e.data); err == nil && p != nil {
			w.told(r, p)
			w.asked(r, r.agent.Heard(now, fmt.Sprint("r", e.from), p))
		}
	case wakes:
		if r.voter != nil && now >= r.voter.Next() {
			w.voted(r, r.voter.Step(now, quorum.Passed{}))
		}
		if next := r.agent.Next(); r.lives && next != 0 && now >= next {
			w.asked(r, r.agent.Passed(now))
		}
	case acts:
		w.act(r, e.duty)
	case leaves:
		w.leave(r, e)
	}
	w.wake(r)
}

func (w *World) wake(r *router) {
	if !r.lives {
		return
	}
	due := time.Duration(0)
	if r.voter != nil {
		due = r.voter.Next()
	}
	if next := r.agent.Next(); next != 0 && (due == 0 || next < due) {
		due = next
	}
	if due == 0 {
		return
	}
	r.due = max(r.truth(due)+time.Microsecond, w.now+time.Microsecond)
	w.put(event{at: r.due, do: wakes, n: r.n, gen: r.gen})
}

func (w *World) start(r *router) {
	if r.lives || r.down > 0 {
		return
	}
	r.gen++
	r.lives, r.stops, r.inbox, r.held, r.began = true, -1, nil, map[string]uint64{}, w.now
	boot := (uint32(r.n)*2654435761 ^ r.gen*2246822519) | 1
	r.older = r.disk.Clone()
	var out []quorum.Action
	if r.n < w.s.May {
		v, err := quorum.New(quorum.Config{Self: r.name, Zone: r.zone, Names: w.names(), Voters: w.s.Voters, Duties: w.s.Duties, Times: w.s.Times,
			ReplaceAfter: w.s.Replace, Boot: boot, Seed: w.s.Seed, NoWait: w.s.NoWait}, r.disk.Clone(), r.clock(w.now))
		if err != nil {
			w.Broken = err
			return
		}
		r.voter = v
		out = v.Step(r.clock(w.now), quorum.Passed{})
	}
	agent, err := duty.NewAgent(duty.AgentConfig{Self: duty.Router{Name: r.name, Boot: boot, Zone: r.zone}, Times: w.s.Times, Voters: w.names(), Seed: w.s.Seed})
	if err != nil {
		w.Broken = err
		return
	}
	r.agent = agent
	w.emit(history.Event{What: history.Start, Who: r.name})
	w.voted(r, out)
	for _, d := range w.wants(r) {
		if r.lives {
			w.asked(r, r.agent.Want(r.clock(w.now), d))
		}
	}
	w.wake(r)
}

func (w *World) wants(r *router) (all []string) {
	if w.s.Wants != nil {
		return w.s.Wants(r.n)
	}
	for _, d := range w.s.Duties {
		all = append(all, d.Of(r.zone))
	}
	return all
}

// stop ends a process where it stands.
func (w *World) stop(r *router) {
	if !r.lives {
		return
	}
	r.lives, r.voter, r.agent, r.inbox = false, nil, nil, nil
	for i := range w.Spans {
		if s := &w.Spans[i]; s.Router == r.n && s.To == 0 {
			s.To, s.Why = w.now, "killed"
		}
	}
	w.emit(history.Event{What: history.Exit, Who: r.name, Status: -1, Text: "killed"})
}

// voted carries out what a voter wants, one after the other; a process that is about to die does so in between.
func (w *World) voted(r *router, out []quorum.Action) {
	synced := time.Duration(0)
	for _, a := range out {
		if r.stops >= 0 {
			if r.stops == 0 {
				w.stop(r)
				return
			}
			r.stops--
		}
		switch a := a.(type) {
		case quorum.Keep:
			r.disk = r.disk.Kept(&a)
			synced += w.s.Sync
		case quorum.Send:
			w.Messages++
			w.Bytes += uint64(len(a.Data))
			w.send(r, w.byName[a.To], event{do: toVoters, data: a.Data}, synced)
		case quorum.Answer:
			w.Answers++
			w.send(r, w.byName[a.To], event{do: toAgent, data: a.Reply.Append()}, synced)
		case quorum.Applied:
			w.applied(r, &a)
		case quorum.Told:
			w.Told = append(w.Told, fmt.Sprintf("%v %s: %s: %s", w.now, r.name, a.What, a.Cause))
		}
	}
}

// applied looks whether all voters apply the same.
func (w *World) applied(r *router, a *quorum.Applied) {
	x, _ := json.Marshal(a) // of plain fields
	text := string(x)
	key := r.voter.Standing().Group<<40 | a.Index
	if before, known := w.table[key]; known && before != text {
		w.Broken = fmt.Errorf("at %v %s applies another command %d than was applied: %s, not %s", w.now, r.name, a.Index, text, before)
	} else if !known && len(w.table) < 1<<20 {
		w.table[key] = text
		w.expired(a)
	}
	w.Applied = max(w.Applied, a.Index)
}

// asked carries out what an agent wants.
func (w *World) asked(r *router, out []duty.Action) {
	for _, a := range out {
		if !r.lives {
			return
		}
		switch a := a.(type) {
		case duty.Ask:
			w.Requests++
			w.tells(r, a.Request)
			data := a.Request.Append()
			w.send(r, w.byName[a.To], event{do: toVoter, data: data}, 0)
		case duty.Began:
			if r.held[a.Duty] != a.Token {
				r.held[a.Duty] = a.Token
				w.Spans = append(w.Spans, Span{Duty: a.Duty, Router: r.n, Token: a.Token, From: w.now})
				w.put(event{at: w.now, do: acts, n: r.n, gen: r.gen, duty: a.Duty, token: a.Token})
			}
		case duty.Ended:
			delete(r.held, a.Duty)
			for i := range w.Spans {
				if s := &w.Spans[i]; s.Router == r.n && s.Duty == a.Duty && s.To == 0 {
					s.To, s.Why = w.now, a.Why
				}
			}
		case duty.Wished:
			w.asked(r, r.agent.Drop(r.clock(w.now), a.Duty, a.To, duty.Soon))
		}
	}
}

// opKinds names requests in the history.
var opKinds = map[duty.Kind]string{duty.Acquire: "acquire", duty.Renew: "renew", duty.Yield: "yield", duty.HandOver: "yield"}

func (r *router) life() string { return fmt.Sprintf("%s/%d", r.name, r.gen) }

// tells puts a request for a duty of one holder into the history.
func (w *World) tells(r *router, q *duty.Request) {
	c := &q.Command
	if kind, is := opKinds[c.Kind]; is && !w.several(c.Duty) {
		w.emit(history.Event{What: history.Invoke, Who: r.life(), ID: fmt.Sprint(r.life(), " ", q.ID), Op: &history.Op{Kind: kind, Key: c.Duty, Value: r.life(), Token: c.Token}})
	}
}

// told puts the end of one there, if it was one.
func (w *World) told(r *router, p *duty.Reply) {
	if p.ID != 0 && !p.NotLeader {
		w.emit(history.Event{What: history.OK, Who: r.life(), ID: fmt.Sprint(r.life(), " ", p.ID), Op: &history.Op{Did: p.Answer.OK, Token: p.Answer.Grant.Token}})
	}
}

// expired puts the end of a lease there, which came at some time after the grant.
func (w *World) expired(a *quorum.Applied) {
	for _, c := range a.Changes {
		if c.Granted {
			w.grantAt[c.Grant.Token] = w.now
		} else if (c.Why == duty.Expired || c.Why == duty.Again) && !w.several(c.Grant.Duty) {
			id := fmt.Sprint("expire ", c.Grant.Token)
			op := &history.Op{Kind: "expire", Key: c.Grant.Duty, Token: c.Grant.Token}
			if w.s.History != nil {
				w.s.History(&history.Event{T: w.grantAt[c.Grant.Token].Nanoseconds(), What: history.Invoke, Who: id, ID: id, Op: op})
			}
			w.emit(history.Event{What: history.OK, Who: id, ID: id, Op: &history.Op{Did: true}})
		}
	}
}

// several tells that a duty may have several holders.
func (w *World) several(name string) bool {
	return slices.ContainsFunc(w.s.Duties, func(d duty.Duty) bool { return d.Name == name && d.Holders > 1 })
}

// act looks at the lease, and acts a moment later: a standstill may come in between.
func (w *World) act(r *router, name string) {
	token, _, ok := r.agent.Begin(r.clock(w.now), name)
	if !ok || r.held[name] == 0 {
		return
	}
	w.put(event{at: w.now + time.Duration(w.rng.Int64N(int64(2*time.Millisecond))), do: leaves, n: r.n, gen: r.gen, duty: name, token: token, checked: w.now})
	w.put(event{at: w.now + w.s.Every/2 + time.Duration(w.rng.Int64N(int64(w.s.Every))), do: acts, n: r.n, gen: r.gen, duty: name, token: token})
}

// leave has an act leave the process. Where several may hold a duty there is nothing to be fenced.
func (w *World) leave(r *router, e *event) {
	if w.several(e.duty) {
		return
	}
	way := w.way()
	w.link.Condition = faults.ConditionOf(w.on, faults.End{N: r.n}, faults.End{Kind: faults.AtHost})
	w.copies = w.link.Pass(1, w.copies[:0])
	for _, c := range w.copies {
		w.put(event{at: w.now + way + c.After, do: lands, from: r.n, duty: e.duty, token: e.token, checked: e.checked})
	}
}

// land is an act at its receiver.
func (w *World) land(e *event) {
	w.Acts++
	status := 200
	if pass := w.fence.Pass(e.duty, e.token); !pass && !w.s.NoFence {
		status = 409
		w.Refused++
		if r := w.routers[e.from]; r.lives && r.still == 0 {
			w.asked(r, r.agent.Refused(r.clock(w.now), e.duty, w.fence.Highest(e.duty)))
			w.wake(r)
		}
	}
	w.emit(history.Event{What: history.Act, Who: "h0", From: w.routers[e.from].name, Text: e.duty, Token: e.token, Status: status, Begun: e.checked.Nanoseconds()})
}

func (w *World) way() time.Duration {
	return w.s.Way + time.Duration(w.rng.Int64N(int64(w.s.Way/2+1)))
}

// send has a message go to another router, later by what it waits for.
func (w *World) send(r, to *router, e event, later time.Duration) {
	if to == nil {
		return
	}
	e.n, e.from = to.n, r.n
	way := w.way() + later
	if to == r || len(w.on) == 0 {
		e.at = w.now + way
		w.put(e)
		return
	}
	w.link.Condition = faults.ConditionOf(w.on, faults.End{N: r.n}, faults.End{N: to.n})
	if e.do == toVoters { // a connection's content comes whole or not at all
		w.link.Clip, w.link.Flip = 0, 0
	}
	w.copies = w.link.Pass(len(e.data), w.copies[:0])
	for _, c := range w.copies {
		x := e
		if c.Bytes < len(e.data) || c.Flip >= 0 {
			x.data = append([]byte(nil), e.data[:c.Bytes]...)
			if c.Flip >= 0 {
				x.data[c.Flip/8] ^= 1 << (c.Flip % 8)
			}
		}
		x.at = w.now + way + c.After
		w.put(x)
	}
}

// look tells voters who lives.
func (w *World) look() {
	living := map[string]bool{}
	for _, r := range w.routers {
		if r.lives && r.still == 0 {
			r.unseen = w.now
		}
		living[r.name] = w.now < r.unseen+lostAfter
	}
	for _, r := range w.routers[:w.s.May] {
		if r.lives && r.still == 0 {
			w.voted(r, r.voter.Step(r.clock(w.now), quorum.View{Living: living}))
			w.wake(r)
		}
	}
	w.put(event{at: w.now + lookEvery, do: looks})
}

// strike has a fault begin or end.
func (w *World) strike(s *faults.Strike, on bool) {
	if faults.Of(s.Kind).OfLinks() {
		if on {
			w.on = append(w.on, s)
		} else {
			w.on = slices.DeleteFunc(w.on, func(x *faults.Strike) bool { return x == s })
		}
		return
	}
	for _, n := range s.Routers {
		r := w.routers[n]
		switch s.Kind {
		case faults.Kill, faults.Power, faults.Restart:
			if on {
				w.kill(r, s.Kind == faults.Restart)
			} else if r.down--; r.down == 0 {
				w.disk(r, s)
				w.start(r)
			}
		case faults.Replace:
			if on && r.lives && r.still == 0 && r.down == 0 {
				w.kill(r, true)
				r.down--
				w.start(r)
			}
		case faults.Pause:
			w.freeze(r, on)
		case faults.Crawl:
			if on {
				w.put(event{at: w.now, do: freezes, n: n, gen: uint32(slices.Index(w.strikes, s))})
			}
		}
	}
}

// kill ends a process: by itself, giving back what it holds, or in the middle of what it does.
func (w *World) kill(r *router, asked bool) {
	r.down++
	switch {
	case !r.lives:
	case asked && r.still == 0:
		for _, d := range r.agent.Wants() {
			w.asked(r, r.agent.Drop(r.clock(w.now), d, "", 0))
		}
	case r.voter != nil && r.still == 0:
		r.stops = w.rng.IntN(6)
		w.voted(r, r.voter.Step(r.clock(w.now), quorum.Passed{}))
	}
	w.stop(r)
}

// disk does to a folder what a fault says.
func (w *World) disk(r *router, s *faults.Strike) {
	switch s.Disk {
	case faults.DiskEmpty, faults.DiskCut:
		r.disk = nil // what is cut is not read
	case faults.DiskOther:
		r.disk = w.routers[(r.n+1)%w.s.May].disk.Clone()
	case faults.DiskOlder:
		r.disk = r.older.Clone()
	}
}

func (w *World) freeze(r *router, on bool) {
	if on {
		r.still++
		return
	}
	if r.still--; r.still > 0 || !r.lives {
		return
	}
	inbox, gen := r.inbox, r.gen
	r.inbox = nil
	for i := range inbox {
		if r.lives && r.gen == gen {
			w.take(r, &inbox[i])
		}
	}
	if r.lives && r.gen == gen {
		w.take(r, &event{do: wakes})
	}
}

// burst is the length of one standstill of a router that crawls with the time until the next one.
const burst = 200 * time.Millisecond

func (w *World) crawl(e *event) {
	s, r := w.strikes[e.gen], w.routers[e.n]
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

// Holder is who holds a duty by its own account, -1 for nobody.
func (w *World) Holder(name string) int {
	for _, r := range w.routers {
		if r.lives && r.held[name] != 0 {
			return r.n
		}
	}
	return -1
}

// Leader is the voter that leads as most see it, -1 for nobody.
func (w *World) Leader() int {
	for _, r := range w.routers[:w.s.May] {
		if r.lives && r.still == 0 && r.voter.Standing().Left != nil {
			return r.n
		}
	}
	return -1
}

// Standing is a voter's, false while it does not live.
func (w *World) Standing(n int) (quorum.Standing, bool) {
	if r := w.routers[n]; r.voter != nil {
		return r.voter.Standing(), true
	}
	return quorum.Standing{}, false
}

// Ask has an operator's request go from a router to the voters.
func (w *World) Ask(n int, c duty.Command) {
	for _, r := range w.routers[:w.s.May] {
		w.send(w.routers[n], r, event{do: toVoter, data: (&duty.Request{ID: 1, Command: c}).Append()}, 0)
	}
}

// Rebuild asks a router for a new group, and says why it was refused.
func (w *World) Rebuild(n int, gone ...string) string {
	r := w.routers[n]
	out := r.voter.Step(r.clock(w.now), quorum.Rebuild{Gone: gone})
	w.voted(r, out)
	w.wake(r)
	for _, a := range out {
		if x, ok := a.(quorum.Rebuilt); ok {
			return x.Refused
		}
	}
	return "nothing was said"
}
