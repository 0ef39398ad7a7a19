package mirror

import (
	"io"
	"sync/atomic"

	"reachspread/internal/router/shadow"
	"reachspread/internal/routing"
)

// liveAnswer captures the answer to a live request that is copied. It implements
// transport.AnswerObserver. Once no copy needs the answer, each chunk costs the live path only one
// atomic load.
type liveAnswer struct {
	copies        []liveCopy   // holds IDs, not *shadowCopy, so that the request's body can be freed with the copies
	copiesWaiting atomic.Int32 // number of copies without a Drop or Record
	answer        capture
}

// liveCopy identifies a copy by its pool and ID.
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

// verdictCause returns the cause for a verdict other than routing.Served, with which a request gets
// no stream.
func verdictCause(v routing.Verdict) shadow.Cause {
	switch v {
	case routing.Rejected:
		return shadow.Refused
	case routing.Invalid:
		return shadow.InvalidRequest
	}
	return shadow.Failed
}

// end ends the capture and reports LiveEnded to the pool of each copy.
func (l *liveAnswer) end(outcome string) {
	l.answer.finish(outcome)
	for _, c := range l.copies {
		c.pool.post(message{event: shadow.LiveEnded{Copy: c.id, Complete: outcome == outcomeComplete}})
	}
}
