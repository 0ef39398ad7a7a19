package routing

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/balance"
)

const (
	// learnedInterval is the minimum time between two calls of the OnLearned callback.
	learnedInterval = time.Second
	// maxPendingReports is the number of pending report messages from other routers at which Run
	// wakes up to handle them. Fewer messages wait for the next event.
	maxPendingReports = 64
)

// Router accepts requests, lets package balance decide on them, and carries out its actions. All
// decisions run on the goroutine of Run; other goroutines only queue events for it.
type Router struct {
	balancer     *balance.Balancer
	gate         Gate // nil for none
	network      Network
	log          Logger
	clock        clock
	probeTimeout time.Duration
	sendReports  func(balance.SendReports)                  // must not block
	onLearned    func(now time.Duration, l balance.Learned) // nil for no callback
	toRestore    atomic.Pointer[balance.Learned]            // restored with the next decision, nil for nothing
	closing      atomic.Pointer[closingAnswer]              // set by AnswerOpen, nil before
	rejected     atomic.Uint64                              // requests that the balancer or the gate rejected so far
	counters     counters

	mu               sync.Mutex
	pending          []balance.Event
	pendingSince     time.Time       // when the first event of pending arrived
	pendingReports   []balance.Event // reports from other routers, for the next decision
	pendingView      *FleetView      // the last view since the last decision, nil for none
	maxEventDelay    time.Duration   // the longest that an event waited for its decision since the last call of Load
	servers          map[string]listedServer
	discoveryUpdates int64 // number of updates so far
	requests         map[string]*Request
	ended            []*Request    // removed from requests after the next decision
	wake             chan struct{} // holds one token while something is pending
}

// New returns a Router. It makes no decisions until Run is called. Probes time out after
// probeTimeout.
func New(b *balance.Balancer, n Network, log Logger, probeTimeout time.Duration) *Router {
	r := &Router{
		balancer:     b,
		network:      n,
		log:          log,
		clock:        startClock(),
		probeTimeout: probeTimeout,
		sendReports:  func(balance.SendReports) {},
		servers:      map[string]listedServer{},
		requests:     map[string]*Request{},
		wake:         make(chan struct{}, 1),
	}
	r.counters.addClasses(b.Classes())
	return r
}

// SendReportsBy sets the function that sends reports to other routers, which must not block.
// SendReportsBy must be called before Run.
func (r *Router) SendReportsBy(send func(balance.SendReports)) { r.sendReports = send }

// OnLearned sets a function that the goroutine of Run calls with what the balancer has learned, at
// most once a second and only after a decision. The function must not block. OnLearned must be called
// before Run.
func (r *Router) OnLearned(fn func(now time.Duration, l balance.Learned)) { r.onLearned = fn }

// SetGate sets a gate that filters the events for the balancer. It must be called before Run.
func (r *Router) SetGate(g Gate) { r.gate = g }

// Restore restores what another router has learned. It takes effect with the next decision.
func (r *Router) Restore(l balance.Learned) {
	r.toRestore.Store(&l)
	r.signal()
}

// ReceiveReports queues another router's reports for the next decision. Reports alone trigger a
// decision only when maxPendingReports of them are queued, because in a large fleet a router receives
// far more reports than it makes decisions.
func (r *Router) ReceiveReports(ev balance.ReportsReceived) {
	r.mu.Lock()
	r.pendingReports = append(r.pendingReports, ev)
	full := len(r.pendingReports) >= maxPendingReports
	r.mu.Unlock()
	if full {
		r.signal()
	}
}

// Run makes the decisions until ctx ends: it handles the pending events when some arrive or when the
// timer expires.
func (r *Router) Run(ctx context.Context) {
	timer := decisionTimer{Timer: time.NewTimer(time.Hour)}
	defer timer.Stop()
	var learnedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		now := r.clock.now()
		events, ended := r.takePending()
		if expired, ok := timer.expire(now); ok {
			events = append(events, expired)
		}
		r.decide(now, events, &timer)
		r.answerOpen()
		if r.onLearned != nil {
			r.balancer.RestoreReplicas()
			if now >= learnedAt+learnedInterval {
				r.onLearned(now, r.balancer.Learned())
				learnedAt = now
			}
		}
		r.forget(ended)
		if timer.at > 0 {
			timer.Reset(timer.at - r.clock.now())
		}
	}
}

