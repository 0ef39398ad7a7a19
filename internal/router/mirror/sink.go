package mirror

import (
	"sync/atomic"
	"time"

	"reachspread/internal/router/records"
	"reachspread/internal/router/settings"
	"reachspread/internal/routing"
)

const (
	maxQueuedRecords = 256             // to be written
	maxQueuedBytes   = 1 << 20         // of texts in the queued records
	retryInterval    = 5 * time.Second // after a write failed
)

// sink writes records on a goroutine of its own, which ends after close. A record that it can't
// queue or write is counted and lost: neither the live path nor the copies wait for a disk.
type sink struct {
	settings settings.Records
	log      routing.Logger
	writer   *records.Writer
	queue    chan *records.Record
	quit     chan struct{}
	done     chan struct{}
	bytes    atomic.Int64
	written  atomic.Uint64
	lost     atomic.Uint64
	failing  atomic.Pointer[string] // why, nil while it works
}

func newSink(set settings.Records, log routing.Logger) *sink {
	s := &sink{settings: set, log: log, queue: make(chan *records.Record, maxQueuedRecords), quit: make(chan struct{}), done: make(chan struct{}),
		writer: &records.Writer{Folder: set.Folder, FileBytes: set.FileBytes, Files: set.Files}}
	go s.run()
	return s
}

// put queues a record, or counts it as lost. It does not block.
func (s *sink) put(r *records.Record) {
	if s.settings.Folder == "" {
		return
	}
	size := recordBytes(r)
	if s.bytes.Add(size) <= maxQueuedBytes {
		select {
		case <-s.quit:
		default:
			select {
			case s.queue <- r:
				return
			default:
			}
		}
	}
	s.bytes.Add(-size)
	s.lost.Add(1)
}

// recordBytes is the size of the texts in a record.
func recordBytes(r *records.Record) int64 {
	return int64(len(r.Body) + len(r.Live.Text) + len(r.Copy.Text))
}

// close ends the goroutine once the queued records are written; done is closed then.
func (s *sink) close() { close(s.quit) }

func (s *sink) run() {
	defer close(s.done)
	defer s.writer.Close()
	var retry time.Time
	for {
		select {
		case r := <-s.queue:
			s.write(r, &retry)
		case <-s.quit:
			for {
				select {
				case r := <-s.queue:
					s.write(r, &retry)
				default:
					return
				}
			}
		}
	}
}

// write appends a record. While writes fail, one is attempted each retryInterval, and only the
// first failure is logged.
func (s *sink) write(r *records.Record, retry *time.Time) {
	s.bytes.Add(-recordBytes(r))
	if time.Now().Before(*retry) {
		s.lost.Add(1)
		return
	}
	if err := s.writer.Append(r); err != nil {
		s.lost.Add(1)
		*retry = time.Now().Add(retryInterval)
		why := err.Error()
		if s.failing.Swap(&why) == nil {
			s.log.Warn("shadow records lost", "cause", why)
		}
		return
	}
	s.written.Add(1)
	if s.failing.Swap(nil) != nil {
		s.log.Info("shadow records back", "lost", s.lost.Load())
	}
}
