package quorum

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"reachspread/internal/router/lease"
)

const (
	tryAgain    = 200 * time.Millisecond // until a proposal that became nothing is made once more
	mostForgets = 16                     // at a time
)

// takeOffice begins the own time as the leader: nothing is known of what the last one granted a moment ago, so each lease begins anew.
func (v *Voter) takeOffice() {
	clear(v.since)
	for _, g := range v.table.Grants() {
		v.since[g.Token] = v.now
		if v.c.NoWait {
			v.since[g.Token] = v.now - v.c.Times.Lease
		}
	}
	v.define()
}

// define has the table know the duties that it does not, or otherwise. The leader does.
func (v *Voter) define() {
	known := map[string]lease.Duty{}
	v.table.Each(func(d *lease.Duty, _ []lease.Grant, _ []lease.Router, _ []lease.Kept) { known[d.Name] = *d })
	for _, d := range v.c.Duties {
		d.Holders = max(d.Holders, 1)
		if before, ok := known[d.Name]; !ok || !reflect.DeepEqual(before, d) {
			v.propose(lease.Command{Kind: lease.Define, Duty: d.Name, With: &d})
		}
	}
}

// leased follows what a command did to leases. Each voter does; the leader's count.
func (v *Voter) leased(c lease.Command, answer lease.Answer, changes []lease.Change) {
	for _, x := range changes {
		if !x.Granted {
			delete(v.since, x.Grant.Token)
			delete(v.pushed, x.Grant.Token)
			if x.Why == lease.HandedOver {
				v.kept[x.Grant.Token] = v.now
			}
			continue
		}
		v.since[x.Grant.Token] = v.now
		if v.led && x.Grant.Pushed {
			v.pushed[x.Grant.Token] = push{v.now, v.now + pushEvery}
			v.push(x.Grant)
		}
	}
	if answer.OK && (c.Kind == lease.Renew || c.Kind == lease.Acquire) {
		v.since[answer.Grant.Token] = v.now
		delete(v.pushed, answer.Grant.Token)
	}
	if answer.OK && c.Kind == lease.Wish && v.led {
		v.pushed[answer.Grant.Token] = push{v.now, v.now + tryAgain}
		v.push(answer.Grant)
	}
}

// push tells a holder of its grant.
func (v *Voter) push(g lease.Grant) {
	v.out = append(v.out, Answer{To: g.Holder.Name, Push: true, Reply: &lease.Reply{Boot: g.Holder.Boot, Leader: v.c.Self, Answer: lease.Answer{OK: true, Grant: g}}})
}

// leases ends those that the leader has waited out, and tells those whose turn it is.
func (v *Voter) leases() {
	for _, g := range v.table.Grants() {
		at, known := v.since[g.Token]
		if !known {
			at = v.now
			v.since[g.Token] = at
		}
		p, told := v.pushed[g.Token]
		switch {
		case v.now >= at+v.c.Times.Lease, g.Pushed && v.now >= at+pushWithin:
			v.propose(lease.Command{Kind: lease.Expire, Duty: g.Duty, Token: g.Token, Renewals: g.Renewals})
			v.since[g.Token] = v.now - v.c.Times.Lease + tryAgain
		case told && v.now >= p.at, g.Pushed && !told:
			v.push(g)
			pause := pushEvery
			if !g.Pushed {
				pause = tryAgain
			}
			v.pushed[g.Token] = push{p.since, v.now + pause}
		}
	}
	if v.now < v.lineAt {
		return
	}
	v.lineAt = v.now + lineEvery
	kept, left := map[uint64]time.Duration{}, mostForgets
	v.table.Each(func(d *lease.Duty, _ []lease.Grant, line []lease.Router, all []lease.Kept) {
		for _, k := range all {
			at, known := v.kept[k.Token]
			if !known {
				at = v.now
			}
			kept[k.Token] = at
			if v.now >= at+v.c.Times.Lease {
				v.propose(lease.Command{Kind: lease.Forget, Duty: d.Name, To: k.To})
			}
		}
		if v.living == nil {
			return
		}
		for _, who := range line {
			if !v.living[who.Name] && left > 0 {
				left--
				v.propose(lease.Command{Kind: lease.Forget, Duty: d.Name, Who: who})
			}
		}
	})
	v.kept = kept
}

// viewed takes who lives.
func (v *Voter) viewed(living map[string]bool) {
	v.living = maps.Clone(living)
	for _, name := range v.c.Names {
		if _, is := v.lost[name]; living[name] {
			delete(v.lost, name)
		} else if !is {
			v.lost[name] = v.now
		}
	}
	maps.DeleteFunc(v.lost, func(name string, _ time.Duration) bool { return !slices.Contains(v.c.Names, name) })
}
