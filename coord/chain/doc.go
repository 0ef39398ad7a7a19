// Package chain replicates a state machine over the chain of a view: commands are executed at
// the head, each member writes the change to its disk before it forwards it, and the tail
// replies. Package view decides who is in the chain.
//
// # Protocol
//
// An epoch begins with synchronization: the head has the state, and each other member gets it
// from its predecessor (Sync) before it reports that it and all behind it are synced (Synced).
// Members with the same position need nothing, others ask for what they lack (Need) and get
// recent changes (Entries) or a snapshot in chunks (Snapshot).
//
// The head then executes commands one at a time: the machine decides on a change and a reply,
// the change goes down the chain (Append), and the tail, at which it is committed, replies to
// the client and notifies the chain (Commit). Messages to a neighbour that aren't answered are
// sent again; members ignore what they have. A command that changes nothing, such as a rejected
// one, is answered by the head, and a read by the tail, once a majority of the members has
// confirmed the epoch after it came (Confirm): so no later view can have been chosen that makes
// the reply stale.
//
// Processes outside the chain follow it as learners, so that they can join the chain of the
// next epoch at once.
//
// # What holds after a crash
//
// A change is on the disks of all members of the chain when it is committed and its client gets
// the reply. A process that restarts takes no further part in its epoch (Resume), as more may
// be on its disk than it has told its neighbours: the chain stalls and another view is chosen.
// A member that has promised to leave an epoch (Seal) neither forwards, commits nor confirms
// anything in it.
//
// A Replica is a state machine without I/O, clock or goroutine. Its owner calls its methods
// with the time and carries out the effects in their order; messages behind a Write are sent
// once that is durable, unless they are Immediate. The owner has to serialize the calls, its
// clock must never go back, and it has to pass on each view that it learns, and call Seal when
// it promises to leave an epoch.
package chain
