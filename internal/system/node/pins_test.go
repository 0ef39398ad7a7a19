package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/internal/system/controlapi"
)

// pinBound is the bound on the age of what keys are honoured by, in ms, where pins are played: each change of theirs takes so long.
const pinBound = 2000

const pinnedConfiguration = `{"version":1,"routes":[
 {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":3000,"targetLatencyMs":500,"service":"s","maxAttempts":3},
 {"name":"unsafe","host":"h.example","pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"service":"s","maxAttempts":1}],
 "services":[{"name":"s"}],"tenants":[{"name":"x","apiKeys":["k"]},{"name":"y","apiKeys":["l"]}]}`

// modelHost is a stand-in for a host of model m. It heeds Expect-Version, and may roll its weights, also without telling.
type modelHost struct {
	id, address string
	version     atomic.Int64 // of its weights
	registered  atomic.Int64 // that it tells of
	sequence    atomic.Int64

	mu  sync.Mutex
	ran map[string]int // by request
}

func newModelHost(t *testing.T, id string, version int64) *modelHost {
	t.Helper()
	h := &modelHost{id: id, ran: map[string]int{}}
	h.version.Store(version)
	h.registered.Store(version)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = ln.Addr().String()
	server := &http.Server{Handler: h}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return h
}

// ServeHTTP implements http.Handler.
func (h *modelHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id, version := r.Header.Get("Request-Id"), h.version.Load()
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Version"); want != "" && want != fmt.Sprint(version) {
		w.Header().Set("Not-Executed", "true")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.mu.Lock()
	h.ran[id]++
	h.mu.Unlock()
	w.Header().Set("Response-Seal", "seal")
	w.Header().Set("Versions", fmt.Sprint(version))
	fmt.Fprintf(w, "%d by %s", version, id)
}

// register has the host call a router.
func (h *modelHost) register(f *testFleet, router int) bool {
	body, _ := json.Marshal(map[string]any{"service": "s", "address": h.address, "zone": "z0", "state": "ready", "sequence": h.sequence.Add(1),
		"models": []map[string]any{{"name": "m", "version": h.registered.Load()}}})
	status, _ := f.call(router, http.MethodPut, "/instances/"+h.id, string(body), nil)
	return status == http.StatusOK
}

// pinned is a time in which a version may have been the chosen one: from before the order for it until after the next one was acknowledged.
type pinned struct {
	version int64 // 0 for any
	from    time.Time
	ordered time.Time // the order for the next one was sent
	until   time.Time // and was acknowledged; zero while it is not
}

// asked is a request of a client, with its answer.
type asked struct {
	id, path   string
	router     int
	sent, came time.Time
	status     int
	version    int64 // that the answer said
	text       string
	whole      bool
}

// pinStory is a fleet with clients on each router, and pins that change.
type pinStory struct {
	*testFleet
	t      *testing.T
	hosts  []*modelHost
	pins   []pinned
	stop   chan struct{}
	mu     sync.Mutex
	all    []asked
	number atomic.Int64
	group  sync.WaitGroup
}

func newPinStory(t *testing.T) *pinStory {
	t.Helper()
	s := &pinStory{testFleet: pinFleet(t), t: t, stop: make(chan struct{})}
	if status := s.order(http.MethodPut, pinnedConfiguration, 0, 0, 1); status != http.StatusOK {
		t.Fatal(status)
	}
	for i, version := range []int64{1, 1, 2, 2} {
		s.hosts = append(s.hosts, newModelHost(t, fmt.Sprint("i-", i), version))
	}
	s.registerAll()
	for i := range s.nodes {
		s.eventually("all serve", func() bool { return s.ask(i, "/safe/").status == http.StatusOK })
	}
	s.pins = []pinned{{from: time.Now()}}
	return s
}

// pinFleet is five routers, of which three keep the register.
func pinFleet(t *testing.T) *testFleet {
	t.Helper()
	return startBounded(t, 5, 3, pinBound)
}

