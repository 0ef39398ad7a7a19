package chaos

import (
	"context"
	"os"
	"sync"
	"time"

	"reachspread/internal/testbed/history"
)

// recorder stamps events with their times, writes them to the history file, and lets callers wait
// for events.
type recorder struct {
	start    time.Time // with the monotonic clock
	observer func(*history.Event)

	mu     sync.Mutex
	file   *os.File
	writer *history.Writer
	all    []history.Event
	more   chan bool // closed and replaced when the next event is added
	err    error
	closed bool
}

// newRecorder creates the history file at path, which must not exist yet.
func newRecorder(path string, report func(*history.Event)) (*recorder, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), observer: report, file: f, writer: history.NewWriter(f), more: make(chan bool)}, nil
}

// at converts a time to nanoseconds since the start, which is the unit of event times.
func (r *recorder) at(t time.Time) int64 { return max(t.Sub(r.start).Nanoseconds(), 0) }

// add stamps an event with the present time and adds it. Events after close are dropped.
func (r *recorder) add(e history.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	e.T = r.at(time.Now())
	if err := r.writer.Write(&e); err != nil && r.err == nil {
		r.err = err
	}
	if len(r.all) < history.MaxEvents {
		r.all = append(r.all, e)
	}
	if r.observer != nil {
		r.observer(&e)
	}
	close(r.more)
	r.more = make(chan bool)
}

// await returns the first event for which fits returns true. It waits if there is none yet, and
// returns the error of ctx if ctx ends first.
func (r *recorder) await(ctx context.Context, fits func(*history.Event) bool) (history.Event, error) {
	return r.awaitFrom(ctx, 0, fits)
}

// awaitFrom is like await, but skips the events with an index below from.
func (r *recorder) awaitFrom(ctx context.Context, from int, fits func(*history.Event) bool) (history.Event, error) {
	for {
		r.mu.Lock()
		for ; from < len(r.all); from++ {
			if fits(&r.all[from]) {
				e := r.all[from]
				r.mu.Unlock()
				return e, nil
			}
		}
		more := r.more
		r.mu.Unlock()
		select {
		case <-more:
		case <-ctx.Done():
			return history.Event{}, ctx.Err()
		}
	}
}

// count returns the number of events so far.
func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

func (r *recorder) events() []history.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all
}

func (r *recorder) lost() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writer.Lost()
}

// close closes the history file and returns the first error that writing it had.
func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if err := r.file.Close(); r.err == nil {
		r.err = err
	}
	return r.err
}
