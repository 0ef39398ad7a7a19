package dataplane

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/internal/admission"
	"reachspread/internal/protocol"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
	"reachspread/internal/system/settings"
	"reachspread/internal/transport"
)

// testTimeout bounds each wait of a test. A passing test never waits that long.
const testTimeout = 10 * time.Second

// warningLog keeps log lines of level warn and discards the others.
type warningLog struct {
	mu  sync.Mutex
	all []string
}

func (w *warningLog) Info(string, ...any) {}

func (w *warningLog) Warn(event string, fields ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, fmt.Sprint(event, fields))
}

func (w *warningLog) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.all, "; ")
}

// quotas is a quota with units that are left, shared by all tenants.
type quotas struct {
	mu   sync.Mutex
	left float64
	put  float64
}

func (q *quotas) Take(_ *configuration.Tenant, units float64) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.left < units {
		return false, 250 * time.Millisecond
	}
	q.left -= units
	return true, 0
}

func (q *quotas) Put(_ *configuration.Tenant, units float64, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.put += units
}

// received is a request as a host received it.
type received struct {
	*http.Request
	text string // body
	n    int    // position among the host's requests, from 0
}

// host is a scripted host. It answers each request with the bytes that script returns, and closes
// the connection if they end with hangUp.
type host struct {
	id     string
	addr   string
	conns  atomic.Int32 // connections accepted so far
	mu     sync.Mutex
	served []received
	script func(r received) string
}

// hangUp at the end of a script's bytes tells the host to close the connection.
const hangUp = "\x00"

func newHost(t *testing.T, id string, script func(r received) string) *host {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &host{id: id, addr: ln.Addr().String(), script: script}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.conns.Add(1)
			go h.serve(c)
		}
	}()
	return h
}

func (h *host) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		h.mu.Lock()
		s := received{r, string(text), len(h.served)}
		h.served = append(h.served, s)
		h.mu.Unlock()
		out, hangsUp := strings.CutSuffix(h.script(s), hangUp)
		io.WriteString(c, out)
		if hangsUp {
			return
		}
	}
}

func (h *host) requests() []received {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]received(nil), h.served...)
}

// answer returns a complete answer of a host to a request.
func answer(r received, status int, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("Request-Id"), r.Header.Get("Expected-Instance"), extra, len(body), body)
}

// stream returns the head of a stream and its events. Each event is a chunk; an empty event ends
// the stream.
func stream(r received, events ...string) string {
	out := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Request-Id"), r.Header.Get("Expected-Instance"))
	for _, e := range events {
		out += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	return out
}

func event(id int, text string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, text) }

// fleet is a plane with a front for clients and hosts of service s.
type fleet struct {
	plane   *Plane
	servers *transport.Servers
	front   *transport.Front
	addr    string
	quotas  *quotas
	fresh   atomic.Bool
	newest  atomic.Bool

	revision uint64 // added to the registry's revision in the last call of register
	log      warningLog
}

const routes = `{"version":1,"routes":[
 {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":4000,"targetLatencyMs":2000,"service":"s","maxAttempts":3},
 {"name":"unsafe","host":"h.example","pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":2000,"service":"s","maxAttempts":1,"priority":2},
 {"name":"stream","host":"h.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":2000,"service":"s","maxAttempts":2},
 {"name":"resumed","host":"h.example","pathPrefix":"/resumed/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":2000,"service":"s","maxAttempts":3,"streamResumption":true},
 {"name":"open","host":"h.example","pathPrefix":"/open/","kind":"safe","timeoutMs":4000,"service":"s","public":true},
 {"name":"empty","host":"h.example","pathPrefix":"/empty/","kind":"safe","timeoutMs":4000,"service":"t"}],
 "services":[{"name":"s"},{"name":"t"}],"limits":{"maxBodyBytes":1000,"idleTimeoutMs":5000}%s}`

const keyed = `,"tenants":[{"name":"x","apiKeys":["k1"],"priority":1,"unit":"tokens","uncachedTokens":200,"ratePerS":1000,"burst":1000}]`

