package mirror

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/internal/protocol"
	"reachspread/internal/router/records"
	"reachspread/internal/router/shadow"
	"reachspread/internal/routing"
)

// Outcomes of an answer beside the values of shadow.Cause. They are part of the record files.
const (
	outcomeComplete  = "whole" // it came to its end
	outcomeAbandoned = "left"  // its client left, or the copy was canceled
)

// digestBytes is how much of a digest is kept.
const digestBytes = 16

// capture retains the beginning of an answer as it passes, and of the rest only length and hash.
// One goroutine feeds it; another may read it only after it was passed on.
type capture struct {
	maxPrefix  int       // bytes that are retained
	since      time.Time // the request was accepted
	prefix     []byte
	size       int64          // of all that was fed
	restDigest *xxhash.Digest // of what came beyond the prefix, nil for nothing
	firstAt    time.Time
	lastTextAt time.Time // the last chunk with text came
	endedAt    time.Time
	source     routing.Source
	outcome    string
}

// contentField is in the chunks that have text; the usage figures at the end of a stream have none.
var contentField = []byte(`"content"`)

// feed takes the next chunk of the answer. It retains no reference to it.
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

// finish sets how the answer ended, and when.
func (c *capture) finish(outcome string) { c.outcome, c.endedAt = outcome, time.Now() }

// answer parses what was captured. The digest is keyed with key.
func (c *capture) answer(key []byte) shadow.Answer {
	read := protocol.ReadAnswer(c.prefix)
	a := shadow.Answer{
		Text:          read.Text,
		Truncated:     c.restDigest != nil,
		Bytes:         c.size,
		Finish:        read.FinishReason,
		Tokens:        read.CompletionTokens,
		CachedTokens:  read.CachedTokens,
		Queued:        -1,
		FirstByte:     -1,
		TokenInterval: -1,
		Total:         -1,
		Host:          c.source.Server,
		Attempts:      c.source.FailedAttempts,
	}
	if c.size > 0 {
		a.FirstByte = c.firstAt.Sub(c.since)
		a.Attempts++
		a.Queued = max(c.source.SentAt.Sub(c.since), 0)
		a.Digest = c.digest(key, a.Text)
	}
	if c.outcome == outcomeComplete {
		a.Total = c.endedAt.Sub(c.since)
		if a.Tokens > 1 {
			a.TokenInterval = c.lastTextAt.Sub(c.firstAt) / time.Duration(a.Tokens-1)
		}
	}
	return a
}

// digest is the keyed hash of the text, or of the stream where not all of it was retained.
func (c *capture) digest(key []byte, text string) string {
	h := hmac.New(sha256.New, key)
	if c.restDigest == nil {
		io.WriteString(h, text)
	} else {
		h.Write(c.prefix)
		h.Write(c.restDigest.Sum(nil))
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// side returns an answer in the form of a record, with its text only where texts are recorded.
func side(a shadow.Answer, outcome string, texts bool) records.Answer {
	s := records.Answer{
		Outcome:         outcome,
		Host:            a.Host,
		Attempts:        a.Attempts,
		Bytes:           a.Bytes,
		TextBytes:       len(a.Text),
		Digest:          a.Digest,
		Finish:          a.Finish,
		Tokens:          nonNegative(a.Tokens),
		CachedTokens:    nonNegative(a.CachedTokens),
		QueuedMs:        milliseconds(a.Queued),
		FirstByteMs:     milliseconds(a.FirstByte),
		TokenIntervalMs: milliseconds(a.TokenInterval),
		TotalMs:         milliseconds(a.Total),
	}
	if texts {
		s.Text = a.Text
	}
	return s
}

// nonNegative returns nil for a number that is not known.
func nonNegative(n int) *int {
	if n < 0 {
		return nil
	}
	return &n
}

// milliseconds returns nil for a time that is not known.
func milliseconds(d time.Duration) *float64 {
	if d < 0 {
		return nil
	}
	ms := float64(d.Microseconds()) / 1000
	return &ms
}
