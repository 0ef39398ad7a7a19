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
	Commands, Reads  int           // that were answered
	LastAcknowledged time.Duration // when an order was last acknowledged

	acknowledged         int            // the greatest version that was
	previousAcknowledged int            // the one before it
	inForce              int            // the greatest version that any client was told of
	versionOf            map[string]int // acknowledged orders, with their versions
	commandOf            map[int]string // and the other way round
	rejected             map[string]bool
	states               map[stateID]stateRecord
	committedStates      map[uint64]stateID // by sequence
	committedIDs         map[stateID]bool
	views                map[uint64]string // by epoch
	acceptors            map[acceptorKey]*acceptorState
	calls                []*call        // all of them, in the order of their beginnings
	committedVersions    map[string]int // that orders have made, by what processes have committed
}

func (h *History) init() {
	h.versionOf, h.commandOf, h.rejected, h.states = map[string]int{}, map[int]string{}, map[string]bool{}, map[stateID]stateRecord{0: {}}
	h.committedStates, h.committedIDs, h.views = map[uint64]stateID{}, map[stateID]bool{0: true}, map[uint64]string{}
	h.acceptors, h.committedVersions = map[acceptorKey]*acceptorState{}, map[string]int{}
}

// Acknowledged is the greatest version that was acknowledged.
func (h *History) Acknowledged() int { return h.acknowledged }

// triedSince is how many orders were begun between two times.
func (h *History) startedBetween(from, until time.Duration) (n int) {
	for i := len(h.calls) - 1; i >= 0 && h.calls[i].startedAt > from; i-- {
		if x := h.calls[i]; x.command != nil && x.startedAt <= until {
			n++
		}
	}
	return n
}

// Newest is the greatest epoch that any process has learnt of.
func (h *History) NewestEpoch() uint64 {
	last := uint64(0)
	for epoch := range h.views {
		last = max(last, epoch)
	}
	return last
}

// vote is one identity's part in the agreement on one epoch's view.
type acceptorKey struct{ identity, instance uint64 }

// given is what it has promised and accepted there so far.
type acceptorState struct{ promised, accepted *coordpb.Ballot }

// voted takes in that a process promises or accepts: no identity goes back behind what it promised, or forgets what it accepted.
func (h *History) checkAcceptor(w *World, m *coordpb.Message) {
	of := func(instance uint64) *acceptorState {
		key := acceptorKey{m.From.Identity, instance}
		if h.acceptors[key] == nil {
			h.acceptors[key] = &acceptorState{}
		}
		return h.acceptors[key]
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
func (h *History) recordReply(w *World, x *call, r *coordpb.Reply) {
	if x.command == nil {
		h.checkRead(w, x, r)
		return
	}
	outcome, err := w.Application.Outcome(r.Reply)
	if err != nil {
		w.Fail("an order was answered %q: %v", r.Reply, err)
	}
	switch outcome.Verdict {
	case Rejected:
		h.inForce = max(h.inForce, outcome.Version)
		h.recordRejection(w, x.command)
	case Accepted:
		h.recordAcceptance(w, x.command)
	case Unknown:
		return
	}
	x.complete(w.Now, outcome.Verdict, outcome.Version)
}

// read checks what a read saw: nothing older than what was acknowledged when it began, and no other change under an acknowledged number.
func (h *History) checkRead(w *World, x *call, r *coordpb.Reply) {
	h.Reads++
	at, _, err := splitSnapshot(r.Reply)
	seen, known := h.states[at]
	if err != nil || !known {
		w.Fail("a read was answered %q: %v", r.Reply, err)
	}
	if seen.version < x.minVersion {
		w.Fail("a read that began at %v saw version %d; %d was acknowledged by then", x.startedAt, seen.version, x.minVersion)
	}
	if acked, ok := h.commandOf[seen.version]; ok && acked != seen.command {
		w.Fail("version %d was acknowledged for %s, and is read to be of %s", seen.version, acked, seen.command)
	}
	h.inForce = max(h.inForce, seen.version)
	x.complete(w.Now, Accepted, seen.version)
}

func (h *History) recordRejection(w *World, o *Command) {
	h.rejected[o.Name] = true
	if v := h.versionOf[o.Name]; v > 0 {
		w.Fail("order %s made version %d, and was refused later", o.Name, v)
	}
	if v := h.committedVersions[o.Name]; v > 0 {
		w.Fail("order %s was refused, and version %d of it is in force", o.Name, v)
	}
}

func (h *History) recordAcceptance(w *World, o *Command) {
	h.Commands++
	h.LastAcknowledged = w.Now
	if h.rejected[o.Name] {
		w.Fail("order %s was refused, and acknowledged later", o.Name)
	}
	if other, taken := h.commandOf[o.Next]; taken && other != o.Name {
		w.Fail("version %d was acknowledged for %s and for %s", o.Next, other, o.Name)
	}
	h.versionOf[o.Name], h.commandOf[o.Next] = o.Next, o.Name
	h.inForce = max(h.inForce, o.Next)
	if o.Next > h.acknowledged {
		h.previousAcknowledged, h.acknowledged = h.acknowledged, o.Next
	}
	waiting := w.onAcknowledged
	w.onAcknowledged = nil
	for _, do := range waiting {
		do()
	}
}

// committed takes in that a process tells of a state.
func (h *History) checkCommit(w *World, p *Process, c chain.Committed) {
	at := c.Value.(stateID)
	if other, ok := h.committedStates[c.Position.Sequence]; ok && other != at {
		w.Fail("%s commits another state %d than was committed before", p.Address, c.Position.Sequence)
	}
	h.committedStates[c.Position.Sequence] = at
	for ; !h.committedIDs[at]; at = h.states[at].parent {
		s := h.states[at]
		h.committedIDs[at] = true
		h.committedVersions[s.command] = s.version
		if h.rejected[s.command] {
			w.Fail("order %s was refused, and version %d of it is in force", s.command, s.version)
		}
	}
}

// viewed takes in that a process learns of a view.
func (h *History) checkView(w *World, p *Process, v *coordpb.View) {
	text := v.String()
	if other, ok := h.views[v.Epoch]; ok && other != text {
		w.Fail("%s learns of another view %d than was decided: %s, before %s", p.Address, v.Epoch, text, other)
	}
	h.views[v.Epoch] = text
}

// checkFor bounds the time in which a history is checked.
const checkTimeout = 20 * time.Second

// registerModel is what clients of a register may see: an order on the version in force makes the one that it names, any other one is
// refused and told the version in force, and a read tells that version.
var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		return input.(*call).step(state.(int), output.(callOutcome))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input.(*call).command, output) },
}

