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
func (o *Core) applyEffects(now time.Duration, fromView []view.Effect, fromChain []chain.Effect) Output {
	var out Output
	for {
		o.applyViewEffects(now, fromView, &out)
		o.applyChainEffects(fromChain, &out)
		o.releaseDurable(&out)
		fromView, fromChain = nil, nil
		if len(o.loopback) == 0 {
			return out
		}
		m := o.loopback[0]
		o.loopback = o.loopback[1:]
		o.updateStatus()
		if effects, ok := o.view.Receive(now, m); ok {
			fromView = effects
		} else {
			fromChain, _ = o.chain.Receive(now, m)
		}
	}
}

// applyViewEffects applies effects of the agreement on views. The chain begins the epoch of a
// new view at once.
func (o *Core) applyViewEffects(now time.Duration, effects []view.Effect, out *Output) {
	for _, e := range effects {
		switch e := e.(type) {
		case view.Send:
			o.send(e.To, e.Message, e.Immediate, out)
		case view.Write:
			o.write(e.Record)
		case view.Sealed:
			o.chain.Seal()
		case view.ViewChanged:
			out.View = e.View
			o.applyChainEffects(o.chain.BeginEpoch(now, e.View), out)
		}
	}
}

// applyChainEffects applies effects of the chain.
func (o *Core) applyChainEffects(effects []chain.Effect, out *Output) {
	for _, e := range effects {
		switch e := e.(type) {
		case chain.Send:
			o.send(e.To, e.Message, e.Immediate, out)
		case chain.Write:
			o.write(e.Record)
		case chain.Committed:
			o.deferred = append(o.deferred, deferredEffect{afterRecords: o.recordCount, committed: &e})
		}
	}
}

// write appends a record to those that are pending.
func (o *Core) write(r *coordpb.Record) {
	o.records = append(o.records, r)
	o.recordCount++
}

// send sends an immediate message at once, and defers others until the records before it are
// durable.
func (o *Core) send(to string, m *coordpb.Message, informal bool, out *Output) {
	if informal && to != o.config.Self.Address {
		out.Sends = append(out.Sends, Send{to, m})
		return
	}
	o.deferred = append(o.deferred, deferredEffect{afterRecords: o.recordCount, send: &Send{to, m}})
}

// releaseDurable releases the deferred effects whose records are durable by now, in order.
func (o *Core) releaseDurable(out *Output) {
	n := 0
	for _, q := range o.deferred {
		if q.afterRecords > o.durableCount {
			break
		}
		n++
		switch {
		case q.committed != nil:
			out.Commits = append(out.Commits, *q.committed)
		case q.send.To == o.config.Self.Address && !forClient(q.send.Message):
			o.loopback = append(o.loopback, proto.Clone(q.send.Message).(*coordpb.Message))
		default:
			out.Sends = append(out.Sends, *q.send)
		}
	}
	o.deferred = slices.Delete(o.deferred, 0, n)
}

// forClient reports whether a message is for a client, which may be in this process.
func forClient(m *coordpb.Message) bool { return m.GetReply() != nil || m.GetRedirect() != nil }
