package balance

// The entry points: New returns a Balancer, and Step handles events and returns actions. types.go
// describes the algorithm and lists its exceptions.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"reachspread/internal/assignment"
	"reachspread/internal/decayed"
)

const (
	// maxCountedPrompts is the number of counted prompts above which all counts by prefix are
	// halved.
	maxCountedPrompts = 1000
	// queueCheckInterval is the longest time between two attempts to dispatch queued requests. It
	// is bounded because a replica that is warming up or ejected may gain capacity without an
	// event.
	queueCheckInterval = 100 * time.Millisecond
	// minReportingRouters is the smallest number of routers that send each other reports. With
	// fewer routers, each one observes enough of every replica itself.
	minReportingRouters = 8
	// viewStabilityTime is how long a liveness view must stay the same before assignments and
	// budgets follow it.
	viewStabilityTime = 2 * time.Second
	// defaultLatencyTarget is used for classes without a latency target where targets are compared.
	defaultLatencyTarget = time.Second
)

// New returns a Balancer for one router, or an error that names the invalid setting. The same
// configuration, seed and events always produce the same actions.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if cfg.Routers < minReportingRouters {
		cfg.Routers = 0
	}
	b := &Balancer{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(seed, 0)),
		prefillByKind: map[string]*prefillModel{},
		replicas:      map[string]*replica{},
		byTag:         map[uint32]*replica{},
		requests:      map[string]*request{},
		bootstrapWork: decayed.Sum{Span: workWindow * time.Second, MinAge: time.Second},
		prefixCounts:  decayed.Counts{Limit: maxCountedPrompts},
		liveRouters:   float64(cfg.Routers),
		routers:       assignment.New(cfg.Routers, cfg.Self, zoneTag(cfg.Zone), viewStabilityTime),
	}
	if cfg.MustSubscribe {
		b.subscribeAt = 1 // subscribe in the first Step
	}
	return b, b.applyConfig(cfg)
}

// applyConfig puts a configuration into effect, except for MustSubscribe and the fields that
// identify this router to others. Requests under way keep their classes.
func (b *Balancer) applyConfig(cfg Config) error {
	if err := cfg.validate(); err != nil {
		return err
	}
	classes := map[string]*class{}
	b.maxValue = math.Inf(-1)
	b.minValue = math.Inf(1)
	b.shortestTarget = math.Inf(1)
	for _, c := range cfg.Classes {
		old := cmp.Or(b.classes[c.Name], &class{decodeTime: 1})
		classes[c.Name] = &class{Class: c, decodeTime: old.decodeTime, decodeSamples: old.decodeSamples}
		b.maxValue = max(b.maxValue, c.Value)
		b.minValue = min(b.minValue, c.Value)
		target := max(cmp.Or(c.LatencyTarget, defaultLatencyTarget), time.Millisecond)
		b.shortestTarget = min(b.shortestTarget, target.Seconds())
	}
	cfg.Zone = b.cfg.Zone
	cfg.Routers = b.cfg.Routers
	cfg.Self = b.cfg.Self
	cfg.MustSubscribe = b.cfg.MustSubscribe
	cfg.MaxAttempts = max(cfg.MaxAttempts, 1)
	b.cfg = cfg
	b.classes = classes
	return nil
}

// Step handles the events in order, dispatches queued requests once, and returns actions that the
// caller carries out in order. The time now is read from the caller's clock and must never go back.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now = now
	b.actions = nil
	for _, ev := range events {
		b.handle(ev)
	}
	b.updateAssignment()
	b.countWarmReplicas()
	if len(b.queue) > 0 {
		b.dispatch()
	}
	b.resubscribe()
	b.setTimer()
	return b.actions
}

// emit adds an action to the result of the current Step.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// handle passes an event to its handler. It ignores events of unknown requests, attempts and
// replicas, because events may arrive late or more than once.
func (b *Balancer) handle(ev Event) {
	switch ev := ev.(type) {
	case Members:
		b.handleMembers(ev)
	case ConfigChange:
		b.applyConfig(ev.Config)
	case Arrival:
		b.handleArrival(ev)
	case FirstToken:
		if a := b.findAttempt(ev.ID, ev.Attempt); a != nil && !a.ended && a.firstTokenAt == 0 {
			b.handleFirstToken(a)
		}
	case Outcome:
		if a := b.findAttempt(ev.ID, ev.Attempt); a != nil && !a.ended {
			b.handleOutcome(a, ev)
		}
	case Aborted:
		if q := b.requests[ev.ID]; q != nil {
			b.closeRequest(q)
		}
	case ReportsReceived:
		b.handlePeerReports(ev)
	case LivenessView:
		b.routers.SetLive(ev.Version, assignmentPeers(ev), b.now)
	case ProbeResult:
		if r := b.replicas[ev.Replica]; r != nil {
			b.handleProbeResult(r, ev)
		}
	case TimerExpired:
		if ev.Token == b.timerToken {
			b.timerAt = 0
		}
	}
}

// resubscribe emits a Subscribe action once subscribeAt is reached.
func (b *Balancer) resubscribe() {
	if b.subscribeAt > 0 && b.now >= b.subscribeAt {
		b.subscribeAt = 0
		b.emit(Subscribe{})
	}
}

// setTimer sets the timer to the earliest time at which something is due, unless the timer is
// already set to an earlier time.
func (b *Balancer) setTimer() {
	next := time.Duration(math.MaxInt64)
	if b.subscribeAt > 0 {
		next = b.subscribeAt
	}
	for _, q := range b.queue {
		next = min(next, b.expiresAt(q), max(q.rescheduleAt, b.now+queueCheckInterval))
		if b.awaitsProbes(q) {
			next = min(next, q.probesUntil)
		}
	}
	next = max(next, b.now+max(b.cfg.StepInterval, time.Millisecond))
	if next < math.MaxInt64 && (b.timerAt == 0 || next < b.timerAt) {
		b.timerToken++
		b.timerAt = next
		b.emit(SetTimer{Token: b.timerToken, Delay: next - b.now})
	}
}
