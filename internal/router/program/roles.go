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

// drainRole is the name of the role whose lease a router needs to drain. Each zone has its own.
const drainRole = "drain"

// rolesConfig returns the configuration of roles that the block duties describes. Every router
// derives the same roles and candidates from the same file.
func (c *Config) rolesConfig(self lease.Router) peering.RolesConfig {
	s := c.set.Roles
	d := peering.RolesConfig{Self: self, Timing: s.LeaseTiming, Voters: s.Voters, ReplaceTimeout: s.ReplaceDelay, Listen: s.Listen, Folder: s.Folder, Seed: c.seed, CandidateAddresses: map[string]string{}}
	for _, r := range s.Routers {
		d.Candidates = append(d.Candidates, r.Name)
		d.CandidateAddresses[r.Name] = r.Address.String()
	}
	if s.FleetRecord {
		d.Roles = append(d.Roles, lease.Role{Name: peering.ScribeRole})
	}
	if s.MaxDraining > 0 {
		d.Roles = append(d.Roles, lease.Role{Name: drainRole, MaxHolders: s.MaxDraining, ByZone: true})
	}
	for _, name := range c.set.SingleCopierPools() {
		d.Roles = append(d.Roles, lease.Role{Name: settings.CopierRole(name)})
	}
	return d
}

// checkRoles checks the block duties against the name of this router: exactly the routers that may
// vote must have the settings listen and folder.
func (c *Config) checkRoles(path string) error {
	s := c.set.Roles
	if s == nil {
		return nil
	}
	name := c.member().Name
	if votes := slices.ContainsFunc(s.Routers, func(r settings.VoterRouter) bool { return r.Name == name }); votes != (s.Folder != "") {
		if votes {
			return fmt.Errorf("%s: duties: router %q may vote, so the block needs listen and folder", path, name)
		}
		return fmt.Errorf("%s: duties: router %q may not vote; only routers that may vote have listen and folder", path, name)
	}
	return nil
}

// prepareRoles creates the part of the program that holds roles and connects it to the socket for
// datagrams and to the mirror. It must run before the fleet view exists, whose updates roles receive.
func (p *Program) prepareRoles(member lease.Router, send *peering.Gossip) (err error) {
	if p.cfg.set.Roles == nil {
		return nil
	}
	c := p.cfg.rolesConfig(member)
	if p.roles, err = peering.NewRoles(c, send.Send, p.log); err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	p.roles.OnRecord(p.storeCopy)
	p.mirror.UseLeases(p.roles)
	send.OnRolesDatagram(p.roles.HandleDatagram)
	return nil
}

// startRoles starts the goroutine for roles and requests the roles that this router can take: the
// scribe and the copiers of pools with a single copier.
func (p *Program) startRoles(work context.Context) error {
	if p.roles == nil {
		return nil
	}
	p.roles.SetWorkContext(work)
	p.roles.UpdateView(p.view.Now())
	go p.roles.Run(work)
	if p.cfg.set.Roles.FleetRecord {
		p.roles.Acquire(peering.ScribeRole, p.scribe)
	}
	p.requestCopierRoles(p.cfg)
	return nil
}

// requestCopierRoles requests the copier roles of the pools with a single copier in c, and releases
// the copier roles of pools that are no longer among them.
func (p *Program) requestCopierRoles(c *Config) {
	names := c.set.SingleCopierPools()
	for _, name := range p.copiers {
		if !slices.Contains(names, name) {
			p.roles.Release(settings.CopierRole(name))
		}
	}
	for _, name := range names {
		p.roles.Acquire(settings.CopierRole(name), func(ctx context.Context, _ uint64) error { return p.mirror.RunCopier(ctx, name) })
	}
	p.copiers = names
}

// defineCopierRoles defines the copier roles of the pools in a reloaded configuration, before the
// pools are in force. Other changes of the block duties need a restart.
func (p *Program) defineCopierRoles(c *Config) error {
	if p.roles == nil {
		if names := c.set.SingleCopierPools(); len(names) > 0 {
			return fmt.Errorf("%s: shadow pool %q has one copier and needs the block duties; adding that block needs a restart", p.file, names[0])
		}
		return nil
	}
	all := slices.DeleteFunc(p.cfg.rolesConfig(lease.Router{}).Roles, func(d lease.Role) bool { return strings.HasPrefix(d.Name, settings.CopierRole("")) })
	for _, name := range c.set.SingleCopierPools() {
		all = append(all, lease.Role{Name: settings.CopierRole(name)})
	}
	if err := p.roles.Define(all); err != nil {
		return fmt.Errorf("%s: %w", p.file, err)
	}
	return nil
}

