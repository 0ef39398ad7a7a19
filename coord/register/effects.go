package register

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// deferredEffect is a message or a commit that waits until records are durable.
type deferredEffect struct {
	afterRecords uint64 // how many records have to be durable
	send         *Send
	committed    *chain.Committed
}

// applyEffects applies the effects of a step, and those of the messages that the process sends
// to itself, until none is left.
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

// applyViewEffects applies effects of the agreement on views. The chain begins the epoch of a
// new view at once.
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

// applyChainEffects applies effects of the chain.
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

// write appends a record to those that are pending.
func (c *Core) write(r *coordpb.Record) {
	c.records = append(c.records, r)
	c.recordCount++
}

// send sends an immediate message at once, and defers others until the records before it are
// durable.
func (c *Core) send(to string, m *coordpb.Message, immediate bool, out *Output) {
	if immediate && to != c.config.Self.Address {
		out.Sends = append(out.Sends, Send{to, m})
		return
	}
	c.deferred = append(c.deferred, deferredEffect{afterRecords: c.recordCount, send: &Send{to, m}})
}

// releaseDurable releases the deferred effects whose records are durable by now, in order.
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

// forClient reports whether a message is for a client, which may be in this process.
func isForClient(m *coordpb.Message) bool { return m.GetReply() != nil || m.GetRedirect() != nil }
