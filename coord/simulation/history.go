package simulation

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// History is what clients and processes saw, and what must hold of it.
type History struct {
	Orders, Reads int           // that were answered
	LastTaken     time.Duration // when an order was last acknowledged

	acknowledged       int            // the greatest version that was
	acknowledgedBefore int            // the one before it
	inForce            int            // the greatest version that any client was told of
	made               map[string]int // acknowledged orders, with their versions
	by                 map[int]string // and the other way round
	refused            map[string]bool
	states             map[mark]state
	committedStates    map[uint64]mark // by sequence
	committedMarks     map[mark]bool
	views              map[uint64]string // by epoch
	votes              map[vote]*given
	calls              []*call        // all of them, in the order of their beginnings
	versions           map[string]int // that orders have made, by what processes have committed
}

func (h *History) init() {
	h.made, h.by, h.refused, h.states = map[string]int{}, map[int]string{}, map[string]bool{}, map[mark]state{0: {}}
	h.committedStates, h.committedMarks, h.views = map[uint64]mark{}, map[mark]bool{0: true}, map[uint64]string{}
	h.votes, h.versions = map[vote]*given{}, map[string]int{}
}

// Acknowledged is the greatest version that was acknowledged.
func (h *History) Acknowledged() int { return h.acknowledged }

// triedSince is how many orders were begun between two times.
func (h *History) triedSince(from, until time.Duration) (n int) {
	for i := len(h.calls) - 1; i >= 0 && h.calls[i].began > from; i-- {
		if x := h.calls[i]; x.order != nil && x.began <= until {
			n++
		}
	}
	return n
}

// Newest is the greatest epoch that any process has learnt of.
func (h *History) Newest() uint64 {
	last := uint64(0)
	for epoch := range h.views {
		last = max(last, epoch)
	}
	return last
}

// vote is one identity's part in the agreement on one epoch's view.
type vote struct{ identity, instance uint64 }

// given is what it has promised and accepted there so far.
type given struct{ promised, accepted *coordpb.Ballot }

// voted takes in that a process promises or accepts: no identity goes back behind what it promised, or forgets what it accepted.
func (h *History) voted(w *World, m *coordpb.Message) {
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
		if view.LessProposal(body.Promise.Ballot, g.promised) {
			w.Fail("%s promises %v for view %d; it has promised %v", m.From.Address, body.Promise.Ballot, body.Promise.Instance, g.promised)
		}
		if view.LessProposal(body.Promise.AcceptedBallot, g.accepted) {
			w.Fail("%s promises for view %d and tells of %v; it has accepted %v", m.From.Address, body.Promise.Instance, body.Promise.AcceptedBallot, g.accepted)
		}
		g.promised = body.Promise.Ballot
	case *coordpb.Message_Accepted:
		g := of(body.Accepted.Instance)
		if view.LessProposal(body.Accepted.Ballot, g.promised) {
			w.Fail("%s accepts %v for view %d; it has promised %v", m.From.Address, body.Accepted.Ballot, body.Accepted.Instance, g.promised)
		}
		g.promised, g.accepted = body.Accepted.Ballot, body.Accepted.Ballot
	}
}

// replied takes in what a client was answered.
func (h *History) replied(w *World, x *call, r *coordpb.Reply) {
	if x.order == nil {
		h.read(w, x, r)
		return
	}
	outcome, err := w.Application.Outcome(r.Reply)
	if err != nil {
		w.Fail("an order was answered %q: %v", r.Reply, err)
	}
	switch outcome.Verdict {
	case Refused:
		h.inForce = max(h.inForce, outcome.Version)
		h.refuse(w, x.order)
	case Taken:
		h.take(w, x.order)
	case Unclear:
		return
	}
	x.answered(w.Now, outcome.Verdict, outcome.Version)
}

// read checks what a read saw: nothing older than what was acknowledged when it began, and no other change under an acknowledged number.
func (h *History) read(w *World, x *call, r *coordpb.Reply) {
	h.Reads++
	at, _, err := splitSnapshot(r.Reply)
	seen, known := h.states[at]
	if err != nil || !known {
		w.Fail("a read was answered %q: %v", r.Reply, err)
	}
	if seen.version < x.atLeast {
		w.Fail("a read that began at %v saw version %d; %d was acknowledged by then", x.began, seen.version, x.atLeast)
	}
	if acked, ok := h.by[seen.version]; ok && acked != seen.maker {
		w.Fail("version %d was acknowledged for %s, and is read to be of %s", seen.version, acked, seen.maker)
	}
	h.inForce = max(h.inForce, seen.version)
	x.answered(w.Now, Taken, seen.version)
}

func (h *History) refuse(w *World, o *Order) {
	h.refused[o.Name] = true
	if v := h.made[o.Name]; v > 0 {
		w.Fail("order %s made version %d, and was refused later", o.Name, v)
	}
	if v := h.versions[o.Name]; v > 0 {
		w.Fail("order %s was refused, and version %d of it is in force", o.Name, v)
	}
}

