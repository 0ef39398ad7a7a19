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

// logger writes one line for on-call staff. docs/oncall.md has every event.
type logger interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// Node is one router of the fleet. It is used once: New, then Run.
type Node struct {
	activeSettings atomic.Pointer[settings.Settings]
	log            logger
	self           router
	incarnation    uint64 // of this process; drawn at random

	link        *link.Link
	udp         *net.UDPConn
	members     *peering.ViewDriver
	client      *register.Client
	replica     *register.Replica // nil for a router that may not be a member of the register
	plane       *dataplane.Plane
	front       *transport.Front
	servers     *transport.Servers
	hub         *hub
	quotas      *quotas
	peerReports *peerReporter
	pins        *pinTracker
	draining    drainPhase
	latency     *schedlatency.Monitor // how late this process runs, once the loops have started

	crash      context.CancelFunc // ends all loops at once, without draining; for tests
	background sync.WaitGroup     // the loops, and what has to be closed before Run returns
	started    chan struct{}      // closed once all listeners are open
}

// heapFraction is the fraction of the memory limit that is the soft limit of the run-time's heap.
const heapFraction = 0.6

// ApplyLimits has the run-time keep to what the process may use. It holds for the whole process.
func ApplyLimits(l settings.Limits) {
	runtime.GOMAXPROCS(l.CPUCores)
	debug.SetMemoryLimit(int64(heapFraction * float64(l.MemoryMb) * (1 << 20)))
}

// New returns a router that does nothing until Run.
func New(s *settings.Settings, log logger) *Node {
	n := &Node{log: log, incarnation: rand.Uint64(), started: make(chan struct{})}
	n.pins = &pinTracker{node: n}
	n.activeSettings.Store(s)
	n.self = router{address: s.Internal(s.IP()), zone: s.Zone, eligible: mayJoinRegister(s)}
	return n
}

// settings are those in force. They must not be changed.
func (n *Node) settings() *settings.Settings { return n.activeSettings.Load() }

// errCrashed ends a router that a test stopped without draining.
var errCrashed = errors.New("crashed")

// maxFailures is the number of listeners whose failure ends the router.
const maxFailures = 3

// Run serves until ctx ends, and then drains. What arrives on reload are settings that were read
// again. The error names the field of the settings whose socket or folder could not be used; it is
// nil after a router has drained.
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
	n.log.Info("started", "node", n.settings().NodeName, "address", n.self.internal(), "core", n.self.eligible)
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

// open makes the parts, reads the disk and opens the sockets for other routers. The link delivers
// messages from then on; the loops that act on them start later.
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

// startLoops starts the goroutines that drive the parts. Run waits for all of them but the one that
// saves state: a disk that hangs must not hold up the end of the process.
func (n *Node) startLoops(work context.Context) {
	if n.settings().HasDisk() {
		file := n.newStateFile()
		if err := file.load(); err != nil {
			n.log.Warn("saved state unreadable", "cause", err)
		}
		go file.saveLoop(work)
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

// closeAtEnd has closer called once ctx ends, and Run wait for it.
func (n *Node) closeAtEnd(ctx context.Context, closer func()) {
	n.background.Add(1)
	context.AfterFunc(ctx, func() {
		defer n.background.Done()
		closer()
	})
}

// reload applies what a running process can of settings that were read again.
func (n *Node) reload(ctx context.Context, read *settings.Settings) {
	next, applied, deferred := n.settings().Reload(read)
	n.activeSettings.Store(next)
	n.members.SetSeeds(ctx, next.Seeds())
	n.plane.ReloadBudgets()
	n.hub.post(n.hub.resubscribe)
	n.log.Info("settings reloaded", "applied", strings.Join(applied, ","), "from_next_start", strings.Join(deferred, ","))
}
