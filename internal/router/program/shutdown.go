package program

import (
	"context"
	"fmt"
	"time"

	"reachspread/internal/schedlatency"
)

// The platform's protocol defines the times after SIGTERM.
const (
	// shutdownGrace is how long new clients are accepted after SIGTERM.
	shutdownGrace = 700 * time.Millisecond
	// maxCountedDeadline is the longest time by which the deadline of a request delays SIGKILL.
	maxCountedDeadline = 3 * time.Second
	// minFinalAnswerMargin is the minimum time between the final answers of all requests and
	// SIGKILL. The process still has to write these answers, and may have to wait for a processor.
	minFinalAnswerMargin = 300 * time.Millisecond
	// marginDivisor is the divisor of the counted deadline that gives the margin before SIGKILL. If
	// the process has been scheduled late, the margin grows by the delay, up to the same share.
	marginDivisor = 5
	// finalAnswersInterval is the time between two checks of how late the process is scheduled.
	finalAnswersInterval = 50 * time.Millisecond
)

// shutdown leads the program through the phases from SIGTERM to the last answer.
func (p *Program) shutdown() error {
	noticed := time.Now()
	signalled := noticed.Add(-p.latency.SignalDelay(noticed)) // the earliest time at which SIGTERM may have been sent
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go p.answerBeforeKill(work, signalled)
	p.prepareShutdown()
	p.advance(terminated)
	if p.inherited {
		p.yieldLimits()
	}
	time.Sleep(shutdownGrace)
	p.advance(graceElapsed)
	if err := p.front.Shutdown(); err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	p.stopComponents(true)
	p.advance(requestsDone)
	return nil
}

// answerBeforeKill gives all open requests their final answers shortly before the platform kills this
// process. The later the process has been scheduled, the earlier it does so. Until then requests are
// served as usual. It returns after these answers, or when ctx ends.
func (p *Program) answerBeforeKill(ctx context.Context, signalled time.Time) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		delay := p.inForce.Load().finalAnswersDelay(p.latency.Longest(now, schedlatency.Window))
		left := signalled.Add(delay).Sub(now)
		if left <= 0 {
			p.answerOpenRequests()
			return
		}
		timer.Reset(min(left, finalAnswersInterval))
	}
}

// finalAnswersDelay returns how long after SIGTERM all open requests get their final answers, if the
// process has been scheduled late by the given time. New clients are accepted until shutdownGrace
// after SIGTERM. The platform sends SIGKILL when the longest deadline, but at most
// maxCountedDeadline, has passed since then.
func (c *Config) finalAnswersDelay(late time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range c.balance.Classes {
		longest = max(longest, c.balance.Classes[i].Deadline)
	}
	counted := min(longest, maxCountedDeadline)
	share := counted / marginDivisor
	margin := max(share, minFinalAnswerMargin) + min(late, share)
	return shutdownGrace + max(counted-margin, 0)
}

// answerOpenRequests gives final answers to all open requests and to the clients that wait for
// admission.
func (p *Program) answerOpenRequests() {
	retryAfter := p.inForce.Load().balance.MaxRetryAfter
	p.router.AnswerOpen(retryAfter)
	p.front.RejectWaiting(retryAfter)
}
