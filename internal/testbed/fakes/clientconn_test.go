package fakes

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/simulator"
)

// If the router closes a kept-alive connection, the client sends its request again if the router had
// not read it, however late the client sees the close. A request that the router had read is lost,
// however early the client sees the close.
func TestClientSendsAgainOnlyWhatRouterHasNotRead(t *testing.T) {
	for _, c := range []struct {
		name      string
		close     func(*testing.T, net.Conn, *bufio.Reader)
		want      history.How
		sentAgain bool
	}{
		{"closed with the request unread", awaitUnread, history.Complete, true},
		{"closed with the rest of the request unread", readOneByte, history.Complete, true},
		{"closed once the request was read", readRequest, history.Interrupted, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			router := startClosingRouter(t, c.close)
			clients, sentAgain := newObservedClients(router)
			first := &simulator.Planned{ID: "first", Prompt: 1, Out: 1, MaxOut: 1}
			second := &simulator.Planned{ID: "second", Prompt: 1, Out: 1, MaxOut: 1}
			due := time.Now()
			if got := clients.attempt(t.Context(), first, "first", false, due, due.Add(time.Minute)); got.how != history.Complete {
				t.Fatalf("outcome of the first request: %+v, want complete", got)
			}
			got := clients.attempt(t.Context(), second, "second", false, due, due.Add(time.Minute))
			if got.how != c.want || *sentAgain != c.sentAgain {
				t.Errorf("outcome of the second request: %+v, sent again: %v", got, *sentAgain)
			}
		})
	}
}

// Guards against counting a lost request as unread: the router reads the whole request and closes
// the connection before the client, which has no processor time, returns from its write.
func TestRequestIsReadBeforeItsWriteReturns(t *testing.T) {
	router := startClosingRouter(t, readRequest)
	dialed, err := dialClient(t.Context(), "tcp4", router)
	if err != nil {
		t.Fatal(err)
	}
	conn := dialed.(*clientConn)
	const request = "POST / HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n"
	conn.Write([]byte(request))
	if _, err := conn.Read(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	conn.beginRequest(time.Minute)
	closed := make(chan bool)
	conn.afterWrite = func() {
		conn.Read(make([]byte, 1)) // reads the end of the stream
		go func() { closed <- conn.closedUnread() }()
		time.Sleep(50 * time.Millisecond)
	}
	conn.Write([]byte(request))
	if <-closed {
		t.Error("a request that the router had read counts as unread")
	}
}

// newObservedClients returns clients of a router and a flag that is set once one of them sends a
// request again.
func newObservedClients(router string) (*Clients, *bool) {
	spec := &simulator.Spec{Classes: []simulator.Class{{}}}
	spec.Classes[0].Class.Name = "chat"
	clients, sentAgain := NewClients(router, spec), new(bool)
	clients.Observe = func(e ClientEvent) { *sentAgain = *sentAgain || e.Text == CloseCrossed }
	return clients, sentAgain
}

// startClosingRouter starts a router that answers the first request of each connection, calls
// closeSecond for the second request, and then closes the connection. It returns the router's address.
func startClosingRouter(t *testing.T, closeSecond func(*testing.T, net.Conn, *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReaderSize(conn, 16)
				readRequest(t, conn, reader)
				conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"))
				closeSecond(t, conn, reader)
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads a whole request.
func readRequest(t *testing.T, _ net.Conn, reader *bufio.Reader) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return // the client has closed
	}
	if _, err := reader.Discard(int(r.ContentLength)); err != nil {
		t.Error(err)
	}
}

// readOneByte reads the first byte of a request.
func readOneByte(_ *testing.T, conn net.Conn, _ *bufio.Reader) {
	conn.Read(make([]byte, 1))
}

// awaitUnread waits until bytes of a request have arrived, without reading them.
func awaitUnread(t *testing.T, conn net.Conn, _ *bufio.Reader) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
}

// If a request leaves late, its answer is due later by the same delay. An answer counts from its
// arrival, however late the client reads it. A client without processor time therefore makes no
// answer count as late.
func TestConnectionTellsWhenRequestLeftAndAnswerCame(t *testing.T) {
	const standstill, timeLeft, precision, tick = 200 * time.Millisecond, time.Second, 50 * time.Millisecond, 10 * time.Millisecond
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := dialClient(t.Context(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	router, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer router.Close()
	conn := dialed.(*clientConn)
	conn.beginRequest(timeLeft)
	time.Sleep(standstill) // between the statement and the write
	if _, ok := conn.answerDue(); ok || conn.answerArrives() {
		t.Error("an answer is due or has arrived before the request has left")
	}
	before := time.Now()
	conn.Write([]byte("request"))
	after := time.Now()
	due, ok := conn.answerDue()
	if !ok || due.Before(before.Add(timeLeft-precision)) || due.After(after.Add(timeLeft)) {
		t.Errorf("the answer is due %v after the write (known: %v)", due.Sub(before), ok)
	}
	time.Sleep(tick) // the kernel's timestamps can't resolve a shorter interval
	router.Write([]byte("answer"))
	awaitUnread(t, conn.TCPConn, nil)
	came := time.Now()
	time.Sleep(standstill) // between the arrival and the read
	if !conn.answerArrives() {
		t.Error("the answer was not noticed before it was read")
	}
	if _, err := conn.Read(make([]byte, 16)); err != nil {
		t.Fatal(err)
	}
	if arrived := *conn.arrived.Load(); arrived.Before(before.Add(-precision)) || arrived.After(came.Add(precision)) {
		t.Errorf("recorded arrival of the answer is %v ago, want more than %v", time.Since(arrived), standstill)
	}
}
