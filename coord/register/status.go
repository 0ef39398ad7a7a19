package register

import (
	"context"
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// Status is the state of a replica after a step. Times are durations since the replica was created.
type Status struct {
	Identity uint64
	View     *coordpb.View
	Position *coordpb.Position
	// Readable reports whether this process is the tail and has the state of the chain, so that it
	// can answer reads.
	Readable bool
	// Healthy reports whether writes reach the disk in time.
	Healthy bool
	// ConfirmedAt is the latest time at which the epoch was certainly the newest one: when the last
	// round of confirmations began that a majority answered. It is below 0 if there is no such time.
	ConfirmedAt time.Duration
	// CurrentTolerance is how many more members may be lost at once without losing the state or the
	// majority, as far as this process knows.
	CurrentTolerance int
	// ToleranceShortSince is when CurrentTolerance fell below Config.Tolerance. It is below 0 while
	// CurrentTolerance equals Config.Tolerance, and before the first view.
	ToleranceShortSince time.Duration
	// CanShutDown reports, for a draining process, whether the others can do without it.
	CanShutDown bool
}

// Status returns the state of the replica after its last step.
func (r *Replica) Status() Status { return *r.status.Load() }

// publishStatus makes Status return the current state.
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

// updateTolerance updates the current tolerance and whether this process can shut down. It logs when
// the tolerance falls below Config.Tolerance and when it has recovered.
func (r *Replica) updateTolerance() {
	before := r.toleranceShortSince
	r.currentTolerance = r.core.CurrentTolerance()
	short := r.currentTolerance < r.options.Tolerance && r.core.View().GetEpoch() > 0
	switch {
	case short && before < 0:
		r.toleranceShortSince = r.now()
		r.options.Log.Info("register tolerance below configured value", "current_tolerance", r.currentTolerance, "tolerance", r.options.Tolerance)
	case !short && before >= 0:
		r.toleranceShortSince = -1
		r.options.Log.Info("register tolerance restored", "short_for", (r.now() - before).Round(time.Millisecond).String())
	}
	r.canShutDown = r.core.draining && r.core.CanShutDown()
}

// Inspection is the state of a replica and of the peers that it receives heartbeats from, for
// status pages.
type Inspection struct {
	Status
	Address           string
	Confirmed         bool          // the replica may act on its shards (see Replica.Lease)
	ConfirmedAge      time.Duration // the age of the last confirmation; 0 if ConfirmedAt is below 0
	Shards            int           // number of shards that the replica owns
	Tolerance         int           // Config.Tolerance
	ToleranceShort    bool          // CurrentTolerance is less than Tolerance
	ToleranceShortFor time.Duration // for how long it has been less; 0 unless ToleranceShort
	Peers             []view.Peer
}

// Inspect returns the state of the replica and its peers. It waits for the goroutine of Run; ok is
// false if ctx ended first.
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

// inspect returns the state of the replica and its peers. The goroutine of Run calls it.
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
