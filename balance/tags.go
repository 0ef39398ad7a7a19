package balance

// Tags: short hashes that name replicas, zones and prefixes in peer reports.

import (
	"reachspread/internal/assignment"
	"reachspread/internal/rendezvous"
)

// replicaTag returns the 24-bit tag that names a replica in peer reports.
func replicaTag(r *replica) uint32 { return uint32(r.hash >> 40) }

// zoneTag returns the 8-bit tag that names a zone in peer reports.
func zoneTag(zone string) uint8 { return uint8(rendezvous.Hash(zone)) }

// prefixTag returns the 16-bit tag that names the request's prefix in peer reports, 0 for no
// prefix.
func (q *request) prefixTag() uint16 {
	if q.Prefix == "" {
		return 0
	}
	return max(uint16(q.prefixHash>>48), 1)
}

// prefixKey returns the key of a prefix in prefix caches and counts, or the empty key for no
// prefix. The key begins with a zero byte, which no session name begins with.
func prefixKey(tag uint16) string {
	if tag == 0 {
		return ""
	}
	return string([]byte{0, byte(tag >> 8), byte(tag)})
}

// firstRanked returns the first n replicas of pool in the rendezvous order of key, which is the
// same on all routers.
func firstRanked(key uint64, pool []*replica, n int) []*replica {
	return rendezvous.First(key, pool, n, func(r *replica) uint64 { return r.hash })
}

// assignmentKey returns the hash and the zone tag by which a replica is assigned to routers.
func assignmentKey(r *replica) (hash uint64, zone uint8) { return r.hash, zoneTag(r.Zone) }

// assignmentPeers converts the routers of a liveness view to the peers of package assignment.
func assignmentPeers(view LivenessView) []assignment.Peer {
	var all []assignment.Peer
	for _, p := range view.Live {
		all = append(all, assignment.Peer{Number: p.Number, Zone: zoneTag(p.Zone)})
	}
	return all
}
