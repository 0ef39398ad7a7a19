// Package recovery decides how a router that was stopped, crashed or lost power comes back into
// service: what of its snapshot it goes by, whom it asks, how far an outage reached, and who is
// admitted while model hosts warm up. docs/design/recovery.md weighs the alternatives.
//
// # Protocol
//
// A Decider goes through the stages in their order and never back.
//
//   - Querying: it announces itself to the routers of the saved membership and asks for theirs,
//     until half of them have replied or QueryTimeout has passed. By their boot numbers it later
//     classifies the Outage.
//   - Listing: it waits for discovery's list of hosts. If that does not come within ListTimeout it
//     has the saved list used, without the hosts that other routers exclude. Where a peer has a
//     newer list and has not replied yet which hosts it has, it waits StaleListDelay longer.
//   - Admitting: the hosts are warming up; a Gate admits classes in the order of their value.
//   - AwaitingVoters: it waits until the voters of roles have a leader, if there are roles.
//   - Recovered: nothing more is waited for. Copies to shadow pools and captures begin.
//
// While discovery is silent it goes on asking which hosts of the saved list get no requests:
// another router's word is enough to exclude a host, and never enough to add one.
//
// While it lists and admits, a router that has no measure of what a warm host does asks the routers
// that are alive for theirs, a few at a time, until one has any.
//
// # Promises
//
// No stage waits without a bound, but for AwaitingVoters, in which the router already serves. The
// saved list is used once at most, and never after discovery has spoken. A datagram that is lost or
// forged costs time or, at worst, hosts of a saved list that discovery has not confirmed.
//
// # After a crash
//
// Nothing is stored here: package snapshot has what the next process is told, and a Decider begins
// from it anew. It looks at no clock but spans of its own monotonic one, and spans that others
// measured on theirs.
//
// A Decider is a state machine without I/O, clock or goroutine: its owner calls Step with the time
// and one event, carries out the actions, and calls again at Next.
package recovery
