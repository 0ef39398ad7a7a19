package routing

import (
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"reachspread/balance"
)

// Stream is a server's answer that the front end forwards to the client. The front end reads it to
// the end or to an error, and then closes it.
type Stream struct {
	router    *Router
	attempt   *attempt
	body      Body
	err       error // the last error of Read
	abandoned bool  // the request had ended before the answer began, so its end is already counted
	once      sync.Once
}

// answerWithStream answers a request with a server's answer that has begun. The request is not
// retried after that.
func (r *Router) answerWithStream(a *attempt, body Body) {
	a.request.message = nil // no further attempt is sent
	r.post(balance.FirstToken{ID: a.request.id, Attempt: a.number})
	stream := &Stream{router: r, attempt: a, body: body}
	if !a.request.answer(Answer{Verdict: Served, Stream: stream}) {
		stream.abandoned = true
		stream.Close()
	}
}

// Read reads the next bytes of the answer. It returns io.EOF only after the last byte.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if err != nil {
		s.err = err
	}
	return n, err
}

// Close ends the stream, whether the answer is complete or not, and records the outcome of its
// attempt.
func (s *Stream) Close() error {
	s.once.Do(func() {
		result := AttemptResult{Result: s.result()}
		if !s.abandoned {
			s.attempt.request.class.countEnded(s.verdict(result.Result))
		}
		var cachedTokens float64
		cachedTokens, result.Load = s.body.End()
		s.router.recordStreamOutcome(s.attempt, result, cachedTokens)
	})
	return nil
}

// result returns the result of the attempt, which it derives from the last error of Read.
func (s *Stream) result() balance.Result {
	clientLeft := s.attempt.request.ctx.Err() != nil
	switch {
	case s.err == io.EOF:
		return balance.OK
	case clientLeft, s.err == nil, s.err == ErrHandedOver, errors.Is(s.err, ErrUnacceptable):
		return balance.Cancelled
	case errors.Is(s.err, ErrMalformedAnswer):
		return balance.Error
	case errors.Is(s.err, os.ErrDeadlineExceeded):
		return balance.TimedOut // the server's process may still be alive
	}
	return balance.Reset
}

// verdict returns how the request ended, given the result of its attempt.
func (s *Stream) verdict(result balance.Result) Verdict {
	switch {
	case result == balance.OK:
		return Served
	case errors.Is(s.err, ErrHandedOver):
		return HandedOver
	case errors.Is(s.err, ErrUnacceptable):
		return Failed
	case result == balance.Cancelled:
		return Abandoned
	}
	return Failed
}

// Complete reports whether the answer was read to its end. Only the goroutine that reads and closes
// the stream may call it.
func (s *Stream) Complete() bool { return s.err == io.EOF }

// Body returns the body that the Network returned for the attempt.
func (s *Stream) Body() Body { return s.body }

// Source identifies the attempt that an answer comes from.
type Source struct {
	Server         string    // ID of the server that answered
	FailedAttempts int       // number of attempts before the one that was answered
	SentAt         time.Time // when the attempt that was answered started
}

// Source returns the server and the attempt that the answer comes from.
func (s *Stream) Source() Source {
	return Source{Server: s.attempt.serverID, FailedAttempts: s.attempt.number, SentAt: s.attempt.sentAt}
}