// newFleet returns a fleet whose router started an hour ago and so does not count as starting.
func newFleet(t *testing.T, extra string, hosts ...*host) *fleet {
	t.Helper()
	return newFleetStartedAt(t, time.Now().Add(-time.Hour), extra, hosts...)
}

func newFleetStartedAt(t *testing.T, startedAt time.Time, extra string, hosts ...*host) *fleet {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	f := &fleet{quotas: &quotas{left: 1e9}}
	f.fresh.Store(true)
	f.newest.Store(true)
	s := &settings.Settings{Zone: "a", Bounds: settings.Bounds{RetryBudgetRatio: 5, RetryBudgetSlack: 100}}
	servers := transport.NewServers(transport.ServerLimits{ConnectTimeout: time.Second, Keepalive: time.Minute, StreamIdleTimeout: time.Second, Connections: 50,
		Dialect: protocol.Fleet{}}, &f.log)
	f.servers = servers
	f.plane = New(ctx, Options{Settings: func() *settings.Settings { return s }, Servers: servers, Quotas: f.quotas, Fresh: func() bool { return f.fresh.Load() }, Newest: func() bool { return f.newest.Load() }, Log: &f.log, StartedAt: startedAt})
	f.front = transport.NewIntakeFront(f.plane, transport.FrontLimits{BodyBytes: 1 << 20, Admission: admission.Config{MaxConnections: 100, MaxOverflow: 8}})
	f.front.SetKeepAlive(true)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = ln.Addr().String()
	t.Cleanup(func() { ln.Close() })
	go f.front.Serve(ln, false)
	if extra != "none" {
		f.configure(t, fmt.Sprintf(routes, extra))
	}
	f.hosts(hosts...)
	return f
}

func (f *fleet) configure(t *testing.T, text string) {
	t.Helper()
	state, err := configuration.Next(nil, &message.Order{Kind: message.Order_PUT, Body: []byte(text)})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.plane.Configure(state); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) hosts(hosts ...*host) {
	registry := instances.New(time.Second)
	var all []*message.Instance
	for _, h := range hosts {
		all = append(all, &message.Instance{Id: h.id, Service: "s", Address: h.addr, Zone: "a"})
	}
	registry.Merge(0, all)
	f.plane.SetHosts("s", registry.Revision(), registry.Records("s"), 0)
}

// clientAnswer is an answer as a client received it. If the answer was cut, err is not nil.
type clientAnswer struct {
	*http.Response
	body string
	err  error
}

// call sends one request on a new connection.
func (f *fleet) call(t *testing.T, path, body string, header ...string) clientAnswer {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return f.on(t, c, path, body, header...)
}

func (f *fleet) on(t *testing.T, c net.Conn, path, body string, header ...string) clientAnswer {
	t.Helper()
	c.SetDeadline(time.Now().Add(testTimeout))
	head := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n"
	named := false
	for _, h := range header {
		head += h + "\r\n"
		named = named || strings.HasPrefix(h, "Request-Id")
	}
	if !named {
		head += "Request-Id: q1\r\n"
	}
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return clientAnswer{&http.Response{Header: http.Header{}}, "", err}
	}
	text, err := io.ReadAll(resp.Body)
	return clientAnswer{resp, string(text), err}
}

