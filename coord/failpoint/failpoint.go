// Package failpoint injects faults into a process for tests of whole processes: faults that nothing
// outside the process can cause, such as the loss of single messages or a disk that stalls or
// fails. Programs never call Set; without faults each failpoint costs one atomic load.
package failpoint

import "sync/atomic"

// Faults decide what fails. Both functions must be set and are called by many goroutines at once.
type Faults struct {
	// DropMessage reports whether a message to an address is lost.
	DropMessage func(to string) bool
	// BeforeWrite is called before each write to the disk and each sync. It may block; an error is
	// returned in place of the write.
	BeforeWrite func() error
}

var active atomic.Pointer[Faults]

// Set replaces the faults of this process; nil ends them.
func Set(f *Faults) { active.Store(f) }

// DropMessage reports whether a message to an address is to be dropped. Senders call it for each.
func DropMessage(to string) bool {
	f := active.Load()
	return f != nil && f.DropMessage(to)
}

// BeforeWrite is called before each write to the disk and each sync. The caller returns its error
// as that of the write.
func BeforeWrite() error {
	if f := active.Load(); f != nil {
		return f.BeforeWrite()
	}
	return nil
}
