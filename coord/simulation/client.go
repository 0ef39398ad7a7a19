package simulation

import (
	"fmt"
	"time"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
)

const (
	// callTimeout is the time after which a client gives up a call.
	callTimeout = 5 * time.Second
	// retryInterval is the time after which a client resends a message that wasn't answered.
	retryInterval = 300 * time.Millisecond
	// redirectDelay is how long a client waits after a redirect before it retries the call.
	redirectDelay = 20 * time.Millisecond
)

// Client submits commands and reads the state.
type Client struct {
	world       *World
	number      int
	address     string
	view        *coordpb.View
	lastID      uint64
	calls       map[uint64]*call
	stopped     bool
	sequential  bool // the client has one call in progress at a time
	lastVersion int  // the version that its last command makes
	buildsAhead bool // commands build on versions that aren't known to be in force
}

// call is one submission or read.
type call struct {
	id         uint64
	client     int      // the number of the client
	command    *Command // nil for a read
	startedAt  time.Duration
	minVersion int // the greatest version that was acknowledged at startedAt
	sentAt     time.Duration
	done       bool
	endedAt    time.Duration // if done
	verdict    Verdict       // of a command; Accepted for a read
	version    int           // the version that was read, or the one in the reply to a command
	next       func()        // called once, after the call is done or given up; may be nil
}

// complete records the first answer to the call, and proceeds.
func (x *call) complete(now time.Duration, v Verdict, version int) {
	if !x.done {
		x.done, x.endedAt, x.verdict, x.version = true, now, v, version
	}
	x.proceed()
}

// proceed calls next, once.
func (x *call) proceed() {
	if next := x.next; next != nil {
		x.next = nil
		next()
	}
}

// NewClient returns a client. A sequential client has one call in progress at a time. If all
// clients are sequential, the history can be checked for linearizability.
func (w *World) NewClient(sequential bool) *Client {
	c := &Client{world: w, address: fmt.Sprintf("c%d", len(w.clients)), number: len(w.clients), calls: map[uint64]*call{}, sequential: sequential}
	w.clients[c.address] = c
	return c
}

// BuildAhead makes the client submit commands that build on its own earlier commands before those
// are answered.
func (c *Client) BuildAhead() { c.buildsAhead = true }

// Loop makes the client start calls repeatedly, with random pauses between them.
func (c *Client) Loop(meanInterval time.Duration) {
	if c.stopped || c.world.Violation != nil {
		return
	}
	x := c.startCall(c.nextCommand())
	if !c.sequential {
		c.scheduleNext(meanInterval)
		return
	}
	x.next = func() { c.scheduleNext(meanInterval) }
	c.world.After(callTimeout, x.proceed)
}

// scheduleNext schedules the next call.
func (c *Client) scheduleNext(meanInterval time.Duration) {
	c.world.After(time.Duration(c.world.rng.ExpFloat64()*float64(meanInterval))+time.Millisecond, func() { c.Loop(meanInterval) })
}

// nextCommand draws the next call: a command, two times in three, or nil for a read.
func (c *Client) nextCommand() *Command {
	w := c.world
	if w.rng.IntN(3) == 0 {
		return nil
	}
	base := w.History.inForce
	switch {
	case w.rng.IntN(10) == 0:
		base = w.History.previousAcknowledged // a stale version
	case c.buildsAhead && c.lastVersion > base:
		base = c.lastVersion
	}
	o := &Command{Name: fmt.Sprintf("%s-%d", c.address, c.lastID+1), Base: base, Next: base + 1 + w.rng.IntN(3)}
	c.lastVersion = o.Next
	return o
}

// startCall submits a command, or starts a read if the command is nil.
func (c *Client) startCall(o *Command) *call {
	c.lastID++
	x := &call{id: c.lastID, command: o, startedAt: c.world.Now, minVersion: c.world.History.acknowledged, client: c.number}
	c.world.History.calls = append(c.world.History.calls, x)
	c.calls[x.id] = x
	c.attempt(x)
	return x
}

// attempt sends the message of a call, and resends it every retryInterval until the call is
// answered or given up.
func (c *Client) attempt(x *call) {
	w := c.world
	if x.done || c.stopped || w.Now-x.startedAt > callTimeout {
		return
	}
	x.sentAt = w.Now
	w.send(c.address, c.target(x), c.message(x))
	sent := x.sentAt
	w.After(retryInterval, func() {
		if x.sentAt == sent {
			c.attempt(x)
		}
	})
}

// target returns the address to send a call to: the head of the chain for a command, the tail for
// a read, or one time in three any machine.
func (c *Client) target(x *call) string {
	w := c.world
	to := chain.Head(c.view)
	if x.command == nil {
		to = chain.Tail(c.view)
	}
	if to == "" || w.rng.IntN(3) == 0 {
		to = w.Processes[w.rng.IntN(len(w.Processes))].Address
	}
	return to
}

// message returns the message of a call.
func (c *Client) message(x *call) *coordpb.Message {
	m := &coordpb.Message{From: &coordpb.Member{Address: c.address}}
	if x.command != nil {
		m.Body = &coordpb.Message_Submit{Submit: &coordpb.Submit{Id: x.id, Order: c.world.Application.Encode(*x.command)}}
	} else {
		m.Body = &coordpb.Message_Read{Read: &coordpb.Read{Id: x.id}}
	}
	return m
}

// receive handles a reply or a redirect.
func (c *Client) receive(m *coordpb.Message) {
	switch body := m.Body.(type) {
	case *coordpb.Message_Redirect:
		if v := body.Redirect.View; v.GetEpoch() > c.view.GetEpoch() {
			c.view = v
		}
		if x := c.calls[body.Redirect.Id]; x != nil {
			c.world.After(redirectDelay, func() { c.attempt(x) })
		}
	case *coordpb.Message_Reply:
		if x := c.calls[body.Reply.Id]; x != nil {
			c.world.History.recordReply(c.world, x, body.Reply)
		}
	}
}
