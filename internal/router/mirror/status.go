package mirror

import (
	"time"

	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
)

// Report is the status of all pools, which the command `shadow status` prints.
type Report struct {
	Pools   []Status      `json:"pools"`
	Records RecordsStatus `json:"records"`
}

// RecordsStatus is the status of the writer of record files.
type RecordsStatus struct {
	Folder  string `json:"folder"`
	Written uint64 `json:"written"`
	Lost    uint64 `json:"lost"`
	Failing string `json:"failing,omitempty"` // error of the last write, empty if it succeeded
}

// Status is the status of a pool. Its counters start at 0 when the pool is created.
type Status struct {
	Pool            string                  `json:"pool"`
	Share           float64                 `json:"share"`
	Classes         []string                `json:"classes,omitempty"`
	Tenants         []string                `json:"tenants,omitempty"`
	Caps            Caps                    `json:"caps"`
	Hosts           int                     `json:"hosts"`
	Health          string                  `json:"health"` // up, down or no hosts
	RetryIn         string                  `json:"retry_in,omitempty"`
	Level           string                  `json:"level"`
	Sampled         bool                    `json:"sampled"` // the live path was sampled; no copy starts before that
	Offered         uint64                  `json:"offered"`
	Busy            uint64                  `json:"busy"` // requests skipped because the pool's goroutine had too many pending offers
	Started         uint64                  `json:"started"`
	Recorded        uint64                  `json:"recorded"`
	Compared        uint64                  `json:"compared"`
	Waiting         int                     `json:"waiting"`
	InFlight        int                     `json:"out"`
	Pairing         int                     `json:"pairing"`
	BodyBytes       int64                   `json:"body_bytes"`
	Dropped         map[shadow.Cause]uint64 `json:"dropped"`
	Ended           map[shadow.Cause]uint64 `json:"ended"`
	Incomparable    map[shadow.Cause]uint64 `json:"incomparable"`
	PressureSignals map[string]uint64       `json:"pressed"`
	HostFull        uint64                  `json:"host_full"`
	Times           map[string]Times        `json:"times"` // by class
}

// Caps holds the current limits of a pool, see shadow.Caps.
type Caps struct {
	PerSecond float64 `json:"copies_per_second"`
	InFlight  int     `json:"copies_out"`
	PerHost   int     `json:"copies_per_host"`
	Waiting   int     `json:"copies_waiting"`
	BodyBytes int64   `json:"body_bytes"`
	Sockets   int     `json:"sockets"`
}

// Times holds the distributions of the times that comparable answers took.
type Times struct {
	Count     int64  `json:"count"`
	LiveFirst Spread `json:"live_first_ms"`
	CopyFirst Spread `json:"copy_first_ms"`
	LiveTotal Spread `json:"live_whole_ms"`
	CopyTotal Spread `json:"copy_whole_ms"`
}

// Spread holds three quantiles of a distribution, in milliseconds.
type Spread struct {
	P50 int64 `json:"p50"`
	P90 int64 `json:"p90"`
	P99 int64 `json:"p99"`
}

// Status returns a Report for the status socket. It fails if a pool does not return its status
// within a second.
func (m *Mirror) Status() (any, error) {
	m.mu.Lock()
	pools, sink := m.pools, m.sink
	m.mu.Unlock()
	r := Report{Pools: []Status{}}
	for _, p := range pools {
		s, err := p.requestStatus()
		if err != nil {
			return nil, err
		}
		r.Pools = append(r.Pools, s)
	}
	if sink != nil {
		r.Records = RecordsStatus{Folder: sink.settings.Folder, Written: sink.written.Load(), Lost: sink.lost.Load()}
		if failure := sink.failing.Load(); failure != nil {
			r.Records.Failing = *failure
		}
	}
	return r, nil
}

// status returns the pool's status. Only the pool's goroutine may call it.
func (p *pool) status(set settings.Pool) Status {
	c := p.decider.Counts()
	caps := set.Decider.Caps
	s := Status{
		Pool:    p.name,
		Share:   set.Choice.Share,
		Classes: set.Choice.Classes,
		Tenants: set.Choice.Tenants,
		Caps: Caps{
			PerSecond: caps.PerSecond,
			InFlight:  caps.InFlight,
			PerHost:   caps.InFlightPerHost,
			Waiting:   caps.Waiting,
			BodyBytes: caps.Bytes,
			Sockets:   set.Sockets,
		},
		Hosts:           c.Hosts,
		Health:          "up",
		Level:           c.PressureLevel.String(),
		Sampled:         c.Sampled,
		Offered:         c.Offered,
		Busy:            p.busy.Load(),
		Started:         c.Started,
		Recorded:        c.Recorded,
		Compared:        c.Compared,
		Waiting:         c.Waiting,
		InFlight:        c.InFlight,
		Pairing:         c.Pairing,
		BodyBytes:       c.Bytes,
		Dropped:         c.Dropped,
		Ended:           c.Ended,
		Incomparable:    c.Incomparable,
		PressureSignals: c.PressureSignals,
		HostFull:        c.HostFull,
		Times:           p.latencies.report(),
	}
	switch {
	case c.Hosts == 0:
		s.Health = "no hosts"
	case c.Down:
		s.Health = "down"
		s.RetryIn = max(c.Retry-time.Since(p.start), 0).Round(time.Millisecond).String()
	}
	return s
}
