package mirror

import (
	"sync/atomic"
	"time"

	"reachspread/internal/router/records"
	"reachspread/internal/router/settings"
	"reachspread/internal/routing"
)

const (
	maxQueuedRecords = 256             // maximum number of queued records
	maxQueuedBytes   = 1 << 20         // maximum total size of the texts in the queued records
	retryInterval    = 5 * time.Second // time from a failed write to the next attempt
)

// sink writes records in its own goroutine, which ends after close. It counts and discards a record
// that it can't queue or write, so that neither the live path nor the copies wait for the disk.
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
	failing  atomic.Pointer[string] // error of the last write; nil if it succeeded
}

func newSink(set settings.Records, log routing.Logger) *sink {
	s := &sink{settings: set, log: log, queue: make(chan *records.Record, maxQueuedRecords), quit: make(chan struct{}), done: make(chan struct{}),
		writer: &records.Writer{Folder: set.Folder, FileBytes: set.FileBytes, Files: set.Files}}
	go s.run()
	return s
}

// put queues a record, or counts it as lost if the queue is full. It does nothing if no folder is
// set. It does not block.
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

// recordBytes returns the total size of the texts in a record.
func recordBytes(r *records.Record) int64 {
	return int64(len(r.Body) + len(r.Live.Text) + len(r.Copy.Text))
}

// close makes the goroutine write the queued records, close done and end. It does not wait.
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

// write appends a record to the files. While writes fail, it tries one write per retryInterval and
// counts the other records as lost. It logs only the first failure.
func (s *sink) write(r *records.Record, retry *time.Time) {
	s.bytes.Add(-recordBytes(r))
	if time.Now().Before(*retry) {
		s.lost.Add(1)
		return
	}
	if err := s.writer.Append(r); err != nil {
		s.lost.Add(1)
		*retry = time.Now().Add(retryInterval)
		failure := err.Error()
		if s.failing.Swap(&failure) == nil {
			s.log.Warn("shadow record not written", "cause", failure)
		}
		return
	}
	s.written.Add(1)
	if s.failing.Swap(nil) != nil {
		s.log.Info("shadow records written again", "lost", s.lost.Load())
	}
}
