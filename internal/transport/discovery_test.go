package transport_test

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"reachspread/internal/protocol"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// Eighty routers start at once. Discovery answers eleven calls per second, one at a time, and
// spends as much time on a call that has already failed after waiting for 2 s. With PollSchedule,
// all routers have their list within 10 s, the time by which each must have called. If each router
// retries within a second, the queue never gets shorter and no router has a list.
func TestRoutersThatStartTogetherAllGetTheList(t *testing.T) {
	const routers, serviceTime, callTimeout, within = 80, time.Second / 11, 2 * time.Second, 10 * time.Second
	simulate := func(schedule transport.RetrySchedule) (served int) {
		var due queue
		for range routers {
			c := call{}
			if schedule.StartSpread > 0 {
				c.at = rand.N(schedule.StartSpread)
			}
			heap.Push(&due, c)
		}
		idleAt := time.Duration(0) // when discovery has finished all calls taken so far
		for due.Len() > 0 && due[0].at < within {
			c := heap.Pop(&due).(call)
			begin := max(idleAt, c.at)
			idleAt = begin + serviceTime
			if begin-c.at < callTimeout {
				served++
				continue
			}
			heap.Push(&due, call{c.at + callTimeout + schedule.Wait(c.failed), c.failed + 1})
		}
		return served
	}
	if n := simulate(transport.PollSchedule(routers, within)); n != routers {
		t.Errorf("%d of %d routers have their list after %v", n, routers, within)
	}
	if n := simulate(transport.PushSchedule); n > routers/2 {
		t.Errorf("%d routers have the list although all call at once and retry within a second: the simulated discovery is too fast", n)
	}
}

// When a silent agent answers again, a router gets its list within the time that the platform
// allows, less the time for a decision. The worst case is a call that began before and times out,
// followed by the longest delay and another call.
func TestPushedListIsAppliedInTime(t *testing.T) {
	const grace, decisionTime = 500 * time.Millisecond, 100 * time.Millisecond
	schedule := transport.PushSchedule
	longest := time.Duration(0)
	for previousFailures := range 1000 {
		longest = max(longest, schedule.Wait(previousFailures%20))
	}
	if schedule.AnswerTimeout == 0 || schedule.AnswerTimeout+longest > grace-decisionTime {
		t.Errorf("a call times out after %v and the delay after it is up to %v", schedule.AnswerTimeout, longest)
	}
}

// However many routers share a discovery, each makes its next call and can have its answer within 6
// s after discovery is reachable again. The calls of the routers are spread.
func TestFailedCallIsRetriedInTime(t *testing.T) {
	const maxDelivery, answerTime = 6 * time.Second, time.Second
	for _, routers := range []int{1, 3, 30, 300, 3000} {
		schedule := transport.PollSchedule(routers, 10*time.Second)
		shortest, longest := time.Hour, time.Duration(0)
		for previousFailures := range 1000 {
			wait := schedule.Wait(previousFailures % 20)
			shortest, longest = min(shortest, wait), max(longest, wait)
		}
		if longest+answerTime > maxDelivery {
			t.Errorf("%d routers: the delay is up to %v and the answer takes %v", routers, longest, answerTime)
		}
		longestSilence := time.Duration(0)
		for range 1000 {
			longestSilence = max(longestSilence, schedule.WaitAfterTimeout())
		}
		const noticed, missed, grace = time.Second, 2 * time.Second, 500 * time.Millisecond // after the time for which the call could be held
		if noticed+longestSilence > missed+grace {
			t.Errorf("%d routers: the delay after a watch timed out is up to %v", routers, longestSilence)
		}
		if longest < 2*shortest {
			t.Errorf("%d routers: the delays are only spread from %v to %v", routers, shortest, longest)
		}
	}
}

// If an agent accepts connections but sends nothing, the router opens a new connection and calls
// again until the agent answers.
func TestAgentThatTimesOut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if i < 3 {
				continue
			}
			list := scripted.List(7, true, scripted.ListEntry("s0", "127.0.0.1:1", "Ready"))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}
	}()
	lines, lists := make(chan string, 10), make(chan *protocol.List, 10)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go transport.NewDiscovery(ln.Addr().String(), transport.PushSchedule, transport.FullList, scripted.LogLines(lines), func(l *protocol.List) { lists <- l }).Run(ctx)
	if l := scripted.Receive(t, lists, "a list"); l.Version != 7 {
		t.Errorf("got a list of version %d, want 7", l.Version)
	}
}

// Guards against a router that never gets a list because discovery takes longer for each answer
// than the timeout of a short attempt, as on a busy machine. Such a router was not ready for half a
// minute.
func TestSlowDiscoveryIsReached(t *testing.T) {
	const slow = 3 * 250 * time.Millisecond // three times the answer timeout of PushSchedule
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(slow):
			io.WriteString(w, scripted.List(7, true, scripted.ListEntry("s0", "127.0.0.1:1", "Ready")))
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	lines, lists := make(chan string, 100), make(chan *protocol.List, 10)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go transport.NewDiscovery(server.Listener.Addr().String(), transport.PushSchedule, transport.FullList, scripted.LogLines(lines), func(l *protocol.List) { lists <- l }).Run(ctx)
	if l := scripted.Receive(t, lists, "a list"); l.Version != 7 {
		t.Errorf("got a list of version %d, want 7", l.Version)
	}
}

type call struct {
	at     time.Duration
	failed int
}

type queue []call

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(c any)        { *q = append(*q, c.(call)) }
func (q *queue) Pop() any {
	c := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return c
}

// A router that has a list asks only for changes, both at the start and after a failure.
func TestAskedDiscoveryIsAskedForChanges(t *testing.T) {
	d := scripted.NewDiscovery(t, scripted.List(41, true, scripted.ListEntry("s0", "127.0.0.1:1", "Ready")))
	lines, lists := make(chan string, 10), make(chan *protocol.List, 10)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	schedule := transport.RetrySchedule{FirstDelay: time.Millisecond, MaxDelay: time.Millisecond}
	go transport.NewDiscovery(d.Addr, schedule, 40, scripted.LogLines(lines), func(l *protocol.List) { lists <- l }).Run(ctx)
	for _, step := range []struct{ tell, call string }{
		{scripted.List(42, false, scripted.ListEntry("s0", "127.0.0.1:1", "Gone")), "/api/targets?index=40&wait=5000"},
		{`{"version":43,"servers":[{"id":"s0","state":"Odd"}]}`, "/api/targets?index=42&wait=5000"},
		{scripted.List(44, false), "/api/targets?index=42&wait=5000"},
	} {
		d.Send(t, step.tell)
		if got := scripted.Receive(t, d.Calls, "a call"); got != step.call {
			t.Errorf("discovery was called with %s, want %s", got, step.call)
		}
	}
}
