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
	voterRetryDelay = time.Second            // delay before a failed voter is restarted
	statusInterval  = 200 * time.Millisecond // minimum time between two publications of VoterStatus by steps without a query
)

// runVoter runs this candidate's voter until ctx ends. If the voter's store can't be opened or a
// write to it fails, runVoter restarts the voter as after a crash. Meanwhile the router serves, and
// asks the other voters.
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
			delay = takeOverInterval // the process that is being replaced still holds the lock
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

// runVoterOnce opens the store and steps a voter until ctx ends or a write to the store fails. It
// reports in started whether the voter ran.
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

// openVoter opens the store and creates the voter from the stored state.
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

// stepVoter steps the voter until ctx ends or a write to the store fails.
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

// voterLoop is the state that the voter's goroutine keeps between steps.
type voterLoop struct {
	roles       *Roles
	lastChanges map[string]string // description of the last grant or loss, by role; shown to operators
	defined     *[]lease.Role     // the role definitions that the voter has
	publishedAt time.Time
}

// updateRoles passes the role definitions to the voter if Define has changed them. stepVoter calls
// it before each step, so the voter has new definitions after one tick at the latest.
func (l *voterLoop) updateRoles() error {
	r := l.roles
	defined := r.defined.Load()
	if defined == l.defined {
		return nil
	}
	l.defined = defined
	return l.carryOut(r.voter.Step(r.now(), quorum.DefineRoles{Roles: *defined}), nil)
}

// step steps the voter with one event. If the event comes from a query, step publishes the status
// first and then completes the query, so the status shows the query's effect.
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

// carryOut carries out the voter's actions in order. No action after a Persist is carried out until
// the Persist is synced to disk.
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

// publishStatus stores a snapshot of the voter's state for VoterStatus.
func (l *voterLoop) publishStatus() {
	s := &VoterStatus{Status: l.roles.voter.Status(), TakenAt: time.Now()}
	l.roles.voter.Table().ForEach(func(role *lease.Role, grants []lease.Grant, queue []lease.Router, _ []lease.Reservation) {
		if !role.ByZone { // each zone of a ByZone role is listed as a separate role
			s.Roles = append(s.Roles, RoleStatus{role.Name, role.MaxHolders, slices.Clone(grants), len(queue), l.lastChanges[role.Name]})
		}
	})
	l.roles.voterStatus.Store(s)
}

// logNotice logs a notice of the voter, at a level that depends on its kind.
func (r *Roles) logNotice(n *quorum.Notice) {
	switch n.Kind {
	case quorum.NoticeNoLeader, quorum.NoticeRejoining:
		r.log.Warn(string(n.Kind), "cause", n.Cause)
	case quorum.NoticeLeaderElected, quorum.NoticeGroupFounded:
		r.log.Info(string(n.Kind), "cause", n.Cause)
	}
}

// sendReply sends a reply to the address that the request came from, or a notification to the
// router that it names.
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
