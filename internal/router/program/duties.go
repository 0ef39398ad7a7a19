package program

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/router/management"
	"reachspread/internal/router/peering"
	"reachspread/internal/router/settings"
)

// dutyDrain is the leave to drain, by zone.
const dutyDrain = "drain"

// dutyConfig is what the block duties comes to. Every router makes the same of the same file.
func (c *Config) dutyConfig(self lease.Router) peering.RolesConfig {
	s := c.set.Duties
	d := peering.RolesConfig{Self: self, Timing: s.Times, Voters: s.Voters, ReplaceTimeout: s.Replace, Listen: s.Listen, Folder: s.Folder, Seed: c.seed, CandidateAddresses: map[string]string{}}
	for _, r := range s.Routers {
		d.Candidates = append(d.Candidates, r.Name)
		d.CandidateAddresses[r.Name] = r.Address.String()
	}
	if s.Scribe {
		d.Roles = append(d.Roles, lease.Role{Name: peering.ScribeRole})
	}
	if s.Drains > 0 {
		d.Roles = append(d.Roles, lease.Role{Name: dutyDrain, MaxHolders: s.Drains, ByZone: true})
	}
	for _, name := range c.set.Copiers() {
		d.Roles = append(d.Roles, lease.Role{Name: settings.CopierDuty(name)})
	}
	return d
}

// checkDuties looks at what the settings alone can't tell.
func (c *Config) checkDuties(path string) error {
	s := c.set.Duties
	if s == nil {
		return nil
	}
	name := c.member().Name
	if votes := slices.ContainsFunc(s.Routers, func(r settings.DutyRouter) bool { return r.Name == name }); votes != (s.Folder != "") {
		if votes {
			return fmt.Errorf("%s: duties: router %q may vote, and needs listen and folder", path, name)
		}
		return fmt.Errorf("%s: duties: %q is none of the routers that may vote; listen and folder are theirs", path, name)
	}
	return nil
}

// prepareDuties opens what duties need, before the fleet view is there that they follow.
func (p *Program) prepareDuties(member lease.Router, send *peering.Gossip) (err error) {
	if p.cfg.set.Duties == nil {
		return nil
	}
	c := p.cfg.dutyConfig(member)
	if p.duties, err = peering.NewRoles(c, send.Send, p.log); err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	p.duties.OnRecord(p.takeCopy)
	p.mirror.Use(p.duties)
	send.OnRolesDatagram(p.duties.HandleDatagram)
	return nil
}

// startDuties takes up the duties that this router wants.
func (p *Program) startDuties(work context.Context) error {
	if p.duties == nil {
		return nil
	}
	p.duties.SetWorkContext(work)
	p.duties.UpdateView(p.view.Now())
	go p.duties.Run(work)
	if p.cfg.set.Duties.Scribe {
		p.duties.Acquire(peering.ScribeRole, p.scribe)
	}
	p.wantCopiers(p.cfg)
	return nil
}

// wantCopiers has this router want the copying to the pools of one copier that settings have, and to no others.
func (p *Program) wantCopiers(c *Config) {
	names := c.set.Copiers()
	for _, name := range p.copiers {
		if !slices.Contains(names, name) {
			p.duties.Release(settings.CopierDuty(name))
		}
	}
	for _, name := range names {
		p.duties.Acquire(settings.CopierDuty(name), func(ctx context.Context, _ uint64) error { return p.mirror.Copies(ctx, name) })
	}
	p.copiers = names
}

// reloadCopiers has there be the duties of the pools that a reload brings, before they are in force. What else the block duties has counts
// from the start.
func (p *Program) reloadCopiers(c *Config) error {
	if p.duties == nil {
		if names := c.set.Copiers(); len(names) > 0 {
			return fmt.Errorf("%s: shadow pool %q has one copier; the block duties that it needs counts from the next start", p.file, names[0])
		}
		return nil
	}
	all := slices.DeleteFunc(p.cfg.dutyConfig(lease.Router{}).Roles, func(d lease.Role) bool { return strings.HasPrefix(d.Name, settings.CopierDuty("")) })
	for _, name := range c.set.Copiers() {
		all = append(all, lease.Role{Name: settings.CopierDuty(name)})
	}
	if err := p.duties.Define(all); err != nil {
		return fmt.Errorf("%s: %w", p.file, err)
	}
	return nil
}

// giveBackWithin bounds for how long the others are told that duties are free. Nothing waits for it.
const giveBackWithin = 500 * time.Millisecond

// leaveDuties gives back what this router holds. A planned end is not held up by it.
func (p *Program) leaveDuties() {
	if p.duties == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), giveBackWithin)
		defer cancel()
		p.duties.ReleaseAll(ctx)
	}()
}

// asksLeave tells whether a router needs leave to drain.
func (p *Program) asksLeave() bool { return p.duties != nil && p.cfg.set.Duties.Drains > 0 }

