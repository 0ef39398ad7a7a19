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
	defaultStep = 8 // connections beyond the places that are read and refused, without settings
	// admissionInterval is between two updates of admission on the time and on descriptors lent to
	// it.
	admissionInterval = 25 * time.Millisecond
	// reloadCheckInterval is between two checks whether a reload has brought a use for that.
	reloadCheckInterval = time.Second
	// shortageLogInterval is the least time between two lines of a lack of descriptors: one for
	// each episode, whoever makes it.
	shortageLogInterval = time.Minute
	maxHoldings         = 10
	// listenerDescriptors are the listener's two descriptors and the one held back.
	listenerDescriptors = 3
	// AdmissionTopic is the path of admission's state on the status socket.
	AdmissionTopic = "/door"
)

// frontLimits is what clients may take up.
func (p *Program) frontLimits(r processLimits) transport.FrontLimits {
	l := transport.FrontLimits{BodyBytes: r.bodies, Seed: p.cfg.seed, Admission: p.cfg.admission(r.clients), OnDescriptorShortage: p.onShortage(),
		OnClose: p.logUnanswered}
	if p.cfg.set != nil && p.cfg.set.Admission != nil {
		l.Identity = p.cfg.set.Admission.IdentityHeader
	}
	return l
}

// admission returns admission's settings: those of the operators, or as many places as fit and
// nothing more.
func (c *Config) admission(clients int) admission.Config {
	if c.set == nil || c.set.Admission == nil {
		return admission.Config{MaxConnections: clients, MaxOverflow: defaultStep, MinRetryAfter: min(c.balance.MaxRetryAfter, time.Second)}
	}
	d := c.set.Admission.Config
	d.MaxConnections = clients
	d.ReservedForKnown = int(c.set.Admission.ReservedFraction * float64(clients))
	return d
}

// admission returns admission's settings by what is in force.
func (p *Program) admission(clients int) admission.Config { return p.inForce.Load().admission(clients) }

// logUnanswered logs a client's connection that was closed with a request and without an answer.
func (p *Program) logUnanswered(closed transport.ConnectionClosed) {
	if closed.Unanswered {
		go p.log.Warn("connection closed unanswered", "client", closed.Client, "reason", closed.Reason, "unread", closed.Unread,
			"after", closed.IdleTime.Round(time.Millisecond))
	}
}

// onShortage returns what the listener calls when the process has no descriptor left.
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

// runAdmission lets admission know of the time and of what copies lend it, until ctx ends. Without
// a block "door" and without pools there is nothing of either; then it looks once a second whether
// a reload has brought any.
func (p *Program) runAdmission(ctx context.Context) {
	timer := time.NewTimer(admissionInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if set := p.inForce.Load().set; (set == nil || set.Admission == nil) && p.cfg.copies() == 0 {
			timer.Reset(reloadCheckInterval)
			continue
		}
		p.front.Lend(admission.LendableConnections(p.cfg.copies(), p.mirror.Sockets()))
		timer.Reset(admissionInterval)
	}
}

// copies returns how many descriptors are set aside for copies.
func (c *Config) copies() (n int) {
	if c.set == nil {
		return 0
	}
	for _, pool := range c.set.Shadow.Pools {
		n += pool.Sockets
	}
	return n
}

// descriptorShares is the descriptor table as the configuration divides it, before anybody holds a
// descriptor.
func (c *Config) descriptorShares(r processLimits) admission.DescriptorTable {
	clients, reserve, step := r.clients, c.admission(r.clients).ReservedForKnown, c.admission(r.clients).MaxOverflow
	return admission.DescriptorTable{Limit: c.Limits.Sockets, Owners: []admission.OwnerUse{
		{Owner: admission.Listeners, Limit: listenerDescriptors},
		{Owner: admission.KnownClients, Limit: reserve},
		{Owner: admission.UnknownClients, Limit: clients - reserve},
		{Owner: admission.OverflowClients, Limit: step},
		{Owner: admission.Servers, Limit: r.servers},
		{Owner: admission.Discovery, Limit: 1},
		{Owner: admission.Mirror, Limit: c.copies()},
		{Owner: admission.StatusClients, Limit: c.descriptorsForSettings() - c.copies()}, // with the files of the records
		{Owner: admission.Operators, Limit: transport.ManagementSockets},
		{Owner: admission.Runtime, Limit: reservedDescriptors - listenerDescriptors - transport.ManagementSockets - 1 - step},
	}}
}

// descriptorTable is who may hold and who holds the descriptors of the process.
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
		l.Open = len(open) - 1 // without the one that reads it
	}
	return l
}

// AdmissionStatus is the state of admission, as `admission` prints it.
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
	Refused     map[string]uint64         `json:"refused"` // requests that were answered
	Turned      map[string]uint64         `json:"turned"`  // connections closed before a byte was read
	Shut        map[string]uint64         `json:"shut"`    // silent connections
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

// byCause names what was counted.
func byCause(to map[string]uint64, counts []uint64) {
	for i, n := range counts {
		if n > 0 {
			to[admission.Cause(i).String()] = n
		}
	}
}

// reloadAdmission takes up admission's settings anew. Whether there are any counts from the start.
func (p *Program) reloadAdmission(cfg *Config) error {
	if (p.cfg.set.Admission == nil) != (cfg.set.Admission == nil) {
		return fmt.Errorf("%s: the block \"door\" counts from the next start", p.file)
	}
	if cfg.set.Admission != nil && cfg.set.Admission.IdentityHeader != p.cfg.set.Admission.IdentityHeader {
		return fmt.Errorf("%s: identity_header counts from the next start", p.file)
	}
	return nil
}
