// Package shadow decides for one candidate pool which live requests are copied to it, when a copy
// goes out, which are dropped and why, when the pool is taken for down and tried again, and how the
// two answers pair up and compare.
//
// This file is the interface; decider.go holds the decisions, selector.go the choice of requests
// and compare.go the comparison of two answers. A Decider is a state machine without I/O, clock or
// goroutine: its host calls Step with the time and what has happened, and carries out the actions
// in order. The host owes it one caller at a time, a clock that never goes back, and for each copy
// started one Ended, one LiveEnded and a Left for each Seat granted. It may expect that the same
// seed, settings and events give the same actions, that no cap is ever passed, that nothing starts
// under pressure, and that each copy started ends in exactly one Record and any other in one Drop.
// It imports only xxhash and an edit distance.
package shadow

import "time"

// Caps bounds what copies to one pool may take up.
type Caps struct {
	PerSecond float64       // copies that reach hosts in any second, further tries among them; under 1, one in that many seconds
	Out       int           // copies started and not ended
	PerHost   int           // attempts out to one candidate host
	Bytes     int64         // of the bodies of all copies, until their Drop or Record
	Waiting   int           // copies that wait to be started
	Wait      time.Duration // for a copy to be started; after that it is dropped
	Longest   time.Duration // from a copy's start to the end of its answer
}

// Answers returns how many answers may be kept at once, of both sides.
func (c Caps) Answers() int { return c.Waiting + 2*(1+pairingFor)*c.Out }

// Pressure says when the live path is taken to be short of something. A signal counts from High on
// and is over at half of it; at Hard times High, running copies end as well.
type Pressure struct {
	Queued   float64       // requests that wait for a server
	Bodies   float64       // share of the room for request bodies
	Sockets  float64       // share of the descriptors of either side
	Late     time.Duration // of the deciding goroutine
	Refusals float64       // turn-downs in a second
	Hard     float64       // multiple of the above
	Grace    time.Duration // pressure that lasts longer ends running copies too
	Calm     time.Duration // without any signal before copies start again; doubles if pressure soon returns
}

// Health says when the pool is taken for down.
type Health struct {
	Failures int           // in a row
	First    time.Duration // until the first trial copy; doubles with each that fails
	Most     time.Duration // between two trials
}

// Config is the settings of one pool's Decider.
type Config struct {
	Caps     Caps
	Pressure Pressure
	Health   Health
}

// Cause says why a copy was dropped before its start, ended before its end, or is not comparable.
type Cause string

// The causes. Those from Pressed to Closing may drop a copy that waits or end one that is out.
const (
	Pressed Cause = "pressure"  // the live path was short of something
	Closing Cause = "closing"   // the program ends, or the pool was taken out of the settings
	NoLive  Cause = "live gone" // the live answer failed or its client left, so there is nothing to compare with

	OverRate  Cause = "rate"      // waited too long for the copies in a second
	OverOut   Cause = "out"       // waited too long for the copies out
	OverBytes Cause = "bytes"     // no room for its body
	OverQueue Cause = "queue"     // no room to wait
	PoolDown  Cause = "pool down" // the pool is taken for down
	NoHosts   Cause = "no hosts"  // the pool has none that serves

	TooLong Cause = "too long" // ended: the answer took longer than Caps.Longest

	Refused Cause = "turned down" // the pool had no host with room in time
	Failed  Cause = "failed"      // the copy got no answer
	Broken  Cause = "broken"      // its stream broke, fell silent or was spoilt
	Unfit   Cause = "unfit"       // a host found the request itself at fault
)

// Event is something that happened: one of the types below.
type Event interface{ isEvent() }

// Offer is a live request that the selector chose. Copies are named by numbers that never come
// again.
type Offer struct {
	Copy    uint64
	Session uint64 // hash of what names the conversation
	Bytes   int    // of its body
}

// AttemptRequest asks whether an attempt of a copy may go to a host.
type AttemptRequest struct {
	Copy uint64
	Host string
}

// AttemptReached says that a host has answered an attempt that was granted, or that it is over: it
// reached the host by now, if ever.
type AttemptReached struct{ Copy uint64 }

// AttemptEnded says that an attempt that was granted is over.
type AttemptEnded struct{ Host string }

// Ended says that a copy's attempt is over. How is empty for a whole answer.
type Ended struct {
	Copy uint64
	How  Cause
}

// LiveEnded says that the live request of a copy has had its final answer. Whole says that it was
// served to its end.
type LiveEnded struct {
	Copy     uint64
	Complete bool
}

// Sample is the state of the live path. Without a fresh one no copy starts.
type Sample struct {
	Queued   int
	Bodies   float64 // share
	Sockets  float64 // share
	Late     time.Duration
	Refusals int // since the last sample
}

// Hosts is how many hosts of the pool serve.
type Hosts struct{ Serving int }

// Retune brings new settings; what is out stays out, and what is over a lower cap runs to its end.
type Retune struct{ Config Config }

// Close ends all copies; none starts any more.
type Close struct{}

func (Offer) isEvent()          {}
func (AttemptRequest) isEvent() {}
func (AttemptReached) isEvent() {}
func (AttemptEnded) isEvent()   {}
func (Ended) isEvent()          {}
func (LiveEnded) isEvent()      {}
func (Sample) isEvent()         {}
func (Hosts) isEvent()          {}
func (Retune) isEvent()         {}
func (Close) isEvent()          {}

// Action is something for the host to do: one of the types below.
type Action interface{ isAction() }

// Start sends a copy out.
type Start struct {
	Copy uint64
	Gap  bool // an earlier request of its conversation was dropped, so the pool may lack its beginning
}

// Drop forgets a copy that was never started.
type Drop struct {
	Copy  uint64
	Cause Cause
}

// End gives up a copy that is out. Its Ended is still owed.
type End struct {
	Copy  uint64
	Cause Cause
}

// AttemptGranted answers a Seat. Without OK the attempt counts as turned away unseen.
type AttemptGranted struct {
	Copy uint64
	Host string
	OK   bool
}

// Record closes a copy that was started. Cause is empty where both answers are whole and can be
// compared.
type Record struct {
	Copy  uint64
	Cause Cause
	Live  bool // the live answer has ended
}

// Down says that the pool is taken for down until a trial copy succeeds.
type Down struct {
	Failures int
	Retry    time.Duration // until the trial
}

// Back says that a trial copy succeeded.
type Back struct{}

func (Start) isAction()          {}
func (Drop) isAction()           {}
func (End) isAction()            {}
func (AttemptGranted) isAction() {}
func (Record) isAction()         {}
func (Down) isAction()           {}
func (Back) isAction()           {}

// Level is how much the live path leaves to copies.
type Level int

// The levels.
const (
	Calm  Level = iota // copies start
	Tense              // waiting copies have been dropped and none starts
	Hard               // running copies have been ended, too
)

// String returns the level's name.
func (l Level) String() string { return [...]string{"calm", "tense", "hard"}[l] }

// Counts is what a Decider has done so far, and its state.
type Counts struct {
	Offered, Started, Recorded, Compared uint64
	Dropped                              map[Cause]uint64 // never started
	Ended                                map[Cause]uint64 // started and given up
	Incomparable                         map[Cause]uint64 // records by their cause
	Pressed                              map[string]uint64
	HostFull                             uint64 // attempts denied by the cap for each host

	Waiting, Out, Pairing int // pairing: the copy has ended, the live answer has not
	Bytes                 int64
	Level                 Level
	Sampled               bool // the live path was looked at
	Hosts                 int
	Down                  bool
	Retry                 time.Duration // the time of the next trial, while down
}