func (h *History) take(w *World, o *Order) {
	h.Orders++
	h.LastTaken = w.Now
	if h.refused[o.Name] {
		w.Fail("order %s was refused, and acknowledged later", o.Name)
	}
	if other, taken := h.by[o.Next]; taken && other != o.Name {
		w.Fail("version %d was acknowledged for %s and for %s", o.Next, other, o.Name)
	}
	h.made[o.Name], h.by[o.Next] = o.Next, o.Name
	h.inForce = max(h.inForce, o.Next)
	if o.Next > h.acknowledged {
		h.acknowledgedBefore, h.acknowledged = h.acknowledged, o.Next
	}
	waiting := w.taken
	w.taken = nil
	for _, do := range waiting {
		do()
	}
}

// committed takes in that a process tells of a state.
func (h *History) committed(w *World, p *Process, c chain.Committed) {
	at := c.Value.(mark)
	if other, ok := h.committedStates[c.Position.Sequence]; ok && other != at {
		w.Fail("%s commits another state %d than was committed before", p.Address, c.Position.Sequence)
	}
	h.committedStates[c.Position.Sequence] = at
	for ; !h.committedMarks[at]; at = h.states[at].before {
		s := h.states[at]
		h.committedMarks[at] = true
		h.versions[s.maker] = s.version
		if h.refused[s.maker] {
			w.Fail("order %s was refused, and version %d of it is in force", s.maker, s.version)
		}
	}
}

// viewed takes in that a process learns of a view.
func (h *History) viewed(w *World, p *Process, v *coordpb.View) {
	text := v.String()
	if other, ok := h.views[v.Epoch]; ok && other != text {
		w.Fail("%s learns of another view %d than was decided: %s, before %s", p.Address, v.Epoch, text, other)
	}
	h.views[v.Epoch] = text
}

// checkFor bounds the time in which a history is checked.
const checkFor = 20 * time.Second

// registerModel is what clients of a register may see: an order on the version in force makes the one that it names, any other one is
// refused and told the version in force, and a read tells that version.
var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		return input.(*call).step(state.(int), output.(answer))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input.(*call).order, output) },
}

// answer is what a call came to.
type answer struct {
	verdict Verdict
	version int // that was read, or is in force where an order was refused
}

// step is whether a call may have had an answer where a version is in force, and the version after it.
func (x *call) step(version int, a answer) (can bool, after int) {
	switch {
	case x.order == nil:
		return a.version == version, version
	case a.verdict == Taken:
		return x.order.On == version, x.order.Next
	}
	return x.order.On != version && a.version == version, version
}

// operations are a history's calls, as porcupine has them. An order whose answer never came was taken where a process has committed it;
// all others may be left out.
func (h *History) operations() (all []porcupine.Operation) {
	for _, x := range h.calls {
		ended, a := int64(x.ended), answer{x.verdict, x.version}
		if !x.over {
			if x.order == nil || h.versions[x.order.Name] == 0 {
				continue
			}
			ended, a = math.MaxInt64, answer{verdict: Taken}
		}
		all = append(all, porcupine.Operation{ClientId: x.client, Input: x, Call: int64(x.began), Output: a, Return: ended})
	}
	return all
}

// linearizable tells whether there is an order of all calls, each between its beginning and its end, that one register would have.
func (h *History) linearizable() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel, h.operations(), checkFor)
}

// CheckHistory checks all that clients saw as a whole, where they waited for each answer.
func (w *World) CheckHistory() {
	for _, c := range w.clients {
		if !c.waits {
			return
		}
	}
	if w.Fault != nil {
		return
	}
	if result := w.History.linearizable(); result != porcupine.Ok {
		w.Fail("the history of %d calls is not one register's: %s", len(w.History.calls), result)
	}
}

// settleFor is how long after all faults all machines take at most to know the same view.
const settleFor = 2 * time.Second

// CheckEnd looks at what must hold once all is calm: one view, and one state on all of its chain.
func (w *World) CheckEnd() {
	if w.Fault != nil {
		return
	}
	for _, c := range w.clients {
		c.stopped = true
	}
	w.Run(w.Now + settleFor)
	first := w.Nodes[0].Core.View()
	for _, p := range w.Nodes {
		if epoch := p.Core.View().Epoch; epoch != first.Epoch {
			w.Fail("%s is in view %d, %s in view %d", p.Address, epoch, w.Nodes[0].Address, first.Epoch)
		}
	}
	for _, identity := range first.Chain {
		for _, p := range w.Nodes {
			if p.self.Identity == identity && p.Version() < w.History.acknowledged {
				w.Fail("%s has version %d; %d was acknowledged", p.Address, p.Version(), w.History.acknowledged)
			}
		}
	}
}
