package simulation

import (
	"fmt"
	"slices"
	"time"
)

// Kind is a fault by the names that the operators' bench gives it: kind and variant.
type Kind string

// The kinds that concern the machines which keep the register. What the bench lists beside them concerns clients, hosts or routers that
// keep nothing; docs/design/control.md says where each is played.
const (
	NodeKill       Kind = "node_kill"
	NodeKillPower  Kind = "node_kill power"
	NodeKillAgain  Kind = "node_kill hard"
	RollTerm       Kind = "roll_term"
	ReplaceCore    Kind = "replace_core"
	ReplacePlanned Kind = "replace_core planned"
	ReplaceOldest  Kind = "replace_core oldest"
	ReplaceTwice   Kind = "replace_core twice"
	SeedTurnover   Kind = "seed_turnover"
	AckKill        Kind = "after_ack_kill"
	AckKillTimed   Kind = "after_ack_kill timed"
	AckWipe        Kind = "after_ack_wipe"
	AckWipeOldest  Kind = "after_ack_wipe oldest"
	WipeInVote     Kind = "after_ack_wipe in a vote"
	DiskSlow       Kind = "disk_slow"
	DiskFull       Kind = "disk_full"
	DiskStall      Kind = "disk_stall"
	CoreCut        Kind = "core_cut"
	CutOneWay      Kind = "core_cut one_way"
	CutSplit       Kind = "core_cut split"
	CutBehind      Kind = "core_cut behind"
	CutSeeds       Kind = "core_cut seeds"
	CutBoth        Kind = "core_cut both"
	CutRelieve     Kind = "core_cut relieve"
	NodeCut        Kind = "node_cut"
	NodeFreeze     Kind = "node_freeze"
	NodeSlow       Kind = "node_slow"
	CPUQuota       Kind = "processor quota"
	ResetConns     Kind = "reset_conns"
	HerdKill       Kind = "herd_kill core"
	HerdKillOff    Kind = "herd_kill core off"
	HerdKillTaken  Kind = "herd_kill core taken"
	PowerOffAll    Kind = "power_off_all"
	WipeAfterAck   Kind = "wipe_after_ack"
	KillAll        Kind = "kill_all"
)

// Kinds are all of them, in a fixed order.
func Kinds() []Kind {
	all := make([]Kind, 0, len(injections))
	for kind := range injections {
		all = append(all, kind)
	}
	slices.Sort(all)
	return all
}

// injections are what the kinds do. Each tells whether it could be done now.
var injections map[Kind]func(d *Drawer) bool

func init() {
	injections = map[Kind]func(d *Drawer) bool{
		NodeKill:       func(d *Drawer) bool { return d.kill(false) },
		NodeKillPower:  func(d *Drawer) bool { return d.kill(true) },
		NodeKillAgain:  (*Drawer).killAgain,
		RollTerm:       (*Drawer).restart,
		ReplaceCore:    func(d *Drawer) bool { return d.replace(d.pick()) },
		ReplacePlanned: func(d *Drawer) bool { return d.replacePlanned(d.pick()) },
		ReplaceOldest:  func(d *Drawer) bool { return d.replace(d.oldest()) },
		ReplaceTwice:   (*Drawer).replaceTwice,
		SeedTurnover:   (*Drawer).turnSeeds,
		AckKill:        func(d *Drawer) bool { return d.afterAck(d.shortly(), false) },
		AckKillTimed:   func(d *Drawer) bool { return d.afterAck(d.timed(), false) },
		AckWipe:        func(d *Drawer) bool { return d.afterAck(d.shortly(), true) },
		AckWipeOldest:  func(d *Drawer) bool { return d.wipe(d.oldest()) },
		WipeInVote:     (*Drawer).wipeInVote,
		DiskSlow:       func(d *Drawer) bool { return d.slowDisk(29 * d.w.Sync) },
		DiskStall:      func(d *Drawer) bool { return d.slowDisk(0) },
		DiskFull:       (*Drawer).fullDisk,
		CoreCut:        func(d *Drawer) bool { return d.cutOff(false) },
		CutOneWay:      func(d *Drawer) bool { return d.cutOff(true) },
		CutSplit:       (*Drawer).split,
		CutBehind:      (*Drawer).behind,
		CutSeeds:       (*Drawer).cutSeeds,
		CutBoth:        (*Drawer).cutBoth,
		CutRelieve:     (*Drawer).relieve,
		NodeCut:        func(d *Drawer) bool { return d.cutOff(false) },
		NodeFreeze:     (*Drawer).freeze,
		NodeSlow:       func(d *Drawer) bool { return d.pauses(500*time.Millisecond, 400*time.Millisecond) },
		CPUQuota:       func(d *Drawer) bool { return d.pausesAll(100*time.Millisecond, 70*time.Millisecond) },
		ResetConns:     (*Drawer).reset,
		HerdKill:       func(d *Drawer) bool { return d.all(survives, 0) },
		HerdKillOff:    func(d *Drawer) bool { return d.all(powerOff, d.span()) },
		HerdKillTaken:  func(d *Drawer) bool { return d.allAfterAck(powerOff, 0) },
		PowerOffAll:    func(d *Drawer) bool { return d.allAfterAck(powerOff, 0) },
		KillAll:        func(d *Drawer) bool { return d.allAfterAck(survives, 0) },
		WipeAfterAck:   func(d *Drawer) bool { return d.allAfterAck(powerOff, d.w.Tolerance) },
	}
}

