package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"reachspread/internal/admission"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// askReady connects and asks whether the router is ready; connected is false where it refuses.
func askReady(addr string) (connected bool, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false, err
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"); err != nil {
		return true, err
	}
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	return true, err
}

// Guards against requests that are reset as a listener closes: who has connected is answered, who
// comes later is refused.
func TestClosingListenerServesItsBacklog(t *testing.T) {
	const clients, rounds = 64, 4
	for range rounds {
		front := NewFront(new(routing.Router), FrontLimits{Admission: admission.Config{MaxConnections: 10 * clients, MaxOverflow: 4}, BodyBytes: 100 << 10}, nil)
		front.SetReady(true)
		ln, err := Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go front.Serve(ln, false)
		var all sync.WaitGroup
		var answered, lost atomic.Int64
		for range clients {
			all.Go(func() {
				for {
					connected, err := askReady(ln.Addr().String())
					switch {
					case !connected:
						return
					case err != nil:
						lost.Add(1)
						t.Logf("connected, and got %v", err)
					default:
						answered.Add(1)
					}
				}
			})
		}
		scripted.AwaitCondition(t, "answers", func() bool { return answered.Load() >= clients })
		if err := front.Shutdown(); err != nil {
			t.Error(err)
		}
		all.Wait()
		if lost.Load() > 0 {
			t.Errorf("%d of %d clients that had connected got no answer", lost.Load(), answered.Load())
		}
	}
}

// Guards against an address that is in use by the listener that was just closed: Accept fails a
// moment before the socket is closed, and a router that starts again in that moment could not listen.
func TestAddressIsFreeOnceServeReturns(t *testing.T) {
	const rounds, fleets = 50, 16 // so many at once that some have to wait for a processor
	var all sync.WaitGroup
	for range fleets {
		all.Go(func() {
			address := "127.0.0.1:0"
			for range rounds {
				ln, err := Listen(t.Context(), "tcp", address)
				if err != nil {
					t.Error(err)
					return
				}
				address = ln.Addr().String()
				front := NewFront(new(routing.Router), FrontLimits{Admission: admission.Config{MaxConnections: 4, MaxOverflow: 4}, BodyBytes: 100 << 10}, nil)
				served := make(chan error, 1)
				go func() { served <- front.Serve(ln, false) }()
				if _, err := askReady(address); err != nil {
					t.Error(err)
				}
				front.StopAccepting()
				<-served
			}
		})
	}
	all.Wait()
}
