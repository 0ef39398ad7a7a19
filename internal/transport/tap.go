package transport

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/admission"
	"reachspread/internal/routing"
)

// Tap may ask for a copy of each request that is taken in, and never waits. What it costs a request that is not
// copied is one call of TenantHeader and one of Choose, which take no lock and allocate nothing.
type Tap interface {
	// TenantHeader names the header that holds a request's tenant, empty for none.
	TenantHeader() string
	// Choose returns who wants a copy of a request, and in the name of which pools. Nil means nobody.
	Choose(class, session, id string, tenant []byte) (Copier, uint64)
}

// Copier takes copies.
type Copier interface {
	// Copy takes a request, whose bytes it shares from now on, and returns who watches its answer; nil means nobody.
	Copy(pools uint64, r Taken) Watcher
}

// Taken is a request that was taken in.
type Taken struct {
	Arrival balance.Arrival
	Tenant  string
	Came    time.Time // its last byte
	Message *Message
}

// Watcher sees the answer to one request as it passes to the client. It is used by one goroutine and never waits.
type Watcher interface {
	// Begun says where the answer comes from.
	Begun(from routing.Source)
	// Feed is given each piece before it goes to the client, and must not keep it.
	Feed(p []byte)
	// Ended closes a begun answer: io.EOF says that it was whole, nil that its client left, all else that it broke.
	Ended(err error)
	// Refused closes a request that got no answer: ok is false if its client had left.
	Refused(ok bool, v routing.Verdict)
}

// offer lets the tap have a copy.
func (f *Front) offer(header *fasthttp.RequestHeader, a *balance.Arrival, came time.Time, m *Message) Watcher {
	var tenant []byte
	if name := f.tap.TenantHeader(); name != "" {
		tenant = header.Peek(name)
	}
	copier, pools := f.tap.Choose(a.Class, a.Session, a.ID, tenant)
	if copier == nil {
		return nil
	}
	return copier.Copy(pools, Taken{Arrival: *a, Tenant: string(tenant), Came: came, Message: m})
}

// watchedStream is a stream that ends its request and shows itself to a watcher.
type watchedStream struct {
	*routing.Stream
	watcher Watcher
	end     func()
	begun   bool
	err     error // the one that ended it
}

func (w *watchedStream) Read(p []byte) (int, error) {
	n, err := w.Stream.Read(p)
	if !w.begun {
		w.begun = true
		w.watcher.Begun(w.Stream.Source())
	}
	if n > 0 {
		w.watcher.Feed(p[:n])
	}
	if err != nil {
		w.err = err
	}
	return n, err
}

func (w *watchedStream) Close() error {
	err := w.Stream.Close()
	w.end()
	w.watcher.Ended(w.err)
	return err
}

// AdmissionStatus returns what admission has done, its state, and who holds the most.
func (f *Front) AdmissionStatus(most int) (admission.Counts, []admission.Holding) {
	f.listener.mu.Lock()
	defer f.listener.mu.Unlock()
	return f.listener.admission.Counts(), f.listener.admission.Holdings(most)
}

// Alive returns the connections that the HTTP server has, those on their way out among them.
func (f *Front) Alive() int {
	f.listener.mu.Lock()
	defer f.listener.mu.Unlock()
	return f.listener.alive
}

// Lend tells admission that time has passed, and how many places others lend it by now.
func (f *Front) Lend(lent int) { f.listener.tell(admission.Event{Kind: admission.Lent, N: lent}) }

// Retune gives admission other settings.
func (f *Front) Retune(c admission.Config) {
	f.listener.tell(admission.Event{Kind: admission.Retune, Config: &c})
}

// FrontLoad is how full the front is, in shares of its limits.
type FrontLoad struct{ Bodies, Connections float64 }

// Load returns how full the front is.
func (f *Front) Load() FrontLoad {
	return FrontLoad{Bodies: f.memory.share(), Connections: f.listener.use()}
}

var _ io.ReadCloser = (*watchedStream)(nil)
