package standin

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"reachspread/internal/fleet"
)

// FaultKind names what goes wrong with a host on sockets.
type FaultKind string

// The kinds.
const (
	Stall    FaultKind = "stall"   // streams say nothing, and go on after
	Cut      FaultKind = "cut"     // connections are reset, over and over; the process stands
	Garbage  FaultKind = "garbage" // what is no event stands in the streams
	Draining FaultKind = "drain"   // the list says so, the host finishes, and is started anew after
	Killed   FaultKind = "kill"    // the process dies, and starts cold after
	Refuse   FaultKind = "refuse"  // no new connection comes up; those that are there go on
	Slow     FaultKind = "slow"    // the model works Size times slower
)

// FaultKinds has all of them.
var FaultKinds = []FaultKind{Stall, Cut, Garbage, Draining, Killed, Refuse, Slow}

// Fault is one of them for a while.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	Length time.Duration
	Hosts  []int   // by number from 0; none for all
	Size   float64 // of Slow
}

// cutEvery is how often connections are reset while they are to be.
const cutEvery = 5 * time.Millisecond

// Play has faults come and go in their time, until all are over or ctx ends. Tell is called with each.
func (f *Fleet) Play(ctx context.Context, faults []Fault, tell func(string)) error {
	type turn struct {
		at    time.Duration
		fault *Fault
		ends  bool
	}
	var turns []turn
	for i := range faults {
		turns = append(turns, turn{faults[i].At, &faults[i], false}, turn{faults[i].At + faults[i].Length, &faults[i], true})
	}
	slices.SortStableFunc(turns, func(a, b turn) int { return int(a.at - b.at) })
	begun := time.Now()
	for _, t := range turns {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(begun.Add(t.at))):
		}
		word := "begins"
		if t.ends {
			word = "ends"
		}
		for i, h := range f.Hosts {
			if len(t.fault.Hosts) > 0 && !slices.Contains(t.fault.Hosts, i) {
				continue
			}
			if err := f.fault(h, t.fault, t.ends); err != nil {
				return fmt.Errorf("%s: %s: %w", h.ID, t.fault.Kind, err)
			}
			tell(fmt.Sprintf("%v %s: %s %s", t.at, h.ID, t.fault.Kind, word))
		}
	}
	return nil
}

// fault begins or ends one at a host.
func (f *Fleet) fault(h *Host, x *Fault, ends bool) error {
	switch x.Kind {
	case Stall, Garbage, Cut:
		h.misbehave(x.Kind, !ends)
	case Slow:
		factor := x.Size
		if ends {
			factor = 1
		}
		h.Event(fleet.Slow{Factor: factor})
	case Refuse:
		return h.refuse(!ends)
	case Draining:
		if !ends {
			f.Tell(h, "Terminating", 0)
			h.Event(fleet.Drain{})
			return nil
		}
		h.Kill()
		return f.restart(h)
	case Killed:
		if !ends {
			h.Kill()
			return nil
		}
		return f.restart(h)
	}
	return nil
}

// restart starts a host that was killed, cold, and has the list say so.
func (f *Fleet) restart(h *Host) error {
	if err := h.Start(); err != nil {
		return err
	}
	f.Tell(h, "Ready", time.Now().UnixMilli())
	return nil
}

// misbehave has the host's sockets do what its model knows nothing of, or no more.
func (h *Host) misbehave(how FaultKind, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !on {
		if h.wrong == how {
			h.wrong = ""
			close(h.right)
		}
		return
	}
	if h.wrong == "" {
		h.right = make(chan struct{})
	}
	if h.wrong = how; how == Cut {
		go h.cut(h.right)
	}
}

// cut resets all connections over and over.
func (h *Host) cut(until <-chan struct{}) {
	for {
		h.mu.Lock()
		for c := range h.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				tcp.SetLinger(0)
			}
			c.Close()
		}
		h.mu.Unlock()
		select {
		case <-until:
			return
		case <-time.After(cutEvery):
		}
	}
}

// amiss returns what the host's sockets do wrong by now, and what ends with it.
func (h *Host) amiss() (how FaultKind, until <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wrong, h.right
}

// refuse has no new connection come up, or listens again.
func (h *Host) refuse(on bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if on {
		return h.ln.Close()
	}
	ln, err := net.Listen("tcp", h.Addr)
	if err != nil {
		return err
	}
	h.ln = ln
	go h.server.Serve(ln)
	return nil
}
