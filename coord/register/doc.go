// Package register replicates one state machine on several machines: a chain of replicas (package
// chain) under an agreed view (package view), each replica with its own storage (package storage).
//
// Core is the state machine that joins the two protocols. Its inputs are messages, the time and
// completed writes; its outputs are messages, commits and views. It holds back each message until
// the records that the message depends on are durable, and releases messages in order. So nothing
// is promised, accepted or forwarded that a crash could undo. Replica drives a Core with a clock, a
// disk and a network. Client submits commands to the head and reads from the tail, from any process.
//
// # Guarantees
//
// A command whose reply has been returned is on the disks of all members of the chain, and survives
// the loss of up to Config.Tolerance of them. A client may submit a command again until it gets a
// reply, so the state machine has to recognize a command that it receives twice. A read returns a
// state that contains every change committed before the read began. Without a majority of the
// members, no command is acknowledged or rejected and no read is answered.
//
// # Recovery after a crash
//
// A process that restarts calls Load, which restores the saved state and the records logged after
// it from the disk, and then NewReplica. The process keeps its identity and stays bound by what it
// promised and accepted before. It takes part in the chain again from the next epoch on. Before it
// sends anything that depends on the recovered data, it syncs that data, because the previous
// incarnation may have ended between a write and its sync. A process whose disk was lost starts
// with a new identity. After a failed write, the process writes the complete state again; until
// that succeeds, it reports itself as unhealthy and is left out of the chain.
package register
