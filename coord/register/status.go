package register

import (
	"context"
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// Status is the state of a replica after a step. Durations are since its start.
type Status struct {
	Identity uint64
	View     *coordpb.View
	Position *coordpb.Position
	// Readable reports whether this process is the tail and has the state of the chain.
	Readable bool
	// Healthy reports whether writes get to the disk in time.
	Healthy bool
	// ConfirmedAt is when a majority last confirmed the epoch, below 0 for never.
	ConfirmedAt time.Duration
	// CurrentTolerance is how many more members may be lost at once, as this process knows it.
	CurrentTolerance int
	// ToleranceShortSince is since when that is less than Config.Tolerance, below 0 while it isn't.
	ToleranceShortSince time.Duration
	// CanShutDown reports, for a draining process, whether the others can do without it.
	CanShutDown bool
}

// Status returns the state of the replica after its last step.
func (r *Replica) Status() Status { return *r.status.Load() }

// publishStatus has Status return the present state.
func (r *Replica) publishStatus() {
	s := &Status{
		Identity:            r.options.Self.Identity,
		View:                r.core.View(),
		Position:            r.core.Position(),
		Readable:            r.core.Readable(),
		Healthy:             r.core.healthy,
		ConfirmedAt:         -1,
		CurrentTolerance:    r.currentTolerance,
		ToleranceShortSince: r.toleranceShortSince,
		CanShutDown:         r.canShutDown,
	}
	if at, ok := r.core.ConfirmedAt(); ok {
		s.ConfirmedAt = at
	}
	r.status.Store(s)
}

// updateTolerance computes how many members may be lost now, and whether this process can shut
// down.
func (r *Replica) updateTolerance() {
	before := r.toleranceShortSince
	r.currentTolerance = r.core.CurrentTolerance()
	short := r.currentTolerance < r.options.Tolerance && r.core.View().GetEpoch() > 0
	switch {
	case short && before < 0:
		r.toleranceShortSince = r.now()
		r.options.Log.Info("tolerance short", "current_tolerance", r.currentTolerance, "tolerance", r.options.Tolerance)
	case !short && before >= 0:
		r.toleranceShortSince = -1
		r.options.Log.Info("tolerance full", "short_for", (r.now() - before).Round(time.Millisecond).String())
	}
	r.canShutDown = r.core.draining && r.core.CanShutDown()
}

// Inspection is the state of a replica and of the peers that it hears, for status pages.
type Inspection struct {
	Status
	Address           string
	Confirmed         bool          // it may act on its shards
	ConfirmedAge      time.Duration // the age of the last confirmation, if Confirmed
	Shards            int           // that it owns
	Tolerance         int           // Config.Tolerance
	ToleranceShort    bool          // fewer members may be lost at present
	ToleranceShortFor time.Duration // if ToleranceShort
	Peers             []view.Peer
}

// Inspect returns the state of the replica and its peers; ok is false if ctx ended first.
func (r *Replica) Inspect(ctx context.Context) (in Inspection, ok bool) {
	done := make(chan Inspection, 1)
	select {
	case r.calls <- func() { done <- r.inspect() }:
	case <-ctx.Done():
		return in, false
	}
	select {
	case in = <-done:
		return in, true
	case <-ctx.Done():
		return in, false
	}
}

// inspect is Inspect in the goroutine of Run.
func (r *Replica) inspect() Inspection {
	s := r.Status()
	in := Inspection{Status: s, Address: r.options.Self.Address, Peers: r.core.view.Peers(r.now())}
	if s.ConfirmedAt >= 0 {
		in.ConfirmedAge = r.now() - s.ConfirmedAt
		in.Confirmed = in.ConfirmedAge < view.LeaseDuration
	}
	in.Tolerance = r.options.Tolerance
	if in.ToleranceShort = s.ToleranceShortSince >= 0; in.ToleranceShort {
		in.ToleranceShortFor = r.now() - s.ToleranceShortSince
	}
	for _, duty := range s.View.GetDuties() {
		if duty.Owner == s.Identity {
			in.Shards++
		}
	}
	return in
}
