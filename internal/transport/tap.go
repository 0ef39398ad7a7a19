package transport

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/admission"
	"reachspread/internal/routing"
)

// Tap selects accepted requests and gets copies of them. It must not block. A request that is not
// copied costs one call of TenantHeader and one of Choose, which take no lock and allocate nothing.
type Tap interface {
	// TenantHeader returns the name of the header that holds a request's tenant, empty for none.
	TenantHeader() string
	// Choose returns the receiver for a copy of a request, nil for none, and the pools that it is
	// for.
	Choose(class, session, id string, tenant []byte) (Copier, uint64)
}

// Copier receives copies of requests.
type Copier interface {
	// Copy receives a request, whose bytes it shares from now on. It returns the observer of the
	// answer, nil for none.
	Copy(pools uint64, r AcceptedRequest) AnswerObserver
}

// AcceptedRequest is a request that was accepted.
type AcceptedRequest struct {
	Arrival   balance.Arrival
	Tenant    string
	ArrivedAt time.Time // when its last byte arrived
	Message   *Message
}

// AnswerObserver observes the answer to one request on its way to the client. Only one goroutine
// uses it. Its methods must not block.
type AnswerObserver interface {
	// Begun is called with the source of an answer that has begun.
	Begun(from routing.Source)
	// Feed is called with each chunk before it goes to the client, and must not keep it.
	Feed(p []byte)
	// Ended is called at the end of an answer that had begun. The error is io.EOF if the answer was
	// complete, nil if its client disconnected, and another error if it broke.
	Ended(err error)
	// Refused is called at the end of a request without an answer. ok is false if its client had
	// disconnected.
	Refused(ok bool, v routing.Verdict)
}

// offerCopy offers a copy of the request to the tap.
func (f *Front) offerCopy(header *fasthttp.RequestHeader, a *balance.Arrival, receivedAt time.Time, m *Message) AnswerObserver {
	var tenant []byte
	if name := f.tap.TenantHeader(); name != "" {
		tenant = header.Peek(name)
	}
	copier, pools := f.tap.Choose(a.Class, a.Session, a.ID, tenant)
	if copier == nil {
		return nil
	}
	return copier.Copy(pools, AcceptedRequest{Arrival: *a, Tenant: string(tenant), ArrivedAt: receivedAt, Message: m})
}

// observedStream is an answer's stream that reports to an observer and ends its request when it is
// closed.
type observedStream struct {
	*routing.Stream
	observer AnswerObserver
	end      func()
	begun    bool
	err      error // the error that ended the stream
}

// Read implements io.Reader.
func (w *observedStream) Read(p []byte) (int, error) {
	n, err := w.Stream.Read(p)
	if !w.begun {
		w.begun = true
		w.observer.Begun(w.Stream.Source())
	}
	if n > 0 {
		w.observer.Feed(p[:n])
	}
	if err != nil {
		w.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (w *observedStream) Close() error {
	err := w.Stream.Close()
	w.end()
	w.observer.Ended(w.err)
	return err
}

// AdmissionStatus returns the counts and the state of admission, and the clients with the most
// connections.
func (f *Front) AdmissionStatus(most int) (admission.Counts, []admission.ClientUsage) {
	f.listener.mu.Lock()
	defer f.listener.mu.Unlock()
	return f.listener.admission.Counts(), f.listener.admission.LargestClients(most)
}

// Alive returns the number of connections that the HTTP server holds, including those that are
// closing.
func (f *Front) Alive() int {
	f.listener.mu.Lock()
	defer f.listener.mu.Unlock()
	return f.listener.alive
}

// Lend informs admission that time has passed, and how many connections it may borrow from the
// capacity of others.
func (f *Front) Lend(lent int) {
	f.listener.notifyAdmission(admission.Event{Kind: admission.CapacityLent, Lent: lent})
}

// SetAdmission sets a new configuration for admission.
func (f *Front) SetAdmission(c admission.Config) {
	f.listener.notifyAdmission(admission.Event{Kind: admission.ConfigChanged, Config: &c})
}

// FrontLoad is how full the front end is, in fractions of its limits.
type FrontLoad struct{ Bodies, Connections float64 }

// Load returns how full the front end is.
func (f *Front) Load() FrontLoad {
	return FrontLoad{Bodies: f.memory.usedFraction(), Connections: f.listener.usedFraction()}
}

var _ io.ReadCloser = (*observedStream)(nil)
