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
func (d *Roles) VoterStatus() *VoterStatus { return d.voterStatus.Load() }

// Own is a duty that this router holds or wants.
type LocalRole struct {
	Role          string
	Token         uint64 // 0 while it is only wanted
	Remaining     time.Duration
	Queued        bool   // in line, as the voters have said
	LastEndReason string // why it was lost last
}

// Own are this router's duties, by name.
func (d *Roles) LocalRoles() (all []LocalRole) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.agent.Roles() {
		o := LocalRole{Role: name}
		o.Token, o.Remaining = d.agent.Remaining(d.now(), name)
		o.Queued = d.agent.Queued(name)
		if w := d.works[name]; w != nil {
			o.LastEndReason = w.lastEndReason
		}
		all = append(all, o)
	}
	return all
}

// Voters are the routers that may vote.
func (d *Roles) Candidates() []string { return d.config.Candidates }

// Leader is the router that the agent asks first.
func (d *Roles) Leader() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agent.Leader()
}

// Seen is the largest token that this router has been told of.
func (d *Roles) HighestToken() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agent.HighestToken()
}

// DutyFigures are counters.
type RoleCounters struct {
	Leased, Requested              int
	Begun, Ended, Rejected         uint64
	Sent, Received                 uint64
	Leaderless                     bool
	Commands, Elections            uint64
	Term, Index, LogEntries, Token uint64
}

// Figures returns the counters.
func (d *Roles) Counters() RoleCounters {
	f := RoleCounters{Begun: d.begun.Load(), Ended: d.ended.Load(), Rejected: d.rejected.Load()}
	for _, o := range d.LocalRoles() {
		if f.Requested++; o.Token != 0 {
			f.Leased++
		}
	}
	d.mu.Lock()
	f.Sent, f.Received, f.Token = d.agent.RequestsSent, d.agent.RepliesReceived, d.agent.HighestToken()
	d.mu.Unlock()
	if s := d.voterStatus.Load(); s != nil {
		f.Leaderless, f.Term, f.Index, f.LogEntries, f.Token = s.Leaderless, s.Term, s.Index, s.LogEntries, max(f.Token, s.HighestToken)
		f.Commands, f.Elections = s.Counters.Commands, s.Counters.Elections
	}
	return f
}

// question has the voter take an event for the operators.
func (d *Roles) askVoter(ctx context.Context, e quorum.Event) (string, error) {
	if !d.voterRunning.Load() {
		return "", ErrNoVoter
	}
	a := &voterQuery{event: e, done: make(chan struct{})}
	if !d.post(a) {
		return "", errBusy
	}
	select {
	case <-a.done:
		return a.refusal, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Rebuild founds duties anew.
func (d *Roles) Rebuild(ctx context.Context, gone []string) error {
	why, err := d.askVoter(ctx, quorum.Rebuild{LostRouters: gone})
	if err == nil && why != "" {
		err = errors.New(why)
	}
	return err
}

// wishes numbers the operators' requests.
var transferRequests atomic.Uint32

// Wish has the holder of a duty give it to another router, or to whoever waits: of several the one with that token, 0 for the first. It is asked of all that may vote until their leader has
// agreed on it with the others, or ctx ends.
func (d *Roles) RequestTransfer(ctx context.Context, name, to string, token uint64) error {
	if len(name) > lease.MaxNameBytes || len(to) > lease.MaxNameBytes {
		return fmt.Errorf("a duty's and a router's name have %d bytes at most", lease.MaxNameBytes)
	}
	q := &lease.Request{ID: 1<<31 | transferRequests.Add(1), Command: lease.Command{Kind: lease.RequestTransfer, Role: name, To: to, Token: token, Router: d.config.Self}}
	said := make(chan lease.Result, 1)
	d.mu.Lock()
	d.awaitedResults[q.ID] = said
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.awaitedResults, q.ID)
		d.mu.Unlock()
	}()
	again := time.NewTicker(transferRetryInterval)
	defer again.Stop()
	for {
		for _, router := range d.config.Candidates {
			d.sendRequest(router, q)
		}
		select {
		case a := <-said:
			if !a.OK {
				return a.Refusal
			}
			return nil
		case <-again.C:
		case <-ctx.Done():
			return errors.New("no leader of the voters answers")
		}
	}
}

// wishAgain is how long a wish waits for its answer before it is sent again.
const transferRetryInterval = 200 * time.Millisecond
