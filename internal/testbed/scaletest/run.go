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

// lookEvery is how often it is looked at who knows.
const lookEvery = 20 * time.Millisecond

// mostSeeds is how many addresses each member is told at its start.
const mostSeeds = 8

// Known is how long after something happened parts of the living members knew of it; 0 where they never did within the plan's time.
type Known struct {
	What          string        `json:"what"`
	Half          time.Duration `json:"half_ns"`
	NinetyNine    time.Duration `json:"ninety_nine_of_100_ns"`
	All           time.Duration `json:"all_ns"`
	Knew, Members int
}

// Traffic is what a member sent for membership, in the mean.
type Traffic struct {
	Members   int     `json:"members"`
	Datagrams float64 `json:"datagrams_a_second"`
	Bytes     float64 `json:"bytes_a_second"`
	CPU       float64 `json:"core_share,omitempty"` // of real members
	MemoryMB  float64 `json:"memory_mb,omitempty"`  // likewise: all that the process has resident
}

// Result is what was measured.
type Result struct {
	Plan   Plan    `json:"plan"`
	Known  []Known `json:"known"`
	Real   Traffic `json:"real"`
	Hollow Traffic `json:"hollow"`
}

// fleet is a run under way.
type fleet struct {
	plan    Plan
	net     *network
	seeds   []netip.AddrPort
	hollows []*hollow
	real    []*process
	rng     *rand.Rand
	asked   atomic.Bool // whether real members are asked what they see
}

// Run plays a plan. Everything that it started has ended when it returns, also where ctx ends.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	folder, err := os.MkdirTemp("", "scalerun-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	f := &fleet{plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, 1)),
		net: &network{loss: plan.Loss, far: map[netip.AddrPort]bool{}, rng: rand.New(rand.NewPCG(plan.Seed, 2))}}
	defer f.end()
	if err := f.prepare(); err != nil {
		return nil, err
	}
	return f.play(ctx, folder)
}

// prepare opens the hollow members' sockets and finds addresses for the real ones.
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
		f.net.far[addr] = n%2 == 1
		f.hollows = append(f.hollows, &hollow{name: fmt.Sprint("h", n), zone: f.plan.zone(n), addr: addr, net: f.net, hollows: all, conn: conn})
		if len(f.seeds) < mostSeeds {
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
		f.real = append(f.real, &process{name: fmt.Sprint("r", n), zone: f.plan.zone(n), addr: addr, management: management.String(), asked: &f.asked})
	}
	return nil
}

// freeAddress finds a port of loopback that nobody has at the moment.
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

// end ends all members.
func (f *fleet) end() {
	for _, x := range f.real {
		x.stop()
	}
	for _, h := range f.hollows {
		h.crash()
		if h.conn != nil { // it never began
			h.conn.Close()
		}
	}
}

// play goes through the steps of a run.
func (f *fleet) play(ctx context.Context, folder string) (*Result, error) {
	result := &Result{Plan: f.plan}
	await := func(what string, want func(far bool) int) {
		if ctx.Err() == nil {
			result.Known = append(result.Known, f.await(ctx, what, want))
		}
	}
	all := f.plan.Members()
	everybody := func(bool) int { return all }
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
	await("all join at once", everybody)
	sleep(ctx, f.plan.Quiesce)
	if err := f.measure(ctx, result); err != nil {
		return nil, err
	}
	await("calm again", everybody)

	victim := f.hollows[len(f.hollows)-1]
	victim.crash()
	await("a crash", func(bool) int { return all - 1 })
	if err := victim.start(f.seeds); err != nil {
		return nil, err
	}
	await("a join", everybody)

	far := f.plan.Hollow / 2
	f.net.cut.Store(true)
	await("two parts that are cut off from each other", func(isFar bool) int {
		if isFar {
			return far
		}
		return all - far
	})
	sleep(ctx, f.plan.Apart)
	f.net.cut.Store(false)
	await("both together again", everybody)
	return result, ctx.Err()
}

// await waits until all living members see as many as wanted, by the side of the cut that they are on.
func (f *fleet) await(ctx context.Context, what string, want func(far bool) int) Known {
	f.asked.Store(true)
	defer f.asked.Store(false)
	began := time.Now()
	k := Known{What: what}
	for {
		k.Knew, k.Members = f.count(want)
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
		sleep(ctx, lookEvery)
	}
}

// count returns how many members live, and how many of them see as many as wanted.
func (f *fleet) count(want func(far bool) int) (knew, living int) {
	for _, h := range f.hollows {
		n, alive := h.sees()
		if !alive {
			continue
		}
		living++
		if n == want(f.net.far[h.addr]) {
			knew++
		}
	}
	for _, x := range f.real {
		living++
		if int(x.living.Load()) == want(false) {
			knew++
		}
	}
	return knew, living
}

// measure measures traffic, with churn, for the plan's length.
func (f *fleet) measure(ctx context.Context, result *Result) error {
	type counts struct{ datagrams, bytes float64 }
	look := func() (hollow, routers counts, used usage, err error) {
		for _, h := range f.hollows {
			n, bytes := h.traffic()
			hollow.datagrams, hollow.bytes = hollow.datagrams+float64(n), hollow.bytes+float64(bytes)
		}
		for _, x := range f.real {
			figures, err := x.figures()
			if err != nil {
				return hollow, routers, used, err
			}
			routers.datagrams, routers.bytes = routers.datagrams+figures["fleet_sent_total"], routers.bytes+figures["fleet_sent_bytes_total"]
			u, err := x.usage()
			if err != nil {
				return hollow, routers, used, err
			}
			used.cpu, used.memoryMB = used.cpu+u.cpu, used.memoryMB+u.memoryMB
		}
		return hollow, routers, used, nil
	}
	began := time.Now()
	hollow0, real0, used0, err := look()
	if err != nil {
		return err
	}
	f.churn(ctx, began.Add(f.plan.Length))
	hollow1, real1, used1, err := look()
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	mean := func(members int, before, after counts) Traffic {
		per := 1 / (seconds * float64(max(members, 1)))
		return Traffic{Members: members, Datagrams: (after.datagrams - before.datagrams) * per, Bytes: (after.bytes - before.bytes) * per}
	}
	result.Hollow, result.Real = mean(f.plan.Hollow, hollow0, hollow1), mean(f.plan.Real, real0, real1)
	if n := float64(f.plan.Real); n > 0 {
		result.Real.CPU = (used1.cpu - used0.cpu).Seconds() / seconds / n
		result.Real.MemoryMB = used1.memoryMB / n
	}
	return nil
}

// churn restarts hollow members at drawn times until the end.
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
			return // its port is another's by now; it stays away, and who waits for all to be there tells so
		}
	}
}

// sleep waits, unless ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
