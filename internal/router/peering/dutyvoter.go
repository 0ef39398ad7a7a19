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

// openVoter opens the folder and makes the voter of what it has.
func (d *Roles) openVoter() error {
	s, had, aside, err := openStore(d.config.Folder)
	if err != nil {
		return err
	}
	if aside != nil {
		d.log.Warn("voter's store unread", "cause", aside, "kept", unreadStoreFileName)
	}
	if d.voter, err = quorum.New(quorum.Config{Self: d.config.Self.Name, Zone: d.config.Self.Zone, Candidates: d.config.Candidates, Voters: d.config.Voters, Roles: *d.defined.Load(), Timing: d.config.Timing,
		ReplaceTimeout: d.config.ReplaceTimeout, Boot: d.config.Self.Boot, Seed: d.config.Seed ^ uint64(d.config.Self.Boot)}, had, d.now()); err != nil {
		s.close()
		return err
	}
	d.store = s
	return nil
}

// vote has the router's voter work until ctx ends. One whose folder can't be used, or fails, is begun anew as after a crash: the router
// serves meanwhile, and asks the others.
func (d *Roles) runVoter(ctx context.Context) {
	running, stop := context.WithCancel(ctx)
	defer stop()
	told := ""
	for ctx.Err() == nil {
		pause := voterRetryDelay
		err := d.openVoter()
		switch {
		case errors.Is(err, durable.ErrLocked):
			pause = takeOverInterval
		case err == nil:
			if !d.voterLink.listening() {
				err = d.voterLink.listen(running, d.config.Listen)
			}
			if err == nil {
				told = ""
				err = d.runVoterOnce(ctx)
			}
			d.store.close()
		}
		if err != nil && !errors.Is(err, durable.ErrLocked) && told != err.Error() {
			told = err.Error()
			d.log.Warn("voter stopped", "cause", err, "again", voterRetryDelay)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// voterAgain is how long after it has failed a voter is begun anew.
const voterRetryDelay = time.Second

// term is a voter's time from its store's opening until ctx ends, or the store fails.
func (d *Roles) runVoterOnce(ctx context.Context) error {
	d.voterRunning.Store(true)
	defer d.voterRunning.Store(false)
	defer d.voterStatus.Store(nil)
	if v := d.view.Load(); v != nil {
		d.UpdateView(v)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	last := map[string]string{}
	var shown time.Time
	defined := d.defined.Load()
	for {
		if now := d.defined.Load(); now != defined { // seen by the voter's next beat at the latest
			defined = now
			if err := d.carryOutVoter(d.voter.Step(d.now(), quorum.DefineRoles{Roles: *now}), nil, last); err != nil {
				return err
			}
		}
		var e quorum.Event = quorum.Tick{}
		var ask *voterQuery
		byTimer := false
		select {
		case <-ctx.Done():
			return nil
		case x := <-d.voterEvents:
			switch x := x.(type) {
			case *voterQuery:
				ask, e = x, x.event
			case quorum.Event:
				e = x
			}
		case <-timer.C:
			byTimer = true
		}
		now := d.now()
		if err := d.carryOutVoter(d.voter.Step(now, e), ask, last); err != nil {
			return err
		}
		if stalled := d.loopPace.RecordStep(now, d.voter.Next(), byTimer); stalled > 0 {
			d.log.Warn("loop stalls", "loop", "voter", "steps", stalled)
		}
		if now := time.Now(); ask != nil || now.Sub(shown) >= statusInterval {
			shown = now
			d.publishStatus(last)
		}
		if ask != nil {
			close(ask.done)
		}
		timer.Reset(max(d.voter.Next()-d.now(), 0))
	}
}

// showEvery is how old what the management API shows may be.
const statusInterval = 200 * time.Millisecond

// asking is a question of the operators to the voter.
type voterQuery struct {
	event   quorum.Event
	refusal string
	done    chan struct{}
}

// carryOut does what the voter wants, in order. Nothing after a Keep is done before it is on the disk.
func (d *Roles) carryOutVoter(all []quorum.Action, ask *voterQuery, last map[string]string) error {
	for _, a := range all {
		switch a := a.(type) {
		case quorum.Persist:
			if err := d.store.persist(&a); err != nil {
				return err
			}
		case quorum.Send:
			d.voterLink.send(a.To, a.Data)
		case quorum.SendReply:
			d.sendReply(&a)
		case quorum.Applied:
			for _, c := range a.Changes {
				word := "lost by "
				if c.Granted {
					word = "to "
				}
				last[c.Grant.Role] = fmt.Sprintf("%s%s, %s, at %s", word, c.Grant.Holder.Name, c.Reason, time.Now().UTC().Format(time.TimeOnly))
			}
		case quorum.Notice:
			d.logNotice(&a)
		case quorum.RebuildFinished:
			if ask != nil {
				ask.refusal = a.Refusal
			}
		}
	}
	return nil
}

// tell writes the lines of a voter.
func (d *Roles) logNotice(t *quorum.Notice) {
	switch t.Kind {
	case quorum.NoticeNoLeader:
		d.log.Warn("duties stopped", "cause", t.Cause)
	case quorum.NoticeLeaderElected:
		d.log.Info("duties go on", "cause", t.Cause)
	case quorum.NoticeRejoining:
		d.log.Warn("voter starts anew", "cause", t.Cause)
	case quorum.NoticeGroupFounded:
		d.log.Info("duties founded", "cause", t.Cause)
	}
}

// answer sends a reply to where the request came from, or to a router by its name.
func (d *Roles) sendReply(a *quorum.SendReply) {
	switch {
	case !a.Notification && a.To == localAgent, a.Notification && a.To == d.config.Self.Name:
		d.handleReply(d.config.Self.Name, a.Reply)
	case a.Notification:
		if at, ok := d.addressOf(a.To); ok {
			d.send(at, a.Reply.Encode())
		}
	default:
		if at, err := netip.ParseAddrPort(a.To); err == nil {
			d.send(at, a.Reply.Encode())
		}
	}
}

// show publishes how things stand.
func (d *Roles) publishStatus(last map[string]string) {
	s := &VoterStatus{Status: d.voter.Status(), TakenAt: time.Now()}
	d.voter.Table().ForEach(func(x *lease.Role, grants []lease.Grant, line []lease.Router, _ []lease.Reservation) {
		if x.ByZone {
			return
		}
		s.Roles = append(s.Roles, RoleStatus{x.Name, x.MaxHolders, slices.Clone(grants), len(line), last[x.Name]})
	})
	d.voterStatus.Store(s)
}
