package register

import (
	"fmt"
	"time"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
)

// caller is a client: it sends orders and reads, one at a time, to machines that it knows.
type caller struct {
	world   *world
	number  int
	address string
	view    *coordpb.View
	next    uint64
	calls   map[uint64]*call
	stopped bool
	waits   bool // it calls again once it was answered or has given up
}

// call is one order or read.
type call struct {
	id      uint64
	order   *counterOrder // nil for a read
	began   time.Duration
	atLeast int // the version that was acknowledged by then
	sent    time.Duration
	over    bool
	client  int           // its number
	ended   time.Duration // where over
	answer  counterReply
	then    func() // what its client does next, nil for nothing
}

// answered notes the time of the first answer.
func (x *call) answered(now time.Duration) {
	if !x.over {
		x.over, x.ended = true, now
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

func (w *world) client(name string) *caller {
	c := &caller{world: w, address: name, number: len(w.clients), calls: map[uint64]*call{}}
	w.clients[name] = c
	return c
}

// loop has a client call again and again, with pauses.
func (c *caller) loop(pause time.Duration) {
	if c.stopped || c.world.fault != nil {
		return
	}
	c.next++
	x := &call{id: c.next, began: c.world.now, atLeast: c.world.history.acknowledged, client: c.number}
	c.world.history.calls = append(c.world.history.calls, x)
	if c.world.rng.IntN(3) > 0 {
		on := c.world.history.acknowledged
		if c.world.rng.IntN(10) == 0 {
			on = max(on-1, 0) // a stale one
		}
		x.order = &counterOrder{Name: fmt.Sprintf("%s-%d", c.address, x.id), On: on}
	}
	c.calls[x.id] = x
	c.try(x)
	if !c.waits {
		c.again(pause)
		return
	}
	x.then = func() { c.again(pause) }
	c.world.after(givesUpAfter, x.end)
}

// again has a client call again after a pause.
func (c *caller) again(pause time.Duration) {
	c.world.after(time.Duration(c.world.rng.ExpFloat64()*float64(pause))+time.Millisecond, func() { c.loop(pause) })
}

// givesUpAfter is how long a client asks for an answer.
const givesUpAfter = 5 * time.Second

func (c *caller) try(x *call) {
	w := c.world
	if x.over || c.stopped || w.now-x.began > givesUpAfter {
		return
	}
	x.sent = w.now
	to := chain.Head(c.view)
	if x.order == nil {
		to = chain.Tail(c.view)
	}
	if to == "" || w.rng.IntN(3) == 0 {
		to = w.nodes[w.rng.IntN(len(w.nodes))].address
	}
	m := &coordpb.Message{From: &coordpb.Member{Address: c.address}}
	if x.order != nil {
		m.Body = &coordpb.Message_Submit{Submit: &coordpb.Submit{Id: x.id, Order: x.order.text()}}
	} else {
		m.Body = &coordpb.Message_Read{Read: &coordpb.Read{Id: x.id}}
	}
	w.send(c.address, to, m)
	sent := x.sent
	w.after(300*time.Millisecond, func() {
		if x.sent == sent {
			c.try(x)
		}
	})
}

func (c *caller) receive(m *coordpb.Message) {
	switch body := m.Body.(type) {
	case *coordpb.Message_Redirect:
		if v := body.Redirect.View; v.GetEpoch() > c.view.GetEpoch() {
			c.view = v
		}
		if x := c.calls[body.Redirect.Id]; x != nil {
			c.world.after(20*time.Millisecond, func() { c.try(x) })
		}
	case *coordpb.Message_Reply:
		if x := c.calls[body.Reply.Id]; x != nil {
			c.world.history.replied(c.world, x, body.Reply)
			x.answered(c.world.now)
		}
	}
}
