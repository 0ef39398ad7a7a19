package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// roll restarts up to maxRolling routers, whose restarts begin a drawn gap apart and may overlap.
func (c *scheduler) roll(ctx context.Context, rng *rand.Rand) {
	gap := time.Duration(rng.IntN(500)) * time.Millisecond
	var group sync.WaitGroup
	for _, i := range c.reserve(rng, 1+rng.IntN(maxRolling)) {
		clientRandom := rand.New(rand.NewPCG(rng.Uint64(), 0))
		group.Go(func() { c.restart(ctx, clientRandom, i) })
		sleep(ctx, gap)
	}
	group.Wait()
}

// terminateSome restarts up to maxConcurrent routers at the same time.
func (c *scheduler) terminateSome(ctx context.Context, rng *rand.Rand) {
	var group sync.WaitGroup
	for _, i := range c.reserve(rng, maxConcurrent) {
		clientRandom := rand.New(rand.NewPCG(rng.Uint64(), 0))
		group.Go(func() { c.restart(ctx, clientRandom, i) })
	}
	group.Wait()
}

// restart terminates a router, with further signals while it shuts down, and starts it again.
func (c *scheduler) restart(ctx context.Context, rng *rand.Rand, i int) {
	ended := c.soak.beginFault(i, true)
	defer ended()
	c.terminate(ctx, rng, i)
	sleep(ctx, time.Duration(rng.IntN(400))*time.Millisecond)
	c.start(i)
	c.release(ctx, i)
}

// kill kills a router and starts it again up to 1.5 s later.
func (c *scheduler) kill(ctx context.Context, rng *rand.Rand) {
	for _, i := range c.reserve(rng, 1) {
		ended := c.soak.beginFault(i, false)
		c.soak.fleet.Kill(i)
		sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
		c.start(i)
		c.release(ctx, i)
		ended()
	}
}

// freeze suspends a router's process for 0.2 to 3 s.
func (c *scheduler) freeze(ctx context.Context, rng *rand.Rand) {
	for _, i := range c.reserve(rng, 1) {
		ended := c.soak.beginFault(i, false)
		c.soak.fleet.Freeze(i)
		sleep(ctx, time.Duration(200+rng.IntN(2800))*time.Millisecond)
		c.soak.fleet.Thaw(i)
		c.release(ctx, i)
		ended()
	}
}

// reload makes up to maxConcurrent routers reload their settings, one to four times in a row.
func (c *scheduler) reload(ctx context.Context, rng *rand.Rand) {
	all := c.reserve(rng, maxConcurrent)
	for range 1 + rng.IntN(4) {
		for _, i := range all {
			c.soak.fleet.Reload(i)
		}
		sleep(ctx, time.Duration(rng.IntN(200))*time.Millisecond)
	}
	for _, i := range all {
		c.release(ctx, i)
	}
}

// terminateStarting terminates a router, and terminates it again once or twice while it starts.
func (c *scheduler) terminateStarting(ctx context.Context, rng *rand.Rand) {
	for _, i := range c.reserve(rng, 1) {
		ended := c.soak.beginFault(i, true)
		c.terminate(ctx, rng, i)
		for range 1 + rng.IntN(2) {
			c.start(i)
			c.awaitSignalHandler(ctx, i)
			sleep(ctx, time.Duration(rng.IntN(600))*time.Millisecond)
			c.terminate(ctx, rng, i)
		}
		c.start(i)
		c.release(ctx, i)
		ended()
	}
}

// awaitSignalHandler waits until a started process handles SIGTERM. An earlier SIGTERM would end it
// without a graceful shutdown.
func (c *scheduler) awaitSignalHandler(ctx context.Context, i int) {
	within, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for !handlesSIGTERM(c.soak.fleet.Process(i)) {
		if !sleep(within, handlerPollInterval) {
			return
		}
	}
}
