// Package peering drives what goes between routers on sockets and disks: datagrams, the membership,
// and singleton roles with the voters that agree on them. It decides nothing: the deciders are
// packages members, lease and quorum, and each has one goroutine or one mutex here that owns it.
//
//   - Gossip owns the socket for datagrams. It hands those of the membership, of roles and of
//     recovery to their owners, and peer reports to the caller of Run.
//   - ViewDriver owns the decider of the membership.
//   - Roles owns a router's lease.Agent, behind a mutex, and runs the work under each role with a
//     context that ends before the lease does. At a candidate it also runs the voter: one
//     goroutine owns quorum.Voter and its store, and carries out its actions in order.
//
// Datagrams may be lost, and what finds no room in a queue is lost like them. Messages between
// candidates go over framed TCP (package link), where they may be lost only with the connection.
//
// # After a crash
//
// A candidate's store is a bbolt file, written in one transaction for each quorum.Persist and
// synced before anything that follows. Each value has a checksum of its own. A file that can't be
// read, or has a value that does not fit its checksum, is set aside; the voter goes on with what
// was read before a broken log entry, if quorum.New and the other candidates accept that, and
// otherwise begins a new store, as one that has never voted. A voter whose store fails to be
// written is stopped and begun anew from its disk. A router without its voter still serves, and
// asks the other voters.
package peering
