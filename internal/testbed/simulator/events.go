package simulator

import "time"

// event is due at a time. Two at one time come in the order in which they were scheduled.
type event struct {
	at         time.Duration
	seq        uint64
	kind       eventKind
	number     int // a router's, a host's, a class's or a disruption's number, or another small figure
	generation int // of the process of what number names: the event is void after its next start
	payload    any // what it is about
}

// eventKind is what is done with an event.
type eventKind uint8

const (
	sessionBegins eventKind = iota
	turnBegins
	clientAttemptReaches // its router
	clientAttemptOverdue
	retryBegins
	capturedArrives
	streamsIdle
	routerSteps
	routerWakes
	peerReportReaches
	listReaches
	routerStarts
	attemptReaches     // its host
	hostMessageReaches // its router
	cancelReaches      // its host
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

// queue is a heap of events with four children a node.
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