// returnLeasesTimeout is how long the router tries to return its leases at shutdown. The shutdown
// does not wait for this.
const returnLeasesTimeout = 500 * time.Millisecond

// returnLeases starts returning the leases that this router holds. A planned shutdown does not wait
// for the result.
func (p *Program) returnLeases() {
	if p.roles == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), returnLeasesTimeout)
		defer cancel()
		p.roles.ReleaseAll(ctx)
	}()
}

// needsDrainLease reports whether this router needs a lease to drain.
func (p *Program) needsDrainLease() bool { return p.roles != nil && p.cfg.set.Roles.MaxDraining > 0 }

// drainWithLease requests the lease to drain and starts the drain once this router holds the lease.
// It returns at once, with the phase or with the text that the router waits for the lease.
func (p *Program) drainWithLease() (string, error) {
	name := drainRole + "@" + p.zone
	p.mu.Lock()
	defer p.mu.Unlock()
	if transitions[p.phase][drainRequested] == "" {
		return string(p.phase), fmt.Errorf("%s is not possible while the router is %s", drainRequested, p.phase)
	}
	if p.cancelDrainWait != nil { // the router already waits for the lease, or holds it
		if p.phase == Draining || p.phase == Withheld {
			return string(p.phase), nil
		}
		return waitingText(p.phase, name), nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancelDrainWait = cancel
	go func() {
		asked := time.Now()
		if p.roles.AcquireAndWait(ctx, name) != nil {
			return
		}
		if phase, err := p.advance(drainRequested); err != nil {
			p.log.Warn("drain lease released, drain not possible in this phase", "phase", phase)
			p.roles.Release(name)
			return
		}
		p.snapshots.drained.Store(true)
		p.log.Info("drain lease acquired, drain started", "duty", name, "waited", time.Since(asked).Round(time.Millisecond))
	}()
	return waitingText(p.phase, name), nil
}

// waitingText returns the answer to a request to drain while the router waits for the lease.
func waitingText(phase Phase, name string) string {
	return string(phase) + ", waits for leave to drain: " + name
}

// releaseDrainLease releases the lease to drain, or cancels the request for it.
func (p *Program) releaseDrainLease() {
	p.mu.Lock()
	cancel := p.cancelDrainWait
	p.cancelDrainWait = nil
	p.mu.Unlock()
	if cancel != nil {
		cancel()
		p.roles.Release(drainRole + "@" + p.zone)
	}
}

// Roles implements management.Router.
func (p *Program) Roles() (lines []string, on bool) {
	if p.roles == nil {
		return nil, false
	}
	d := p.roles
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

// names joins names by commas as the value of a field; the result is never empty.
func names(all []string) string { return field(strings.Join(all, ",")) }

var errNoDuties = errors.New("this router has no duties; the settings have no block duties")

// TransferRole implements management.Router.
func (p *Program) TransferRole(name, to string, token uint64) error {
	if p.roles == nil {
		return errNoDuties
	}
	ctx, cancel := context.WithTimeout(context.Background(), votersTimeout)
	defer cancel()
	return p.roles.RequestTransfer(ctx, name, to, token)
}

// votersTimeout is how long a management call waits for voters, or for the recovery's status.
const votersTimeout = 800 * time.Millisecond

// RebuildRoles implements management.Router.
func (p *Program) RebuildRoles(lost []string) error {
	if p.roles == nil {
		return errNoDuties
	}
	ctx, cancel := context.WithTimeout(context.Background(), votersTimeout)
	defer cancel()
	return p.roles.Rebuild(ctx, lost)
}

// roleValues returns the metrics of roles, nil if the settings have no block duties.
func (p *Program) roleValues() *management.Roles {
	if p.roles == nil {
		return nil
	}
	f := p.roles.Counters()
	return &management.Roles{Leases: f.Leased, Requested: f.Requested, Begun: f.Begun, Ended: f.Ended, TokensRejected: f.Rejected, Sent: f.Sent, NoLeader: f.Leaderless,
		Commands: f.Commands, Elections: f.Elections, LogEntries: f.LogEntries, Token: f.Token}
}
