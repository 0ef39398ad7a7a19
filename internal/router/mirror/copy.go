package mirror

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"reachspread/balance"
	"reachspread/internal/router/records"
	"reachspread/internal/router/shadow"
	"reachspread/internal/routing"
	"reachspread/internal/transport"
)

// readBytes is the size of the buffer that a copy's answer is read with.
const readBytes = 4096

// shadowCopy is one copy, from its offer to its Drop or Record.
type shadowCopy struct {
	id      uint64
	session uint64
	live    *liveAnswer
	request transport.AcceptedRequest

	ctx        context.Context // from its start on; ends when it is canceled
	cancel     context.CancelFunc
	historyGap bool
	answer     capture
}

// startCopy sends a copy. Until its CopyEnded it belongs to a goroutine of its own.
func (p *pool) startCopy(c *shadowCopy, gap bool) {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.historyGap = gap
	c.answer = capture{maxPrefix: p.answerBytes(), since: time.Now()}
	arrival := c.request.Arrival
	// An id of its own keeps a host from taking a copy for an attempt of the live request or of
	// another copy.
	arrival.ID += "~" + p.name + "~" + strconv.FormatUint(c.id, 10)
	arrival.TimeLeft = p.inForce.FirstEventTimeout
	go func() {
		cause := p.runCopy(c, arrival)
		c.cancel()
		p.post(message{event: shadow.CopyEnded{Copy: c.id, Cause: cause}})
	}()
}

// runCopy routes a copy as a front routes a request, and reads its answer to the end. It returns ""
// where the answer is complete.
func (p *pool) runCopy(c *shadowCopy, arrival balance.Arrival) shadow.Cause {
	request, err := p.router.Accept(arrival, time.Now(), copyMessage{c.request.Message.WithID(arrival.ID), c})
	if err != nil {
		c.answer.finish(string(shadow.Failed))
		return shadow.Failed
	}
	defer p.router.Done(request)
	defer context.AfterFunc(c.ctx, func() { p.router.Abandon(request) })()
	answer, ok := request.Wait()
	if !ok {
		c.answer.finish(outcomeAbandoned)
		return shadow.StreamFailed
	}
	if answer.Verdict != routing.Served {
		cause := verdictCause(answer.Verdict)
		c.answer.finish(string(cause))
		return cause
	}
	defer answer.Stream.Close()
	c.answer.source = answer.Stream.Source()
	buf := make([]byte, readBytes)
	for {
		n, err := answer.Stream.Read(buf)
		if n > 0 {
			c.answer.feed(buf[:n])
		}
		switch {
		case err == io.EOF:
			c.answer.finish(outcomeComplete)
			return ""
		case err != nil:
			c.answer.finish(string(shadow.StreamFailed))
			return shadow.StreamFailed
		}
	}
}

// record compares a copy's answer with the live one and passes the record to the sink.
func (p *pool) record(c *shadowCopy, a shadow.Record) {
	request, texts := c.request, p.recordTexts
	answer := c.answer.answer(p.mirror.digestKey[:])
	r := &records.Record{
		Version:    records.Version,
		At:         request.ArrivedAt.UTC(),
		Pool:       p.name,
		Class:      request.Arrival.Class,
		Tenant:     request.Tenant,
		ID:         request.Arrival.ID,
		Session:    fmt.Sprintf("%016x", c.session),
		HistoryGap: c.historyGap,
		Cause:      string(a.Cause),
		BodyBytes:  len(request.Message.Body()),
		Copy:       side(answer, c.answer.outcome, texts),
	}
	if texts {
		r.Body = string(request.Message.Body())
	}
	if !a.LiveEnded { // still written by the live path: not ours to read
		r.Live = records.Answer{Outcome: "open"}
	} else {
		liveAnswer := c.live.answer.answer(p.mirror.digestKey[:])
		r.Live = side(liveAnswer, c.live.answer.outcome, texts)
		if a.Cause == "" {
			cmp := shadow.Compare(liveAnswer, answer)
			r.Comparison = &records.Comparison{
				Text:             string(cmp.Text),
				Similarity:       cmp.Similarity,
				Partial:          cmp.Partial,
				SameFinish:       cmp.SameFinish,
				TokenDelta:       cmp.TokenDelta,
				CachedTokenDelta: cmp.CachedTokenDelta,
			}
			p.latencies.add(request.Arrival.Class, liveAnswer, answer)
		}
	}
	p.sink.put(r)
}
