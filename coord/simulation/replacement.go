package simulation

import (
	"fmt"
	"time"
)

// maxReplacements bounds the machines that are replaced in a run.
const maxReplacements = 6

// addReplacement adds a machine with an empty disk at a new address.
func (d *FaultInjector) addReplacement(replaced *Process) *Process {
	d.replacements++
	return d.world.AddProcess(fmt.Sprintf("r%d", d.replacements), replaced.seeds, false)
}

// announceAddresses has all processes know the addresses of all machines.
func (d *FaultInjector) announceAddresses() {
	for _, p := range d.world.Running() {
		p.Core.SetKnownAddresses(d.world.Addresses())
	}
}

// replace removes a machine for good. An empty one starts later.
func (d *FaultInjector) replace(p *Process) bool {
	after := time.Duration(500+d.world.rng.IntN(2000)) * time.Millisecond
	if d.replacements >= maxReplacements || !d.diskLossAllowed() || !d.countAsLost(p, after) {
		return false
	}
	d.trace("replace", p, after)
	d.countDiskAsLost(p)
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

// replacePlanned starts a new machine, and drains the old one for good a little later. The new
// one counts as lost until it had time to catch up.
func (d *FaultInjector) replacePlanned(p *Process) bool {
	if d.replacements >= maxReplacements || !p.up || d.overlap && !d.diskLossAllowed() || !d.countAsLost(p, 0) {
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
		d.countDiskAsLost(next)
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

// replaceTwice replaces one machine as planned, and another as soon as the first replacement
// had time to catch up.
func (d *FaultInjector) replaceTwice() bool {
	if !d.replacePlanned(d.pickProcess()) {
		return false
	}
	d.world.After(catchUpTime+10*time.Millisecond, func() { d.replacePlanned(d.pickProcess()) })
	return true
}

// changeSeeds draws other seeds, for all incarnations that start from now on.
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
