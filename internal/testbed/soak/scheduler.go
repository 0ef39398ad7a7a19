package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	meanGap                  = 500 * time.Millisecond // between two events of the schedule
	quietFraction            = 0.2                    // of the gaps are quietGap, so that routers come into touch
	quietGap                 = 8 * time.Second
	maxRolling               = 4
	maxConcurrent            = 3
	registerCalmTime         = 2500 * time.Millisecond // between two faults of the register, from its being ready again
	defaultThrottledRuntime  = 30 * time.Millisecond   // of each throttlePeriod
	defaultThrottledFraction = 0.3                     // of the terminating processes are throttled
)

// scheduler begins drawn events. They run concurrently, but a router is the target of one at a
// time, and so is the register.
type scheduler struct {
	soak   *soakRun
	rng    *rand.Rand
	events sync.WaitGroup

	mu                sync.Mutex
	throttledFraction float64       // of the terminating processes are throttled
	throttledRuntime  time.Duration // of a throttled process in each throttlePeriod
	faulted           map[int]bool  // routers that are targets of an event
	registerFaulted   bool
	logSizes          map[int]int64 // by router, before its present incarnation, in bytes
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

// event is a kind of event with its weight among all kinds.
type event struct {
	name   string
	weight int
	begin  func(ctx context.Context, rng *rand.Rand)
}

// kinds are the kinds of events that the schedule draws from.
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

// run begins events until the length is over, and waits until all routers serve again.
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

// drawEvent draws a kind of event by the weights.
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

// awaitAllReady waits until all routers serve again; one that does not is a finding.
func (c *scheduler) awaitAllReady(ctx context.Context) {
	within, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := c.soak.fleet.AwaitReady(within, c.soak.allRouters()...); err != nil && ctx.Err() == nil {
		c.soak.addFinding("RECOVER", err.Error())
	}
}

// reserve draws targets for one event. It leaves out the targets of other events, and members of
// the register while one is a target.
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

// release ends the reservation of a router once it serves again, and of the register a while after.
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
