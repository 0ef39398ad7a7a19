// Package node runs one router of the fleet, from its start until it has drained.
//
// A router receives requests from clients, calls from model hosts and operators, and messages from
// other routers. Each piece of state has one owner. Other components ask the owner for the state,
// or the owner notifies them:
//
//   - The hub, a goroutine of its own, owns what this router knows about the fleet: the live
//     routers, the hosts of each service, the configuration, and the router from which it obtains
//     each of them. Other components post calls to it without blocking (hub.post), or wait for an
//     answer until their context ends (query).
//   - The data plane (package dataplane) owns the requests in flight. The hub passes it the
//     configuration and the endpoints of each service.
//   - The replica (package register) owns this router's copy of the replicated register. Only a
//     router that the settings make a member or a seed has one. The register client submits
//     commands to the head of the chain.
//   - The membership (package peering) owns the view of the live routers, which it maintains by
//     SWIM.
//   - quotas, guarded by its lock, owns the leases on tenants' limits from which this router
//     spends. For the shards that the register's view assigns to this router, it also owns the
//     grants to other routers (quotaOwner).
//   - peerReporter owns the queue of datagrams in which this router reports prompts and host
//     failures to the other routers. Losing such a datagram does no harm.
//   - pinTracker, guarded by its lock, records when each revision of the version pins was
//     committed.
//   - stateFile saves the known hosts and the tenants' usage to the disk for the next start.
//
// Each service has an owner in each zone: the router that receives the heartbeats of the service's
// hosts there and publishes their records to the zone. Rendezvous hashing over the live routers
// selects it (fleet.owners). A record that must not be lost is sent to the owners as a handoff,
// which is retried until they acknowledge it.
//
// # Start and end
//
// Run opens the disk and the sockets, starts the loops, and then opens the listeners. A test can
// end a router without draining, as a crash does (Node.crash). When its context ends, the router
// drains: it reports that it is not ready while clients may still arrive, finishes the requests in
// flight, and waits until the other members of the register can do without it. All of this happens
// within the platform's grace period (draining.go). When Run returns, all loops have ended, except
// for a write to a disk that hangs.
package node
