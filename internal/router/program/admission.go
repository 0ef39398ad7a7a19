package program

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/transport"
)

const (
	// defaultStep is the default for the number of connections beyond the connection limit whose
	// request is read and refused.
	defaultStep = 8
	// admissionInterval is the time between two calls that advance admission's clock and update how
	// many connections it may borrow from the mirror.
	admissionInterval = 25 * time.Millisecond
	// reloadCheckInterval is the time between two checks whether a reload has made these calls
	// necessary.
	reloadCheckInterval = time.Second
	// shortageLogInterval is the minimum time between two log lines about exhausted descriptors, so
	// that each shortage is logged about once, whatever causes it.
	shortageLogInterval = time.Minute
	// maxHoldings is how many of the clients with the most connections the status lists.
	maxHoldings = 10
	// listenerDescriptors is the listener's two descriptors and the one that it holds in reserve to
	// refuse clients when the process has no other descriptor left.
	listenerDescriptors = 3
	// AdmissionTopic is the path of the admission state on the status socket.
	AdmissionTopic = "/door"
)

// frontLimits returns the limits on the resources that clients may use.
func (p *Program) frontLimits(r processLimits) transport.FrontLimits {
	l := transport.FrontLimits{BodyBytes: r.bodies, Seed: p.cfg.seed, Admission: p.cfg.admission(r.clients), OnDescriptorShortage: p.onShortage(),
		OnClose: p.logUnanswered, Panics: p.panics}
	if p.cfg.set != nil && p.cfg.set.Admission != nil {
		l.Identity = p.cfg.set.Admission.IdentityHeader
	}
	return l
}

// admission returns the admission configuration for a number of client connections. Without a block
// "door" in the operators' settings it only limits the number of connections.
func (c *Config) admission(clients int) admission.Config {
	if c.set == nil || c.set.Admission == nil {
		return admission.Config{MaxConnections: clients, MaxOverflow: defaultStep, MinRetryAfter: min(c.balance.MaxRetryAfter, time.Second)}
	}
	d := c.set.Admission.Config
	d.MaxConnections = clients
	d.ReservedForKnown = int(c.set.Admission.ReservedFraction * float64(clients))
	return d
}

// admission returns the admission configuration according to the configuration in force.
func (p *Program) admission(clients int) admission.Config { return p.inForce.Load().admission(clients) }

// logUnanswered logs that a client connection was closed although its request had no answer yet.
func (p *Program) logUnanswered(closed transport.ConnectionClosed) {
	if closed.Unanswered {
		go p.log.Warn("connection closed unanswered", "client", closed.Client, "reason", closed.Reason, "unread", closed.Unread,
			"after", closed.IdleTime.Round(time.Millisecond))
	}
}

// onShortage returns the callback that the listener calls when the process has no descriptor left.
func (p *Program) onShortage() func() {
	var mu sync.Mutex
	var last time.Time
	return func() {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(last) < shortageLogInterval {
			return
		}
		last = time.Now()
		fields := []any{}
		table := p.descriptorTable()
		for _, line := range table.Owners {
			fields = append(fields, line.Owner, line.Used)
		}
		p.log.Warn("descriptors exhausted", fields...)
	}
}

// runAdmission advances admission's clock and updates how many connections the mirror lends to
// admission, until ctx ends. Neither is needed without a block "door" and without shadow pools. In
// that case runAdmission checks once a second whether a reload has added one of them.
func (p *Program) runAdmission(ctx context.Context) {
	timer := time.NewTimer(admissionInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if set := p.inForce.Load().set; (set == nil || set.Admission == nil) && p.cfg.copyDescriptors() == 0 {
			timer.Reset(reloadCheckInterval)
			continue
		}
		p.front.Lend(admission.LendableConnections(p.cfg.copyDescriptors(), p.mirror.Sockets()))
		timer.Reset(admissionInterval)
	}
}

// copyDescriptors returns how many descriptors are reserved for copying requests to shadow pools.
func (c *Config) copyDescriptors() (n int) {
	if c.set == nil {
		return 0
	}
	for _, pool := range c.set.Shadow.Pools {
		n += pool.Sockets
	}
	return n
}

