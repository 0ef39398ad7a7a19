package balance

// Hashes and the short names that are made of them: of replicas, zones and prefixes.

import (
	"reachspread/internal/assignment"
	"reachspread/internal/rendezvous"
)

// replicaTag returns the tag of 24 bits by which peer reports name a replica.
func replicaTag(r *replica) uint32 { return uint32(r.hash >> 40) }

// zoneTag returns the tag of 8 bits by which peer reports name a zone.
func zoneTag(zone string) uint8 { return uint8(rendezvous.Hash(zone)) }

// prefixTag returns the tag of 16 bits by which peer reports name a prefix, 0 for none.
func (q *request) prefixTag() uint16 {
	if q.Prefix == "" {
		return 0
	}
	return max(uint16(q.prefixHash>>48), 1)
}

// prefixKey returns the key of a prefix in prefix caches and counts. It begins with a byte that no
// name of a session begins with. The empty key is that of no prefix.
func prefixKey(tag uint16) string {
	if tag == 0 {
		return ""
	}
	return string([]byte{0, byte(tag >> 8), byte(tag)})
}

// firstRanked returns the first n of pool in the rendezvous order of key, which is the same on all
// routers.
func firstRanked(key uint64, pool []*replica, n int) []*replica {
	return rendezvous.First(key, pool, n, func(r *replica) uint64 { return r.hash })
}

// assignmentKey returns by what replicas are assigned to routers.
func assignmentKey(r *replica) (hash uint64, zone uint8) { return r.hash, zoneTag(r.Zone) }

// assignmentPeers returns the routers of a liveness view, with the tags of their zones.
func assignmentPeers(view LivenessView) []assignment.Peer {
	var all []assignment.Peer
	for _, p := range view.Live {
		all = append(all, assignment.Peer{Number: p.Number, Zone: zoneTag(p.Zone)})
	}
	return all
}
