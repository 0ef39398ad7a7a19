package peering

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/router/quorum"
)

// Standing is what the own voter knows, nil where there is none.
func (d *Duties) Standing() *Standing { return d.standing.Load() }

// Own is a duty that this router holds or wants.
type Own struct {
	Duty  string
	Token uint64 // 0 while it is only wanted
	Left  time.Duration
	Waits bool   // in line, as the voters have said
	Last  string // why it was lost last
}

// Own are this router's duties, by name.
func (d *Duties) Own() (all []Own) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.agent.Wants() {
		o := Own{Duty: name}
		o.Token, o.Left = d.agent.Held(d.now(), name)
		o.Waits = d.agent.Waits(name)
		if w := d.works[name]; w != nil {
			o.Last = w.why
		}
		all = append(all, o)
	}
	return all
}

// Voters are the routers that may vote.
func (d *Duties) Voters() []string { return d.c.Order }

// Leader is the router that the agent asks first.
func (d *Duties) Leader() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agent.Leader()
}

// Seen is the largest token that this router has been told of.
func (d *Duties) Seen() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agent.Seen()
}

// DutyFigures are counters.
type DutyFigures struct {
	Held, Wanted            int
	Begun, Ended, Refused   uint64
	Sent, Taken             uint64
	Stopped                 bool
	Commands, Elections     uint64
	Term, Index, Log, Token uint64
}

// Figures returns the counters.
func (d *Duties) Figures() DutyFigures {
	f := DutyFigures{Begun: d.begins.Load(), Ended: d.ends.Load(), Refused: d.refused.Load()}
	for _, o := range d.Own() {
		if f.Wanted++; o.Token != 0 {
			f.Held++
		}
	}
	d.mu.Lock()
	f.Sent, f.Taken, f.Token = d.agent.Sent, d.agent.Taken, d.agent.Seen()
	d.mu.Unlock()
	if s := d.standing.Load(); s != nil {
		f.Stopped, f.Term, f.Index, f.Log, f.Token = s.Stopped, s.Term, s.Index, s.Log, max(f.Token, s.Token)
		f.Commands, f.Elections = s.Figures.Commands, s.Figures.Elections
	}
	return f
}

// question has the voter take an event for the operators.
func (d *Duties) question(ctx context.Context, e quorum.Event) (string, error) {
	if !d.votes.Load() {
		return "", ErrNoVoter
	}
	a := &asking{event: e, done: make(chan struct{})}
	if !d.leave(a) {
		return "", errBusy
	}
	select {
	case <-a.done:
		return a.said, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Rebuild founds duties anew.
func (d *Duties) Rebuild(ctx context.Context, gone []string) error {
	why, err := d.question(ctx, quorum.Rebuild{Gone: gone})
	if err == nil && why != "" {
		err = errors.New(why)
	}
	return err
}

// wishes numbers the operators' requests.
var wishes atomic.Uint32

// Wish has the holder of a duty give it to another router, or to whoever waits: of several the one with that token, 0 for the first. It is asked of all that may vote until their leader has
// agreed on it with the others, or ctx ends.
func (d *Duties) Wish(ctx context.Context, name, to string, token uint64) error {
	if len(name) > lease.MostName || len(to) > lease.MostName {
		return fmt.Errorf("a duty's and a router's name have %d bytes at most", lease.MostName)
	}
	q := &lease.Request{ID: 1<<31 | wishes.Add(1), Command: lease.Command{Kind: lease.Wish, Duty: name, To: to, Token: token, Who: d.c.Self}}
	said := make(chan lease.Answer, 1)
	d.mu.Lock()
	d.wishing[q.ID] = said
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.wishing, q.ID)
		d.mu.Unlock()
	}()
	again := time.NewTicker(wishAgain)
	defer again.Stop()
	for {
		for _, router := range d.c.Order {
			d.ask(router, q)
		}
		select {
		case a := <-said:
			if !a.OK {
				return errors.New(a.Why)
			}
			return nil
		case <-again.C:
		case <-ctx.Done():
			return errors.New("no leader of the voters answers")
		}
	}
}

// wishAgain is how long a wish waits for its answer before it is sent again.
const wishAgain = 200 * time.Millisecond
