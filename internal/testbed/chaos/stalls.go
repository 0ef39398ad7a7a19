package chaos

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"reachspread/internal/testbed/history"
)

// stalls notices that the machine withheld processors from the test itself: what others did then is
// seen late. It sends requests to a server of its own process, as clients and hosts of the test are
// as late to see anything as that server and its client.
type stalls struct {
	recorder *recorder
	mu       sync.Mutex
	n        int
}

const (
	probeInterval = 50 * time.Millisecond // between two requests
	// stallOf is what counts: less than half of the least slack of a rule.
	stallOf = 200 * time.Millisecond
	// stallNumber is that of the fault that the history has for it, beyond those of a schedule.
	stallNumber = 1 << 16
)

// watch sends requests until ctx ends. The error is that of the server's address.
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

// probe measures how late each request to an address is answered.
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
		if late := time.Since(due); late > stallOf {
			s.record(late)
		}
	}
}

// record adds a stall that ends now to the history.
func (s *stalls) record(length time.Duration) {
	s.mu.Lock()
	s.n++
	n := stallNumber + s.n
	s.mu.Unlock()
	s.recorder.add(history.Event{What: history.Fault, N: n, Text: "machine", ID: length.String()})
	s.recorder.add(history.Event{What: history.Heal, N: n, Text: "machine"})
}

func (s *stalls) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}
