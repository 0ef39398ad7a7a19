// Package node is a router of the fleet as a process: it puts the data plane, the control plane and what routers say to each other
// together, and leads it from its start to its end.
package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/failpoint"
	"reachspread/coord/link"
	"reachspread/coord/members"
	"reachspread/coord/register"
	"reachspread/coord/storage"
	"reachspread/internal/admission"
	"reachspread/internal/protocol"
	"reachspread/internal/router/peering"
	"reachspread/internal/system/controlapi"
	"reachspread/internal/system/dataplane"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/message"
	"reachspread/internal/system/settings"
	"reachspread/internal/transport"
)

// Kinds of messages on the link.
const (
	registerKind link.Kind = 1
	routerKind   link.Kind = 2
)

const (
	connectFor    = 200 * time.Millisecond
	keepIdleFor   = 40 * time.Second // to a host that does not say
	silentFor     = 5 * time.Second
	heapPart      = 0.6 // of the memory limit
	bodyPart      = 0.2
	stepClients   = 8
	setAside      = 400 // descriptors for the disk, other routers, the control plane and the run-time
	headBytes     = 16 << 10
	datagramBytes = 2048
	lastLook      = 20 * time.Millisecond
)

type logger interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// Node is one router of the fleet.
type Node struct {
	inForce atomic.Pointer[settings.Settings]
	log     logger
	self    router
	life    uint64

	link    *link.Link
	udp     *net.UDPConn
	members *peering.View
	client  *register.Client
	replica *register.Replica // nil for a router that may not be a member
	plane   *dataplane.Plane
	front   *transport.Front
	servers *transport.Servers
	hub     *hub
	quotas  *quotas
	prompts *prompts
	pins    *pinCalls
	abort   context.CancelFunc // ends all at once, as a crash does
	closing sync.WaitGroup     // what has to be closed before Run returns
	started chan struct{}      // closed once all is served
	phase   leavingPhase
}

// Limit has the run-time keep to what the process may use. It counts for the whole process.
func Limit(l settings.Limits) {
	runtime.GOMAXPROCS(l.CPUCores)
	debug.SetMemoryLimit(int64(heapPart * float64(l.MemoryMb) * (1 << 20)))
}

// New returns a router that stands still until Run.
func New(s *settings.Settings, log logger) *Node {
	n := &Node{log: log, life: rand.Uint64(), started: make(chan struct{})}
	n.pins = &pinCalls{node: n}
	n.inForce.Store(s)
	n.self = router{address: s.Internal(s.IP()), zone: s.Zone, core: eligible(s)}
	return n
}

// eligible tells whether the process may be a member of the register. One that counts and has no disk keeps the register in memory, and is
// another member in each life.
func eligible(s *settings.Settings) bool {
	return s.ServesRole(settings.ServesControl) && s.CountsForQuorum
}

// settings are those in force. They are not to be changed.
func (n *Node) settings() *settings.Settings { return n.inForce.Load() }

// Run serves until ctx ends, then leaves in order. What comes on reload are settings that were read anew.
func (n *Node) Run(ctx context.Context, reload <-chan *settings.Settings) error {
	s := n.settings()
	work, stop := context.WithCancel(context.Background())
	defer n.closing.Wait()
	defer stop()
	n.abort = stop
	n.link = link.New(n.self.address, n.receive)
	self := &coordpb.Member{Address: n.self.internal(), Identity: rand.Uint64(), Label: zoneMark(s.Zone)}
	n.client = register.NewClient(self, n.sendRegister)
	n.quotas = newQuotas(n)
	n.prompts = newPrompts(n)
	n.makePlane(work)
	n.hub = newHub(n)
	if err := n.openRegister(self); err != nil {
		return err
	}
	if err := n.openMembers(); err != nil {
		return err
	}
	n.client.Know(n.hub.registerAddresses())
	if err := n.link.Start(work); err != nil {
		return fmt.Errorf("internalPortRange: %w", err)
	}
	n.atEnd(work, n.link.Wait)
	if s.HasDisk() {
		k := n.keeper()
		if err := k.load(); err != nil {
			n.log.Warn("kept hosts unreadable", "cause", err)
		}
		go k.run(work)
	}
	go n.hub.run(work)
	go n.quotas.run(work)
	go n.prompts.run(work)
	n.atEnd(work, func() { n.udp.Close() })
	go n.readDatagrams()
	go n.members.Run(work)
	if n.replica != nil {
		go n.replica.Run(work)
	}
	failed := make(chan error, 3)
	if err := n.serve(work, failed); err != nil {
		return err
	}
	close(n.started)
	n.log.Info("started", "node", s.NodeName, "address", n.self.internal(), "core", n.self.core)
	for {
		select {
		case <-work.Done():
			return errAborted
		case <-ctx.Done():
			return n.leave(work)
		case err := <-failed:
			return err
		case read := <-reload:
			n.reload(work, read)
		}
	}
}

