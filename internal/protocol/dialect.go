package protocol

import (
	"time"

	"reachspread/balance"
)

// Field is one header of a head.
type Field struct{ Name, Value string }

// HeaderReader returns the value of a header, empty if it is not there.
type HeaderReader func(name string) string

// Dialect is the protocol of the servers of one deployment. There are two: Completions, that of the
// router in service, and Fleet. An implementation is pure and safe for concurrent use.
type Dialect interface {
	// TimeLeft returns the header that says how long the client still waits.
	TimeLeft(left time.Duration) Field
	// RequestID returns the name of the header with the ID of a request.
	RequestID() string
	// Expects returns the header that names the only server that may execute a request; ok is false
	// if there is none.
	Expects(server string) (f Field, ok bool)
	// AnswersOther reports whether an answer is not to the request with the ID, but a surplus one
	// to an earlier request.
	AnswersOther(id string, get HeaderReader) bool
	// Judge returns what the head of an answer says of its attempt, and so whether a retry is safe.
	Judge(status int, get HeaderReader) AttemptJudgement
	// Load reads the load report in the head of an answer, nil for none.
	Load(get HeaderReader) (*balance.Load, error)
	// ProbePath is the path of a load probe; ProbeLoad reads the answer's body.
	ProbePath() string
	ProbeLoad(text []byte) (*balance.Load, error)
	// KeepAlive returns how long a server keeps an idle connection, 0 if it does not say.
	KeepAlive(get HeaderReader) time.Duration
}

// AttemptJudgement is what the head of an answer says of its attempt.
type AttemptJudgement struct {
	Result         balance.Result // OK if a body follows for the client
	RequestInvalid bool           // the request itself is at fault, as any other server would find
	Forwardable    bool           // the answer is the server's own and may be forwarded to the client
}