// descriptorShares returns the descriptor table with the share that the configuration gives each
// owner. It does not fill in how many descriptors the owners use.
func (c *Config) descriptorShares(r processLimits) admission.DescriptorTable {
	clients, reserve, step := r.clients, c.admission(r.clients).ReservedForKnown, c.admission(r.clients).MaxOverflow
	return admission.DescriptorTable{Limit: c.Limits.Sockets, Owners: []admission.OwnerUse{
		{Owner: admission.Listeners, Limit: listenerDescriptors},
		{Owner: admission.KnownClients, Limit: reserve},
		{Owner: admission.UnknownClients, Limit: clients - reserve},
		{Owner: admission.OverflowClients, Limit: step},
		{Owner: admission.Servers, Limit: r.servers},
		{Owner: admission.Discovery, Limit: 1},
		{Owner: admission.Mirror, Limit: c.copyDescriptors()},
		{Owner: admission.StatusClients, Limit: c.descriptorsForSettings() - c.copyDescriptors()}, // includes the record files
		{Owner: admission.Operators, Limit: transport.ManagementSockets},
		{Owner: admission.Runtime, Limit: reservedDescriptors - listenerDescriptors - transport.ManagementSockets - 1 - step},
	}}
}

// descriptorTable returns how many descriptors each owner may use and uses in this process.
func (p *Program) descriptorTable() admission.DescriptorTable {
	counts, _ := p.front.AdmissionStatus(0)
	used := map[admission.Owner]int{admission.Listeners: 3, admission.Discovery: 1, admission.KnownClients: counts.Known, admission.UnknownClients: counts.Unknown,
		admission.OverflowClients: counts.Overflow, admission.Servers: p.servers.Open(),
		admission.Runtime: max(p.front.Alive()-counts.Known-counts.Unknown-counts.Overflow, 0)}
	if p.mirror != nil {
		used[admission.Mirror] = p.mirror.Sockets()
	}
	if p.status != nil {
		used[admission.StatusClients] = 1
	}
	l := p.cfg.descriptorShares(*p.processLimits.Load())
	for i := range l.Owners {
		l.Owners[i].Used = used[l.Owners[i].Owner]
	}
	if open, err := os.ReadDir("/proc/self/fd"); err == nil {
		l.Open = len(open) - 1 // without the descriptor that ReadDir itself uses
	}
	return l
}

// AdmissionStatus is the state of admission that the command `admission` prints.
type AdmissionStatus struct {
	Level       string                    `json:"level"`
	Slots       int                       `json:"places"`
	Reserve     int                       `json:"reserve"`
	Lent        int                       `json:"lent"`
	Known       int                       `json:"known"`
	Unknown     int                       `json:"unknown"`
	Lobby       int                       `json:"lobby"`
	Step        int                       `json:"step"`
	Open        int                       `json:"open_requests"`
	Admitted    uint64                    `json:"admitted"`
	Promoted    uint64                    `json:"promoted"`
	Served      uint64                    `json:"served"`
	Refused     map[string]uint64         `json:"refused"` // requests answered with a refusal, by cause
	Turned      map[string]uint64         `json:"turned"`  // connections closed before a byte was read, by cause
	Shut        map[string]uint64         `json:"shut"`    // silent connections that were closed, by cause
	Shorts      uint64                    `json:"shorts"`
	Holdings    []admission.ClientUsage   `json:"holdings"`
	Descriptors admission.DescriptorTable `json:"ledger"`
}

func (p *Program) admissionStatus() (any, error) {
	c, top := p.front.AdmissionStatus(maxHoldings)
	s := AdmissionStatus{Level: c.Level.String(), Slots: c.MaxConnections, Reserve: c.ReservedForKnown, Lent: c.Lent, Known: c.Known, Unknown: c.Unknown,
		Lobby: c.AwaitingRequest, Step: c.Overflow, Open: c.Open, Admitted: c.Admitted, Promoted: c.Promoted, Served: c.Served,
		Refused: map[string]uint64{}, Turned: map[string]uint64{}, Shut: map[string]uint64{}, Shorts: c.DescriptorShortages, Holdings: top, Descriptors: p.descriptorTable()}
	byCause(s.Refused, c.Rejected[:])
	byCause(s.Turned, c.Dropped[:])
	byCause(s.Shut, c.Closed[:])
	return s, nil
}

// byCause stores each count that is not 0 under the name of its cause.
func byCause(to map[string]uint64, counts []uint64) {
	for i, n := range counts {
		if n > 0 {
			to[admission.Cause(i).String()] = n
		}
	}
}

// reloadAdmission checks the admission settings of a reload. It returns an error for a change that
// only a restart can apply: adding or removing the block "door", and another identity_header.
func (p *Program) reloadAdmission(cfg *Config) error {
	if (p.cfg.set.Admission == nil) != (cfg.set.Admission == nil) {
		return fmt.Errorf("%s: adding or removing the block \"door\" needs a restart", p.file)
	}
	if cfg.set.Admission != nil && cfg.set.Admission.IdentityHeader != p.cfg.set.Admission.IdentityHeader {
		return fmt.Errorf("%s: changing identity_header needs a restart", p.file)
	}
	return nil
}
