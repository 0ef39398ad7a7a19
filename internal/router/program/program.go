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
	probeAnswerTimeout = 60 * time.Millisecond // how long a health check may take beyond the time to connect
	// streamIdleTimeout is how long a server may send nothing on a stream. If a stream is silent for
	// 5 s or more, its client counts as waiting in vain.
	streamIdleTimeout = 4500 * time.Millisecond
)

// Program is one router process from start to exit.
type Program struct {
	cfg       *Config
	getenv    func(string) string
	file      string // the path of the operators' settings file, empty for none
	log       routing.Logger
	panics    *transport.PanicLog
	servers   *transport.Servers
	mirror    *mirror.Mirror      // nil without a settings file
	status    *transport.Status   // nil if the settings name no status folder
	capture   *capture.Writer     // nil if the settings name no capture file
	view      *peering.ViewDriver // the fleet view, nil if the settings have no block fleet
	gate      *recoveryGate       // rejects part of the requests before the balancer sees them, while hosts warm up
	recovery  *recoveryDriver     // nil if the settings have no block recovery
	gossip    *peering.Gossip     // the socket for datagrams between routers, nil without one
	balancer  *balance.Balancer   // set when the program is built
	snapshots snapshotWriter      // persists the state that the next incarnation reads
	roles     *peering.Roles      // nil if the settings have no block duties
	started   []component         // the components that were started and not yet stopped
	router    *routing.Router
	front     *transport.Front
	ln        net.Listener
	latency   *schedlatency.Monitor // measures how late this process is scheduled; nil before it serves

	management      *transport.Management         // serves the management address, nil without one
	inherited       bool                          // whether ln is inherited, so that another process may have it too
	processGroup    *processgroup.Slot            // this process's slot in the group of the router's processes, nil without a group
	receiver        *transport.Receiver           // receives connections that another process hands over, nil without a process group
	mover           *transport.Mover              // hands this process's connections over, nil unless another process takes over
	processLimits   atomic.Pointer[processLimits] // the limits in force for this process
	inForce         atomic.Pointer[Config]        // the configuration from the last valid file
	serveResult     chan error                    // receives the error with which accepting connections ended
	enteredPhases   chan Phase                    // phases that are still to be logged
	listVersion     atomic.Int64                  // the version of the list that was applied last
	zone            string                        // this router's zone in the fleet view
	copiedToken     uint64                        // the token of the stored copy of another router's record, 0 before it is read; package peering stores one copy at a time
	acceptedReloads atomic.Uint64                 // the number of configuration files that SIGHUP put in force
	refusedReloads  atomic.Uint64                 // the number of configuration files that a reload refused

	mu              sync.Mutex
	phase           Phase
	accepting       bool     // whether accepting connections has begun
	leavePhase      func()   // stops the timers of the current phase
	copiers         []string // the pools with a single copier whose copier role this router has requested
	cancelDrainWait func()   // cancels the request for the drain lease, nil without a request
	releaseAddress  func()   // closes the socket for datagrams between routers, nil without one
	firstList       sync.Once
}

// New returns a program that is not started. Load and ReadSettings must have filled cfg. The path
// of the operators' settings file is file, empty for none.
func New(cfg *Config, getenv func(string) string, file string, log routing.Logger) *Program {
	p := &Program{cfg: cfg, getenv: getenv, file: file, log: log, panics: transport.NewPanicLog(log), phase: Starting,
		serveResult: make(chan error, 1), enteredPhases: make(chan Phase, maxQueuedPhases), leavePhase: func() {}}
	p.inForce.Store(cfg)
	return p
}

// Run serves until ctx ends, then shuts down in order. Whenever it receives a signal from reload, it
// reloads the configuration, in any phase. It returns nil after an orderly shutdown.
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

	// The core and discovery keep working until the last request is answered.
	work, stop := context.WithCancel(context.Background())
	defer stop()
	written := make(chan struct{})
	go p.logPhases(written)
	defer func() {
		p.mu.Lock()
		p.phase = Stopped // for whatever reason the program ends, no event may lead to another phase
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

// build creates the core, the connections to servers, the shadow pools and the front, within the
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
		Connections:       alone.servers,
		Panics:            p.panics}, p.log)
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

// serve starts the goroutines that serve requests. They end when work ends.
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

// listen opens the clients' listener, or uses the inherited one.
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

// watchDiscovery applies the lists of discovery until ctx ends. If a reload changes the address of
// discovery, watchDiscovery ends the watch and starts one at the new address. It waits for the end
// of the old watch first, so that no list of the old watch is applied after one of the new watch.
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
		since = transport.FullList // another discovery service numbers its versions independently
	}
}

// awaitDiscoveryChange handles reloads until one changes the address of discovery, and returns the
// new address; moved is false if ctx ended first. The environment does not change after the start,
// so the function compares the address in the file with the previous address in the file.
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

// refuseReload counts and logs that a reload was refused.
func (p *Program) refuseReload(cause error) {
	p.refusedReloads.Add(1)
	p.log.Warn("configuration reload refused", "cause", cause)
}

// applyServerList applies a list of servers, which is from discovery or from the configuration.
func (p *Program) applyServerList(l *protocol.List) {
	p.snapshots.applying.Lock()
	defer p.snapshots.applying.Unlock()
	p.router.ApplyUpdate(l.Members(), l.Addrs())
	p.listVersion.Store(l.Version)
	if l != &p.cfg.Known || len(l.Servers) > 0 { // a configuration without servers does not mean that there are none
		p.snapshots.mergeList(l)
	}
	if len(l.Servers) > 0 {
		p.firstList.Do(func() { p.advance(serversListed) })
	}
}
