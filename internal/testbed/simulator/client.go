package simulator

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/history"
)

// load is one class's clients.
type load struct {
	w        *World
	n        int
	c        *Class
	rng      *rand.Rand
	sessions uint64
	zipf     []float64 // of the prefixes, summed up
	lengths  []int     // of the prefixes
}

// tail is a time of long prompts.
type tail struct {
	disruption int
	fraction   float64
	size       float64
}

func newLoad(w *World, n int) *load {
	l := &load{w: w, n: n, c: &w.s.Classes[n], rng: w.stream(forClass, uint64(n))}
	sum := 0.0
	for i := range l.c.Prefixes {
		sum += 1 / math.Pow(float64(i+1), l.c.Zipf)
		l.zipf = append(l.zipf, sum)
		l.lengths = append(l.lengths, l.c.PrefixLen.draw(l.rng))
	}
	return l
}

func (l Length) draw(rng *rand.Rand) int {
	return max(int(l.Median*math.Exp(l.Sigma*rng.NormFloat64())), 1)
}

// AnswerOf draws the length of an answer by the request's number, for requests whose answers are
// not known.
func (c *Class) AnswerOf(n int) int {
	return min(c.Out.draw(rand.New(rand.NewPCG(uint64(n), forSession))), c.MaxOut)
}

// gap is the time until the next session begins.
func (l *load) gap() time.Duration {
	perSecond := l.c.Rate / l.c.Turns * l.w.burst
	return l.w.now + time.Duration(l.rng.ExpFloat64()/perSecond*float64(time.Second))
}

// session is one client's conversation. Its turns are drawn ahead and don't wait for answers.
type session struct {
	load    *load
	name    string
	rng     *rand.Rand
	prefix  string
	shared  int
	context int // of all turns so far, with their whole answers

	askedAt time.Duration // for the last time
	known   int           // tokens that a host may have kept since
}

func (l *load) begin() {
	if w := l.w; w.now < w.s.Length {
		w.at(l.gap(), event{kind: sessionBegins, n: l.n})
		w.turn(l.session())
	}
}

func (l *load) session() *session {
	w := l.w
	l.sessions++
	s := &session{load: l, name: "s" + strconv.Itoa(l.n) + "." + strconv.FormatUint(l.sessions, 10),
		rng: w.stream(forSession, uint64(l.n)<<40|l.sessions)}
	if n := len(l.zipf); n > 0 {
		at := s.rng.Float64() * l.zipf[n-1]
		i := 0
		for l.zipf[i] < at {
			i++
		}
		s.prefix, s.shared, s.context = "p"+strconv.Itoa(l.n)+"."+strconv.Itoa(i), l.lengths[i], l.lengths[i]
	}
	return s
}

// underway begins the sessions that are in the midst of it when the world begins, each at some turn
// after its first, as many as there are on average: otherwise the load would take minutes to come
// up.
func (l *load) underway() {
	gap := float64(l.c.Think+l.c.Class.LatencyTarget)/float64(time.Second) + l.c.Out.mean()*l.c.Class.TokenLatencyTarget.Seconds()
	for n := l.c.Rate / l.c.Turns * (l.c.Turns - 1) * gap; n > 0 && (n >= 1 || l.rng.Float64() < n); n-- {
		s := l.session()
		for before := true; before; before = s.rng.Float64() >= 1/l.c.Turns && s.context < l.c.MaxContext/2 {
			s.context += l.c.New.draw(s.rng) + min(l.c.Out.draw(s.rng), l.c.MaxOut)
		}
		l.w.at(time.Duration(s.rng.Float64()*gap*float64(time.Second)), event{kind: turnComes, p: s})
	}
}

func (l Length) mean() float64 { return l.Median * math.Exp(l.Sigma*l.Sigma/2) }

// request is a client's request over all its tries.
type request struct {
	session      *session
	n            int
	began        time.Duration
	prompt       int
	out          int
	attemptsMade int
	rng          *rand.Rand
}

