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
	// lameDuckDuration is how long clients may still arrive after the router has begun to drain:
	// the platform has to notice that it is not ready.
	lameDuckDuration = 1200 * time.Millisecond
	// minGraceMargin is what is left of the platform's grace, at the least, when draining is given up:
	// last answers have to be written, by a process that may wait for a processor.
	minGraceMargin = 600 * time.Millisecond
	// maxLatencyMargin bounds what is left more where the process has run late.
	maxLatencyMargin = 600 * time.Millisecond
	// finalAnswersInterval is the time between two looks at whether these are written.
	finalAnswersInterval = 10 * time.Millisecond
	// handOverPollInterval is the time between two questions whether the register was handed over.
	handOverPollInterval = 50 * time.Millisecond
)

// The phases of draining, in their order, as the status and the log name them.
const (
	phaseNotified  = "told"         // clients may still arrive
	phaseFinishing = "finishing"    // no new requests; those in flight are answered
	phaseHandOver  = "handing over" // until the other members can do without this replica
	phaseEnded     = "ended"
)

// Why draining ended, as the log names it.
const (
	causeCompleted  = "completed"
	causeEndOfGrace = "end of grace"
)

// drainPhase is the phase of draining that a router has reached. It may be read at any time.
type drainPhase struct{ now atomic.Pointer[string] }

// name is the phase, empty before the router drains.
func (p *drainPhase) name() string {
	if now := p.now.Load(); now != nil {
		return *now
	}
	return ""
}

func (p *drainPhase) enter(name string) { p.now.Store(&name) }

// drain finishes the requests in flight, and stays until the other members of the register can do
// without this one, at most for the grace that the platform gives. The error is that of closing the
// clients' listener.
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
	n.log.Info("drained", append([]any{"cause", cause}, n.drainFields(began)...)...)
	return err
}

// drainTimeout returns how long a router may drain that has noticed SIGTERM at noticed. The platform's
// grace runs from when it sent that, which is earlier where the process ran late.
func (n *Node) drainTimeout(noticed time.Time) time.Duration {
	grace := settings.Seconds(n.settings().Bounds.GraceS)
	margin := minGraceMargin + min(n.latency.Longest(noticed, schedlatency.Window), maxLatencyMargin)
	return grace - n.latency.SignalDelay(noticed) - margin
}

// announceDraining tells clients, the register and the other routers that this one drains.
func (n *Node) announceDraining(ctx context.Context) {
	n.front.SetKeepAlive(false)
	if n.replica != nil {
		n.replica.Drain()
	}
	ctx, cancel := context.WithTimeout(ctx, lameDuckDuration)
	defer cancel()
	n.members.Leave(ctx, false)
}

// finishRequests waits until the requests in flight are answered, or ctx ends. Then those that are
// left are answered at once, and it returns when each has something of its answer: only the platform
// may end the process before. Streams, and the goroutine that waits for them, end with the process.
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

// handOverRegister waits until the other members of the register can do without this one, or ctx
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

// enterPhase records and logs a phase.
func (n *Node) enterPhase(name string, began time.Time) {
	n.draining.enter(name)
	n.log.Info("draining", append([]any{"phase", name}, n.drainFields(began)...)...)
}

// drainFields are the fields that all lines on draining have: how long it has taken, and what is
// still in flight or used.
func (n *Node) drainFields(began time.Time) []any {
	after := time.Since(began).Round(time.Millisecond).String()
	cpu := processorTime().Round(time.Millisecond).String()
	return []any{"after", after, "connections", n.front.Alive(), "cpu", cpu}
}