// decide passes the events to the gate and the balancer, and carries out the actions that they
// return.
func (r *Router) decide(now time.Duration, events []balance.Event, timer *decisionTimer) {
	if learned := r.toRestore.Swap(nil); learned != nil {
		r.balancer.Restore(*learned)
	}
	if r.gate != nil {
		var answers []balance.Action
		events, answers = r.gate.Step(now, events)
		for _, action := range answers {
			r.carryOut(action)
		}
	}
	for _, action := range r.balancer.Step(now, events) {
		if set, ok := action.(balance.SetTimer); ok {
			timer.token, timer.at = set.Token, now+set.Delay
			continue
		}
		r.carryOut(action)
	}
	r.counters.outOfRotation.Store(int64(r.balancer.OutOfRotation()))
}

// decisionTimer is the timer that the balancer set last. Setting a timer replaces the previous one.
type decisionTimer struct {
	*time.Timer
	token int64         // identifies the timer to the balancer
	at    time.Duration // when the timer expires; 0 if it is not set
}

// expire returns the TimerExpired event and clears the timer if its time has come.
func (t *decisionTimer) expire(now time.Duration) (event balance.Event, ok bool) {
	if t.at == 0 || now < t.at {
		return nil, false
	}
	t.at = 0
	return balance.TimerExpired{Token: t.token}, true
}

// Load describes how busy the core is.
type Load struct {
	Queued        int           // unanswered requests without an attempt in flight
	MaxEventDelay time.Duration // the longest that an event waited for its decision since the last call of Load
	Rejected      uint64        // requests that the balancer or the gate rejected so far
}

// Load returns how busy the core is. It iterates over all open requests, so it should be called only
// a few times per second.
func (r *Router) Load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := Load{MaxEventDelay: r.maxEventDelay, Rejected: r.rejected.Load()}
	r.maxEventDelay = 0
	if len(r.pending) > 0 {
		load.MaxEventDelay = max(load.MaxEventDelay, time.Since(r.pendingSince))
	}
	for _, request := range r.requests {
		if request.references.Load() == 1 && !request.answered.Load() {
			load.Queued++
		}
	}
	return load
}

// post queues an event for the goroutine of Run.
func (r *Router) post(ev balance.Event) {
	r.mu.Lock()
	if len(r.pending) == 0 {
		r.pendingSince = time.Now()
	}
	r.pending = append(r.pending, ev)
	r.mu.Unlock()
	r.signal()
}

// signal wakes up the goroutine of Run.
func (r *Router) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// takePending removes and returns all pending events, and the requests that have ended. A pending
// liveness view is the last event.
func (r *Router) takePending() ([]balance.Event, []*Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := append(r.pendingReports, r.pending...)
	ended, view := r.ended, r.pendingView
	if len(r.pending) > 0 {
		r.maxEventDelay = max(r.maxEventDelay, time.Since(r.pendingSince))
	}
	r.pendingReports, r.pending, r.ended, r.pendingView = nil, nil, nil, nil
	if view != nil {
		r.counters.fleetView.Store(view)
		if view.Peers != nil {
			events = append(events, balance.LivenessView{Version: view.Version, Live: view.Peers})
		}
	}
	return events, ended
}

// clock tells the time since the Unix epoch, like the times of discovery, but never goes back: it
// adds the monotonic time since its start to the time of its start.
type clock struct {
	start time.Time     // with the monotonic clock reading
	unix  time.Duration // from the Unix epoch to start
}

// startClock returns a clock that starts now.
func startClock() clock {
	t := time.Now()
	return clock{start: t, unix: time.Duration(t.UnixNano())}
}

// now returns the time since the Unix epoch.
func (c clock) now() time.Duration { return c.unix + time.Since(c.start) }
