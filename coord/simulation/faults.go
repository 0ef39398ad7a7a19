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
	NodeKill             Kind = "node_kill"
	NodeKillPower        Kind = "node_kill power"
	NodeKillAgain        Kind = "node_kill hard"
	RollTerm             Kind = "roll_term"
	ReplaceCore          Kind = "replace_core"
	ReplacePlanned       Kind = "replace_core planned"
	ReplaceOldest        Kind = "replace_core oldest"
	ReplaceTwice         Kind = "replace_core twice"
	SeedTurnover         Kind = "seed_turnover"
	AckKill              Kind = "after_ack_kill"
	AckKillTimed         Kind = "after_ack_kill timed"
	AckWipe              Kind = "after_ack_wipe"
	AckWipeOldest        Kind = "after_ack_wipe oldest"
	WipeDuringVote       Kind = "after_ack_wipe in a vote"
	DiskSlow             Kind = "disk_slow"
	DiskFull             Kind = "disk_full"
	DiskStall            Kind = "disk_stall"
	PartitionCore        Kind = "core_cut"
	PartitionOneWay      Kind = "core_cut one_way"
	PartitionHalves      Kind = "core_cut split"
	PartitionBehind      Kind = "core_cut behind"
	PartitionSeeds       Kind = "core_cut seeds"
	PartitionBoth        Kind = "core_cut both"
	PartitionRelieve     Kind = "core_cut relieve"
	PartitionNode        Kind = "node_cut"
	NodeFreeze           Kind = "node_freeze"
	NodeSlow             Kind = "node_slow"
	CPUQuota             Kind = "processor quota"
	ResetConns           Kind = "reset_conns"
	HerdKill             Kind = "herd_kill core"
	HerdKillOff          Kind = "herd_kill core off"
	HerdKillAcknowledged Kind = "herd_kill core taken"
	PowerOffAll          Kind = "power_off_all"
	WipeAfterAck         Kind = "wipe_after_ack"
	KillAll              Kind = "kill_all"
)

// Kinds are all of them, in a fixed order.
func Kinds() []Kind {
	all := make([]Kind, 0, len(injectors))
	for kind := range injectors {
		all = append(all, kind)
	}
	slices.Sort(all)
	return all
}

// injections are what the kinds do. Each tells whether it could be done now.
var injectors map[Kind]func(d *FaultInjector) bool

func init() {
	injectors = map[Kind]func(d *FaultInjector) bool{
		NodeKill:             func(d *FaultInjector) bool { return d.kill(false) },
		NodeKillPower:        func(d *FaultInjector) bool { return d.kill(true) },
		NodeKillAgain:        (*FaultInjector).killRepeatedly,
		RollTerm:             (*FaultInjector).restart,
		ReplaceCore:          func(d *FaultInjector) bool { return d.replace(d.pickProcess()) },
		ReplacePlanned:       func(d *FaultInjector) bool { return d.replacePlanned(d.pickProcess()) },
		ReplaceOldest:        func(d *FaultInjector) bool { return d.replace(d.oldestDisk()) },
		ReplaceTwice:         (*FaultInjector).replaceTwice,
		SeedTurnover:         (*FaultInjector).changeSeeds,
		AckKill:              func(d *FaultInjector) bool { return d.losePowerAfterAck(d.drawShortDelay(), false) },
		AckKillTimed:         func(d *FaultInjector) bool { return d.losePowerAfterAck(d.drawDelay(), false) },
		AckWipe:              func(d *FaultInjector) bool { return d.losePowerAfterAck(d.drawShortDelay(), true) },
		AckWipeOldest:        func(d *FaultInjector) bool { return d.wipe(d.oldestDisk()) },
		WipeDuringVote:       (*FaultInjector).wipeDuringVote,
		DiskSlow:             func(d *FaultInjector) bool { return d.slowDisk(29 * d.world.Sync) },
		DiskStall:            func(d *FaultInjector) bool { return d.slowDisk(0) },
		DiskFull:             (*FaultInjector).fullDisk,
		PartitionCore:        func(d *FaultInjector) bool { return d.partitionOne(false) },
		PartitionOneWay:      func(d *FaultInjector) bool { return d.partitionOne(true) },
		PartitionHalves:      (*FaultInjector).partitionHalves,
		PartitionBehind:      (*FaultInjector).leaveMinorityBehind,
		PartitionSeeds:       (*FaultInjector).partitionSeeds,
		PartitionBoth:        (*FaultInjector).partitionAndRestart,
		PartitionRelieve:     (*FaultInjector).restartMajorityAtHeal,
		PartitionNode:        func(d *FaultInjector) bool { return d.partitionOne(false) },
		NodeFreeze:           (*FaultInjector).freeze,
		NodeSlow:             func(d *FaultInjector) bool { return d.pauseOne(500*time.Millisecond, 400*time.Millisecond) },
		CPUQuota:             func(d *FaultInjector) bool { return d.pauseAll(100*time.Millisecond, 70*time.Millisecond) },
		ResetConns:           (*FaultInjector).resetConnections,
		HerdKill:             func(d *FaultInjector) bool { return d.crashAll(processKill, 0) },
		HerdKillOff:          func(d *FaultInjector) bool { return d.crashAll(powerLoss, d.drawDuration()) },
		HerdKillAcknowledged: func(d *FaultInjector) bool { return d.crashAllAfterAck(powerLoss, 0) },
		PowerOffAll:          func(d *FaultInjector) bool { return d.crashAllAfterAck(powerLoss, 0) },
		KillAll:              func(d *FaultInjector) bool { return d.crashAllAfterAck(processKill, 0) },
		WipeAfterAck:         func(d *FaultInjector) bool { return d.crashAllAfterAck(powerLoss, d.world.Tolerance) },
	}
}