// turn begins a session's next request and draws when the one after it comes.
func (w *World) turn(s *session) {
	if w.now >= w.s.Length {
		return
	}
	c := s.load.c
	more := c.New.draw(s.rng)
	for _, t := range w.tail {
		if s.rng.Float64() < t.fraction {
			more = int(float64(more) * t.size)
		}
	}
	out := min(c.Out.draw(s.rng), c.MaxOut)
	last := s.rng.Float64() < 1/c.Turns
	think := time.Duration(s.rng.ExpFloat64()*float64(c.Think)) + c.Class.LatencyTarget + time.Duration(out)*c.Class.TokenLatencyTarget
	if s.context+more+out > c.MaxContext && s.context > s.shared {
		return // the conversation is too long to go on
	}
	more = min(more, max(c.MaxContext-s.context-out, 1))
	w.requests++
	f := &request{session: s, n: w.requests, began: w.now, prompt: s.context + more, out: out, rng: w.stream(forClientAttempt, uint64(w.requests))}
	s.context = f.prompt + out
	if !last {
		w.at(w.now+think, event{kind: turnComes, p: s})
	}
	w.asks(f)
}

// asks has a client ask for the first time.
func (w *World) asks(f *request) {
	s := f.session
	if w.planning {
		w.plan = append(w.plan, Planned{At: w.now, ID: "f" + strconv.Itoa(f.n), Class: s.load.n, Session: s.name, Prefix: s.prefix, Shared: s.shared,
			Prompt: f.prompt, Out: f.out, MaxOut: s.load.c.MaxOut})
		return
	}
	w.open++
	w.needs(f)
	w.res.Classes[s.load.n].Asked++
	w.second().Asked++
	w.sendToRouter(f)
}

// captured has a request that once was taken in come again, and the one after it in its time.
func (w *World) captured(n int) {
	p := &w.s.Captured[n]
	if w.now >= w.s.Length {
		return
	}
	if n+1 < len(w.s.Captured) {
		w.at(w.s.Captured[n+1].At, event{kind: capturedComes, n: n + 1})
	}
	w.requests++
	w.asks(&request{session: &session{load: w.classes[p.Class], name: p.Session, prefix: p.Prefix, shared: p.Shared}, n: w.requests, began: w.now,
		prompt: p.Prompt, out: p.Out, rng: w.stream(forClientAttempt, uint64(w.requests))})
}

// Planned is a request that a client will make, whatever comes of those before it.
type Planned struct {
	At              time.Duration
	ID              string
	Class           int
	Session, Prefix string
	Shared, Prompt  int
	Out, MaxOut     int
}

// Plan returns all requests of a world, in the order of their times, for clients outside of it.
func Plan(s Spec) ([]Planned, error) {
	w, err := New(s)
	if err != nil {
		return nil, err
	}
	w.planning = true
	for len(w.queue.heap) > 0 {
		e := w.queue.pop()
		if w.now = e.at; w.now >= s.Length {
			break
		}
		switch e.kind {
		case sessionBegins, turnComes, capturedComes:
			w.play(&e)
		case disruptionBegins, disruptionEnds:
			if k := w.s.Disruptions[max(e.n, 0)].Kind; k == Burst || k == HeavyTail { // those that clients make
				w.play(&e)
			}
		}
	}
	return w.plan, nil
}

// clientAttempt is one of a request's tries, at one router.
type clientAttempt struct {
	f        *request
	id       string
	router   *router
	gen      int
	sent     time.Duration
	until    time.Duration // its client's patience
	index    int           // among the router's open ones
	attempts int
	out      *attempt // that is out
	answered bool
}

// patience is the whole time that a request's client waits.
func (f *request) patience() time.Duration {
	c := &f.session.load.c.Class
	return c.Deadline + 2*time.Duration(float64(f.prompt)/1000*float64(c.LatencyTargetPer1000Tokens))
}

