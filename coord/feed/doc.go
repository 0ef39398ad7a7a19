// Package feed distributes topics among the processes of a fleet by publish and subscribe: each
// process chooses a source for what it subscribes to, and turns to another one when it is stale.
//
// # The protocol
//
// A subscriber polls its source at an interval, with a cursor for each topic: the revision that it
// has. The source answers with deltas since then, and until the subscription lapses it publishes
// further changes as they come. A delta that builds on one that was lost is ignored; the next poll
// asks for all since the last one that came. A long payload is not sent again while it may be in
// flight.
//
// Each Subscription has a list of candidates. The subscriber uses the first that brings what is
// fresh, turns to the next after staleTimeout, and keeps asking the first one from time to time, to
// return to it. Where RequireConfirmed is set, fresh means that the topic was known to be the
// newest at a time: the age of that knowledge travels with each answer, and polls are faster
// without it.
//
// # Use
//
// A Node is a state machine without I/O, clock or goroutine. Its owner calls it from one goroutine
// at a time with a clock that never goes back, sends what it returns, and calls Tick at Next.
//
// # Promises
//
// Messages may be lost, reordered or duplicated. A Topic must therefore merge payloads in any
// order; then all subscribers that reach a chain of sources converge. An answer confirms only what
// was the newest when its poll was sent.
package feed
