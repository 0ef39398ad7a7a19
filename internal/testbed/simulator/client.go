package simulator

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/history"
)

// load generates the requests of one class.
type load struct {
	world         *World
	class         int
	config        *Class
	rng           *rand.Rand
	sessions      uint64
	prefixWeights []float64 // cumulative weights of the prefixes
	prefixTokens  []int     // length of each prefix
}

// heavyTail is an active disruption that makes a fraction of new prompts size times as long.
type heavyTail struct {
	disruption int
	fraction   float64
	size       float64
}

func newLoad(w *World, n int) *load {
	l := &load{world: w, class: n, config: &w.spec.Classes[n], rng: w.stream(forClass, uint64(n))}
	sum := 0.0
	for i := range l.config.Prefixes {
		sum += 1 / math.Pow(float64(i+1), l.config.Zipf)
		l.prefixWeights = append(l.prefixWeights, sum)
		l.prefixTokens = append(l.prefixTokens, l.config.PrefixLen.draw(l.rng))
	}
	return l
}

func (l Length) draw(rng *rand.Rand) int {
	return max(int(l.Median*math.Exp(l.Sigma*rng.NormFloat64())), 1)
}

// AnswerOf draws the length in tokens of the answer to request n. It is used for requests whose
// answer length is not known.
func (c *Class) AnswerOf(n int) int {
	return min(c.Out.draw(rand.New(rand.NewPCG(uint64(n), forSession))), c.MaxOut)
}

// nextSessionAt draws the time at which the next session begins.
func (l *load) nextSessionAt() time.Duration {
	perSecond := l.config.Rate / l.config.Turns * l.world.burstFactor
	return l.world.now + time.Duration(l.rng.ExpFloat64()/perSecond*float64(time.Second))
}

// session is one client's conversation. A request of a session is sent at its drawn time, whether
// or not the previous request has been answered.
type session struct {
	load          *load
	name          string
	rng           *rand.Rand
	prefix        string
	prefixTokens  int
	contextTokens int // length of all turns so far, with their complete answers

	askedAt      time.Duration // time of the last request
	cachedTokens int           // tokens that a host may have cached since askedAt
}

func (l *load) begin() {
	if w := l.world; w.now < w.spec.Length {
		w.schedule(l.nextSessionAt(), event{kind: sessionBegins, number: l.class})
		w.nextTurn(l.session())
	}
}

func (l *load) session() *session {
	w := l.world
	l.sessions++
	s := &session{load: l, name: "s" + strconv.Itoa(l.class) + "." + strconv.FormatUint(l.sessions, 10),
		rng: w.stream(forSession, uint64(l.class)<<40|l.sessions)}
	if n := len(l.prefixWeights); n > 0 {
		at := s.rng.Float64() * l.prefixWeights[n-1]
		i := 0
		for l.prefixWeights[i] < at {
			i++
		}
		s.prefix, s.prefixTokens, s.contextTokens = "p"+strconv.Itoa(l.class)+"."+strconv.Itoa(i), l.prefixTokens[i], l.prefixTokens[i]
	}
	return s
}

// beginUnderway schedules the sessions that are already in progress when the simulation begins: the
// average number of them, each at a turn after its first. Without them the load would take minutes
// to reach its configured rate.
func (l *load) beginUnderway() {
	gap := float64(l.config.Think+l.config.Class.LatencyTarget)/float64(time.Second) + l.config.Out.mean()*l.config.Class.TokenLatencyTarget.Seconds()
	for n := l.config.Rate / l.config.Turns * (l.config.Turns - 1) * gap; n > 0 && (n >= 1 || l.rng.Float64() < n); n-- {
		s := l.session()
		for before := true; before; before = s.rng.Float64() >= 1/l.config.Turns && s.contextTokens < l.config.MaxContext/2 {
			s.contextTokens += l.config.New.draw(s.rng) + min(l.config.Out.draw(s.rng), l.config.MaxOut)
		}
		l.world.schedule(time.Duration(s.rng.Float64()*gap*float64(time.Second)), event{kind: turnBegins, payload: s})
	}
}

func (l Length) mean() float64 { return l.Median * math.Exp(l.Sigma*l.Sigma/2) }

// request is a client's request. A client may make several attempts at routers for it.
type request struct {
	session      *session
	number       int
	startedAt    time.Duration
	promptTokens int
	answerTokens int
	attempts     int
	rng          *rand.Rand
}

