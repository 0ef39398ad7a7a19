package transport

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/admission"
	"reachspread/internal/routing"
)

// Tap may ask for a copy of each request that is accepted, and never blocks. A request that is not
// copied costs one call of TenantHeader and one of Choose, which take no lock and allocate nothing.
type Tap interface {
	// TenantHeader names the header that holds a request's tenant, empty for none.
	TenantHeader() string
	// Choose returns what takes a copy of a request, and for which pools. Nil means none.
	Choose(class, session, id string, tenant []byte) (Copier, uint64)
}

// Copier takes copies.
type Copier interface {
	// Copy takes a request, whose bytes it shares from now on, and returns what observes its
	// answer; nil for nothing.
	Copy(pools uint64, r AcceptedRequest) AnswerObserver
}

// AcceptedRequest is a request that was accepted.
type AcceptedRequest struct {
	Arrival   balance.Arrival
	Tenant    string
	ArrivedAt time.Time // its last byte
	Message   *Message
}

// AnswerObserver observes the answer to one request on its way to the client. It is used by one
// goroutine and never blocks.
type AnswerObserver interface {
	// Begun is called with the source of an answer that has begun.
	Begun(from routing.Source)
	// Feed is called with each chunk before it goes to the client, and must not keep it.
	Feed(p []byte)
	// Ended ends an answer that had begun: io.EOF says that it was complete, nil that its client
	// left, another error that it broke.
	Ended(err error)
	// Refused ends a request that got no answer: ok is false if its client had left.
	Refused(ok bool, v routing.Verdict)
}

// offerCopy lets the tap have a copy.
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

// observedStream is a stream that ends its request and has an observer.
type observedStream struct {
	*routing.Stream
	observer AnswerObserver
	end      func()
	begun    bool
	err      error // the one that ended it
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

// AdmissionStatus returns what admission has done, its state, and the clients with the most
// connections.
func (f *Front) AdmissionStatus(most int) (admission.Counts, []admission.ClientUsage) {
	f.listener.mu.Lock()
	defer f.listener.mu.Unlock()
	return f.listener.admission.Counts(), f.listener.admission.LargestClients(most)
}

// Alive returns the connections that the HTTP server has, those on their way out among them.
func (f *Front) Alive() int {
	f.listener.mu.Lock()
	defer f.listener.mu.Unlock()
	return f.listener.alive
}

// Lend tells admission that time has passed, and how many connections it may have from others'
// capacity.
func (f *Front) Lend(lent int) {
	f.listener.notifyAdmission(admission.Event{Kind: admission.CapacityLent, Lent: lent})
}

// SetAdmission gives admission another configuration.
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
