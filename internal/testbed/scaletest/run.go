package scaletest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"
)

// countInterval is the time between two counts of the members that know of a change.
const countInterval = 20 * time.Millisecond

// maxSeeds is the maximum number of seed addresses that each member gets.
const maxSeeds = 8

// Known tells how long after a change half, 99 of 100 and all of the living members knew of the
// change. A duration is 0 if that fraction did not know of the change within Plan.Within.
type Known struct {
	What          string        `json:"what"`
	Half          time.Duration `json:"half_ns"`
	NinetyNine    time.Duration `json:"ninety_nine_of_100_ns"`
	All           time.Duration `json:"all_ns"`
	Knew, Members int
}

// Traffic is what an average member sent for the membership protocol, and the resources that it
// used.
type Traffic struct {
	Members   int     `json:"members"`
	Datagrams float64 `json:"datagrams_a_second"`
	Bytes     float64 `json:"bytes_a_second"`
	CPU       float64 `json:"core_share,omitempty"` // only for real members
	MemoryMB  float64 `json:"memory_mb,omitempty"`  // only for real members: the whole resident memory of the process
}

// Result holds the figures of a run.
type Result struct {
	Plan   Plan    `json:"plan"`
	Known  []Known `json:"known"`
	Real   Traffic `json:"real"`
	Hollow Traffic `json:"hollow"`
}

// fleet holds the members of a run.
type fleet struct {
	plan    Plan
	network *network
	seeds   []netip.AddrPort
	hollows []*hollow
	real    []*process
	rng     *rand.Rand
	polled  atomic.Bool // whether the processes of real members read their views
}

// Run runs a plan. It returns an error if a member does not start or answer, or if ctx ends. All
// members have ended when Run returns, also after an error.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	folder, err := os.MkdirTemp("", "scalerun-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	f := &fleet{plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, 1)),
		network: &network{loss: plan.Loss, farSide: map[netip.AddrPort]bool{}, rng: rand.New(rand.NewPCG(plan.Seed, 2))}}
	defer f.close()
	if err := f.prepare(); err != nil {
		return nil, err
	}
	return f.runSteps(ctx, folder)
}

// prepare opens the sockets of the hollow members and finds free addresses for the real members.
func (f *fleet) prepare() error {
	all := map[netip.AddrPort]bool{}
	for n := range f.plan.Hollow {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		all[addr] = true
		f.network.farSide[addr] = n%2 == 1
		f.hollows = append(f.hollows, &hollow{name: fmt.Sprint("h", n), zone: f.plan.zone(n), addr: addr, network: f.network, hollows: all, conn: conn})
		if len(f.seeds) < maxSeeds {
			f.seeds = append(f.seeds, addr)
		}
	}
	for n := range f.plan.Real {
		addr, err := freeAddress("udp4")
		if err != nil {
			return err
		}
		management, err := freeAddress("tcp4")
		if err != nil {
			return err
		}
		f.real = append(f.real, &process{name: fmt.Sprint("r", n), zone: f.plan.zone(n), addr: addr, management: management.String(), polled: &f.polled})
	}
	return nil
}

