package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// askReady connects and asks whether the router is ready. The result connected is false if the
// connection is refused.
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

// Guards against requests that are reset when a listener closes. Clients that have connected get an
// answer; clients that come later are refused.
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
						t.Logf("a client connected and got %v", err)
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

// Guards against requests in the backlog that are reset because the listener closes before there is
// a free place for them.
func TestClosingListenerWaitsForPlaces(t *testing.T) {
	const waiting = 4
	finish := make(chan bool)
	front, _ := newRoutedFront(t, FrontLimits{Admission: admission.Config{MaxConnections: 1}}, scripted.GatedAnswer(finish))
	addr, _ := listenAndServe(t, front)
	clients := []net.Conn{dial(t, addr, scripted.RequestText("open", ""))}
	scripted.AwaitCondition(t, "a request that takes the only place", func() bool { return front.router.Metrics().Open == 1 })
	for i := range waiting {
		clients = append(clients, dial(t, addr, scripted.RequestText(fmt.Sprint("waits", i), "")))
	}
	shut := make(chan error, 1)
	go func() { shut <- front.Shutdown() }()
	time.Sleep(2 * time.Second) // longer than any handshake takes
	close(finish)
	for _, client := range clients {
		wantAnswer(t, client)
		client.Close()
	}
	if err := scripted.Receive(t, shut, "the end of Shutdown"); err != nil {
		t.Error(err)
	}
}

// Guards against clients that are still in the backlog when SIGKILL ends the process, because
// streams occupy all places.
func TestWaitingClientsAreRejectedBeforeKill(t *testing.T) {
	const waiting = 4
	finish := make(chan bool)
	defer close(finish)
	front, _ := newRoutedFront(t, FrontLimits{Admission: admission.Config{MaxConnections: 1}}, scripted.GatedAnswer(finish))
	addr, _ := listenAndServe(t, front)
	wantAnswer(t, dial(t, addr, scripted.RequestText("stream", "")))
	var clients []net.Conn
	for i := range waiting {
		clients = append(clients, dial(t, addr, scripted.RequestText(fmt.Sprint("waits", i), "")))
	}
	go front.Shutdown()
	scripted.AwaitCondition(t, "the end of accepting", func() bool { return front.AnswersDue() > 0 })
	front.RejectWaiting(time.Second)
	for _, client := range clients {
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("got %+v, %v; want a rejection", resp, err)
		}
	}
	scripted.AwaitCondition(t, "an empty backlog", func() bool { return front.AnswersDue() == 0 })
}

// Guards against requests that are reset because the listener closes before the system has handed
// over their connections. With strict admission, the system hands over a connection only when the
// first bytes arrive.
func TestClosingListenerWaitsForHandshakes(t *testing.T) {
	idle := time.Minute
	limits := FrontLimits{Admission: admission.Config{MaxConnections: 10, MaxOverflow: 4, IdleTimeout: [3]time.Duration{idle, idle, idle}}}
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			front, _ := newRoutedFront(t, limits, scripted.Answer(scripted.CompleteAnswer()))
			addr, _ := listenAndServe(t, front)
			client := dial(t, addr, "")
			shut := make(chan error, 1)
			go func() { shut <- front.Shutdown() }()
			scripted.AwaitCondition(t, "the end of accepting", func() bool { return front.AnswersDue() > 0 })
			time.Sleep(delay)
			if _, err := io.WriteString(client, scripted.RequestText("late", "")); err != nil {
				t.Fatal(err)
			}
			wantAnswer(t, client)
			client.Close()
			if err := scripted.Receive(t, shut, "the end of Shutdown"); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a client that connects between the last check of the backlog and the close,
// however long that takes: the packet filter must keep the client from connecting.
func TestNobodyConnectsToClosingListener(t *testing.T) {
	ln, err := Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(&FrontLimits{Admission: admission.Config{MaxConnections: 4}})
	if err := l.listen(ln, false); err != nil {
		t.Fatal(err)
	}
	l.raw.Control(func(fd uintptr) { dropNewConnections(int(fd)) })
	if c, err := net.DialTimeout("tcp", ln.Addr().String(), 200*time.Millisecond); err == nil {
		c.Close()
		t.Error("a client has connected; the close would reset it")
	}
	if l.hasBacklog() {
		t.Error("a client is in the backlog; want none")
	}
	if err := l.closeSockets(); err != nil {
		t.Error(err)
	}
}

// listenAndServe makes a front end serve at an address of its own.
func listenAndServe(t *testing.T, front *Front) (addr string, ln net.Listener) {
	t.Helper()
	ln, err := Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go front.Serve(ln, false)
	scripted.AwaitCondition(t, "a listener", func() bool { return front.listener.exclusive() })
	return ln.Addr().String(), ln
}

// Guards against an address that is still in use by a listener that was just closed. Accept fails a
// moment before the socket is closed, and a router that restarted in that moment could not listen.
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
