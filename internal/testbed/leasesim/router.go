package leasesim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/router/quorum"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

// router is one place.
type router struct {
	number            int
	name              string
	zone              string
	alive             bool
	generation        uint32
	downCount         int
	frozenCount       int
	clockRate         float64
	startedAt         time.Duration // of this life
	disk              *quorum.StoredState
	diskAtStart       *quorum.StoredState // as it was when this life began
	voter             *quorum.Voter
	agent             *lease.Agent
	leases            map[string]uint64
	inbox             []event
	wakeUpAt          time.Duration
	actionsUntilCrash int // actions after which the process dies, where it is about to
	lastSeen          time.Duration
}

// clock is a router's own time: of its machine, which goes on while the process stands still.
func (r *router) clock(now time.Duration) time.Duration {
	return time.Hour + time.Duration(r.number)*time.Minute + time.Duration(float64(now)*r.clockRate)
}

// truth is when a router's clock shows a time.
func (r *router) simulatorTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-time.Hour-time.Duration(r.number)*time.Minute) / r.clockRate)
}

// take has a process that runs deal with something.
func (w *World) deliver(r *router, e *event) {
	now := r.clock(w.now)
	switch e.kind {
	case toVoter: // a router's request
		if q, _, err := lease.Decode(e.data); err == nil && q != nil && r.voter != nil {
			w.carryOutVoter(r, r.voter.Step(now, quorum.RequestReceived{From: fmt.Sprint("r", e.from), Request: q}))
		}
	case toVoters:
		if r.voter != nil {
			w.carryOutVoter(r, r.voter.Step(now, quorum.MessageReceived{Data: e.data}))
		}
	case toAgent:
		if _, p, err := lease.Decode(e.data); err == nil && p != nil {
			w.recordReturn(r, p)
			w.carryOutAgent(r, r.agent.HandleReply(now, fmt.Sprint("r", e.from), p))
		}
	case wakeUp:
		if r.voter != nil && now >= r.voter.Next() {
			w.carryOutVoter(r, r.voter.Step(now, quorum.Tick{}))
			w.checkProgress(r, "voter", r.voter != nil && r.voter.Next() <= now)
		}
		if next := r.agent.Next(); r.alive && next != 0 && now >= next {
			w.carryOutAgent(r, r.agent.Tick(now))
			after := r.agent.Next()
			w.checkProgress(r, "agent", after != 0 && after <= now)
		}
	case beginAct:
		w.beginAct(r, e.role)
	case sendAct:
		w.sendAct(r, e)
	}
	w.scheduleWakeUp(r)
}

