package program

import (
	"fmt"
	"time"
)

// The times after SIGTERM, as the platform's protocol has them.
const (
	// shutdownGrace is how long new clients are accepted after SIGTERM.
	shutdownGrace = 700 * time.Millisecond
	// maxCountedDeadline is the most that a request's deadline puts off SIGKILL.
	maxCountedDeadline = 3 * time.Second
	// finalAnswerMargin is how long before SIGKILL all requests have their final answers: these
	// have to be written, by a process that may wait for a processor.
	finalAnswerMargin = 300 * time.Millisecond
)

// shutdown goes through the phases from SIGTERM to the last answer.
func (p *Program) shutdown() error {
	finalAnswers := time.AfterFunc(p.inForce.Load().finalAnswersDelay(), p.answerOpenRequests)
	defer finalAnswers.Stop()
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

// finalAnswersDelay returns how long after SIGTERM all requests that are open get their final
// answers. The platform sends SIGKILL once the longest deadline, counted up to maxCountedDeadline,
// has passed since the last client could come. Until then requests are served as usual.
func (c *Config) finalAnswersDelay() time.Duration {
	longest := time.Duration(0)
	for i := range c.balance.Classes {
		longest = max(longest, c.balance.Classes[i].Deadline)
	}
	return shutdownGrace + max(min(longest, maxCountedDeadline)-finalAnswerMargin, 0)
}

// answerOpenRequests answers all requests that the platform would find open when it kills this
// process.
func (p *Program) answerOpenRequests() {
	p.router.AnswerOpen(p.inForce.Load().balance.MaxRetryAfter)
}