// The router forwards a request's method, path, query, body and headers unchanged, except for the
// headers that it sets itself. It forwards the answer unchanged, whatever its status.
func TestRequestIsForwarded(t *testing.T) {
	is := is.New(t)
	h := newHost(t, "i-1", func(r received) string { return answer(r, 202, "X-Own: 1\r\nContent-Type: a/b\r\n", "hello "+r.text) })
	f := newFleet(t, keyed, h)
	a := f.call(t, "/safe/x?y=1", "body", "Authorization: Bearer k1", "Tenant: forged", "Model: m", "Connection: X-Hop", "X-Hop: 1", "X-Kept: 2",
		"Request-Deadline: 3000", "Expected-Instance: forged", "Priority: 0", "Request-Id: abc")
	is.NoErr(a.err)
	is.Equal(a.StatusCode, 202)
	is.Equal(a.body, "hello body")
	is.Equal(a.Header.Get("Response-Seal"), "seal-i-1")
	is.Equal(a.Header.Get("X-Own"), "1")
	is.Equal(a.Header.Get("Content-Type"), "a/b")
	is.Equal(a.Header.Get("Request-Id"), "abc")
	r := h.requests()[0]
	is.Equal(r.Method+" "+r.RequestURI+" "+r.Host, "POST /safe/x?y=1 h.example")
	for name, want := range map[string]string{"Authorization": "", "X-Hop": "", "X-Kept": "2", "Model": "m", "Tenant": "x", "Request-Id": "abc",
		"Expected-Instance": "i-1", "Priority": "3"} {
		if got := strings.Join(r.Header.Values(name), "|"); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	var left int
	fmt.Sscan(r.Header.Get("Request-Deadline"), &left)
	is.True(left > 1000 && left <= 3000)
}

// A chunked body reaches the host complete.
func TestChunkedBodyIsForwarded(t *testing.T) {
	is := is.New(t)
	h := newHost(t, "i-1", func(r received) string { return answer(r, 200, "", r.text) })
	f := newFleet(t, "", h)
	c, err := net.Dial("tcp", f.addr)
	is.NoErr(err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(text), "abcde")
}

// The router itself answers requests that the configuration does not allow or that it can't use.
func TestAnswersOfTheRouter(t *testing.T) {
	h := newHost(t, "i-1", func(r received) string { return answer(r, 200, "", "ok") })
	f := newFleet(t, keyed, h)
	for name, c := range map[string]struct {
		path, body string
		header     []string
		status     int
	}{
		"no route":             {"/nothing/", "", nil, 404},
		"no key":               {"/safe/", "", nil, 401},
		"a foreign key":        {"/safe/", "", []string{"Authorization: Bearer k2"}, 401},
		"public without key":   {"/open/", "", nil, 200},
		"too long":             {"/safe/", strings.Repeat("x", 1001), []string{"Authorization: Bearer k1"}, 413},
		"no id":                {"/safe/", "", []string{"Authorization: Bearer k1", "Request-Id:"}, 400},
		"invalid usage":        {"/safe/", "", []string{"Authorization: Bearer k1", "Token-Usage: many"}, 400},
		"no host of a service": {"/empty/", "", []string{"Authorization: Bearer k1"}, 503},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := f.call(t, c.path, c.body, c.header...)
			is.Equal(a.StatusCode, c.status)
			if c.status == 503 {
				is.True(a.Header.Get("Retry-After") != "")
			}
		})
	}
}

// Without a configuration the router never answers 401, 403 or 404. With an old configuration it
// honours no API key, but still serves public routes.
func TestRejectedWhileTooLittleIsKnown(t *testing.T) {
	is := is.New(t)
	h := newHost(t, "i-1", func(r received) string { return answer(r, 200, "", "ok") })
	f := newFleet(t, "none", h)
	is.Equal(f.call(t, "/nothing/", "").StatusCode, 503)
	f.configure(t, fmt.Sprintf(routes, keyed))
	f.hosts(h)
	is.Equal(f.call(t, "/safe/", "", "Authorization: Bearer k1").StatusCode, 200)
	f.fresh.Store(false)
	is.Equal(f.call(t, "/safe/", "", "Authorization: Bearer k1").StatusCode, 503)
	is.Equal(f.call(t, "/open/", "").StatusCode, 200)
	is.Equal(len(h.requests()), 2)
	f.fresh.Store(true)
	refusals := func() (all []int) {
		for _, path := range []string{"/nothing/", "/safe/"} {
			got := f.call(t, path, "", "Authorization: Bearer unknown")
			is.Equal(got.StatusCode == 503, got.Header.Get("Retry-After") != "")
			all = append(all, got.StatusCode)
		}
		return all
	}
	is.Equal(refusals(), []int{404, 401})
	f.newest.Store(false) // keys are still honoured, but a newer configuration may have added the unknown key
	is.Equal(refusals(), []int{503, 503})
	is.Equal(f.call(t, "/safe/", "", "Authorization: Bearer k1").StatusCode, 200)
}

