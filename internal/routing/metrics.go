package routing

import (
	"maps"
	"sync/atomic"

	"reachspread/balance"
)

// maxCountedClasses is the maximum number of classes that have counters, including classes that a
// reload of the configuration removed.
const maxCountedClasses = 256

// counters hold the metrics of the core. Each counter is updated where the counted event happens.
// Reading the counters never blocks.
type counters struct {
	classes       atomic.Pointer[map[string]*classCounters] // the map is replaced, never modified
	attemptsSent  atomic.Uint64                             // attempts whose last byte was written
	open          atomic.Int64                              // requests accepted and not done
	serversListed atomic.Int64
	outOfRotation atomic.Int64              // listed servers that are draining or ejected
	fleetView     atomic.Pointer[FleetView] // nil before the first view
}

// classCounters count the accepted requests of one class, and how they ended. Methods of a nil
// *classCounters, which stands for a class without counters, count nothing.
type classCounters struct {
	accepted atomic.Uint64
	ended    [HandedOver + 1]atomic.Uint64
}

// countAccepted counts an accepted request. The caller must count its end once with countEnded.
func (c *classCounters) countAccepted() {
	if c != nil {
		c.accepted.Add(1)
	}
}

// countEnded counts a request that ended with a verdict.
func (c *classCounters) countEnded(v Verdict) {
	if c != nil {
		c.ended[v].Add(1)
	}
}

// counts returns the current counts.
func (c *classCounters) counts() Counts {
	counts := Counts{
		Served:     c.ended[Served].Load(),
		Rejected:   c.ended[Rejected].Load(),
		Failed:     c.ended[Failed].Load() + c.ended[Invalid].Load(),
		Abandoned:  c.ended[Abandoned].Load(),
		HandedOver: c.ended[HandedOver].Load(),
	}
	counts.Accepted = c.accepted.Load() // read last, so that it is at least the number of ended requests
	return counts
}

// addClasses adds counters for these classes. Existing counters are kept.
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

// all returns the counters by class. The caller must not modify the map.
func (c *counters) all() map[string]*classCounters {
	if all := c.classes.Load(); all != nil {
		return *all
	}
	return nil
}

// forClass returns the counters of a class, nil if it has none.
func (c *counters) forClass(name string) *classCounters { return c.all()[name] }

// Counts are the numbers of requests of a class so far: all accepted requests, and those that ended
// in each way. Accepted also includes the open requests.
type Counts struct {
	Accepted                 uint64
	Served, Rejected, Failed uint64
	Abandoned                uint64 // their clients left
	HandedOver               uint64 // another process took them over
}

// Open returns how many requests have not ended.
func (c Counts) Open() uint64 {
	return c.Accepted - c.Served - c.Rejected - c.Failed - c.Abandoned - c.HandedOver
}

// Metrics holds counts of what the core did so far, and its current state.
type Metrics struct {
	Classes       map[string]Counts
	AttemptsSent  uint64 // attempts whose last byte was written
	Open          int64  // requests accepted and not done
	ServersListed int64
	OutOfRotation int64     // listed servers that are draining or ejected
	Fleet         FleetView // the view that Run handled last
}

// Metrics returns the current metrics. It never blocks.
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

// OpenRequests returns the IDs and classes of at most limit open requests, and how many more open
// requests there are.
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

// CountTakenOver counts a stream that this process took over from another process. The caller must
// call ended once, with the verdict of the stream in this process.
func (r *Router) CountTakenOver(class string) (ended func(Verdict)) {
	r.counters.open.Add(1)
	r.counters.forClass(class).countAccepted()
	return func(v Verdict) {
		r.counters.forClass(class).countEnded(v)
		r.counters.open.Add(-1)
	}
}

// CountUnadmitted counts a request of a class that a front end answered without calling Accept.
func (r *Router) CountUnadmitted(class string, v Verdict) {
	counters := r.counters.forClass(class)
	counters.countAccepted()
	counters.countEnded(v)
}
