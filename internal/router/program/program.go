package program

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/router/capture"
	"reachspread/internal/router/mirror"
	"reachspread/internal/router/peering"
	"reachspread/internal/router/processgroup"
	"reachspread/internal/router/recovery"
	"reachspread/internal/routing"
	"reachspread/internal/schedlatency"
	"reachspread/internal/transport"
)

const (
	probeAnswerTimeout = 60 * time.Millisecond // for a health check, beyond the time to connect
	// streamIdleTimeout is how long a stream may be silent. From 5 s on its client is taken to be
	// kept waiting for nothing.
	streamIdleTimeout = 4500 * time.Millisecond
)

// Program is one router from start to exit.
type Program struct {
	cfg       *Config
	getenv    func(string) string
	file      string // the operators' settings, empty for none
	log       routing.Logger
	servers   *transport.Servers
	mirror    *mirror.Mirror      // nil without a file
	status    *transport.Status   // nil where the settings name no folder
	capture   *capture.Writer     // nil where they name no file
	view      *peering.ViewDriver // of the fleet, nil where they have no such block
	gate      *recoveryGate       // admits requests before the decisions see them
	recovery  *recoveryDriver     // how this router comes back, nil where nothing is persisted
	gossip    *peering.Gossip     // the socket between routers, nil where there is none
	balancer  *balance.Balancer   // the router's, once it runs
	snapshots snapshotWriter      // what the next incarnation reads
	roles     *peering.Roles      // nil where the settings have no such block
	started   []component         // the started components
	router    *routing.Router
	front     *transport.Front
	ln        net.Listener
	latency   *schedlatency.Monitor // how late this process runs, once it serves

	management      *transport.Management         // the management address, nil without an address
	inherited       bool                          // another process has ln as well
	processGroup    *processgroup.Slot            // among the processes of this router, nil where there is but one
	receiver        *transport.Receiver           // of another process's connections, nil without a folder to share
	mover           *transport.Mover              // of this one's, nil while it stays
	processLimits   atomic.Pointer[processLimits] // that this process takes up
	inForce         atomic.Pointer[Config]        // the configuration of the last good file
	serveResult     chan error                    // the error with which accepting ended
	enteredPhases   chan Phase                    // phases whose log lines are due
	listVersion     atomic.Int64                  // of the list that was applied last
	zone            string                        // this router's, as the fleet view has it
	copiedToken     uint64                        // the token of another's record that is kept; Duties asks for one at a time
	acceptedReloads atomic.Uint64                 // files that SIGHUP put in force
	refusedReloads  atomic.Uint64                 // files refused

	mu              sync.Mutex
	phase           Phase
	accepting       bool     // has begun
	leavePhase      func()   // ends the timers of the phase
	copiers         []string // pools to which one router copies, which this one wants
	cancelDrainWait func()   // ends the wait for leave to drain, nil where none is asked for
	releaseAddress  func()   // gives the routers' address up, nil where there is none
	firstList       sync.Once
}

// New returns a program that has done nothing yet with its configuration, which Load and
// ReadSettings gave; file names the operators' settings, and is empty where there are none.
func New(cfg *Config, getenv func(string) string, file string, log routing.Logger) *Program {
	p := &Program{cfg: cfg, getenv: getenv, file: file, log: log, phase: Starting,
		serveResult: make(chan error, 1), enteredPhases: make(chan Phase, maxQueuedPhases), leavePhase: func() {}}
	p.inForce.Store(cfg)
	return p
}

// Run serves until ctx ends, then shuts down in order. Whenever a signal comes from reload, it
// reads the configuration anew, in any phase. It returns nil after an orderly shutdown.
func (p *Program) Run(ctx context.Context, reload <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(p.cfg.Limits.Cores)), 1))
	siblings := p.joinProcessGroup()
	if p.processGroup != nil {
		defer p.processGroup.Leave()
	}
	if err := p.build(siblings); err != nil {
		return err
	}
	if err := p.listen(ctx); err != nil {
		return err
	}

	// The core and discovery work on until the last request is answered.
	work, stop := context.WithCancel(context.Background())
	defer stop()
	written := make(chan struct{})
	go p.logPhases(written)
	defer func() {
		p.mu.Lock()
		p.phase = Stopped // no event leads on from here, whatever ended the program
		p.mu.Unlock()
		close(p.enteredPhases)
		<-written
	}()
	defer p.stopComponents(false)
	if err := p.startComponents(work); err != nil {
		return err
	}
	p.serve(work, siblings, reload)

	select {
	case <-ctx.Done():
	case err := <-p.serveResult:
		return fmt.Errorf("listen: %w", err)
	}
	return p.shutdown()
}

