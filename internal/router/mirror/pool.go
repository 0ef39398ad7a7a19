package mirror

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/routing"
	"reachspread/internal/transport"
)

const (
	maxOffers     = 256                    // maximum number of pending offers; further offers are skipped and counted as busy
	probeTimeout  = 100 * time.Millisecond // has no effect, because the pools' balancers send no probes
	statusTimeout = time.Second            // how long to wait for the status from the pool's goroutine
)

// pool sends copies to one candidate pool. Its goroutine, run, owns the decider. When the pool is
// closed and no copy is left, the goroutine closes done and ends.
type pool struct {
	name    string
	role    string // the role whose lease the router must hold if the pool has a single copier
	mirror  *Mirror
	start   time.Time // zero of the decider's clock
	log     routing.Logger
	router  *routing.Router
	servers *transport.Servers
	stop    context.CancelFunc // stops the goroutines of the router and of the discovery client
	done    chan struct{}

	settings settings.Pool // the settings of the last apply; guarded by Mirror.mu

	maxAnswerBytes atomic.Int64  // maximum number of bytes retained of each answer
	busy           atomic.Uint64 // offers skipped because maxOffers were pending or the pool had ended
	singleCopier   atomic.Bool   // only the router that holds the role's lease may copy
	hasLease       atomic.Bool   // this router may copy under the role's lease
	unconfirmed    atomic.Int64  // attempts under the lease that may not have reached their host yet

	mu      sync.Mutex // guards the fields up to wake
	pending []message  // messages that the goroutine has not taken yet
	offers  int        // number of offers in pending
	ended   bool       // the goroutine has ended and takes no more messages
	wake    chan struct{}

	// The goroutine owns the fields below.
	decider        *shadow.Decider
	activeSettings settings.Pool // the settings that the goroutine has applied
	sink           *sink
	recordTexts    bool
	copies         map[uint64]*shadowCopy
	closing        bool
	underPressure  bool // the decider's level was not LevelCalm after the last step
	latencies      *latencies
	hosts          map[string]protocol.ListedServer // hosts of the settings, by ID
	version        int64                            // version of the list made from hosts
}

// newPool returns a running pool. The caller must then call apply, which passes the settings to the
// pool's goroutine. newPool fails if the live configuration can't be used with these settings.
func newPool(m *Mirror, set settings.Pool) (*pool, error) {
	b, err := balance.New(copyConfig(m.options.Balance, set.FirstEventTimeout), m.options.Seed)
	if err != nil {
		return nil, err
	}
	log := poolLog(m.options.Log, set.Choice.Pool)
	p := &pool{
		name:           set.Choice.Pool,
		role:           set.Role(),
		mirror:         m,
		start:          time.Now(),
		log:            log,
		done:           make(chan struct{}),
		settings:       set,
		wake:           make(chan struct{}, 1),
		decider:        shadow.New(set.Decider, m.options.Seed),
		activeSettings: set,
		copies:         map[uint64]*shadowCopy{},
		latencies:      newLatencies(),
		hosts:          map[string]protocol.ListedServer{},
	}
	limits := transport.ServerLimits{
		ConnectTimeout:    m.options.ConnectTimeout,
		Keepalive:         m.options.KeepAlive,
		StreamIdleTimeout: set.StreamIdleTimeout,
		Connections:       set.Sockets,
		Panics:            transport.NewPanicLog(log),
	}
	p.servers = transport.NewServers(limits, log)
	p.router = routing.New(b, cappedNetwork{p.servers, p}, log, probeTimeout)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go p.router.Run(ctx)
	if set.Discovery != "" {
		discovery := transport.NewDiscovery(set.Discovery, transport.PushSchedule, transport.FullList, log, p.applyList)
		go discovery.Run(ctx)
	}
	go p.run()
	return p, nil
}

// copyConfig returns the live configuration with the deadline of copies in all classes. No client
// waits for a copy, so a late answer is as useful as an early one, and a slow candidate must be
// measured rather than rejected.
func copyConfig(c balance.Config, deadline time.Duration) balance.Config {
	c.Classes = slices.Clone(c.Classes)
	for i := range c.Classes {
		class := &c.Classes[i]
		class.LatencyTarget, class.Deadline = deadline, deadline
		class.LatencyTargetPer1000Tokens = 0
		class.LatencyTargetWorkFactor = 0
		class.TokenLatencyTarget = 0
	}
	c.MayProbe = false
	c.MaxRetryAfter = 0
	c.Routers = 0 // the pool's balancer gets no reports of other routers that send to these hosts
	return c
}

// compatible reports whether set can be applied to the pool without canceling copies in flight.
func (p *pool) compatible(set settings.Pool) bool {
	return set.Discovery == p.settings.Discovery &&
		set.Sockets == p.settings.Sockets &&
		set.FirstEventTimeout == p.settings.FirstEventTimeout &&
		set.StreamIdleTimeout == p.settings.StreamIdleTimeout
}

// apply passes settings to the pool's goroutine. Only Mirror.Apply calls it.
func (p *pool) apply(set settings.Pool, sink *sink, texts bool) {
	p.settings = set
	p.singleCopier.Store(set.SingleCopier)
	p.maxAnswerBytes.Store(int64(set.AnswerBytes))
	p.post(message{apply: &appliedSettings{set, sink, texts}})
}

func (p *pool) answerBytes() int { return int(p.maxAnswerBytes.Load()) }

// close cancels all copies. The pool's goroutine ends after the last copy has ended.
func (p *pool) close() { p.post(message{event: shadow.Close{}}) }

// hasEnded reports whether the pool's goroutine has ended.
func (p *pool) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// run passes the pending messages to step until the pool is closed and no copy is left.
func (p *pool) run() {
	defer close(p.done)
	defer p.servers.Close()
	defer p.stop()
	for !p.closing || len(p.copies) > 0 {
		<-p.wake
		p.mu.Lock()
		batch := p.pending
		p.pending, p.offers = nil, 0
		p.mu.Unlock()
		p.step(batch)
	}
	// The goroutine handles no more messages: pending attempt requests are denied, and requests for
	// the status time out.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, m := range p.pending {
		if m.grantReply != nil {
			m.grantReply <- false
		}
	}
}
