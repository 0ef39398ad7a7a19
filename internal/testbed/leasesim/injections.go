package leasesim

import (
	"slices"
	"time"

	"reachspread/internal/router/quorum"
	"reachspread/internal/testbed/faults"
)

// applyFault begins a fault, or ends it.
func (w *World) applyFault(injection *faults.Injection, on bool) {
	if faults.Of(injection.Kind).OfLinks() {
		if on {
			w.linkFaults = append(w.linkFaults, injection)
		} else {
			w.linkFaults = slices.DeleteFunc(w.linkFaults, func(x *faults.Injection) bool { return x == injection })
		}
		return
	}
	for _, n := range injection.Routers {
		r := w.routers[n]
		switch injection.Kind {
		case faults.Kill, faults.Power, faults.Restart:
			if on {
				w.kill(r, injection.Kind == faults.Restart)
			} else if r.downCount--; r.downCount == 0 {
				w.applyDiskFault(r, injection)
				w.startProcess(r)
			}
		case faults.Replace:
			if on && r.isRunning() && r.downCount == 0 {
				w.kill(r, true)
				r.downCount--
				w.startProcess(r)
			}
		case faults.Freeze:
			w.freeze(r, on)
		case faults.Crawl:
			if on {
				w.schedule(event{at: w.now, kind: freezeRouter, router: n, generation: uint32(slices.Index(w.faults, injection))})
			}
		}
	}
}

// maxActionsUntilCrash limits how many actions of its last step a crashing process carries out.
const maxActionsUntilCrash = 6

// kill ends a process. On a graceful end, the process first releases its roles. Otherwise, the
// process of a voter ends in the middle of a step. A frozen process ends at once in both cases.
func (w *World) kill(r *router, graceful bool) {
	r.downCount++
	switch {
	case !r.alive:
	case graceful && r.frozenCount == 0:
		for _, role := range r.agent.Roles() {
			w.carryOutAgent(r, r.agent.Release(r.clock(w.now), role, "", 0))
		}
	case r.voter != nil && r.frozenCount == 0:
		r.actionsUntilCrash = w.rng.IntN(maxActionsUntilCrash)
		w.carryOutVoter(r, r.voter.Step(r.clock(w.now), quorum.Tick{}))
	}
	w.stopProcess(r)
}

// applyDiskFault changes the disk of a router as a fault demands.
func (w *World) applyDiskFault(r *router, injection *faults.Injection) {
	switch injection.Disk {
	case faults.DiskEmpty, faults.DiskTruncated:
		r.disk = nil // a voter cannot read a truncated store
	case faults.DiskOther:
		r.disk = w.routers[(r.number+1)%w.spec.Candidates].disk.Clone()
	case faults.DiskOlder:
		r.disk = r.diskAtStart.Clone()
	}
}

// freeze freezes a process, or thaws it. A thawed process handles the events that arrived while it
// was frozen, until one of them ends the process.
func (w *World) freeze(r *router, on bool) {
	if on {
		r.frozenCount++
		return
	}
	if r.frozenCount--; r.frozenCount > 0 || !r.alive {
		return
	}
	inbox, generation := r.inbox, r.generation
	r.inbox = nil
	for i := range inbox {
		if r.alive && r.generation == generation {
			w.deliver(r, &inbox[i])
		}
	}
	if r.alive && r.generation == generation {
		w.deliver(r, &event{kind: wakeUp})
	}
}

// crawlPeriod is the length of one pause of a crawling process plus the time until the next pause.
const crawlPeriod = 200 * time.Millisecond

// stepCrawl freezes or thaws a crawling process, and schedules the next change.
func (w *World) stepCrawl(e *event) {
	injection, r := w.faults[e.generation], w.routers[e.router]
	if e.kind == freezeRouter {
		if w.now >= injection.At+injection.Length {
			return
		}
		w.freeze(r, true)
		w.schedule(event{at: w.now + time.Duration(injection.Share*float64(crawlPeriod)), kind: thawRouter, router: e.router, generation: e.generation})
		return
	}
	w.freeze(r, false)
	w.schedule(event{at: w.now + time.Duration((1-injection.Share)*float64(crawlPeriod)), kind: freezeRouter, router: e.router, generation: e.generation})
}