// freeAddress returns a loopback address whose port is free at the moment.
func freeAddress(network string) (netip.AddrPort, error) {
	if network == "udp4" {
		conn, err := net.ListenUDP(network, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return netip.AddrPort{}, err
		}
		defer conn.Close()
		return netip.ParseAddrPort(conn.LocalAddr().String())
	}
	ln, err := net.Listen(network, "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer ln.Close()
	return netip.ParseAddrPort(ln.Addr().String())
}

// close stops all members.
func (f *fleet) close() {
	for _, x := range f.real {
		x.stop()
	}
	for _, h := range f.hollows {
		h.crash()
		if h.conn != nil { // the member never started, so crash did not close its socket
			h.conn.Close()
		}
	}
}

// runSteps runs the steps of a run: all members join, traffic is measured, a member crashes and
// joins again, and the network is partitioned and healed.
func (f *fleet) runSteps(ctx context.Context, folder string) (*Result, error) {
	result := &Result{Plan: f.plan}
	await := func(what string, expected func(far bool) int) {
		if ctx.Err() == nil {
			result.Known = append(result.Known, f.await(ctx, what, expected))
		}
	}
	all := f.plan.Members()
	allMembers := func(bool) int { return all }
	for _, h := range f.hollows {
		if err := h.start(f.seeds); err != nil {
			return nil, err
		}
	}
	for _, x := range f.real {
		if err := x.start(ctx, f.plan.Program, folder, f.seeds); err != nil {
			return nil, err
		}
	}
	await("all join at once", allMembers)
	sleep(ctx, f.plan.Quiesce)
	if err := f.measure(ctx, result); err != nil {
		return nil, err
	}
	await("calm again", allMembers)

	victim := f.hollows[len(f.hollows)-1]
	victim.crash()
	await("a crash", func(bool) int { return all - 1 })
	if err := victim.start(f.seeds); err != nil {
		return nil, err
	}
	await("a join", allMembers)

	far := f.plan.Hollow / 2
	f.network.partitioned.Store(true)
	await("two parts that are cut off from each other", func(isFar bool) int {
		if isFar {
			return far
		}
		return all - far
	})
	sleep(ctx, f.plan.Apart)
	f.network.partitioned.Store(false)
	await("both together again", allMembers)
	return result, ctx.Err()
}

// await waits until all living members see the expected number of members, which depends on their
// side of a partition. It gives up after Plan.Within.
func (f *fleet) await(ctx context.Context, what string, expected func(far bool) int) Known {
	f.polled.Store(true)
	defer f.polled.Store(false)
	began := time.Now()
	k := Known{What: what}
	for {
		k.Knew, k.Members = f.count(expected)
		passed := time.Since(began)
		measure := func(of float64, at *time.Duration) {
			if *at == 0 && float64(k.Knew) >= of*float64(k.Members) {
				*at = max(passed, 1)
			}
		}
		measure(0.5, &k.Half)
		measure(0.99, &k.NinetyNine)
		measure(1, &k.All)
		if k.All > 0 || passed > f.plan.Within || ctx.Err() != nil {
			return k
		}
		sleep(ctx, countInterval)
	}
}

// count returns how many members are alive, and how many of them see the expected number of members.
func (f *fleet) count(expected func(far bool) int) (knew, living int) {
	for _, h := range f.hollows {
		n, alive := h.livingMembers()
		if !alive {
			continue
		}
		living++
		if n == expected(f.network.farSide[h.addr]) {
			knew++
		}
	}
	for _, x := range f.real {
		living++
		if int(x.living.Load()) == expected(false) {
			knew++
		}
	}
	return knew, living
}

// counts holds sums over all members of one kind.
type counts struct{ datagrams, bytes float64 }

// sample holds what all members have sent, and what the real members have used, up to some time.
type sample struct {
	hollow, real counts
	used         usage
}

// sample reads the counters of all members.
func (f *fleet) sample() (s sample, err error) {
	for _, h := range f.hollows {
		datagrams, bytes := h.traffic()
		s.hollow.datagrams += float64(datagrams)
		s.hollow.bytes += float64(bytes)
	}
	for _, x := range f.real {
		figures, err := x.figures()
		if err != nil {
			return s, err
		}
		s.real.datagrams += figures["fleet_sent_total"]
		s.real.bytes += figures["fleet_sent_bytes_total"]
		used, err := x.usage()
		if err != nil {
			return s, err
		}
		s.used.cpu += used.cpu
		s.used.memoryMB += used.memoryMB
	}
	return s, nil
}

// meanTraffic returns the mean traffic per member between two samples that are seconds apart.
func meanTraffic(members int, before, after counts, seconds float64) Traffic {
	per := 1 / (seconds * float64(max(members, 1)))
	return Traffic{
		Members:   members,
		Datagrams: (after.datagrams - before.datagrams) * per,
		Bytes:     (after.bytes - before.bytes) * per,
	}
}

// measure measures traffic under churn for Plan.Length.
func (f *fleet) measure(ctx context.Context, result *Result) error {
	start := time.Now()
	before, err := f.sample()
	if err != nil {
		return err
	}
	f.churn(ctx, start.Add(f.plan.Length))
	after, err := f.sample()
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	result.Hollow = meanTraffic(f.plan.Hollow, before.hollow, after.hollow, seconds)
	result.Real = meanTraffic(f.plan.Real, before.real, after.real, seconds)
	if n := float64(f.plan.Real); n > 0 {
		result.Real.CPU = (after.used.cpu - before.used.cpu).Seconds() / seconds / n
		result.Real.MemoryMB = after.used.memoryMB / n
	}
	return nil
}

// churn restarts random hollow members at random times until end.
func (f *fleet) churn(ctx context.Context, end time.Time) {
	for ctx.Err() == nil {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		if f.plan.Churn == 0 {
			sleep(ctx, left)
			continue
		}
		next := time.Duration(f.rng.ExpFloat64() / f.plan.Churn * float64(time.Minute))
		sleep(ctx, min(next, left))
		if next >= left {
			continue
		}
		h := f.hollows[f.rng.IntN(len(f.hollows))]
		h.crash()
		if err := h.start(f.seeds); err != nil {
			return // another process took the port; the member stays down, so the next await runs into its time limit
		}
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