// restartsIn is how long after its end a process begins anew at least; some tenths of a second are drawn in addition.
const restartsIn = 300 * time.Millisecond

func (d *Drawer) restartIn() time.Duration {
	return restartsIn + time.Duration(d.w.rng.IntN(400))*time.Millisecond
}

// trace tells of a fault.
func (d *Drawer) trace(kind string, p *Process, span time.Duration) {
	d.w.Trace("%v %s %s for %v", d.w.Now, kind, p.Address, span)
}

func (d *Drawer) kill(power bool) bool {
	p, span := d.pick(), d.span()
	if !d.lose(p, span) {
		return false
	}
	d.trace("kill", p, span)
	if power {
		p.LosePower()
	} else {
		p.Crash()
	}
	d.later(span, p.Start)
	return true
}

// killAgain kills a process again and again, each time as it has just begun, also in the middle of a snapshot.
func (d *Drawer) killAgain() bool {
	const times = 4
	p, span := d.pick(), 6*time.Second
	if !d.lose(p, span) {
		return false
	}
	d.trace("kill again and again", p, span)
	for i := range times {
		d.w.After(time.Duration(i)*span/times, p.Crash)
		d.w.After(time.Duration(i)*span/times+d.restartIn(), p.Start)
	}
	d.later(span, p.Start)
	return true
}

// restart is SIGTERM, and a start with the same disk.
func (d *Drawer) restart() bool {
	p := d.pick()
	serve := time.Duration(d.w.rng.IntN(8000)) * time.Millisecond
	if !d.lose(p, mostStay+time.Second) {
		return false
	}
	d.trace("restart", p, serve)
	p.Leave(serve, func() { d.later(d.restartIn(), p.Start) })
	return true
}

// successor is an empty machine at another address.
func (d *Drawer) successor(of *Process) *Process {
	d.names++
	return d.w.Add(fmt.Sprintf("r%d", d.names), of.seeds, false)
}

// tellAll has all processes know of the machines that there are.
func (d *Drawer) tellAll() {
	for _, p := range d.w.Living() {
		p.Core.SetKnownAddresses(d.w.Addresses())
	}
}

// mostReplaced is how many machines a play replaces at most.
const mostReplaced = 6

// replace takes a machine out for good; an empty one comes later.
func (d *Drawer) replace(p *Process) bool {
	after := time.Duration(500+d.w.rng.IntN(2000)) * time.Millisecond
	if d.names >= mostReplaced || !d.mayLoseDisk() || !d.lose(p, after) {
		return false
	}
	d.trace("replace", p, after)
	d.loseDisk(p)
	d.w.Remove(p)
	next := d.successor(p)
	d.lost[next] = d.lost[p]
	delete(d.lost, p)
	d.disks[next] = d.disks[p]
	delete(d.disks, p)
	d.later(after, func() {
		next.Start()
		d.tellAll()
	})
	return true
}

