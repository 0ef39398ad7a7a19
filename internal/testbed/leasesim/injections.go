package leasesim

import (
	"slices"
	"time"

	"reachspread/internal/router/quorum"
	"reachspread/internal/testbed/faults"
)

// strike has a fault begin or end.
func (w *World) applyFault(s *faults.Injection, on bool) {
	if faults.Of(s.Kind).OfLinks() {
		if on {
			w.linkFaults = append(w.linkFaults, s)
		} else {
			w.linkFaults = slices.DeleteFunc(w.linkFaults, func(x *faults.Injection) bool { return x == s })
		}
		return
	}
	for _, n := range s.Routers {
		r := w.routers[n]
		switch s.Kind {
		case faults.Kill, faults.Power, faults.Restart:
			if on {
				w.kill(r, s.Kind == faults.Restart)
			} else if r.downCount--; r.downCount == 0 {
				w.applyDiskFault(r, s)
				w.startProcess(r)
			}
		case faults.Replace:
			if on && r.alive && r.frozenCount == 0 && r.downCount == 0 {
				w.kill(r, true)
				r.downCount--
				w.startProcess(r)
			}
		case faults.Freeze:
			w.freeze(r, on)
		case faults.Crawl:
			if on {
				w.schedule(event{at: w.now, kind: freezeRouter, router: n, generation: uint32(slices.Index(w.faults, s))})
			}
		}
	}
}

// kill ends a process: by itself, giving back what it holds, or in the middle of what it does.
func (w *World) kill(r *router, asked bool) {
	r.downCount++
	switch {
	case !r.alive:
	case asked && r.frozenCount == 0:
		for _, d := range r.agent.Roles() {
			w.carryOutAgent(r, r.agent.Release(r.clock(w.now), d, "", 0))
		}
	case r.voter != nil && r.frozenCount == 0:
		r.actionsUntilCrash = w.rng.IntN(6)
		w.carryOutVoter(r, r.voter.Step(r.clock(w.now), quorum.Tick{}))
	}
	w.stopProcess(r)
}

// disk does to a folder what a fault says.
func (w *World) applyDiskFault(r *router, s *faults.Injection) {
	switch s.Disk {
	case faults.DiskEmpty, faults.DiskTruncated:
		r.disk = nil // what is cut is not read
	case faults.DiskOther:
		r.disk = w.routers[(r.number+1)%w.spec.Candidates].disk.Clone()
	case faults.DiskOlder:
		r.disk = r.diskAtStart.Clone()
	}
}

func (w *World) freeze(r *router, on bool) {
	if on {
		r.frozenCount++
		return
	}
	if r.frozenCount--; r.frozenCount > 0 || !r.alive {
		return
	}
	inbox, gen := r.inbox, r.generation
	r.inbox = nil
	for i := range inbox {
		if r.alive && r.generation == gen {
			w.deliver(r, &inbox[i])
		}
	}
	if r.alive && r.generation == gen {
		w.deliver(r, &event{kind: wakeUp})
	}
}

// burst is the length of one standstill of a router that crawls with the time until the next one.
const crawlPeriod = 200 * time.Millisecond

func (w *World) stepCrawl(e *event) {
	s, r := w.faults[e.generation], w.routers[e.router]
	if e.kind == freezeRouter {
		if w.now >= s.At+s.Length {
			return
		}
		w.freeze(r, true)
		w.schedule(event{at: w.now + time.Duration(s.Share*float64(crawlPeriod)), kind: thawRouter, router: e.router, generation: e.generation})
		return
	}
	w.freeze(r, false)
	w.schedule(event{at: w.now + time.Duration((1-s.Share)*float64(crawlPeriod)), kind: freezeRouter, router: e.router, generation: e.generation})
}
