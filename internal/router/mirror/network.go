package mirror

import (
	"context"
	"time"

	"reachspread/balance"
	"reachspread/internal/router/shadow"
	"reachspread/internal/routing"
	"reachspread/internal/transport"
)

// copyMessage is the message that the pool's router sends for a copy.
type copyMessage struct {
	*transport.Message
	copied *shadowCopy
}

// cappedNetwork is the network of the pool's router. It sends an attempt to a host only if the
// decider grants it.
type cappedNetwork struct {
	*transport.Servers
	pool *pool
}

// Send implements routing.Network. An attempt that the decider denies counts as rejected by the
// host.
func (n cappedNetwork) Send(ctx context.Context, deadline time.Time, to routing.Server, m routing.Message, hooks routing.SendHooks) routing.AttemptResult {
	copied := m.(copyMessage)
	p := n.pool
	granted := make(chan bool, 1)
	p.post(message{grantReply: granted, event: shadow.AttemptRequest{Copy: copied.copied.id, Host: to.ID}})
	if !<-granted {
		return routing.AttemptResult{Result: balance.Full}
	}
	reached := func() { p.post(message{event: shadow.AttemptReached{Copy: copied.copied.id}}) }
	release := func() { p.post(message{event: shadow.AttemptEnded{Host: to.ID}}) }
	msg := copied.Message
	if p.singleCopier.Load() {
		p.unconfirmed.Add(1)
		defer p.unconfirmed.Add(-1)
		var ok bool
		if msg, ok = p.withToken(msg); !ok {
			reached()
			release()
			return routing.AttemptResult{Result: balance.NotSent}
		}
	}
	result := n.Servers.Send(ctx, deadline, to, msg, hooks)
	reached()
	if result.Body == nil {
		release()
	} else {
		result.Body = &cappedBody{result.Body, release}
	}
	return result
}

// withToken returns the message with the fencing token of the pool's role. It returns false if this
// router no longer holds the lease.
func (p *pool) withToken(m *transport.Message) (*transport.Message, bool) {
	leases := p.mirror.options.Leases
	token, _, ok := leases.Check(p.role)
	if !ok || !p.hasLease.Load() {
		return nil, false
	}
	rejected := func(highest uint64) { leases.TokenRejected(p.role, highest) }
	return m.WithFencingToken(p.role, token, rejected), true
}

// cappedBody is the body of an answer to a granted attempt. End also calls release, which reports
// the end of the attempt to the decider.
type cappedBody struct {
	routing.Body
	release func()
}

// End implements routing.Body.
func (b *cappedBody) End() (float64, *balance.Load) {
	defer b.release()
	return b.Body.End()
}