func (s *pinStory) registerAll() {
	for _, h := range s.hosts {
		s.eventually("a host is registered", func() bool {
			for i := range s.nodes {
				if h.register(s.testFleet, i) {
					return true
				}
			}
			return false
		})
	}
}

// ask sends a request of tenant x for model m through a router.
func (s *pinStory) ask(router int, path string) (a asked) {
	a = asked{id: fmt.Sprint("q", s.number.Add(1)), path: path, router: router, sent: time.Now()}
	defer func() { a.came = time.Now() }()
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", s.nodes[router].ip, s.ports.front), time.Second)
	if err != nil {
		return a
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nModel: m\r\nAuthorization: Bearer k\r\nContent-Length: 1\r\n\r\nx", path, a.id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return a
	}
	text, err := io.ReadAll(resp.Body)
	a.status, a.text, a.whole = resp.StatusCode, string(text), err == nil
	fmt.Sscan(resp.Header.Get("Versions"), &a.version)
	return a
}

// traffic has clients ask on all routers until the story's end.
func (s *pinStory) traffic() {
	for i := range s.nodes {
		for _, path := range []string{"/safe/", "/unsafe/"} {
			s.group.Go(func() { s.client(i, path) })
		}
	}
}

func (s *pinStory) client(router int, path string) {
	pause := time.NewTicker(3 * time.Millisecond)
	defer pause.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-pause.C:
		}
		a := s.ask(router, path)
		s.mu.Lock()
		s.all = append(s.all, a)
		s.mu.Unlock()
	}
}

// change sets the pin p to a version, or lifts it for 0, as operators do: at one router after the other, until it is acknowledged.
func (s *pinStory) change(version int64) {
	s.t.Helper()
	last := &s.pins[len(s.pins)-1]
	last.ordered = time.Now()
	next := pinned{version: version, from: last.ordered}
	method, body := http.MethodPut, fmt.Sprintf(`{"tenant":"x","model":"m","version":%d,"by":"ann","why":"trial"}`, version)
	if version == 0 {
		method, body = http.MethodDelete, `{"by":"ann","why":"done"}`
	}
	base := fmt.Sprint(s.revision())
	until := time.Now().Add(patience)
	for try := 0; time.Now().Before(until); try++ {
		status, text := s.longCall(try%len(s.nodes), method, "/pins/p", body, base)
		if status == http.StatusOK {
			last.until = time.Now()
			s.pins = append(s.pins, next)
			return
		}
		if status/100 == 4 {
			s.t.Fatalf("the order for version %d is refused: %s", version, text)
		}
	}
	s.t.Fatal("an order is never acknowledged")
}

// revision is that of the pins in force.
func (s *pinStory) revision() int64 {
	var list controlapi.PinList
	s.eventually("the pins are read", func() bool {
		for i := range s.nodes {
			if status, text := s.call(i, http.MethodGet, "/pins", "", nil); status == http.StatusOK {
				return json.Unmarshal([]byte(text), &list) == nil
			}
		}
		return false
	})
	return list.Revision
}

// longCall is a call of the control plane that may be answered late.
func (s *pinStory) longCall(router int, method, path, body, ifMatch string) (int, string) {
	return s.callFor(10*time.Second, router, method, path, body, map[string]string{"If-Match": ifMatch})
}

// end stops the traffic, and judges all of it.
func (s *pinStory) end() {
	s.t.Helper()
	close(s.stop)
	s.group.Wait()
	served := 0
	for _, a := range s.all {
		if a.status != http.StatusOK {
			continue
		}
		served++
		if !a.whole || a.text != fmt.Sprintf("%d by %s", a.version, a.id) {
			s.t.Errorf("request %s got %q, whole %v", a.id, a.text, a.whole)
		}
		if !s.allowed(a) {
			s.t.Errorf("request %s, sent through router %d, was answered by version %d", a.id, a.router, a.version)
		}
	}
	s.judgeRuns()
	s.t.Logf("%d requests, %d served, %d changes of the pin", len(s.all), served, len(s.pins)-1)
	if served < len(s.all)/2 {
		s.t.Errorf("only %d of %d were served", served, len(s.all))
	}
}

