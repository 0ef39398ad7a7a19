package leasesim

import (
	"encoding/json"
	"fmt"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/router/quorum"
	"reachspread/internal/testbed/history"
)

// noCrash is the value of actionsUntilCrash for a process that is not about to crash.
const noCrash = -1

// router is one machine and, while alive is true, the process on it.
type router struct {
	number    int
	name      string
	zone      string
	clockRate float64
	disk      *quorum.StoredState

	alive       bool
	generation  uint32              // how often the process has started
	downCount   int                 // how many faults keep the process down
	frozenCount int                 // how many faults keep the process frozen
	lastSeen    time.Duration       // when the membership last saw the process running
	diskAtStart *quorum.StoredState // the disk when the process started
	voter       *quorum.Voter       // nil unless the router is a candidate
	agent       *lease.Agent
	leases      map[string]uint64 // the tokens of the roles that the router holds
	inbox       []event           // events that arrived while the process was frozen
	wakeUpAt    time.Duration
	// actionsUntilCrash is how many actions a process that is about to crash still carries out.
	actionsUntilCrash int
}

// isRunning reports whether the process is alive and not frozen.
func (r *router) isRunning() bool { return r.alive && r.frozenCount == 0 }

// process returns the name of the process in the history.
func (r *router) process() string { return fmt.Sprintf("%s/%d", r.name, r.generation) }

// clockOffset returns the offset of the machine's clock, which is different for each router.
func (r *router) clockOffset() time.Duration {
	return time.Hour + time.Duration(r.number)*time.Minute
}

// clock returns the time of the machine's clock at a virtual time. The clock continues while the
// process is frozen.
func (r *router) clock(now time.Duration) time.Duration {
	return r.clockOffset() + time.Duration(float64(now)*r.clockRate)
}

// simulatorTime returns the virtual time at which the machine's clock shows a local time.
func (r *router) simulatorTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-r.clockOffset()) / r.clockRate)
}

// startProcess starts a process, unless one runs or a fault keeps it down.
func (w *World) startProcess(r *router) {
	if r.alive || r.downCount > 0 {
		return
	}
	r.generation++
	r.alive, r.actionsUntilCrash, r.inbox, r.leases = true, noCrash, nil, map[string]uint64{}
	r.diskAtStart = r.disk.Clone()
	// The boot number is different for each process.
	boot := (uint32(r.number)*2654435761 ^ r.generation*2246822519) | 1
	actions, err := w.makeDeciders(r, boot)
	if err != nil {
		w.Err = err
		return
	}
	w.emit(history.Event{What: history.Start, Who: r.name})
	w.carryOutVoter(r, actions)
	for _, role := range w.rolesOf(r) {
		if r.alive {
			w.carryOutAgent(r, r.agent.Acquire(r.clock(w.now), role))
		}
	}
	w.scheduleWakeUp(r)
}

// makeDeciders makes a process's voter, if the router is a candidate, and its agent. It returns the
// voter's first actions.
func (w *World) makeDeciders(r *router, boot uint32) (actions []quorum.Action, err error) {
	s := &w.spec
	if r.number < s.Candidates {
		r.voter, err = quorum.New(quorum.Config{Self: r.name, Zone: r.zone, Candidates: w.candidates(), Voters: s.Voters, Roles: s.Roles, Timing: s.Timing,
			ReplaceTimeout: s.ReplaceTimeout, Boot: boot, Seed: s.Seed, SkipLeaseWait: s.SkipLeaseWait}, r.disk.Clone(), r.clock(w.now))
		if err != nil {
			return nil, err
		}
		actions = r.voter.Step(r.clock(w.now), quorum.Tick{})
	}
	self := lease.Router{Name: r.name, Boot: boot, Zone: r.zone}
	r.agent, err = lease.NewAgent(lease.AgentConfig{Self: self, Timing: s.Timing, Voters: w.candidates(), Seed: s.Seed})
	return actions, err
}

func (w *World) rolesOf(r *router) (names []string) {
	if w.spec.RolesOf != nil {
		return w.spec.RolesOf(r.number)
	}
	for i := range w.spec.Roles {
		names = append(names, w.spec.Roles[i].NameIn(r.zone))
	}
	return names
}

// stopProcess ends a process at once, if one runs.
func (w *World) stopProcess(r *router) {
	if !r.alive {
		return
	}
	r.alive, r.voter, r.agent, r.inbox = false, nil, nil, nil
	w.endSpans("killed", func(s *Span) bool { return s.Router == r.number })
	w.emit(history.Event{What: history.Exit, Who: r.name, Status: -1, Text: "killed"})
}

// endSpans ends the open spans that match.
func (w *World) endSpans(reason string, match func(*Span) bool) {
	for i := range w.Spans {
		if s := &w.Spans[i]; s.To == 0 && match(s) {
			s.To, s.Reason = w.now, reason
		}
	}
}

// deliver makes a running process handle an event.
func (w *World) deliver(r *router, e *event) {
	now := r.clock(w.now)
	switch e.kind {
	case deliverRequest:
		if request, _, err := lease.Decode(e.data); err == nil && request != nil && r.voter != nil {
			w.carryOutVoter(r, r.voter.Step(now, quorum.RequestReceived{From: fmt.Sprint("r", e.from), Request: request}))
		}
	case deliverVoterMessage:
		if r.voter != nil {
			w.carryOutVoter(r, r.voter.Step(now, quorum.MessageReceived{Data: e.data}))
		}
	case deliverReply:
		if _, reply, err := lease.Decode(e.data); err == nil && reply != nil {
			w.recordReturn(r, reply)
			w.carryOutAgent(r, r.agent.HandleReply(now, fmt.Sprint("r", e.from), reply))
		}
	case wakeUp:
		w.tickDeciders(r, now)
	case beginAct:
		w.beginAct(r, e.role)
	case sendAct:
		w.sendAct(r, e)
	}
	w.scheduleWakeUp(r)
}

