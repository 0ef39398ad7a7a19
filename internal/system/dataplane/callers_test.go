package dataplane

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// trialCount is the number of random trials. Each takes two seconds, most of which it waits, and
// several run in parallel.
var trialCount = flag.Int("caller-plays", 8, "number of random trials with clients and faulty hosts")

const (
	clientsPerTrial      = 6
	requestsPerClient    = 10 // per client, sent one after the other or several at once
	requestDeadline      = 700 * time.Millisecond
	maxArrivalAfterLeave = 500 * time.Millisecond // a request may reach a host until so long after its client disconnected
	settleTime           = 900 * time.Millisecond // wait after the last answer, for requests that are still running
)

// fault is what a host does with one request.
type fault int

// The faults of a host.
const (
	noFault fault = iota
	inPieces
	interim
	extraAnswer   // the answer is sent twice in a row
	earlierAnswer // an answer to the previous request is sent before the answer
	lateAnswer    // the answer is sent again while the connection is idle
	resetUnanswered
	closedUnanswered
	cutByClose
	cutByReset
	noLength
	noLengthReset
	garbage
	missingRequestID
	notExecuted
	misdirected
	ownError
	falseRejection // the host answers 503 although it has executed the request
	silent
	closesAfter
	earlyAnswer // the host answers before it reads the rest of the body
	faultCount
)

// requestRecord is a request with what its client received.
type requestRecord struct {
	id       string
	path     string
	left     time.Time // when the client disconnected, zero if it did not
	status   int       // 0 if the client received no complete head
	body     string
	complete bool // whether the client received the complete answer
	seal     string
	answered string // the request ID in the answer
}

// recorder records which requests hosts received and executed, and what clients received.
type recorder struct {
	mu         sync.Mutex
	executions map[string]int // by request ID: how often a host began to execute it
	arrivals   map[string][]time.Time
	bodies     map[string]string // as hosts received them
	requests   []*requestRecord
}

func newRecorder() *recorder {
	return &recorder{executions: map[string]int{}, arrivals: map[string][]time.Time{}, bodies: map[string]string{}}
}

func (l *recorder) arrived(id, body string, runs bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], time.Now())
	l.bodies[id] = body
	if runs {
		l.executions[id]++
	}
}

func (l *recorder) add(c *requestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, c)
}

// atMostOnce reports whether a request may execute at most once.
func (c *requestRecord) atMostOnce() bool { return strings.HasPrefix(c.path, "/unsafe/") }

// bodyFor returns the body of a host's answer to a request.
func bodyFor(id string) string { return "for " + id + strings.Repeat(" .", 40) }

// requestBody returns the body of a request.
func requestBody(id string) string { return "body of " + id + strings.Repeat("-", 300) }

// promisesNotExecuted reports whether a status states that a request was not executed and never
// will be.
func promisesNotExecuted(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// check returns an error for the first violation that it finds in the records.
func (l *recorder) check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked := map[string]bool{}
	for _, c := range l.requests {
		asked[c.id] = true
		if err := l.checkRequest(c); err != nil {
			return fmt.Errorf("%s %s: %w", c.path, c.id, err)
		}
	}
	for id, body := range l.bodies {
		if !asked[id] {
			return fmt.Errorf("a host received request %s, which no client sent", id)
		}
		if body != requestBody(id) {
			return fmt.Errorf("a host received the wrong body %q for request %s", body, id)
		}
	}
	return nil
}

func (l *recorder) checkRequest(c *requestRecord) error {
	runs := l.executions[c.id]
	switch {
	case c.atMostOnce() && runs > 1:
		return fmt.Errorf("it executed %d times, at most 1 is allowed", runs)
	case c.atMostOnce() && promisesNotExecuted(c.status) && runs > 0:
		return fmt.Errorf("its client received status %d although it executed", c.status)
	case c.answered != "" && c.answered != c.id:
		return fmt.Errorf("its client received the answer to request %s", c.answered)
	}
	if c.status/100 == 2 && c.complete && (c.body != bodyFor(c.id) || c.seal == "") {
		return fmt.Errorf("its client received body %q with seal %q as a complete answer", c.body, c.seal)
	}
	if c.left.IsZero() {
		return nil
	}
	for _, at := range l.arrivals[c.id] {
		if late := at.Sub(c.left); late > maxArrivalAfterLeave {
			return fmt.Errorf("it reached a host %v after its client disconnected", late)
		}
	}
	return nil
}

// faultyHost is a host that treats about half of its requests with a random fault.
type faultyHost struct {
	id         string
	recorder   *recorder
	mu         sync.Mutex
	rng        *rand.Rand
	previousID string // ID of the previous request, on any connection
}

