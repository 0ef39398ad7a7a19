package simulation

import (
	"fmt"
	"slices"
	"time"
)

// partitionOne isolates one machine in both directions, or with oneWay in a drawn direction.
func (d *FaultInjector) partitionOne(oneWay bool) bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.countAsLost(p, span) {
		return false
	}
	d.trace("isolated, one way "+fmt.Sprint(oneWay), p, span)
	from, to := []string{p.Address}, d.world.Addresses()
	if oneWay && d.world.rng.IntN(2) == 0 {
		from, to = to, from
	}
	partition := d.world.Partition(from, to, oneWay)
	d.endAfter(span, partition.Heal)
	return true
}

// half draws half of the machines, with their number rounded down.
func (d *FaultInjector) half() (some []*Process) { return d.sample(len(d.world.Processes) / 2) }

// sample draws n different machines.
func (d *FaultInjector) sample(n int) (drawn []*Process) {
	for _, i := range d.world.rng.Perm(len(d.world.Processes))[:n] {
		drawn = append(drawn, d.world.Processes[i])
	}
	return drawn
}

// processAddresses returns the addresses of processes.
func processAddresses(all []*Process) (addresses []string) {
	for _, p := range all {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// partitionHalves partitions the machines into halves, even if the world tolerates fewer lost
// machines. All machines count as lost for that time.
func (d *FaultInjector) partitionHalves() bool {
	if !d.overlap && d.anyLost() {
		return false
	}
	some, span := d.half(), d.drawDuration()
	d.world.Trace("%v partition %v from the others for %v", d.world.Now, processAddresses(some), span)
	d.countAllAsLost(span)
	partition := d.world.Partition(processAddresses(some), d.world.Addresses(), false)
	d.endAfter(span, partition.Heal)
	return true
}

// minority draws as many machines as the world tolerates to lose, at least one. It returns them and
// the rest.
func (d *FaultInjector) minority() (few, rest []*Process) {
	few = d.sample(max(d.world.Tolerance, 1))
	for _, p := range d.world.Processes {
		if !slices.Contains(few, p) {
			rest = append(rest, p)
		}
	}
	return few, rest
}

// behindTime is how long leaveMinorityBehind isolates a minority.
const behindTime = 5 * time.Second

// leaveMinorityBehind isolates a minority, so that it misses changes. Then one machine of the rest
// loses its disk, the others of the rest lose power for a time, and the partition heals.
func (d *FaultInjector) leaveMinorityBehind() bool {
	if d.anyLost() || !d.diskLossAllowed() {
		return false
	}
	few, rest := d.minority()
	span := d.drawShortDuration()
	d.countAllAsLost(behindTime + span)
	d.world.Trace("%v %v are isolated and miss changes", d.world.Now, processAddresses(few))
	partition := d.world.Partition(processAddresses(few), d.world.Addresses(), false)
	d.endAfter(behindTime, func() {
		d.countDiskAsLost(rest[0])
		rest[0].LosePower()
		rest[0].Wipe()
		d.endAfter(d.restartDelay(), rest[0].Start)
		for _, p := range rest[1:] {
			p.LosePower()
			d.endAfter(span, p.Start)
		}
		partition.Heal()
	})
	return true
}

// partitionSeeds isolates a minority, makes its machines the first seeds of all processes, and
// restarts one machine of the rest.
func (d *FaultInjector) partitionSeeds() bool {
	if d.anyLost() {
		return false
	}
	few, rest := d.minority()
	span := d.drawDuration()
	d.countAllAsLost(span)
	d.world.Trace("%v %v are isolated and become the first seeds", d.world.Now, processAddresses(few))
	seeds := processAddresses(append(slices.Clone(few), rest...))[:min(seedMachines, len(d.world.Processes))]
	for _, p := range d.world.Processes {
		p.seeds = seeds
	}
	partition := d.world.Partition(processAddresses(few), d.world.Addresses(), false)
	d.endAfter(span/2, func() {
		rest[0].Crash()
		d.endAfter(d.restartDelay(), rest[0].Start)
	})
	d.endAfter(span, partition.Heal)
	return true
}

// partitionAndRestart isolates a minority, restarts its machines, then those of the rest.
func (d *FaultInjector) partitionAndRestart() bool {
	if d.anyLost() {
		return false
	}
	few, rest := d.minority()
	span := d.drawShortDuration()
	d.countAllAsLost(span + 2*time.Second)
	d.world.Trace("%v %v are isolated, and all are restarted", d.world.Now, processAddresses(few))
	partition := d.world.Partition(processAddresses(few), d.world.Addresses(), false)
	d.endAfter(span/2, func() { d.restartAll(few) })
	d.endAfter(span, func() { d.restartAll(rest) })
	d.endAfter(span+time.Second, partition.Heal)
	return true
}

// restartMajorityAtHeal isolates a minority, and restarts the rest right after the partition
// heals.
func (d *FaultInjector) restartMajorityAtHeal() bool {
	if d.anyLost() {
		return false
	}
	few, rest := d.minority()
	span := d.drawDuration()
	d.countAllAsLost(span + time.Second)
	d.world.Trace("%v %v are isolated, the others restarted in %v", d.world.Now, processAddresses(few), span)
	partition := d.world.Partition(processAddresses(few), d.world.Addresses(), false)
	d.endAfter(span, func() {
		partition.Heal()
		d.world.After(time.Duration(d.world.rng.IntN(300))*time.Millisecond, func() { d.restartAll(rest) })
	})
	return true
}

// resetConnections resets the connections of a machine.
func (d *FaultInjector) resetConnections() bool {
	d.world.ResetConnections(d.pickProcess().Address)
	return true
}
