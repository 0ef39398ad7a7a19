package dataplane

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/internal/protocol"
)

const (
	// startsFor is how long a router counts as starting: what it lacks to serve comes within moments, so requests wait for it. Later it
	// lacks something because it is cut off, and whoever asks does better elsewhere.
	startsFor = 3 * time.Second
	// mostWait bounds how long a request waits for that, and waitPart is the part of its deadline that it may wait at most.
	mostWait = 1200 * time.Millisecond
	waitPart = 0.4
	// mostWaiting bounds the requests that wait.
	mostWaiting = 512
)

// changes wakes those who wait for something to change.
type changes struct {
	mu      sync.Mutex
	next    chan struct{} // closed with the next change
	waiting int
}

// notify wakes all who wait.
func (c *changes) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		close(c.next)
		c.next = nil
	}
}

// until waits until something holds, a time at most; it is looked at after each change. It tells whether it holds.
func (c *changes) until(holds func() bool, most time.Duration) bool {
	if holds() {
		return true
	}
	if !c.enter() {
		return false
	}
	defer c.leave()
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		next := c.change()
		if holds() {
			return true
		}
		select {
		case <-next:
		case <-timer.C:
			return holds()
		}
	}
}

func (c *changes) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting >= mostWaiting {
		return false
	}
	c.waiting++
	return true
}

func (c *changes) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
}

// count is how many wait.
func (c *changes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// change is closed with the next change.
func (c *changes) change() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = make(chan struct{})
	}
	return c.next
}

// Refreshed tells that what is known of the configuration is young again.
func (p *Plane) Refreshed() { p.changes.notify() }

// starting tells whether this router has begun so short a time ago that what it lacks comes within moments.
func (p *Plane) starting() bool { return time.Since(p.o.Began) < startsFor }

// await waits, while this router starts, until what it needs for a request is there. It tells whether it is.
func (p *Plane) await(ctx *fasthttp.RequestCtx, there func() bool) bool {
	if there() {
		return true
	}
	most := min(mostWait, startsFor-time.Since(p.o.Began))
	if deadline, told, err := protocol.ParseDeadline(string(ctx.Request.Header.Peek(protocol.HeaderDeadline))); err == nil && told {
		most = min(most, time.Duration(waitPart*float64(deadline)))
	}
	return most > 0 && p.changes.until(there, most)
}
