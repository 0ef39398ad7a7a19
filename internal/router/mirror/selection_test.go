package mirror

import (
	"io"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

var arrival = balance.Arrival{ID: "9b1f03aa5c7e2d41", Class: "chat", Session: "7f3a9c21e0b4d655"}

// A request that is not copied causes no allocation on the live path, whether the share is 0 or the
// request is not chosen.
func TestRequestThatIsNotCopiedAllocatesNothing(t *testing.T) {
	for _, share := range []float64{0, 1e-9} {
		var tap transport.Tap = newMirror(t, share)
		if n := testing.AllocsPerRun(1000, func() {
			if c, _ := tap.Choose(arrival.Class, arrival.Session, arrival.ID, nil); c != nil || tap.TenantHeader() != "" {
				t.Fatal("a pool was chosen, or there is a tenant header")
			}
		}); n != 0 {
			t.Errorf("with a share of %v, Choose made %v allocations, want 0", share, n)
		}
	}
}

// offerRequest offers a request to the tap in the same way as the front does.
func offerRequest(tap transport.Tap, header *fasthttp.RequestHeader, m *transport.Message) transport.AnswerObserver {
	var tenant []byte
	if name := tap.TenantHeader(); name != "" {
		tenant = header.Peek(name)
	}
	copier, pools := tap.Choose(arrival.Class, arrival.Session, arrival.ID, tenant)
	if copier == nil {
		return nil
	}
	return copier.Copy(pools, transport.AcceptedRequest{Arrival: arrival, Tenant: string(tenant), ArrivedAt: time.Now(), Message: m})
}

func BenchmarkTapNothingChosen(b *testing.B) { benchmarkTap(b, 0) }

func BenchmarkTapNotCopied(b *testing.B) { benchmarkTap(b, 1e-9) }

// BenchmarkTapCopied measures the complete cost of copying for the live path of a request: the
// offer, the capture of an answer of 20 chunks, and the end of the answer. The pool is at its caps
// most of the time.
func BenchmarkTapCopied(b *testing.B) { benchmarkTap(b, 1) }

func benchmarkTap(b *testing.B, share float64) {
	tap := newMirror(b, share)
	var header fasthttp.RequestHeader
	message := new(transport.Message)
	chunk := []byte(scripted.Event)
	b.ReportAllocs()
	for b.Loop() {
		observer := offerRequest(tap, &header, message)
		if observer == nil {
			continue
		}
		observer.Begun(routing.Source{Server: "s0"})
		for range 20 {
			observer.Feed(chunk)
		}
		observer.Ended(io.EOF)
	}
}
