package transport

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/internal/routing"
)

// malformedLogInterval is the least time between two log lines about one server's malformed
// answers, as a broken server may send thousands a second.
const malformedLogInterval = time.Minute

// malformedAnswers counts and logs the malformed answers of servers. It is safe for concurrent use.
type malformedAnswers struct {
	log   routing.Logger
	count atomic.Uint64

	mu       sync.Mutex
	loggedAt map[string]time.Time // by server; forget removes servers that are gone
}

func newMalformedAnswers(log routing.Logger) *malformedAnswers {
	return &malformedAnswers{log: log, loggedAt: map[string]time.Time{}}
}

// record counts a malformed answer, and logs it unless one of the same server was logged of late.
func (m *malformedAnswers) record(server string, cause error) {
	m.count.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if last, ok := m.loggedAt[server]; ok && time.Since(last) < malformedLogInterval {
		return
	}
	m.loggedAt[server] = time.Now()
	m.log.Warn("malformed answer", "server", server, "cause", cause)
}

// forget forgets a server.
func (m *malformedAnswers) forget(server string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.loggedAt, server)
}

// malformedAnswerError is the error of an answer that can't be read although its connection works.
type malformedAnswerError struct{ cause error }

// Error implements error.
func (e *malformedAnswerError) Error() string {
	return fmt.Sprintf("%v: %v", routing.ErrMalformedAnswer, e.cause)
}

// Unwrap returns routing.ErrMalformedAnswer and the cause.
func (e *malformedAnswerError) Unwrap() []error { return []error{routing.ErrMalformedAnswer, e.cause} }
