package register

import (
	"context"
	"time"

	"reachspread/coord/view"
)

// Inspection is how a replica and those of which it hears stand, for staff to see.
type Inspection struct {
	Status
	Address      string
	Confirmed    bool          // it may act on its duties
	ConfirmedAge time.Duration // where Confirmed
	Shards       int           // of the duties that it owns
	Tolerance    int           // members that are to be borne
	Short        bool          // fewer may be lost at present
	ShortFor     time.Duration // where Short
	Peers        []view.Peer
}

// Inspect asks the replica how it stands; ok is false where it did not answer in time.
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

func (r *Replica) inspect() Inspection {
	s := r.Status()
	in := Inspection{Status: s, Address: r.o.Self.Address, Peers: r.core.view.Peers(r.now())}
	if s.ConfirmedAt >= 0 {
		in.ConfirmedAge = r.now() - s.ConfirmedAt
		in.Confirmed = in.ConfirmedAge < view.LeaseDuration
	}
	in.Tolerance = r.o.Tolerance
	if in.Short = s.ToleranceShortSince >= 0; in.Short {
		in.ShortFor = r.now() - s.ToleranceShortSince
	}
	for _, duty := range s.View.GetDuties() {
		if duty.Owner == s.Identity {
			in.Shards++
		}
	}
	return in
}
