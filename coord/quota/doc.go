// Package quota shares a rate limit among all processes of a fleet. The owner of a key grants units
// to the processes that use them (lessees), each grant for a short time. The package is pure: no
// I/O, clock or goroutine.
//
// # The protocol
//
// A Lessee that lacks units for a request asks the key's owner (Request) and is granted them, or is
// told when to ask again (Response). An Owner counts what it granted in a sliding window and grants
// while the Plan's bound has capacity. It publishes its grants to standbys, the processes that may
// own the key next; a standby counts them in its Tracker and passes them to NewOwner when it takes
// over. Outstanding bounds what not all standbys have acknowledged: beyond that the owner grants
// nothing, as the next owner could not know of it.
//
// An owner that does not know all grants of the last window is in learning mode: it begins after
// Plan.LearningDelay and grants at a fraction of the limit's rate until a window has passed. A
// Lessee that reaches no owner borrows for a short time, at most as much as it used before, and
// reports that to the next owner.
//
// # Promises
//
// What all processes together use of a key in any window stays within the bound: the limit's rate
// times the window and its burst, with the overshoot and slack that NewPlan was given. That holds
// through lost messages, crashes and take-overs, as long as at most one owner of a key grants at a
// time; the caller ensures that with an epoch as fencing token. docs/design/quota.md has the proof.
package quota
