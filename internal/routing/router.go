package routing

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/balance"
)

const (
	// learnedInterval is the least time between two calls of the function of OnLearned.
	learnedInterval = time.Second
	// maxPendingReports is the number of reports from other routers that call for a decision by
	// themselves. Fewer wait for the next event.
	maxPendingReports = 64
)

// Router owns the decisions. One goroutine runs Run; all others only leave events for it.
type Router struct {
	balancer     *balance.Balancer
	gate         Gate // nil for none
	network      Network
	log          Logger
	clock        clock
	probeTimeout time.Duration
	sendReports  func(balance.SendReports)                  // must not block
	onLearned    func(now time.Duration, l balance.Learned) // nil for nobody
	toRestore    atomic.Pointer[balance.Learned]            // for the next decision, nil for nothing
	closing      atomic.Pointer[closingAnswer]              // what open requests are answered with; nil until AnswerOpen
	rejected     atomic.Uint64                              // requests so far
	counters     counters

	mu               sync.Mutex
	pending          []balance.Event
	pendingSince     time.Time       // when the first of them came
	pendingReports   []balance.Event // from other routers, for the next decision
	pendingView      *FleetView      // nil for none since the last decision
	maxEventDelay    time.Duration   // the longest wait for a decision since the last Load
	servers          map[string]listedServer
	discoveryUpdates int64 // so far
	requests         map[string]*Request
	ended            []*Request    // to be forgotten after a decision on their last events
	wake             chan struct{} // has one token while something is pending
}

// New returns a Router that decides nothing until Run. Probes time out after probeTimeout.
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

// SendReportsBy has reports to other routers carried by send, which must not block. It is called
// before Run.
func (r *Router) SendReportsBy(send func(balance.SendReports)) { r.sendReports = send }

// OnLearned has take called with what the decisions have learned, once a second while there are
// decisions, by their goroutine. It must not block. OnLearned is called before Run.
func (r *Router) OnLearned(callback func(now time.Duration, l balance.Learned)) {
	r.onLearned = callback
}

// SetGate puts a gate before the decisions. It is called before Run.
func (r *Router) SetGate(g Gate) { r.gate = g }

// Restore restores what another router has learned, with the next decision.
func (r *Router) Restore(l balance.Learned) {
	r.toRestore.Store(&l)
	r.signal()
}

// ReceiveReports leaves another router's reports for the next decision. By themselves they call for
// none until there are many: in a large fleet a router hears far more than it decides.
func (r *Router) ReceiveReports(ev balance.ReportsReceived) {
	r.mu.Lock()
	r.pendingReports = append(r.pendingReports, ev)
	full := len(r.pendingReports) >= maxPendingReports
	r.mu.Unlock()
	if full {
		r.signal()
	}
}

// Run decides until ctx ends.
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

// decide has events decided on and carries out the actions.
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

// decisionTimer is the one timer that counts: the last that the decisions have set.
type decisionTimer struct {
	*time.Timer
	token int64
	at    time.Duration // 0 for not set
}

// expire returns the event of the timer if its time has passed.
func (t *decisionTimer) expire(now time.Duration) (event balance.Event, ok bool) {
	if t.at == 0 || now < t.at {
		return nil, false
	}
	t.at = 0
	return balance.TimerExpired{Token: t.token}, true
}

// Load is how busy the core is.
type Load struct {
	Queued        int           // requests without an attempt in flight
	MaxEventDelay time.Duration // the longest that an event waited for its decision since the last Load
	Rejected      uint64        // requests so far
}

// Load returns how busy the core is. It looks at all requests under way, so it is for a few calls
// in a second.
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

// post leaves an event for the goroutine of Run.
func (r *Router) post(ev balance.Event) {
	r.mu.Lock()
	if len(r.pending) == 0 {
		r.pendingSince = time.Now()
	}
	r.pending = append(r.pending, ev)
	r.mu.Unlock()
	r.signal()
}

// signal has the goroutine of Run look for what is pending.
func (r *Router) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// takePending takes all events that are pending, a liveness view last, and the requests that have
// ended with them.
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

// clock counts from the start of Unix time, as discovery does, yet never goes back.
type clock struct {
	start time.Time
	unix  time.Duration
}

// startClock returns a clock that begins now.
func startClock() clock {
	t := time.Now()
	return clock{start: t, unix: time.Duration(t.UnixNano())}
}

// now returns the time since the start of Unix time.
func (c clock) now() time.Duration { return c.unix + time.Since(c.start) }
