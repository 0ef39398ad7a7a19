package fakes

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/hostmodel"
)

// resetInterval is the time between two resets of a host's connections during the fault Reset.
const resetInterval = 5 * time.Millisecond

// transition is the beginning or the end of a fault.
type transition struct {
	at        time.Duration
	injection *faults.Injection
	ends      bool
}

// transitions returns the beginnings and ends of faults, ordered by time.
func transitions(injections []*faults.Injection) []transition {
	var all []transition
	for _, i := range injections {
		all = append(all, transition{i.At, i, false}, transition{i.At + i.Length, i, true})
	}
	slices.SortStableFunc(all, func(a, b transition) int { return cmp.Compare(a.at, b.at) })
	return all
}

// Play begins and ends faults of hosts at their times, until all faults have ended or ctx ends. It
// calls log with a line for each host of each transition. It returns an error if a host can't stop
// listening or can't listen again.
func (f *Fleet) Play(ctx context.Context, all []faults.Fault, log func(string)) error {
	planned := transitions(faults.Resolve(all, f.spec.Topology(), f.spec.Seed))
	start := time.Now()
	for _, t := range planned {
		if !sleep(ctx, time.Until(start.Add(t.at))) {
			return nil
		}
		phase := "begins"
		if t.ends {
			phase = "ends"
		}
		for _, n := range t.injection.Hosts {
			if err := f.Inject(n, t.injection.Fault, t.ends); err != nil {
				return fmt.Errorf("host-%d: %s: %w", n+1, t.injection.Kind, err)
			}
			log(fmt.Sprintf("%v host-%d: %s %s", t.at, n+1, t.injection.Kind, phase))
		}
	}
	return nil
}

// Inject begins or ends a fault at a host. Faults may overlap: a host that two faults have killed
// starts again when the last of the two ends.
func (f *Fleet) Inject(n int, x *faults.Fault, ends bool) error {
	h := f.Hosts[n]
	switch x.Kind {
	case faults.Stall, faults.Garbage, faults.Reset:
		h.setMisbehavior(x.Kind, !ends)
	case faults.Slow:
		factor := x.Size
		if ends {
			factor = 1
		}
		h.Step(hostmodel.Slow{Factor: factor})
	case faults.Refuse:
		return h.setRefusing(!ends)
	case faults.Drain:
		if !ends {
			f.UpdateList(h, stateTerminating, 0)
			h.Step(hostmodel.Drain{})
			return nil
		}
		if h.kills > 0 {
			return nil
		}
		h.Kill()
		return f.restart(h)
	case faults.Kill, faults.Power, faults.Rename:
		if !ends {
			if h.kills++; h.kills == 1 {
				h.Kill()
			}
			return nil
		}
		if x.Kind == faults.Rename {
			f.rename(h)
		}
		if h.kills--; h.kills == 0 {
			return f.restart(h)
		}
	}
	return nil
}

// restart starts a killed host and lists it with its new start time.
func (f *Fleet) restart(h *Host) error {
	if err := h.Start(); err != nil {
		return err
	}
	f.UpdateList(h, stateReady, time.Now().UnixMilli())
	return nil
}

// setMisbehavior begins or ends a fault that affects the host's sockets but not its model.
func (h *Host) setMisbehavior(how faults.Kind, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !on {
		if h.misbehavior == how {
			h.misbehavior = ""
			close(h.misbehaviorEnd)
		}
		return
	}
	if h.misbehavior == "" {
		h.misbehaviorEnd = make(chan struct{})
	}
	h.misbehavior = how
	if how == faults.Reset {
		go h.resetConnections(h.misbehaviorEnd) // until the fault ends
	}
}

// resetConnections resets all connections at short intervals until the fault ends.
func (h *Host) resetConnections(until <-chan struct{}) {
	for {
		if h.resetOnce(until) {
			return
		}
		select {
		case <-until:
			return
		case <-time.After(resetInterval):
		}
	}
}

// resetOnce resets all connections, unless the fault is over. The end of the fault is signalled under
// the lock, so no connection is reset afterwards.
func (h *Host) resetOnce(until <-chan struct{}) (over bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-until:
		return true
	default:
	}
	for c := range h.conns {
		resetOnClose(c)
		c.Close()
	}
	return false
}

// currentMisbehavior returns the current fault of the host's sockets and a channel that is closed
// when that fault ends.
func (h *Host) currentMisbehavior() (how faults.Kind, until <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.misbehavior, h.misbehaviorEnd
}

// setRefusing stops or resumes listening. It returns the error of listening or of closing the
// listener.
func (h *Host) setRefusing(on bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if on == h.refusing || h.kills > 0 {
		return nil // a killed host refuses connections already, and listens again when it starts
	}
	h.refusing = on
	if on {
		return h.listener.Close()
	}
	ln, err := net.Listen("tcp", h.Addr)
	if err != nil {
		return err
	}
	h.listener = ln
	go h.server.Serve(ln) // until Kill
	return nil
}

// Listens reports whether the host accepts new connections.
func (h *Host) Listens() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.kills == 0 && !h.refusing
}
