package shadow

import "time"

// Action is something for the caller to do: one of the types below.
type Action interface{ isAction() }

// Start sends a copy.
type Start struct {
	Copy uint64
	// HistoryGap is set where an earlier request of the conversation was dropped, so that the
	// pool may lack the beginning of the conversation.
	HistoryGap bool
}

// Drop forgets a copy that was never started.
type Drop struct {
	Copy  uint64
	Cause Cause
}

// Cancel gives up a copy in flight. Its CopyEnded must still follow.
type Cancel struct {
	Copy  uint64
	Cause Cause
}

// AttemptGranted answers an AttemptRequest. Without OK the attempt counts as rejected by the host.
type AttemptGranted struct {
	Copy uint64
	Host string
	OK   bool
}

// Record closes a copy that was started. Cause is empty where both answers are complete and can be
// compared.
type Record struct {
	Copy      uint64
	Cause     Cause
	LiveEnded bool // the live answer has ended
}

// PoolEjected reports that the pool gets no copies but trials until one of them succeeds.
type PoolEjected struct {
	Failures int           // consecutive ones
	Retry    time.Duration // from now until the first trial
}

// PoolRecovered reports that a trial copy succeeded.
type PoolRecovered struct{}

func (Start) isAction()          {}
func (Drop) isAction()           {}
func (Cancel) isAction()         {}
func (AttemptGranted) isAction() {}
func (Record) isAction()         {}
func (PoolEjected) isAction()    {}
func (PoolRecovered) isAction()  {}

// Cause says why a copy was dropped, canceled, or can't be compared. Its values are part of the
// record files and of the status.
type Cause string

// Causes for which a waiting copy is dropped or one in flight is canceled.
const (
	UnderPressure Cause = "pressure"  // the live path was short of a resource
	Closing       Cause = "closing"   // the program ends, or the pool was removed from the settings
	NoLiveAnswer  Cause = "live gone" // the live answer failed or its client left
)

// Causes for which a copy is dropped before its start.
const (
	OverRate     Cause = "rate"      // waited longer than Caps.MaxWait for Caps.PerSecond
	OverInFlight Cause = "out"       // waited longer than Caps.MaxWait for Caps.InFlight
	OverBytes    Cause = "bytes"     // its body exceeds Caps.Bytes
	OverQueue    Cause = "queue"     // Caps.Waiting copies wait already
	PoolDown     Cause = "pool down" // the pool is ejected
	NoHosts      Cause = "no hosts"  // no host of the pool serves
)

// TimedOut is the cause of a copy canceled after Caps.MaxDuration.
const TimedOut Cause = "too long"

// Causes that the caller reports in CopyEnded.
const (
	Refused        Cause = "turned down" // no host of the pool had capacity in time
	Failed         Cause = "failed"      // the copy got no answer
	StreamFailed   Cause = "broken"      // its stream broke, timed out or was malformed
	InvalidRequest Cause = "unfit"       // a host found the request itself invalid
)
