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
func (d *Duties) openVoter() error {
	s, had, aside, err := openStore(d.c.Folder)
	if err != nil {
		return err
	}
	if aside != nil {
		d.log.Warn("voter's store unread", "cause", aside, "kept", storeAside)
	}
	if d.voter, err = quorum.New(quorum.Config{Self: d.c.Self.Name, Zone: d.c.Self.Zone, Names: d.c.Order, Voters: d.c.Voters, Duties: *d.duties.Load(), Times: d.c.Times,
		ReplaceAfter: d.c.Replace, Boot: d.c.Self.Boot, Seed: d.c.Seed ^ uint64(d.c.Self.Boot)}, had, d.now()); err != nil {
		s.close()
		return err
	}
	d.store = s
	return nil
}

// vote has the router's voter work until ctx ends. One whose folder can't be used, or fails, is begun anew as after a crash: the router
// serves meanwhile, and asks the others.
func (d *Duties) vote(ctx context.Context) {
	running, stop := context.WithCancel(ctx)
	defer stop()
	told := ""
	for ctx.Err() == nil {
		pause := voterAgain
		err := d.openVoter()
		switch {
		case errors.Is(err, durable.ErrLocked):
			pause = takeOverEvery
		case err == nil:
			if !d.lines.listening() {
				err = d.lines.listen(running, d.c.Listen)
			}
			if err == nil {
				told = ""
				err = d.term(ctx)
			}
			d.store.close()
		}
		if err != nil && !errors.Is(err, durable.ErrLocked) && told != err.Error() {
			told = err.Error()
			d.log.Warn("voter stopped", "cause", err, "again", voterAgain)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// voterAgain is how long after it has failed a voter is begun anew.
const voterAgain = time.Second

// term is a voter's time from its store's opening until ctx ends, or the store fails.
func (d *Duties) term(ctx context.Context) error {
	d.votes.Store(true)
	defer d.votes.Store(false)
	defer d.standing.Store(nil)
	if v := d.view.Load(); v != nil {
		d.Viewed(v)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	last := map[string]string{}
	var shown time.Time
	defined := d.duties.Load()
	for {
		if now := d.duties.Load(); now != defined { // seen by the voter's next beat at the latest
			defined = now
			if err := d.carryOut(d.voter.Step(d.now(), quorum.Define{Duties: *now}), nil, last); err != nil {
				return err
			}
		}
		var e quorum.Event = quorum.Passed{}
		var ask *asking
		byTimer := false
		select {
		case <-ctx.Done():
			return nil
		case x := <-d.in:
			switch x := x.(type) {
			case *asking:
				ask, e = x, x.event
			case quorum.Event:
				e = x
			}
		case <-timer.C:
			byTimer = true
		}
		now := d.now()
		if err := d.carryOut(d.voter.Step(now, e), ask, last); err != nil {
			return err
		}
		if stalled := d.pace.Stepped(now, d.voter.Next(), byTimer); stalled > 0 {
			d.log.Warn("loop stalls", "loop", "voter", "steps", stalled)
		}
		if now := time.Now(); ask != nil || now.Sub(shown) >= showEvery {
			shown = now
			d.show(last)
		}
		if ask != nil {
			close(ask.done)
		}
		timer.Reset(max(d.voter.Next()-d.now(), 0))
	}
}

// showEvery is how old what the management API shows may be.
const showEvery = 200 * time.Millisecond

// asking is a question of the operators to the voter.
type asking struct {
	event quorum.Event
	said  string
	done  chan struct{}
}

// carryOut does what the voter wants, in order. Nothing after a Keep is done before it is on the disk.
func (d *Duties) carryOut(all []quorum.Action, ask *asking, last map[string]string) error {
	for _, a := range all {
		switch a := a.(type) {
		case quorum.Keep:
			if err := d.store.keep(&a); err != nil {
				return err
			}
		case quorum.Send:
			d.lines.send(a.To, a.Data)
		case quorum.Answer:
			d.answer(&a)
		case quorum.Applied:
			for _, c := range a.Changes {
				word := "lost by "
				if c.Granted {
					word = "to "
				}
				last[c.Grant.Duty] = fmt.Sprintf("%s%s, %s, at %s", word, c.Grant.Holder.Name, c.Why, time.Now().UTC().Format(time.TimeOnly))
			}
		case quorum.Told:
			d.tell(&a)
		case quorum.Rebuilt:
			if ask != nil {
				ask.said = a.Refused
			}
		}
	}
	return nil
}

// tell writes the lines of a voter.
func (d *Duties) tell(t *quorum.Told) {
	switch t.What {
	case quorum.Stopped:
		d.log.Warn("duties stopped", "cause", t.Cause)
	case quorum.GoesOn:
		d.log.Info("duties go on", "cause", t.Cause)
	case quorum.Rejoins:
		d.log.Warn("voter starts anew", "cause", t.Cause)
	case quorum.Founded:
		d.log.Info("duties founded", "cause", t.Cause)
	}
}

// answer sends a reply to where the request came from, or to a router by its name.
func (d *Duties) answer(a *quorum.Answer) {
	switch {
	case !a.Push && a.To == ownAgent, a.Push && a.To == d.c.Self.Name:
		d.heard(d.c.Self.Name, a.Reply)
	case a.Push:
		if at, ok := d.address(a.To); ok {
			d.send(at, a.Reply.Append())
		}
	default:
		if at, err := netip.ParseAddrPort(a.To); err == nil {
			d.send(at, a.Reply.Append())
		}
	}
}

// show publishes how things stand.
func (d *Duties) show(last map[string]string) {
	s := &Standing{Standing: d.voter.Standing(), Took: time.Now()}
	d.voter.Table().Each(func(x *lease.Duty, grants []lease.Grant, line []lease.Router, _ []lease.Kept) {
		if x.ByZone {
			return
		}
		s.Rows = append(s.Rows, Row{x.Name, x.Holders, slices.Clone(grants), len(line), last[x.Name]})
	})
	d.standing.Store(s)
}
