// Package failpoint injects faults into a process, for tests that run whole processes. These are
// faults that can't be caused from outside the process, such as the loss of single messages, or a
// disk that stalls or fails. Only tests call Set. Without injected faults, each failpoint costs one
// atomic load.
package failpoint

import "sync/atomic"

// Faults decides which operations fail. Both functions must be set. Many goroutines call them
// concurrently.
type Faults struct {
	// DropMessage reports whether a message to an address is lost.
	DropMessage func(to string) bool
	// BeforeWrite is called before each write to the disk and before each sync. It may block. If it
	// returns an error, the write or sync is not executed and fails with that error.
	BeforeWrite func() error
}

var active atomic.Pointer[Faults]

// Set replaces the injected faults of this process. Nil removes them.
func Set(f *Faults) { active.Store(f) }

// DropMessage reports whether the sender should drop a message to an address. Senders call it for
// each message.
func DropMessage(to string) bool {
	f := active.Load()
	return f != nil && f.DropMessage(to)
}

// BeforeWrite returns the injected error of a write or sync, or nil. The storage calls it before
// each write to the disk and before each sync. On an error, the storage skips the operation and
// returns this error.
func BeforeWrite() error {
	if f := active.Load(); f != nil {
		return f.BeforeWrite()
	}
	return nil
}
