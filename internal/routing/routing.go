// Package routing is the core of the router in service. It accepts requests from any front end, has
// package balance decide where they go, and has their attempts sent to servers. It knows nothing of
// HTTP.
//
// A request passes these stages, each in a file of its own: it is accepted (accept.go), decided on
// by the one goroutine of Router.Run (router.go), whose actions are carried out (actions.go); it is
// sent (send.go), and answered by a stream (stream.go) or with the outcome of its last attempt
// (outcome.go). Its final answer is given by Request.answer and nowhere else.
package routing

import (
	"context"
	"errors"
	"io"
	"time"

	"reachspread/balance"
)

// Message is what passes unchanged from the client to a server. Only the front end that made it and
// the network that sends it look inside.
type Message any

// Server is a listed server: its ID, and where to reach it.
type Server struct {
	ID   string
	Addr string
}

// Network is what the core needs of the servers.
type Network interface {
	// Send sends m to a server once and waits until the deadline for the first event of its answer.
	// The end of ctx ends all of it, the body too. If it returns no body, the attempt has been
	// given up by then, so that no two attempts of a request overlap.
	Send(ctx context.Context, deadline time.Time, to Server, m Message, hooks SendHooks) AttemptResult
	// Probe asks a server for its load, until ctx ends.
	Probe(ctx context.Context, to Server) (balance.Result, *balance.Load)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(id string)
}

// SendHooks are what a Network asks and calls while it sends an attempt.
type SendHooks struct {
	// MaySend is asked once the connection is there, right before the first byte is written:
	// connecting may have taken long. If it returns false nothing is written, and the result is
	// balance.NotSent.
	MaySend func() bool
	// Written is called after the last byte.
	Written func()
}

// AttemptResult is how an attempt began, or how it ended if its answer did not begin.
type AttemptResult struct {
	Result         balance.Result // OK if there is a body
	Load           *balance.Load  // as the server reported it, nil for no report
	Body           Body           // nil if no answer has begun
	RequestInvalid bool           // the server finds the request itself at fault, as any other would
	ClientLeft     bool           // nothing was sent, as the client has gone
	ServerAnswer   any            // the server's own answer, for the client if no retry does better; nil for none
}

// The errors of Body.Read besides those of the network. They say what is known of the server, and
// so how the attempt counts.
var (
	// ErrMalformedAnswer says that the answer can't be read, although the server and the connection
	// are well. It counts as an error of the server, not as a broken connection.
	ErrMalformedAnswer = errors.New("spoilt")
	// ErrUnacceptable says that the answer, complete or not, is not one that its request asked for.
	// It does not count against the server.
	ErrUnacceptable = errors.New("not what was asked for")
	// ErrHandedOver says that another process goes on with a stream, counts it and ends it.
	ErrHandedOver = errors.New("moved to another process")
)

// Body is an answer from its first complete event on. Read returns io.EOF only after the last byte.
type Body interface {
	io.Reader
	// End closes the body and returns what was learned from it: the prompt tokens that the server
	// had cached, and its load, nil for no report. The connection can be used again only if the
	// body was read to io.EOF.
	End() (cachedTokens float64, load *balance.Load)
}

// Logger writes one line for on-call staff: an event, and its fields as name and value by turns.
type Logger interface {
	Info(event string, fields ...any) // needs nobody
	Warn(event string, fields ...any) // somebody may have to act
}

// Gate stands before the decisions: it gets all events, passes on those that are to be decided on,
// and answers the others. Only the goroutine of Router.Run calls it.
type Gate interface {
	Step(now time.Duration, events []balance.Event) (pass []balance.Event, answers []balance.Action)
}