// A tenant over its quota gets a Retry-After, and its connection stays open. The units of a request
// that was not executed are returned.
func TestQuotaRejectsAndRefunds(t *testing.T) {
	is := is.New(t)
	h := newHost(t, "i-1", func(r received) string {
		if r.n == 0 {
			return answer(r, 200, "", "ok")
		}
		return "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	})
	f := newFleet(t, keyed, h)
	f.quotas.left = 1750
	key := "Authorization: Bearer k1"
	c, err := net.Dial("tcp", f.addr)
	is.NoErr(err)
	defer c.Close()
	is.Equal(f.on(t, c, "/safe/", "", key, "Token-Usage: 1000,500").StatusCode, 200)
	over := f.on(t, c, "/safe/", "", key, "Token-Usage: 1000,500", "Request-Id: q2")
	is.Equal(over.StatusCode, 429)
	is.Equal(over.Header.Get("Retry-After"), "0.250")
	is.Equal(f.on(t, c, "/unsafe/", "", key, "Request-Id: q3", "Request-Deadline: 300").StatusCode, 503) // takes 200 units by default, and is not executed
	is.Equal(f.quotas.put, 200.0)
	is.Equal(len(h.requests()) >= 2, true)
}

// A host's error is forwarded to the client if the request may not be retried. An idempotent request
// is retried at another host.
func TestFailures(t *testing.T) {
	is := is.New(t)
	bad := newHost(t, "i-bad", func(r received) string { return answer(r, 500, "", "broken") })
	f := newFleet(t, "", bad)
	a := f.call(t, "/unsafe/", "x")
	is.Equal(a.StatusCode, 500)
	is.Equal(a.Header.Get("Response-Seal"), "seal-i-bad")
	is.Equal(a.body, "broken")
	is.Equal(len(bad.requests()), 1)
	good := newHost(t, "i-good", func(r received) string { return answer(r, 200, "", "fine") })
	f = newFleet(t, "", bad, good)
	for range 10 {
		a := f.call(t, "/safe/", "x")
		is.Equal(a.StatusCode, 200)
		is.Equal(a.body, "fine")
	}
}

// An unsafe request that may have executed is not retried, and its answer does not promise that it
// was not executed. An unsafe request that was not executed is sent to another host.
func TestUnsafeRequestExecutesOnce(t *testing.T) {
	is := is.New(t)
	for _, script := range []string{hangUp, "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 10\r\n\r\nhalf" + hangUp, "nonsense\r\n\r\n" + hangUp} {
		one := newHost(t, "i-1", func(received) string { return script })
		two := newHost(t, "i-2", func(received) string { return script })
		f := newFleet(t, "", one, two)
		a := f.call(t, "/unsafe/", "x")
		is.True(a.StatusCode == 502)
		is.Equal(len(one.requests())+len(two.requests()), 1)
	}
	for _, script := range []string{"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 421 X\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n"} {
		one := newHost(t, "i-1", func(received) string { return script })
		two := newHost(t, "i-2", func(r received) string { return answer(r, 200, "", "ok") })
		f := newFleet(t, "", one, two)
		for i := range 4 {
			is.Equal(f.call(t, "/unsafe/", "x", fmt.Sprint("Request-Id: q", i)).StatusCode, 200)
		}
	}
}

// A second answer to an earlier request, which arrives before the answer to the next request, is
// not forwarded to any client.
func TestSurplusBytesAfterAnAnswer(t *testing.T) {
	is := is.New(t)
	var before received
	h := newHost(t, "i-1", func(r received) string {
		if r.n == 0 {
			before = r
			return answer(r, 200, "", "first")
		}
		return answer(before, 200, "", "first again") + answer(r, 200, "", "second")
	})
	f := newFleet(t, "", h)
	is.Equal(f.call(t, "/unsafe/", "x", "Request-Id: q1").body, "first")
	is.Equal(f.call(t, "/unsafe/", "x", "Request-Id: q2").body, "second")
}

// Only complete events are forwarded, unchanged, and a stream that breaks never looks complete to
// the client.
func TestStream(t *testing.T) {
	is := is.New(t)
	whole := newHost(t, "i-1", func(r received) string { return stream(r, event(1, "a"), event(2, "b"), "") })
	a := newFleet(t, "", whole).call(t, "/stream/", "x")
	is.NoErr(a.err)
	is.Equal(a.body, event(1, "a")+event(2, "b"))
	is.Equal(a.Header.Get("Content-Type"), "text/event-stream")
	cut := newHost(t, "i-1", func(r received) string { return stream(r, event(1, "a"), "id: 2\ndata: hal") + hangUp })
	a = newFleet(t, "", cut).call(t, "/stream/", "x")
	is.True(a.err != nil)
	is.Equal(a.body, event(1, "a"))
	is.Equal(len(cut.requests()), 1)
	back := newHost(t, "i-1", func(r received) string { return stream(r, event(2, "a"), event(1, "b"), "") })
	a = newFleet(t, "", back).call(t, "/stream/", "x")
	is.True(a.err != nil) // the stream is cut because event IDs must increase
}

// A broken stream is resumed at another host after the last complete event, within the same answer.
// The client sees only the first head.
func TestBrokenStreamResumes(t *testing.T) {
	is := is.New(t)
	script := func(r received) string {
		switch r.Header.Get("Last-Event-Id") {
		case "":
			return stream(r, event(1, "a"), event(2, "b"), "id: 3\ndata: hal") + hangUp
		case "2":
			return stream(r, event(3, "c"), event(4, "d"), "")
		}
		return hangUp
	}
	one, two := newHost(t, "i-1", script), newHost(t, "i-2", script)
	f := newFleet(t, "", one, two)
	a := f.call(t, "/resumed/", "x", "Request-Id: abc")
	is.NoErr(a.err)
	is.Equal(a.body, event(1, "a")+event(2, "b")+event(3, "c")+event(4, "d"))
	all := append(one.requests(), two.requests()...)
	is.Equal(len(all), 2)
	for _, r := range all {
		is.Equal(r.Header.Get("Request-Id"), "abc")
		is.Equal(r.text, "x")
	}
	first := one
	if len(one.requests()) == 0 || one.requests()[0].Header.Get("Last-Event-Id") != "" {
		first = two
	}
	is.Equal(a.Header.Get("Response-Seal"), "seal-"+first.id)
}

// A stream uses at most as many attempts as its route allows. After that the client sees that the
// stream was cut.
func TestStreamResumesWithinItsAttempts(t *testing.T) {
	is := is.New(t)
	script := func(r received) string {
		var last int
		fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
		return stream(r, event(last+1, "x"), "id") + hangUp
	}
	one, two := newHost(t, "i-1", script), newHost(t, "i-2", script)
	f := newFleet(t, "", one, two)
	a := f.call(t, "/resumed/", "x")
	is.True(a.err != nil)
	is.Equal(len(one.requests())+len(two.requests()), 3)
	is.Equal(strings.Count(a.body, "data"), 3)
}

// A large answer is forwarded complete. If the host cuts it, the client sees that it was cut.
func TestLargeAnswer(t *testing.T) {
	is := is.New(t)
	large := strings.Repeat("0123456789abcdef", 16<<10)
	h := newHost(t, "i-1", func(r received) string { return answer(r, 200, "", large) })
	a := newFleet(t, "", h).call(t, "/unsafe/", "x")
	is.NoErr(a.err)
	is.True(a.body == large)
	h = newHost(t, "i-1", func(r received) string { return strings.TrimSuffix(answer(r, 200, "", large), "abcdef") + hangUp })
	a = newFleet(t, "", h).call(t, "/unsafe/", "x")
	is.True(a.err != nil)
}

// A draining host gets no new requests.
func TestDraining(t *testing.T) {
	is := is.New(t)
	ok := func(r received) string { return answer(r, 200, "", "ok") }
	one, two := newHost(t, "i-1", ok), newHost(t, "i-2", ok)
	f := newFleet(t, "", one, two)
	registry := instances.New(time.Second)
	registry.Merge(0, []*message.Instance{{Id: "i-1", Service: "s", Address: one.addr, State: message.Instance_DRAINING}, {Id: "i-2", Service: "s", Address: two.addr}})
	f.plane.SetHosts("s", 1000, registry.Records("s"), 0)
	for i := range 8 {
		is.Equal(f.call(t, "/safe/", "x", fmt.Sprint("Request-Id: q", i)).StatusCode, 200)
	}
	is.Equal(len(one.requests()), 0)
}

// Requests of a route with a traffic split go to its services in proportion to their weights.
func TestRouteIsSplitByWeight(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "none")
	f.configure(t, `{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","timeoutMs":5,"trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10},{"service":"u","weight":0}]}],`+
		`"services":[{"name":"s"},{"name":"t"},{"name":"u"}]}`)
	counts := map[string]int{}
	for range 1000 {
		counts[f.plane.pickService(f.plane.State().Typed.Routes[0]).name]++
	}
	is.True(counts["s"] > 800 && counts["t"] > 50)
	is.Equal(counts["u"], 0)
}

// Requests on one connection are answered in the order in which they were sent.
func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	h := newHost(t, "i-1", func(r received) string { return answer(r, 200, "", r.RequestURI) })
	f := newFleet(t, "", h)
	c, err := net.Dial("tcp", f.addr)
	is.NoErr(err)
	defer c.Close()
	var all bytes.Buffer
	for i := range 3 {
		fmt.Fprintf(&all, "POST /safe/%d HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q%d\r\nContent-Length: 0\r\n\r\n", i, i)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	c.Write(all.Bytes())
	in := bufio.NewReader(c)
	for i := range 3 {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(text), fmt.Sprintf("/safe/%d", i))
	}
}

