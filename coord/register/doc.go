// Package register keeps one replicated state on several machines: a chain of replicas (package
// chain) under an agreed view (package view), each with its storage (package storage).
//
// Core is the state machine that joins the two protocols. Inputs are messages, the time and
// completed writes; outputs are messages, commits and views. It holds back each message until
// the records that it depends on are durable, in order, so that nothing is promised, accepted
// or forwarded that a crash could undo. Replica drives a Core with a clock, a disk and a
// network. Client submits commands to the head and reads from the tail, from any process.
//
// # What is promised
//
// A command whose reply was returned is on the disks of all members of the chain, and survives
// the loss of as many of them as Config.Tolerance says. A client may submit it again until it
// gets a reply, so the machine has to recognize a command that comes twice. A read returns the
// newest state that was committed after the read began. Without a majority of the members
// nothing is acknowledged, read or rejected.
//
// # What holds after a crash
//
// A process restarts with Load, which restores the state and the log of records behind it from
// the disk, and NewReplica. It comes back with its identity, is bound by what it promised and
// accepted before, and takes part in the chain again from the next epoch on. What it found is
// synced before anything is sent that rests on it, as the earlier incarnation may have ended
// between a write and its sync. A process whose disk was lost is another identity. After a
// failed write the complete state is written anew; until then the process reports itself
// unhealthy and is left out of the chain.
package register
