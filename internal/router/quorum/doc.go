// Package quorum implements a voter: one of the few routers that agree, through raft, on the
// commands of package lease. The raft implementation is go.etcd.io/raft/v3, called the engine here.
// This package decides what the engine does not: which router founds the group, which routers vote,
// and what a voter must learn from others before it may use its store. It also expires leases on the
// leader's clock, takes snapshots and replies to requests. docs/design/duties.md compares the
// alternatives.
//
// # Protocol
//
// The routers that may vote are called candidates. The settings of all routers list them in the same
// order. Each candidate has a store with its own ID, and this ID identifies it in the raft group.
// Candidates send each other hellos that describe their stores.
//
//   - The first candidate founds the group once all founders have said that their stores are empty.
//     If the candidates know of a group but none has a log entry of it, its founder lost its disk too
//     early. The first candidate then founds another group, once all candidates have said for longer
//     than a lease that they have no entry.
//   - A candidate with a new store joins as a learner. The leader promotes it once it has caught up.
//     If a voter has been lost for ReplaceTimeout, or its router has another store by now, the same
//     joint configuration change promotes the learner and removes that voter.
//   - A candidate whose store was used before takes part only after a majority of the voters, which
//     may include itself, knows of nothing newer in that store (StoreRecord). It also waits until
//     all live members have replied, or until storeCheckTimeout has passed. If another candidate has
//     seen a later state of the store, the store is an older copy, and the candidate begins a new
//     store.
//   - If a majority of the disks is lost permanently, an operator tells one router to found a new
//     group (Rebuild). A group with a higher number supersedes one with a lower number, and its
//     tokens are in a later block.
//
// The leader uses its own clock for leases: it proposes lease.Expire for a grant if it has seen no
// renewal of the grant for a whole lease duration. A new leader restarts the wait for every lease,
// because it cannot know which renewals the last leader granted just before.
//
// # Guarantees
//
// A command for which SendReply says OK is committed: every later table includes it. Commands are
// ordered as raft orders them. The package does not guarantee how soon a request is served; clients
// send a request again if they get no reply.
//
// # After a crash
//
// The owner must not carry out an action that follows a Persist in the actions of one Step until the
// Persist is on the disk. After a Persist fails, the owner must not call the Voter again. A Voter
// that is made from the StoredState has the same state as the Voter that wrote it. No other router
// was promised anything that was not persisted.
//
// A Voter is a state machine without I/O, clock or goroutine. Its owner calls Step with one event
// and the time of one monotonic clock, carries out the actions in order, and calls Step again at the
// time that Next returns. The same seed and events give the same actions. For this reason the
// package implements the election timers of followers itself, and only a leader calls the engine's
// Tick: the engine draws its election time-outs from a random source that cannot be seeded.
package quorum
