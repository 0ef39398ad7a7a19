package routing

import (
	"maps"
	"sync/atomic"

	"reachspread/balance"
)

// mostClasses bounds the classes that are counted, those that a reload took away among them.
const mostClasses = 256

// figures counts what the core does. Whoever sees a thing happen counts it; reading waits for nobody.
type figures struct {
	classes atomic.Pointer[map[string]*class] // replaced, never changed
	relayed atomic.Uint64                     // attempts written whole
	open    atomic.Int64                      // requests taken in and not done
	entries atomic.Int64                      // servers listed
	avoided atomic.Int64                      // of these, out of rotation
	fleet   atomic.Pointer[Fleet]             // nil before any view
}

// class counts the requests of one class: those that were taken, and how they ended. What was taken and has not ended is
// open. A nil class is one that nobody listed: it counts nothing.
type class struct {
	taken atomic.Uint64
	ended [Moved + 1]atomic.Uint64
}

// take counts a request that is to be ended once.
func (c *class) take() {
	if c != nil {
		c.taken.Add(1)
	}
}

// end counts a request that ended so.
func (c *class) end(v Verdict) {
	if c != nil {
		c.ended[v].Add(1)
	}
}

// list has these classes be counted, too. The ones before stay: what was counted is true for good.
func (f *figures) list(classes []balance.Class) {
	next := map[string]*class{}
	maps.Copy(next, f.all())
	for _, c := range classes {
		if next[c.Name] == nil && len(next) < mostClasses {
			next[c.Name] = new(class)
		}
	}
	f.classes.Store(&next)
}

// all returns the counts by class, to be read only.
func (f *figures) all() map[string]*class {
	if all := f.classes.Load(); all != nil {
		return *all
	}
	return nil
}

// of returns the counts of a class, nil if it is not listed.
func (f *figures) of(name string) *class { return f.all()[name] }

// Counts is how the requests of a class ended so far. Taken is the sum of the others and of those that are open.
type Counts struct {
	Taken                   uint64
	Served, Refused, Failed uint64
	Abandoned               uint64 // their clients left before the end
	Moved                   uint64 // another process goes on with them
}

// Open is how many have not ended.
func (c Counts) Open() uint64 {
	return c.Taken - c.Served - c.Refused - c.Failed - c.Abandoned - c.Moved
}

// Figures is what the core did so far, and how it stands.
type Figures struct {
	Classes map[string]Counts
	Relayed uint64
	Open    int64
	Entries int64
	Avoided int64
	Fleet   Fleet // as the decisions have it
}

// Figures returns the figures. It waits for nothing.
func (r *Router) Figures() Figures {
	f := &r.figures
	out := Figures{Classes: map[string]Counts{}, Relayed: f.relayed.Load(), Open: f.open.Load(),
		Entries: f.entries.Load(), Avoided: f.avoided.Load()}
	if fleet := f.fleet.Load(); fleet != nil {
		out.Fleet = *fleet
	}
	for name, c := range f.all() {
		counts := Counts{Served: c.ended[Served].Load(), Refused: c.ended[Refused].Load(),
			Failed:    c.ended[Failed].Load() + c.ended[Unfit].Load(),
			Abandoned: c.ended[Nobody].Load(), Moved: c.ended[Moved].Load()}
		counts.Taken = c.taken.Load() // after the ends, so that never more have ended than were taken
		out.Classes[name] = counts
	}
	return out
}

// Open returns the ids and classes of up to most requests that are not answered to their end, and how many more there are.
func (r *Router) Open(most int) (ids, classes []string, more int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, f := range r.requests {
		if len(ids) == most {
			return ids, classes, len(r.requests) - most
		}
		ids, classes = append(ids, id), append(classes, f.arrival.Class)
	}
	return ids, classes, 0
}

// Carry counts a stream that another process began, until ended is told how it ends here.
func (r *Router) Carry(class string) (ended func(Verdict)) {
	r.figures.open.Add(1)
	r.figures.of(class).take()
	return func(v Verdict) {
		r.figures.of(class).end(v)
		r.figures.open.Add(-1)
	}
}

// Refused counts a request of a class that a front ended before it was a request.
func (r *Router) Refused(class string, v Verdict) {
	c := r.figures.of(class)
	c.take()
	c.end(v)
}
