// Package quorum is one voter of the few routers that agree, by raft, on the commands of package
// lease. The agreement itself is go.etcd.io/raft/v3's. This package has what stands around it: who
// founds the group, who votes, what a voter must know before its store counts, the leader's clock
// for leases, snapshots, and replies to requests. docs/design/duties.md weighs the alternatives.
//
// # Protocol
//
// Routers that may vote are candidates, named in the same order in all settings. Each has a store
// with an ID of its own, which is its identity in the raft group. Candidates send each other hellos
// that describe their stores.
//
//   - The first candidate founds the group once all founders have said that their stores are empty.
//     Where a group is known and nobody has an entry of it, as its founder lost its disk too early,
//     the first candidate founds another once all candidates have said so for longer than a lease.
//   - A candidate with a new store joins as a learner and is promoted by the leader once it has
//     caught up; a voter that is lost for ReplaceTimeout, or whose store is another one by now,
//     makes room for it by one joint configuration change.
//   - A candidate with a store that has voted takes part once enough others for a majority with
//     itself have found nothing newer of that store (StoreRecord), and all that are alive have
//     replied, or storeCheckTimeout has passed. A store that others have seen further along is an
//     older copy: the candidate begins a new one.
//   - Where a majority of the disks is lost for good, an operator has one router found a new group
//     (Rebuild). A higher group number supersedes a lower one. Its tokens are in a later block.
//
// The leader applies its own clock to leases: it proposes lease.Expire for a grant that it has seen
// no renewal of for a whole lease. A new leader begins every lease anew, as it can't know what the
// last one granted a moment ago.
//
// # Promises
//
// A command for which SendReply says OK is committed: every later table has it. What the caller
// sees of order is that of raft. The package promises nothing about how soon a request is served;
// clients ask again.
//
// # After a crash
//
// Nothing that follows a Persist in the actions of one Step may be carried out before it is on the
// disk, and after a Persist that fails the Voter must not be called again. A Voter that is made of
// the StoredState is then the voter that it was. What was not persisted was promised to nobody.
//
// A Voter is a state machine without I/O, clock or goroutine. Its owner calls Step with the time of
// one monotonic clock and one event, carries out the actions in order, and calls again at Next. The
// same seed and events give the same actions: followers' election timers are this package's, as the
// engine draws its own from a source that can't be seeded, so only leaders tick the engine.
package quorum