// moved looks at a decider that was stepped at the time that it named: one that names no later time has its loop turn without pause.
func (w *World) checkProgress(r *router, decider string, stalls bool) {
	if stalls && w.Err == nil {
		w.Err = fmt.Errorf("at %v the %s of %s was stepped at the time that it named, and names no later one", w.now, decider, r.name)
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
	r.wakeUpAt = max(r.simulatorTime(due)+time.Microsecond, w.now+time.Microsecond)
	w.schedule(event{at: r.wakeUpAt, kind: wakeUp, router: r.number, generation: r.generation})
}

func (w *World) startProcess(r *router) {
	if r.alive || r.downCount > 0 {
		return
	}
	r.generation++
	r.alive, r.actionsUntilCrash, r.inbox, r.leases, r.startedAt = true, -1, nil, map[string]uint64{}, w.now
	boot := (uint32(r.number)*2654435761 ^ r.generation*2246822519) | 1
	r.diskAtStart = r.disk.Clone()
	var out []quorum.Action
	if r.number < w.spec.Candidates {
		v, err := quorum.New(quorum.Config{Self: r.name, Zone: r.zone, Candidates: w.candidates(), Voters: w.spec.Voters, Roles: w.spec.Roles, Timing: w.spec.Timing,
			ReplaceTimeout: w.spec.ReplaceTimeout, Boot: boot, Seed: w.spec.Seed, SkipLeaseWait: w.spec.SkipLeaseWait}, r.disk.Clone(), r.clock(w.now))
		if err != nil {
			w.Err = err
			return
		}
		r.voter = v
		out = v.Step(r.clock(w.now), quorum.Tick{})
	}
	agent, err := lease.NewAgent(lease.AgentConfig{Self: lease.Router{Name: r.name, Boot: boot, Zone: r.zone}, Timing: w.spec.Timing, Voters: w.candidates(), Seed: w.spec.Seed})
	if err != nil {
		w.Err = err
		return
	}
	r.agent = agent
	w.emit(history.Event{What: history.Start, Who: r.name})
	w.carryOutVoter(r, out)
	for _, d := range w.rolesOf(r) {
		if r.alive {
			w.carryOutAgent(r, r.agent.Acquire(r.clock(w.now), d))
		}
	}
	w.scheduleWakeUp(r)
}

func (w *World) rolesOf(r *router) (all []string) {
	if w.spec.RolesOf != nil {
		return w.spec.RolesOf(r.number)
	}
	for _, d := range w.spec.Roles {
		all = append(all, d.NameIn(r.zone))
	}
	return all
}

// stop ends a process where it stands.
func (w *World) stopProcess(r *router) {
	if !r.alive {
		return
	}
	r.alive, r.voter, r.agent, r.inbox = false, nil, nil, nil
	for i := range w.Spans {
		if s := &w.Spans[i]; s.Router == r.number && s.To == 0 {
			s.To, s.Reason = w.now, "killed"
		}
	}
	w.emit(history.Event{What: history.Exit, Who: r.name, Status: -1, Text: "killed"})
}

// voted carries out what a voter wants, one after the other; a process that is about to die does so in between.
func (w *World) carryOutVoter(r *router, out []quorum.Action) {
	synced := time.Duration(0)
	for _, a := range out {
		if r.actionsUntilCrash >= 0 {
			if r.actionsUntilCrash == 0 {
				w.stopProcess(r)
				return
			}
			r.actionsUntilCrash--
		}
		switch a := a.(type) {
		case quorum.Persist:
			r.disk = r.disk.Apply(&a)
			synced += w.spec.SyncDelay
		case quorum.Send:
			w.Messages++
			w.Bytes += uint64(len(a.Data))
			w.send(r, w.byName[a.To], event{kind: toVoters, data: a.Data}, synced)
		case quorum.SendReply:
			w.Answers++
			w.send(r, w.byName[a.To], event{kind: toAgent, data: a.Reply.Encode()}, synced)
		case quorum.Applied:
			w.checkApplied(r, &a)
		case quorum.Notice:
			w.Notices = append(w.Notices, fmt.Sprintf("%v %s: %s: %s", w.now, r.name, a.Kind, a.Cause))
		}
	}
}

// applied looks whether all voters apply the same.
func (w *World) checkApplied(r *router, a *quorum.Applied) {
	x, _ := json.Marshal(a) // of plain fields
	text := string(x)
	key := r.voter.Status().Group<<40 | a.Index
	if before, known := w.applied[key]; known && before != text {
		w.Err = fmt.Errorf("at %v %s applies another command %d than was applied: %s, not %s", w.now, r.name, a.Index, text, before)
	} else if !known && len(w.applied) < 1<<20 {
		w.applied[key] = text
		w.recordExpiry(a)
	}
	w.AppliedIndex = max(w.AppliedIndex, a.Index)
}

// asked carries out what an agent wants.
func (w *World) carryOutAgent(r *router, out []lease.Action) {
	for _, a := range out {
		if !r.alive {
			return
		}
		switch a := a.(type) {
		case lease.SendRequest:
			w.Requests++
			w.recordInvoke(r, a.Request)
			data := a.Request.Encode()
			w.send(r, w.byName[a.To], event{kind: toVoter, data: data}, 0)
		case lease.Granted:
			if r.leases[a.Role] != a.Token {
				r.leases[a.Role] = a.Token
				w.Spans = append(w.Spans, Span{Role: a.Role, Router: r.number, Token: a.Token, From: w.now})
				w.schedule(event{at: w.now, kind: beginAct, router: r.number, generation: r.generation, role: a.Role, token: a.Token})
			}
		case lease.Ended:
			delete(r.leases, a.Role)
			for i := range w.Spans {
				if s := &w.Spans[i]; s.Router == r.number && s.Role == a.Role && s.To == 0 {
					s.To, s.Reason = w.now, a.Reason
				}
			}
		case lease.TransferRequested:
			w.carryOutAgent(r, r.agent.Release(r.clock(w.now), a.Role, a.To, lease.ReacquireDelay))
		}
	}
}

// opKinds names requests in the history.
var opKinds = map[lease.CommandKind]string{lease.Acquire: "acquire", lease.Renew: "renew", lease.Release: "yield", lease.Transfer: "yield"}

func (r *router) process() string { return fmt.Sprintf("%s/%d", r.name, r.generation) }

// tells puts a request for a duty of one holder into the history.
func (w *World) recordInvoke(r *router, q *lease.Request) {
	c := &q.Command
	if kind, is := opKinds[c.Kind]; is && !w.isShared(c.Role) {
		w.emit(history.Event{What: history.Invoke, Who: r.process(), ID: fmt.Sprint(r.process(), " ", q.ID), Op: &history.Op{Kind: kind, Key: c.Role, Value: r.process(), Token: c.Token}})
	}
}

// told puts the end of one there, if it was one.
func (w *World) recordReturn(r *router, p *lease.Reply) {
	if p.ID != 0 && !p.NotLeader {
		w.emit(history.Event{What: history.OK, Who: r.process(), ID: fmt.Sprint(r.process(), " ", p.ID), Op: &history.Op{Did: p.Result.OK, Token: p.Result.Grant.Token}})
	}
}

// expired puts the end of a lease there, which came at some time after the grant.
func (w *World) recordExpiry(a *quorum.Applied) {
	for _, c := range a.Changes {
		if c.Granted {
			w.grantedAt[c.Grant.Token] = w.now
		} else if (c.Reason == lease.ReasonExpired || c.Reason == lease.ReasonRestarted) && !w.isShared(c.Grant.Role) {
			id := fmt.Sprint("expire ", c.Grant.Token)
			op := &history.Op{Kind: "expire", Key: c.Grant.Role, Token: c.Grant.Token}
			if w.spec.History != nil {
				w.spec.History(&history.Event{T: w.grantedAt[c.Grant.Token].Nanoseconds(), What: history.Invoke, Who: id, ID: id, Op: op})
			}
			w.emit(history.Event{What: history.OK, Who: id, ID: id, Op: &history.Op{Did: true}})
		}
	}
}

// several tells that a duty may have several holders.
func (w *World) isShared(name string) bool {
	return slices.ContainsFunc(w.spec.Roles, func(d lease.Role) bool { return d.Name == name && d.MaxHolders > 1 })
}

// act looks at the lease, and acts a moment later: a standstill may come in between.
func (w *World) beginAct(r *router, name string) {
	token, _, ok := r.agent.Check(r.clock(w.now), name)
	if !ok || r.leases[name] == 0 {
		return
	}
	w.schedule(event{at: w.now + time.Duration(w.rng.Int64N(int64(2*time.Millisecond))), kind: sendAct, router: r.number, generation: r.generation, role: name, token: token, checkedAt: w.now})
	w.schedule(event{at: w.now + w.spec.ActInterval/2 + time.Duration(w.rng.Int64N(int64(w.spec.ActInterval))), kind: beginAct, router: r.number, generation: r.generation, role: name, token: token})
}

// leave has an act leave the process. Where several may hold a duty there is nothing to be fenced.
func (w *World) sendAct(r *router, e *event) {
	if w.isShared(e.role) {
		return
	}
	way := w.latency()
	w.link.Condition = faults.ConditionOf(w.linkFaults, faults.End{N: r.number}, faults.End{Kind: faults.AtHost})
	w.copies = w.link.Pass(1, w.copies[:0])
	for _, c := range w.copies {
		w.schedule(event{at: w.now + way + c.After, kind: receiveAct, from: r.number, role: e.role, token: e.token, checkedAt: e.checkedAt})
	}
}
