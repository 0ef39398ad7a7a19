package lease

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Periods of an agent.
const (
	answerWithin = 150 * time.Millisecond // then another voter is asked
	askAgain     = 10 * time.Second       // who waits in line, in case it was forgotten; up to a half longer
	slowest      = 2 * time.Second        // between two tries while no voter answers
	Soon         = answerWithin           // until a duty that was given back is wanted anew, at the least
	mostOpen     = 8                      // requests of one duty whose answer still counts
)

// AgentConfig is what an Agent is told at its start.
type AgentConfig struct {
	Self   Router
	Times  Times
	Voters []string // who may be asked, at most 16: routers that may be voters
	Seed   uint64
}

// Agent is a router's side of all its duties: what it asks, whom and when, and under which token it may act. Its owner calls its
// methods with the time of one monotonic clock, carries out the actions, and calls Passed at Next.
type Agent struct {
	c      AgentConfig
	rng    *rand.Rand
	src    *rand.PCG
	wants  map[string]*want
	leader int // index in Voters
	next   uint32
	seen   uint64 // the largest token of any answer

	Sent, Taken uint64 // datagrams
}

// want is a duty that is wanted, held, or being given back.
type want struct {
	duty  string
	h     *Holder
	held  bool // its owner has been told Began, and not Ended yet
	open  []sent
	at    time.Duration // when something is asked next
	tries int
	line  bool
	drop  *Command      // not nil: it is being given back with this
	again time.Duration // after it has been given back it is wanted anew, 0 for never
	until time.Duration
	wish  uint64 // the token of which the wish was told
}

type sent struct {
	id uint32
	at time.Duration
}

// Action is one of the following: what the owner is to do.
type Action interface{ action() }

// Ask is to be sent to a router by its name.
type Ask struct {
	To      string
	Request *Request
}

// Began says that the duty may be worked under with the token, and Until when, unless it is told again with a later time. Each act
// still asks Begin first.
type Began struct {
	Duty  string
	Token uint64
	Until time.Duration // by the own clock
	New   bool          // it was not held the moment before
}

// Ended says that the duty must not be worked under any more.
type Ended struct {
	Duty  string
	Token uint64
	Why   string
}

// Wished says that operators want the duty elsewhere: whoever works under it ends, and then calls Drop with To.
type Wished struct {
	Duty  string
	Token uint64
	To    string
}

func (Ask) action()    {}
func (Began) action()  {}
func (Ended) action()  {}
func (Wished) action() {}

// NewAgent returns an Agent that wants nothing yet.
func NewAgent(c AgentConfig) (*Agent, error) {
	if err := c.Times.Check(); err != nil {
		return nil, err
	}
	if len(c.Voters) == 0 || len(c.Voters) > MostVoters {
		return nil, fmt.Errorf("%d routers may vote; there must be from 1 to %d", len(c.Voters), MostVoters)
	}
	if c.Self.Name == "" || len(c.Self.Name) > MostName || len(c.Self.Zone) > MostName {
		return nil, fmt.Errorf("router %q in zone %q: names have 1 to %d bytes", c.Self.Name, c.Self.Zone, MostName)
	}
	src := rand.NewPCG(c.Seed, uint64(c.Self.Boot))
	a := &Agent{c: c, src: src, rng: rand.New(src), wants: map[string]*want{}, next: c.Self.Boot}
	a.leader = a.rng.IntN(len(c.Voters))
	return a, nil
}

// Want has the agent get a duty and keep it. Wanting what is wanted changes nothing.
func (a *Agent) Want(now time.Duration, duty string) []Action {
	w := a.wants[duty]
	if w == nil {
		if len(a.wants) >= MostDuties || duty == "" || len(duty) > MostName {
			return nil
		}
		w = &want{duty: duty, h: NewHolder(a.c.Times), at: now}
		a.wants[duty] = w
	}
	if w.drop != nil && w.again == 0 {
		w.again = Soon
	}
	return a.Passed(now)
}

// Drop gives a duty back, or the place in line, to a router that is named or to whoever waits. Its work has ended before. Again is
// after how long it is wanted anew, 0 for never.
func (a *Agent) Drop(now time.Duration, duty, to string, again time.Duration) (out []Action) {
	w := a.wants[duty]
	if w == nil || w.drop != nil {
		return nil
	}
	out = a.end(w, "given back")
	w.drop = &Command{Kind: Forget, Duty: duty, Who: a.c.Self}
	if g, held := w.h.Grant(); held {
		w.drop = &Command{Kind: Yield, Duty: duty, Who: a.c.Self, Token: g.Token}
		if to != "" && to != Anybody {
			w.drop.Kind, w.drop.To = HandOver, to
		}
		w.h.Lost(g.Token)
	}
	w.open, w.at, w.tries, w.again, w.until = nil, now, 0, again, now+a.c.Times.Lease
	return append(out, a.Passed(now)...)
}

