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

// maxPromptLength is the largest prompt text that a client sends, in tokens. Hosts read the true
// length of the prompt from a separate field of the body.
const maxPromptLength = 60000

// CloseCrossed is the text of the history note for a request that was sent again because the router
// closed the connection while the request was in flight.
const CloseCrossed = "a close crossed the request"

var (
	errGaveUp   = errors.New("the client gave up")
	errDeparted = errors.New("the client left")
)

// attemptOutcome is the result of one attempt.
type attemptOutcome struct {
	first, last time.Duration // when the first and last tokens arrived, measured from the request's due time
	tokens      int
	how         history.How
	status      int
	retryAfter  time.Duration // how long the answer asks the client to wait before a retry
	cause       string        // why the attempt ended before an answer, if it did
}

// retryable reports whether a client may send the request again. It may if no answer has begun.
func (o *attemptOutcome) retryable() bool {
	switch o.how {
	case history.Refused, history.Failed, history.Unreached, history.Interrupted:
		return true
	}
	return false
}

// tokenInterval returns the mean time between two consecutive tokens.
func (o *attemptOutcome) tokenInterval() time.Duration {
	if o.tokens <= 1 {
		return 0
	}
	return (o.last - o.first) / time.Duration(o.tokens-1)
}

// attempt is one attempt of a request, from the client's side.
type attempt struct {
	clients     *Clients
	id, router  string
	body        string
	content     io.Reader // yields body in the chunks and at the pace of this client
	due, until  time.Time
	giveUpTimer *time.Timer // ends the attempt unless the answer has begun
	begun       atomic.Bool // the client has read a token of the answer

	conn    atomic.Pointer[clientConn] // the connection on which the request was last sent
	reused  atomic.Bool                // conn was idle after another request, or was opened for a request that then used a different one
	written atomic.Pointer[time.Time]  // when the last byte of the request was handed to the kernel on conn
}

// attempt sends a request once and reports its start and its outcome to the observer.
func (c *Clients) attempt(ctx context.Context, p *simulator.Planned, id string, isRetry bool, due, until time.Time) attemptOutcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{clients: c, id: id, due: due, until: until}
	a.giveUpTimer = time.AfterFunc(time.Until(until.Add(c.Grace)), func() { a.giveUp(cancel, maxUnreadChecks) })
	defer a.giveUpTimer.Stop()
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
	// unreadInterval and maxUnreadChecks bound how long a client past its deadline may still read an
	// answer that has already arrived but that the client had no processor time to read.
	unreadInterval  = 100 * time.Millisecond
	maxUnreadChecks = 50
)

// giveUp ends the attempt, unless its answer has begun. It checks again later if a part of the
// answer has arrived but is not read yet.
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

// observe reports an event of the attempt to the observer.
func (a *attempt) observe(e history.Event) {
	a.clients.observe(ClientEvent{Event: e, WaitsUntil: a.until})
}

// observeAnswer reports the answer or its first event, with the time it arrived and the time it was
// due according to the request. If the request left late because its client had no processor time,
// the answer is due later by the same delay.
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

// answered reports whether an event implies that the router has sent a part of an answer.
func answered(e history.Event) bool {
	switch e.How {
	case history.None, history.Unreached, history.Interrupted, history.Left:
		return e.What == history.First
	}
	return true
}

// requestBody returns the body of a planned request, with the fields that fake hosts read.
func requestBody(p *simulator.Planned) string {
	prompt := strings.Repeat("word", min(p.Prompt, maxPromptLength))
	return fmt.Sprintf(`{"stream":true,"max_tokens":%d,"lab_out":%d,"lab_prompt":%d,"lab_session":%q,"lab_prefix":%q,"lab_shared":%d,`+
		`"messages":[{"role":"user","content":"%s"}]}`, p.MaxOut, p.Out, p.Prompt, p.Session, p.Prefix, p.Shared, prompt)
}

// newRequest returns the HTTP request of an attempt, with the platform's headers.
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

// stateTimeLeft sets the header that states how much longer the client waits, and returns that time.
func (a *attempt) stateTimeLeft(r *http.Request) time.Duration {
	timeLeft := max(time.Until(a.until).Truncate(time.Millisecond), time.Millisecond)
	r.Header.Set(protocol.HeaderTimeLeft, fmt.Sprintf("%dm", timeLeft.Milliseconds()))
	return timeLeft
}

// abandoned reports whether the client left or never finished writing its request.
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

// send sends a request. If the router closed the connection before it had read the request, send
// sends the request once more, on a new connection. The time-left header is set once a connection is
// available because connecting may take long.
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

// closeCrossed reports whether the attempt failed because the router closed the connection before it
// had read the request.
func (a *attempt) closeCrossed() bool {
	conn := a.conn.Load()
	return conn != nil && (a.written.Load() == nil || conn.closedUnread())
}

// describeSendError describes an attempt that ended before an answer: whether its connection was new
// or idle, how long ago the request was written, and whether the router had read it.
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

// classifySendError returns the outcome of an attempt that ended before an answer.
func (a *attempt) classifySendError(ctx context.Context, err error) history.How {
	if context.Cause(ctx) == errGaveUp {
		return history.None
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return history.Unreached
	}
	if chunked, ok := a.content.(*chunkedBody); ok && chunked.remaining != "" {
		return history.Unreached // the client did not send the last byte of the request
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

// readStream reads an answer's events. It counts one token per content event until the usage event
// states the number of tokens.
func (a *attempt) readStream(resp *http.Response) attemptOutcome {
	outcome := attemptOutcome{status: resp.StatusCode}
	done := false
	for lines := bufio.NewReader(resp.Body); ; {
		line, err := lines.ReadBytes('\n')
		if bytes.Contains(line, []byte(`"content":`)) {
			if outcome.tokens == 0 {
				a.begun.Store(true) // a client that has received a token waits for the rest of the answer
				a.giveUpTimer.Stop()
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