func (h *faultyHost) randN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rng.IntN(n)
}

// listen starts the host, which serves until the test ends.
func (h *faultyHost) listen(t *testing.T) *host {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go h.serve(c.(*net.TCPConn))
		}
	}()
	return &host{id: h.id, addr: ln.Addr().String()}
}

// idleTime is how long a host keeps an idle connection open.
const idleTime = 150 * time.Millisecond

func (h *faultyHost) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(idleTime))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Now().Add(time.Second))
		kind := fault(0)
		if h.randN(2) == 0 {
			kind = fault(h.randN(int(faultCount)))
		}
		id := r.Header.Get("Request-Id")
		if kind == earlyAnswer {
			h.send(c, h.head(id, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "")) // rejects the request before it reads the body
		}
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		runs := kind != notExecuted && kind != misdirected && kind != earlyAnswer
		h.recorder.arrived(id, string(text), runs)
		if kind != earlyAnswer && !h.answer(c, id, kind) {
			return
		}
		h.mu.Lock()
		h.previousID = id
		h.mu.Unlock()
	}
}

// head returns a complete answer, with its body.
func (h *faultyHost) head(id string, status int, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, h.id, extra, len(body), body)
}

func (h *faultyHost) send(c net.Conn, text string) { io.WriteString(c, text) }