// restartsIn is how long after its end a process begins anew at least; some tenths of a second are drawn in addition.
const minRestartDelay = 300 * time.Millisecond

func (d *FaultInjector) restartDelay() time.Duration {
	return minRestartDelay + time.Duration(d.world.rng.IntN(400))*time.Millisecond
}

// trace tells of a fault.
func (d *FaultInjector) trace(kind string, p *Process, span time.Duration) {
	d.world.Trace("%v %s %s for %v", d.world.Now, kind, p.Address, span)
}

func (d *FaultInjector) kill(power bool) bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.markLost(p, span) {
		return false
	}
	d.trace("kill", p, span)
	if power {
		p.LosePower()
	} else {
		p.Crash()
	}
	d.endAfter(span, p.Start)
	return true
}

// killAgain kills a process again and again, each time as it has just begun, also in the middle of a snapshot.
func (d *FaultInjector) killRepeatedly() bool {
	const times = 4
	p, span := d.pickProcess(), 6*time.Second
	if !d.markLost(p, span) {
		return false
	}
	d.trace("kill again and again", p, span)
	for i := range times {
		d.world.After(time.Duration(i)*span/times, p.Crash)
		d.world.After(time.Duration(i)*span/times+d.restartDelay(), p.Start)
	}
	d.endAfter(span, p.Start)
	return true
}

// restart is SIGTERM, and a start with the same disk.
func (d *FaultInjector) restart() bool {
	p := d.pickProcess()
	serve := time.Duration(d.world.rng.IntN(8000)) * time.Millisecond
	if !d.markLost(p, maxDrainTime+time.Second) {
		return false
	}
	d.trace("restart", p, serve)
	p.Drain(serve, func() { d.endAfter(d.restartDelay(), p.Start) })
	return true
}

// successor is an empty machine at another address.
func (d *FaultInjector) addReplacement(of *Process) *Process {
	d.replacements++
	return d.world.AddProcess(fmt.Sprintf("r%d", d.replacements), of.seeds, false)
}

// tellAll has all processes know of the machines that there are.
func (d *FaultInjector) announceAddresses() {
	for _, p := range d.world.Running() {
		p.Core.SetKnownAddresses(d.world.Addresses())
	}
}

// mostReplaced is how many machines a play replaces at most.
const maxReplacements = 6

// replace takes a machine out for good; an empty one comes later.
func (d *FaultInjector) replace(p *Process) bool {
	after := time.Duration(500+d.world.rng.IntN(2000)) * time.Millisecond
	if d.replacements >= maxReplacements || !d.diskLossAllowed() || !d.markLost(p, after) {
		return false
	}
	d.trace("replace", p, after)
	d.markDiskLost(p)
	d.world.RemoveProcess(p)
	next := d.addReplacement(p)
	d.lostUntil[next] = d.lostUntil[p]
	delete(d.lostUntil, p)
	d.diskLostUntil[next] = d.diskLostUntil[p]
	delete(d.diskLostUntil, p)
	d.endAfter(after, func() {
		next.Start()
		d.announceAddresses()
	})
	return true
}

