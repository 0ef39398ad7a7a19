package register

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
)

const (
	answerIn = 350 * time.Millisecond // then the next one is asked
	againIn  = 40 * time.Millisecond  // after a redirect that names nobody new
)

// ErrNoAnswer says that nobody answered in time. An order may have been taken, or may be.
var ErrNoAnswer = errors.New("register: no answer in time")

// Client brings orders to a register and reads it, from any process.
type Client struct {
	self *coordpb.Member
	send func(to string, m *coordpb.Message)

	mu      sync.Mutex
	view    *coordpb.View
	others  []string // who may know of a view
	next    uint64
	waiting map[uint64]chan answer
}

// answer is what came for a call.
type answer struct {
	reply    *coordpb.Reply
	redirect bool
}

// NewClient returns a client of a process with the address given. Send must not wait.
func NewClient(self *coordpb.Member, send func(to string, m *coordpb.Message)) *Client {
	return &Client{self: self, send: send, next: rand.Uint64(), waiting: map[uint64]chan answer{}}
}

// Viewed tells of a view; an older one than the last is ignored.
func (c *Client) Viewed(v *coordpb.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v != nil && v.Epoch > c.view.GetEpoch() {
		c.view = v
	}
}

// View is the newest view that was told of, nil for none. It is not to be changed.
func (c *Client) View() *coordpb.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Know names addresses that may know of a view.
func (c *Client) Know(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.others = addresses
}

// Receive takes in an answer; ok is false where the message is none.
func (c *Client) Receive(m *coordpb.Message) (ok bool) {
	switch body := m.Body.(type) {
	case *coordpb.Message_Reply:
		c.deliver(body.Reply.Id, answer{reply: body.Reply})
	case *coordpb.Message_Redirect:
		c.Viewed(body.Redirect.View)
		c.deliver(body.Redirect.Id, answer{redirect: true})
	default:
		return false
	}
	return true
}

func (c *Client) deliver(id uint64, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.waiting[id] <- a: // nil where nobody waits
	default:
	}
}

// Submit brings an order to the head and returns its reply, once it is committed. It is sent again until ctx ends, so the machine must
// know an order that comes twice.
func (c *Client) Submit(ctx context.Context, order []byte) (*coordpb.Reply, error) {
	return c.ask(ctx, chain.Head, func(id uint64) *coordpb.Message {
		return &coordpb.Message{From: c.self, Body: &coordpb.Message_Submit{Submit: &coordpb.Submit{Id: id, Order: order}}}
	})
}

// Read returns the state as it is after the call began.
func (c *Client) Read(ctx context.Context) (*coordpb.Reply, error) { return c.ReadAfter(ctx, 0) }

// ReadAfter is Read for a caller that has the state of a sequence: where that is still the newest one, the reply says so and is empty.
func (c *Client) ReadAfter(ctx context.Context, known uint64) (*coordpb.Reply, error) {
	return c.ask(ctx, chain.Tail, func(id uint64) *coordpb.Message {
		return &coordpb.Message{From: c.self, Body: &coordpb.Message_Read{Read: &coordpb.Read{Id: id, Known: known}}}
	})
}

// ask sends a message to one end of the chain until a reply comes.
func (c *Client) ask(ctx context.Context, end func(*coordpb.View) string, message func(id uint64) *coordpb.Message) (*coordpb.Reply, error) {
	c.mu.Lock()
	c.next++
	id := c.next
	came := make(chan answer, 4)
	c.waiting[id] = came
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
	}()
	for try := 0; ; try++ {
		to := c.target(end, try)
		if to != "" {
			c.send(to, message(id))
		}
		timer := time.NewTimer(answerIn)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, ErrNoAnswer
		case a := <-came:
			timer.Stop()
			if a.reply != nil {
				return a.reply, nil
			}
			if c.target(end, 0) == to {
				pause(ctx, againIn)
			}
		case <-timer.C:
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// target is whom to ask at a try: the end of the chain, and by turns others who may know of a newer view.
func (c *Client) target(end func(*coordpb.View) string, try int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := end(c.view)
	if at != "" && try%2 == 0 {
		return at
	}
	all := c.others
	for _, m := range c.view.GetMembers() {
		all = append(all[:len(all):len(all)], m.Address)
	}
	if len(all) == 0 {
		return at
	}
	return all[rand.IntN(len(all))]
}
