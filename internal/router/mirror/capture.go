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

// Outcomes of an answer, in addition to the values of shadow.Cause. They are part of the record
// files.
const (
	outcomeComplete  = "whole" // the answer was received to its end
	outcomeAbandoned = "left"  // the client left, or the copy was canceled
)

// digestBytes is the length to which a digest is truncated.
const digestBytes = 16

// capture retains the beginning of an answer while the answer is streamed, and only the length and
// the hash of the rest. It is not safe for concurrent use: the goroutine that feeds it must pass it
// on before another goroutine reads it.
type capture struct {
	maxPrefix  int       // maximum length of prefix
	since      time.Time // when the request was accepted
	prefix     []byte
	size       int64          // length of all chunks
	restDigest *xxhash.Digest // hash of the bytes after the prefix, nil if there are none
	firstAt    time.Time      // when the first chunk came
	lastTextAt time.Time      // when the last chunk with text came
	endedAt    time.Time
	source     routing.Source
	outcome    string
}

// contentField occurs in each chunk with text, but not in the usage figures at the end of a stream.
var contentField = []byte(`"content"`)

// feed adds the next chunk of the answer. It does not retain p.
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

// finish sets the outcome of the answer, and the current time as its end.
func (c *capture) finish(outcome string) { c.outcome, c.endedAt = outcome, time.Now() }

// answer parses the retained beginning and returns the description of the answer. The digest is
// keyed with key.
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

// digest returns the keyed hash of the text, or of the stream if it was not retained completely.
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

// toRecordAnswer converts an answer to the form of the record files. It includes the text only if
// texts is set.
func toRecordAnswer(a shadow.Answer, outcome string, texts bool) records.Answer {
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

// nonNegative returns nil for a negative number, which stands for an unknown one.
func nonNegative(n int) *int {
	if n < 0 {
		return nil
	}
	return &n
}

// milliseconds returns nil for a negative duration, which stands for an unknown one.
func milliseconds(d time.Duration) *float64 {
	if d < 0 {
		return nil
	}
	ms := float64(d.Microseconds()) / 1000
	return &ms
}
