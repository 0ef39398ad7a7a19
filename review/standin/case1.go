//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync"
	"time"
)

const (
	rounds        = 3                       // at each of two routers
	requests      = 12                      // under way in each round
	departures    = 8                       // clients that leave, at most, in each round
	workTime      = 1200 * time.Millisecond // of a host on a request
	configApply   = 2 * time.Second         // configurationApplyMs
	betweenRounds = 4500 * time.Millisecond // contactMs is 3 s
)

// outcome is what a client saw of its request.
type outcome struct {
	id         string
	sentAt     time.Time
	endedAt    time.Time
	status     int
	incomplete error // nil for a complete answer
}

// departingClient shows that one client that resets its connection right after its request ends the router's process,
// and with it the requests of all other clients of the router.
func departingClient(rec *Record, f *Fleet, withFault bool) int {
	var mu sync.Mutex
	ran := map[string]string{} // host, by request
	var hosts []*Host
	for i := range 3 {
		h := f.NewHost(fmt.Sprintf("i-7f3a91c%d", i), "xano55b", f.hostAddress(i), zones[i])
		h.Handle = func(h *Host, c net.Conn, _ *bufio.Reader, req *http.Request, _ []byte) bool {
			id := req.Header.Get("Request-Id")
			mu.Lock()
			ran[id] = h.ID
			mu.Unlock()
			time.Sleep(workTime)
			writeAnswer(c, id, h.ID, "done "+id)
			return true
		}
		hosts = append(hosts, h)
	}
	if !f.begin(hosts, route("r-u", "/pule252/", "unsafe", "xano55b", 1, map[string]any{"timeoutMs": 5000, "targetLatencyMs": 800})) {
		return notRun
	}
	time.Sleep(3 * time.Second)
	lost, selfEnds := 0, map[string]int{}
	for n := range 2 * rounds {
		r := f.Routers[n%2*4] // the first with a disk, and one without
		rec.Log("round %d at %s", n+1, r.Name)
		f.Reload(r)
		reloadedAt := time.Now()
		time.Sleep(100 * time.Millisecond)
		outcomes := make(chan outcome, requests)
		for range requests {
			go func() { outcomes <- ask(r.Front()) }()
		}
		time.Sleep(400 * time.Millisecond)
		departAll(rec, f, r, withFault)
		for range requests {
			o := <-outcomes
			mu.Lock()
			host := ran[o.id]
			mu.Unlock()
			if o.incomplete == nil {
				rec.Log("  request %s: %d, complete, run by %s", o.id, o.status, host)
				continue
			}
			isLost := host != "" && o.sentAt.Sub(reloadedAt) <= configApply && o.endedAt.After(reloadedAt)
			rec.Log("  request %s: no complete answer (%v) %.3f s after it was sent, run by %q: lost: %v", o.id, o.incomplete, o.endedAt.Sub(o.sentAt).Seconds(), host, isLost)
			if isLost {
				lost++
			}
		}
		select {
		case <-r.done:
			selfEnds[r.Name]++
			rec.Log("  its log: %s", withoutFolders(f.LogLines(r, "panic:", 7)))
			time.Sleep(500 * time.Millisecond)
			if err := f.Start(r); err != nil {
				return notRun
			}
		default:
		}
		time.Sleep(betweenRounds)
	}
	rec.Log("LOST: %d requests that were passed on to a host; processes that ended by themselves: %v", lost, selfEnds)
	if lost > 0 {
		return broken
	}
	return passed
}

// ask sends a request on a connection of its own and reads the answer.
func ask(front string) (o outcome) {
	o.id = newID()
	defer func() { o.endedAt = time.Now() }()
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		o.incomplete = err
		return o
	}
	defer c.Close()
	_, err = io.WriteString(c, requestText("/pule252/2f", o.id, "a lookup", 5*time.Second, ""))
	o.sentAt = time.Now()
	if err != nil {
		o.incomplete = err
		return o
	}
	c.SetReadDeadline(time.Now().Add(6 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		o.incomplete = err
		return o
	}
	o.status = resp.StatusCode
	_, o.incomplete = io.ReadAll(resp.Body)
	return o
}

// departAll lets clients leave one after the other until the router's process has ended.
func departAll(rec *Record, f *Fleet, r *Router, withFault bool) {
	for range departures {
		depart(rec, r.Front(), withFault)
		if !withFault {
			continue
		}
		select {
		case <-r.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// depart is a client that sends a request and leaves at once: it resets its connection. Without the fault it waits for
// its answer.
func depart(rec *Record, front string, withFault bool) {
	if !withFault {
		go func() {
			o := ask(front)
			rec.Log("  a client that stays, request %s: %d %v", o.id, o.status, o.incomplete)
		}()
		return
	}
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		rec.Log("  the client that leaves: %v", err)
		return
	}
	id := newID()
	io.WriteString(c, requestText("/pule252/2f", id, "a lookup", 5*time.Second, ""))
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	rec.Log("  a client sends request %s and leaves at once", id)
}

var folder = regexp.MustCompile(`/[^ ]*/(internal/[^ ]*)`)

// withoutFolders returns a stack trace with paths from the repository on.
func withoutFolders(trace string) string { return folder.ReplaceAllString(trace, "$1") }
