package capture

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"os"
	"sync/atomic"
	"time"

	"reachspread/balance"
)

const (
	maxQueued     = 1024 // requests that wait to be written; 200 bytes each
	flushInterval = time.Second
	nameBytes     = 8 // of a hash
)

// Log takes the lines for on-call staff.
type Log interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// Writer writes a capture. What it costs a request is one send that never waits.
type Writer struct {
	file      *os.File
	maxBytes  int64 // bytes
	log       Log
	start     time.Time
	requests  chan acceptedRequest
	done      chan struct{}
	ended     atomic.Bool
	suspended atomic.Bool

	written, skipped atomic.Uint64 // requests
}

type acceptedRequest struct {
	arrival balance.Arrival
	at      time.Time
}

// NewWriter begins a file, which must not be there yet. It holds so many bytes at most.
func NewWriter(path string, most int64, log Log) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	w := &Writer{file: f, maxBytes: most, log: log, start: time.Now(), requests: make(chan acceptedRequest, maxQueued), done: make(chan struct{})}
	go w.run()
	return w, nil
}

// Take leaves a request to be written. One that finds no room is passed over and counted.
func (w *Writer) Take(a balance.Arrival, came time.Time) {
	if w.ended.Load() || w.suspended.Load() {
		return
	}
	select {
	case w.requests <- acceptedRequest{a, came}:
	default:
		w.skipped.Add(1)
	}
}

// Suspend has nothing be taken, or taken again.
func (w *Writer) Suspend(on bool) { w.suspended.Store(on) }

// Counts returns how many requests were written, and how many passed over for want of room in the
// queue.
func (w *Writer) Counts() (written, passed uint64) { return w.written.Load(), w.skipped.Load() }

// Close writes what was taken, and ends the file.
func (w *Writer) Close() {
	if w.ended.CompareAndSwap(false, true) {
		w.requests <- acceptedRequest{} // the last: it has no class
	}
	<-w.done
}

// run writes until the end, the bound, or an error.
func (w *Writer) run() {
	defer close(w.done)
	defer w.file.Close()
	var key [32]byte
	rand.Read(key[:]) // by its page, it never fails
	names := hmac.New(sha256.New, key[:])
	out := bufio.NewWriter(w.file)
	size := int64(0)
	put := func(v any) (bool, error) {
		line, err := json.Marshal(v)
		if err != nil {
			return false, err
		}
		if size += int64(len(line)) + 1; size > w.maxBytes {
			return false, nil
		}
		_, err = out.Write(append(line, '\n'))
		return true, err
	}
	fits, err := put(Header{Version: Version, StartedAt: w.start})
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	last := time.Duration(0)
	for fits && err == nil {
		select {
		case <-ticker.C:
			err = out.Flush()
			continue
		case x := <-w.requests:
			if x.arrival.Class == "" {
				err = out.Flush()
				w.logEnd("capture ended", err)
				return
			}
			last = max(x.at.Sub(w.start), last) // those of two connections may come in the other order
			session := x.arrival.Session
			if session == "" {
				session = x.arrival.ID
			}
			prompt := max(int(x.arrival.PromptTokens), 1)
			if fits, err = put(Request{At: last, Class: x.arrival.Class, Session: hashName(names, session), Prefix: hashName(names, x.arrival.Prefix), PromptTokens: prompt,
				PrefixTokens: min(int(x.arrival.PrefixTokens), prompt), TimeLeft: x.arrival.TimeLeft}); fits && err == nil {
				w.written.Add(1)
			}
		}
	}
	w.ended.Store(true)
	if err == nil {
		err = out.Flush()
	}
	w.logEnd("capture full", err)
	for { // whoever closes is not kept waiting
		select {
		case <-w.requests:
		default:
			return
		}
	}
}

// logEnd tells how a capture ended.
func (w *Writer) logEnd(event string, err error) {
	if err != nil {
		w.log.Warn("capture lost", "file", w.file.Name(), "cause", err)
		return
	}
	w.log.Info(event, "file", w.file.Name(), "requests", w.written.Load(), "passed_over", w.skipped.Load())
}

// hashName hashes a name; an empty one stays so.
func hashName(h hash.Hash, s string) string {
	if s == "" {
		return ""
	}
	h.Reset()
	h.Write([]byte(s))
	return hex.EncodeToString(h.Sum(nil)[:nameBytes])
}