// Begin is asked right before each act under a duty.
func (a *Agent) Begin(now time.Duration, duty string) (token uint64, within time.Duration, ok bool) {
	if w := a.wants[duty]; w != nil && w.drop == nil {
		return w.h.Begin(now)
	}
	return 0, 0, false
}

// Held tells under which token a duty is held, and for how long yet.
func (a *Agent) Held(now time.Duration, duty string) (token uint64, left time.Duration) {
	if w := a.wants[duty]; w != nil && w.held {
		g, _ := w.h.Grant()
		return g.Token, max(w.h.ends()-now, 0)
	}
	return 0, 0
}

// Waits tells whether the voters have put this router in line for a duty.
func (a *Agent) Waits(duty string) bool {
	w := a.wants[duty]
	return w != nil && w.line && !w.held
}

// Wants are the duties that are wanted or held, by name, with whether the router waits in line.
func (a *Agent) Wants() []string { return slices.Sorted(maps.Keys(a.wants)) }

// Seen is the largest token that any answer had.
func (a *Agent) Seen() uint64 { return a.seen }

// Refused tells that a receiver has seen a higher token than the one that was shown to it: the duty is somebody else's by now, or the
// voters have lost what they knew.
func (a *Agent) Refused(now time.Duration, duty string, highest uint64) (out []Action) {
	a.seen = max(a.seen, highest)
	w := a.wants[duty]
	if w == nil || w.drop != nil {
		return nil
	}
	if g, held := w.h.Grant(); held && g.Token < highest {
		return a.Drop(now, duty, "", Soon)
	}
	return nil
}

// Leader is the voter that is asked first.
func (a *Agent) Leader() string { return a.c.Voters[a.leader] }

// Next is when Passed is to be called, 0 for never.
func (a *Agent) Next() (next time.Duration) {
	sooner := func(t time.Duration) {
		if next == 0 || t < next {
			next = max(t, 1)
		}
	}
	for _, w := range a.wants {
		sooner(w.at)
		if w.held {
			sooner(w.h.ends() - a.c.Times.Margin)
		}
	}
	return next
}

// Passed does what is due.
func (a *Agent) Passed(now time.Duration) (out []Action) {
	for _, name := range slices.Sorted(maps.Keys(a.wants)) {
		w := a.wants[name]
		if w.held {
			if _, _, ok := w.h.Begin(now); !ok {
				out = append(out, a.end(w, "the lease ran out")...)
				w.h.Lost(most64)
				w.at = now
			}
		}
		if now < w.at {
			continue
		}
		if w.drop != nil && now >= w.until { // the lease is over by itself
			a.gone(w, now)
			continue
		}
		out = append(out, a.ask(w, now)...)
	}
	return out
}

// ask sends what the state of a want calls for.
func (a *Agent) ask(w *want, now time.Duration) []Action {
	if w.tries > 0 { // who was asked last has not answered
		a.leader = (a.leader + 1) % len(a.c.Voters)
	}
	c := Command{Kind: Acquire, Duty: w.duty, Who: a.c.Self, Token: a.seen}
	g, held := w.h.Grant()
	switch {
	case w.drop != nil:
		c = *w.drop
	case held:
		c.Kind, c.Token = Renew, g.Token
	}
	if a.next++; a.next == 0 {
		a.next = 1
	}
	if len(w.open) >= mostOpen {
		w.open = slices.Delete(w.open, 0, 1)
	}
	w.open = append(w.open, sent{a.next, now})
	pause := answerWithin
	if w.tries > len(a.c.Voters) && !held {
		pause = min(answerWithin<<min(w.tries-len(a.c.Voters), 5), slowest)
		pause = pause/2 + time.Duration(a.rng.Int64N(int64(pause)))
	}
	w.at, w.tries = now+pause, w.tries+1
	a.Sent++
	return []Action{Ask{a.c.Voters[a.leader], &Request{a.next, c}}}
}

func (a *Agent) end(w *want, why string) []Action {
	if !w.held {
		return nil
	}
	w.held = false
	g, _ := w.h.Grant()
	return []Action{Ended{w.duty, g.Token, why}}
}

// gone ends the giving back of a duty.
func (a *Agent) gone(w *want, now time.Duration) {
	if w.again == 0 {
		delete(a.wants, w.duty)
		return
	}
	w.drop, w.open, w.at, w.tries, w.line, w.again = nil, nil, now+w.again, 0, false, 0
}

