package routing

import (
	"maps"
	"sync/atomic"

	"reachspread/balance"
)

// maxCountedClasses bounds the classes that are counted, those that a reload removed among them.
const maxCountedClasses = 256

// counters count what the core does. They are counted where a thing happens; reading them waits for
// nobody.
type counters struct {
	classes       atomic.Pointer[map[string]*classCounters] // replaced, never changed
	attemptsSent  atomic.Uint64                             // to their last byte
	open          atomic.Int64                              // requests accepted and not done
	serversListed atomic.Int64
	outOfRotation atomic.Int64              // of these
	fleetView     atomic.Pointer[FleetView] // nil before the first view
}

// classCounters count the requests of one class: those that were accepted, and how they ended. A
// nil one is of a class that is not listed: it counts nothing.
type classCounters struct {
	accepted atomic.Uint64
	ended    [HandedOver + 1]atomic.Uint64
}

// countAccepted counts a request, whose end is to be counted once.
func (c *classCounters) countAccepted() {
	if c != nil {
		c.accepted.Add(1)
	}
}

// countEnded counts the end of a request.
func (c *classCounters) countEnded(v Verdict) {
	if c != nil {
		c.ended[v].Add(1)
	}
}

// counts returns the counts by now.
func (c *classCounters) counts() Counts {
	counts := Counts{
		Served:     c.ended[Served].Load(),
		Rejected:   c.ended[Rejected].Load(),
		Failed:     c.ended[Failed].Load() + c.ended[Invalid].Load(),
		Abandoned:  c.ended[Abandoned].Load(),
		HandedOver: c.ended[HandedOver].Load(),
	}
	counts.Accepted = c.accepted.Load() // last, so that never more have ended than were accepted
	return counts
}

// addClasses has these classes counted, too. The counts of those before stay.
func (c *counters) addClasses(classes []balance.Class) {
	next := map[string]*classCounters{}
	maps.Copy(next, c.all())
	for _, class := range classes {
		if next[class.Name] == nil && len(next) < maxCountedClasses {
			next[class.Name] = new(classCounters)
		}
	}
	c.classes.Store(&next)
}

// all returns the counters by class, which must not be changed.
func (c *counters) all() map[string]*classCounters {
	if all := c.classes.Load(); all != nil {
		return *all
	}
	return nil
}

// of returns the counters of a class, nil if it is not listed.
func (c *counters) forClass(name string) *classCounters { return c.all()[name] }

// Counts is how the requests of a class ended so far. Accepted is the sum of the others and of
// those that are open.
type Counts struct {
	Accepted                 uint64
	Served, Rejected, Failed uint64
	Abandoned                uint64 // by their clients
	HandedOver               uint64 // another process goes on with them
}

// Open returns how many have not ended.
func (c Counts) Open() uint64 {
	return c.Accepted - c.Served - c.Rejected - c.Failed - c.Abandoned - c.HandedOver
}

// Metrics is what the core did so far, and its state by now.
type Metrics struct {
	Classes       map[string]Counts
	AttemptsSent  uint64 // to their last byte
	Open          int64  // requests accepted and not done
	ServersListed int64
	OutOfRotation int64     // of these, draining or ejected
	Fleet         FleetView // as the decisions have it
}

// Metrics returns the metrics by now. It waits for nothing.
func (r *Router) Metrics() Metrics {
	c := &r.counters
	metrics := Metrics{
		Classes:       map[string]Counts{},
		AttemptsSent:  c.attemptsSent.Load(),
		Open:          c.open.Load(),
		ServersListed: c.serversListed.Load(),
		OutOfRotation: c.outOfRotation.Load(),
	}
	if view := c.fleetView.Load(); view != nil {
		metrics.Fleet = *view
	}
	for name, class := range c.all() {
		metrics.Classes[name] = class.counts()
	}
	return metrics
}

// OpenRequests returns the IDs and classes of at most limit requests that are under way, and how
// many more there are.
func (r *Router) OpenRequests(limit int) (ids, classes []string, more int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, request := range r.requests {
		if len(ids) == limit {
			return ids, classes, len(r.requests) - limit
		}
		ids = append(ids, id)
		classes = append(classes, request.arrival.Class)
	}
	return ids, classes, 0
}

// CountTakenOver counts a stream that another process began. The caller owes one call of ended with
// how it ends here.
func (r *Router) CountTakenOver(class string) (ended func(Verdict)) {
	r.counters.open.Add(1)
	r.counters.forClass(class).countAccepted()
	return func(v Verdict) {
		r.counters.forClass(class).countEnded(v)
		r.counters.open.Add(-1)
	}
}

// CountUnadmitted counts a request of a class that a front end answered without Accept.
func (r *Router) CountUnadmitted(class string, v Verdict) {
	counters := r.counters.forClass(class)
	counters.countAccepted()
	counters.countEnded(v)
}
