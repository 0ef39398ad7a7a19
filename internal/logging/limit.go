package logging

import (
	"sync"
	"time"
)

const (
	// leftOutField is the field with the number of lines of an event that were left out since the
	// event's last written line.
	leftOutField = "left_out"
	// maxEvents is the maximum number of different events that are counted. The lines of further
	// events are written without a limit.
	maxEvents = 256
)

// Limiter forwards log lines to another logger, but only a limited number of lines of each event in a
// period. The first line of an event in its next period says how many lines were left out. So a flood
// of one event neither fills a disk nor hides other events, but its size still shows in the log. A
// Limiter is safe for concurrent use.
type Limiter struct {
	to       EventLogger
	maxLines int
	period   time.Duration
	now      func() time.Time

	mu     sync.Mutex
	events map[string]*eventLines
}

// eventLines counts the lines of one event in its current period.
type eventLines struct {
	began   time.Time // when the period began
	written int       // lines forwarded
	leftOut int       // lines dropped
}

// Limit returns a Limiter that forwards to another logger at most maxLines lines of one event in a
// period. Function now returns the time; it is time.Now except in tests.
func Limit(to EventLogger, maxLines int, period time.Duration, now func() time.Time) *Limiter {
	return &Limiter{to: to, maxLines: maxLines, period: period, now: now, events: map[string]*eventLines{}}
}

// Info logs an event on which nobody has to act.
func (l *Limiter) Info(event string, fields ...any) { l.pass(l.to.Info, event, fields) }

// Warn logs an event on which somebody may have to act.
func (l *Limiter) Warn(event string, fields ...any) { l.pass(l.to.Warn, event, fields) }

// pass forwards a line to write unless the limit of its event is reached. It adds the number of lines
// that were left out, if any.
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

// admit reports whether a line of an event may be written, and how many lines of the event were left
// out in its previous period if this line begins a new one.
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
