// Package members is the group membership of a fleet: which processes are alive, as one of them
// sees it. It is SWIM with the additions of Lifeguard, over datagrams of at most MaxDatagramLen
// bytes. docs/design/members.md derives the timings and gives the format of every datagram.
//
// # The protocol
//
// Failure detection. Once a protocol period a member pings the next member of a shuffled list. A
// ping that stays without an answer is repeated, then other members are asked to ping the target
// (an indirect probe). A probe without any answer makes the target suspected.
//
// Suspicion. An update that a member is suspected is gossiped. The members that rank first for the
// suspect by rendezvous hashing are its witnesses: they ping it until it answers, and confirm the
// suspicion if it does not within the suspicion time-out. Two confirmations make it dead. The
// suspect hears of the suspicion from each ping, and refutes it by raising its incarnation.
//
// Dissemination. An update goes to a few random members at once and to a few more shortly
// afterwards. Pings and acks carry a digest of all live members with their incarnations; two
// members whose digests differ compare them level by level and exchange the updates that differ
// (anti-entropy).
//
// Joining. A process that starts asks its seeds what they know of its name, and takes an
// incarnation above that before it announces itself. Of several processes that claim one
// name the first has it; the others are rejected until it is dead.
//
// Local health. A member that was not scheduled in time, or whose probes fail often, doubts itself
// first: it voids its probes, accuses nobody for a period and probes less often.
//
// # Use
//
// A Decider is a state machine without I/O, clock or goroutine. Its owner calls Step with the time
// and one event, carries out the returned actions, and calls again at Next. The same seed and
// events give the same actions. The owner calls from one goroutine at a time, with a clock that
// never goes back; a clock or an owner that stood still is detected.
//
// # Promises
//
// The local incarnation only grows, across restarts too, as long as one live member knew it or
// Config.Incarnation was persisted. The local member is never dead in its own view. No datagram is
// longer than MaxDatagramLen. Memory is bounded as the design note says, whatever datagrams arrive.
// From the last fault on, the views of all live members become equal within a bounded time.
package members
