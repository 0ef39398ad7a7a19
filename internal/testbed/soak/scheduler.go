package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	meanGap                  = 500 * time.Millisecond // mean time between the starts of two events of the schedule
	quietFraction            = 0.2                    // fraction of gaps that last quietGap, so that routers get time without faults and can be probed
	quietGap                 = 8 * time.Second
	maxRolling               = 4
	maxConcurrent            = 3
	registerCalmTime         = 2500 * time.Millisecond // minimum time from the recovery of a router with a disk to the next fault of such a router
	defaultThrottledRuntime  = 30 * time.Millisecond   // how long a throttled process runs in each throttlePeriod
	defaultThrottledFraction = 0.3                     // fraction of terminating processes that are throttled
)

// scheduler starts randomly drawn events. Events run concurrently, but each router is the target of
// at most one event at a time, and so is at most one of the routers with a disk.
type scheduler struct {
	soak   *soakRun
	rng    *rand.Rand
	events sync.WaitGroup

	mu                sync.Mutex
	throttledFraction float64       // fraction of terminating processes that are throttled
	throttledRuntime  time.Duration // how long a throttled process runs in each throttlePeriod
	faulted           map[int]bool  // routers that are targets of an event
	registerFaulted   bool
	logSizes          map[int]int64 // by router, the size in bytes of its log before its present incarnation
}

func newScheduler(p *soakRun) *scheduler {
	return &scheduler{
		soak:              p,
		rng:               p.rng(scheduleStream),
		throttledFraction: defaultThrottledFraction,
		throttledRuntime:  defaultThrottledRuntime,
		faulted:           map[int]bool{},
		logSizes:          map[int]int64{},
	}
}

// event is a kind of event. Its weight sets how often it is drawn relative to the other kinds.
type event struct {
	name   string
	weight int
	begin  func(ctx context.Context, rng *rand.Rand)
}

// kinds returns the kinds of events that the schedule draws from.
func (c *scheduler) kinds() []event {
	drainHost := func(ctx context.Context, _ *rand.Rand) { c.soak.hosts.drainOldest(ctx) }
	return []event{
		{"roll", 6, c.roll},
		{"terminate", 4, c.terminateSome},
		{"kill", 3, c.kill},
		{"freeze", 3, c.freeze},
		{"reload", 3, c.reload},
		{"young", 3, c.terminateStarting},
		{"host", 3, drainHost},
	}
}

// run starts events until the length of the test is over, and then waits until all routers serve
// again.
func (c *scheduler) run(ctx context.Context) {
	kinds := c.kinds()
	for c.soak.now() < c.soak.options.Length && ctx.Err() == nil {
		e := drawEvent(c.rng, kinds)
		rng := rand.New(rand.NewPCG(c.rng.Uint64(), 0))
		c.soak.log(e.name, "")
		c.events.Go(func() { e.begin(ctx, rng) })
		gap := time.Duration(c.rng.ExpFloat64() * float64(meanGap))
		if c.rng.Float64() < quietFraction {
			gap = quietGap
		}
		sleep(ctx, min(gap, quietGap))
	}
	c.events.Wait()
	c.awaitAllReady(ctx)
}

// drawEvent draws a kind of event with a probability proportional to its weight.
func drawEvent(rng *rand.Rand, kinds []event) event {
	total := 0
	for _, e := range kinds {
		total += e.weight
	}
	drawn := rng.IntN(total)
	for _, e := range kinds {
		if drawn < e.weight {
			return e
		}
		drawn -= e.weight
	}
	panic("unreachable: the draw is below the sum of the weights")
}

// awaitAllReady waits until all routers serve again. It adds a finding if one does not within
// recoveryTimeout.
func (c *scheduler) awaitAllReady(ctx context.Context) {
	within, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := c.soak.fleet.AwaitReady(within, c.soak.allRouters()...); err != nil && ctx.Err() == nil {
		c.soak.addFinding("RECOVER", err.Error())
	}
}

// reserve draws up to maxTargets routers as targets of one event. It omits targets of other events,
// and reserves no router with a disk while another one is a target.
func (c *scheduler) reserve(rng *rand.Rand, maxTargets int) (all []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range rng.Perm(c.soak.fleet.Len()) {
		core := c.soak.fleet.HasDisk(i)
		if len(all) == maxTargets || c.faulted[i] || core && c.registerFaulted {
			continue
		}
		c.faulted[i] = true
		c.registerFaulted = c.registerFaulted || core
		all = append(all, i)
	}
	return all
}

// release ends the reservation of a router once it serves again. For a router with a disk it first
// waits another registerCalmTime.
func (c *scheduler) release(ctx context.Context, i int) {
	c.soak.fleet.AwaitReady(ctx, i)
	core := c.soak.fleet.HasDisk(i)
	if core {
		sleep(ctx, registerCalmTime)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.faulted, i)
	if core {
		c.registerFaulted = false
	}
}
