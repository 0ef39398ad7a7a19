package routing

import (
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"reachspread/balance"
)

// Stream is an answer on its way to the client. The front end reads it to its end or to an error,
// and closes it.
type Stream struct {
	router    *Router
	attempt   *attempt
	body      Body
	err       error // the last of Read
	abandoned bool  // the client had gone before the answer began, and the request was counted so
	once      sync.Once
}

// answerWithStream answers a request with an answer that has begun, which ends its retries.
func (r *Router) answerWithStream(a *attempt, body Body) {
	a.request.message = nil // nothing more is sent
	r.post(balance.FirstToken{ID: a.request.id, Attempt: a.number})
	stream := &Stream{router: r, attempt: a, body: body}
	if !a.request.answer(Answer{Verdict: Served, Stream: stream}) {
		stream.abandoned = true
		stream.Close()
	}
}

// Read passes on the next bytes. It returns io.EOF only after the last byte of the answer.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if err != nil {
		s.err = err
	}
	return n, err
}

// Close ends the answer, complete or not, and records its outcome.
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

// result returns the result of the attempt by the last error of Read.
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
		return balance.TimedOut // the process need not be dead
	}
	return balance.Reset
}

// verdict returns how the request ended whose stream ended so.
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

// Complete reports whether the answer was read to its end. It is for the caller of Close.
func (s *Stream) Complete() bool { return s.err == io.EOF }

// Body returns the answer as the network has it.
func (s *Stream) Body() Body { return s.body }

// Source is where an answer comes from.
type Source struct {
	Server         string    // its ID
	FailedAttempts int       // before the one that answered
	SentAt         time.Time // when the one that answered was given to the network
}

// Source returns where the answer comes from.
func (s *Stream) Source() Source {
	return Source{Server: s.attempt.serverID, FailedAttempts: s.attempt.number, SentAt: s.attempt.sentAt}
}
