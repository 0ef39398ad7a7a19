package protocol

import (
	"time"

	"reachspread/balance"
)

// Field is one line of a head.
type Field struct{ Name, Value string }

// Header reads the value of a header, empty where it is not there.
type Header func(name string) string

// Dialect is how the servers of one deployment are spoken to. There are two: Completions, that of the router in service, and
// Fleet. An implementation is pure and safe for concurrent use.
type Dialect interface {
	// TimeLeft is the header that tells a server how long its client still waits.
	TimeLeft(left time.Duration) Field
	// RequestID is the header that names a request.
	RequestID() string
	// Expects is the header that names the server which alone is to run a request; ok is false where there is none.
	Expects(server string) (f Field, ok bool)
	// Foreign tells that an answer is not the one to the request with the id: a surplus one to an earlier request.
	Foreign(id string, get Header) bool
	// Judge tells what the head of an answer says of its attempt.
	Judge(status int, get Header) Judgement
	// Load reads the load report in the head of an answer, nil for none.
	Load(get Header) (*balance.Load, error)
	// ProbePath is what a server is asked for its load; ProbeLoad reads the answer's body.
	ProbePath() string
	ProbeLoad(text []byte) (*balance.Load, error)
	// KeepAlive is how long a server says that it keeps an idle connection, 0 where it doesn't.
	KeepAlive(get Header) time.Duration
}

// Judgement is what the head of an answer says of its attempt.
type Judgement struct {
	Result balance.Result // OK where a body follows that is the client's
	Unfit  bool           // the request itself is at fault, as any other server would find
	Final  bool           // the answer is the server's own and may be passed on to the client
}