// answer answers a request with a fault, and reports whether the connection stays open.
func (h *faultyHost) answer(c *net.TCPConn, id string, kind fault) (keepOpen bool) {
	whole := h.head(id, http.StatusOK, "", bodyFor(id))
	unframed := fmt.Sprintf("HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n\r\n%s", id, h.id, bodyFor(id))
	h.mu.Lock()
	before := h.previousID
	h.mu.Unlock()
	switch kind {
	case inPieces:
		for len(whole) > 0 {
			n := 1 + h.randN(len(whole))
			h.send(c, whole[:n])
			whole = whole[n:]
			time.Sleep(time.Duration(h.randN(3)) * time.Millisecond) // so that the pieces are sent in separate packets
		}
	case interim:
		h.send(c, "HTTP/1.1 102 Processing\r\n\r\n"+whole)
	case extraAnswer:
		h.send(c, whole+whole)
	case earlierAnswer:
		if before != "" {
			h.send(c, h.head(before, http.StatusOK, "", bodyFor(before)))
		}
		h.send(c, whole)
	case lateAnswer:
		h.send(c, whole)
		time.Sleep(time.Duration(h.randN(20)) * time.Millisecond)
		h.send(c, whole)
	case resetUnanswered:
		c.SetLinger(0)
		return false
	case closedUnanswered:
		return false
	case cutByClose, cutByReset:
		h.send(c, whole[:h.randN(len(whole))])
		if kind == cutByReset {
			c.SetLinger(0)
		}
		return false
	case noLength:
		h.send(c, unframed)
		return false
	case noLengthReset:
		h.send(c, unframed[:len(unframed)-1-h.randN(40)])
		c.SetLinger(0)
		return false
	case garbage:
		h.send(c, "nothing that is known\r\n\r\n")
		return false
	case missingRequestID:
		h.send(c, "HTTP/1.1 200 X\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\nfor")
		return false
	case notExecuted:
		h.send(c, h.head(id, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", ""))
	case misdirected:
		h.send(c, h.head(id, http.StatusMisdirectedRequest, "", ""))
	case ownError:
		h.send(c, h.head(id, http.StatusInternalServerError, "", "failed"))
	case falseRejection:
		h.send(c, h.head(id, http.StatusServiceUnavailable, "", "failed"))
	case silent:
		time.Sleep(requestDeadline + 100*time.Millisecond)
		return false
	case closesAfter:
		h.send(c, h.head(id, http.StatusOK, "Connection: close\r\n", bodyFor(id)))
		return false
	default:
		h.send(c, whole)
	}
	return true
}

// randomClient sends requests, sometimes several at once on one connection, and sometimes
// disconnects before the answers.
type randomClient struct {
	name     string
	addr     string
	rng      *rand.Rand
	recorder *recorder
}

func (c *randomClient) run() {
	for sent := 0; sent < requestsPerClient; {
		n := 1
		if c.rng.IntN(3) == 0 {
			n += c.rng.IntN(3)
		}
		var batch []*requestRecord
		for range n {
			path := []string{"/safe/x", "/unsafe/x", "/unsafe/y"}[c.rng.IntN(3)]
			batch = append(batch, &requestRecord{id: fmt.Sprintf("%s-%d", c.name, sent), path: path})
			sent++
		}
		c.exchange(batch)
		for _, x := range batch {
			c.recorder.add(x)
		}
	}
}

// exchange sends requests on one connection without waiting for answers in between, and then reads
// the answers.
func (c *randomClient) exchange(batch []*requestRecord) {
	nc, err := net.Dial("tcp", c.addr)
	if err != nil {
		return
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
	var out strings.Builder
	for _, x := range batch {
		body := requestBody(x.id)
		fmt.Fprintf(&out, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s",
			x.path, x.id, requestDeadline.Milliseconds(), len(body), body)
	}
	io.WriteString(nc, out.String())
	if c.rng.IntN(8) == 0 {
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond) // the client disconnects after a short time
		nc.Close()
		for _, x := range batch {
			x.left = time.Now()
		}
		return
	}
	in := bufio.NewReader(nc)
	for _, x := range batch {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		text, err := io.ReadAll(resp.Body)
		x.status, x.body, x.complete = resp.StatusCode, string(text), err == nil && resp.ContentLength >= 0
		x.seal, x.answered = resp.Header.Get("Response-Seal"), resp.Header.Get("Request-Id")
		if err != nil || resp.Close {
			return
		}
	}
}

// runTrial lets clients send requests to a router with faulty hosts, and checks the records.
func runTrial(t *testing.T, seed uint64) (*recorder, error) {
	t.Helper()
	l := newRecorder()
	var hosts []*host
	for i := range 3 {
		h := &faultyHost{id: fmt.Sprintf("i-%d", i), recorder: l, rng: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		hosts = append(hosts, h.listen(t))
	}
	f := newFleet(t, "", hosts...)
	var clients sync.WaitGroup
	for i := range clientsPerTrial {
		c := &randomClient{name: fmt.Sprintf("s%dc%d", seed, i), addr: f.addr, rng: rand.New(rand.NewPCG(seed, uint64(i))), recorder: l}
		clients.Go(c.run)
	}
	clients.Wait()
	time.Sleep(settleTime) // to detect requests that execute later than allowed
	return l, l.check()
}

// Hosts cut answers at any byte, answer twice or early, send nothing, and close or reset
// connections. Clients send several requests at once and disconnect. Each answer must belong to its
// request, an unsafe request executes at most once and not at all if its client was told so, no
// short answer looks complete, and no request is sent to a host long after its client disconnected.
func TestFaultyHostsAndClients(t *testing.T) {
	var served atomic.Int64
	for seed := range uint64(*trialCount) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			l, err := runTrial(t, seed)
			if err != nil {
				t.Error(err)
			}
			for _, c := range l.requests {
				if c.status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	t.Cleanup(func() {
		if n := served.Load(); n < int64(10**trialCount) {
			t.Errorf("only %d requests were served", n)
		}
	})
}

// The checker detects each kind of violation.
func TestCheckerFindsWrongAnswers(t *testing.T) {
	now := time.Now()
	valid := func() (*recorder, *requestRecord) {
		l := newRecorder()
		c := &requestRecord{id: "a", path: "/unsafe/x", status: 200, body: bodyFor("a"), complete: true, seal: "s", answered: "a"}
		l.executions["a"], l.arrivals["a"], l.bodies["a"], l.requests = 1, []time.Time{now}, requestBody("a"), []*requestRecord{c}
		return l, c
	}
	for name, corrupt := range map[string]func(l *recorder, c *requestRecord){
		"no violation":                            nil,
		"unsafe request executed twice":           func(l *recorder, _ *requestRecord) { l.executions["a"] = 2 },
		"503 although it executed":                func(_ *recorder, c *requestRecord) { c.status = http.StatusServiceUnavailable },
		"answer to another request":               func(_ *recorder, c *requestRecord) { c.answered = "b" },
		"answer with the body of another request": func(_ *recorder, c *requestRecord) { c.body = bodyFor("b") },
		"short answer looks complete":             func(_ *recorder, c *requestRecord) { c.body = c.body[:5] },
		"no seal":                                 func(_ *recorder, c *requestRecord) { c.seal = "" },
		"sent long after the client disconnected": func(_ *recorder, c *requestRecord) { c.left = now.Add(-time.Second) },
		"request that no client sent":             func(l *recorder, _ *requestRecord) { l.bodies["b"] = requestBody("b") },
		"changed request body":                    func(l *recorder, _ *requestRecord) { l.bodies["a"] = "x" },
		"request with the body of another one":    func(l *recorder, _ *requestRecord) { l.bodies["a"] = requestBody("b") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, c := valid()
			if corrupt == nil {
				is.NoErr(l.check())
				return
			}
			corrupt(l, c)
			is.True(l.check() != nil)
		})
	}
}