// replacePlanned has the new machine begin first; the old one gets SIGTERM a little later, and never comes back. It counts as lost until
// the new one has had its time to catch up, however long it goes on.
func (d *FaultInjector) replacePlanned(p *Process) bool {
	if d.replacements >= maxReplacements || !p.up || d.overlap && !d.diskLossAllowed() || !d.markLost(p, 0) {
		return false
	}
	after := time.Duration(500+d.world.rng.IntN(2000)) * time.Millisecond
	serve := time.Duration(d.world.rng.IntN(8000)) * time.Millisecond
	d.trace("replace as planned", p, serve)
	next := d.addReplacement(p)
	next.Start()
	d.announceAddresses()
	d.lostUntil[next] = d.lostUntil[p]
	delete(d.lostUntil, p)
	d.draining[p] = true
	if d.overlap {
		d.markDiskLost(next)
	}
	d.endAfter(after, func() {
		p.Drain(serve, func() {
			d.world.RemoveProcess(p)
			d.announceAddresses()
			d.recordDisruption()
		})
	})
	return true
}

// replaceTwice replaces one machine as planned, and the next as soon as the successor had its time.
func (d *FaultInjector) replaceTwice() bool {
	if !d.replacePlanned(d.pickProcess()) {
		return false
	}
	d.world.After(catchUpTime+10*time.Millisecond, func() { d.replacePlanned(d.pickProcess()) })
	return true
}

// turnSeeds has the settings name other seeds, for all lives that begin from now on.
func (d *FaultInjector) changeSeeds() bool {
	var seeds []string
	for _, i := range d.world.rng.Perm(len(d.world.Processes))[:min(seedMachines, len(d.world.Processes))] {
		seeds = append(seeds, d.world.Processes[i].Address)
	}
	for _, p := range d.world.Processes {
		p.seeds = seeds
	}
	return true
}

// shortly is within 4 ms of an acknowledgement.
func (d *FaultInjector) drawShortDelay() time.Duration {
	return time.Duration(d.world.rng.IntN(4000)) * time.Microsecond
}

// timed is up to 400 ms after a change.
func (d *FaultInjector) drawDelay() time.Duration {
	return time.Duration(5+d.world.rng.IntN(395)) * time.Millisecond
}

// afterAck has a machine lose power, or its disk, right after the next acknowledgement.
func (d *FaultInjector) losePowerAfterAck(in time.Duration, wipe bool) bool {
	p, span := d.chainEnd(), d.drawDuration()
	if wipe && !d.diskLossAllowed() || !d.markLost(p, span+in) {
		return false
	}
	d.world.onNextAcknowledgement(func() {
		d.world.After(in, func() {
			d.trace("power lost after an acknowledgement, wipe "+fmt.Sprint(wipe), p, span)
			p.LosePower()
			if wipe {
				d.markDiskLost(p)
				p.Wipe()
			}
			d.lostUntil[p] = d.world.Now + span + catchUpTime
			d.endAfter(span, p.Start)
		})
	})
	return true
}

// end is the machine at one end of the chain, or any.
func (d *FaultInjector) chainEnd() *Process {
	p := d.pickProcess()
	if p.Core == nil {
		return p
	}
	v := p.Core.View()
	if len(v.GetChain()) == 0 || d.world.rng.IntN(3) == 0 {
		return p
	}
	identity := v.Chain[d.world.rng.IntN(2)*(len(v.Chain)-1)]
	for _, q := range d.world.Processes {
		if q.self != nil && q.self.Identity == identity {
			return q
		}
	}
	return p
}

// wipe has a machine lose its disk and come back.
func (d *FaultInjector) wipe(p *Process) bool {
	span := d.drawDuration()
	if !d.diskLossAllowed() || !d.markLost(p, span) {
		return false
	}
	d.trace("crash and wipe", p, span)
	d.markDiskLost(p)
	p.LosePower()
	p.Wipe()
	d.endAfter(span, p.Start)
	return true
}

// wipeInVote has a machine lose its disk right after its next promise, and another one crash so that there is a vote.
func (d *FaultInjector) wipeDuringVote() bool {
	p, span := d.pickProcess(), d.drawShortDuration()
	if !d.diskLossAllowed() || !d.markLost(p, span) {
		return false
	}
	d.markDiskLost(p)
	p.wipeOnPromise = true
	d.endAfter(span, func() { p.wipeOnPromise = false })
	if q := d.pickProcess(); d.world.Tolerance > 1 && q != p && d.markLost(q, span) {
		q.Crash()
		d.endAfter(span, q.Start)
	}
	return true
}

