package dataplane

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/internal/protocol"
)

const (
	// startupTime is how long a router counts as starting. Data that a starting router lacks
	// arrives within moments, so requests wait for it. If data is missing later, the router is
	// partitioned, and a client is better served by another router.
	startupTime = 3 * time.Second
	// maxStartupWait is how long a request waits at most for a starting router to receive its data,
	// and maxWaitFraction is the fraction of the request's deadline that it waits at most.
	maxStartupWait  = 1200 * time.Millisecond
	maxWaitFraction = 0.4
	// maxWaiters is the maximum number of requests that wait. Further requests are rejected.
	maxWaiters = 512
)

// changeNotifier wakes goroutines that wait for a change. The zero value is ready to use.
type changeNotifier struct {
	mu      sync.Mutex
	next    chan struct{} // closed at the next change
	waiters int
}

// notify wakes all waiting goroutines.
func (c *changeNotifier) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		close(c.next)
		c.next = nil
	}
}

// waitUntil waits until a condition holds or the timeout ends, and reports whether the condition
// holds. It checks the condition after each change. If too many goroutines wait already, it does
// not wait.
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

// addWaiter counts a waiting goroutine, and reports whether it may wait.
func (c *changeNotifier) addWaiter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiters >= maxWaiters {
		return false
	}
	c.waiters++
	return true
}

// removeWaiter reverses a successful call of addWaiter.
func (c *changeNotifier) removeWaiter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters--
}

// count returns how many goroutines wait.
func (c *changeNotifier) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiters
}

// nextChange returns a channel that is closed at the next change.
func (c *changeNotifier) nextChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = make(chan struct{})
	}
	return c.next
}

// Refreshed must be called when the configuration has become fresh again. It wakes the requests
// that wait for that.
func (p *Plane) Refreshed() { p.changes.notify() }

// isStarting reports whether this router started so recently that requests may wait for data that
// it lacks.
func (p *Plane) isStarting() bool { return time.Since(p.o.StartedAt) < startupTime }

// awaitStartup waits while this router is starting until a condition for serving a request holds.
// It reports whether the condition holds.
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
