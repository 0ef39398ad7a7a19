package node

import (
	"context"
	"sync/atomic"
	"time"

	"reachspread/internal/schedlatency"
	"reachspread/internal/system/dataplane"
	"reachspread/internal/system/settings"
)

const (
	// lameDuckDuration is how long the router still accepts clients after it has begun to drain:
	// the platform needs time to notice that the router is not ready.
	lameDuckDuration = 1200 * time.Millisecond
	// minGraceMargin is the least time that must remain of the platform's grace period when
	// draining is given up. The process needs it to write the last answers, and may have to wait
	// for a processor.
	minGraceMargin = 600 * time.Millisecond
	// maxLatencyMargin is the most time added to minGraceMargin if the process has been running
	// late.
	maxLatencyMargin = 600 * time.Millisecond
	// finalAnswersInterval is the time between two checks whether the last answers are written.
	finalAnswersInterval = 10 * time.Millisecond
	// handOverPollInterval is the time between two checks whether the register was handed over.
	handOverPollInterval = 50 * time.Millisecond
)

// The phases of draining, in order, under the names that the status and the log use.
const (
	phaseNotified  = "told"         // clients may still arrive
	phaseFinishing = "finishing"    // no new requests; those in flight are answered
	phaseHandOver  = "handing over" // wait until the other members can do without this replica
	phaseEnded     = "ended"
)

// The causes for the end of draining, under the names that the log uses.
const (
	causeCompleted  = "completed"
	causeEndOfGrace = "end of grace"
)

// drainPhase is the phase of draining that a router has reached. Any goroutine may read it at any
// time.
type drainPhase struct{ now atomic.Pointer[string] }

// name returns the phase, or an empty string before the router drains.
func (p *drainPhase) name() string {
	if now := p.now.Load(); now != nil {
		return *now
	}
	return ""
}

func (p *drainPhase) enter(name string) { p.now.Store(&name) }

// drain finishes the requests in flight and waits until the other members of the register can do
// without this one, at most until the end of the platform's grace period. It returns the error
// from closing the clients' listener.
func (n *Node) drain() error {
	began := time.Now()
	end, cancel := context.WithTimeout(context.Background(), max(n.drainTimeout(began), lameDuckDuration))
	defer cancel()

	n.enterPhase(phaseNotified, began)
	n.announceDraining(end)
	time.Sleep(lameDuckDuration)

	n.enterPhase(phaseFinishing, began)
	err := n.finishRequests(end)

	n.enterPhase(phaseHandOver, began)
	n.handOverRegister(end)

	n.draining.enter(phaseEnded)
	cause := causeCompleted
	if end.Err() != nil {
		cause = causeEndOfGrace
	}
	n.log.Info("router drained", append([]any{"cause", cause}, n.drainFields(began)...)...)
	return err
}

// drainTimeout returns how long the router may drain after it noticed SIGTERM at noticed. The
// platform's grace period begins when the platform sends SIGTERM, which is earlier than noticed if
// the process ran late.
func (n *Node) drainTimeout(noticed time.Time) time.Duration {
	grace := settings.Seconds(n.settings().Bounds.GraceS)
	margin := minGraceMargin + min(n.latency.Longest(noticed, schedlatency.Window), maxLatencyMargin)
	return grace - n.latency.SignalDelay(noticed) - margin
}

// announceDraining announces to clients, the register and the other routers that this router
// drains.
func (n *Node) announceDraining(ctx context.Context) {
	n.front.SetKeepAlive(false)
	if n.replica != nil {
		n.replica.Drain()
	}
	ctx, cancel := context.WithTimeout(ctx, lameDuckDuration)
	defer cancel()
	n.members.Leave(ctx, false)
}

// finishRequests waits until the requests in flight are answered. If ctx ends first, it answers
// all that are left at once and returns when each has at least the beginning of an answer. Only
// the platform may end the process before that. Streams, and the goroutine that waits for them,
// end with the process.
func (n *Node) finishRequests(ctx context.Context) error {
	n.front.CloseAfterAnswers()
	done := make(chan error, 1)
	go func() { done <- n.front.Shutdown() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	n.plane.AnswerOpen()
	n.front.RejectWaiting(dataplane.MaxRetryAfter)
	poll := time.NewTicker(finalAnswersInterval)
	defer poll.Stop()
	for n.front.AnswersDue() > 0 {
		select {
		case err := <-done:
			return err
		case <-poll.C:
		}
	}
	return nil
}

// handOverRegister waits until the other members of the register can do without this one or ctx
// ends.
func (n *Node) handOverRegister(ctx context.Context) {
	if n.replica == nil || !n.self.eligible {
		return
	}
	poll := time.NewTicker(handOverPollInterval)
	defer poll.Stop()
	for !n.replica.Status().CanShutDown {
		select {
		case <-ctx.Done():
			n.log.Warn("register not handed over", "current_tolerance", n.replica.Status().CurrentTolerance)
			return
		case <-poll.C:
		}
	}
}

// enterPhase records and logs a phase of draining.
func (n *Node) enterPhase(name string, began time.Time) {
	n.draining.enter(name)
	n.log.Info("router draining", append([]any{"phase", name}, n.drainFields(began)...)...)
}

// drainFields returns the fields common to all log lines on draining: the time since it began, the
// open client connections and the processor time that the process has used.
func (n *Node) drainFields(began time.Time) []any {
	after := time.Since(began).Round(time.Millisecond).String()
	cpu := processorTime().Round(time.Millisecond).String()
	return []any{"after", after, "connections", n.front.Alive(), "cpu", cpu}
}