// Heard takes what a voter said.
func (a *Agent) Heard(now time.Duration, from string, r *Reply) (out []Action) {
	if r.Boot != a.c.Self.Boot {
		return nil
	}
	a.Taken++
	a.seen = max(a.seen, r.Answer.Grant.Token)
	if r.ID == 0 {
		return a.pushed(now, r)
	}
	for _, name := range slices.Sorted(maps.Keys(a.wants)) {
		w := a.wants[name]
		i := slices.IndexFunc(w.open, func(s sent) bool { return s.id == r.ID })
		if i < 0 {
			continue
		}
		if r.NotLeader {
			return a.redirected(w, now, i, from, r.Leader)
		}
		if at := slices.Index(a.c.Voters, from); at >= 0 {
			a.leader = at
		}
		s := w.open[i]
		w.open = slices.Delete(w.open, 0, i+1) // what was asked before says nothing more
		w.tries = 0
		return a.answered(w, now, s.at, &r.Answer)
	}
	return nil
}

// redirected has the voter asked that is said to lead, or the next one where nobody is said to: each once, at once.
func (a *Agent) redirected(w *want, now time.Duration, i int, from, leader string) []Action {
	if i < len(w.open)-1 { // of an earlier request than the last
		return nil
	}
	at := slices.Index(a.c.Voters, leader)
	switch {
	case at >= 0 && leader != from && len(w.open) <= 3: // two that name each other are asked at the usual pace
		a.leader, w.tries = at, 0
	case w.tries%len(a.c.Voters) == 0:
		return nil
	}
	return a.ask(w, now)
}

func (a *Agent) answered(w *want, now, asked time.Duration, r *Answer) (out []Action) {
	if w.drop != nil { // done, or there was nothing to be done any more
		a.gone(w, now)
		return nil
	}
	g, held := w.h.Grant()
	switch {
	case r.OK && r.Grant.Duty == w.duty:
		w.line = false
		return a.granted(w, now, asked, r.Grant)
	case held:
		out = a.end(w, cmp.Or(r.Why, "the voters say so"))
		w.h.Lost(g.Token)
		w.at = now
		return append(out, a.ask(w, now)...)
	}
	w.line = r.Waits
	w.at = now + askAgain + time.Duration(a.rng.Int64N(int64(askAgain/2)))
	return nil
}

func (a *Agent) granted(w *want, now, asked time.Duration, g Grant) (out []Action) {
	if old, held := w.h.Grant(); w.held && held && g.Token > old.Token {
		out = a.end(w, "granted anew")
	}
	w.h.Granted(asked, g)
	if _, _, ok := w.h.Begin(now); !ok { // the answer took longer than the lease
		out = append(out, a.end(w, "the lease ran out")...)
		w.h.Lost(most64)
		w.at = now
		return append(out, a.ask(w, now)...)
	}
	w.at, _ = w.h.RenewAt()
	held, _ := w.h.Grant()
	out = append(out, Began{w.duty, held.Token, w.h.ends() - a.c.Times.Margin, !w.held})
	w.held = true
	if g.Wish != "" && w.wish != g.Token {
		w.wish = g.Token
		out = append(out, Wished{w.duty, g.Token, g.Wish})
	}
	return out
}

// pushed takes word of a grant that came in turn, or of a wish. The lease counts only from a renewal that is asked now.
func (a *Agent) pushed(now time.Duration, r *Reply) []Action {
	g := r.Answer.Grant
	w := a.wants[g.Duty]
	if w == nil || w.drop != nil {
		return nil
	}
	if at := slices.Index(a.c.Voters, r.Leader); at >= 0 {
		a.leader = at
	}
	old, held := w.h.Grant()
	if held && old.Token > g.Token || held && old.Token == g.Token && g.Wish == old.Wish {
		return nil
	}
	if !held || old.Token < g.Token {
		out := a.end(w, "granted anew")
		w.h = NewHolder(a.c.Times)
		w.h.grant, w.h.held, w.h.from = g, true, now-a.c.Times.Lease // it may be renewed, and not acted on
		w.tries = 0
		return append(out, a.ask(w, now)...)
	}
	w.tries = 0
	return a.ask(w, now)
}

// WriteState writes all that the agent's behaviour from now on depends on.
func (a *Agent) WriteState(w io.Writer) {
	chance, _ := a.src.MarshalBinary()
	fmt.Fprintf(w, "%x %d %d|", chance, a.leader, a.next)
	for _, name := range slices.Sorted(maps.Keys(a.wants)) {
		x := a.wants[name]
		fmt.Fprintf(w, "%s %+v %v %v %v %d %v %v %v %v %d|", name, *x.h, x.held, x.open, x.at, x.tries, x.line, x.drop, x.again, x.until, x.wish)
	}
}
