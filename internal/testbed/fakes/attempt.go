package fakes

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"reachspread/internal/protocol"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/simulator"
)

// maxPromptLength bounds the text of a prompt, in tokens: hosts read its length from a field of its
// own.
const maxPromptLength = 60000

// CloseCrossed is the note in a history that a request was sent again because the close of its
// connection crossed it.
const CloseCrossed = "a close crossed the request"

var (
	errGaveUp   = errors.New("the client gave up")
	errDeparted = errors.New("the client left")
)

// attemptOutcome is the result of one attempt.
type attemptOutcome struct {
	first, last time.Duration // of the tokens, from when the request was due
	tokens      int
	how         history.How
	status      int
	retryAfter  time.Duration // that the answer asked to wait
	cause       string        // of an attempt that ended before an answer
}

// retryable reports whether a client may send the request again: no answer of it was begun.
func (o *attemptOutcome) retryable() bool {
	switch o.how {
	case history.Refused, history.Failed, history.Unreached, history.Interrupted:
		return true
	}
	return false
}

// tokenInterval is the mean time between two tokens.
func (o *attemptOutcome) tokenInterval() time.Duration {
	if o.tokens <= 1 {
		return 0
	}
	return (o.last - o.first) / time.Duration(o.tokens-1)
}

// attempt is one attempt of a request, from the client's side.
type attempt struct {
	clients    *Clients
	id, router string
	body       string
	content    io.Reader // how the body is written
	due, until time.Time
	gaveUp     *time.Timer // ends the attempt unless the answer has begun
	begun      atomic.Bool // a part of the answer is there

	conn    atomic.Pointer[clientConn] // the last one that it was sent on
	reused  atomic.Bool                // conn was idle since another request, or opened for one that did not need it
	written atomic.Pointer[time.Time]  // when its last byte was given to the system on conn
}

// attempt sends a request once and observes its beginning and end.
func (c *Clients) attempt(ctx context.Context, p *simulator.Planned, id string, isRetry bool, due, until time.Time) attemptOutcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{clients: c, id: id, due: due, until: until}
	a.gaveUp = time.AfterFunc(time.Until(until.Add(c.Grace)), func() { a.giveUp(cancel, maxUnreadChecks) })
	defer a.gaveUp.Stop()
	a.router = c.RouterFor(p)
	if a.router == "" {
		return attemptOutcome{how: history.Unreached}
	}
	a.body = requestBody(p)
	var departure time.Duration
	a.content, departure = c.drawBehavior(ctx, id, a.body, time.Until(until))
	if departure > 0 {
		defer time.AfterFunc(departure, func() { cancel(errDeparted) }).Stop()
	}
	r, err := a.newRequest(ctx, p, isRetry)
	if err != nil {
		return attemptOutcome{how: history.Failed}
	}
	class := c.spec.Classes[p.Class].Class.Name
	a.observe(history.Event{What: history.Ask, ID: id, Who: a.router, Class: class})
	outcome := a.exchange(ctx, r)
	if outcome.how != history.Complete && a.abandoned(ctx) {
		outcome.how = history.Left
	}
	a.observeAnswer(history.Event{What: history.Answer, ID: id, How: outcome.how, Status: outcome.status, Text: outcome.cause})
	return outcome
}

const (
	// unreadInterval and maxUnreadChecks bound how long a client whose time is over reads an answer
	// that has come and that it has had no processor time to read.
	unreadInterval  = 100 * time.Millisecond
	maxUnreadChecks = 50
)

// giveUp ends the attempt, unless its answer has begun. While something of it has come and was not
// read it waits.
func (a *attempt) giveUp(cancel context.CancelCauseFunc, checksLeft int) {
	if a.begun.Load() {
		return
	}
	if conn := a.conn.Load(); conn != nil && conn.answerArrives() && checksLeft > 0 {
		time.AfterFunc(unreadInterval, func() { a.giveUp(cancel, checksLeft-1) })
		return
	}
	cancel(errGaveUp)
}

// observe reports an event of the attempt.
func (a *attempt) observe(e history.Event) {
	a.clients.observe(ClientEvent{Event: e, WaitsUntil: a.until})
}

// observeAnswer reports the answer or its first event: when it came, and when it was due as the
// request stated. A request that left late, as its client had no processor time, is due as much
// later.
func (a *attempt) observeAnswer(e history.Event) {
	event := ClientEvent{Event: e, WaitsUntil: a.until}
	if conn := a.conn.Load(); conn != nil {
		if due, ok := conn.answerDue(); ok && due.After(a.until) {
			event.WaitsUntil = due
		}
		if arrived := conn.arrived.Load(); arrived != nil && answered(e) {
			event.ArrivedAt = *arrived
		}
	}
	a.clients.observe(event)
}

// answered reports whether an event says that the router has sent something.
func answered(e history.Event) bool {
	switch e.How {
	case history.None, history.Unreached, history.Interrupted, history.Left:
		return e.What == history.First
	}
	return true
}

// requestBody is the body of a planned request, with the fields that fake hosts read.
func requestBody(p *simulator.Planned) string {
	prompt := strings.Repeat("word", min(p.Prompt, maxPromptLength))
	return fmt.Sprintf(`{"stream":true,"max_tokens":%d,"lab_out":%d,"lab_prompt":%d,"lab_session":%q,"lab_prefix":%q,"lab_shared":%d,`+
		`"messages":[{"role":"user","content":"%s"}]}`, p.MaxOut, p.Out, p.Prompt, p.Session, p.Prefix, p.Shared, prompt)
}

