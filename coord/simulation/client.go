package simulation

import (
	"fmt"
	"time"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
)

const (
	// givesUpAfter is how long a client asks for an answer.
	givesUpAfter = 5 * time.Second
	asksAgainIn  = 300 * time.Millisecond
)

// Client sends orders and reads, to machines that it knows.
type Client struct {
	world   *World
	number  int
	address string
	view    *coordpb.View
	next    uint64
	calls   map[uint64]*call
	stopped bool
	waits   bool // it calls again once it was answered or has given up
	on      int  // the version that it knows of
	blind   bool // it builds on versions that it does not know to be in force
}

// call is one order or read.
type call struct {
	id      uint64
	order   *Order // nil for a read
	began   time.Duration
	atLeast int // the version that was acknowledged by then
	sent    time.Duration
	over    bool
	client  int           // its number
	ended   time.Duration // where over
	verdict Verdict       // of an order
	version int           // that was read, or is in force where an order was refused
	then    func()        // what its client does next, nil for nothing
}

// answered notes the first answer.
func (x *call) answered(now time.Duration, v Verdict, version int) {
	if !x.over {
		x.over, x.ended, x.verdict, x.version = true, now, v, version
	}
	x.end()
}

// end has the client go on.
func (x *call) end() {
	if then := x.then; then != nil {
		x.then = nil
		then()
	}
}

// NewClient returns a client. One that waits for each answer has a history that can be checked as a whole.
func (w *World) NewClient(waits bool) *Client {
	c := &Client{world: w, address: fmt.Sprintf("c%d", len(w.clients)), number: len(w.clients), calls: map[uint64]*call{}, waits: waits}
	w.clients[c.address] = c
	return c
}

// BuildAhead has the client send orders also on top of what it has no answer for yet.
func (c *Client) BuildAhead() { c.blind = true }

// Loop has the client call again and again, with pauses.
func (c *Client) Loop(pause time.Duration) {
	if c.stopped || c.world.Fault != nil {
		return
	}
	x := c.call(c.drawOrder())
	if !c.waits {
		c.again(pause)
		return
	}
	x.then = func() { c.again(pause) }
	c.world.After(givesUpAfter, x.end)
}

// again has a client call again after a pause.
func (c *Client) again(pause time.Duration) {
	c.world.After(time.Duration(c.world.rng.ExpFloat64()*float64(pause))+time.Millisecond, func() { c.Loop(pause) })
}

// drawOrder draws what to call next: an order two times in three, else a read.
func (c *Client) drawOrder() *Order {
	w := c.world
	if w.rng.IntN(3) == 0 {
		return nil
	}
	on := w.History.inForce
	switch {
	case w.rng.IntN(10) == 0:
		on = w.History.acknowledgedBefore // a stale one
	case c.blind && c.on > on:
		on = c.on
	}
	o := &Order{Name: fmt.Sprintf("%s-%d", c.address, c.next+1), On: on, Next: on + 1 + w.rng.IntN(3)}
	c.on = o.Next
	return o
}

// call sends an order, or a read for none.
func (c *Client) call(o *Order) *call {
	c.next++
	x := &call{id: c.next, order: o, began: c.world.Now, atLeast: c.world.History.acknowledged, client: c.number}
	c.world.History.calls = append(c.world.History.calls, x)
	c.calls[x.id] = x
	c.try(x)
	return x
}

func (c *Client) try(x *call) {
	w := c.world
	if x.over || c.stopped || w.Now-x.began > givesUpAfter {
		return
	}
	x.sent = w.Now
	w.send(c.address, c.target(x), c.message(x))
	sent := x.sent
	w.After(asksAgainIn, func() {
		if x.sent == sent {
			c.try(x)
		}
	})
}

// target is whom to ask: the end of the chain, or one time in three any machine, cut off or not.
func (c *Client) target(x *call) string {
	w := c.world
	to := chain.Head(c.view)
	if x.order == nil {
		to = chain.Tail(c.view)
	}
	if to == "" || w.rng.IntN(3) == 0 {
		to = w.Nodes[w.rng.IntN(len(w.Nodes))].Address
	}
	return to
}

func (c *Client) message(x *call) *coordpb.Message {
	m := &coordpb.Message{From: &coordpb.Member{Address: c.address}}
	if x.order != nil {
		m.Body = &coordpb.Message_Submit{Submit: &coordpb.Submit{Id: x.id, Order: c.world.Application.Order(*x.order)}}
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
			c.world.After(20*time.Millisecond, func() { c.try(x) })
		}
	case *coordpb.Message_Reply:
		if x := c.calls[body.Reply.Id]; x != nil {
			c.world.History.replied(c.world, x, body.Reply)
		}
	}
}