// leaveToDrain drains once this router has leave, and answers at once: with the phase, or that it waits.
func (p *Program) leaveToDrain() (string, error) {
	name := dutyDrain + "@" + p.zone
	p.mu.Lock()
	defer p.mu.Unlock()
	if transitions[p.phase][drainOn] == "" {
		return string(p.phase), fmt.Errorf("%s is not possible while the router is %s", drainOn, p.phase)
	}
	if p.noLeave != nil { // it waits already, or has it
		if p.phase == Draining || p.phase == Withheld {
			return string(p.phase), nil
		}
		return waits(p.phase, name), nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.noLeave = cancel
	go func() {
		asked := time.Now()
		if p.duties.AcquireAndWait(ctx, name) != nil {
			return
		}
		if phase, err := p.happen(drainOn); err != nil {
			p.log.Warn("leave came too late", "phase", phase)
			p.duties.Release(name)
			return
		}
		p.kept.drained.Store(true)
		p.log.Info("drains with leave", "duty", name, "waited", time.Since(asked).Round(time.Millisecond))
	}()
	return waits(p.phase, name), nil
}

func waits(phase Phase, name string) string {
	return string(phase) + ", waits for leave to drain: " + name
}

// endLeave gives the leave to drain back, or waits for it no more.
func (p *Program) endLeave() {
	p.mu.Lock()
	cancel := p.noLeave
	p.noLeave = nil
	p.mu.Unlock()
	if cancel != nil {
		cancel()
		p.duties.Release(dutyDrain + "@" + p.zone)
	}
}

// Duties implements management.Router.
func (p *Program) Duties() (lines []string, on bool) {
	if p.duties == nil {
		return nil, false
	}
	d := p.duties
	s := d.VoterStatus()
	if s == nil {
		lines = append(lines, fmt.Sprintf("duties leader=%s stage=asks voters=%s token=%d", field(d.Leader()), names(d.Candidates()), d.HighestToken()))
	} else {
		lines = append(lines, fmt.Sprintf("duties leader=%s stage=%s stopped=%v group=%d term=%d index=%d token=%d voters=%s learners=%s", field(s.Leader), s.Stage, s.Leaderless,
			s.Group, s.Term, s.Index, max(s.HighestToken, d.HighestToken()), names(s.Voters), names(s.Learners)))
		for _, r := range s.Roles {
			last := field(strings.ReplaceAll(r.LastChange, " ", "_"))
			if len(r.Grants) == 0 {
				lines = append(lines, fmt.Sprintf("duty name=%s holders=%d holder=- waiting=%d last=%s", r.Role, r.MaxHolders, r.Queued, last))
			}
			for _, g := range r.Grants {
				left := "-"
				if t, ok := s.RemainingLeases[g.Token]; ok {
					left = fmt.Sprint(max(t-time.Since(s.TakenAt), 0).Milliseconds())
				}
				lines = append(lines, fmt.Sprintf("duty name=%s holders=%d holder=%s token=%d left_ms=%s renewals=%d why=%s wish=%s waiting=%d last=%s", r.Role, r.MaxHolders,
					g.Holder.Name, g.Token, left, g.Renewals, field(strings.ReplaceAll(string(g.Reason), " ", "_")), field(g.TransferTo), r.Queued, last))
			}
		}
	}
	for _, o := range d.LocalRoles() {
		lines = append(lines, fmt.Sprintf("own name=%s token=%d left_ms=%d waits=%v lost=%s", o.Role, o.Token, o.Remaining.Milliseconds(), o.Queued, field(strings.ReplaceAll(o.LastEndReason, " ", "_"))))
	}
	return lines, true
}

func names(all []string) string { return field(strings.Join(all, ",")) }

var errNoDuties = errors.New("this router has no duties; the settings have no block duties")

// GiveDuty implements management.Router.
func (p *Program) GiveDuty(name, to string, token uint64) error {
	if p.duties == nil {
		return errNoDuties
	}
	ctx, cancel := context.WithTimeout(context.Background(), rebuildWithin)
	defer cancel()
	return p.duties.RequestTransfer(ctx, name, to, token)
}

// rebuildWithin is how long admission waits for voters.
const rebuildWithin = 800 * time.Millisecond

// RebuildDuties implements management.Router.
func (p *Program) RebuildDuties(gone []string) error {
	if p.duties == nil {
		return errNoDuties
	}
	ctx, cancel := context.WithTimeout(context.Background(), rebuildWithin)
	defer cancel()
	return p.duties.Rebuild(ctx, gone)
}

// dutyValues are the figures of duties, nil where there are none.
func (p *Program) dutyValues() *management.Duties {
	if p.duties == nil {
		return nil
	}
	f := p.duties.Counters()
	return &management.Duties{Held: f.Leased, Wanted: f.Requested, Begun: f.Begun, Ended: f.Ended, Refused: f.Rejected, Sent: f.Sent, Stopped: f.Leaderless,
		Commands: f.Commands, Elections: f.Elections, Log: f.LogEntries, Token: f.Token}
}
