// Package routing is the core of the router. It takes requests (client requests) from any front, lets package
// balance decide, and has attempts (attempts) carried out on servers. It knows nothing of HTTP.
//
// A request passes these stages, each in a file of its own: take in, admit, route, send, relay, book. Its final
// answer is given in Request.answer and nowhere else.
package routing

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/balance"
)

// Message is what passes unchanged from the client to a server. Only the front that made it and the
// network that sends it look inside.
type Message any

// Entry is a listed server: a server and where to reach it.
type Entry struct {
	ID   string
	Addr string
}

// Network is what the core needs of the servers.
type Network interface {
	// Schedule sends m to a server once and waits until the deadline for the first event of its answer. The end
	// of ctx ends all of it, the body too. Whatever does not return a body has been given up by then, so that
	// no two attempts of a request overlap. It calls written once the last byte of m is.
	Schedule(ctx context.Context, deadline time.Time, to Entry, m Message, written func()) Head
	// Probe asks a server for its load, until ctx ends.
	Probe(ctx context.Context, to Entry) (balance.Result, *balance.Load)
	// Forget closes the idle connections to a server.
	Forget(id string)
}

// Head is how an attempt began, or how it ended without a beginning.
type Head struct {
	Result balance.Result // OK if there is a body
	Load   *balance.Load
	Body   Body
	Unfit  bool // the server finds the request itself at fault, as any other would
	Left   bool // nothing was sent, as the client has left
	Final  any  // the server's own answer, which the client gets if no further attempt does better; nil for none
}

// ErrSpoilt says that what came is no answer, although the server and its connection stand.
var ErrSpoilt = errors.New("spoilt")

// ErrUnwanted says that an answer, whole or not, is not one that its request asked for. Its server is as well as before.
var ErrUnwanted = errors.New("not what was asked for")

// ErrMoved says that another process goes on with a stream. It is that one's to count and to end.
var ErrMoved = errors.New("moved to another process")

// Body is an answer from its first whole event on. Read returns io.EOF only once the last of it has come.
type Body interface {
	io.Reader
	// End closes the body and tells what was learnt from it. Only a body that was read to io.EOF gives back a
	// connection that can be used again.
	End() (kept float64, load *balance.Load)
}

// Logger writes one line for on-call staff: an event, and its fields as name and value by turns.
type Logger interface {
	Info(event string, fields ...any) // needs nobody
	Warn(event string, fields ...any) // somebody may have to act
}

// Gate stands before the module: it sees the same events, passes on those that the module is to see, and answers the others. Only the
// goroutine that decides calls it.
type Gate interface {
	Step(now time.Duration, events []balance.Event) (pass []balance.Event, answers []balance.Action)
}

// Router owns the decisions. One goroutine runs Step; all others only leave events for it.
type Router struct {
	gate     Gate // what stands before the module, nil for nothing
	keeps    func(now time.Duration, l balance.Learned)
	recall   atomic.Pointer[balance.Learned]
	balancer *balance.Balancer
	network  Network
	log      Logger
	clock    clock
	probeFor time.Duration
	tell     func(balance.SendReports) // to other routers; must not block
	refused  atomic.Uint64             // requests refused so far
	figures  figures

	mu       sync.Mutex
	pending  []balance.Event
	viewed   *Fleet          // that came since the last decision, nil for none
	heard    []balance.Event // from other routers, to be decided on with the next event
	since    time.Time       // the first of them came
	late     time.Duration   // the longest wait for the deciding goroutine since the last Load
	entries  map[string]entry
	told     int64 // updates from discovery so far
	requests map[string]*Request
	ended    []*Request    // to be forgotten once the events before are decided on
	wake     chan struct{} // holds one token while events are pending
}

// New returns a Router that stands still until Run. A probe is given up after probeFor.
func New(b *balance.Balancer, n Network, log Logger, probeFor time.Duration) *Router {
	r := &Router{balancer: b, network: n, log: log, clock: startClock(), probeFor: probeFor,
		tell: func(balance.SendReports) {}, entries: map[string]entry{}, requests: map[string]*Request{}, wake: make(chan struct{}, 1)}
	r.figures.list(b.Classes())
	return r
}

// Tells has the words of the module to other routers carried by tell. It is called before Run.
func (r *Router) Tells(tell func(balance.SendReports)) { r.tell = tell }

