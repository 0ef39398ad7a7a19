package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// The paths of the two routes that exist throughout a run.
const (
	unsafePath = "/unsafe/"
	streamPath = "/stream/"
)

const (
	requestDeadline      = 5 * time.Second
	maxRedialDelay       = 30 * time.Millisecond
	maxRequestGap        = 40 * time.Millisecond // between an answer and the next request on its connection
	maxWorkMs            = 60
	maxLongWorkMs        = 1200
	maxEvents            = 60
	ignoresCloseFraction = 0.3 // fraction of clients that continue to use a connection after an answer announced its close
	streamFraction       = 0.25
	longFraction         = 0.1
	dialTimeout          = time.Second
	answerGrace          = time.Second // how long after the deadline of a request a client still waits
)

// Outcome says how a request ended from its client's point of view.
type Outcome string

// The outcomes of requests.
const (
	Complete    Outcome = "whole"   // a complete answer with status 200
	Refused     Outcome = "refused" // a complete answer with status 429 or 503
	Failed      Outcome = "failed"  // a complete answer with any other status
	Interrupted Outcome = "cut"     // the connection ended in the middle of the answer
	Closed      Outcome = "closed"  // the connection ended without an answer
	TimedOut    Outcome = "silent"  // no answer by the deadline
	Wrong       Outcome = "wrong"   // the answer to another request, or a malformed one
)

// request is a request that a client sent, with its outcome.
type request struct {
	id          string
	router      int
	stream      bool
	afterClose  bool          // an earlier answer announced the close of the connection
	reusedConn  bool          // the request was not the first on its connection
	work        int           // milliseconds that the host works, or the number of events of a stream
	written     time.Duration // when the last byte was written, since the start of the run
	done        time.Duration // when the outcome was known
	outcome     Outcome
	status      int
	detail      string // describes an outcome other than Complete
	writeFailed bool   // writing the request failed
}

// client sends requests to one router, on one connection at a time.
type client struct {
	soak     *soakRun
	router   int
	rng      *rand.Rand
	number   int
	next     int
	requests []request
}

// run sends requests until ctx ends, and returns them with their outcomes.
func (c *client) run(ctx context.Context) []request {
	ignoresClose := c.rng.Float64() < ignoresCloseFraction
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.soak.fleet.Front(c.router), dialTimeout)
		if err != nil {
			sleep(ctx, maxRedialDelay)
			continue
		}
		c.use(ctx, conn, ignoresClose)
		conn.Close()
		sleep(ctx, time.Duration(c.rng.IntN(int(maxRedialDelay))))
	}
	return c.requests
}

// use sends requests on one connection until the connection or ctx ends. Unless ignoresClose is set,
// it also stops after an answer that announces the close of the connection.
func (c *client) use(ctx context.Context, conn net.Conn, ignoresClose bool) {
	in := bufio.NewReader(conn)
	closeAnnounced := false
	for n := 0; ctx.Err() == nil && (ignoresClose || !closeAnnounced); n++ {
		a := c.draw()
		a.reusedConn, a.afterClose = n > 0, closeAnnounced
		ends := c.send(conn, in, &a)
		closeAnnounced = closeAnnounced || ends
		c.requests = append(c.requests, a)
		if !a.outcome.answered() {
			return
		}
		sleep(ctx, time.Duration(c.rng.IntN(int(maxRequestGap))))
	}
}

// answered reports whether the answer was received completely, so that the connection can be used
// again.
func (o Outcome) answered() bool { return o == Complete || o == Refused || o == Failed }

// draw draws the next request: a stream, a request with long work, or one with short work.
func (c *client) draw() request {
	c.next++
	a := request{id: fmt.Sprintf("c%d-%d", c.number, c.next), router: c.router, work: 1 + c.rng.IntN(maxWorkMs)}
	switch kind := c.rng.Float64(); {
	case kind < streamFraction:
		a.stream, a.work = true, 1+c.rng.IntN(maxEvents)
	case kind < streamFraction+longFraction:
		a.work = c.rng.IntN(maxLongWorkMs)
	}
	return a
}

// send sends a request, reads its answer, and sets the outcome. It reports whether the answer
// announces the close of the connection or the connection has ended.
func (c *client) send(conn net.Conn, in *bufio.Reader, a *request) (ends bool) {
	path := unsafePath
	if a.stream {
		path = streamPath
	}
	conn.SetDeadline(time.Now().Add(requestDeadline + answerGrace))
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n%s: %d\r\nContent-Length: 1\r\n\r\nx",
		path, clientHost, a.id, requestDeadline.Milliseconds(), workHeader, a.work)
	a.written = c.soak.now()
	defer func() { a.done = c.soak.now() }()
	if err != nil {
		a.outcome, a.writeFailed, a.detail = Closed, true, err.Error()
		return true
	}
	if _, err := in.Peek(1); err != nil {
		a.outcome, a.detail = outcomeWithoutAnswer(err), err.Error()
		return true
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.outcome, a.detail = Wrong, err.Error()
		if err == io.ErrUnexpectedEOF || strings.Contains(err.Error(), "reset") {
			a.outcome = Interrupted
		}
		return true
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.status = resp.StatusCode
	a.outcome, a.detail = judgeAnswer(a, resp.StatusCode, string(text), err)
	return resp.Close
}

// outcomeWithoutAnswer returns the outcome of a request for which reading failed with err before the
// first byte of an answer.
func outcomeWithoutAnswer(err error) Outcome {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return TimedOut
	}
	return Closed
}

// judgeAnswer returns the outcome of a request, and its detail, from the answer. err is the error of
// reading the body.
func judgeAnswer(a *request, status int, text string, err error) (Outcome, string) {
	switch {
	case err != nil:
		return Interrupted, fmt.Sprintf("%d, then %v after %d bytes", status, err, len(text))
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return Refused, text
	case status != http.StatusOK:
		return Failed, fmt.Sprint(status, " ", text)
	case text != a.expectedAnswer():
		return Wrong, fmt.Sprintf("%d bytes of %d: %.80q", len(text), len(a.expectedAnswer()), text)
	}
	return Complete, ""
}

// expectedAnswer returns the body with which a host answers the request.
func (a *request) expectedAnswer() string {
	if !a.stream {
		return completeAnswer(a.id)
	}
	var body strings.Builder
	for n := range a.work {
		body.WriteString(streamEvent(a.id, n))
	}
	return body.String()
}
