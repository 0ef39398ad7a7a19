package protocol

import (
	"time"

	"reachspread/balance"
)

// Field is a header of a request or an answer.
type Field struct{ Name, Value string }

// HeaderReader returns the value of the header with a name, or "" if the header is missing.
type HeaderReader func(name string) string

// Dialect is the protocol between the router and the servers of a deployment. There are two
// dialects: Completions, which the router in service uses, and Fleet. The methods have no side
// effects and are safe for concurrent use.
type Dialect interface {
	// TimeLeft returns the request header that says how much longer the client waits for the answer.
	TimeLeft(left time.Duration) Field
	// RequestID returns the name of the header that has the ID of a request.
	RequestID() string
	// Expects returns the request header that names the only server that may execute the request; ok
	// is false if the dialect has no such header.
	Expects(server string) (f Field, ok bool)
	// AnswersOther reports whether an answer does not belong to the request with the ID, but is an
	// extra answer to an earlier request.
	AnswersOther(id string, get HeaderReader) bool
	// Judge derives the outcome of an attempt from the head of its answer. The outcome determines
	// whether a retry is safe.
	Judge(status int, get HeaderReader) AttemptJudgement
	// Load parses the load report in the head of an answer. It returns nil if there is none.
	Load(get HeaderReader) (*balance.Load, error)
	// ProbePath returns the path of a load probe.
	ProbePath() string
	// ProbeLoad parses the load report in the body of a probe's answer.
	ProbeLoad(text []byte) (*balance.Load, error)
	// KeepAlive returns how long the server keeps an idle connection open, or 0 if the answer does
	// not say so.
	KeepAlive(get HeaderReader) time.Duration
}

// AttemptJudgement is the outcome of an attempt according to the head of its answer.
type AttemptJudgement struct {
	Result         balance.Result // balance.OK if a body for the client follows
	RequestInvalid bool           // the request itself is invalid, and any other server would reject it too
	Forwardable    bool           // the server itself sent the answer, which may be forwarded to the client
}
