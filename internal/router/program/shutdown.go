package program

import (
	"context"
	"fmt"
	"time"

	"reachspread/internal/schedlatency"
)

// The times after SIGTERM, as the platform's protocol has them.
const (
	// shutdownGrace is how long new clients are accepted after SIGTERM.
	shutdownGrace = 700 * time.Millisecond
	// maxCountedDeadline is the most that a request's deadline puts off SIGKILL.
	maxCountedDeadline = 3 * time.Second
	// minFinalAnswerMargin is how long before SIGKILL, at the least, all requests have their final
	// answers: these have to be written, by a process that may wait for a processor.
	minFinalAnswerMargin = 300 * time.Millisecond
	// maxMarginShare is the divisor for the share of the counted deadline that the margin takes, and
	// that it takes once more where the process has run late.
	maxMarginShare = 5
	// finalAnswersInterval is the time between two looks at whether the process runs late.
	finalAnswersInterval = 50 * time.Millisecond
)

// shutdown goes through the phases from SIGTERM to the last answer.
func (p *Program) shutdown() error {
	noticed := time.Now()
	signalled := noticed.Add(-p.latency.SignalDelay(noticed)) // or later
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

// answerBeforeKill answers the requests that are open shortly before the platform kills this process,
// the earlier the later the process has run. Until then requests are served as usual. It returns once
// it has, or when ctx ends.
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

// finalAnswersDelay returns how long after SIGTERM all requests that are open get their final
// answers, in a process that has run late by so much. The platform sends SIGKILL once the longest
// deadline, counted up to maxCountedDeadline, has passed since the last client could come.
func (c *Config) finalAnswersDelay(late time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range c.balance.Classes {
		longest = max(longest, c.balance.Classes[i].Deadline)
	}
	counted := min(longest, maxCountedDeadline)
	share := counted / maxMarginShare
	margin := max(share, minFinalAnswerMargin) + min(late, share)
	return shutdownGrace + max(counted-margin, 0)
}

// answerOpenRequests answers all requests that the platform would find open when it kills this
// process, those of clients that wait for a place too.
func (p *Program) answerOpenRequests() {
	retryAfter := p.inForce.Load().balance.MaxRetryAfter
	p.router.AnswerOpen(retryAfter)
	p.front.RejectWaiting(retryAfter)
}
