package shadow

import "time"

// Event is something that happened: one of the types below.
type Event interface{ isEvent() }

// Offer is a live request that the selector chose.
type Offer struct {
	Copy    uint64 // identifies the copy; never reused
	Session uint64 // the hash of the conversation, see Session
	Bytes   int    // of the request's body
}

// AttemptRequest asks whether an attempt of a copy may go to a host. An AttemptGranted answers it.
type AttemptRequest struct {
	Copy uint64
	Host string
}

// AttemptReached reports that a granted attempt can no longer reach its host anew: the host has
// answered, or the attempt is over.
type AttemptReached struct{ Copy uint64 }

// AttemptEnded reports that a granted attempt is over.
type AttemptEnded struct{ Host string }

// CopyEnded reports that a copy is over. Cause is empty where its answer is complete.
type CopyEnded struct {
	Copy  uint64
	Cause Cause
}

// LiveEnded reports that the live request of a copy has its final answer. Complete is set where
// the answer was delivered to its end.
type LiveEnded struct {
	Copy     uint64
	Complete bool
}

// Sample is a measurement of the live path. No copy starts without a fresh one.
type Sample struct {
	Queued         int           // requests that wait for a host
	BodyFraction   float64       // of the memory for request bodies
	SocketFraction float64       // of the descriptors
	Delay          time.Duration // scheduling delay
	Rejections     int           // since the last sample
}

// HostsChanged reports how many hosts of the pool serve.
type HostsChanged struct{ Serving int }

// Reconfigure brings another configuration. Copies above a lowered cap run to their end.
type Reconfigure struct{ Config Config }

// Close ends all copies; none starts any more.
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
