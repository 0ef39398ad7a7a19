package peering

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"reachspread/internal/durable"
	"reachspread/internal/router/lease"
	"reachspread/internal/router/quorum"
)

const (
	voterRetryDelay = time.Second            // until a voter that has failed is begun anew
	statusInterval  = 200 * time.Millisecond // how old VoterStatus may be
)

// runVoter runs this candidate's voter until ctx ends. One whose store can't be used, or fails, is
// begun anew as after a crash: the router serves meanwhile, and asks the other voters.
func (r *Roles) runVoter(ctx context.Context) {
	linkContext, closeLink := context.WithCancel(ctx)
	defer closeLink()
	logged := ""
	for ctx.Err() == nil {
		delay := voterRetryDelay
		started, err := r.runVoterOnce(ctx, linkContext)
		if started {
			logged = ""
		}
		if errors.Is(err, durable.ErrLocked) {
			delay = takeOverInterval // of the process that is being replaced
		} else if err != nil && logged != err.Error() {
			logged = err.Error()
			r.log.Warn("voter stopped", "cause", err, "again", voterRetryDelay)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// runVoterOnce opens the store and steps a voter until ctx ends, or the store fails. Started says
// that the voter has run.
func (r *Roles) runVoterOnce(ctx, linkContext context.Context) (started bool, err error) {
	if err := r.openVoter(); err != nil {
		return false, err
	}
	defer r.store.close()
	if !r.voterLink.isListening() {
		if err := r.voterLink.listen(linkContext, r.config.Listen); err != nil {
			return false, err
		}
	}
	return true, r.stepVoter(ctx)
}

// openVoter opens the store and makes the voter of what it has.
func (r *Roles) openVoter() error {
	s, stored, unread, err := openStore(r.config.Folder)
	if err != nil {
		return err
	}
	if unread != nil {
		r.log.Warn("voter store unreadable", "cause", unread, "kept", unreadStoreFileName)
	}
	c := quorum.Config{Self: r.config.Self.Name, Zone: r.config.Self.Zone, Candidates: r.config.Candidates, Voters: r.config.Voters,
		Roles: *r.defined.Load(), Timing: r.config.Timing, ReplaceTimeout: r.config.ReplaceTimeout,
		Boot: r.config.Self.Boot, Seed: r.config.Seed ^ uint64(r.config.Self.Boot)}
	if r.voter, err = quorum.New(c, stored, r.now()); err != nil {
		s.close()
		return err
	}
	r.store = s
	return nil
}

// stepVoter steps the voter until ctx ends, or the store fails.
func (r *Roles) stepVoter(ctx context.Context) error {
	r.voterRunning.Store(true)
	defer r.voterRunning.Store(false)
	defer r.voterStatus.Store(nil)
	if v := r.view.Load(); v != nil {
		r.UpdateView(v)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	loop := voterLoop{roles: r, lastChanges: map[string]string{}, defined: r.defined.Load()}
	for {
		if err := loop.updateRoles(); err != nil {
			return err
		}
		var e quorum.Event = quorum.Tick{}
		var query *voterQuery
		byTimer := false
		select {
		case <-ctx.Done():
			return nil
		case x := <-r.voterEvents:
			switch x := x.(type) {
			case *voterQuery:
				query, e = x, x.event
			case quorum.Event:
				e = x
			}
		case <-timer.C:
			byTimer = true
		}
		if err := loop.step(e, query, byTimer); err != nil {
			return err
		}
		timer.Reset(max(r.voter.Next()-r.now(), 0))
	}
}

// voterLoop is what the voter's goroutine knows from step to step.
type voterLoop struct {
	roles       *Roles
	lastChanges map[string]string // by role, for operators
	defined     *[]lease.Role     // as the voter was told last
	publishedAt time.Time
}

// updateRoles tells the voter of roles that were defined since; it looks each tick at the latest.
func (l *voterLoop) updateRoles() error {
	r := l.roles
	defined := r.defined.Load()
	if defined == l.defined {
		return nil
	}
	l.defined = defined
	return l.carryOut(r.voter.Step(r.now(), quorum.DefineRoles{Roles: *defined}), nil)
}

// step steps the voter with one event. A query is told its result, after the status has it.
func (l *voterLoop) step(e quorum.Event, query *voterQuery, byTimer bool) error {
	r := l.roles
	now := r.now()
	if err := l.carryOut(r.voter.Step(now, e), query); err != nil {
		return err
	}
	if stalled := r.loopPace.RecordStep(now, r.voter.Next(), byTimer); stalled > 0 {
		r.log.Warn("loop stalls", "loop", "voter", "steps", stalled)
	}
	if now := time.Now(); query != nil || now.Sub(l.publishedAt) >= statusInterval {
		l.publishedAt = now
		l.publishStatus()
	}
	if query != nil {
		close(query.done)
	}
	return nil
}

// carryOut carries out the voter's actions in order: nothing after a Persist is done before that is
// on the disk.
func (l *voterLoop) carryOut(actions []quorum.Action, query *voterQuery) error {
	r := l.roles
	for _, a := range actions {
		switch a := a.(type) {
		case quorum.Persist:
			if err := r.store.persist(&a); err != nil {
				return err
			}
		case quorum.Send:
			r.voterLink.send(a.To, a.Data)
		case quorum.SendReply:
			r.sendReply(&a)
		case quorum.Applied:
			l.recordChanges(a.Changes)
		case quorum.Notice:
			r.logNotice(&a)
		case quorum.RebuildFinished:
			if query != nil {
				query.refusal = a.Refusal
			}
		}
	}
	return nil
}

func (l *voterLoop) recordChanges(changes []lease.Change) {
	for _, c := range changes {
		direction := "lost by "
		if c.Granted {
			direction = "to "
		}
		l.lastChanges[c.Grant.Role] = fmt.Sprintf("%s%s, %s, at %s", direction, c.Grant.Holder.Name, c.Reason, time.Now().UTC().Format(time.TimeOnly))
	}
}

// publishStatus has everybody see how things are.
func (l *voterLoop) publishStatus() {
	s := &VoterStatus{Status: l.roles.voter.Status(), TakenAt: time.Now()}
	l.roles.voter.Table().ForEach(func(role *lease.Role, grants []lease.Grant, queue []lease.Router, _ []lease.Reservation) {
		if !role.ByZone { // its zones are roles of their own
			s.Roles = append(s.Roles, RoleStatus{role.Name, role.MaxHolders, slices.Clone(grants), len(queue), l.lastChanges[role.Name]})
		}
	})
	l.roles.voterStatus.Store(s)
}

// logNotice logs a notice of the voter.
func (r *Roles) logNotice(n *quorum.Notice) {
	switch n.Kind {
	case quorum.NoticeNoLeader, quorum.NoticeRejoining:
		r.log.Warn(string(n.Kind), "cause", n.Cause)
	case quorum.NoticeLeaderElected, quorum.NoticeGroupFounded:
		r.log.Info(string(n.Kind), "cause", n.Cause)
	}
}

// sendReply sends a reply to where the request came from, or a notification to a router by its
// name.
func (r *Roles) sendReply(a *quorum.SendReply) {
	self := r.config.Self.Name
	switch {
	case !a.Notification && a.To == localAgent, a.Notification && a.To == self:
		r.handleReply(self, a.Reply)
	case a.Notification:
		if address, ok := r.addressOf(a.To); ok {
			r.send(address, a.Reply.Encode())
		}
	default:
		if address, err := netip.ParseAddrPort(a.To); err == nil {
			r.send(address, a.Reply.Encode())
		}
	}
}
