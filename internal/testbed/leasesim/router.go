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
	n      int
	name   string
	zone   string
	lives  bool
	gen    uint32
	down   int
	still  int
	rate   float64
	began  time.Duration // of this life
	disk   *quorum.Stored
	older  *quorum.Stored // as it was when this life began
	voter  *quorum.Voter
	agent  *lease.Agent
	held   map[string]uint64
	inbox  []event
	due    time.Duration
	stops  int // actions after which the process dies, where it is about to
	unseen time.Duration
}

// clock is a router's own time: of its machine, which goes on while the process stands still.
func (r *router) clock(now time.Duration) time.Duration {
	return time.Hour + time.Duration(r.n)*time.Minute + time.Duration(float64(now)*r.rate)
}

// truth is when a router's clock shows a time.
func (r *router) truth(local time.Duration) time.Duration {
	return time.Duration(float64(local-time.Hour-time.Duration(r.n)*time.Minute) / r.rate)
}

// take has a process that runs deal with something.
func (w *World) take(r *router, e *event) {
	now := r.clock(w.now)
	switch e.do {
	case toVoter: // a router's request
		if q, _, err := lease.Read(e.data); err == nil && q != nil && r.voter != nil {
			w.voted(r, r.voter.Step(now, quorum.Asked{From: fmt.Sprint("r", e.from), Request: q}))
		}
	case toVoters:
		if r.voter != nil {
			w.voted(r, r.voter.Step(now, quorum.Received{Data: e.data}))
		}
	case toAgent:
		if _, p, err := lease.Read(e.data); err == nil && p != nil {
			w.told(r, p)
			w.asked(r, r.agent.Heard(now, fmt.Sprint("r", e.from), p))
		}
	case wakes:
		if r.voter != nil && now >= r.voter.Next() {
			w.voted(r, r.voter.Step(now, quorum.Passed{}))
			w.moved(r, "voter", r.voter != nil && r.voter.Next() <= now)
		}
		if next := r.agent.Next(); r.lives && next != 0 && now >= next {
			w.asked(r, r.agent.Passed(now))
			after := r.agent.Next()
			w.moved(r, "agent", after != 0 && after <= now)
		}
	case acts:
		w.act(r, e.duty)
	case leaves:
		w.leave(r, e)
	}
	w.wake(r)
}

// moved looks at a decider that was stepped at the time that it named: one that names no later time has its loop turn without pause.
func (w *World) moved(r *router, decider string, stalls bool) {
	if stalls && w.Broken == nil {
		w.Broken = fmt.Errorf("at %v the %s of %s was stepped at the time that it named, and names no later one", w.now, decider, r.name)
	}
}

