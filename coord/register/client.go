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
	// attemptTimeout is how long a client waits for an answer before it asks another process.
	attemptTimeout = 350 * time.Millisecond
	// redirectDelay is how long it waits after a redirect that leads to nobody new.
	redirectDelay = 40 * time.Millisecond
	// answerCapacity bounds the answers to one call that wait; further ones are duplicates.
	answerCapacity = 4
)

// ErrNoAnswer reports that no process answered before the context ended. A command may have been
// committed, or may be later; the caller may submit it again.
var ErrNoAnswer = errors.New("register: no answer in time")

// Client submits commands to a register and reads it, from any process. It is safe for
// concurrent use.
type Client struct {
	self *coordpb.Member
	send func(to string, m *coordpb.Message)

	mu             sync.Mutex
	view           *coordpb.View
	knownAddresses []string // that may know a view
	lastID         uint64
	calls          map[uint64]chan answer // in progress, by id
}

// answer is a message that came for a call.
type answer struct {
	reply    *coordpb.Reply // nil for a redirect
	redirect bool
}

// NewClient returns a client in a process with the address of self. Send must not block.
func NewClient(self *coordpb.Member, send func(to string, m *coordpb.Message)) *Client {
	return &Client{self: self, send: send, lastID: rand.Uint64(), calls: map[uint64]chan answer{}}
}

// LearnView takes up a view, unless a newer one is known.
func (c *Client) LearnView(v *coordpb.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v != nil && v.Epoch > c.view.GetEpoch() {
		c.view = v
	}
}

// View is the newest known view, nil for none. It must not be changed.
func (c *Client) View() *coordpb.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// SetKnownAddresses sets the addresses of processes that may know a view.
func (c *Client) SetKnownAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knownAddresses = addresses
}

// Receive handles an answer; ok is false if the message is none.
func (c *Client) Receive(m *coordpb.Message) (ok bool) {
	switch body := m.Body.(type) {
	case *coordpb.Message_Reply:
		c.deliver(body.Reply.Id, answer{reply: body.Reply})
	case *coordpb.Message_Redirect:
		c.LearnView(body.Redirect.View)
		c.deliver(body.Redirect.Id, answer{redirect: true})
	default:
		return false
	}
	return true
}

// deliver passes an answer to the call that waits for it, if any does.
func (c *Client) deliver(id uint64, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.calls[id] <- a: // nil, and so never ready, for no call
	default:
	}
}

// Submit submits a command and returns its reply once it is committed. It is sent again until
// ctx ends, so the machine has to recognize a command that comes twice. The error is
// ErrNoAnswer.
func (c *Client) Submit(ctx context.Context, command []byte) (*coordpb.Reply, error) {
	return c.call(ctx, chain.Head, func(id uint64) *coordpb.Message {
		return &coordpb.Message{From: c.self, Body: &coordpb.Message_Submit{Submit: &coordpb.Submit{Id: id, Order: command}}}
	})
}

// Read returns the newest state that was committed after the call began. The error is
// ErrNoAnswer.
func (c *Client) Read(ctx context.Context) (*coordpb.Reply, error) { return c.ReadAfter(ctx, 0) }

// ReadAfter is Read for a caller that has the state of a sequence: if that is still the newest
// one, the reply says so and has no state.
func (c *Client) ReadAfter(ctx context.Context, known uint64) (*coordpb.Reply, error) {
	return c.call(ctx, chain.Tail, func(id uint64) *coordpb.Message {
		return &coordpb.Message{From: c.self, Body: &coordpb.Message_Read{Read: &coordpb.Read{Id: id, Known: known}}}
	})
}

// call sends a message to one end of the chain, again and again, until a reply comes or ctx ends.
func (c *Client) call(ctx context.Context, end func(*coordpb.View) string, message func(id uint64) *coordpb.Message) (*coordpb.Reply, error) {
	id, answers := c.register()
	defer c.unregister(id)
	for attempt := 0; ; attempt++ {
		to := c.target(end, attempt)
		if to != "" {
			c.send(to, message(id))
		}
		a, err := c.await(ctx, answers)
		switch {
		case err != nil:
			return nil, err
		case a.reply != nil:
			return a.reply, nil
		case a.redirect && c.target(end, 0) == to:
			sleep(ctx, redirectDelay)
		}
	}
}

// register begins a call, whose answers come on a channel.
func (c *Client) register() (id uint64, answers chan answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	answers = make(chan answer, answerCapacity)
	c.calls[c.lastID] = answers
	return c.lastID, answers
}

// unregister ends a call.
func (c *Client) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

// await waits for an answer for attemptTimeout. The answer is zero if none came, and the error
// ErrNoAnswer if ctx ended.
func (c *Client) await(ctx context.Context, answers <-chan answer) (answer, error) {
	timer := time.NewTimer(attemptTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return answer{}, ErrNoAnswer
	case a := <-answers:
		return a, nil
	case <-timer.C:
		return answer{}, nil
	}
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// target is the address to ask at an attempt: the end of the chain, and at each other attempt any
// process that may know a newer view. It is empty if none is known.
func (c *Client) target(end func(*coordpb.View) string, attempt int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := end(c.view)
	if at != "" && attempt%2 == 0 {
		return at
	}
	all := c.knownAddresses
	for _, m := range c.view.GetMembers() {
		all = append(all[:len(all):len(all)], m.Address)
	}
	if len(all) == 0 {
		return at
	}
	return all[rand.IntN(len(all))]
}
