package transport

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"reachspread/internal/routing"
)

// PanicLog counts and logs the panics of goroutines that serve one connection. Such a panic ends
// that connection, not the process with the requests of all other clients. A nil PanicLog contains
// nothing.
//
// Goroutines that own state which others rely on, such as admission, the decisions or the hub, must
// not use it: their state may be inconsistent after a panic, so it must end the process.
type PanicLog struct {
	log   routing.Logger
	count atomic.Uint64
}

// NewPanicLog returns a PanicLog that has counted nothing.
func NewPanicLog(log routing.Logger) *PanicLog { return &PanicLog{log: log} }

// Count returns the number of panics so far.
func (p *PanicLog) Count() uint64 { return p.count.Load() }

// contain recovers from a panic of the deferring function, counts and logs it, and calls then unless
// that is nil. where names what was being done. It must be deferred directly.
func (p *PanicLog) contain(where string, then func()) {
	if p == nil {
		return
	}
	if cause := recover(); cause != nil {
		p.record(where, cause)
		if then != nil {
			then()
		}
	}
}

// containError does what contain does, and makes the deferring function return an error.
func (p *PanicLog) containError(where string, err *error) {
	if p == nil {
		return
	}
	if cause := recover(); cause != nil {
		p.record(where, cause)
		*err = &panicError{where: where, cause: cause}
	}
}

func (p *PanicLog) record(where string, cause any) {
	p.count.Add(1)
	p.log.Warn("panic recovered", "where", where, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
}

// panicError is the error of a function that panicked.
type panicError struct {
	where string
	cause any
}

// Error implements error.
func (e *panicError) Error() string { return fmt.Sprintf("panic while %s: %v", e.where, e.cause) }
