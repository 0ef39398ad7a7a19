// Package node runs one router of the fleet, from its start until it has drained.
//
// A router takes clients' requests, the calls of model hosts and operators, and messages of other
// routers. Each piece of state has one owner; others ask the owner or are notified by it:
//
//   - The hub, a goroutine of its own, owns what this router knows of the fleet: the routers that
//     live, the hosts of each service, the configuration, and from which router each of them is
//     obtained. All others post calls to it (hub.post, query) and never wait for it to be free.
//   - The data plane (package dataplane) owns the requests in flight. The hub hands it the
//     configuration and the endpoints of each service.
//   - The replica (package register) owns this router's copy of the replicated register, where the
//     settings make it a member or a seed. The register client submits commands to whoever has the
//     head of the chain.
//   - The membership (package peering) owns the view of which routers live, by SWIM.
//   - quotas, under its lock, owns the leases of tenants' limits that this router spends from and,
//     for the shards that the register's view assigns to it, what it grants to others (quotaOwner).
//   - peerReporter owns the queue of datagrams by which routers report prompts and failures of
//     hosts to each other. They are lost without harm.
//   - pinTracker, under its lock, knows since when each revision of the version pins is committed.
//   - stateFile saves the known hosts and the usage of tenants to the disk for the next start.
//
// Which router answers for the hosts of a service in a zone, and so receives their heartbeats and
// publishes their records to the zone, is settled by rendezvous hashing over the routers that live
// (fleet.owners). A record that must not be lost goes to the owners as a handoff that is retried
// until it is acknowledged.
//
// # Start and end
//
// Run opens the disk and the sockets, starts the loops, then the listeners. A test may end a router
// as a crash does (Node.crash). When its context ends, the router drains: it reports not ready
// while clients may still arrive, finishes the requests in flight, and waits until the other
// members of the register can do without it, all within the grace that the platform gives
// (draining.go). All loops have ended when Run returns, but for a write to a disk that hangs.
package node
