// Package view implements the agreement, among the processes of a register, on the current view. A
// view is identified by its epoch, and lists a small number of voting members and the order of the
// replication chain.
//
// # Protocol
//
// The members of view e choose the view of epoch e+1 in one instance of single-decree Paxos
// (instance e+1). A member sends a prepare message with a proposal number. The other members
// promise, and report the view that they have accepted and the position of their replicated state.
// The proposer then asks the members to accept a view: the one that may already have been chosen,
// or else the one that the proposer wants. The seeds choose the first view.
//
// A member that promises in instance e+1 seals epoch e: it takes no further part in writes, reads
// or confirmations of that epoch. A commit needs every member of the chain. A chain has at least
// MinChainLength members, so it shares a member with every majority. Therefore nothing is committed
// in epoch e once the view of epoch e+1 is chosen, and at least one of the members that promised
// has a state with every committed change (see nextView). Members are replaced only once enough of
// the remaining members have completed the epoch, that is, have the state that the epoch began
// with.
//
// Processes send heartbeats to each other. A member proposes another view when a member of the
// chain is silent, fails to write or is draining, when a member that left the chain can join it
// again, or when the chain has stalled.
//
// # Shards
//
// The keys of singleton roles are split into Shards. Each view assigns the shards to members of its
// chain. The owner of a shard may act on it for LeaseDuration after the start of a confirmation of
// its epoch that a majority answered. The fencing token of the owner is the epoch in which it
// became the owner.
//
// # Durability
//
// A process writes promises, accepted views and learned views to disk before it sends any message
// that depends on them: the caller of a Decider sends the messages that follow a Write only once
// the write is durable. A process that lost its disk restarts under another identity, and doesn't
// vote for the earlier one.
//
// A Decider is a state machine that does no I/O, reads no clock and starts no goroutine. Its caller
// calls Tick and Receive with the current time and carries out the returned effects in order. The
// caller must serialize the calls, and its clock must never go backwards. docs/design/control.md
// has the proofs and the alternatives that were considered.
package view
