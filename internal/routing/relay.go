package routing

import (
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"reachspread/balance"
)

// Stream is an answer on its way to the client. The front reads it to its end or to an error, and closes it.
type Stream struct {
	router    *Router
	s         *attempt
	body      Body
	err       error
	unclaimed bool // its client had gone before, and was counted so
	once      sync.Once
}

// relay hands a begun answer over to the request's client, to whom it belongs from now on.
func (r *Router) relay(s *attempt, body Body) {
	s.request.message = nil // nothing more is sent
	r.post(balance.FirstToken{ID: s.request.id, Attempt: s.number})
	stream := &Stream{router: r, s: s, body: body}
	if !s.request.answer(Answer{Verdict: Served, Stream: stream}) {
		stream.unclaimed = true
		stream.Close()
	}
}

// Read passes on the next bytes. It returns io.EOF only once the last of the answer has come.
func (st *Stream) Read(p []byte) (int, error) {
	n, err := st.body.Read(p)
	if err != nil {
		st.err = err
	}
	return n, err
}

// Close ends the answer, whole or not, and books it.
func (st *Stream) Close() error {
	st.once.Do(func() {
		head := Head{Result: balance.Reset}
		switch {
		case st.err == io.EOF:
			head.Result = balance.OK
		case st.s.request.ctx.Err() != nil || st.err == nil || st.err == ErrMoved || errors.Is(st.err, ErrUnwanted):
			head.Result = balance.Cancelled // by the client or by us, or no longer ours
		case errors.Is(st.err, ErrSpoilt):
			head.Result = balance.Error // the process that made it goes on
		case errors.Is(st.err, os.ErrDeadlineExceeded):
			head.Result = balance.TimedOut // silent: the process need not be dead
		}
		if !st.unclaimed {
			st.s.request.class.end(st.verdict(head.Result))
		}
		var kept float64
		kept, head.Load = st.body.End()
		st.router.bookStream(st.s, head, kept)
	})
	return nil
}

// verdict is how a request ended whose stream did so.
func (st *Stream) verdict(result balance.Result) Verdict {
	switch {
	case result == balance.OK:
		return Served
	case errors.Is(st.err, ErrMoved):
		return Moved
	case errors.Is(st.err, ErrUnwanted):
		return Failed
	case result == balance.Cancelled:
		return Nobody
	}
	return Failed
}

// Whole tells that the answer was read to its end. It is for whoever has closed the stream.
func (st *Stream) Whole() bool { return st.err == io.EOF }

// Body returns the answer as the network has it.
func (st *Stream) Body() Body { return st.body }

// Source is where an answer comes from.
type Source struct {
	Server string    // the server's id
	Before int       // attempts that came to nothing before
	Sent   time.Time // that the one which answered was given to the network
}

// Source returns where the answer comes from.
func (st *Stream) Source() Source { return Source{st.s.to, st.s.number, st.s.sent} }
