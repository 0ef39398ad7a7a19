package transport

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/internal/protocol"
)

// watch is a connection to discovery, with the first list received on it.
type watch struct {
	conn  net.Conn
	in    *bufio.Reader
	host  string
	first *protocol.List
}

// openOutcome is the result of one attempt to open a watch.
type openOutcome struct {
	watch *watch
	err   error
	long  bool // it is the result of the long attempt
}

// connect tries to open a watch until one attempt succeeds; the first attempt starts after wait.
// The result ok is false if ctx ended first.
func (d *Discovery) connect(ctx context.Context, wait time.Duration) (w *watch, ok bool) {
	race, end := context.WithCancel(ctx)
	defer end()
	attempts := &openAttempts{discovery: d, race: race, outcomes: make(chan openOutcome), next: time.NewTimer(wait)}
	defer attempts.next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-attempts.next.C:
			attempts.start()
		case o := <-attempts.outcomes:
			if ctx.Err() != nil {
				return nil, false
			}
			if o.err == nil {
				return o.watch, true
			}
			d.recordLoss(o.err)
			attempts.recordFailure(o.long)
		}
	}
}

// openAttempts are the attempts to open a watch. Without an AnswerTimeout in the schedule, there is
// one attempt at a time. With one, a long attempt runs in parallel with a series of short attempts:
// the short ones notice early that discovery is reachable again, and the long one reaches a
// discovery that answers slowly.
type openAttempts struct {
	discovery                 *Discovery
	race                      context.Context // its end cancels all attempts
	outcomes                  chan openOutcome
	next                      *time.Timer // fires when the next attempt is due
	longRunning, shortRunning bool        // whether such an attempt is in progress
}

// start starts the attempt that is due.
func (a *openAttempts) start() {
	schedule := a.discovery.schedule
	if schedule.AnswerTimeout > 0 && !a.longRunning {
		a.longRunning = true
		go attemptOpen(a.race, a.discovery.addr, a.discovery.firstCall(longAttemptTimeout), true, a.outcomes)
		a.next.Reset(schedule.AnswerTimeout)
		return
	}
	a.shortRunning = true
	go attemptOpen(a.race, a.discovery.addr, a.discovery.firstCall(schedule.answerTimeout()), false, a.outcomes)
}

// recordFailure records that an attempt has failed. Unless a short attempt is in progress, the next
// attempt is due after the delay of the schedule.
func (a *openAttempts) recordFailure(long bool) {
	if long {
		a.longRunning = false
	} else {
		a.shortRunning = false
	}
	if a.shortRunning {
		return
	}
	a.next.Reset(a.discovery.schedule.Wait(a.discovery.failures))
	a.discovery.failures++
}

// firstCall is the first call of a watch. It asks for the full list, or for changes since the last
// one. connect is the timeout of the connection attempt, and answer that of the wait for the first
// byte of the answer.
type firstCall struct {
	path            string
	connect, answer time.Duration
}

func (d *Discovery) firstCall(timeout time.Duration) firstCall {
	if d.since >= 0 {
		return firstCall{protocol.WatchPath(d.since, watchTimeout), timeout, watchTimeout + answerTimeout}
	}
	return firstCall{protocol.ListPath, timeout, timeout}
}

// attemptOpen opens a watch and sends the outcome to outcomes, unless race has ended.
func attemptOpen(race context.Context, addr string, call firstCall, long bool, outcomes chan<- openOutcome) {
	w, err := openWatch(race, addr, call)
	select {
	case outcomes <- openOutcome{w, err, long}:
	case <-race.Done():
		if w != nil {
			w.conn.Close()
		}
	}
}

// openWatch connects to discovery and makes the first call.
func openWatch(ctx context.Context, addr string, call firstCall) (*watch, error) {
	dialer := net.Dialer{Timeout: call.connect}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	w := &watch{conn: conn, in: bufio.NewReader(conn), host: addr}
	if w.first, err = w.call(call.path, call.answer); err != nil {
		conn.Close()
		return nil, err
	}
	return w, nil
}

// call makes one call. The answer must begin within timeout.
func (w *watch) call(path string, timeout time.Duration) (*protocol.List, error) {
	if err := w.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(w.host)
	if _, err := req.WriteTo(w.conn); err != nil {
		return nil, err
	}
	if _, err := w.in.Peek(1); err != nil { // the rest of an answer that has begun gets a new deadline
		return nil, err
	}
	if err := w.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return nil, err
	}
	text, err := readResponse(w.in, resp, maxList)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("discovery answered with status %d, want 200", resp.StatusCode())
	}
	return protocol.ParseList(text)
}
