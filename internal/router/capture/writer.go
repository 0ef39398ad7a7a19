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
	maxQueued     = 1024 // requests to be written, of about 200 bytes each
	flushInterval = time.Second
	nameBytes     = 8 // of a hash
)

// Log takes the log lines.
type Log interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// Writer writes a capture on a goroutine of its own, which ends with Close, at the file's bound, or
// after an error. It costs a request one send that never blocks.
type Writer struct {
	file      *os.File
	maxBytes  int64
	log       Log
	start     time.Time
	requests  chan acceptedRequest
	done      chan struct{} // closed when the goroutine has ended
	ended     atomic.Bool   // nothing is taken any more
	suspended atomic.Bool

	written, skipped atomic.Uint64 // requests
}

// acceptedRequest is a request and when it was accepted. One without a class ends the capture.
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

// Take queues a request that was accepted at a time. Where the queue is full it is skipped and
// counted.
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

// Suspend stops taking requests, or goes on with it.
func (w *Writer) Suspend(on bool) { w.suspended.Store(on) }

// Counts returns how many requests were written, and how many skipped because the queue was full.
func (w *Writer) Counts() (written, skipped uint64) { return w.written.Load(), w.skipped.Load() }

// Close writes the queued requests and closes the file. It returns once that is done.
func (w *Writer) Close() {
	if w.ended.CompareAndSwap(false, true) {
		w.requests <- acceptedRequest{}
	}
	<-w.done
}

// run writes requests until Close, the bound, or an error.
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
		case x := <-w.requests:
			if x.arrival.Class == "" {
				err = out.buffer.Flush()
				w.logEnd("capture ended", err)
				return
			}
			last = max(x.at.Sub(w.start), last) // those of two connections may come out of order
			fits, err = out.put(out.request(&x.arrival, last))
			if fits && err == nil {
				w.written.Add(1)
			}
		}
	}
	w.ended.Store(true)
	if err == nil {
		err = out.buffer.Flush()
	}
	w.logEnd("capture full", err)
	w.discardQueued()
}

// discardQueued empties the queue, so that a Close that has just begun does not block.
func (w *Writer) discardQueued() {
	for {
		select {
		case <-w.requests:
		default:
			return
		}
	}
}

// logEnd logs how a capture ended.
func (w *Writer) logEnd(event string, err error) {
	if err != nil {
		w.log.Warn("capture lost", "file", w.file.Name(), "cause", err)
		return
	}
	w.log.Info(event, "file", w.file.Name(), "requests", w.written.Load(), "passed_over", w.skipped.Load())
}

// encoder writes the lines of a capture, with names hashed under a key of its own.
type encoder struct {
	buffer   *bufio.Writer
	names    hash.Hash
	size     int64 // of the lines so far
	maxBytes int64
}

func newEncoder(w io.Writer, maxBytes int64) *encoder {
	var key [32]byte
	rand.Read(key[:]) // documented never to fail
	return &encoder{buffer: bufio.NewWriter(w), names: hmac.New(sha256.New, key[:]), maxBytes: maxBytes}
}

// put writes a line. It reports false, and writes nothing, where the line exceeds the bound.
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

// request returns the line of a request that was accepted at a time since the capture's start.
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

// hashName hashes a name; an empty one stays empty.
func hashName(h hash.Hash, s string) string {
	if s == "" {
		return ""
	}
	h.Reset()
	h.Write([]byte(s))
	return hex.EncodeToString(h.Sum(nil)[:nameBytes])
}
