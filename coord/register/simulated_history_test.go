package register

import (
	"cmp"
	"fmt"
	"time"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
)

// history is what clients and processes saw, and what must hold of it.
type history struct {
	acknowledged int               // the greatest version that was
	made         map[string]int    // acknowledged orders, with their versions
	by           map[int]string    // and the other way round
	refused      map[string]bool   // orders that were refused
	states       map[uint64]string // committed, by sequence
	views        map[uint64]string // by epoch
	votes        map[vote]*given
	orders, read int // that were answered
	lastAck      time.Duration
	calls        []*call        // all of them, in the order of their beginnings
	versions     map[string]int // that orders have made, by what processes have committed
}

func (h *history) init() {
	h.made, h.by, h.refused, h.states, h.views = map[string]int{}, map[int]string{}, map[string]bool{}, map[uint64]string{}, map[uint64]string{}
	h.votes, h.versions = map[vote]*given{}, map[string]int{}
}

// vote is one identity's part in the agreement on one epoch's view.
type vote struct{ identity, instance uint64 }

// given is what it has promised and accepted there so far.
type given struct{ promised, accepted *coordpb.Ballot }

// voted takes in that a process promises or accepts: no identity goes back behind what it promised, or forgets what it accepted.
func (h *history) voted(w *world, m *coordpb.Message) {
	of := func(instance uint64) *given {
		key := vote{m.From.Identity, instance}
		if h.votes[key] == nil {
			h.votes[key] = &given{}
		}
		return h.votes[key]
	}
	switch body := m.Body.(type) {
	case *coordpb.Message_Promise:
		g := of(body.Promise.Instance)
		if less(body.Promise.Ballot, g.promised) {
			w.fail("%s promises %v for view %d; it has promised %v", m.From.Address, body.Promise.Ballot, body.Promise.Instance, g.promised)
		}
		if less(body.Promise.AcceptedBallot, g.accepted) {
			w.fail("%s promises for view %d and tells of %v; it has accepted %v", m.From.Address, body.Promise.Instance, body.Promise.AcceptedBallot, g.accepted)
		}
		g.promised = body.Promise.Ballot
	case *coordpb.Message_Accepted:
		g := of(body.Accepted.Instance)
		if less(body.Accepted.Ballot, g.promised) {
			w.fail("%s accepts %v for view %d; it has promised %v", m.From.Address, body.Accepted.Ballot, body.Accepted.Instance, g.promised)
		}
		g.promised, g.accepted = body.Accepted.Ballot, body.Accepted.Ballot
	}
}

// less compares ballots; nil is the least.
func less(a, b *coordpb.Ballot) bool {
	if a == nil || b == nil {
		return a == nil && b != nil
	}
	return cmp.Or(cmp.Compare(a.Round, b.Round), cmp.Compare(a.Proposer, b.Proposer)) < 0
}

// replied takes in what a client was answered.
func (h *history) replied(w *world, x *call, r *coordpb.Reply) {
	if x.order == nil {
		h.read++
		var state counter
		if err := state.Restore(r.Reply); err != nil {
			w.fail("a read was answered %q: %v", r.Reply, err)
		}
		if !x.over {
			x.answer.Version = state.Version
		}
		if state.Version < x.atLeast {
			w.fail("a read that began at %v saw version %d; %d was acknowledged by then", x.began, state.Version, x.atLeast)
		}
		for i, name := range state.By {
			version := state.Version - len(state.By) + 1 + i
			if acked, ok := h.by[version]; ok && acked != name {
				w.fail("version %d was acknowledged for %s, and is read to be of %s", version, acked, name)
			}
		}
		return
	}
	answer, err := replyOf(r.Reply)
	if err != nil {
		w.fail("an order was answered %q: %v", r.Reply, err)
	}
	if !x.over {
		x.answer = answer
	}
	if !answer.Taken {
		h.refused[x.order.Name] = true
		if v := h.made[x.order.Name]; v > 0 {
			w.fail("order %s made version %d, and was refused later", x.order.Name, v)
		}
		return
	}
	h.orders++
	h.lastAck = w.now
	if h.refused[x.order.Name] {
		w.fail("order %s was refused, and acknowledged later", x.order.Name)
	}
	if other, taken := h.by[answer.Version]; taken && other != x.order.Name {
		w.fail("version %d was acknowledged for %s and for %s", answer.Version, other, x.order.Name)
	}
	if v, before := h.made[x.order.Name]; before && v != answer.Version {
		w.fail("order %s was acknowledged as version %d and as %d", x.order.Name, v, answer.Version)
	}
	h.made[x.order.Name], h.by[answer.Version] = answer.Version, x.order.Name
	h.acknowledged = max(h.acknowledged, answer.Version)
}

// committed takes in that a process tells of a state.
func (h *history) committed(w *world, p *process, c chain.Committed) {
	state := c.Value.(string)
	if other, ok := h.states[c.Position.Sequence]; ok && other != state {
		w.fail("%s commits another state %d than was committed before", p.address, c.Position.Sequence)
	}
	h.states[c.Position.Sequence] = state
	h.noteVersion(p.machine, state)
}

// noteVersion notes which order made the version of a committed state. The machine may be further by now.
func (h *history) noteVersion(m *counter, state string) {
	var version int
	fmt.Sscan(state, &version)
	if i := len(m.By) - 1 - (m.Version - version); i >= 0 && i < len(m.By) {
		h.versions[m.By[i]] = version
	}
}

// viewed takes in that a process learns of a view.
func (h *history) viewed(w *world, p *process, v *coordpb.View) {
	text := v.String()
	if other, ok := h.views[v.Epoch]; ok && other != text {
		w.fail("%s learns of another view %d than was decided: %s, before %s", p.address, v.Epoch, text, other)
	}
	h.views[v.Epoch] = text
}

// newest is the greatest epoch that any process has learnt of.
func (h *history) newest() uint64 {
	last := uint64(0)
	for epoch := range h.views {
		last = max(last, epoch)
	}
	return last
}