// A request that arrives while the router is starting waits for a configuration, for the
// confirmation that the configuration is the newest, and for a host. If one of them does not arrive
// in time, the request is rejected. At a router that started long ago no request waits.
func TestRequestsWaitForAStartingRouter(t *testing.T) {
	is := is.New(t)
	h := newHost(t, "i-1", func(r received) string { return answer(r, 200, "", "whole") })
	f := newFleetStartedAt(t, time.Now(), "none")
	f.fresh.Store(false)
	const key = "Authorization: Bearer k1"
	answered := make(chan string, 1)
	go func() {
		got := f.call(t, "/safe/1", "body", key)
		answered <- fmt.Sprint(got.StatusCode, got.body)
	}()
	waits := func() {
		t.Helper()
		for f.plane.changes.count() == 0 {
			runtime.Gosched()
		}
		select {
		case got := <-answered:
			t.Fatalf("the request was answered before the router could serve it: %s", got)
		default:
		}
	}
	waits()
	f.newest.Store(false)
	f.configure(t, fmt.Sprintf(strings.Replace(routes, `"pathPrefix":"/safe/"`, `"pathPrefix":"/before/"`, 1), keyed)) // the old configuration from the router's disk
	waits()
	f.configure(t, fmt.Sprintf(strings.Replace(routes, `"version":1`, `"version":2`, 1), keyed))
	waits()
	f.newest.Store(true)
	f.fresh.Store(true)
	f.plane.Refreshed()
	waits()
	f.hosts(h)
	is.Equal(<-answered, "200whole")

	is.Equal(f.call(t, "/safe/1", "", key, "Request-Deadline: 2000").StatusCode, 200)
	f.fresh.Store(false)
	late := f.call(t, "/safe/1", "", key, "Request-Deadline: 20")
	is.Equal(late.StatusCode, 503)
	is.True(late.Header.Get("Retry-After") != "")
}