// answer is what a call came to.
type callOutcome struct {
	verdict Verdict
	version int // that was read, or is in force where an order was refused
}

// step is whether a call may have had an answer where a version is in force, and the version after it.
func (x *call) step(version int, a callOutcome) (can bool, after int) {
	switch {
	case x.command == nil:
		return a.version == version, version
	case a.verdict == Accepted:
		return x.command.Base == version, x.command.Next
	}
	return x.command.Base != version && a.version == version, version
}

// operations are a history's calls, as porcupine has them. An order whose answer never came was taken where a process has committed it;
// all others may be left out.
func (h *History) operations() (all []porcupine.Operation) {
	for _, x := range h.calls {
		ended, a := int64(x.endedAt), callOutcome{x.verdict, x.version}
		if !x.done {
			if x.command == nil || h.committedVersions[x.command.Name] == 0 {
				continue
			}
			ended, a = math.MaxInt64, callOutcome{verdict: Accepted}
		}
		all = append(all, porcupine.Operation{ClientId: x.client, Input: x, Call: int64(x.startedAt), Output: a, Return: ended})
	}
	return all
}

// linearizable tells whether there is an order of all calls, each between its beginning and its end, that one register would have.
func (h *History) linearizable() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel, h.operations(), checkTimeout)
}

// CheckHistory checks all that clients saw as a whole, where they waited for each answer.
func (w *World) CheckHistory() {
	for _, c := range w.clients {
		if !c.sequential {
			return
		}
	}
	if w.Violation != nil {
		return
	}
	if result := w.History.linearizable(); result != porcupine.Ok {
		w.Fail("the history of %d calls is not one register's: %s", len(w.History.calls), result)
	}
}

// settleFor is how long after all faults all machines take at most to know the same view.
const convergenceTime = 2 * time.Second

// CheckEnd looks at what must hold once all is calm: one view, and one state on all of its chain.
func (w *World) CheckEnd() {
	if w.Violation != nil {
		return
	}
	for _, c := range w.clients {
		c.stopped = true
	}
	w.Run(w.Now + convergenceTime)
	first := w.Processes[0].Core.View()
	for _, p := range w.Processes {
		if epoch := p.Core.View().Epoch; epoch != first.Epoch {
			w.Fail("%s is in view %d, %s in view %d", p.Address, epoch, w.Processes[0].Address, first.Epoch)
		}
	}
	for _, identity := range first.Chain {
		for _, p := range w.Processes {
			if p.self.Identity == identity && p.Version() < w.History.acknowledged {
				w.Fail("%s has version %d; %d was acknowledged", p.Address, p.Version(), w.History.acknowledged)
			}
		}
	}
}