// allowed tells whether the version that answered was the chosen one at some time between the request and its answer.
func (s *pinStory) allowed(a asked) bool {
	for _, p := range s.pins {
		began := !p.from.After(a.came)
		over := !p.until.IsZero() && p.until.Before(a.sent)
		if began && !over && (p.version == 0 || p.version == a.version) {
			return true
		}
	}
	return false
}

// judgeRuns looks for unsafe requests that ran twice.
func (s *pinStory) judgeRuns() {
	s.t.Helper()
	path := map[string]string{}
	for _, a := range s.all {
		path[a.id] = a.path
	}
	runs := map[string]int{}
	for _, h := range s.hosts {
		h.mu.Lock()
		for id, n := range h.ran {
			runs[id] += n
		}
		h.mu.Unlock()
	}
	for id, n := range runs {
		if n > 1 && path[id] == "/unsafe/" {
			s.t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// On live traffic, each request after a pin was set, moved or lifted is answered by the chosen version, whichever router gets it: while hosts
// roll their weights, tell what is not so, and routers with and without a disk end and come back.
func TestPinsOnLiveTraffic(t *testing.T) {
	s := newPinStory(t)
	folder := filepath.Dir(s.nodes[0].settings().DataDirectory)
	s.traffic()
	s.change(1)
	s.change(2)
	s.hosts[2].version.Store(3) // it rolls, and its registration says otherwise
	s.crash(4)
	s.change(1)
	s.start(4, folder, false)
	s.crash(0)
	s.change(2)
	s.start(0, folder, false)
	s.hosts[2].registered.Store(3)
	s.registerAll()
	s.change(3)
	s.crash(1)
	s.start(1, folder, false)
	s.change(0)
	s.end()
}

// After all routers have ended at once, the pins are in force as they were, and their history is there.
func TestPinsOutliveAll(t *testing.T) {
	is := is.New(t)
	s := newPinStory(t)
	s.change(2)
	folder := filepath.Dir(s.nodes[0].settings().DataDirectory)
	for i := range s.nodes {
		s.crash(i)
	}
	for i := range s.nodes {
		s.start(i, folder, false)
	}
	s.registerAll()
	for i := range s.nodes {
		s.eventually("each serves", func() bool {
			a := s.ask(i, "/safe/")
			if a.status == http.StatusOK && a.version != 2 {
				t.Errorf("router %d answers with version %d", i, a.version)
			}
			return a.status == http.StatusOK
		})
	}
	is.Equal(s.revision(), int64(1))
	status, text := s.call(0, http.MethodGet, "/pins/history", "", nil)
	is.Equal(status, 200)
	var history controlapi.PinHistory
	is.NoErr(json.Unmarshal([]byte(text), &history))
	is.Equal(history.Changes[0].Pin.Version, int64(2))
	is.Equal(history.Changes[0].By, "ann")
	figures := s.status(0).Pins
	is.Equal(figures.Revision, int64(1))
	is.Equal(figures.Pins[0].Hosts, 2)
	is.Equal(figures.Pins[0].Wrong, uint64(0))
}

// The judge finds answers of the wrong version.
func TestPinJudge(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	s := &pinStory{pins: []pinned{{from: at(0), ordered: at(10), until: at(12)}, {version: 2, from: at(10), ordered: at(20), until: at(22)}, {version: 1, from: at(20)}}}
	for _, c := range []struct {
		sent, came int
		version    int64
		allowed    bool
	}{
		{1, 2, 7, true},    // no pin yet
		{11, 11, 7, true},  // not acknowledged
		{13, 14, 7, false}, // acknowledged
		{13, 14, 2, true},
		{19, 21, 1, true}, // the next one came while it was on its way
		{19, 19, 1, false},
		{21, 21, 2, true},
		{23, 24, 2, false},
		{23, 24, 1, true},
	} {
		is.Equal(s.allowed(asked{sent: at(c.sent), came: at(c.came), version: c.version}), c.allowed)
	}
}
