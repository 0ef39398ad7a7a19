package dataplane

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/internal/protocol"
)

const (
	// startupTime is how long a router counts as starting: what it lacks comes within moments, so
	// requests wait for it. Later it lacks something because it is partitioned, and its clients do
	// better elsewhere.
	startupTime = 3 * time.Second
	// maxStartupWait bounds how long a request waits for that, and maxWaitFraction the fraction of
	// its deadline.
	maxStartupWait  = 1200 * time.Millisecond
	maxWaitFraction = 0.4
	// maxWaiters bounds the requests that wait. Further ones are rejected.
	maxWaiters = 512
)

// changes wakes goroutines that wait for a change. The zero value is ready.
type changeNotifier struct {
	mu      sync.Mutex
	next    chan struct{} // closed with the next change
	waiters int
}

// notify wakes all that wait.
func (c *changeNotifier) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		close(c.next)
		c.next = nil
	}
}

// waitUntil waits until a condition holds, which is checked after each change, or a time has
// passed. It reports whether the condition holds.
func (c *changeNotifier) waitUntil(condition func() bool, timeout time.Duration) bool {
	if condition() {
		return true
	}
	if !c.addWaiter() {
		return false
	}
	defer c.removeWaiter()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		next := c.nextChange()
		if condition() {
			return true
		}
		select {
		case <-next:
		case <-timer.C:
			return condition()
		}
	}
}

// addWaiter counts a waiter, and reports whether it may wait.
func (c *changeNotifier) addWaiter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiters >= maxWaiters {
		return false
	}
	c.waiters++
	return true
}

// removeWaiter ends what addWaiter began.
func (c *changeNotifier) removeWaiter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters--
}

// count returns how many wait.
func (c *changeNotifier) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiters
}

// nextChange returns a channel that is closed with the next change.
func (c *changeNotifier) nextChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = make(chan struct{})
	}
	return c.next
}

// Refreshed says that what is known of the configuration is fresh again.
func (p *Plane) Refreshed() { p.changes.notify() }

// isStarting reports whether this router started so short a time ago that what it lacks comes
// within moments.
func (p *Plane) isStarting() bool { return time.Since(p.o.StartedAt) < startupTime }

// awaitStartup waits, while this router is starting, until what it needs for a request is there. It
// reports whether it is.
func (p *Plane) awaitStartup(ctx *fasthttp.RequestCtx, condition func() bool) bool {
	if condition() {
		return true
	}
	timeout := min(maxStartupWait, startupTime-time.Since(p.o.StartedAt))
	header := string(ctx.Request.Header.Peek(protocol.HeaderDeadline))
	if deadline, given, err := protocol.ParseDeadline(header); err == nil && given {
		timeout = min(timeout, time.Duration(maxWaitFraction*float64(deadline)))
	}
	return timeout > 0 && p.changes.waitUntil(condition, timeout)
}
