package logging

import (
	"sync"
	"time"
)

const (
	// leftOutField is how many lines of an event were left out before one that is written.
	leftOutField = "left_out"
	// mostEvents bounds the events that are counted apart; further ones are written without a
	// bound.
	maxEvents = 256
)

// Limiter passes lines on, but of each event no more than a number in a period. The first line of
// the next period says how many were left out, so that a storm of one event neither fills a disk
// nor hides the other events, and is still seen for what it was. It may be called by several
// goroutines at once.
type Limiter struct {
	to       EventLogger
	maxLines int
	period   time.Duration
	now      func() time.Time

	mu     sync.Mutex
	events map[string]*eventLines
}

// eventLines is what became of an event's lines in a period.
type eventLines struct {
	began   time.Time
	written int
	leftOut int
}

// Limit returns a Limiter that writes at most so many lines of one event in a period. The clock is
// time.Now outside tests.
func Limit(to EventLogger, maxLines int, period time.Duration, now func() time.Time) *Limiter {
	return &Limiter{to: to, maxLines: maxLines, period: period, now: now, events: map[string]*eventLines{}}
}

// Info writes an event that needs nobody.
func (l *Limiter) Info(event string, fields ...any) { l.pass(l.to.Info, event, fields) }

// Warn writes an event that somebody may have to act on.
func (l *Limiter) Warn(event string, fields ...any) { l.pass(l.to.Warn, event, fields) }

func (l *Limiter) pass(write func(string, ...any), event string, fields []any) {
	leftOut, ok := l.admit(event)
	if !ok {
		return
	}
	if leftOut > 0 {
		fields = append(fields[:len(fields):len(fields)], leftOutField, leftOut)
	}
	write(event, fields...)
}

// admit tells whether a line is to be written, and how many of its event were left out before it.
func (l *Limiter) admit(event string) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	e := l.events[event]
	if e == nil {
		if len(l.events) >= maxEvents {
			return 0, true
		}
		e = &eventLines{began: now}
		l.events[event] = e
	}
	if now.Sub(e.began) >= l.period {
		leftOut = e.leftOut
		*e = eventLines{began: now}
	}
	if e.written >= l.maxLines {
		e.leftOut++
		return 0, false
	}
	e.written++
	return leftOut, true
}
