// Package routing is the core of the router in service. It accepts requests from any front end, lets
// package balance choose a server for each, and sends the attempts through a Network. It does not
// depend on HTTP.
//
// A request passes through these stages, each in a file of its own:
//
//   - accept.go registers the request.
//   - router.go lets package balance decide on the request. All decisions run on the goroutine of
//     Router.Run.
//   - actions.go carries out the actions that package balance returns.
//   - send.go sends an attempt to a server.
//   - stream.go answers the request with a stream, or outcome.go reports how the attempt ended, for
//     a retry or a final answer.
//
// Only Request.answer gives a request its final answer.
package routing

import (
	"context"
	"errors"
	"io"
	"time"

	"reachspread/balance"
)

// Message is the content of a request. The core passes it from the front end to the Network without
// looking inside.
type Message any

// Server identifies a server that discovery lists, and gives its address.
type Server struct {
	ID   string
	Addr string // network address
}

// Network connects the core to the servers.
type Network interface {
	// Send sends m to a server once and waits until the deadline for the first event of its answer.
	// The end of ctx ends the attempt, including its body. If Send returns no body, it has given the
	// attempt up before it returns, so that no two attempts of a request overlap.
	Send(ctx context.Context, deadline time.Time, to Server, m Message, hooks SendHooks) AttemptResult
	// Probe asks a server for its load and waits for the answer until ctx ends.
	Probe(ctx context.Context, to Server) (balance.Result, *balance.Load)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(id string)
}

// SendHooks are functions that a Network calls while it sends an attempt.
type SendHooks struct {
	// MaySend reports whether the attempt may still be sent. The Network calls it when the
	// connection is established, right before it writes the first byte, because connecting may have
	// taken long. If MaySend returns false, the Network writes nothing, and the result is
	// balance.NotSent.
	MaySend func() bool
	// Written is called after the last byte is written.
	Written func()
}

// AttemptResult describes how an attempt began, or how it ended if its answer did not begin.
type AttemptResult struct {
	Result         balance.Result // OK if there is a body
	Load           *balance.Load  // as the server reported it, nil for no report
	Body           Body           // nil if no answer has begun
	RequestInvalid bool           // the server found an error in the request itself, as any other server would
	ClientLeft     bool           // nothing was sent because the client has disconnected
	ServerAnswer   any            // the server's own answer, which the client gets if no retry succeeds; nil for none
}

// Errors that Body.Read returns besides those of the network. Each tells what is known about the
// server, and so how the attempt is counted.
var (
	// ErrMalformedAnswer says that the answer can't be parsed although the server and the connection
	// work. It counts as an error of the server, not as a broken connection.
	ErrMalformedAnswer = errors.New("malformed answer")
	// ErrUnacceptable says that the answer, complete or not, does not match what the request asked
	// for. It does not count against the server.
	ErrUnacceptable = errors.New("not what was asked for")
	// ErrHandedOver says that another process has taken over the stream. That process also counts
	// how the stream ends.
	ErrHandedOver = errors.New("moved to another process")
)

// Body is the body of an answer, starting with its first complete event. Read returns io.EOF only
// after the last byte.
type Body interface {
	io.Reader
	// End closes the body. It returns the number of prompt tokens that the server had cached, and
	// the load that the server reported, nil for no report. The connection can be reused only if the
	// body was read to io.EOF.
	End() (cachedTokens float64, load *balance.Load)
}

// Logger writes one log line for the on-call staff. The line names an event; fields are alternating
// names and values.
type Logger interface {
	Info(event string, fields ...any) // nobody has to act
	Warn(event string, fields ...any) // somebody may have to act
}

// Gate filters the events before package balance decides on them. Step gets all events, and returns
// the events to decide on and the answers to the others. Only the goroutine of Router.Run calls it.
type Gate interface {
	Step(now time.Duration, events []balance.Event) (pass []balance.Event, answers []balance.Action)
}