// nextTurn makes a session's next request and draws the time of the one after it.
func (w *World) nextTurn(s *session) {
	if w.now >= w.spec.Length {
		return
	}
	c := s.load.config
	more := c.New.draw(s.rng)
	for _, t := range w.heavyTails {
		if s.rng.Float64() < t.fraction {
			more = int(float64(more) * t.size)
		}
	}
	out := min(c.Out.draw(s.rng), c.MaxOut)
	last := s.rng.Float64() < 1/c.Turns
	think := time.Duration(s.rng.ExpFloat64()*float64(c.Think)) + c.Class.LatencyTarget + time.Duration(out)*c.Class.TokenLatencyTarget
	if s.contextTokens+more+out > c.MaxContext && s.contextTokens > s.prefixTokens {
		return // the session ends: its context would exceed MaxContext
	}
	more = min(more, max(c.MaxContext-s.contextTokens-out, 1))
	w.lastRequest++
	f := &request{session: s, number: w.lastRequest, startedAt: w.now, promptTokens: s.contextTokens + more, answerTokens: out, rng: w.stream(forClientAttempt, uint64(w.lastRequest))}
	s.contextTokens = f.promptTokens + out
	if !last {
		w.schedule(w.now+think, event{kind: turnBegins, payload: s})
	}
	w.ask(f)
}

// ask starts a request, or only records it if the world was created by Plan.
func (w *World) ask(f *request) {
	s := f.session
	if w.planOnly {
		w.plan = append(w.plan, Planned{At: w.now, ID: "f" + strconv.Itoa(f.number), Class: s.load.class, Session: s.name, Prefix: s.prefix, Shared: s.prefixTokens,
			Prompt: f.promptTokens, Out: f.answerTokens, MaxOut: s.load.config.MaxOut})
		return
	}
	w.openRequests++
	w.countDemand(f)
	w.result.Classes[s.load.class].Asked++
	w.second().Asked++
	w.sendToRouter(f)
}

// replayCaptured replays captured request n and schedules the next captured request.
func (w *World) replayCaptured(n int) {
	p := &w.spec.Captured[n]
	if w.now >= w.spec.Length {
		return
	}
	if n+1 < len(w.spec.Captured) {
		w.schedule(w.spec.Captured[n+1].At, event{kind: capturedArrives, number: n + 1})
	}
	w.lastRequest++
	w.ask(&request{session: &session{load: w.classes[p.Class], name: p.Session, prefix: p.Prefix, prefixTokens: p.Shared}, number: w.lastRequest, startedAt: w.now,
		promptTokens: p.Prompt, answerTokens: p.Out, rng: w.stream(forClientAttempt, uint64(w.lastRequest))})
}

// Planned is a request that a client will make, whatever the outcome of earlier requests.
type Planned struct {
	At              time.Duration
	ID              string
	Class           int
	Session, Prefix string
	Shared, Prompt  int
	Out, MaxOut     int
}

// Plan returns all requests that the clients of a world would make, in the order of their times.
// Clients outside of the simulation use the plan.
func Plan(s Spec) ([]Planned, error) {
	w, err := New(s)
	if err != nil {
		return nil, err
	}
	w.planOnly = true
	for len(w.queue.heap) > 0 {
		e := w.queue.pop()
		if w.now = e.at; w.now >= s.Length {
			break
		}
		switch e.kind {
		case sessionBegins, turnBegins, capturedArrives:
			w.handle(&e)
		case disruptionBegins, disruptionEnds:
			if k := w.spec.Disruptions[max(e.number, 0)].Kind; k == Burst || k == HeavyTail { // the kinds that change what clients ask for
				w.handle(&e)
			}
		}
	}
	return w.plan, nil
}

// clientAttempt is one attempt of a request at a router.
type clientAttempt struct {
	request          *request
	id               string
	router           *router
	routerGeneration int
	sentAt           time.Duration
	deadline         time.Duration // when its client gives up
	index            int           // in the router's openAttempts
	attempts         int
	inFlight         *attempt // the router's attempt at a host, nil for none
	answered         bool
}

// patience returns how long a request's client waits, over all attempts.
func (f *request) patience() time.Duration {
	c := &f.session.load.config.Class
	return c.Deadline + 2*time.Duration(float64(f.promptTokens)/1000*float64(c.LatencyTargetPer1000Tokens))
}