// atEnd has something closed once ctx ends, before Run returns.
func (n *Node) atEnd(ctx context.Context, close func()) {
	n.closing.Add(1)
	context.AfterFunc(ctx, func() {
		defer n.closing.Done()
		close()
	})
}

// errAborted ends a router that was stopped at once.
var errAborted = errors.New("aborted")

// makePlane makes the data plane.
func (n *Node) makePlane(ctx context.Context) {
	s := n.settings()
	free := max(s.Limits.FileDescriptors-setAside, s.Limits.FileDescriptors/2)
	n.servers = transport.NewServers(transport.ServerLimits{Connect: connectFor, Keepalive: keepIdleFor, Silent: silentFor,
		Connections: free / 2, Dialect: protocol.Fleet{}}, n.log)
	n.plane = dataplane.New(ctx, dataplane.Options{Settings: n.settings, Servers: n.servers, Quotas: n.quotas, Fresh: n.fresh, Newest: n.newest, Tell: n.prompts.tell, Log: n.log, Seed: rand.Uint64(), Began: time.Now()})
	n.front = transport.NewIntakeFront(n.plane, transport.FrontLimits{
		Bodies: int(bodyPart * float64(s.Limits.MemoryMb) * (1 << 20)), Head: headBytes, Patience: n.patience, Seed: rand.Uint64(),
		Admission: admission.Config{Places: free / 2, Step: stepClients, Away: time.Second},
	})
	n.front.SetKeeps(true)
}

// patience is how long a client may be silent.
func (n *Node) patience(begun bool) time.Duration {
	limits := configuration.Limits{}
	if state := n.plane.State(); state != nil {
		limits = state.Typed.Limits
	}
	idle, head := settings.Milliseconds(limits.IdleTimeoutMs), settings.Milliseconds(limits.HeaderTimeoutMs)
	if begun {
		return max(head, usualHead)
	}
	return max(idle, usualIdle)
}

const (
	usualIdle = 10 * time.Second
	usualHead = 3 * time.Second
)

// freshMargin is what is left of the bound on revoked keys for a request that is on its way.
const freshMargin = 300 * time.Millisecond

// fresh tells whether the configuration is young enough to honour keys by it.
func (n *Node) fresh() bool {
	bounds := n.settings().Bounds
	if !bounds.RevocationClosed {
		return true
	}
	return n.hub.fresh(settings.Milliseconds(bounds.RevocationMs) - freshMargin)
}

// newest tells whether the configuration was the newest for certain so short a time ago that no change may have to be in force that it lacks.
func (n *Node) newest() bool {
	bound := settings.Milliseconds(n.settings().Bounds.ConfigurationApplyMs)
	return bound == 0 || n.hub.fresh(bound)
}

// openRegister reads what the disk has of the register, where this router may be a member.
func (n *Node) openRegister(self *coordpb.Member) error {
	if !n.self.core && !n.isSeed() {
		return nil
	}
	s := n.settings()
	store := configuration.NewStore()
	c := register.Config{Self: self, Founder: s.FirstStart, Eligible: n.self.core, Tolerance: s.FaultTolerance.Machines, Seed: rand.Uint64()}
	for _, seed := range s.Seeds() {
		c.Seeds = append(c.Seeds, seed.String())
	}
	var disk *storage.Store
	var files storage.Files
	if n.self.core && s.HasDisk() {
		folder, err := storage.NewFolder(filepath.Join(s.DataDirectory, "register"))
		if err != nil {
			return fmt.Errorf("dataDirectory: %w", err)
		}
		files = folder
		if disk, c.Kept, err = register.Load(folder, store); err != nil {
			return fmt.Errorf("dataDirectory: %w", err)
		}
	}
	if c.Kept != nil {
		n.client.Viewed(c.Kept.View)
		self.Identity, c.Founder = c.Kept.Identity, c.Kept.Founder
		n.hub.view.view = c.Kept.View
	}
	n.replica = register.NewReplica(register.Options{Config: c, Machine: store, Files: files, Send: n.sendRegister, Log: n.log,
		Commit: func(x chain.Committed) { n.hub.call(func() { n.hub.committed(x) }) },
		Viewed: func(v *coordpb.View) {
			n.quotas.viewed(v)
			n.hub.call(func() { n.hub.view.take(v) })
		},
	}, disk)
	return nil
}

// isSeed tells whether this router's own address is among the seeds.
func (n *Node) isSeed() bool { return slices.Contains(n.settings().Seeds(), n.self.address) }

