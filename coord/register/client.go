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
	// attemptTimeout is how long a client waits for an answer before its next attempt, which may
	// ask another process.
	attemptTimeout = 350 * time.Millisecond
	// redirectDelay is how long a client waits before its next attempt if, after a redirect, the
	// newest known view still leads to the process that the client has just asked.
	redirectDelay = 40 * time.Millisecond
	// answerCapacity bounds the answers buffered for one call. Further ones are duplicates and are
	// dropped.
	answerCapacity = 4
)

// ErrNoAnswer reports that no process answered before the context ended. A submitted command may
// have been committed, or may still be committed later; the caller may submit it again.
var ErrNoAnswer = errors.New("register: no answer in time")

// Client submits commands to a register and reads it, from any process. It is safe for
// concurrent use.
type Client struct {
	self *coordpb.Member
	send func(to string, m *coordpb.Message)

	mu             sync.Mutex
	view           *coordpb.View
	knownAddresses []string               // addresses of processes that may know a view
	lastID         uint64                 // the id of the newest call
	calls          map[uint64]chan answer // calls in progress, by id
}

// answer is a message that answers a call: a reply or a redirect. The zero value means that no
// answer arrived.
type answer struct {
	reply    *coordpb.Reply // nil for a redirect
	redirect bool
}

// NewClient returns a client in a process with the address of self. It sends its requests with the
// function send, which must not block. Answers that arrive at the address must be passed to Receive.
func NewClient(self *coordpb.Member, send func(to string, m *coordpb.Message)) *Client {
	return &Client{self: self, send: send, lastID: rand.Uint64(), calls: map[uint64]chan answer{}}
}

// LearnView makes the client use a view, unless the client already knows one of the same or a later
// epoch.
func (c *Client) LearnView(v *coordpb.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v != nil && v.Epoch > c.view.GetEpoch() {
		c.view = v
	}
}

// View returns the newest known view, nil for none. The caller must not change it.
func (c *Client) View() *coordpb.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// SetKnownAddresses sets the addresses of processes that may know a view. The client asks them, for
// example, while it knows no view itself.
func (c *Client) SetKnownAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knownAddresses = addresses
}

// Receive handles a reply or a redirect; ok is false for any other message.
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

// deliver passes an answer to the call with an id, if that call is still in progress.
func (c *Client) deliver(id uint64, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.calls[id] <- a: // without such a call the channel is nil and never ready
	default:
	}
}

// Submit submits a command and returns the reply once the command is committed or rejected. It
// sends the command again until a reply arrives or ctx ends, so the state machine has to recognize
// a command that it receives twice. The error is ErrNoAnswer.
func (c *Client) Submit(ctx context.Context, command []byte) (*coordpb.Reply, error) {
	return c.call(ctx, chain.Head, func(id uint64) *coordpb.Message {
		return &coordpb.Message{From: c.self, Body: &coordpb.Message_Submit{Submit: &coordpb.Submit{Id: id, Order: command}}}
	})
}

// Read returns a state that contains every change committed before the call began. The error is
// ErrNoAnswer.
func (c *Client) Read(ctx context.Context) (*coordpb.Reply, error) { return c.ReadAfter(ctx, 0) }

// ReadAfter is Read for a caller that already has the state with the sequence known. If that state
// is still the newest one, the reply has Unchanged set and contains no state.
func (c *Client) ReadAfter(ctx context.Context, known uint64) (*coordpb.Reply, error) {
	return c.call(ctx, chain.Tail, func(id uint64) *coordpb.Message {
		return &coordpb.Message{From: c.self, Body: &coordpb.Message_Read{Read: &coordpb.Read{Id: id, Known: known}}}
	})
}

// call sends a request to one end of the chain, and repeats it until a reply arrives or ctx ends.
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

// register begins a call and returns its id and the channel that receives its answers.
func (c *Client) register() (id uint64, answers chan answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	answers = make(chan answer, answerCapacity)
	c.calls[c.lastID] = answers
	return c.lastID, answers
}

// unregister ends a call; later answers to it are dropped.
func (c *Client) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

// await waits up to attemptTimeout for an answer. It returns the zero answer after a timeout, and
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

// sleep waits for a duration or until ctx ends, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// target returns the address to ask at an attempt, counted from 0. Even attempts go to the end of
// the chain. Odd attempts go to a random process that may know a newer view, and so do all attempts
// while no view is known. The result is empty if no address is known.
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
