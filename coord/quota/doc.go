// Package quota shares a rate limit among all processes of a fleet. The owner of a key grants units
// to the processes that use them (lessees). A grant expires after a short time. The package does no
// I/O, reads no clock and starts no goroutine.
//
// # The protocol
//
// A Lessee that lacks units for a request asks the key's owner for them (Request). The Response
// either grants the units or says when to ask again. An Owner counts its grants in a sliding window
// and grants units while the bound of the Plan has capacity. It publishes its grants to standbys,
// the processes that may own the key next. A standby counts these grants in its Tracker and passes
// them to NewOwner when it takes over. Outstanding tracks the grants that not all standbys have
// acknowledged. While they reach Plan.MaxUnacknowledged, the owner grants nothing, because the next
// owner could be unaware of further grants.
//
// An owner that does not know all grants of the last window is in learning mode: it grants nothing
// during Plan.LearningDelay, and then grants at a fraction of the limit's rate until a window has
// passed. A Lessee that reaches no owner borrows units for a short time, at most as many per window
// as it used before, and reports them to the next owner.
//
// # Guarantees
//
// The use of a key by all processes together stays within the bound in any window. The bound is the
// limit's rate times the window plus its burst, plus the overshoot and slack that the caller passed
// to NewPlan. It holds despite lost messages, crashes and take-overs, as long as at most one owner
// of a key grants units at a time. The caller ensures this with an epoch as fencing token.
// docs/design/quota.md has the proof.
package quota
