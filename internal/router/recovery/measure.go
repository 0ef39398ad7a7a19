package recovery

import (
	"cmp"
	"maps"
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

// measureQuery is how far a router without a measure has come in asking others for theirs.
type measureQuery struct {
	nextAt time.Duration // of the next round
	sent   int           // queries, to one router each
	rounds int
	asked  map[string]time.Duration // when each router was asked first
	ended  bool
}

// queryMeasure asks the next maxQueriedPeers routers for their announcements, which have their
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

// isPowerOfTwo reports whether n is 1, 2, 4, 8 and so on.
func isPowerOfTwo(n int) bool { return n > 0 && n&(n-1) == 0 }

// endMeasureQuery reports once that nobody is asked any more, if the queries were in vain.
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

// reportMeasureMissing reports who has answered by now. An answer counts however late it comes.
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

// nextMeasureQuery is when a measure is asked for again, 0 for never.
func (d *Decider) nextMeasureQuery() time.Duration {
	if !d.mayQueryMeasure() {
		return 0
	}
	return max(d.measureQuery.nextAt, d.now+time.Millisecond)
}

// adoptMeasure takes the median of other routers' measures, once, if this router has none of its
// own.
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
