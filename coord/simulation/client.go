package simulation

import (
	"fmt"
	"time"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
)

const (
	// givesUpAfter is how long a client asks for an answer.
	callTimeout   = 5 * time.Second
	retryInterval = 300 * time.Millisecond
)

// Client sends orders and reads, to machines that it knows.
type Client struct {
	world       *World
	number      int
	address     string
	view        *coordpb.View
	lastID      uint64
	calls       map[uint64]*call
	stopped     bool
	sequential  bool // it calls again once it was answered or has given up
	lastVersion int  // the version that it knows of
	buildsAhead bool // it builds on versions that it does not know to be in force
}

// call is one order or read.
type call struct {
	id         uint64
	command    *Command // nil for a read
	startedAt  time.Duration
	minVersion int // the version that was acknowledged by then
	sentAt     time.Duration
	done       bool
	client     int           // its number
	endedAt    time.Duration // where over
	verdict    Verdict       // of an order
	version    int           // that was read, or is in force where an order was refused
	next       func()        // what its client does next, nil for nothing
}

// answered notes the first answer.
func (x *call) complete(now time.Duration, v Verdict, version int) {
	if !x.done {
		x.done, x.endedAt, x.verdict, x.version = true, now, v, version
	}
	x.proceed()
}

// end has the client go on.
func (x *call) proceed() {
	if then := x.next; then != nil {
		x.next = nil
		then()
	}
}

// NewClient returns a client. One that waits for each answer has a history that can be checked as a whole.
func (w *World) NewClient(waits bool) *Client {
	c := &Client{world: w, address: fmt.Sprintf("c%d", len(w.clients)), number: len(w.clients), calls: map[uint64]*call{}, sequential: waits}
	w.clients[c.address] = c
	return c
}

// BuildAhead has the client send orders also on top of what it has no answer for yet.
func (c *Client) BuildAhead() { c.buildsAhead = true }

// Loop has the client call again and again, with pauses.
func (c *Client) Loop(pause time.Duration) {
	if c.stopped || c.world.Violation != nil {
		return
	}
	x := c.startCall(c.nextCommand())
	if !c.sequential {
		c.scheduleNext(pause)
		return
	}
	x.next = func() { c.scheduleNext(pause) }
	c.world.After(callTimeout, x.proceed)
}

// again has a client call again after a pause.
func (c *Client) scheduleNext(pause time.Duration) {
	c.world.After(time.Duration(c.world.rng.ExpFloat64()*float64(pause))+time.Millisecond, func() { c.Loop(pause) })
}

// drawOrder draws what to call next: an order two times in three, else a read.
func (c *Client) nextCommand() *Command {
	w := c.world
	if w.rng.IntN(3) == 0 {
		return nil
	}
	on := w.History.inForce
	switch {
	case w.rng.IntN(10) == 0:
		on = w.History.previousAcknowledged // a stale one
	case c.buildsAhead && c.lastVersion > on:
		on = c.lastVersion
	}
	o := &Command{Name: fmt.Sprintf("%s-%d", c.address, c.lastID+1), Base: on, Next: on + 1 + w.rng.IntN(3)}
	c.lastVersion = o.Next
	return o
}

// call sends an order, or a read for none.
func (c *Client) startCall(o *Command) *call {
	c.lastID++
	x := &call{id: c.lastID, command: o, startedAt: c.world.Now, minVersion: c.world.History.acknowledged, client: c.number}
	c.world.History.calls = append(c.world.History.calls, x)
	c.calls[x.id] = x
	c.attempt(x)
	return x
}

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

// target is whom to ask: the end of the chain, or one time in three any machine, cut off or not.
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

func (c *Client) message(x *call) *coordpb.Message {
	m := &coordpb.Message{From: &coordpb.Member{Address: c.address}}
	if x.command != nil {
		m.Body = &coordpb.Message_Submit{Submit: &coordpb.Submit{Id: x.id, Order: c.world.Application.Encode(*x.command)}}
	} else {
		m.Body = &coordpb.Message_Read{Read: &coordpb.Read{Id: x.id}}
	}
	return m
}

func (c *Client) receive(m *coordpb.Message) {
	switch body := m.Body.(type) {
	case *coordpb.Message_Redirect:
		if v := body.Redirect.View; v.GetEpoch() > c.view.GetEpoch() {
			c.view = v
		}
		if x := c.calls[body.Redirect.Id]; x != nil {
			c.world.After(20*time.Millisecond, func() { c.attempt(x) })
		}
	case *coordpb.Message_Reply:
		if x := c.calls[body.Reply.Id]; x != nil {
			c.world.History.recordReply(c.world, x, body.Reply)
		}
	}
}
