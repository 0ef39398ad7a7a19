package fakes

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// Limits on the delays and chunk sizes of misbehaving clients.
const (
	maxDepartureDelay = 3 * time.Second
	maxChunkDelayMs   = 40 // exclusive
	minLargestChunk   = 64 // bytes; the largest chunk is a third of the remaining body, but at least this
)

// ClientBehavior gives the fractions of requests whose clients misbehave, by kind of misbehavior.
type ClientBehavior struct {
	Chunked   float64 // writes the request in chunks, with delays between them
	Stalled   float64 // writes half of the request, then nothing, and keeps the connection open
	Departing float64 // closes the connection while it waits for the answer or reads it
}

// drawBehavior draws how the client of one request behaves, seeded by the request's id and the
// experiment's seed. It returns the reader of the body and the delay after which the client departs
// (0 for never).
func (c *Clients) drawBehavior(ctx context.Context, id, body string, wait time.Duration) (io.Reader, time.Duration) {
	hash := fnv.New64a()
	io.WriteString(hash, id)
	rng := rand.New(rand.NewPCG(hash.Sum64(), c.spec.Seed))
	x := rng.Float64()
	b := &c.Behavior
	switch {
	case x < b.Chunked:
		return &chunkedBody{ctx: ctx, rng: rng, remaining: body}, 0
	case x < b.Chunked+b.Stalled:
		return &chunkedBody{ctx: ctx, rng: rng, remaining: body[:len(body)/2], stalls: true}, 0
	case x < b.Chunked+b.Stalled+b.Departing:
		delay := time.Duration(rng.Float64() * float64(min(wait, maxDepartureDelay)))
		return strings.NewReader(body), max(delay, time.Millisecond)
	}
	return strings.NewReader(body), 0
}

// chunkedBody is a request body that yields chunks of random size after random delays. If stalls is
// set, the body never ends: the read after its last byte blocks until ctx ends.
type chunkedBody struct {
	ctx       context.Context
	rng       *rand.Rand
	remaining string
	stalls    bool
}

// Read implements io.Reader. It returns the error of ctx once ctx has ended.
func (b *chunkedBody) Read(to []byte) (int, error) {
	if b.remaining == "" {
		if b.stalls {
			<-b.ctx.Done()
			return 0, b.ctx.Err()
		}
		return 0, io.EOF
	}
	if !sleep(b.ctx, time.Duration(b.rng.IntN(maxChunkDelayMs))*time.Millisecond) {
		return 0, b.ctx.Err()
	}
	largest := max(len(b.remaining)/3, minLargestChunk)
	size := min(1+b.rng.IntN(largest), len(b.remaining))
	n := copy(to, b.remaining[:size])
	b.remaining = b.remaining[n:]
	return n, nil
}
