// Package members implements the group membership of a fleet: it decides which processes are alive,
// from the point of view of one of them. The protocol is SWIM with the Lifeguard extensions. It
// runs over datagrams of at most MaxDatagramLen bytes. docs/design/members.md derives the timings
// and specifies the format of every datagram.
//
// # The protocol
//
// Failure detection. In each protocol period a member pings the next member of a shuffled list. If
// the target does not answer, the member repeats the ping and then asks other members to ping the
// target (an indirect probe). If the probe gets no answer at all, the member marks its target as
// suspected.
//
// Suspicion. Members gossip an update that says that a member is suspected. The members that rank
// first for the suspect by rendezvous hashing are its witnesses. The witnesses ping the suspect
// until it answers. A witness that gets no answer within the suspicion timeout confirms the
// suspicion. Two confirmations make the suspect dead. Each ping tells the suspect about the
// suspicion, and the suspect refutes the suspicion by raising its incarnation.
//
// Dissemination. A member sends an update to a few random members at once, and to a few more
// shortly afterwards. Pings and acks carry a digest of all live members and their incarnations. Two
// members whose digests differ compare the digests level by level and exchange the updates that
// differ (anti-entropy).
//
// Joining. A process that starts asks its seeds what they know about its name, and chooses an
// incarnation above that before it announces itself. If several processes claim the same name, the
// first one keeps it. The others are rejected until the first one is dead.
//
// Local health. If a member was not scheduled in time (a stall), or if its probes fail often, the
// member assumes that it is itself at fault and probes less often. After a stall it also cancels
// its probes and accuses no member for one protocol period.
//
// # Use
//
// A Decider is a state machine without I/O, clock or goroutine. The owner of the Decider calls Step
// with the time and one event, carries out the returned actions, and calls Step again no later than
// the time that Next returns. The same seed and the same events produce the same actions. The owner
// must call from one goroutine at a time, with a clock that never goes backwards. If a call of Step
// comes too late, because the owner stalled or the clock jumped forward, the Decider detects it.
//
// # Guarantees
//
// The local incarnation never decreases. This holds across restarts too, as long as one live member
// knew the incarnation or the owner persisted Config.Incarnation. The local member is never dead in
// its own view. No datagram is longer than MaxDatagramLen. Whatever datagrams arrive, memory use
// stays within the bounds in the design document. After the last fault, the views of all live
// members become equal within a bounded time.
package members
