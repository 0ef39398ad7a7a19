package simulator

import "time"

// event is something that happens at a time. Events with equal times are handled in the order in
// which they were scheduled.
type event struct {
	at         time.Duration
	seq        uint64
	kind       eventKind
	number     int // number of a router, host, class or disruption, or another small number, by kind
	generation int // generation of that router's or host's process; the event is dropped after a restart
	payload    any // object that the event is about, by kind
}

// eventKind says what happens, and so how an event is handled.
type eventKind uint8

const (
	sessionBegins eventKind = iota
	turnBegins
	clientAttemptReaches // a client's attempt reaches its router
	clientAttemptOverdue
	retryBegins
	capturedArrives
	streamsIdle
	routerSteps
	routerWakes
	peerReportReaches
	listReaches
	routerStarts
	attemptReaches     // a router's attempt reaches its host
	hostMessageReaches // a host's message reaches its router
	cancelReaches      // a router's cancellation reaches the host
	connectTimeout
	idleTimeout
	probeReaches
	probeResultReaches
	hostSteps
	hostStarts
	disruptionBegins
	disruptionEnds
	rollingRestartContinues
	faultBegins
	faultEnds
	sampleDue
	viewsChange
)

// queue is a heap of events in which each node has up to four children.
type queue struct {
	heap []event
	seq  uint64
}

func (q *queue) less(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (q *queue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !q.less(&e, &q.heap[up]) {
			break
		}
		q.heap[i] = q.heap[up]
		i = up
	}
	q.heap[i] = e
}

func (q *queue) pop() event {
	top := q.heap[0]
	last := len(q.heap) - 1
	e := q.heap[last]
	q.heap[last] = event{} // so that the payload can be freed
	q.heap = q.heap[:last]
	if last == 0 {
		return top
	}
	i := 0
	for {
		first := 4*i + 1
		if first >= last {
			break
		}
		least := first
		for c := first + 1; c < min(first+4, last); c++ {
			if q.less(&q.heap[c], &q.heap[least]) {
				least = c
			}
		}
		if !q.less(&q.heap[least], &e) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = e
	return top
}