func (w *World) wake(r *router) {
	if !r.lives {
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
	r.due = max(r.truth(due)+time.Microsecond, w.now+time.Microsecond)
	w.put(event{at: r.due, do: wakes, n: r.n, gen: r.gen})
}

func (w *World) start(r *router) {
	if r.lives || r.down > 0 {
		return
	}
	r.gen++
	r.lives, r.stops, r.inbox, r.held, r.began = true, -1, nil, map[string]uint64{}, w.now
	boot := (uint32(r.n)*2654435761 ^ r.gen*2246822519) | 1
	r.older = r.disk.Clone()
	var out []quorum.Action
	if r.n < w.s.May {
		v, err := quorum.New(quorum.Config{Self: r.name, Zone: r.zone, Names: w.names(), Voters: w.s.Voters, Duties: w.s.Duties, Times: w.s.Times,
			ReplaceAfter: w.s.Replace, Boot: boot, Seed: w.s.Seed, NoWait: w.s.NoWait}, r.disk.Clone(), r.clock(w.now))
		if err != nil {
			w.Broken = err
			return
		}
		r.voter = v
		out = v.Step(r.clock(w.now), quorum.Passed{})
	}
	agent, err := lease.NewAgent(lease.AgentConfig{Self: lease.Router{Name: r.name, Boot: boot, Zone: r.zone}, Times: w.s.Times, Voters: w.names(), Seed: w.s.Seed})
	if err != nil {
		w.Broken = err
		return
	}
	r.agent = agent
	w.emit(history.Event{What: history.Start, Who: r.name})
	w.voted(r, out)
	for _, d := range w.wants(r) {
		if r.lives {
			w.asked(r, r.agent.Want(r.clock(w.now), d))
		}
	}
	w.wake(r)
}

func (w *World) wants(r *router) (all []string) {
	if w.s.Wants != nil {
		return w.s.Wants(r.n)
	}
	for _, d := range w.s.Duties {
		all = append(all, d.Of(r.zone))
	}
	return all
}

// stop ends a process where it stands.
func (w *World) stop(r *router) {
	if !r.lives {
		return
	}
	r.lives, r.voter, r.agent, r.inbox = false, nil, nil, nil
	for i := range w.Spans {
		if s := &w.Spans[i]; s.Router == r.n && s.To == 0 {
			s.To, s.Why = w.now, "killed"
		}
	}
	w.emit(history.Event{What: history.Exit, Who: r.name, Status: -1, Text: "killed"})
}

// voted carries out what a voter wants, one after the other; a process that is about to die does so in between.
func (w *World) voted(r *router, out []quorum.Action) {
	synced := time.Duration(0)
	for _, a := range out {
		if r.stops >= 0 {
			if r.stops == 0 {
				w.stop(r)
				return
			}
			r.stops--
		}
		switch a := a.(type) {
		case quorum.Keep:
			r.disk = r.disk.Kept(&a)
			synced += w.s.Sync
		case quorum.Send:
			w.Messages++
			w.Bytes += uint64(len(a.Data))
			w.send(r, w.byName[a.To], event{do: toVoters, data: a.Data}, synced)
		case quorum.Answer:
			w.Answers++
			w.send(r, w.byName[a.To], event{do: toAgent, data: a.Reply.Append()}, synced)
		case quorum.Applied:
			w.applied(r, &a)
		case quorum.Told:
			w.Told = append(w.Told, fmt.Sprintf("%v %s: %s: %s", w.now, r.name, a.What, a.Cause))
		}
	}
}

// applied looks whether all voters apply the same.
func (w *World) applied(r *router, a *quorum.Applied) {
	x, _ := json.Marshal(a) // of plain fields
	text := string(x)
	key := r.voter.Standing().Group<<40 | a.Index
	if before, known := w.table[key]; known && before != text {
		w.Broken = fmt.Errorf("at %v %s applies another command %d than was applied: %s, not %s", w.now, r.name, a.Index, text, before)
	} else if !known && len(w.table) < 1<<20 {
		w.table[key] = text
		w.expired(a)
	}
	w.Applied = max(w.Applied, a.Index)
}

// asked carries out what an agent wants.
func (w *World) asked(r *router, out []lease.Action) {
	for _, a := range out {
		if !r.lives {
			return
		}
		switch a := a.(type) {
		case lease.Ask:
			w.Requests++
			w.tells(r, a.Request)
			data := a.Request.Append()
			w.send(r, w.byName[a.To], event{do: toVoter, data: data}, 0)
		case lease.Began:
			if r.held[a.Duty] != a.Token {
				r.held[a.Duty] = a.Token
				w.Spans = append(w.Spans, Span{Duty: a.Duty, Router: r.n, Token: a.Token, From: w.now})
				w.put(event{at: w.now, do: acts, n: r.n, gen: r.gen, duty: a.Duty, token: a.Token})
			}
		case lease.Ended:
			delete(r.held, a.Duty)
			for i := range w.Spans {
				if s := &w.Spans[i]; s.Router == r.n && s.Duty == a.Duty && s.To == 0 {
					s.To, s.Why = w.now, a.Why
				}
			}
		case lease.Wished:
			w.asked(r, r.agent.Drop(r.clock(w.now), a.Duty, a.To, lease.Soon))
		}
	}
}

// opKinds names requests in the history.
var opKinds = map[lease.Kind]string{lease.Acquire: "acquire", lease.Renew: "renew", lease.Yield: "yield", lease.HandOver: "yield"}

func (r *router) life() string { return fmt.Sprintf("%s/%d", r.name, r.gen) }

// tells puts a request for a duty of one holder into the history.
func (w *World) tells(r *router, q *lease.Request) {
	c := &q.Command
	if kind, is := opKinds[c.Kind]; is && !w.several(c.Duty) {
		w.emit(history.Event{What: history.Invoke, Who: r.life(), ID: fmt.Sprint(r.life(), " ", q.ID), Op: &history.Op{Kind: kind, Key: c.Duty, Value: r.life(), Token: c.Token}})
	}
}

// told puts the end of one there, if it was one.
func (w *World) told(r *router, p *lease.Reply) {
	if p.ID != 0 && !p.NotLeader {
		w.emit(history.Event{What: history.OK, Who: r.life(), ID: fmt.Sprint(r.life(), " ", p.ID), Op: &history.Op{Did: p.Answer.OK, Token: p.Answer.Grant.Token}})
	}
}

// expired puts the end of a lease there, which came at some time after the grant.
func (w *World) expired(a *quorum.Applied) {
	for _, c := range a.Changes {
		if c.Granted {
			w.grantAt[c.Grant.Token] = w.now
		} else if (c.Why == lease.Expired || c.Why == lease.Again) && !w.several(c.Grant.Duty) {
			id := fmt.Sprint("expire ", c.Grant.Token)
			op := &history.Op{Kind: "expire", Key: c.Grant.Duty, Token: c.Grant.Token}
			if w.s.History != nil {
				w.s.History(&history.Event{T: w.grantAt[c.Grant.Token].Nanoseconds(), What: history.Invoke, Who: id, ID: id, Op: op})
			}
			w.emit(history.Event{What: history.OK, Who: id, ID: id, Op: &history.Op{Did: true}})
		}
	}
}

// several tells that a duty may have several holders.
func (w *World) several(name string) bool {
	return slices.ContainsFunc(w.s.Duties, func(d lease.Duty) bool { return d.Name == name && d.Holders > 1 })
}

// act looks at the lease, and acts a moment later: a standstill may come in between.
func (w *World) act(r *router, name string) {
	token, _, ok := r.agent.Begin(r.clock(w.now), name)
	if !ok || r.held[name] == 0 {
		return
	}
	w.put(event{at: w.now + time.Duration(w.rng.Int64N(int64(2*time.Millisecond))), do: leaves, n: r.n, gen: r.gen, duty: name, token: token, checked: w.now})
	w.put(event{at: w.now + w.s.Every/2 + time.Duration(w.rng.Int64N(int64(w.s.Every))), do: acts, n: r.n, gen: r.gen, duty: name, token: token})
}

// leave has an act leave the process. Where several may hold a duty there is nothing to be fenced.
func (w *World) leave(r *router, e *event) {
	if w.several(e.duty) {
		return
	}
	way := w.way()
	w.link.Condition = faults.ConditionOf(w.on, faults.End{N: r.n}, faults.End{Kind: faults.AtHost})
	w.copies = w.link.Pass(1, w.copies[:0])
	for _, c := range w.copies {
		w.put(event{at: w.now + way + c.After, do: lands, from: r.n, duty: e.duty, token: e.token, checked: e.checked})
	}
}
