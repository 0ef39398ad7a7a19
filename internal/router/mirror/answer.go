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
	most    int
	since   time.Time
	prefix  []byte
	size    int64
	rest    *xxhash.Digest // of what came beyond kept
	first   time.Time
	last    time.Time // of the last piece with text
	end     time.Time
	from    routing.Source
	outcome string
}

// content marks the pieces with text; those with notes at the end of a stream are no tokens.
var content = []byte(`"content"`)

func (c *capture) feed(p []byte) {
	now := time.Now()
	if c.size == 0 {
		c.first, c.last = now, now
	}
	c.size += int64(len(p))
	if bytes.Contains(p, content) {
		c.last = now
	}
	n := min(len(p), c.most-len(c.prefix))
	c.prefix = append(c.prefix, p[:n]...)
	if n == len(p) {
		return
	}
	if c.rest == nil {
		c.rest = xxhash.New()
	}
	c.rest.Write(p[n:])
}

// finish notes how the answer ended.
func (c *capture) finish(outcome string) { c.outcome, c.end = outcome, time.Now() }

// complete is the outcome of an answer that came to its end.
const complete = "whole"

// answer reads what was captured; key is that of the digest.
func (c *capture) answer(key []byte) shadow.Answer {
	read := protocol.ReadAnswer(c.prefix)
	a := shadow.Answer{Text: read.Text, Truncated: c.rest != nil, Bytes: c.size, Finish: read.Finish, Tokens: read.Tokens,
		CachedTokens: read.Kept, First: -1, Between: -1, Total: -1, Wait: -1, Host: c.from.Server, Schedules: c.from.FailedAttempts}
	if c.size > 0 {
		a.First = c.first.Sub(c.since)
		a.Schedules++
		a.Wait = max(c.from.SentAt.Sub(c.since), 0)
		digest := hmac.New(sha256.New, key)
		if c.rest == nil {
			io.WriteString(digest, a.Text)
		} else {
			digest.Write(c.prefix)
			digest.Write(c.rest.Sum(nil))
		}
		a.Digest = hex.EncodeToString(digest.Sum(nil)[:16])
	}
	if c.outcome == complete {
		a.Total = c.end.Sub(c.since)
		if a.Tokens > 1 {
			a.Between = c.last.Sub(c.first) / time.Duration(a.Tokens-1)
		}
	}
	return a
}

// side is an answer in a record.
func side(a shadow.Answer, outcome string, texts bool) records.Side {
	s := records.Side{Outcome: outcome, Host: a.Host, Attempts: a.Schedules, Bytes: a.Bytes, Chars: len(a.Text),
		Digest: a.Digest, Finish: a.Finish, Tokens: known(a.Tokens), CachedTokens: known(a.CachedTokens), WaitMs: millis(a.Wait), FirstMs: millis(a.First),
		BetweenMs: millis(a.Between), TotalMs: millis(a.Total)}
	if texts {
		s.Text = a.Text
	}
	return s
}

func known(n int) *int {
	if n < 0 {
		return nil
	}
	return &n
}

func millis(d time.Duration) *float64 {
	if d < 0 {
		return nil
	}
	ms := float64(d.Microseconds()) / 1000
	return &ms
}

// live is a live request that is copied, and its answer. It implements transport.Watcher. Once no
// copy wants its answer any more, it costs the client's path one look.
type live struct {
	copies        []liveCopy // never the copies themselves: the request's bytes must go with them
	copiesWaiting atomic.Int32
	answer        capture
}

type liveCopy struct {
	pool *pool
	id   uint64
}

// Begun implements transport.Watcher.
func (l *live) Begun(from routing.Source) { l.answer.from = from }

// Feed implements transport.Watcher.
func (l *live) Feed(p []byte) {
	if l.copiesWaiting.Load() > 0 {
		l.answer.feed(p)
	}
}

// Ended implements transport.Watcher.
func (l *live) Ended(err error) {
	switch err {
	case io.EOF:
		l.end(complete)
	case nil:
		l.end("left")
	default:
		l.end(string(shadow.Broken))
	}
}

// Refused implements transport.Watcher.
func (l *live) Refused(ok bool, v routing.Verdict) {
	if !ok {
		l.end("left")
		return
	}
	l.end(string(unserved(v)))
}

// unserved says why a request that was answered got no stream.
func unserved(v routing.Verdict) shadow.Cause {
	switch v {
	case routing.Rejected:
		return shadow.Refused
	case routing.Invalid:
		return shadow.Unfit
	}
	return shadow.Failed
}

func (l *live) end(outcome string) {
	l.answer.finish(outcome)
	for _, c := range l.copies {
		c.pool.post(posted{event: shadow.LiveEnded{Copy: c.id, Complete: outcome == complete}})
	}
}