// Keeps has take be told what the module has learned, once a second while it decides, by the goroutine that does; it must not
// block. It is called before Run.
func (r *Router) Keeps(take func(now time.Duration, l balance.Learned)) { r.keeps = take }

// Recall has the module take up what another router has learned, with its next decision.
func (r *Router) Recall(l balance.Learned) { r.recall.Store(&l); r.rouse() }

// Guard puts a gate before the module. It is called before Run.
func (r *Router) Guard(g Gate) { r.gate = g }

const keepEvery = time.Second

// mostUnheard bounds what others told and no decision has been taken on since.
const mostUnheard = 64

// Heard leaves what another router told for the next decision. By itself it calls for none, and in a large fleet each
// router hears far more than it decides.
func (r *Router) Heard(ev balance.ReportsReceived) {
	r.mu.Lock()
	r.heard = append(r.heard, ev)
	full := len(r.heard) >= mostUnheard
	r.mu.Unlock()
	if full {
		r.rouse()
	}
}

// Run decides until ctx ends.
func (r *Router) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var wakeAt time.Duration // of the one timer that counts, 0 for none
	var token int64
	var keptAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		now := r.clock.now()
		events, ended, fleet := r.drain()
		if fleet != nil {
			r.figures.fleet.Store(fleet)
			if fleet.Peers != nil {
				events = append(events, balance.LivenessView{Version: fleet.Version, Live: fleet.Peers})
			}
		}
		if wakeAt > 0 && now >= wakeAt {
			events, wakeAt = append(events, balance.TimerExpired{Token: token}), 0
		}
		if l := r.recall.Swap(nil); l != nil {
			r.balancer.Restore(*l)
		}
		if r.gate != nil {
			var answers []balance.Action
			events, answers = r.gate.Step(now, events)
			for _, action := range answers {
				r.route(action)
			}
		}
		for _, action := range r.balancer.Step(now, events) {
			if set, ok := action.(balance.SetTimer); ok {
				// The module heeds only the last timer that it set.
				token, wakeAt = set.Token, now+set.Delay
				continue
			}
			r.route(action)
		}
		r.figures.avoided.Store(int64(r.balancer.OutOfRotation()))
		if r.keeps != nil {
			r.balancer.RestoreReplicas()
		}
		if r.keeps != nil && now >= keptAt+keepEvery {
			r.keeps(now, r.balancer.Learned())
			keptAt = now
		}
		r.forget(ended)
		if wakeAt > 0 {
			timer.Reset(wakeAt - r.clock.now())
		}
	}
}

// Load is how the core fares.
type Load struct {
	Held    int           // requests that wait for a server
	Late    time.Duration // the longest that an event waited for its decision since the last Load
	Refused uint64        // requests so far
}

// Load looks at all open requests, so it is for a few calls in a second.
func (r *Router) Load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := Load{Late: r.late, Refused: r.refused.Load()}
	if r.late = 0; len(r.pending) > 0 {
		l.Late = max(l.Late, time.Since(r.since))
	}
	for _, f := range r.requests {
		if f.holds.Load() == 1 && !f.answered.Load() {
			l.Held++
		}
	}
	return l
}

// post leaves an event for the deciding goroutine.
func (r *Router) post(ev balance.Event) {
	r.mu.Lock()
	if len(r.pending) == 0 {
		r.since = time.Now()
	}
	r.pending = append(r.pending, ev)
	r.mu.Unlock()
	r.rouse()
}

// rouse has the deciding goroutine look for what is pending.
func (r *Router) rouse() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// drain takes all events that are pending, the requests that ended with them, and a view of the fleet that came meanwhile.
func (r *Router) drain() ([]balance.Event, []*Request, *Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events, ended, fleet := append(r.heard, r.pending...), r.ended, r.viewed
	if len(r.pending) > 0 {
		r.late = max(r.late, time.Since(r.since))
	}
	r.heard, r.pending, r.ended, r.viewed = nil, nil, nil, nil
	return events, ended, fleet
}

// clock counts from the start of Unix time, as discovery does, yet never goes back.
type clock struct {
	start time.Time
	unix  time.Duration
}

func startClock() clock {
	t := time.Now()
	return clock{start: t, unix: time.Duration(t.UnixNano())}
}

func (c clock) now() time.Duration { return c.unix + time.Since(c.start) }
