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

// watch is a connection to discovery, with the first list that came on it.
type watch struct {
	conn  net.Conn
	in    *bufio.Reader
	host  string
	first *protocol.List
}

// openOutcome is how an attempt to open a watch ended.
type openOutcome struct {
	watch   *watch
	err     error
	patient bool // the attempt was the one beside hasty ones
}

// reach attempts to open a watch until one is open, the first time after a wait; ok is false if ctx
// ended before. Where the pace has hasty attempts, the first one is patient, and hasty ones go on
// beside it: they find a discovery that comes back soon, the patient one hears a slow one.
func (d *Discovery) reach(ctx context.Context, wait time.Duration) (w *watch, ok bool) {
	race, end := context.WithCancel(ctx)
	defer end()
	outcomes := make(chan openOutcome)
	next := time.NewTimer(wait)
	defer next.Stop()
	patient, hasty := false, false // whether such an attempt is under way
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-next.C:
			if d.pace.Answer > 0 && !patient {
				patient = true
				go attemptOpen(race, d.addr, d.firstCall(patientTimeout), true, outcomes)
				next.Reset(d.pace.Answer)
				continue
			}
			hasty = true
			go attemptOpen(race, d.addr, d.firstCall(d.pace.answerTimeout()), false, outcomes)
		case o := <-outcomes:
			if ctx.Err() != nil {
				return nil, false
			}
			if o.err == nil {
				return o.watch, true
			}
			d.recordLoss(o.err)
			patient, hasty = patient && !o.patient, hasty && o.patient
			if !hasty {
				next.Reset(d.pace.Wait(d.failed))
				d.failed++
			}
		}
	}
}

// firstCall is the first call of a watch: for the full list, or for what is newer than the last one.
// The connection attempt, and the beginning of an answer that waits for nothing, may take so long.
type firstCall struct {
	path            string
	connect, answer time.Duration
}

func (d *Discovery) firstCall(within time.Duration) firstCall {
	if d.since >= 0 {
		return firstCall{protocol.WatchPath(d.since, watchTimeout), within, watchTimeout + answerTimeout}
	}
	return firstCall{protocol.ListPath, within, within}
}

// attemptOpen opens a watch and tells its outcome, unless the race has ended.
func attemptOpen(race context.Context, addr string, call firstCall, patient bool, outcomes chan<- openOutcome) {
	w, err := openWatch(race, addr, call)
	select {
	case outcomes <- openOutcome{w, err, patient}:
	case <-race.Done():
		if w != nil {
			w.conn.Close()
		}
	}
}

// openWatch connects and makes the first call.
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

// call makes one call, whose answer must begin within a time.
func (w *watch) call(path string, within time.Duration) (*protocol.List, error) {
	if err := w.conn.SetDeadline(time.Now().Add(within)); err != nil {
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
	if _, err := w.in.Peek(1); err != nil { // an answer that has begun may take longer
		return nil, err
	}
	if err := w.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return nil, err
	}
	if err := resp.ReadLimitBody(w.in, maxList); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode())
	}
	return protocol.ParseList(resp.Body())
}