// sendToRouter sends a request to a router, if the front knows of any.
func (w *World) sendToRouter(f *request) {
	f.attemptsMade++
	left := f.began + f.patience() - w.now
	if share := f.session.load.c.Patience; share > 0 {
		left = min(left, time.Duration(share*float64(f.patience())))
	}
	if len(w.front) == 0 {
		w.again(f, 0, noRouter)
		return
	}
	r := w.routers[w.front[f.rng.IntN(len(w.front))]]
	for r.weight < 1 && f.rng.Float64() >= r.weight {
		r = w.routers[w.front[f.rng.IntN(len(w.front))]]
	}
	t := &clientAttempt{f: f, id: strconv.Itoa(f.n) + "." + strconv.Itoa(f.attemptsMade), router: r, gen: r.gen, sent: w.now, until: w.now + left}
	w.at(w.now, event{kind: clientAttemptReaches, p: t})
}

func (w *World) reach(t *clientAttempt) {
	r := t.router
	if !r.alive || r.gen != t.gen {
		w.again(t.f, 0, routerDied)
		return
	}
	f := t.f
	c := f.session.load.c
	t.index = len(r.open)
	r.open = append(r.open, t)
	r.clientAttempts[t.id] = t
	w.emit(history.Event{What: history.Ask, ID: t.id, Who: routerName(r.n), Class: c.Class.Name, Until: t.until.Nanoseconds()})
	r.take(balance.Arrival{ID: t.id, Class: c.Class.Name, Session: f.session.name, Prefix: f.session.prefix, TimeLeft: t.until - w.now,
		PromptTokens: float64(f.prompt), PrefixTokens: float64(f.session.shared)})
	w.at(t.until, event{kind: clientAttemptOverdue, p: t})
	w.at(t.until+answerSlack+w.s.Tick, event{kind: clientAttemptOverdue, p: t, n: 1})
}

// overdue ends an attempt whose client has waited for long enough.
func (w *World) overdue(t *clientAttempt, last bool) {
	r := t.router
	if t.answered || r.gen != t.gen {
		return
	}
	if last {
		w.violated(ruleInTime, t.id, r.n, "is not answered")
		return
	}
	if a := t.out; a != nil {
		t.out = nil
		w.cancel(a)
		r.take(balance.Outcome{ID: t.id, Attempt: a.n, Result: balance.TimedOut})
	}
}

// answer takes a final answer. What a client is not served it may ask for again.
func (w *World) answer(r *router, id string, away time.Duration, how ending) {
	t := r.clientAttempts[id]
	if t == nil || t.answered {
		w.violated(ruleOneAnswer, id, r.n, string(how)+" a second time, or of nobody")
		return
	}
	if t.out != nil {
		w.violated(ruleOneAttempt, id, r.n, string(how)+" while an attempt is out")
		return
	}
	w.trace(string(how), id, r.n)
	w.answered(t, how)
	r.closeClientAttempt(t)
	w.again(t.f, away, how)
}

// answered tells the history how an attempt came out.
func (w *World) answered(t *clientAttempt, how ending) {
	w.emit(history.Event{What: history.Answer, ID: t.id, How: hows[how]})
}

var hows = map[ending]history.How{served: history.Complete, refused: history.Refused, failed: history.Failed, brokenOff: history.Broken}

// again has a request's client come back, or give up.
func (w *World) again(f *request, away time.Duration, how ending) {
	wait := w.s.Retries.After + time.Duration(f.rng.Float64()*float64(w.s.Retries.After))
	if w.s.Retries.Heed {
		wait = max(wait, away)
	}
	if f.attemptsMade > w.s.Retries.Max || w.now+wait >= f.began+f.patience() {
		w.over(f, how, 0, 0, 0)
		return
	}
	w.res.Retries++
	w.at(w.now+wait, event{kind: retryComes, p: f})
}
