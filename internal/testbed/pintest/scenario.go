package pintest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/internal/protocol"
)

// Configuration is the fleet configuration that scenarios use. It has a safe and an unsafe route,
// and API keys for two tenants.
const Configuration = `{"version":1,"routes":[
 {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":3000,"targetLatencyMs":500,"service":"s","maxAttempts":3},
 {"name":"unsafe","host":"h.example","pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"service":"s","maxAttempts":1}],
 "services":[{"name":"s"}],"tenants":[{"name":"x","apiKeys":["k"]},{"name":"y","apiKeys":["l"]}]}`

const (
	apiKey     = "k"
	clientHost = "h.example"

	connectTimeout  = time.Second
	requestTimeout  = 5 * time.Second
	requestInterval = 3 * time.Millisecond // time between two requests of one client
)

// SafePath and UnsafePath are the paths of the two routes. An unsafe request must be executed at
// most once.
const (
	SafePath   = "/safe/"
	UnsafePath = "/unsafe/"
)

// Scenario runs clients against the routers of a fleet while pins change. Only Send and Heartbeats
// may be called concurrently; one goroutine must call all other methods.
type Scenario struct {
	Fronts   []string // addresses of the routers for clients
	Controls []string // addresses of the routers' control planes
	Hosts    []*Host

	pins       []period
	stop       chan struct{}
	clients    sync.WaitGroup
	lastNumber atomic.Int64
	mu         sync.Mutex
	requests   []Request
}

// Request is a client's request with its answer.
type Request struct {
	ID, Path       string
	Router         int
	Sent, Answered time.Time
	Status         int // 0 if there was no answer
	Version        int64
	Text           string
	Complete       bool
}

// NewScenario returns a scenario for a fleet in which no pin was ever set.
func NewScenario(fronts, controls []string, hosts []*Host) *Scenario {
	return &Scenario{Fronts: fronts, Controls: controls, Hosts: hosts, stop: make(chan struct{}), pins: []period{{from: time.Now()}}}
}

// Requests returns the requests of the clients. It must be called after Finish.
func (s *Scenario) Requests() []Request { return s.requests }

// Send sends a request of tenant x to a router and reads the answer.
func (s *Scenario) Send(router int, path string) (a Request) {
	a = Request{ID: fmt.Sprint("q", s.lastNumber.Add(1)), Path: path, Router: router, Sent: time.Now()}
	defer func() { a.Answered = time.Now() }()
	c, err := net.DialTimeout("tcp", s.Fronts[router], connectTimeout)
	if err != nil {
		return a
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(requestTimeout))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx", path, clientHost, a.ID, Model, apiKey)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return a
	}
	text, err := io.ReadAll(resp.Body)
	a.Status, a.Text, a.Complete = resp.StatusCode, string(text), err == nil
	fmt.Sscan(resp.Header.Get(protocol.HeaderVersions), &a.Version)
	return a
}

// StartTraffic starts two clients for each router, one for each route. Finish stops them.
func (s *Scenario) StartTraffic() {
	for i := range s.Fronts {
		for _, path := range []string{SafePath, UnsafePath} {
			s.clients.Go(func() { s.runClient(i, path) })
		}
	}
}

// runClient sends requests to a router until Finish is called.
func (s *Scenario) runClient(router int, path string) {
	timer := time.NewTicker(requestInterval)
	defer timer.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-timer.C:
		}
		a := s.Send(router, path)
		s.mu.Lock()
		s.requests = append(s.requests, a)
		s.mu.Unlock()
	}
}

// Finish stops the clients and reports the violations among all their requests.
func (s *Scenario) Finish() Report {
	close(s.stop)
	s.clients.Wait()
	return s.findViolations()
}