// newRequest returns the HTTP request of an attempt, in the platform's headers.
func (a *attempt) newRequest(ctx context.Context, p *simulator.Planned, isRetry bool) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+a.router+protocol.PathCompletions, a.content)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(a.body))
	facts := fmt.Sprintf("prompt_len=%d,max_out=%d", p.Prompt, p.MaxOut)
	if p.Prefix != "" {
		facts = fmt.Sprintf("prefix=%s,prefix_len=%d,", p.Prefix, p.Shared) + facts
	}
	r.Header.Set(protocol.HeaderID, a.id)
	r.Header.Set(protocol.HeaderClass, a.clients.spec.Classes[p.Class].Class.Name)
	r.Header.Set(protocol.HeaderSession, p.Session)
	a.stateTimeLeft(r)
	r.Header.Set(protocol.HeaderFacts, facts)
	if isRetry {
		r.Header.Set("X-Repeat", "1")
	}
	return r, nil
}

// stateTimeLeft has a request say how long its client waits from now on, which it returns.
func (a *attempt) stateTimeLeft(r *http.Request) time.Duration {
	timeLeft := max(time.Until(a.until).Truncate(time.Millisecond), time.Millisecond)
	r.Header.Set(protocol.HeaderTimeLeft, fmt.Sprintf("%dm", timeLeft.Milliseconds()))
	return timeLeft
}

// abandoned reports whether the client ended the attempt, or never wrote its request to the end.
func (a *attempt) abandoned(ctx context.Context) bool {
	if context.Cause(ctx) == errDeparted {
		return true
	}
	chunked, ok := a.content.(*chunkedBody)
	return ok && chunked.stalls
}

// exchange sends a request and reads its answer.
func (a *attempt) exchange(ctx context.Context, r *http.Request) attemptOutcome {
	resp, err := a.send(ctx, r)
	if err != nil {
		return attemptOutcome{how: a.classifySendError(ctx, err), cause: a.describeSendError(err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRejection(resp)
	}
	return a.readStream(resp)
}

// send sends a request, and a second time on a new connection if the close of its connection
// crossed it. The time left is that of when the connection is there: connecting may have taken long.
func (a *attempt) send(ctx context.Context, r *http.Request) (*http.Response, error) {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			timeLeft := a.stateTimeLeft(r)
			conn, ok := i.Conn.(*clientConn)
			if !ok {
				return
			}
			conn.beginRequest(timeLeft)
			a.conn.Store(conn)
			a.reused.Store(i.Reused || i.WasIdle)
			a.written.Store(nil)
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if now := time.Now(); i.Err == nil {
				a.written.Store(&now)
			}
		},
	})
	resp, err := a.clients.client.Do(r.WithContext(traced))
	if err == nil || ctx.Err() != nil || !a.closeCrossed() {
		return resp, err
	}
	a.observe(history.Event{What: history.Note, ID: a.id, Who: a.router, Text: CloseCrossed})
	r = r.Clone(traced)
	r.Body = io.NopCloser(strings.NewReader(a.body))
	return a.clients.oneShot.Do(r)
}

// closeCrossed reports whether the attempt failed as the router closed its connection before it had
// read the request.
func (a *attempt) closeCrossed() bool {
	conn := a.conn.Load()
	return conn != nil && (a.written.Load() == nil || conn.closedUnread())
}

// describeSendError says on what connection an attempt ended before an answer, how long after it was
// written, and whether the router had read it.
func (a *attempt) describeSendError(err error) string {
	connection, read := "a new connection", "read"
	if a.reused.Load() {
		connection = "an idle connection"
	}
	if a.closeCrossed() {
		read = "not read"
	}
	written := "not written to its end"
	if at := a.written.Load(); at != nil {
		written = fmt.Sprint(time.Since(*at).Round(time.Millisecond), " after it was written")
	}
	return fmt.Sprintf("%s, %s, %s by the router: %v", connection, written, read, err)
}

// classifySendError names the outcome of an attempt that ended before an answer.
func (a *attempt) classifySendError(ctx context.Context, err error) history.How {
	if context.Cause(ctx) == errGaveUp {
		return history.None
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return history.Unreached
	}
	if chunked, ok := a.content.(*chunkedBody); ok && chunked.remaining != "" {
		return history.Unreached // the router never had the last byte of the request
	}
	return history.Interrupted
}

// readRejection reads an answer with a status other than 200.
func readRejection(resp *http.Response) attemptOutcome {
	io.Copy(io.Discard, resp.Body)
	outcome := attemptOutcome{how: history.Failed, status: resp.StatusCode}
	if outcome.status == http.StatusTooManyRequests || outcome.status == http.StatusServiceUnavailable {
		outcome.how = history.Refused
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		outcome.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return outcome
}

// readStream reads an answer's events. Its tokens are counted by events until the usage event
// states their number.
func (a *attempt) readStream(resp *http.Response) attemptOutcome {
	outcome := attemptOutcome{status: resp.StatusCode}
	done := false
	for lines := bufio.NewReader(resp.Body); ; {
		line, err := lines.ReadBytes('\n')
		if bytes.Contains(line, []byte(`"content":`)) {
			if outcome.tokens == 0 {
				a.begun.Store(true) // a client that has a part of its answer waits for the rest
				a.gaveUp.Stop()
				outcome.first = time.Since(a.due)
				a.observeAnswer(history.Event{What: history.First, ID: a.id})
			}
			outcome.tokens++
			outcome.last = time.Since(a.due)
		}
		if _, usage, ok := bytes.Cut(line, []byte(`"completion_tokens":`)); ok {
			fmt.Sscanf(string(usage), "%d", &outcome.tokens)
		}
		done = done || bytes.HasPrefix(line, []byte("data: [DONE]"))
		if err == io.EOF && done {
			outcome.how = history.Complete
			return outcome
		}
		if err != nil {
			outcome.tokens, outcome.how = 0, history.Broken
			return outcome
		}
	}
}
