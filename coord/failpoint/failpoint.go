// Package failpoint lets the tests of whole processes cause failures that nothing outside a process can: messages to a peer that are lost,
// and a disk that stalls or refuses writes. A process has no failures until Set is called, and no program of this module calls it; until
// then each point costs one atomic load.
package failpoint

import "sync/atomic"

// Failures are what fails in this process. Both functions are called by many goroutines at once.
type Faults struct {
	// Lose tells whether a message to an address is lost.
	DropMessage func(to string) bool
	// Write is called before each write to the disk and each sync. It may block, and its error is that of the write.
	BeforeWrite func() error
}

var active atomic.Pointer[Faults]

// Set has failures begin, in place of those before; nil ends them. Both functions of what is set must be there.
func Set(f *Faults) { active.Store(f) }

// Lost tells whether a message to an address is to be lost.
func DropMessage(to string) bool {
	f := active.Load()
	return f != nil && f.DropMessage(to)
}

// Write is to be called before a write to the disk, or a sync; where it returns an error, that is what became of it.
func BeforeWrite() error {
	if f := active.Load(); f != nil {
		return f.BeforeWrite()
	}
	return nil
}
