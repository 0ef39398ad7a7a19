package capture

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"os"
	"sync/atomic"
	"time"

	"reachspread/balance"
)

const (
	maxQueued     = 1024 // maximum number of requests in the queue, of about 200 bytes each
	flushInterval = time.Second
	nameBytes     = 8 // length to which the hash of a name is truncated
)

// Log is the logger that a Writer writes its log lines to.
type Log interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// Writer writes a capture in its own goroutine. The goroutine ends on Close, when the file reaches
// its maximum size, or after an error. A request costs its caller one channel send that never
// blocks.
type Writer struct {
	file      *os.File
	maxBytes  int64
	log       Log
	start     time.Time
	requests  chan acceptedRequest
	done      chan struct{} // closed when the goroutine has ended
	ended     atomic.Bool   // Take ignores all further requests
	suspended atomic.Bool   // Take ignores requests until Suspend(false)

	written, skipped atomic.Uint64 // numbers of requests
}

// acceptedRequest is a request and the time at which it was accepted. An acceptedRequest without a
// class is not a request; Close queues it to end the capture.
type acceptedRequest struct {
	arrival balance.Arrival
	at      time.Time
}

// NewWriter creates the file, which must not exist yet, and starts a Writer that writes at most
// maxBytes to it. The caller must Close it.
func NewWriter(path string, maxBytes int64, log Log) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	w := &Writer{
		file:     f,
		maxBytes: maxBytes,
		log:      log,
		start:    time.Now(),
		requests: make(chan acceptedRequest, maxQueued),
		done:     make(chan struct{}),
	}
	go w.run()
	return w, nil
}

// Take queues a request that was accepted at the time at. If the queue is full, Take skips the
// request and counts it.
func (w *Writer) Take(a balance.Arrival, at time.Time) {
	if w.ended.Load() || w.suspended.Load() {
		return
	}
	select {
	case w.requests <- acceptedRequest{a, at}:
	default:
		w.skipped.Add(1)
	}
}

// Suspend makes Take ignore requests if on is true, and accept them again otherwise.
func (w *Writer) Suspend(on bool) { w.suspended.Store(on) }

// Counts returns the number of requests written, and the number skipped because the queue was full.
func (w *Writer) Counts() (written, skipped uint64) { return w.written.Load(), w.skipped.Load() }

// Close writes the queued requests, closes the file, and waits until both are done.
func (w *Writer) Close() {
	if w.ended.CompareAndSwap(false, true) {
		w.requests <- acceptedRequest{}
	}
	<-w.done
}

// run writes requests until Close, until the file reaches its maximum size, or until an error.
func (w *Writer) run() {
	defer close(w.done)
	defer w.file.Close()
	out := newEncoder(w.file, w.maxBytes)
	fits, err := out.put(Header{Version: Version, StartedAt: w.start})
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	last := time.Duration(0)
	for fits && err == nil {
		select {
		case <-ticker.C:
			err = out.buffer.Flush()
		case request := <-w.requests:
			if request.arrival.Class == "" {
				err = out.buffer.Flush()
				w.logEnd("capture ended", err)
				return
			}
			last = max(request.at.Sub(w.start), last) // requests of different connections may come out of order
			fits, err = out.put(out.request(&request.arrival, last))
			if fits && err == nil {
				w.written.Add(1)
			}
		}
	}
	w.ended.Store(true)
	if err == nil {
		err = out.buffer.Flush()
	}
	w.logEnd("capture reached its size limit", err)
	w.discardQueued()
}

// discardQueued empties the queue, so that a concurrent call of Close does not block on a full
// queue.
func (w *Writer) discardQueued() {
	for {
		select {
		case <-w.requests:
		default:
			return
		}
	}
}

// logEnd logs the end of a capture: the given event or, if err is not nil, a failure.
func (w *Writer) logEnd(event string, err error) {
	if err != nil {
		w.log.Warn("capture failed", "file", w.file.Name(), "cause", err)
		return
	}
	w.log.Info(event, "file", w.file.Name(), "requests", w.written.Load(), "passed_over", w.skipped.Load())
}

// encoder writes the lines of one capture. It hashes names under a random key of its own.
type encoder struct {
	buffer   *bufio.Writer
	names    hash.Hash
	size     int64 // total length of the lines so far
	maxBytes int64
}

func newEncoder(w io.Writer, maxBytes int64) *encoder {
	var key [32]byte
	rand.Read(key[:]) // crypto/rand documents that Read never fails
	return &encoder{buffer: bufio.NewWriter(w), names: hmac.New(sha256.New, key[:]), maxBytes: maxBytes}
}

// put writes a line. If the line would exceed the maximum size of the file, put writes nothing and
// reports that the line does not fit.
func (e *encoder) put(v any) (fits bool, err error) {
	line, err := json.Marshal(v)
	if err != nil {
		return false, err
	}
	if e.size += int64(len(line)) + 1; e.size > e.maxBytes {
		return false, nil
	}
	_, err = e.buffer.Write(append(line, '\n'))
	return true, err
}

// request returns the line of a request that was accepted at the time at, counted from the start of
// the capture. A request without a session counts as a session of its own.
func (e *encoder) request(a *balance.Arrival, at time.Duration) Request {
	session := a.Session
	if session == "" {
		session = a.ID
	}
	prompt := max(int(a.PromptTokens), 1)
	return Request{
		At:           at,
		Class:        a.Class,
		Session:      hashName(e.names, session),
		Prefix:       hashName(e.names, a.Prefix),
		PromptTokens: prompt,
		PrefixTokens: min(int(a.PrefixTokens), prompt),
		TimeLeft:     a.TimeLeft,
	}
}

// hashName returns the hash of a name, or "" for an empty name.
func hashName(h hash.Hash, s string) string {
	if s == "" {
		return ""
	}
	h.Reset()
	h.Write([]byte(s))
	return hex.EncodeToString(h.Sum(nil)[:nameBytes])
}
