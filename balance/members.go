package balance

// The list of replicas, this gateway's share of it, and the reports that gateways tell each other.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"reachspread/internal/assignment"
	"reachspread/internal/decayed"
	"reachspread/internal/rendezvous"
)

const (
	firstCap  = 8.0             // streams a warm replica is trusted with before anything was learned
	mostKept  = 4096            // prefixes and sessions remembered for a replica, before old ones are dropped
	forget    = 5 * time.Second // half of what is held against a slow replica is forgotten after this
	askAgain  = time.Second     // between calls to a discovery that failed
	believe   = 0.3             // weight of an opinion that others tell
	mostTold  = 30.0            // seconds of reading that are believed to be in front of a replica
	shareOf   = 7               // replicas of a gateway's share at least, and so many more that
	leastHeld = 3               // gateways have each replica in theirs
)

func (b *Balancer) takeMembers(ev Members) {
	if len(b.order) == 0 {
		b.tell(b.fleet.Others()) // so that they know the own zone
	}
	if ev.Failed {
		b.askAt = b.now + askAgain/2 + time.Duration(b.rng.Float64()*float64(askAgain))
		return
	}
	if ev.Version < b.version {
		return
	}
	b.version, b.counted = ev.Version, false
	b.fleet.Changed()
	if ev.Whole {
		for _, r := range b.order {
			r.State = Gone
		}
	}
	for _, m := range ev.Members {
		b.takeMember(m)
	}
	maps.DeleteFunc(b.replicas, func(_ string, r *replica) bool { return r.State == Gone && r.streams == 0 })
	b.order = slices.DeleteFunc(b.order, func(r *replica) bool { return b.replicas[r.Replica] == nil })
	clear(b.tags)
	for _, r := range slices.Backward(b.order) { // the first of two of one tag has it
		b.tags[tag(r)] = r
	}
}

func (b *Balancer) takeMember(m Member) {
	r := b.replicas[m.Replica]
	if r == nil {
		r = &replica{name: rendezvous.Hash(m.Replica), cap: firstCap, slow: decayed.Opinion{Half: forget},
			kept: decayed.Memory{Most: mostKept, Forget: time.Minute}}
		b.replicas[m.Replica] = r
		i := sort.Search(len(b.order), func(i int) bool { return b.order[i].Replica > m.Replica })
		b.order = slices.Insert(b.order, i, r)
	}
	b.kinds[m.Kind] = cmp.Or(b.kinds[m.Kind], &fit{})
	started := m.Born > r.Born && b.now-m.Born < b.cfg.ColdTime
	r.Member, r.read = m, b.kinds[m.Kind]
	if started {
		b.makeCold(r, m.Born)
		r.fails, r.died, r.ejected = 0, false, 0
	}
}

// deal gives each gateway its share of its zone's replicas, alike wherever it is worked out: so few that it
// hears of each often, keeps a connection and need not hear of all.
func (b *Balancer) deal() {
	if !b.fleet.Due(b.now) {
		return
	}
	b.living = float64(b.fleet.ConfirmedAlive(b.now))
	all := slices.DeleteFunc(slices.Clone(b.order), func(r *replica) bool { return r.State != Serving })
	n := max(shareOf, leastHeld*len(all)/max(b.fleet.NotDead(b.now), 1))
	sharers := map[*replica][]int{}
	for i, who := range assignment.Deal(b.fleet, b.now, all, n, place) {
		sharers[all[i]] = who
	}
	gone := func(i int) bool { return b.fleet.Dead(i, b.now) }
	b.share = nil
	for _, r := range b.order {
		had := len(r.hearers)
		r.sharers = sharers[r]
		r.hearers = slices.DeleteFunc(slices.Clone(r.sharers), gone)
		if r.mine = b.fleet.Alone() || slices.Contains(r.hearers, b.cfg.Me); r.mine {
			b.share = append(b.share, r)
			if n := len(r.hearers); n < had { // prompts of those that are gone are, too
				r.told *= float64(n) / float64(had)
			}
		}
	}
}

// tell gives reports to other gateways.
func (b *Balancer) tell(to []int, reports ...PeerReport) {
	to = slices.DeleteFunc(slices.Clone(to), func(i int) bool { return i == b.cfg.Me })
	if len(to) > 0 || b.cfg.Broadcast && len(reports) > 0 {
		b.do(Tell{To: to, Zone: mark(b.cfg.Zone), Reports: reports})
	}
}

// takeHeard takes in what another gateway tells: a prompt in front of the own ones, or an opinion.
func (b *Balancer) takeHeard(ev Heard) {
	if !b.cfg.Broadcast && !b.fleet.Heard(ev.From, ev.Zone) {
		return
	}
	for _, n := range ev.Reports {
		switch r := b.tags[n.Tag]; {
		case r == nil:
		case n.Tokens > 0:
			b.backlog(r) // of before
			r.told, r.others = min(r.told+n.Tokens, mostTold/r.read.slope()), r.others+1
			r.kept.Put(prefixKey(n.Prefix), b.now, math.Inf(1))
			if b.cfg.OneHome {
				b.prompts.Add(prefixKey(n.Prefix))
			}
			b.spend(r, b.meanWork*min(b.living, 1)) // each that is alone has a credit of its own
		case n.Failed:
			r.doubts.Failed(ev.From, b.now)
		case n.Slow > 0:
			r.slow.Hear(b.now, min(max(n.Slow, 0.2), 20), believe)
		}
	}
}
