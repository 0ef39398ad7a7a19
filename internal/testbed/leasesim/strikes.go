package leasesim

import (
	"slices"
	"time"

	"reachspread/internal/router/quorum"
	"reachspread/internal/testbed/faults"
)

// strike has a fault begin or end.
func (w *World) strike(s *faults.Strike, on bool) {
	if faults.Of(s.Kind).OfLinks() {
		if on {
			w.on = append(w.on, s)
		} else {
			w.on = slices.DeleteFunc(w.on, func(x *faults.Strike) bool { return x == s })
		}
		return
	}
	for _, n := range s.Routers {
		r := w.routers[n]
		switch s.Kind {
		case faults.Kill, faults.Power, faults.Restart:
			if on {
				w.kill(r, s.Kind == faults.Restart)
			} else if r.down--; r.down == 0 {
				w.disk(r, s)
				w.start(r)
			}
		case faults.Replace:
			if on && r.lives && r.still == 0 && r.down == 0 {
				w.kill(r, true)
				r.down--
				w.start(r)
			}
		case faults.Pause:
			w.freeze(r, on)
		case faults.Crawl:
			if on {
				w.put(event{at: w.now, do: freezes, n: n, gen: uint32(slices.Index(w.strikes, s))})
			}
		}
	}
}

// kill ends a process: by itself, giving back what it holds, or in the middle of what it does.
func (w *World) kill(r *router, asked bool) {
	r.down++
	switch {
	case !r.lives:
	case asked && r.still == 0:
		for _, d := range r.agent.Wants() {
			w.asked(r, r.agent.Drop(r.clock(w.now), d, "", 0))
		}
	case r.voter != nil && r.still == 0:
		r.stops = w.rng.IntN(6)
		w.voted(r, r.voter.Step(r.clock(w.now), quorum.Passed{}))
	}
	w.stop(r)
}

// disk does to a folder what a fault says.
func (w *World) disk(r *router, s *faults.Strike) {
	switch s.Disk {
	case faults.DiskEmpty, faults.DiskCut:
		r.disk = nil // what is cut is not read
	case faults.DiskOther:
		r.disk = w.routers[(r.n+1)%w.s.May].disk.Clone()
	case faults.DiskOlder:
		r.disk = r.older.Clone()
	}
}

func (w *World) freeze(r *router, on bool) {
	if on {
		r.still++
		return
	}
	if r.still--; r.still > 0 || !r.lives {
		return
	}
	inbox, gen := r.inbox, r.gen
	r.inbox = nil
	for i := range inbox {
		if r.lives && r.gen == gen {
			w.take(r, &inbox[i])
		}
	}
	if r.lives && r.gen == gen {
		w.take(r, &event{do: wakes})
	}
}

// burst is the length of one standstill of a router that crawls with the time until the next one.
const burst = 200 * time.Millisecond

func (w *World) crawl(e *event) {
	s, r := w.strikes[e.gen], w.routers[e.n]
	if e.do == freezes {
		if w.now >= s.At+s.Length {
			return
		}
		w.freeze(r, true)
		w.put(event{at: w.now + time.Duration(s.Share*float64(burst)), do: thaws, n: e.n, gen: e.gen})
		return
	}
	w.freeze(r, false)
	w.put(event{at: w.now + time.Duration((1-s.Share)*float64(burst)), do: freezes, n: e.n, gen: e.gen})
}
