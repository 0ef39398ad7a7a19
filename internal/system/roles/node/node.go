package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/link"
	"reachspread/coord/register"
	"reachspread/internal/router/peering"
	"reachspread/internal/schedlatency"
	"reachspread/internal/system/dataplane"
	"reachspread/internal/system/settings"
	"reachspread/internal/transport"
)

// logger writes log lines for on-call staff, one for each event. docs/oncall.md describes every
// event.
type logger interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// Node is one router of the fleet. Each Node runs once: call New, then Run.
type Node struct {
	activeSettings atomic.Pointer[settings.Settings]
	log            logger
	panics         *transport.PanicLog
	self           router
	incarnation    uint64 // identifies this run of the process; random

	link        *link.Link
	udp         *net.UDPConn
	members     *peering.ViewDriver
	client      *register.Client
	replica     *register.Replica // nil unless this router may be a register member or is a seed
	plane       *dataplane.Plane
	front       *transport.Front
	servers     *transport.Servers
	hub         *hub
	quotas      *quotas
	peerReports *peerReporter
	state       *stateFile // nil without a disk; set before the loops start
	pins        *pinTracker
	draining    drainPhase
	latency     *schedlatency.Monitor // scheduling delays of this process; set when the loops start

	crash      context.CancelFunc // for tests: ends all loops at once, without draining
	background sync.WaitGroup     // the loops and the closers that Run waits for
	started    chan struct{}      // closed once all listeners are open
}

// heapFraction is the fraction of the process's memory limit that the Go runtime gets as its soft
// memory limit.
const heapFraction = 0.6

// ApplyLimits sets the CPU and memory limits of the Go runtime for the whole process.
func ApplyLimits(l settings.Limits) {
	runtime.GOMAXPROCS(l.CPUCores)
	debug.SetMemoryLimit(int64(heapFraction * float64(l.MemoryMb) * (1 << 20)))
}

// New returns a router that does nothing until Run is called.
func New(s *settings.Settings, log logger) *Node {
	n := &Node{log: log, panics: transport.NewPanicLog(log), incarnation: rand.Uint64(), started: make(chan struct{})}
	n.pins = &pinTracker{node: n}
	n.activeSettings.Store(s)
	n.self = router{address: s.Internal(s.IP()), zone: s.Zone, eligible: mayJoinRegister(s), hasDisk: s.HasDisk()}
	return n
}

// settings returns the settings in force. The caller must not change them.
func (n *Node) settings() *settings.Settings { return n.activeSettings.Load() }

// errCrashed is the result of Run after a test ended the router without draining.
var errCrashed = errors.New("router stopped without draining")

// maxFailures is the capacity of the channel on which the listeners report that they have failed:
// one entry for each listener. The first failure ends the router.
const maxFailures = 3

// Run runs the router until ctx ends, and then drains it. Settings that arrive on reload are
// applied as far as a running process can. The error names the settings field whose socket or
// folder could not be used; it is nil after a normal drain.
func (n *Node) Run(ctx context.Context, reload <-chan *settings.Settings) error {
	work, stop := context.WithCancel(context.Background())
	defer n.background.Wait()
	defer stop()
	n.crash = stop
	if err := n.open(work); err != nil {
		return err
	}
	n.startLoops(work)
	failed := make(chan error, maxFailures)
	if err := n.serve(work, failed); err != nil {
		return err
	}
	close(n.started)
	n.log.Info("router started", "node", n.settings().NodeName, "address", n.self.internal(), "core", n.self.eligible)
	for {
		select {
		case <-work.Done():
			return errCrashed
		case <-ctx.Done():
			return n.drain()
		case err := <-failed:
			return err
		case read := <-reload:
			n.reload(work, read)
		}
	}
}

// open creates the components, reads the disk and opens the sockets for other routers. From then
// on the link delivers messages; the loops that process them start later.
func (n *Node) open(work context.Context) error {
	n.link = link.New(n.self.address, n.receiveLink)
	self := &coordpb.Member{Address: n.self.internal(), Identity: rand.Uint64(), Label: zoneLabel(n.settings().Zone)}
	n.client = register.NewClient(self, n.sendToRegister)
	n.quotas = newQuotas(n)
	n.peerReports = newPeerReporter(n)
	n.openDataPlane(work)
	n.hub = newHub(n)
	if err := n.openReplica(self); err != nil {
		return err
	}
	if err := n.openMembership(); err != nil {
		return err
	}
	n.client.SetKnownAddresses(n.hub.registerAddresses())
	if err := n.link.Start(work); err != nil {
		return fmt.Errorf("internalPortRange: %w", err)
	}
	n.closeAtEnd(work, n.link.Wait)
	return nil
}

// startLoops starts the goroutines that drive the components. Run waits for all of them except the
// one that saves state, so that a disk that hangs does not delay the end of the process.
func (n *Node) startLoops(work context.Context) {
	if n.settings().HasDisk() {
		n.state = n.newStateFile()
		if err := n.state.load(); err != nil {
			n.log.Warn("saved state unreadable", "cause", err)
		}
		go n.state.saveLoop(work)
	}
	n.latency = schedlatency.NewMonitor(time.Now())
	n.background.Go(func() { n.latency.Run(work) })
	n.background.Go(func() { n.hub.run(work) })
	n.background.Go(func() { n.quotas.run(work) })
	n.background.Go(func() { n.peerReports.run(work) })
	n.closeAtEnd(work, func() { n.udp.Close() })
	n.background.Go(n.receiveDatagrams)
	n.background.Go(func() { n.members.Run(work) })
	if n.replica != nil {
		n.background.Go(func() { n.replica.Run(work) })
	}
}

// closeAtEnd arranges that closer is called once ctx ends and that Run waits for it to return.
func (n *Node) closeAtEnd(ctx context.Context, closer func()) {
	n.background.Add(1)
	context.AfterFunc(ctx, func() {
		defer n.background.Done()
		closer()
	})
}

// reload applies the changes in newly read settings that can take effect in a running process. It
// logs which changes it applied and which wait for the next start.
func (n *Node) reload(ctx context.Context, read *settings.Settings) {
	next, applied, deferred := n.settings().Reload(read)
	n.activeSettings.Store(next)
	n.members.SetSeeds(ctx, next.Seeds())
	n.plane.ReloadBudgets()
	n.hub.post(n.hub.resubscribe)
	n.log.Info("settings reloaded", "applied", strings.Join(applied, ","), "from_next_start", strings.Join(deferred, ","))
}