// replacePlanned has the new machine begin first; the old one gets SIGTERM a little later, and never comes back. It counts as lost until
// the new one has had its time to catch up, however long it goes on.
func (d *Drawer) replacePlanned(p *Process) bool {
	if d.names >= mostReplaced || !p.up || d.overlap && !d.mayLoseDisk() || !d.lose(p, 0) {
		return false
	}
	after := time.Duration(500+d.w.rng.IntN(2000)) * time.Millisecond
	serve := time.Duration(d.w.rng.IntN(8000)) * time.Millisecond
	d.trace("replace as planned", p, serve)
	next := d.successor(p)
	next.Start()
	d.tellAll()
	d.lost[next] = d.lost[p]
	delete(d.lost, p)
	d.leaving[p] = true
	if d.overlap {
		d.loseDisk(next)
	}
	d.later(after, func() {
		p.Leave(serve, func() {
			d.w.Remove(p)
			d.tellAll()
			d.disturbed()
		})
	})
	return true
}

// replaceTwice replaces one machine as planned, and the next as soon as the successor had its time.
func (d *Drawer) replaceTwice() bool {
	if !d.replacePlanned(d.pick()) {
		return false
	}
	d.w.After(catchUp+10*time.Millisecond, func() { d.replacePlanned(d.pick()) })
	return true
}

// turnSeeds has the settings name other seeds, for all lives that begin from now on.
func (d *Drawer) turnSeeds() bool {
	var seeds []string
	for _, i := range d.w.rng.Perm(len(d.w.Nodes))[:min(seedMachines, len(d.w.Nodes))] {
		seeds = append(seeds, d.w.Nodes[i].Address)
	}
	for _, p := range d.w.Nodes {
		p.seeds = seeds
	}
	return true
}

// shortly is within 4 ms of an acknowledgement.
func (d *Drawer) shortly() time.Duration { return time.Duration(d.w.rng.IntN(4000)) * time.Microsecond }

// timed is up to 400 ms after a change.
func (d *Drawer) timed() time.Duration {
	return time.Duration(5+d.w.rng.IntN(395)) * time.Millisecond
}

// afterAck has a machine lose power, or its disk, right after the next acknowledgement.
func (d *Drawer) afterAck(in time.Duration, wipe bool) bool {
	p, span := d.end(), d.span()
	if wipe && !d.mayLoseDisk() || !d.lose(p, span+in) {
		return false
	}
	d.w.afterTaken(func() {
		d.w.After(in, func() {
			d.trace("power lost after an acknowledgement, wipe "+fmt.Sprint(wipe), p, span)
			p.LosePower()
			if wipe {
				d.loseDisk(p)
				p.Wipe()
			}
			d.lost[p] = d.w.Now + span + catchUp
			d.later(span, p.Start)
		})
	})
	return true
}

// end is the machine at one end of the chain, or any.
func (d *Drawer) end() *Process {
	p := d.pick()
	if p.Core == nil {
		return p
	}
	v := p.Core.View()
	if len(v.GetChain()) == 0 || d.w.rng.IntN(3) == 0 {
		return p
	}
	identity := v.Chain[d.w.rng.IntN(2)*(len(v.Chain)-1)]
	for _, q := range d.w.Nodes {
		if q.self != nil && q.self.Identity == identity {
			return q
		}
	}
	return p
}

// wipe has a machine lose its disk and come back.
func (d *Drawer) wipe(p *Process) bool {
	span := d.span()
	if !d.mayLoseDisk() || !d.lose(p, span) {
		return false
	}
	d.trace("crash and wipe", p, span)
	d.loseDisk(p)
	p.LosePower()
	p.Wipe()
	d.later(span, p.Start)
	return true
}

// wipeInVote has a machine lose its disk right after its next promise, and another one crash so that there is a vote.
func (d *Drawer) wipeInVote() bool {
	p, span := d.pick(), d.shortSpan()
	if !d.mayLoseDisk() || !d.lose(p, span) {
		return false
	}
	d.loseDisk(p)
	p.armed = true
	d.later(span, func() { p.armed = false })
	if q := d.pick(); d.w.Tolerance > 1 && q != p && d.lose(q, span) {
		q.Crash()
		d.later(span, q.Start)
	}
	return true
}

func (d *Drawer) slowDisk(by time.Duration) bool {
	p, span := d.pick(), d.span()
	if !d.lose(p, span) {
		return false
	}
	if by == 0 {
		by = span
	}
	d.trace("disk slower by "+by.String(), p, span)
	p.SlowDisk(by, span)
	d.later(span, func() {})
	return true
}

