package members

import (
	"net/netip"
	"slices"
	"time"
)

// entry is a member in the membership list.
type entry struct {
	*identity
	*history    // nil for most members
	Since       time.Duration
	id          memberID
	Incarnation uint32
	State       State
	published   publishedState
}

// identity holds the properties of a member that do not depend on its state. An identity is never
// modified, only replaced, so that several Deciders can share it.
type identity struct {
	Name, Zone, Version string
	Addr                netip.AddrPort
	Boot                uint32
}

// identityOf returns the identity of a Member.
func identityOf(m *Member) *identity {
	return &identity{m.Name, m.Zone, m.Version, m.Addr, m.Boot}
}

// history records rare events of a member: its returns from death, and wrong accusations by the
// local member that occurred because the network path between the two members was broken.
type history struct {
	graceUntil        time.Duration // the member is not suspected before this time, after a return from death
	returns           uint8         // number of returns from death, limited to maxDoublings
	noAccusationUntil time.Duration // the local member does not accuse the member before this time
	wrongAccusations  uint8         // by the local member, limited to maxDoublings
	lastRelay         memberID      // the member whose indirect probe reached the member last
}

// publishedState is the state of a member in the last view that was published to users.
type publishedState struct {
	boot        uint32 // Boot of the published process
	live, known bool   // whether the last view contains the member, and whether any view has contained it
}

// isLive reports whether the member is Alive or Suspected and thus a member of the view.
func (e *entry) isLive() bool { return e.State == Alive || e.State == Suspected }

// isAlive reports whether a member is Alive. It is a filter for randomMembers.
func isAlive(e *entry) bool { return e.State == Alive }

// ensureHistory returns the member's history for modification. It allocates the history if
// necessary.
func (e *entry) ensureHistory() *history {
	if e.history == nil {
		e.history = &history{}
	}
	return e.history
}

// readHistory returns a copy of the member's history, or a zero history if the member has none.
func (e *entry) readHistory() history {
	if e.history == nil {
		return history{}
	}
	return *e.history
}

// toMember returns the entry in the form that is published to users and sent to other members.
func (e *entry) toMember() *Member {
	return &Member{
		Name:        e.Name,
		Zone:        e.Zone,
		Version:     e.Version,
		Addr:        e.Addr,
		Incarnation: e.Incarnation,
		Boot:        e.Boot,
		State:       e.State,
		Since:       e.Since,
	}
}

// addrKey returns an IPv4 address and its port as one number. It returns 0 for other addresses.
func addrKey(a netip.AddrPort) uint64 {
	if !a.Addr().Is4() {
		return 0
	}
	ip := a.Addr().As4()
	return uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | uint64(a.Port())
}

// find returns the index and the entry of a member. If the member is not in the list, find returns
// the index at which to insert it, and nil.
func (d *Decider) find(id memberID) (int, *entry) {
	i, ok := slices.BinarySearchFunc(d.entries, id, func(e *entry, id memberID) int {
		switch {
		case e.id < id:
			return -1
		case e.id > id:
			return 1
		}
		return 0
	})
	if ok {
		return i, d.entries[i]
	}
	return i, nil
}

// insert adds an alive member to the list, at the index that find returned.
func (d *Decider) insert(index int, id memberID, ident *identity, incarnation uint32) *entry {
	e := &entry{identity: ident, id: id, State: Left, Since: d.now}
	d.entries = slices.Insert(d.entries, index, e)
	d.byAddr[addrKey(ident.Addr)] = e
	d.setState(e, Alive, incarnation)
	return e
}

// remove removes a member from the list.
func (d *Decider) remove(e *entry) {
	d.setState(e, Left, e.Incarnation)
	if i, found := d.find(e.id); found == e {
		d.entries = slices.Delete(d.entries, i, i+1)
	}
	if d.byAddr[addrKey(e.Addr)] == e {
		delete(d.byAddr, addrKey(e.Addr))
	}
	delete(d.suspicions, e.id)
}

// sweepDead checks the next sweepBatch entries and removes the members that died or left at least
// deadMemberTTL ago.
func (d *Decider) sweepDead() {
	for range min(sweepBatch, len(d.entries)) {
		if d.sweepIndex >= len(d.entries) {
			d.sweepIndex = 0
		}
		e := d.entries[d.sweepIndex]
		if !e.isLive() && e != d.self && d.now-e.Since >= deadMemberTTL && !e.published.live {
			d.remove(e)
			continue
		}
		d.sweepIndex++
	}
}

// setState sets the state and the incarnation of a member and updates the counts and digests.
func (d *Decider) setState(e *entry, s State, incarnation uint32) {
	if e.isLive() {
		d.toggleDigests(e)
		d.liveCount--
	} else if e.State == Dead {
		d.deadCount--
	}
	if e.State != s {
		e.Since = d.now
	}
	e.State, e.Incarnation = s, incarnation
	d.digestChangedAt = d.now
	if e != d.self {
		d.unpublished[e.id] = e
	}
	if e.isLive() {
		d.toggleDigests(e)
		d.liveCount++
	} else if s == Dead {
		d.deadCount++
	}
}

// replaceIdentity replaces the identity of a member that has a new process or a new address.
func (d *Decider) replaceIdentity(e *entry, m *Member) {
	if e.Addr != m.Addr {
		if d.byAddr[addrKey(e.Addr)] == e {
			delete(d.byAddr, addrKey(e.Addr))
		}
		d.byAddr[addrKey(m.Addr)] = e
	}
	if e.isLive() {
		d.toggleDigests(e)
	}
	e.identity = identityOf(m)
	if e.isLive() {
		d.toggleDigests(e)
	}
	d.unpublished[e.id] = e
}

// toggleDigests adds a live member to both digests, or removes it if the digests contain it.
func (d *Decider) toggleDigests(e *entry) {
	d.digest ^= digestOf(e)
	d.viewDigest ^= viewDigestOf(e)
}

// digestOf returns the contribution of a live member to Decider.digest.
func digestOf(e *entry) uint64 { return hashPair(e.id, e.Incarnation) ^ viewDigestOf(e)>>1 }

// viewDigestOf returns the contribution of a live member to Decider.viewDigest.
func viewDigestOf(e *entry) uint64 { return hashPair(e.id, e.Boot) }

// hashPair returns a hash of a member id and a number.
func hashPair(id memberID, n uint32) uint64 {
	x := uint64(id)*0x9e3779b97f4a7c15 ^ uint64(n)*0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// randomMembers returns at most n random members that pass the filter, without the local member. It
// checks at most 8*n entries, so it may return fewer members than pass the filter.
func (d *Decider) randomMembers(n int, filter func(*entry) bool) (selected []*entry) {
	attempts := 8 * n
	if len(d.entries) <= attempts {
		for _, i := range d.rng.Perm(len(d.entries)) {
			if e := d.entries[i]; len(selected) < n && e != d.self && filter(e) {
				selected = append(selected, e)
			}
		}
		return selected
	}
	for ; attempts > 0 && len(selected) < n; attempts-- {
		e := d.entries[d.rng.IntN(len(d.entries))]
		if e != d.self && filter(e) && !slices.Contains(selected, e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// deadMembers returns all members in state Dead.
func (d *Decider) deadMembers() (all []*entry) {
	for _, e := range d.entries {
		if e.State == Dead {
			all = append(all, e)
		}
	}
	return all
}
