package simulation

import (
	"fmt"
	"time"
)

// maxReplacements limits how many machines are replaced in a run.
const maxReplacements = 6

// addReplacement adds a machine with an empty disk at a new address, and with the seeds of the
// machine that it replaces.
func (d *FaultInjector) addReplacement(replaced *Process) *Process {
	d.replacements++
	return d.world.AddProcess(fmt.Sprintf("r%d", d.replacements), replaced.seeds, false)
}

// announceAddresses gives all running processes the addresses of all machines.
func (d *FaultInjector) announceAddresses() {
	for _, p := range d.world.Running() {
		p.Core.SetKnownAddresses(d.world.Addresses())
	}
}

// replace removes a machine permanently, and starts a new one with an empty disk later.
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

// replacePlanned starts a new machine, drains the old one a little later, and then removes it
// permanently. The new machine counts as lost until it has had time to catch up.
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

// replaceTwice replaces one machine as planned, and another one as soon as the first replacement
// has had time to catch up.
func (d *FaultInjector) replaceTwice() bool {
	if !d.replacePlanned(d.pickProcess()) {
		return false
	}
	d.world.After(catchUpTime+10*time.Millisecond, func() { d.replacePlanned(d.pickProcess()) })
	return true
}

// changeSeeds draws new seeds, which all incarnations that start from now on use.
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
