package register

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// deferredEffect is a message or a commit that waits until the records before it are durable.
type deferredEffect struct {
	afterRecords uint64           // number of records that have to be durable first
	send         *Send            // nil for a commit
	committed    *chain.Committed // nil for a message
}

// applyEffects applies the effects of a step. It then handles the messages that the process sends
// to itself and applies their effects, until no such message is left.
func (c *Core) applyEffects(now time.Duration, fromView []view.Effect, fromChain []chain.Effect) Output {
	var out Output
	for {
		c.applyViewEffects(now, fromView, &out)
		c.applyChainEffects(fromChain, &out)
		c.releaseDurable(&out)
		fromView, fromChain = nil, nil
		if len(c.loopback) == 0 {
			return out
		}
		m := c.loopback[0]
		c.loopback = c.loopback[1:]
		c.updateStatus()
		if effects, ok := c.view.Receive(now, m); ok {
			fromView = effects
		} else {
			fromChain, _ = c.chain.Receive(now, m)
		}
	}
}

// applyViewEffects applies effects of the agreement on views. If the view has changed, the chain
// begins the new epoch at once.
func (c *Core) applyViewEffects(now time.Duration, effects []view.Effect, out *Output) {
	for _, e := range effects {
		switch e := e.(type) {
		case view.Send:
			c.send(e.To, e.Message, e.Immediate, out)
		case view.Write:
			c.write(e.Record)
		case view.Sealed:
			c.chain.Seal()
		case view.ViewChanged:
			out.View = e.View
			c.applyChainEffects(c.chain.BeginEpoch(now, e.View), out)
		}
	}
}

// applyChainEffects applies effects of the chain protocol.
func (c *Core) applyChainEffects(effects []chain.Effect, out *Output) {
	for _, e := range effects {
		switch e := e.(type) {
		case chain.Send:
			c.send(e.To, e.Message, e.Immediate, out)
		case chain.Write:
			c.write(e.Record)
		case chain.Committed:
			c.deferred = append(c.deferred, deferredEffect{afterRecords: c.recordCount, committed: &e})
		}
	}
}

// write appends a record to the pending records.
func (c *Core) write(r *coordpb.Record) {
	c.records = append(c.records, r)
	c.recordCount++
}

// send releases an immediate message to another process at once. It defers any other message until
// the records created before it are durable.
func (c *Core) send(to string, m *coordpb.Message, immediate bool, out *Output) {
	if immediate && to != c.config.Self.Address {
		out.Sends = append(out.Sends, Send{to, m})
		return
	}
	c.deferred = append(c.deferred, deferredEffect{afterRecords: c.recordCount, send: &Send{to, m}})
}

// releaseDurable releases, in order, the deferred effects whose records are durable by now. A
// message of this process to itself goes to the loopback queue, unless it is for a client.
func (c *Core) releaseDurable(out *Output) {
	n := 0
	for _, q := range c.deferred {
		if q.afterRecords > c.durableCount {
			break
		}
		n++
		switch {
		case q.committed != nil:
			out.Commits = append(out.Commits, *q.committed)
		case q.send.To == c.config.Self.Address && !isForClient(q.send.Message):
			c.loopback = append(c.loopback, proto.Clone(q.send.Message).(*coordpb.Message))
		default:
			out.Sends = append(out.Sends, *q.send)
		}
	}
	c.deferred = slices.Delete(c.deferred, 0, n)
}

// isForClient reports whether a message is an answer to a Client. The Client may run in this
// process, and then it has the same address as the Core.
func isForClient(m *coordpb.Message) bool { return m.GetReply() != nil || m.GetRedirect() != nil }
