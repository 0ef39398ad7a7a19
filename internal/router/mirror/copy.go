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

// readBytes is the size of the buffer for reading a copy's answer.
const readBytes = 4096

// shadowCopy is one copy of a live request, from its Offer to its Drop or Record.
type shadowCopy struct {
	id      uint64
	session uint64
	live    *liveAnswer
	request transport.AcceptedRequest

	ctx        context.Context // set when the copy is started; ends when the copy is over or canceled
	cancel     context.CancelFunc
	historyGap bool
	answer     capture
}

// startCopy starts a goroutine that sends a copy, reads its answer and reports CopyEnded. Until then
// the copy belongs to that goroutine.
func (p *pool) startCopy(c *shadowCopy, gap bool) {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.historyGap = gap
	c.answer = capture{maxPrefix: p.answerBytes(), since: time.Now()}
	arrival := c.request.Arrival
	// The copy has an ID of its own. Otherwise a host could mistake the copy for an attempt of the
	// live request or of another copy.
	arrival.ID += "~" + p.name + "~" + strconv.FormatUint(c.id, 10)
	arrival.TimeLeft = p.activeSettings.FirstEventTimeout
	go func() {
		cause := p.runCopy(c, arrival)
		c.cancel()
		p.post(message{event: shadow.CopyEnded{Copy: c.id, Cause: cause}})
	}()
}

// runCopy routes a copy in the same way as the front routes a live request, and reads the answer to
// its end. It returns "" if the answer is complete.
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

// record passes the record of a copy to the sink. Unless the Record action a has a cause, record
// also compares the copy's answer with the live answer.
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
		Copy:       toRecordAnswer(answer, c.answer.outcome, texts),
	}
	if texts {
		r.Body = string(request.Message.Body())
	}
	if !a.LiveEnded { // the live path may still write the live answer, so it must not be read here
		r.Live = records.Answer{Outcome: "open"}
	} else {
		liveAnswer := c.live.answer.answer(p.mirror.digestKey[:])
		r.Live = toRecordAnswer(liveAnswer, c.live.answer.outcome, texts)
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
