// Package recovery decides how a router returns to service after a stop, a crash or a power loss. It
// decides which parts of its snapshot the router uses, which routers it asks, how far the outage
// reached, and which requests it admits while model hosts warm up. docs/design/recovery.md compares
// this design with its alternatives.
//
// # Protocol
//
// A Decider goes through the stages in their order and never returns to an earlier one.
//
//   - Querying: the Decider sends its announcement to the routers of the saved membership and
//     requests theirs, until half of them have replied or QueryTimeout has passed. The boot numbers
//     in the replies later classify the Outage.
//   - Listing: the Decider waits for discovery's list of hosts. If no list arrives within
//     ListTimeout, the router uses the saved list without the hosts that other routers exclude. The
//     Decider waits StaleListDelay longer while a peer has a newer list and queries about the hosts
//     are unanswered.
//   - Admitting: the hosts are warming up. A Gate admits classes in the order of their value.
//   - AwaitingVoters: if there are roles, the Decider waits until their voters have a leader.
//   - Recovered: the Decider waits for nothing more. Copies to shadow pools and captures begin.
//
// Until discovery sends a list, the Decider keeps asking other routers which hosts of the saved list
// get no requests. The reply of one router is enough to exclude a host. No reply adds a host.
//
// In the stages Listing and Admitting, a router without a measure of a warm host's work asks the
// routers that are alive for theirs, a few at a time, until one of them has a measure.
//
// # Guarantees
//
// Every stage has a time limit except AwaitingVoters, in which the router already serves requests.
// The saved list is used at most once, and never after discovery has sent a list. A datagram that is
// lost or forged costs time or, at worst, hosts of a saved list that discovery has not confirmed.
//
// # After a crash
//
// This package stores nothing. Package snapshot holds the state for the next process, whose Decider
// starts again from it. A Decider uses only durations: its own, measured with its monotonic clock,
// and those that other routers measured with theirs. It compares no wall-clock times.
//
// A Decider is a state machine without I/O, clock or goroutine. Its owner calls Step with the time
// and one event, carries out the returned actions, and calls Step again no later than Next.
package recovery
