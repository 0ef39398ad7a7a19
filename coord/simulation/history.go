package simulation

import (
	"time"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// History records what clients and processes observed. Its methods check each observation against
// the earlier ones.
type History struct {
	Commands, Reads  int           // the number of acknowledged commands and of answered reads
	LastAcknowledged time.Duration // when a command was last acknowledged

	acknowledged         int            // the greatest acknowledged version
	previousAcknowledged int            // the greatest acknowledged version before that
	inForce              int            // the greatest version in an answer to a client
	versionOf            map[string]int // the versions of acknowledged commands
	commandOf            map[int]string // the commands of acknowledged versions
	rejected             map[string]bool
	states               map[stateID]stateRecord
	committedStates      map[uint64]stateID // by sequence
	committedIDs         map[stateID]bool
	committedVersions    map[string]int    // by command
	views                map[uint64]string // by epoch
	acceptors            map[acceptorKey]*acceptorState
	calls                []*call // in the order of their starts
}

// init makes an empty history.
func (h *History) init() {
	h.versionOf, h.commandOf, h.rejected, h.states = map[string]int{}, map[int]string{}, map[string]bool{}, map[stateID]stateRecord{0: {}}
	h.committedStates, h.committedIDs, h.views = map[uint64]stateID{}, map[stateID]bool{0: true}, map[uint64]string{}
	h.acceptors, h.committedVersions = map[acceptorKey]*acceptorState{}, map[string]int{}
}

// Acknowledged returns the greatest acknowledged version.
func (h *History) Acknowledged() int { return h.acknowledged }

// startedBetween returns the number of commands that were first sent between two times.
func (h *History) startedBetween(from, until time.Duration) (n int) {
	for i := len(h.calls) - 1; i >= 0 && h.calls[i].startedAt > from; i-- {
		if x := h.calls[i]; x.command != nil && x.startedAt <= until {
			n++
		}
	}
	return n
}

// NewestEpoch returns the greatest epoch that any process has learned.
func (h *History) NewestEpoch() uint64 {
	last := uint64(0)
	for epoch := range h.views {
		last = max(last, epoch)
	}
	return last
}

// acceptorKey identifies an acceptor in one instance of the consensus on views.
type acceptorKey struct{ identity, instance uint64 }

// acceptorState contains the last proposal numbers that an acceptor has promised and accepted.
type acceptorState struct{ promised, accepted *coordpb.Ballot }

// checkAcceptor checks a promise or an acceptance. An acceptor must not promise or accept a lower
// proposal number than it has promised, and must not forget a proposal that it accepted.
func (h *History) checkAcceptor(w *World, m *coordpb.Message) {
	stateOf := func(instance uint64) *acceptorState {
		key := acceptorKey{m.From.Identity, instance}
		if h.acceptors[key] == nil {
			h.acceptors[key] = &acceptorState{}
		}
		return h.acceptors[key]
	}
	switch body := m.Body.(type) {
	case *coordpb.Message_Promise:
		state := stateOf(body.Promise.Instance)
		if view.LessProposal(body.Promise.Ballot, state.promised) {
			w.Fail("%s promises %v for view %d; it has promised %v", m.From.Address, body.Promise.Ballot, body.Promise.Instance, state.promised)
		}
		if view.LessProposal(body.Promise.AcceptedBallot, state.accepted) {
			w.Fail("%s promises for view %d and reports %v; it has accepted %v", m.From.Address, body.Promise.Instance, body.Promise.AcceptedBallot, state.accepted)
		}
		state.promised = body.Promise.Ballot
	case *coordpb.Message_Accepted:
		state := stateOf(body.Accepted.Instance)
		if view.LessProposal(body.Accepted.Ballot, state.promised) {
			w.Fail("%s accepts %v for view %d; it has promised %v", m.From.Address, body.Accepted.Ballot, body.Accepted.Instance, state.promised)
		}
		state.promised, state.accepted = body.Accepted.Ballot, body.Accepted.Ballot
	}
}

// recordReply records and checks a reply to a client.
func (h *History) recordReply(w *World, x *call, r *coordpb.Reply) {
	if x.command == nil {
		h.checkRead(w, x, r)
		return
	}
	outcome, err := w.Application.Outcome(r.Reply)
	if err != nil {
		w.Fail("a command got the invalid reply %q: %v", r.Reply, err)
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

// checkRead checks the answer to a read. It must not be older than the version that was
// acknowledged when the read started. If the version read was acknowledged, the command that made it
// must be the acknowledged one.
func (h *History) checkRead(w *World, x *call, r *coordpb.Reply) {
	h.Reads++
	at, _, err := splitSnapshot(r.Reply)
	seen, known := h.states[at]
	if err != nil || !known {
		w.Fail("a read got the reply %q, which is invalid or has an unknown state: %v", r.Reply, err)
	}
	if seen.version < x.minVersion {
		w.Fail("a read that began at %v saw version %d; %d was acknowledged by then", x.startedAt, seen.version, x.minVersion)
	}
	if acked, ok := h.commandOf[seen.version]; ok && acked != seen.command {
		w.Fail("version %d was acknowledged for command %s, but a read returned it for command %s", seen.version, acked, seen.command)
	}
	h.inForce = max(h.inForce, seen.version)
	x.complete(w.Now, Accepted, seen.version)
}

// recordRejection records a rejected command, and checks that it was neither acknowledged nor
// committed.
func (h *History) recordRejection(w *World, o *Command) {
	h.rejected[o.Name] = true
	if v := h.versionOf[o.Name]; v > 0 {
		w.Fail("command %s made version %d, and was rejected later", o.Name, v)
	}
	if v := h.committedVersions[o.Name]; v > 0 {
		w.Fail("command %s was rejected, and version %d of it is in force", o.Name, v)
	}
}

// recordAcceptance records an acknowledged command. It checks that the command wasn't rejected and
// that no other command was acknowledged for the same version.
func (h *History) recordAcceptance(w *World, o *Command) {
	h.Commands++
	h.LastAcknowledged = w.Now
	if h.rejected[o.Name] {
		w.Fail("command %s was rejected, and acknowledged later", o.Name)
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

// checkCommit checks that a process commits the same state as others at each sequence number, and
// commits no rejected command.
func (h *History) checkCommit(w *World, p *Process, c chain.Committed) {
	at := c.Value.(stateID)
	if other, ok := h.committedStates[c.Position.Sequence]; ok && other != at {
		w.Fail("%s commits a different state at sequence %d than was committed before", p.Address, c.Position.Sequence)
	}
	h.committedStates[c.Position.Sequence] = at
	for ; !h.committedIDs[at]; at = h.states[at].parent {
		s := h.states[at]
		h.committedIDs[at] = true
		h.committedVersions[s.command] = s.version
		if h.rejected[s.command] {
			w.Fail("command %s was rejected, and version %d of it is in force", s.command, s.version)
		}
	}
}

// checkView checks that all processes learn the same view for an epoch.
func (h *History) checkView(w *World, p *Process, v *coordpb.View) {
	text := v.String()
	if other, ok := h.views[v.Epoch]; ok && other != text {
		w.Fail("%s learns a different view %d than was learned before: %s, not %s", p.Address, v.Epoch, text, other)
	}
	h.views[v.Epoch] = text
}
