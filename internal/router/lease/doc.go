// Package lease implements singleton roles: work that only a limited number of routers may do at a
// time. A router does the work of a role under a lease with a fencing token. Operators call a role a
// duty, and so do the settings, the commands of the management interface and the stored data.
// docs/design/duties.md compares the alternatives.
//
// # Protocol
//
// A few routers vote on a sequence of Commands (package quorum), and each voter applies every
// command to a Table. A Table does not use a clock. A lease ends by the command Expire, which the
// voters' leader proposes after it has waited for a whole lease duration since the last renewal that
// it applied. The token of a grant is larger than the token of every earlier grant of any role.
//
// Each router has an Agent. The Agent sends datagrams (Request, Reply) to the voters to acquire,
// renew and release the roles that its owner wants. It counts a lease from a time that it read
// before it sent the request that the voters granted, and subtracts an allowance for clocks that run
// at different rates. The lease thus ends at the holder before it ends at the voters. When the
// voters grant a role to a queued router, they send the router a notification without a request. The
// router may work under the grant only after it has renewed the grant.
//
// # Guarantees
//
// Tokens only grow. A role has at most Role.MaxHolders grants at a time. While the rates of the
// clocks differ by at most MaxClockDrift, no router begins work under a grant after the voters have
// granted its slot to another router. Work that leaves the process carries its token, and its
// receiver rejects lower tokens (TokenGuard). The receiver's check does not depend on clocks.
//
// # After a crash
//
// A Table that is restored from its State, and to which the later commands are applied, equals the
// table of every other voter. An Agent stores nothing. A restarted router has a new boot number, so
// its Agent ignores replies to an earlier process, and its first request replaces a grant of that
// process.
//
// Everything here is a state machine without I/O, clock or goroutine. The caller passes the time of
// one monotonic clock, which never goes back.
package lease
