// Package view agrees, among the processes of a register, on who replicates: a small view with
// an epoch, its voting members and the order of the replication chain.
//
// # Protocol
//
// The view of epoch e+1 is chosen by the members of view e, in one instance of single-decree
// Paxos (instance e+1). A member prepares with a proposal number, the others promise and report
// the view that they have accepted and the position of their state, and the proposer asks them
// to accept either the view that may already have been chosen or the one that it wants. The
// first view is chosen by the seeds.
//
// A member that promises in instance e+1 seals epoch e: it takes no further part in writes,
// reads or confirmations of that epoch. A commit needs each member of the chain, and a chain
// has at least MinChainLength members, so that it meets every majority. Therefore nothing is
// committed in epoch e once the view of e+1 is chosen, and one of the members that promised has
// the state with everything that was committed (see nextView). Members are replaced only once
// enough of those that stay have completed the epoch.
//
// Processes send heartbeats to each other. A member proposes another view when one of the chain
// stays silent, fails to write or is draining, when a member that left the chain can join it
// again, or when the chain has stalled.
//
// # Shards
//
// The keys of singleton roles are split into Shards, which each view assigns to members of its
// chain. An owner may act on a shard for LeaseDuration after a majority has confirmed its
// epoch; the epoch in which it got the shard is its fencing token.
//
// # What holds after a crash
//
// Promises, accepted views and learned views are written to disk before any message that
// follows from them is sent: the owner of a Decider sends messages behind a Write only once the
// write is durable. A process that lost its disk comes back under another identity, and doesn't
// vote for the earlier one.
//
// A Decider is a state machine without I/O, clock or goroutine. Its owner calls Tick and
// Receive with the time and carries out the effects in their order. It has to serialize the
// calls, and its clock must never go back. docs/design/control.md has the proofs and the
// alternatives that were considered.
package view
