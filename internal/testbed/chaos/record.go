package chaos

import (
	"context"
	"os"
	"sync"
	"time"

	"reachspread/internal/testbed/history"
)

// recorder gives events their times, writes them to the history and lets others wait for them.
type recorder struct {
	start    time.Time // with the monotonic clock
	observer func(*history.Event)

	mu     sync.Mutex
	file   *os.File
	writer *history.Writer
	all    []history.Event
	more   chan bool // closed at the next event
	err    error
	closed bool
}

// newRecorder creates a history. The error is that of the file, which must not exist.
func newRecorder(path string, report func(*history.Event)) (*recorder, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), observer: report, file: f, writer: history.NewWriter(f), more: make(chan bool)}, nil
}

// at is a time in nanoseconds since the start, as events have it.
func (r *recorder) at(t time.Time) int64 { return max(t.Sub(r.start).Nanoseconds(), 0) }

// add adds an event at this time. Events after close are dropped.
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

// await returns the first event that fits, past or future. The error is that of ctx.
func (r *recorder) await(ctx context.Context, fits func(*history.Event) bool) (history.Event, error) {
	return r.awaitFrom(ctx, 0, fits)
}

// awaitFrom is await for events from a number on.
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

// count is the number of events so far.
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

// close ends the history and returns the first error of writing it.
func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if err := r.file.Close(); r.err == nil {
		r.err = err
	}
	return r.err
}
