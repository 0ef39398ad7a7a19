package recovery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"reachspread/internal/router/snapshot"
)

// A router without a measure of a warm host's work sends at most single requests to hosts that are
// warming up, until another router reports a measure. Announcements of routers that restart at the
// same time may arrive before this router can receive them, and a router that has lost its folder
// knows no other routers when it starts. It therefore asks the routers that are alive until one of
// them has a measure.

// lacksMeasure reports whether this router has neither a measure of its own nor an adopted one.
func (d *Decider) lacksMeasure() bool { return d.measure.HostWork == 0 && !d.adopted }

// mayQueryMeasure reports whether this router still needs a measure and there is a router to ask.
func (d *Decider) mayQueryMeasure() bool {
	return d.lacksMeasure() && (d.stage == Listing || d.stage == Admitting) && len(d.alivePeers()) > 0
}

// alivePeers returns the routers that are alive, without this one.
func (d *Decider) alivePeers() []snapshot.Router {
	return slices.DeleteFunc(slices.Clone(d.alive), func(r snapshot.Router) bool { return r.Name == d.config.Self })
}

// measureQuery is the progress of a router without a measure in asking other routers for theirs.
type measureQuery struct {
	nextAt time.Duration // time of the next round
	sent   int           // announcements sent, counted for each receiver
	rounds int
	asked  map[string]time.Duration // time when each router was first asked
	ended  bool
}

// queryMeasure asks the next maxQueriedPeers routers for their announcements, which contain their
// measures.
func (d *Decider) queryMeasure() {
	d.endMeasureQuery()
	q := &d.measureQuery
	if !d.mayQueryMeasure() || d.now < q.nextAt {
		return
	}
	if isPowerOfTwo(q.rounds) {
		d.reportMeasureMissing("")
	}
	peers := d.alivePeers()
	var to []snapshot.Router
	for range min(maxQueriedPeers, len(peers)) {
		to = append(to, peers[q.sent%len(peers)])
		q.sent++
	}
	q.recordAsked(to, d.now)
	q.rounds++
	q.nextAt = d.now + measureQueryInterval
	d.actions = append(d.actions, Announce{to, d.announcement(true)})
}

// recordAsked stores the time for each router that is asked for the first time.
func (q *measureQuery) recordAsked(to []snapshot.Router, now time.Duration) {
	if q.asked == nil {
		q.asked = map[string]time.Duration{}
	}
	for _, r := range to {
		if _, known := q.asked[r.Name]; !known {
			q.asked[r.Name] = now
		}
	}
}

// isPowerOfTwo reports whether n is one of 1, 2, 4, 8 and so on.
func isPowerOfTwo(n int) bool { return n > 0 && n&(n-1) == 0 }

// endMeasureQuery ends the queries when this router has a measure or no longer needs one. Unless it
// adopted a measure, it reports once that the queries found none.
func (d *Decider) endMeasureQuery() {
	q := &d.measureQuery
	if q.rounds == 0 || q.ended {
		return
	}
	switch {
	case d.adopted:
		q.ended = true
	case !d.lacksMeasure():
		q.ended = true
		d.reportMeasureMissing("this router has its own")
	case d.stage > Admitting:
		q.ended = true
		d.reportMeasureMissing("hosts no longer wait for one")
	}
}

// reportMeasureMissing reports which routers were asked and which have answered so far. An answer
// counts no matter how late it arrives.
func (d *Decider) reportMeasureMissing(ended string) {
	q := &d.measureQuery
	a := MeasureMissing{Rounds: q.rounds, Alive: len(d.alivePeers()), Asked: slices.Sorted(maps.Keys(q.asked)), Ended: ended}
	for _, name := range a.Asked {
		if r, announced := d.announcements[name]; announced && r.at >= q.asked[name] {
			a.Answered = append(a.Answered, name)
		}
	}
	d.actions = append(d.actions, a)
}

// nextMeasureQuery returns when the next round of queries for a measure is due, 0 for never.
func (d *Decider) nextMeasureQuery() time.Duration {
	if !d.mayQueryMeasure() {
		return 0
	}
	return max(d.measureQuery.nextAt, d.now+time.Millisecond)
}

// adoptMeasure adopts the median of other routers' measures if this router has none. It does so at
// most once.
func (d *Decider) adoptMeasure() {
	if !d.lacksMeasure() {
		return
	}
	var all []Announcement
	for _, r := range d.announcements {
		if m := r.announcement.Measure; m.HostWork > 0 && m.RequestWork > 0 {
			all = append(all, r.announcement)
		}
	}
	if len(all) == 0 {
		return
	}
	slices.SortFunc(all, func(a, b Announcement) int {
		return cmp.Or(cmp.Compare(a.Measure.HostWork, b.Measure.HostWork), cmp.Compare(a.Measure.RequestWork, b.Measure.RequestWork), cmp.Compare(a.From, b.From))
	})
	median := all[(len(all)-1)/2]
	d.adopted = true
	d.actions = append(d.actions, AdoptMeasure{median.Measure, median.From, len(all)})
}