// openMembers begins to look for other routers.
func (n *Node) openMembers() error {
	s := n.settings()
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.self.address))
	if err != nil {
		return fmt.Errorf("internalPortRange: %w", err)
	}
	n.udp = udp
	version := cardVersion
	if n.self.core {
		version += coreFlag
	}
	boot := rand.Uint32() | 1
	n.members, err = peering.NewView(members.Config{Name: s.IPAddress, Zone: zoneMark(s.Zone), Version: version, Addr: n.self.address, Boot: boot,
		Seeds: s.Seeds(), RandomSeed: rand.Uint64()},
		func(to netip.AddrPort, data []byte) {
			if !failpoint.Lost(to.String()) {
				udp.WriteToUDPAddrPort(data, to)
			}
		},
		func(v *members.View, _ *members.Changed) { n.hub.call(func() { n.hub.viewFleet(v) }) }, n.log)
	n.self.zone = zoneMark(s.Zone)
	n.hub.alone()
	return err
}

// zoneMark is a zone's name as it goes into the membership, which has room for a short one.
func zoneMark(zone string) string {
	if len(zone) <= members.MaxZoneLen {
		return zone
	}
	return zone[:members.MaxZoneLen-8] + fmt.Sprintf("%08x", uint32(hashText(zone)))
}

func (n *Node) readDatagrams() {
	var buf [datagramBytes]byte
	for {
		count, from, err := n.udp.ReadFromUDPAddrPort(buf[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if !n.prompts.receive(from, buf[:count]) && members.IsDatagram(buf[:count]) {
			n.members.Take(from, buf[:count])
		}
	}
}

// receive takes in a message of the link.
func (n *Node) receive(kind link.Kind, data []byte) {
	switch kind {
	case registerKind:
		m := &coordpb.Message{}
		if proto.Unmarshal(data, m) != nil || m.From == nil {
			return
		}
		if !n.client.Receive(m) && n.replica != nil {
			n.replica.Receive(m)
		}
	case routerKind:
		m := &message.Envelope{}
		if proto.Unmarshal(data, m) == nil && !n.quotas.receive(m) {
			n.hub.call(func() { n.hub.receive(m) })
		}
	}
}

// sendRegister brings a message of the register to an address, this router's own among them.
func (n *Node) sendRegister(to string, m *coordpb.Message) {
	if to == n.self.internal() {
		m = proto.Clone(m).(*coordpb.Message)
		if !n.client.Receive(m) && n.replica != nil {
			n.replica.Receive(m)
		}
		return
	}
	text, err := proto.Marshal(m)
	if err == nil {
		n.link.Send(to, registerKind, text)
	}
}

// send brings a message to another router.
func (n *Node) send(to string, m *message.Envelope) { n.link.Send(to, routerKind, marshalEnvelope(m)) }

// controlAddress is where hosts reach a router's control plane: the port is the same on every machine.
func (n *Node) controlAddress(r router) string {
	_, port, err := net.SplitHostPort(n.settings().ListenAddresses.ControlPlane)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(r.address.Addr().String(), port)
}

// serve opens all that is served.
func (n *Node) serve(ctx context.Context, failed chan<- error) error {
	s := n.settings()
	if s.ServesRole(settings.ServesControl) {
		api := controlapi.New(controlapi.Options{Hosts: hostCalls{n}, Register: n.client, Known: n.hub.known, Pins: n.pins, Log: n.log})
		if err := n.listenHTTP(ctx, s.ListenAddresses.ControlPlane, api, failed); err != nil {
			return fmt.Errorf("listenAddresses.controlPlane: %w", err)
		}
	}
	if s.ListenAddresses.Readiness != "" {
		if err := n.listenHTTP(ctx, s.ListenAddresses.Readiness, n.readiness(), failed); err != nil {
			return fmt.Errorf("listenAddresses.readiness: %w", err)
		}
	}
	if s.ServesRole(settings.ServesClients) {
		listen := net.ListenConfig{KeepAlive: -1}
		ln, err := listen.Listen(ctx, "tcp4", s.ListenAddresses.Frontend)
		if err != nil {
			return fmt.Errorf("listenAddresses.frontend: %w", err)
		}
		n.atEnd(ctx, n.front.StopAccepting)
		go func() {
			if err := n.front.Serve(ln, false); err != nil && ctx.Err() == nil {
				failed <- fmt.Errorf("listenAddresses.frontend: %w", err)
			}
		}()
	}
	return nil
}

// reload takes up what a running process can of settings that were read anew.
func (n *Node) reload(ctx context.Context, read *settings.Settings) {
	next, taken, later := n.settings().After(read)
	n.inForce.Store(next)
	n.members.SetSeeds(ctx, next.Seeds())
	n.plane.Tune()
	n.hub.call(n.hub.resubscribe)
	n.log.Info("settings reloaded", "taken_up", strings.Join(taken, ","), "from_next_start", strings.Join(later, ","))
}

func hashText(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}
