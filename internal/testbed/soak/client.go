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

// The paths of the routes that never change.
const (
	unsafePath = "/unsafe/"
	streamPath = "/stream/"
)

const (
	deadline             = 5 * time.Second
	dialAgain            = 30 * time.Millisecond
	maxPause             = 40 * time.Millisecond // between two requests on a connection
	mostWorkMs           = 60
	longWorkMs           = 1200
	maxEvents            = 60
	ignoresCloseFraction = 0.3 // of the clients go on using a connection although they were told that it ends
	streamFraction       = 0.25
	longFraction         = 0.1
	dialFor              = time.Second
	answerExtra          = time.Second // beyond the deadline
)

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	Complete    Outcome = "whole"   // a whole success
	Refused     Outcome = "refused" // 429 or 503
	Failed      Outcome = "failed"  // another answer, whole
	Interrupted Outcome = "cut"     // in the middle of an answer
	Closed      Outcome = "closed"  // without an answer
	TimedOut    Outcome = "silent"  // nothing by the end of its time
	Wrong       Outcome = "wrong"   // an answer that is not its own, or no answer in the protocol
)

// asked is a request that a client sent.
type asked struct {
	id          string
	router      int
	stream      bool
	afterEnd    bool // its connection was said to end with the answer before
	kept        bool // it was not the first on its connection
	work        int
	wrote       time.Duration // its last byte
	ended       time.Duration
	outcome     Outcome
	status      int
	what        string // of an outcome that is not whole
	unsentWhole bool   // its writing failed
}

// client uses connections to one router, each as long as it lasts.
type client struct {
	play   *play
	router int
	rng    *rand.Rand
	number int
	next   int
	all    []asked
}

// run asks until ctx ends, and returns what came of it.
func (c *client) run(ctx context.Context) []asked {
	deaf := c.rng.Float64() < ignoresCloseFraction
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.play.fleet.Front(c.router), dialFor)
		if err != nil {
			sleep(ctx, dialAgain)
			continue
		}
		c.use(ctx, conn, deaf)
		conn.Close()
		sleep(ctx, time.Duration(c.rng.IntN(int(dialAgain))))
	}
	return c.all
}

// use asks on one connection until it ends.
func (c *client) use(ctx context.Context, conn net.Conn, deaf bool) {
	in := bufio.NewReader(conn)
	closeAnnounced := false
	for n := 0; ctx.Err() == nil && (deaf || !closeAnnounced); n++ {
		a := c.draw()
		a.kept, a.afterEnd = n > 0, closeAnnounced
		ends := c.ask(conn, in, &a)
		closeAnnounced = closeAnnounced || ends
		c.all = append(c.all, a)
		if a.outcome != Complete && a.outcome != Refused && a.outcome != Failed {
			return
		}
		sleep(ctx, time.Duration(c.rng.IntN(int(maxPause))))
	}
}

// draw is the next request.
func (c *client) draw() asked {
	c.next++
	a := asked{id: fmt.Sprintf("c%d-%d", c.number, c.next), router: c.router, work: 1 + c.rng.IntN(mostWorkMs)}
	switch kind := c.rng.Float64(); {
	case kind < streamFraction:
		a.stream, a.work = true, 1+c.rng.IntN(maxEvents)
	case kind < streamFraction+longFraction:
		a.work = c.rng.IntN(longWorkMs)
	}
	return a
}

// ask sends a request and reads its answer. It tells whether the connection is said to end.
func (c *client) ask(conn net.Conn, in *bufio.Reader, a *asked) (ends bool) {
	path := unsafePath
	if a.stream {
		path = streamPath
	}
	conn.SetDeadline(time.Now().Add(deadline + answerExtra))
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n%s: %d\r\nContent-Length: 1\r\n\r\nx",
		path, clientHost, a.id, deadline.Milliseconds(), askHeader, a.work)
	a.wrote = c.play.now()
	defer func() { a.ended = c.play.now() }()
	if err != nil {
		a.outcome, a.unsentWhole, a.what = Closed, true, err.Error()
		return true
	}
	if _, err := in.Peek(1); err != nil {
		a.outcome, a.what = endOf(err), err.Error()
		return true
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.outcome, a.what = Wrong, err.Error()
		if err == io.ErrUnexpectedEOF || strings.Contains(err.Error(), "reset") {
			a.outcome = Interrupted
		}
		return true
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.status = resp.StatusCode
	a.outcome, a.what = judgeAnswer(a, resp.StatusCode, string(text), err)
	return resp.Close
}

// endOf is the outcome of a request whose connection gave no byte of an answer.
func endOf(err error) Outcome {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return TimedOut
	}
	return Closed
}

// judgeAnswer is what an answer was.
func judgeAnswer(a *asked, status int, text string, err error) (Outcome, string) {
	switch {
	case err != nil:
		return Interrupted, fmt.Sprintf("%d, then %v after %d bytes", status, err, len(text))
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return Refused, text
	case status != http.StatusOK:
		return Failed, fmt.Sprint(status, " ", text)
	case text != a.answer():
		return Wrong, fmt.Sprintf("%d bytes of %d: %.80q", len(text), len(a.answer()), text)
	}
	return Complete, ""
}

// answer is the body that the host gives.
func (a *asked) answer() string {
	if !a.stream {
		return completeAnswer(a.id)
	}
	var all strings.Builder
	for n := range a.work {
		all.WriteString(streamEvent(a.id, n))
	}
	return all.String()
}
