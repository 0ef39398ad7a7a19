// Package peering does the socket and disk I/O of the communication between routers: datagrams,
// the membership, and the singleton roles with the voters that agree on them. It contains no
// protocol decisions. Packages members, lease and quorum make them as deterministic state machines
// ("deciders"), and one goroutine or one mutex of this package owns each decider.
//
//   - Gossip owns the datagram socket. It passes membership, role and recovery datagrams to their
//     handlers, and peer reports to the callback of Run.
//   - ViewDriver owns the membership decider.
//   - Roles owns a router's lease.Agent, behind a mutex, and runs the work of each role with a
//     context that ends before the lease does. At a candidate it also runs the voter: one
//     goroutine owns the quorum.Voter and its store, and carries out the voter's actions in order.
//
// Datagrams may be lost. A datagram or message that does not fit into a full queue is dropped, too.
// Messages between candidates use framed TCP (package link), which loses messages only when a
// connection breaks.
//
// # After a crash
//
// A candidate's store is a bbolt file. Each quorum.Persist is one transaction, which is synced
// before any later action is carried out. Each value has its own checksum. A file that can't be
// read, or that contains a value with a wrong checksum, is renamed out of the way. If a log entry
// is broken, the voter continues with what was read before that entry, provided that quorum.New and
// the other candidates accept that state. Otherwise the voter starts with a new store, like a
// candidate that has never voted. When a write to the store fails, the voter stops and restarts
// from its disk. A router whose voter does not run still serves, and asks the other voters.
package peering
