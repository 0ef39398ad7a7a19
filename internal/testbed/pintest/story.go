package pintest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/internal/protocol"
	"reachspread/internal/system/controlapi"
)

// Configuration is one that the stories play on, with keys for tenant x.
const Configuration = `{"version":1,"routes":[
 {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":3000,"targetLatencyMs":500,"service":"s","maxAttempts":3},
 {"name":"unsafe","host":"h.example","pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"service":"s","maxAttempts":1}],
 "services":[{"name":"s"}],"tenants":[{"name":"x","apiKeys":["k"]},{"name":"y","apiKeys":["l"]}]}`

const (
	key        = "k"
	clientHost = "h.example"

	connectFor = time.Second
	askFor     = 5 * time.Second
	callFor    = 10 * time.Second
	callAgain  = 50 * time.Millisecond
	askEvery   = 3 * time.Millisecond
	mostReply  = 1 << 20
)

// Paths of the two routes: an unsafe request runs once.
const (
	SafePath   = "/safe/"
	UnsafePath = "/unsafe/"
)

// Story is clients on the routers of a fleet, and pins that change.
type Story struct {
	Fronts   []string // the routers' addresses for clients
	Controls []string // and those of their control planes
	Hosts    []*Host

	pins   []period
	stop   chan struct{}
	group  sync.WaitGroup
	number atomic.Int64
	mu     sync.Mutex
	asked  []Asked
}

// Asked is a request of a client, with its answer.
type Asked struct {
	ID, Path   string
	Router     int
	Sent, Came time.Time
	Status     int // 0 for no answer
	Version    int64
	Text       string
	Whole      bool
}

// NewStory is one in which no pin was ever set.
func NewStory(fronts, controls []string, hosts []*Host) *Story {
	return &Story{Fronts: fronts, Controls: controls, Hosts: hosts, stop: make(chan struct{}), pins: []period{{from: time.Now()}}}
}

// Configure puts the configuration.
func (s *Story) Configure(ctx context.Context) error {
	_, err := s.call(ctx, http.MethodPut, "/configuration", "0", []byte(Configuration))
	return err
}

// Register has all hosts tell of themselves.
func (s *Story) Register(ctx context.Context) error {
	for _, h := range s.Hosts {
		if _, err := s.call(ctx, http.MethodPut, "/instances/"+h.ID, "", h.registration("z0")); err != nil {
			return err
		}
	}
	return nil
}

// Heartbeats has the hosts that are up call again and again until ctx ends. A call that nobody takes is passed over.
func (s *Story) Heartbeats(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stop:
			return
		case <-tick.C:
		}
		for i, h := range s.Hosts {
			if !h.closed.Load() {
				s.callOne(ctx, i%len(s.Controls), http.MethodPut, "/instances/"+h.ID, "", h.registration("z0"))
			}
		}
	}
}

// Requests are those of the clients, once they have stopped.
func (s *Story) Requests() []Asked { return s.asked }

// call calls the control planes by turns until one answers for certain, as operators and hosts do.
func (s *Story) call(ctx context.Context, method, path, ifMatch string, body []byte) (text []byte, err error) {
	for attempt := 0; ; attempt++ {
		var status int
		status, text, err = s.callOne(ctx, attempt%len(s.Controls), method, path, ifMatch, body)
		switch {
		case status == http.StatusOK:
			return text, nil
		case status/100 == 4:
			return nil, fmt.Errorf("%s %s is refused with %d: %s", method, path, status, text)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%s %s: no certain answer, the last %d: %w", method, path, status, err)
		case <-time.After(callAgain):
		}
	}
}

func (s *Story) callOne(ctx context.Context, router int, method, path, ifMatch string, body []byte) (status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.Controls[router]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if ifMatch != "" {
		r.Header.Set("If-Match", ifMatch)
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(io.LimitReader(resp.Body, mostReply))
	return resp.StatusCode, text, err
}

// Revision is that of the pins in force.
func (s *Story) Revision(ctx context.Context) (int64, error) {
	text, err := s.call(ctx, http.MethodGet, "/pins", "", nil)
	if err != nil {
		return 0, err
	}
	var list controlapi.PinList
	err = json.Unmarshal(text, &list)
	return list.Revision, err
}

// Change sets the pin p of tenant x to a version, or lifts it for 0, and returns once that is acknowledged.
func (s *Story) Change(ctx context.Context, version int64) error {
	revision, err := s.Revision(ctx)
	if err != nil {
		return err
	}
	method := http.MethodPut
	order := controlapi.PinOrder{Tenant: "x", Model: Model, Version: version, By: "ann", Why: "trial"}
	if version == 0 {
		method, order = http.MethodDelete, controlapi.PinOrder{By: "ann", Why: "done"}
	}
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	last, next := &s.pins[len(s.pins)-1], period{version: version, from: time.Now()}
	if _, err := s.call(ctx, method, "/pins/p", fmt.Sprint(revision), body); err != nil {
		return err
	}
	last.until = time.Now()
	s.pins = append(s.pins, next)
	return nil
}

// Ask sends a request of tenant x through a router.
func (s *Story) Ask(router int, path string) (a Asked) {
	a = Asked{ID: fmt.Sprint("q", s.number.Add(1)), Path: path, Router: router, Sent: time.Now()}
	defer func() { a.Came = time.Now() }()
	c, err := net.DialTimeout("tcp", s.Fronts[router], connectFor)
	if err != nil {
		return a
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(askFor))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx", path, clientHost, a.ID, Model, key)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return a
	}
	text, err := io.ReadAll(resp.Body)
	a.Status, a.Text, a.Whole = resp.StatusCode, string(text), err == nil
	fmt.Sscan(resp.Header.Get(protocol.HeaderVersions), &a.Version)
	return a
}

// Traffic has clients ask on all routers, for both routes, until End.
func (s *Story) Traffic() {
	for i := range s.Fronts {
		for _, path := range []string{SafePath, UnsafePath} {
			s.group.Go(func() { s.client(i, path) })
		}
	}
}

func (s *Story) client(router int, path string) {
	timer := time.NewTicker(askEvery)
	defer timer.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-timer.C:
		}
		a := s.Ask(router, path)
		s.mu.Lock()
		s.asked = append(s.asked, a)
		s.mu.Unlock()
	}
}

// End stops the traffic and judges all of it.
func (s *Story) End() Report {
	close(s.stop)
	s.group.Wait()
	return s.judge()
}