// tickDeciders steps the deciders whose wake-up time is reached.
func (w *World) tickDeciders(r *router, now time.Duration) {
	if r.voter != nil && now >= r.voter.Next() {
		w.carryOutVoter(r, r.voter.Step(now, quorum.Tick{}))
		w.checkProgress(r, "voter", r.voter != nil && r.voter.Next() <= now)
	}
	if !r.alive {
		return
	}
	if next := r.agent.Next(); next != 0 && now >= next {
		w.carryOutAgent(r, r.agent.Tick(now))
		after := r.agent.Next()
		w.checkProgress(r, "agent", after != 0 && after <= now)
	}
}

// checkProgress ends the run if a decider that was stepped at its wake-up time requests no later
// one: a real router would then step it in a busy loop.
func (w *World) checkProgress(r *router, decider string, stalls bool) {
	if stalls && w.Err == nil {
		w.Err = fmt.Errorf("at %v the %s of %s was stepped at its wake-up time and requests no later one", w.now, decider, r.name)
	}
}

func (w *World) scheduleWakeUp(r *router) {
	if !r.alive {
		return
	}
	due := time.Duration(0)
	if r.voter != nil {
		due = r.voter.Next()
	}
	if next := r.agent.Next(); next != 0 && (due == 0 || next < due) {
		due = next
	}
	if due == 0 {
		return
	}
	r.wakeUpAt = max(r.simulatorTime(due), w.now) + time.Microsecond
	w.schedule(event{at: r.wakeUpAt, kind: wakeUp, router: r.number, generation: r.generation})
}

// carryOutVoter carries out a voter's actions in order. A process that is about to crash ends after
// actionsUntilCrash more actions.
func (w *World) carryOutVoter(r *router, actions []quorum.Action) {
	syncing := time.Duration(0)
	for _, a := range actions {
		if r.actionsUntilCrash == 0 {
			w.stopProcess(r)
			return
		}
		if r.actionsUntilCrash > 0 {
			r.actionsUntilCrash--
		}
		switch a := a.(type) {
		case quorum.Persist:
			r.disk = r.disk.Apply(&a)
			syncing += w.spec.SyncDelay
		case quorum.Send:
			w.Messages++
			w.Bytes += uint64(len(a.Data))
			w.send(r, w.byName[a.To], event{kind: deliverVoterMessage, data: a.Data}, syncing)
		case quorum.SendReply:
			w.Replies++
			w.send(r, w.byName[a.To], event{kind: deliverReply, data: a.Reply.Encode()}, syncing)
		case quorum.Applied:
			w.checkApplied(r, &a)
		case quorum.Notice:
			w.Notices = append(w.Notices, fmt.Sprintf("%v %s: %s: %s", w.now, r.name, a.Kind, a.Cause))
		}
	}
}

// groupShift is how far a group's number is shifted in the keys of World.applied, so that it stands
// above the bits of the log index.
const groupShift = 40

// checkApplied ends the run if voters of a group apply different commands at the same index.
func (w *World) checkApplied(r *router, a *quorum.Applied) {
	encoded, _ := json.Marshal(a) // cannot fail: all fields are plain data
	command := string(encoded)
	key := r.voter.Status().Group<<groupShift | a.Index
	if earlier, known := w.applied[key]; known && earlier != command {
		w.Err = fmt.Errorf("at %v %s applies a different command at index %d than was applied before: %s, not %s", w.now, r.name, a.Index, command, earlier)
	} else if !known && len(w.applied) < maxRecordedIndexes {
		w.applied[key] = command
		w.recordExpiry(a)
	}
	w.AppliedIndex = max(w.AppliedIndex, a.Index)
}

// carryOutAgent carries out an agent's actions in order.
func (w *World) carryOutAgent(r *router, actions []lease.Action) {
	for _, a := range actions {
		if !r.alive {
			return
		}
		switch a := a.(type) {
		case lease.SendRequest:
			w.Requests++
			w.recordInvoke(r, a.Request)
			w.send(r, w.byName[a.To], event{kind: deliverRequest, data: a.Request.Encode()}, 0)
		case lease.Granted:
			w.startSpan(r, &a)
		case lease.Ended:
			delete(r.leases, a.Role)
			w.endSpans(a.Reason, func(s *Span) bool { return s.Router == r.number && s.Role == a.Role })
		case lease.TransferRequested:
			w.carryOutAgent(r, r.agent.Release(r.clock(w.now), a.Role, a.To, lease.ReacquireDelay))
		}
	}
}

// startSpan records that a router holds a role, and starts its acts, unless the router already holds
// the role with the same token.
func (w *World) startSpan(r *router, g *lease.Granted) {
	if r.leases[g.Role] == g.Token {
		return
	}
	r.leases[g.Role] = g.Token
	w.Spans = append(w.Spans, Span{Role: g.Role, Router: r.number, Token: g.Token, From: w.now})
	w.schedule(event{at: w.now, kind: beginAct, router: r.number, generation: r.generation, role: g.Role, token: g.Token})
}
