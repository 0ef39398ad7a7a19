// Package chain replicates a state machine over the chain of a view. The head executes commands,
// each member writes the resulting change to its disk before it forwards the change, and the tail
// replies to the client. Package view decides which processes are in the chain.
//
// # Protocol
//
// An epoch begins with synchronization. The head has the state. Each other member gets the state
// from its predecessor (Sync), and reports to the predecessor once it and all members behind it are
// synced (Synced). A member with the same position as its predecessor needs nothing. Any other
// member requests what it lacks (Need), and gets recent changes (Entries) or a snapshot in chunks
// (Snapshot).
//
// The head then executes commands one at a time. The state machine decides on a change and a reply,
// and the change goes down the chain (Append). The change is committed when it reaches the tail,
// which replies to the client and notifies the chain (Commit). A member resends a message that a
// neighbour doesn't answer, and ignores a change that it already has. The head answers a command
// that changes nothing, such as a rejected one, and the tail answers a read. Both answer only after
// a majority of the members has confirmed the epoch since the request arrived (Confirm). This shows
// that no later view had been chosen that would make the reply stale.
//
// Processes outside the chain follow it as learners, so that they can join the chain of the next
// epoch at once.
//
// # Durability
//
// A change is on the disks of all members of the chain before it is committed and its client gets
// the reply. A process that restarts takes no further part in its epoch (Resume), because its disk
// may have changes that it hasn't reported to its neighbours. The chain then stalls, and another
// view is chosen. A member that has promised to leave an epoch (Seal) neither forwards, commits nor
// confirms anything in it.
//
// A Replica is a state machine that does no I/O, reads no clock and starts no goroutine. Its caller
// calls the methods with the current time and carries out the returned effects in order. The caller
// sends a message that follows a Write only once the write is durable, unless the message is
// Immediate. The caller must serialize the calls, and its clock must never go backwards. The
// caller must also pass on each view that it learns, and call Seal when it promises to leave an
// epoch.
package chain
