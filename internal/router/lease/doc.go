// Package lease has singleton roles: work that only so many routers may do at a time, each under a
// lease with a fencing token. Operators call a role a duty, and so do settings, calls and stored
// data. docs/design/duties.md weighs the alternatives.
//
// # Protocol
//
// A few routers vote on a sequence of Commands (package quorum) and apply each to a Table. A Table
// never looks at a clock: a lease ends by the command Expire, which the voters' leader proposes
// once it has itself waited a whole lease since the last renewal that it applied. Every grant has a
// token that is larger than any before it, of any role.
//
// Each router has an Agent, which asks the voters by datagrams (Request, Reply) for the roles that
// its owner wants, renews them and gives them back. It counts a lease from before the moment at
// which it sent the request that was granted, less an allowance for clocks that run at different
// rates, so the holder's lease ends before the voters' does. A router whose turn comes while it is
// queued is notified without having asked; the grant counts only once the router has renewed it.
//
// # Promises
//
// Tokens only grow. At most Role.MaxHolders grants of a role stand at a time. As long as clocks
// differ in rate by no more than MaxClockDrift, nobody begins work under a grant that has been
// given to another router. Work that leaves the process carries its token, and its receiver rejects
// lower ones (TokenGuard): that holds whatever clocks do.
//
// # After a crash
//
// A Table is restored from its State and the commands after it, and is then the same as at every
// other voter. An Agent stores nothing: a router that starts anew has another boot number, so a
// reply to an earlier process is ignored, and its first request replaces a grant of that process.
//
// Everything here is a state machine without I/O, clock or goroutine. The caller passes the time of
// one monotonic clock that never goes back.
package lease
