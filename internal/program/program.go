package program

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"reachspread/balance"
	"reachspread/internal/mirror"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
	"reachspread/internal/transport"
)

// Phase is a named state of the program.
type Phase string

// The phases, in their order.
const (
	Starting  Phase = "starting"  // resources are set up, nothing is answered
	Listing   Phase = "listing"   // listening, not ready: no service entry is known
	Serving   Phase = "serving"   // ready
	Leaving   Phase = "leaving"   // SIGTERM came: still accepting, each answer ends its connection
	Finishing Phase = "finishing" // accepting no more, answering what was taken
	Stopped   Phase = "stopped"
)

const (
	leaveFor    = 700 * time.Millisecond // clients may come for that long after SIGTERM
	probeAnswer = 60 * time.Millisecond  // beyond the time to connect
	// silentFor is how long a stream may be silent. From 5 s on its client is taken to be kept waiting for nothing.
	silentFor   = 4500 * time.Millisecond
	memoryShare = 0.6 // of the limit is for the heap; stacks and socket buffers need some, too
)

// Program is one router from start to exit.
type Program struct {
	cfg     *Config
	getenv  func(string) string
	file    string // the operators' settings, empty for none
	log     routing.Logger
	servers *transport.RealServers
	mirror  *mirror.Mirror    // nil without a file
	status  *transport.Status // nil where the settings name no folder
	router  *routing.Router
	front   *transport.Front
	ln      net.Listener

	mu    sync.Mutex
	phase Phase
	known chan struct{} // closed once any service entry is known
	once  sync.Once
}

// New returns a program that has done nothing yet with its configuration, which Load and ReadSettings gave; file
// names the operators' settings, and is empty where there are none.
func New(cfg *Config, getenv func(string) string, file string, log routing.Logger) *Program {
	return &Program{cfg: cfg, getenv: getenv, file: file, log: log, phase: Starting, known: make(chan struct{})}
}

// Run serves until ctx ends, then leaves in order. Whenever something comes from reload, it takes up the
// configuration anew, in any phase.
func (p *Program) Run(ctx context.Context, reload <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(p.cfg.Limits.Cores)), 1))
	debug.SetMemoryLimit(int64(memoryShare * float64(p.cfg.Limits.MemoryMB) * (1 << 20)))
	b, err := balance.New(p.cfg.balance, p.cfg.seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	clients := p.cfg.clients()
	servers := transport.NewRealServers(transport.ServerLimits{Connect: p.cfg.connectFor(),
		Keepalive:   time.Duration(p.cfg.Settings.Limits.KeepaliveNs),
		Silent:      silentFor,
		Connections: p.cfg.Limits.Sockets - otherSockets - p.cfg.aside() - clients}, p.log)
	p.servers = servers
	p.router = routing.New(b, servers, p.log, p.cfg.connectFor()+probeAnswer)
	var tap transport.Tap
	if p.file != "" {
		if err := p.startMirror(servers); err != nil {
			return err
		}
		tap = p.mirror
	}
	p.front = transport.NewFront(p.router, p.frontLimits(clients), tap)
	if p.mirror != nil {
		if err := p.mirror.Apply(p.cfg.set.Shadow); err != nil {
			return err
		}
	}
	// Keep-alive of TCP finds no client that the front's own bounds don't.
	listen := net.ListenConfig{KeepAlive: -1}
	if p.ln, err = listen.Listen(ctx, "tcp", p.cfg.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}

	// The core and discovery work on until the last flow is answered.
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if p.cfg.balance.Gateways > 1 {
		gossip, err := transport.NewGossip(p.cfg.PeerListen, p.cfg.Peers, p.log)
		if err != nil {
			return fmt.Errorf("peer_listen: %w", err)
		}
		p.router.Tells(gossip.Tell)
		go gossip.Run(work, p.router.Heard)
	}
	go p.router.Run(work)
	if p.mirror != nil {
		go p.tendDoor(work)
	}
	p.tell(&p.cfg.Known)
	go p.watch(work, reload)
	p.enter(Listing)
	served := make(chan error, 1)
	go func() { served <- p.front.Serve(p.ln) }()

	select {
	case <-p.known:
		p.enter(Serving)
	case <-ctx.Done():
	case err := <-served:
		return fmt.Errorf("listen: %w", err)
	}
	select {
	case <-ctx.Done():
	case err := <-served:
		return fmt.Errorf("listen: %w", err)
	}
	p.enter(Leaving)
	time.Sleep(leaveFor)
	p.enter(Finishing)
	if err := p.front.Shutdown(); err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	p.stopMirror()
	p.enter(Stopped)
	return nil
}

// watch follows discovery until ctx ends. A reload moves it to the address that the file names by then; all else
// goes on as it was. The old watch has ended before the new one begins, so no older list can come last.
func (p *Program) watch(ctx context.Context, reload <-chan os.Signal) {
	pace, since := transport.Pushed, int64(transport.WholeList)
	if p.cfg.balance.AskForList {
		o := p.cfg.Settings
		pace = transport.Asked(o.NInstances, time.Duration(o.Rules.MustAskInNs))
		if len(p.cfg.Known.Servers) > 0 {
			since = p.cfg.Known.Version
		}
	}
	for addr, moved := p.cfg.Discovery, true; moved; {
		watching, move := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			transport.NewDiscovery(addr, pace, since, p.log, p.tell).Run(watching)
		}()
		addr, moved = p.newAddress(ctx, reload)
		move()
		<-ended
		since = transport.WholeList // another discovery counts versions of its own
	}
}

// newAddress waits until a reload names another address of discovery; moved is false if ctx ended first. The
// environment still has the address of the start, so the file is compared with what it said before.
func (p *Program) newAddress(ctx context.Context, reload <-chan os.Signal) (addr string, moved bool) {
	for {
		select {
		case <-ctx.Done():
			return "", false
		case <-reload:
		}
		cfg, err := Reload(p.getenv)
		if err != nil {
			p.log.Warn("reload refused", "cause", err)
			continue
		}
		if err := p.reloadSettings(cfg); err != nil {
			p.log.Warn("reload refused", "cause", err)
			continue
		}
		p.log.Info("reloaded", "discovery", cfg.discovery)
		if cfg.discovery != p.cfg.discovery {
			p.cfg.discovery = cfg.discovery
			return cfg.discovery, true
		}
	}
}

// tell hands a list of service entries to the core.
func (p *Program) tell(l *protocol.List) {
	p.router.Told(l.Members(), l.Addrs())
	if len(l.Servers) > 0 {
		p.once.Do(func() { close(p.known) })
	}
}

// enter changes the phase, and with it what the front answers.
func (p *Program) enter(phase Phase) {
	p.mu.Lock()
	p.phase = phase
	p.mu.Unlock()
	p.front.SetReady(phase == Serving)
	if phase == Leaving {
		p.front.Leave()
		if p.mirror != nil {
			p.mirror.Leave()
		}
	}
	p.log.Info("phase", "name", phase)
}

// Phase returns the state that the program is in.
func (p *Program) Phase() Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase
}
