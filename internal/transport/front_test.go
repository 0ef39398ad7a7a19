package transport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// serve starts a front end with a short read timeout and without a working router behind it. It
// returns the address.
func serve(t *testing.T, limits FrontLimits) string {
	t.Helper()
	_, addr := newServedFront(t, limits)
	return addr
}

// newServedFront does what serve does, and returns the front end as well.
func newServedFront(t *testing.T, limits FrontLimits) (*Front, string) {
	t.Helper()
	front := NewFront(new(routing.Router), limits, nil)
	front.server.ReadTimeout = 200 * time.Millisecond
	front.SetReady(true)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go front.Serve(ln, false)
	return front, ln.Addr().String()
}

// dial connects and sends a text.
func dial(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(scripted.EventTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// Whatever a client fails to send, it gets an error or a close in time. Clients also open
// connections in advance: such a connection must be closed without an answer if no request was sent
// on it.
func TestSlowClientsAreClosedInTime(t *testing.T) {
	post := "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
	addr := serve(t, FrontLimits{Admission: admission.Config{MaxConnections: 10, MaxOverflow: 4}, BodyBytes: 100 << 10})
	for text, want := range map[string]string{
		"":                                    "",
		post:                                  "HTTP/1.1 408 ",
		post + "Content-Length: 100\r\n\r\n{": "HTTP/1.1 408 ",
		post + "Transfer-Encoding: chunked\r\n\r\n9\r\n":                      "HTTP/1.1 408 ",
		post + "Content-Length: 150000\r\n\r\n" + strings.Repeat(" ", 120000): "HTTP/1.1 503 ", // more bytes than BodyBytes allows for all bodies
	} {
		got, err := io.ReadAll(dial(t, addr, text))
		if err != nil || !strings.HasPrefix(string(got), want) || want == "" && len(got) > 0 {
			t.Errorf("after %.90q: got %q, %v; want %q and the end of the connection", text, got, err, want)
		}
	}
	for _, whole := range []time.Duration{requestReadTimeout + lingerTimeout, deferAcceptTime + strictRequestReadTimeout + strictLingerTimeout} {
		if whole > 3*time.Second {
			t.Errorf("reading a request and lingering take up to %v; the platform allows 3 s from connecting to the close", whole)
		}
	}
}

// Clients that connect and send nothing do not take places that other clients need: the oldest of
// them is evicted.
func TestIdleClientsAreReplaced(t *testing.T) {
	addr := serve(t, FrontLimits{Admission: admission.Config{MaxConnections: 3, MaxOverflow: 1}})
	var silent []net.Conn
	for range 3 {
		silent = append(silent, dial(t, addr, ""))
	}
	for i, c := range silent {
		resp, err := http.Get(fmt.Sprintf("http://%s%s?%d", addr, "/-/ready", i))
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v; want 200", resp, err)
		}
		resp.Body.Close()
		http.DefaultClient.CloseIdleConnections()
		if got, err := io.ReadAll(c); len(got) > 0 || err != nil {
			t.Errorf("silent client %d: got %q, %v; want the end of the connection", i, got, err)
		}
	}
}

// An IPv6 client uses a new address of its network for each connection. Loopback has only one such
// address, so the test passes other addresses to the listener. The requests of admitted clients can
// be read in small pieces.
func TestClientWithNewAddressesOfOneNet(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(&FrontLimits{Admission: admission.Config{MaxConnections: 20, MaxOverflow: 4, EvictFromLargest: true, MinRetryAfter: time.Second, RememberedAddresses: 10,
		PerAddress: admission.ClientLimit{Connections: 3}, PerNetwork: admission.ClientLimit{Connections: 5}, IdleTimeout: [3]time.Duration{time.Second, time.Second, time.Second}}})
	if err := l.listen(ln, false); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	admitted, refused := 0, 0
	for i := range 12 {
		c := dial(t, ln.Addr().String(), scripted.RequestText(fmt.Sprint("q", i), ""))
		fd, _, err := l.accept()
		if err != nil {
			t.Fatal(err)
		}
		from := netip.MustParseAddr("2001:db8::1").As16()
		from[7], from[15] = byte(i/4), byte(i) // three networks of one /48
		if cc := l.admitOpened(fd, netip.AddrPortFrom(netip.AddrFrom16(from), 0)); cc != nil {
			admitted++
			defer cc.Close()
			head := make([]byte, 4)
			if _, err := io.ReadFull(cc, head); err != nil || string(head) != "POST" {
				t.Errorf("client %d: the request begins with %q, %v; want POST", i, head, err)
			}
			continue
		}
		if got, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 429 ") {
			t.Errorf("client %d got %q, %v; want status 429", i, got, err)
		}
		refused++
	}
	if admitted != 5 || refused != 7 {
		t.Errorf("%d clients admitted, %d rejected; want 5 and 7", admitted, refused)
	}
}

// A request whose body is still being sent is rejected at once, and the rest of the body does not
// make the client lose the answer.
func TestRejectionOfAHalfSentRequestArrives(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(&FrontLimits{Admission: admission.Config{MaxConnections: 20, MaxOverflow: 4, EvictFromLargest: true, MinRetryAfter: time.Second, PerAddress: admission.ClientLimit{ConnectionsPerSecond: 1},
		IdleTimeout: [3]time.Duration{time.Second, time.Second, time.Second}}})
	if err := l.listen(ln, false); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for i := range 4 {
		c := dial(t, ln.Addr().String(), "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 60000\r\n\r\n{")
		fd, from, err := l.accept()
		if err != nil {
			t.Fatal(err)
		}
		if cc := l.admitOpened(fd, from); (cc != nil) != (i == 0) {
			t.Fatalf("client %d: admitted: %v; want only client 0 admitted", i, cc != nil)
		} else if cc != nil {
			defer cc.Close()
			continue
		}
		io.WriteString(c, strings.Repeat(" ", 59999))
		if got, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 429 ") {
			t.Errorf("client %d got %q, %v; want status 429", i, got, err)
		}
	}
}