func (d *FaultInjector) slowDisk(by time.Duration) bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.markLost(p, span) {
		return false
	}
	if by == 0 {
		by = span
	}
	d.trace("disk slower by "+by.String(), p, span)
	p.SlowDisk(by, span)
	d.endAfter(span, func() {})
	return true
}

func (d *FaultInjector) fullDisk() bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.markLost(p, span) {
		return false
	}
	d.trace("disk full", p, span)
	of := p.disk
	of.full = true
	d.endAfter(span, func() { of.full = false })
	return true
}

func (d *FaultInjector) partitionOne(oneWay bool) bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.markLost(p, span) {
		return false
	}
	d.trace("cut off, one way "+fmt.Sprint(oneWay), p, span)
	some, others := []string{p.Address}, d.world.Addresses()
	if oneWay && d.world.rng.IntN(2) == 0 {
		some, others = others, some
	}
	cut := d.world.Partition(some, others, oneWay)
	d.endAfter(span, cut.Heal)
	return true
}

// half are half of the machines, rounded down, by lot.
func (d *FaultInjector) half() (some []*Process) { return d.sample(len(d.world.Processes) / 2) }

// some are so many machines by lot.
func (d *FaultInjector) sample(n int) (some []*Process) {
	for _, i := range d.world.rng.Perm(len(d.world.Processes))[:n] {
		some = append(some, d.world.Processes[i])
	}
	return some
}

func processAddresses(all []*Process) (addresses []string) {
	for _, p := range all {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// split cuts the machines into halves, whatever is tolerated. Nothing else is lost meanwhile.
func (d *FaultInjector) partitionHalves() bool {
	if !d.overlap && d.anyLost() {
		return false
	}
	some, span := d.half(), d.drawDuration()
	d.world.Trace("%v split %v from the others for %v", d.world.Now, processAddresses(some), span)
	d.markAllLost(span)
	cut := d.world.Partition(processAddresses(some), d.world.Addresses(), false)
	d.endAfter(span, cut.Heal)
	return true
}

// minority are so few machines that the others can go on, with those others.
func (d *FaultInjector) minority() (few, rest []*Process) {
	few = d.sample(max(d.world.Tolerance, 1))
	for _, p := range d.world.Processes {
		if !slices.Contains(few, p) {
			rest = append(rest, p)
		}
	}
	return few, rest
}

// missing is for how long a minority misses changes.
const behindTime = 5 * time.Second

// behind has a minority miss changes; then one of the others loses its disk, the rest are dark for a while, and the cut heals.
func (d *FaultInjector) leaveMinorityBehind() bool {
	if d.anyLost() || !d.diskLossAllowed() {
		return false
	}
	few, rest := d.minority()
	span := d.drawShortDuration()
	d.markAllLost(behindTime + span)
	d.world.Trace("%v %v are behind", d.world.Now, processAddresses(few))
	cut := d.world.Partition(processAddresses(few), d.world.Addresses(), false)
	d.endAfter(behindTime, func() {
		d.markDiskLost(rest[0])
		rest[0].LosePower()
		rest[0].Wipe()
		d.endAfter(d.restartDelay(), rest[0].Start)
		for _, p := range rest[1:] {
			p.LosePower()
			d.endAfter(span, p.Start)
		}
		cut.Heal()
	})
	return true
}

// cutSeeds cuts a minority off, makes it the first seeds, and restarts some others.
func (d *FaultInjector) partitionSeeds() bool {
	if d.anyLost() {
		return false
	}
	few, rest := d.minority()
	span := d.drawDuration()
	d.markAllLost(span)
	d.world.Trace("%v %v are cut off and seeds", d.world.Now, processAddresses(few))
	seeds := processAddresses(append(slices.Clone(few), rest...))[:min(seedMachines, len(d.world.Processes))]
	for _, p := range d.world.Processes {
		p.seeds = seeds
	}
	cut := d.world.Partition(processAddresses(few), d.world.Addresses(), false)
	d.endAfter(span/2, func() {
		rest[0].Crash()
		d.endAfter(d.restartDelay(), rest[0].Start)
	})
	d.endAfter(span, cut.Heal)
	return true
}

// cutBoth restarts those that are cut off, then the others.
func (d *FaultInjector) partitionAndRestart() bool {
	if d.anyLost() {
		return false
	}
	few, rest := d.minority()
	span := d.drawShortDuration()
	d.markAllLost(span + 2*time.Second)
	d.world.Trace("%v %v are cut off, and all are restarted", d.world.Now, processAddresses(few))
	cut := d.world.Partition(processAddresses(few), d.world.Addresses(), false)
	d.endAfter(span/2, func() { d.restartAll(few) })
	d.endAfter(span, func() { d.restartAll(rest) })
	d.endAfter(span+time.Second, cut.Heal)
	return true
}

func (d *FaultInjector) restartAll(all []*Process) {
	for _, p := range all {
		p.Crash()
		d.endAfter(d.restartDelay(), p.Start)
	}
}

// relieve heals a cut, and right then the processes on the others are killed.
func (d *FaultInjector) restartMajorityAtHeal() bool {
	if d.anyLost() {
		return false
	}
	few, rest := d.minority()
	span := d.drawDuration()
	d.markAllLost(span + time.Second)
	d.world.Trace("%v %v are relieved in %v", d.world.Now, processAddresses(few), span)
	cut := d.world.Partition(processAddresses(few), d.world.Addresses(), false)
	d.endAfter(span, func() {
		cut.Heal()
		d.world.After(time.Duration(d.world.rng.IntN(300))*time.Millisecond, func() { d.restartAll(rest) })
	})
	return true
}

func (d *FaultInjector) freeze() bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.markLost(p, span) {
		return false
	}
	d.trace("freeze", p, span)
	p.Freeze(span)
	d.endAfter(span, func() {})
	return true
}

// pauses has a process stand still for a part of each period.
func (d *FaultInjector) pauseOne(period, still time.Duration) bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.markLost(p, span) {
		return false
	}
	d.trace("pauses", p, span)
	d.pausePeriodically(p, d.world.Now+span, period, still)
	d.endAfter(span, func() {})
	return true
}