// sendToRouter sends a request to a router that the front picks. If the front has no router, the
// client retries or gives up.
func (w *World) sendToRouter(f *request) {
	f.attempts++
	left := f.startedAt + f.patience() - w.now
	if share := f.session.load.config.Patience; share > 0 {
		left = min(left, time.Duration(share*float64(f.patience())))
	}
	if len(w.front) == 0 {
		w.retryOrGiveUp(f, 0, noRouter)
		return
	}
	r := w.routers[w.front[f.rng.IntN(len(w.front))]]
	for r.weight < 1 && f.rng.Float64() >= r.weight {
		r = w.routers[w.front[f.rng.IntN(len(w.front))]]
	}
	t := &clientAttempt{request: f, id: strconv.Itoa(f.number) + "." + strconv.Itoa(f.attempts), router: r, routerGeneration: r.generation, sentAt: w.now, deadline: w.now + left}
	w.schedule(w.now, event{kind: clientAttemptReaches, payload: t})
}

func (w *World) clientAttemptReachesRouter(t *clientAttempt) {
	r := t.router
	if !r.alive || r.generation != t.routerGeneration {
		w.retryOrGiveUp(t.request, 0, lostToRouter)
		return
	}
	f := t.request
	c := f.session.load.config
	t.index = len(r.openAttempts)
	r.openAttempts = append(r.openAttempts, t)
	r.clientAttempts[t.id] = t
	w.emit(history.Event{What: history.Ask, ID: t.id, Who: routerName(r.number), Class: c.Class.Name, Until: t.deadline.Nanoseconds()})
	r.enqueue(balance.Arrival{ID: t.id, Class: c.Class.Name, Session: f.session.name, Prefix: f.session.prefix, TimeLeft: t.deadline - w.now,
		PromptTokens: float64(f.promptTokens), PrefixTokens: float64(f.session.prefixTokens)})
	w.schedule(t.deadline, event{kind: clientAttemptOverdue, payload: t})
	w.schedule(t.deadline+answerSlack+w.spec.Tick, event{kind: clientAttemptOverdue, payload: t, number: 1})
}

// clientTimedOut cancels an attempt whose client has given up. With last set it reports a rule
// violation if the attempt still has no answer, because answerSlack has passed by then.
func (w *World) clientTimedOut(t *clientAttempt, last bool) {
	r := t.router
	if t.answered || r.generation != t.routerGeneration {
		return
	}
	if last {
		w.violated(ruleInTime, t.id, r.number, "is not answered")
		return
	}
	if a := t.inFlight; a != nil {
		t.inFlight = nil
		w.cancelAttempt(a)
		r.enqueue(balance.Outcome{ID: t.id, Attempt: a.index, Result: balance.TimedOut})
	}
}

// answer handles a router's final answer that is not a stream: a refusal or a failure. The client
// may retry after the time retryAfter.
func (w *World) answer(r *router, id string, retryAfter time.Duration, how outcome) {
	t := r.clientAttempts[id]
	if t == nil || t.answered {
		w.violated(ruleOneAnswer, id, r.number, string(how)+" a second time, or of nobody")
		return
	}
	if t.inFlight != nil {
		w.violated(ruleOneAttempt, id, r.number, string(how)+" while an attempt is out")
		return
	}
	w.trace(string(how), id, r.number)
	w.emitAnswer(t, how)
	r.closeClientAttempt(t)
	w.retryOrGiveUp(t.request, retryAfter, how)
}

// emitAnswer records the outcome of a client's attempt in the history.
func (w *World) emitAnswer(t *clientAttempt, how outcome) {
	w.emit(history.Event{What: history.Answer, ID: t.id, How: answerKinds[how]})
}

var answerKinds = map[outcome]history.How{served: history.Complete, refused: history.Refused, failed: history.Failed, interrupted: history.Broken}

// retryOrGiveUp schedules a client's retry, or ends the request.
func (w *World) retryOrGiveUp(f *request, retryAfter time.Duration, how outcome) {
	wait := w.spec.Retries.After + time.Duration(f.rng.Float64()*float64(w.spec.Retries.After))
	if w.spec.Retries.Heed {
		wait = max(wait, retryAfter)
	}
	if f.attempts > w.spec.Retries.Max || w.now+wait >= f.startedAt+f.patience() {
		w.endRequest(f, how, 0, 0, 0)
		return
	}
	w.result.Retries++
	w.schedule(w.now+wait, event{kind: retryBegins, payload: f})
}
