// Package feed distributes topics among the processes of a fleet by publish and subscribe. Each
// process chooses a source for each of its subscriptions, and switches to another source when the
// content is stale.
//
// # The protocol
//
// A subscriber polls its source periodically. A poll has a cursor for each topic, which is the
// revision that the subscriber has. The source answers with the deltas since that revision. It also
// publishes later changes at once, until the subscriber has not polled for subscriberTTL. The
// subscriber ignores a delta that builds on a lost one. Its next poll requests all changes since the
// last delta that it merged. The source does not send a long payload again while that payload may
// be in flight.
//
// Each Subscription has a list of candidates. The subscriber uses the first candidate that delivers
// fresh content. It switches to the next candidate after staleTimeout without fresh content, and
// polls the first candidate from time to time, so that it can switch back. If RequireConfirmed is
// set, content is fresh if it was recently confirmed to be the newest. Each answer carries the age
// of the last confirmation. The subscriber polls faster while it lacks a recent confirmation.
//
// # Use
//
// A Node is a state machine. It does no I/O, reads no clock and starts no goroutine. The caller
// calls it from one goroutine at a time with the time of a monotonic clock, sends the messages that
// it returns, and calls Tick at the time that Next returns.
//
// # Guarantees
//
// Messages may be lost, reordered or duplicated, so a Topic must accept payloads in any order. Then
// all subscribers that are connected to the origin by a chain of sources converge. An answer
// confirms only content that was the newest when its poll was sent.
package feed