// build makes the core, the connections to servers, the shadow pools and the front, within the
// limits that the other processes of this router leave.
func (p *Program) build(siblings processgroup.Siblings) error {
	balancer, err := balance.New(p.cfg.balance, p.cfg.seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	alone := p.cfg.processLimits(processgroup.Siblings{})
	p.servers = transport.NewServers(transport.ServerLimits{ConnectTimeout: p.cfg.connectTimeout(),
		Keepalive:         time.Duration(p.cfg.Settings.Limits.KeepaliveNs),
		StreamIdleTimeout: streamIdleTimeout,
		Connections:       alone.servers}, p.log)
	p.balancer = balancer
	p.router = routing.New(balancer, p.servers, p.log, p.cfg.connectTimeout()+probeAnswerTimeout)
	p.gate = &recoveryGate{gate: recovery.NewGate(p.cfg.balance, nil, p.cfg.seed)}
	p.router.SetGate(p.gate)
	var tap transport.Tap
	if p.file != "" {
		if err := p.startMirror(p.servers); err != nil {
			return err
		}
		tap = p.mirror
	}
	p.front = transport.NewFront(p.router, p.frontLimits(alone), tap)
	if p.mirror != nil {
		if err := p.mirror.Apply(p.cfg.set.Shadow); err != nil {
			return err
		}
	}
	p.applyLimits(p.cfg.processLimits(siblings))
	if p.cfg.Limits.MemoryMB <= smallMemory {
		releasePages()
	}
	return nil
}

// serve starts the goroutines that serve; work ends them.
func (p *Program) serve(work context.Context, siblings processgroup.Siblings, reload <-chan os.Signal) {
	go p.router.Run(work)
	p.latency = schedlatency.NewMonitor(time.Now())
	go p.latency.Run(work)
	if p.mirror != nil {
		go p.runAdmission(work)
	}
	if siblings.Processes > 0 {
		go p.adjustLimits(work, siblings)
	}
	p.advance(listenerOpened)
	p.restoreDrain()
	p.applyServerList(&p.cfg.Known)
	go p.watchDiscovery(work, reload)
}

// listen opens the clients' listener, or takes the inherited one.
func (p *Program) listen(ctx context.Context) (err error) {
	if p.inherited = p.cfg.acceptFD > 0; p.inherited {
		if p.ln, err = transport.Inherit(p.cfg.acceptFD); err != nil {
			return fmt.Errorf("ROUTER_ACCEPT_FD: %w", err)
		}
		return nil
	}
	if p.ln, err = transport.Listen(ctx, "tcp", p.cfg.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// watchDiscovery follows discovery until ctx ends. A reload moves it to the address that the file
// names by then; all else goes on as it was. The old watch has ended before the new one begins, so
// no older list can come last.
func (p *Program) watchDiscovery(ctx context.Context, reload <-chan os.Signal) {
	pace, since := transport.PushSchedule, int64(transport.FullList)
	if p.cfg.balance.MustSubscribe {
		o := p.cfg.Settings
		pace = transport.PollSchedule(o.Routers, time.Duration(o.Rules.SubscribeWithinNs))
		if len(p.cfg.Known.Servers) > 0 {
			since = p.cfg.Known.Version
		}
	}
	for addr, moved := p.cfg.Discovery, true; moved; {
		watching, move := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			transport.NewDiscovery(addr, pace, since, p.log, p.applyServerList).Run(watching)
		}()
		addr, moved = p.awaitDiscoveryChange(ctx, reload)
		move()
		<-ended
		since = transport.FullList // another discovery counts versions of its own
	}
}

// awaitDiscoveryChange waits until a reload names another address of discovery; moved is false if
// ctx ended first. The environment still has the address of the start, so the file is compared with
// what it said before.
func (p *Program) awaitDiscoveryChange(ctx context.Context, reload <-chan os.Signal) (addr string, moved bool) {
	for {
		select {
		case <-ctx.Done():
			return "", false
		case <-reload:
		}
		cfg, err := Reload(p.getenv, p.inForce.Load())
		if err != nil {
			p.refuseReload(err)
			continue
		}
		if err := p.reloadSettings(cfg); err != nil {
			p.refuseReload(err)
			continue
		}
		p.applySettings(cfg)
		p.acceptedReloads.Add(1)
		p.log.Info("reloaded", "discovery", cfg.discovery)
		if cfg.discovery != p.cfg.discovery {
			p.cfg.discovery = cfg.discovery
			return cfg.discovery, true
		}
	}
}

// refuseReload counts and logs that a file was refused.
func (p *Program) refuseReload(cause error) {
	p.refusedReloads.Add(1)
	p.log.Warn("reload refused", "cause", cause)
}

// applyServerList hands a list of discovery to the core.
func (p *Program) applyServerList(l *protocol.List) {
	p.snapshots.applying.Lock()
	defer p.snapshots.applying.Unlock()
	p.router.ApplyUpdate(l.Members(), l.Addrs())
	p.listVersion.Store(l.Version)
	if l != &p.cfg.Known || len(l.Servers) > 0 { // a configuration without servers says nothing about them
		p.snapshots.mergeList(l)
	}
	if len(l.Servers) > 0 {
		p.firstList.Do(func() { p.advance(serversListed) })
	}
}
