package shadow

import "time"

// Event is an input of a Decider: one of the types below.
type Event interface{ isEvent() }

// Offer reports a live request that the Selector chose for the pool.
type Offer struct {
	Copy    uint64 // identifies the copy; never reused
	Session uint64 // hash of the conversation, as returned by the function Session
	Bytes   int    // size of the request's body
}

// AttemptRequest asks whether an attempt of a copy may be sent to a host. The Decider answers with
// an AttemptGranted.
type AttemptRequest struct {
	Copy uint64
	Host string
}

// AttemptReached reports that a granted attempt of a copy has reached its host or can't reach it any
// more: the host has answered, or the attempt is over.
type AttemptReached struct{ Copy uint64 }

// AttemptEnded reports that a granted attempt to a host is over, including its answer.
type AttemptEnded struct{ Host string }

// CopyEnded reports that a copy is over. Cause is empty if its answer is complete.
type CopyEnded struct {
	Copy  uint64
	Cause Cause
}

// LiveEnded reports that the answer to the live request of a copy has ended. Complete reports
// whether the answer was delivered to its end.
type LiveEnded struct {
	Copy     uint64
	Complete bool
}

// Sample is a measurement of the load of the live path. No copy starts without a recent Sample.
type Sample struct {
	Queued         int           // requests that wait for a host
	BodyFraction   float64       // used fraction of the memory for request bodies
	SocketFraction float64       // used fraction of the connections, see Pressure.SocketFraction
	Delay          time.Duration // scheduling delay
	Rejections     int           // rejected requests since the last sample
}

// HostsChanged reports how many hosts of the pool are serving.
type HostsChanged struct{ Serving int }

// Reconfigure replaces the configuration. Copies in flight that exceed a lowered cap are not
// canceled.
type Reconfigure struct{ Config Config }

// Close drops or cancels all copies. No copy starts after it.
type Close struct{}

func (Offer) isEvent()          {}
func (AttemptRequest) isEvent() {}
func (AttemptReached) isEvent() {}
func (AttemptEnded) isEvent()   {}
func (CopyEnded) isEvent()      {}
func (LiveEnded) isEvent()      {}
func (Sample) isEvent()         {}
func (HostsChanged) isEvent()   {}
func (Reconfigure) isEvent()    {}
func (Close) isEvent()          {}
