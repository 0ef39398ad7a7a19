package chaos

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"reachspread/internal/testbed/history"
)

// stalls detects the times in which the machine gave the test process itself no processor. The test
// sees events of those times late. The detector sends requests to a server in its own process,
// because the clients and hosts of the test are delayed just as much as that server and its client.
type stalls struct {
	recorder *recorder
	mu       sync.Mutex
	n        int
}

const (
	probeInterval = 50 * time.Millisecond // between two requests
	// minStall is the smallest delay that counts as a stall. It is less than half of the smallest
	// slack of any rule.
	minStall = 200 * time.Millisecond
	// firstStallNumber is the base of the fault numbers of stalls in the history. The faults of a
	// schedule have smaller numbers.
	firstStallNumber = 1 << 16
)

// watch starts the server and sends requests to it until ctx ends. It returns an error if the server
// can't listen.
func (s *stalls) watch(ctx context.Context) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	go server.Serve(listener)
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	go s.probe(ctx, "http://"+listener.Addr().String())
	return nil
}

// probe sends requests to an address and records a stall for each that is answered late.
func (s *stalls) probe(ctx context.Context, address string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for {
		due := time.Now().Add(probeInterval)
		if !wait(ctx, probeInterval) {
			return
		}
		r, err := http.NewRequestWithContext(ctx, "GET", address, nil)
		if err != nil {
			return
		}
		answer, err := client.Do(r)
		if err != nil {
			continue
		}
		answer.Body.Close()
		if late := time.Since(due); late > minStall {
			s.record(late)
		}
	}
}

// record adds a stall that ends now to the history.
func (s *stalls) record(length time.Duration) {
	s.mu.Lock()
	s.n++
	n := firstStallNumber + s.n
	s.mu.Unlock()
	s.recorder.add(history.Event{What: history.Fault, N: n, Text: "machine", ID: length.String()})
	s.recorder.add(history.Event{What: history.Heal, N: n, Text: "machine"})
}

func (s *stalls) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}
