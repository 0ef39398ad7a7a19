package recovery

import (
	"cmp"
	"slices"
	"time"

	"reachspread/internal/router/snapshot"
)

// A router without a measure of what a warm host does sends hosts that are warming up single
// requests at most, until another router tells it theirs. The announcements of routers that return
// at the same time may come before this router can receive them, and one that has lost its folder
// knows nobody to ask as it starts, so it asks the routers that are alive until one of them has a
// measure.

// lacksMeasure reports whether there is neither an own measure nor another router's.
func (d *Decider) lacksMeasure() bool { return d.measure.HostWork == 0 && !d.adopted }

// mayQueryMeasure reports whether a measure is of use, and there is anybody to ask for one.
func (d *Decider) mayQueryMeasure() bool {
	return d.lacksMeasure() && (d.stage == Listing || d.stage == Admitting) && len(d.alivePeers()) > 0
}

// alivePeers are the routers that are alive, without this one.
func (d *Decider) alivePeers() []snapshot.Router {
	return slices.DeleteFunc(slices.Clone(d.alive), func(r snapshot.Router) bool { return r.Name == d.config.Self })
}

// queryMeasure asks the next maxQueriedPeers routers for their announcements, which have their
// measures.
func (d *Decider) queryMeasure() {
	if !d.mayQueryMeasure() || d.now < d.nextMeasureQueryAt {
		return
	}
	peers := d.alivePeers()
	var to []snapshot.Router
	for range min(maxQueriedPeers, len(peers)) {
		to = append(to, peers[d.measureQueriesSent%len(peers)])
		d.measureQueriesSent++
	}
	d.nextMeasureQueryAt = d.now + measureQueryInterval
	d.actions = append(d.actions, Announce{to, d.announcement(true)})
}

// nextMeasureQuery is when a measure is asked for again, 0 for never.
func (d *Decider) nextMeasureQuery() time.Duration {
	if !d.mayQueryMeasure() {
		return 0
	}
	return max(d.nextMeasureQueryAt, d.now+time.Millisecond)
}

// adoptMeasure takes the median of other routers' measures, once, if this router has none of its
// own.
func (d *Decider) adoptMeasure() {
	if !d.lacksMeasure() {
		return
	}
	var all []Measure
	for _, r := range d.announcements {
		if m := r.announcement.Measure; m.HostWork > 0 && m.RequestWork > 0 {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return
	}
	slices.SortFunc(all, func(a, b Measure) int {
		return cmp.Or(cmp.Compare(a.HostWork, b.HostWork), cmp.Compare(a.RequestWork, b.RequestWork))
	})
	d.adopted = true
	d.actions = append(d.actions, AdoptMeasure{all[(len(all)-1)/2]})
}