func (d *Drawer) fullDisk() bool {
	p, span := d.pick(), d.span()
	if !d.lose(p, span) {
		return false
	}
	d.trace("disk full", p, span)
	of := p.disk
	of.full = true
	d.later(span, func() { of.full = false })
	return true
}

func (d *Drawer) cutOff(oneWay bool) bool {
	p, span := d.pick(), d.span()
	if !d.lose(p, span) {
		return false
	}
	d.trace("cut off, one way "+fmt.Sprint(oneWay), p, span)
	some, others := []string{p.Address}, d.w.Addresses()
	if oneWay && d.w.rng.IntN(2) == 0 {
		some, others = others, some
	}
	cut := d.w.CutOff(some, others, oneWay)
	d.later(span, cut.Heal)
	return true
}

// half are half of the machines, rounded down, by lot.
func (d *Drawer) half() (some []*Process) { return d.some(len(d.w.Nodes) / 2) }

// some are so many machines by lot.
func (d *Drawer) some(n int) (some []*Process) {
	for _, i := range d.w.rng.Perm(len(d.w.Nodes))[:n] {
		some = append(some, d.w.Nodes[i])
	}
	return some
}

func addressesOf(all []*Process) (addresses []string) {
	for _, p := range all {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// split cuts the machines into halves, whatever is tolerated. Nothing else is lost meanwhile.
func (d *Drawer) split() bool {
	if !d.overlap && d.anyLost() {
		return false
	}
	some, span := d.half(), d.span()
	d.w.Trace("%v split %v from the others for %v", d.w.Now, addressesOf(some), span)
	d.loseAll(span)
	cut := d.w.CutOff(addressesOf(some), d.w.Addresses(), false)
	d.later(span, cut.Heal)
	return true
}

// minority are so few machines that the others can go on, with those others.
func (d *Drawer) minority() (few, rest []*Process) {
	few = d.some(max(d.w.Tolerance, 1))
	for _, p := range d.w.Nodes {
		if !slices.Contains(few, p) {
			rest = append(rest, p)
		}
	}
	return few, rest
}

// missing is for how long a minority misses changes.
const missing = 5 * time.Second

// behind has a minority miss changes; then one of the others loses its disk, the rest are dark for a while, and the cut heals.
func (d *Drawer) behind() bool {
	if d.anyLost() || !d.mayLoseDisk() {
		return false
	}
	few, rest := d.minority()
	span := d.shortSpan()
	d.loseAll(missing + span)
	d.w.Trace("%v %v are behind", d.w.Now, addressesOf(few))
	cut := d.w.CutOff(addressesOf(few), d.w.Addresses(), false)
	d.later(missing, func() {
		d.loseDisk(rest[0])
		rest[0].LosePower()
		rest[0].Wipe()
		d.later(d.restartIn(), rest[0].Start)
		for _, p := range rest[1:] {
			p.LosePower()
			d.later(span, p.Start)
		}
		cut.Heal()
	})
	return true
}

// cutSeeds cuts a minority off, makes it the first seeds, and restarts some others.
func (d *Drawer) cutSeeds() bool {
	if d.anyLost() {
		return false
	}
	few, rest := d.minority()
	span := d.span()
	d.loseAll(span)
	d.w.Trace("%v %v are cut off and seeds", d.w.Now, addressesOf(few))
	seeds := addressesOf(append(slices.Clone(few), rest...))[:min(seedMachines, len(d.w.Nodes))]
	for _, p := range d.w.Nodes {
		p.seeds = seeds
	}
	cut := d.w.CutOff(addressesOf(few), d.w.Addresses(), false)
	d.later(span/2, func() {
		rest[0].Crash()
		d.later(d.restartIn(), rest[0].Start)
	})
	d.later(span, cut.Heal)
	return true
}

// cutBoth restarts those that are cut off, then the others.
func (d *Drawer) cutBoth() bool {
	if d.anyLost() {
		return false
	}
	few, rest := d.minority()
	span := d.shortSpan()
	d.loseAll(span + 2*time.Second)
	d.w.Trace("%v %v are cut off, and all are restarted", d.w.Now, addressesOf(few))
	cut := d.w.CutOff(addressesOf(few), d.w.Addresses(), false)
	d.later(span/2, func() { d.restartAll(few) })
	d.later(span, func() { d.restartAll(rest) })
	d.later(span+time.Second, cut.Heal)
	return true
}

func (d *Drawer) restartAll(all []*Process) {
	for _, p := range all {
		p.Crash()
		d.later(d.restartIn(), p.Start)
	}
}

// relieve heals a cut, and right then the processes on the others are killed.
func (d *Drawer) relieve() bool {
	if d.anyLost() {
		return false
	}
	few, rest := d.minority()
	span := d.span()
	d.loseAll(span + time.Second)
	d.w.Trace("%v %v are relieved in %v", d.w.Now, addressesOf(few), span)
	cut := d.w.CutOff(addressesOf(few), d.w.Addresses(), false)
	d.later(span, func() {
		cut.Heal()
		d.w.After(time.Duration(d.w.rng.IntN(300))*time.Millisecond, func() { d.restartAll(rest) })
	})
	return true
}

func (d *Drawer) freeze() bool {
	p, span := d.pick(), d.span()
	if !d.lose(p, span) {
		return false
	}
	d.trace("freeze", p, span)
	p.Freeze(span)
	d.later(span, func() {})
	return true
}

// pauses has a process stand still for a part of each period.
func (d *Drawer) pauses(period, still time.Duration) bool {
	p, span := d.pick(), d.span()
	if !d.lose(p, span) {
		return false
	}
	d.trace("pauses", p, span)
	d.pauseUntil(p, d.w.Now+span, period, still)
	d.later(span, func() {})
	return true
}

// pausesAll has all processes pause in each period, as a share of a core that is a quota makes them. Nobody counts as lost by it.
func (d *Drawer) pausesAll(period, still time.Duration) bool {
	if d.quotaUntil > d.w.Now {
		return false
	}
	span := d.span()
	d.quotaUntil = d.w.Now + span
	d.w.Trace("%v processors as quotas for %v", d.w.Now, span)
	for _, p := range d.w.Nodes {
		d.w.After(time.Duration(d.w.rng.Int64N(int64(period))), func() { d.pauseUntil(p, d.w.Now+span, period, still) })
	}
	return true
}

func (d *Drawer) pauseUntil(p *Process, until, period, still time.Duration) {
	if d.w.Now >= until {
		return
	}
	if p.up {
		p.Freeze(still)
	}
	d.w.After(period, func() { d.pauseUntil(p, until, period, still) })
}

func (d *Drawer) reset() bool {
	d.w.Reset(d.pick().Address)
	return true
}

// ending is what becomes of what a process has not synced.
type ending int

// The endings.
const (
	survives ending = iota // the process is killed
	powerOff
)

// all has all processes end at once.
func (d *Drawer) all(of ending, down time.Duration) bool {
	if !d.overlap && d.anyLost() {
		return false
	}
	d.endAll(of, down)
	return true
}

func (d *Drawer) endAll(of ending, down time.Duration) {
	d.w.Trace("%v all end", d.w.Now)
	d.loseAll(down + time.Second)
	for _, p := range slices.Clone(d.w.Nodes) {
		d.endOne(p, of)
		d.later(down+d.restartIn(), p.Start)
	}
}

func (d *Drawer) endOne(p *Process, of ending) {
	if of == powerOff {
		p.LosePower()
	} else {
		p.Crash()
	}
}

// allAfterAck has all processes end within moments of an acknowledgement, some of them with their disks.
func (d *Drawer) allAfterAck(of ending, wiped int) bool {
	if d.anyLost() || wiped > 0 && !d.mayLoseDisk() {
		return false
	}
	in := []time.Duration{0, d.shortly(), d.timed()}[d.w.rng.IntN(3)]
	d.loseAll(5 * time.Second)
	d.w.afterTaken(func() {
		d.w.After(in, func() {
			d.endAll(of, 0)
			for _, p := range d.some(min(wiped, len(d.w.Nodes))) {
				d.w.Trace("%v %s loses its disk", d.w.Now, p.Address)
				d.loseDisk(p)
				p.Wipe()
			}
			d.loseAll(time.Second)
		})
	})
	return true
}
