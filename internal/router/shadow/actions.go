package shadow

import "time"

// Action is an instruction of a Decider to its caller: one of the types below.
type Action interface{ isAction() }

// Start tells the caller to send a copy.
type Start struct {
	Copy uint64
	// HistoryGap reports whether an earlier request of the conversation was dropped. The pool may
	// then lack the beginning of the conversation.
	HistoryGap bool
}

// Drop tells the caller to discard a copy that was never started.
type Drop struct {
	Copy  uint64
	Cause Cause
}

// Cancel tells the caller to cancel a copy in flight. The caller must still report its CopyEnded.
type Cancel struct {
	Copy  uint64
	Cause Cause
}

// AttemptGranted answers an AttemptRequest. If OK is false, the caller must treat the attempt as
// rejected by the host.
type AttemptGranted struct {
	Copy uint64
	Host string
	OK   bool
}

// Record tells the caller to write the record of a copy that was started, and to forget the copy.
// Cause is empty if both answers are complete and can be compared.
type Record struct {
	Copy      uint64
	Cause     Cause
	LiveEnded bool // the live answer has ended
}

// PoolEjected reports that the pool was ejected. Until a copy succeeds, the pool gets only trial
// copies.
type PoolEjected struct {
	Failures int           // consecutive failed copies
	Retry    time.Duration // from now until the first trial
}

// PoolRecovered reports that a copy succeeded after the pool was ejected.
type PoolRecovered struct{}

func (Start) isAction()          {}
func (Drop) isAction()           {}
func (Cancel) isAction()         {}
func (AttemptGranted) isAction() {}
func (Record) isAction()         {}
func (PoolEjected) isAction()    {}
func (PoolRecovered) isAction()  {}

// Cause is the reason why a copy was dropped or canceled, or why its answer can't be compared with
// the live answer. The values are part of the record files and of the status.
type Cause string

// Causes for which a waiting copy is dropped or a copy in flight is canceled.
const (
	UnderPressure Cause = "pressure"  // the live path was short of a resource
	Closing       Cause = "closing"   // the program is ending, or new settings removed or replaced the pool
	NoLiveAnswer  Cause = "live gone" // the live answer failed or its client left
)

// Causes for which a copy is dropped before its start.
const (
	OverRate     Cause = "rate"      // waited longer than Caps.MaxWait because of Caps.PerSecond
	OverInFlight Cause = "out"       // waited longer than Caps.MaxWait because of Caps.InFlight
	OverBytes    Cause = "bytes"     // with its body, all bodies together would exceed Caps.Bytes
	OverQueue    Cause = "queue"     // Caps.Waiting copies are already waiting
	PoolDown     Cause = "pool down" // the pool is ejected
	NoHosts      Cause = "no hosts"  // no host of the pool is serving
)

// TimedOut is the cause of a copy that was canceled after Caps.MaxDuration.
const TimedOut Cause = "too long"

// Causes that the caller reports in CopyEnded.
const (
	Refused        Cause = "turned down" // no host of the pool had capacity in time
	Failed         Cause = "failed"      // the copy got no answer
	StreamFailed   Cause = "broken"      // its stream broke, timed out or was malformed
	InvalidRequest Cause = "unfit"       // a host rejected the request as invalid
)
