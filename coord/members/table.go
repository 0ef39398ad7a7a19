package members

import (
	"net/netip"
	"slices"
	"time"
)

// entry is a member of the membership list.
type entry struct {
	*identity
	*history    // nil for most
	Since       time.Duration
	id          memberID
	Incarnation uint32
	State       State
	published   publishedState
}

// identity is who a member is, apart from its state. It is replaced, never changed.
type identity struct {
	Name, Zone, Version string
	Addr                netip.AddrPort
	Boot                uint32
}

func identityOf(m *Member) *identity {
	return &identity{m.Name, m.Zone, m.Version, m.Addr, m.Boot}
}

// history is what few members have: returns from death, and accusations that were wrong because the
// way between the two was broken.
type history struct {
	graceUntil        time.Duration // not suspected until then, after a return
	returns           uint8
	noAccusationUntil time.Duration // not accused by the local member until then
	wrongAccusations  uint8         // by the local member
	lastRelay         memberID      // through which an indirect probe reached it last
}

// publishedState is what users of the view know of a member.
type publishedState struct {
	boot        uint32
	live, known bool
}

// isLive reports whether the member counts as a member of the view.
func (e *entry) isLive() bool { return e.State == Alive || e.State == Suspected }

// isAlive is a filter for randomMembers.
func isAlive(e *entry) bool { return e.State == Alive }

// ensureHistory returns the member's history for writing.
func (e *entry) ensureHistory() *history {
	if e.history == nil {
		e.history = &history{}
	}
	return e.history
}

// readHistory returns the member's history for reading.
func (e *entry) readHistory() history {
	if e.history == nil {
		return history{}
	}
	return *e.history
}

// toMember returns the member as it is published to users and sent to other members.
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

// addrKey is an IPv4 address with its port as a number, 0 for other addresses.
func addrKey(a netip.AddrPort) uint64 {
	if !a.Addr().Is4() {
		return 0
	}
	ip := a.Addr().As4()
	return uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | uint64(a.Port())
}

// find returns the index of a member in the list, and nil with the index at which to insert it
// where it is not there.
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

// insert adds a member that is alive, at the index that find returned.
func (d *Decider) insert(index int, id memberID, ident *identity, incarnation uint32) *entry {
	e := &entry{identity: ident, id: id, State: Left, Since: d.now}
	d.entries = slices.Insert(d.entries, index, e)
	d.byAddr[addrKey(ident.Addr)] = e
	d.setState(e, Alive, incarnation)
	return e
}

// remove forgets a member.
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

// sweepDead removes a few members that have been dead, or have left, for longer than deadMemberTTL.
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

// setState puts a member into a state at an incarnation and updates counts and digests.
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

// replaceIdentity takes up a new process or address of a member.
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

// toggleDigests adds a live member to the digests, or takes it out.
func (d *Decider) toggleDigests(e *entry) {
	d.digest ^= digestOf(e)
	d.viewDigest ^= viewDigestOf(e)
}

// digestOf is the contribution of a live member to the digest of the list, and viewDigestOf that to
// the digest of the view.
func digestOf(e *entry) uint64     { return hashPair(e.id, e.Incarnation) ^ viewDigestOf(e)>>1 }
func viewDigestOf(e *entry) uint64 { return hashPair(e.id, e.Boot) }

func hashPair(id memberID, n uint32) uint64 {
	x := uint64(id)*0x9e3779b97f4a7c15 ^ uint64(n)*0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// randomMembers draws at most n other members that fit, looking at no more than a few times n.
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

// deadMembers returns all members that are Dead.
func (d *Decider) deadMembers() (all []*entry) {
	for _, e := range d.entries {
		if e.State == Dead {
			all = append(all, e)
		}
	}
	return all
}
