package mirror

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/internal/protocol"
	"reachspread/internal/router/records"
	"reachspread/internal/router/shadow"
	"reachspread/internal/routing"
)

// capture keeps the beginning of an answer as it passes, and of the rest its length and hash. One
// goroutine feeds it; it is read only after that has handed it on.
type capture struct {
	maxPrefix  int
	since      time.Time
	prefix     []byte
	size       int64
	restDigest *xxhash.Digest // of what came beyond kept
	firstAt    time.Time
	lastTextAt time.Time // of the last piece with text
	endedAt    time.Time
	source     routing.Source
	outcome    string
}

// contentField marks the pieces with text; those with notes at the end of a stream are no tokens.
var contentField = []byte(`"content"`)

func (c *capture) feed(p []byte) {
	now := time.Now()
	if c.size == 0 {
		c.firstAt, c.lastTextAt = now, now
	}
	c.size += int64(len(p))
	if bytes.Contains(p, contentField) {
		c.lastTextAt = now
	}
	n := min(len(p), c.maxPrefix-len(c.prefix))
	c.prefix = append(c.prefix, p[:n]...)
	if n == len(p) {
		return
	}
	if c.restDigest == nil {
		c.restDigest = xxhash.New()
	}
	c.restDigest.Write(p[n:])
}

// finish notes how the answer ended.
func (c *capture) finish(outcome string) { c.outcome, c.endedAt = outcome, time.Now() }

// outcomeComplete is the outcome of an answer that came to its end.
const outcomeComplete = "whole"

// answer reads what was captured; key is that of the digest.
func (c *capture) answer(key []byte) shadow.Answer {
	read := protocol.ReadAnswer(c.prefix)
	a := shadow.Answer{Text: read.Text, Truncated: c.restDigest != nil, Bytes: c.size, Finish: read.FinishReason, Tokens: read.CompletionTokens,
		CachedTokens: read.CachedTokens, FirstByte: -1, TokenInterval: -1, Total: -1, Queued: -1, Host: c.source.Server, Attempts: c.source.FailedAttempts}
	if c.size > 0 {
		a.FirstByte = c.firstAt.Sub(c.since)
		a.Attempts++
		a.Queued = max(c.source.SentAt.Sub(c.since), 0)
		digest := hmac.New(sha256.New, key)
		if c.restDigest == nil {
			io.WriteString(digest, a.Text)
		} else {
			digest.Write(c.prefix)
			digest.Write(c.restDigest.Sum(nil))
		}
		a.Digest = hex.EncodeToString(digest.Sum(nil)[:16])
	}
	if c.outcome == outcomeComplete {
		a.Total = c.endedAt.Sub(c.since)
		if a.Tokens > 1 {
			a.TokenInterval = c.lastTextAt.Sub(c.firstAt) / time.Duration(a.Tokens-1)
		}
	}
	return a
}

// side is an answer in a record.
func side(a shadow.Answer, outcome string, texts bool) records.Side {
	s := records.Side{Outcome: outcome, Host: a.Host, Attempts: a.Attempts, Bytes: a.Bytes, Chars: len(a.Text),
		Digest: a.Digest, Finish: a.Finish, Tokens: nonNegative(a.Tokens), CachedTokens: nonNegative(a.CachedTokens), WaitMs: milliseconds(a.Queued), FirstMs: milliseconds(a.FirstByte),
		BetweenMs: milliseconds(a.TokenInterval), TotalMs: milliseconds(a.Total)}
	if texts {
		s.Text = a.Text
	}
	return s
}

func nonNegative(n int) *int {
	if n < 0 {
		return nil
	}
	return &n
}

func milliseconds(d time.Duration) *float64 {
	if d < 0 {
		return nil
	}
	ms := float64(d.Microseconds()) / 1000
	return &ms
}

// liveAnswer is a live request that is copied, and its answer. It implements transport.Watcher. Once no
// copy wants its answer any more, it costs the client's path one look.
type liveAnswer struct {
	copies        []liveCopy // never the copies themselves: the request's bytes must go with them
	copiesWaiting atomic.Int32
	answer        capture
}

type liveCopy struct {
	pool *pool
	id   uint64
}

// Begun implements transport.Watcher.
func (l *liveAnswer) Begun(from routing.Source) { l.answer.source = from }

// Feed implements transport.Watcher.
func (l *liveAnswer) Feed(p []byte) {
	if l.copiesWaiting.Load() > 0 {
		l.answer.feed(p)
	}
}

// Ended implements transport.Watcher.
func (l *liveAnswer) Ended(err error) {
	switch err {
	case io.EOF:
		l.end(outcomeComplete)
	case nil:
		l.end("left")
	default:
		l.end(string(shadow.StreamFailed))
	}
}

// Refused implements transport.Watcher.
func (l *liveAnswer) Refused(ok bool, v routing.Verdict) {
	if !ok {
		l.end("left")
		return
	}
	l.end(string(verdictCause(v)))
}

// verdictCause says why a request that was answered got no stream.
func verdictCause(v routing.Verdict) shadow.Cause {
	switch v {
	case routing.Rejected:
		return shadow.Refused
	case routing.Invalid:
		return shadow.InvalidRequest
	}
	return shadow.Failed
}

func (l *liveAnswer) end(outcome string) {
	l.answer.finish(outcome)
	for _, c := range l.copies {
		c.pool.post(message{event: shadow.LiveEnded{Copy: c.id, Complete: outcome == outcomeComplete}})
	}
}
