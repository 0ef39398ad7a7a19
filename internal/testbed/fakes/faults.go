package fakes

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/hostmodel"
)

// resetInterval is how often connections are reset while they are to be.
const resetInterval = 5 * time.Millisecond

// Play has faults of hosts come and go in their time, until all are over or ctx ends. Tell is called with each.
func (f *Fleet) Play(ctx context.Context, all []faults.Fault, log func(string)) error {
	type turn struct {
		at     time.Duration
		strike *faults.Injection
		ends   bool
	}
	var turns []turn
	for _, s := range faults.Resolve(all, f.spec.Topology(), f.spec.Seed) {
		turns = append(turns, turn{s.At, s, false}, turn{s.At + s.Length, s, true})
	}
	slices.SortStableFunc(turns, func(a, b turn) int { return int(a.at - b.at) })
	begun := time.Now()
	for _, t := range turns {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(begun.Add(t.at))):
		}
		phase := "begins"
		if t.ends {
			phase = "ends"
		}
		for _, n := range t.strike.Hosts {
			if err := f.Inject(n, t.strike.Fault, t.ends); err != nil {
				return fmt.Errorf("host-%d: %s: %w", n+1, t.strike.Kind, err)
			}
			log(fmt.Sprintf("%v host-%d: %s %s", t.at, n+1, t.strike.Kind, phase))
		}
	}
	return nil
}

// Inject begins or ends a fault at a host. Faults may lie over one another: a host that two have killed starts as the last
// of them ends.
func (f *Fleet) Inject(n int, x *faults.Fault, ends bool) error {
	h := f.Hosts[n]
	switch x.Kind {
	case faults.Stall, faults.Garbage, faults.Reset:
		h.misbehave(x.Kind, !ends)
	case faults.Slow:
		factor := x.Size
		if ends {
			factor = 1
		}
		h.Event(hostmodel.Slow{Factor: factor})
	case faults.Refuse:
		return h.refuse(!ends)
	case faults.Drain:
		if !ends {
			f.UpdateList(h, "Terminating", 0)
			h.Event(hostmodel.Drain{})
			return nil
		}
		if h.down > 0 {
			return nil
		}
		h.Kill()
		return f.restart(h)
	case faults.Kill, faults.Power, faults.Rename:
		if !ends {
			if h.down++; h.down == 1 {
				h.Kill()
			}
			return nil
		}
		if x.Kind == faults.Rename {
			f.rename(h)
		}
		if h.down--; h.down == 0 {
			return f.restart(h)
		}
	}
	return nil
}

// restart starts a host that was killed, cold, and has the list say so.
func (f *Fleet) restart(h *Host) error {
	if err := h.Start(); err != nil {
		return err
	}
	f.UpdateList(h, "Ready", time.Now().UnixMilli())
	return nil
}

// misbehave has the host's sockets do what its model knows nothing of, or no more.
func (h *Host) misbehave(how faults.Kind, on bool) {
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
	if h.wrong = how; how == faults.Reset {
		go h.resetConnections(h.right)
	}
}

// resetConnections resets all connections over and over.
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

// resetOnce resets all connections, unless that is over. The end is told under the lock, so nothing is cut after it.
func (h *Host) resetOnce(until <-chan struct{}) (over bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-until:
		return true
	default:
	}
	for c := range h.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	return false
}

// amiss returns what the host's sockets do wrong by now, and what ends with it.
func (h *Host) amiss() (how faults.Kind, until <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wrong, h.right
}

// refuse has no new connection come up, or listens again.
func (h *Host) refuse(on bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if on == h.deaf || h.down > 0 {
		return nil // it is so already; a host that is dead refuses anyway, and listens as it starts
	}
	h.deaf = on
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

// Listens tells whether new connections to the host come up.
func (h *Host) Listens() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down == 0 && !h.deaf
}
