package mirror

import (
	"io"
	"sync/atomic"

	"reachspread/internal/router/shadow"
	"reachspread/internal/routing"
)

// liveAnswer observes the answer to a live request that is copied. It implements
// transport.AnswerObserver. Once no copy needs the answer, a chunk costs the live path one load.
type liveAnswer struct {
	copies        []liveCopy   // ids, not copies, so that the request's body is freed with the copies
	copiesWaiting atomic.Int32 // those without a Drop or Record
	answer        capture
}

// liveCopy names a copy.
type liveCopy struct {
	pool *pool
	id   uint64
}

// Begun implements transport.AnswerObserver.
func (l *liveAnswer) Begun(from routing.Source) { l.answer.source = from }

// Feed implements transport.AnswerObserver.
func (l *liveAnswer) Feed(p []byte) {
	if l.copiesWaiting.Load() > 0 {
		l.answer.feed(p)
	}
}

// Ended implements transport.AnswerObserver.
func (l *liveAnswer) Ended(err error) {
	switch err {
	case io.EOF:
		l.end(outcomeComplete)
	case nil:
		l.end(outcomeAbandoned)
	default:
		l.end(string(shadow.StreamFailed))
	}
}

// Refused implements transport.AnswerObserver.
func (l *liveAnswer) Refused(ok bool, v routing.Verdict) {
	if !ok {
		l.end(outcomeAbandoned)
		return
	}
	l.end(string(verdictCause(v)))
}

// verdictCause returns why a request with that verdict got no stream.
func verdictCause(v routing.Verdict) shadow.Cause {
	switch v {
	case routing.Rejected:
		return shadow.Refused
	case routing.Invalid:
		return shadow.InvalidRequest
	}
	return shadow.Failed
}

// end passes the end of the answer to the pools of the copies.
func (l *liveAnswer) end(outcome string) {
	l.answer.finish(outcome)
	for _, c := range l.copies {
		c.pool.post(message{event: shadow.LiveEnded{Copy: c.id, Complete: outcome == outcomeComplete}})
	}
}
