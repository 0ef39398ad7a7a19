package program

import (
	"fmt"

	"reachspread/internal/router/management"
	"reachspread/internal/transport"
)

// startManagement opens the management address, if the configuration has one.
func (p *Program) startManagement() (err error) {
	if p.cfg.Management == "" {
		return nil
	}
	answer := func(line string) string { return management.Answer(line, p) }
	if p.management, err = transport.NewManagement(p.cfg.Management, answer, p.panics); err != nil {
		return fmt.Errorf("management: %w", err)
	}
	go p.management.Serve()
	return nil
}

// stopManagement closes the management address.
func (p *Program) stopManagement() {
	if p.management != nil {
		p.management.Close()
	}
}

// Accepting implements management.Router.
func (p *Program) Accepting() (bool, string) {
	phase := p.Phase()
	return policies[phase].ready, string(phase)
}

// Drain implements management.Router.
func (p *Program) Drain(on bool) (string, error) {
	what := drainLifted
	switch {
	case on && p.needsDrainLease():
		return p.drainWithLease()
	case on:
		what = drainRequested
	case p.needsDrainLease():
		defer p.releaseDrainLease()
	}
	phase, err := p.advance(what)
	if err == nil {
		p.snapshots.drained.Store(on)
	}
	return string(phase), err
}

// Values implements management.Router.
func (p *Program) Values() management.Values {
	f := p.router.Metrics()
	v := management.Values{AttemptsWritten: f.AttemptsSent, OpenRequests: f.Open, ListedHosts: f.ServersListed, ExcludedHosts: f.OutOfRotation,
		ConfigsAccepted: p.acceptedReloads.Load(), ConfigsInvalid: p.refusedReloads.Load(), PanicsRecovered: p.panics.Count(), MalformedAnswers: p.servers.MalformedAnswers(), Fleet: p.fleetValues(), Roles: p.roleValues(), Recovery: p.recoveryValues()}
	for name, c := range f.Classes {
		v.Classes = append(v.Classes, management.Class{Name: name, Accepted: c.Accepted, Fulfilled: c.Served, Throttled: c.Rejected,
			Faulted: c.Failed, Abandoned: c.Abandoned, Moved: c.HandedOver})
	}
	for _, c := range p.front.ClosedConnections() {
		v.ClosedConnections = append(v.ClosedConnections, management.ClosedConnections{Reason: c.Reason.String(), Closed: c.Closed,
			Unread: c.Unread, Unanswered: c.Unanswered})
	}
	return v
}