// pausesAll has all processes pause in each period, as a share of a core that is a quota makes them. Nobody counts as lost by it.
func (d *FaultInjector) pauseAll(period, still time.Duration) bool {
	if d.quotaUntil > d.world.Now {
		return false
	}
	span := d.drawDuration()
	d.quotaUntil = d.world.Now + span
	d.world.Trace("%v processors as quotas for %v", d.world.Now, span)
	for _, p := range d.world.Processes {
		d.world.After(time.Duration(d.world.rng.Int64N(int64(period))), func() { d.pausePeriodically(p, d.world.Now+span, period, still) })
	}
	return true
}

func (d *FaultInjector) pausePeriodically(p *Process, until, period, still time.Duration) {
	if d.world.Now >= until {
		return
	}
	if p.up {
		p.Freeze(still)
	}
	d.world.After(period, func() { d.pausePeriodically(p, until, period, still) })
}

func (d *FaultInjector) resetConnections() bool {
	d.world.ResetConnections(d.pickProcess().Address)
	return true
}

// ending is what becomes of what a process has not synced.
type crashMode int

// The endings.
const (
	processKill crashMode = iota // the process is killed
	powerLoss
)

// all has all processes end at once.
func (d *FaultInjector) crashAll(of crashMode, down time.Duration) bool {
	if !d.overlap && d.anyLost() {
		return false
	}
	d.crashEach(of, down)
	return true
}

func (d *FaultInjector) crashEach(of crashMode, down time.Duration) {
	d.world.Trace("%v all end", d.world.Now)
	d.markAllLost(down + time.Second)
	for _, p := range slices.Clone(d.world.Processes) {
		d.crashOne(p, of)
		d.endAfter(down+d.restartDelay(), p.Start)
	}
}

func (d *FaultInjector) crashOne(p *Process, of crashMode) {
	if of == powerLoss {
		p.LosePower()
	} else {
		p.Crash()
	}
}

// allAfterAck has all processes end within moments of an acknowledgement, some of them with their disks.
func (d *FaultInjector) crashAllAfterAck(of crashMode, wiped int) bool {
	if d.anyLost() || wiped > 0 && !d.diskLossAllowed() {
		return false
	}
	in := []time.Duration{0, d.drawShortDelay(), d.drawDelay()}[d.world.rng.IntN(3)]
	d.markAllLost(5 * time.Second)
	d.world.onNextAcknowledgement(func() {
		d.world.After(in, func() {
			d.crashEach(of, 0)
			for _, p := range d.sample(min(wiped, len(d.world.Processes))) {
				d.world.Trace("%v %s loses its disk", d.world.Now, p.Address)
				d.markDiskLost(p)
				p.Wipe()
			}
			d.markAllLost(time.Second)
		})
	})
	return true
}
