// Package instances keeps which hosts exist and how they stand, as the hosts themselves and other routers tell. It is pure.
//
// What is known of a host only moves forward: its states are ordered (gone after draining after ready or lost), and of two that are not
// comparable so the one of its later call goes first. So records may be merged in any order, twice, and from any router.
package instances

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/message"
)

const (
	// MostInstances bounds the hosts that are known, with those that are gone.
	MaxInstances = 20_000
	// keepGone is how long a host that is gone is remembered, so that no late word brings it back.
	removedTTL = 10 * time.Minute
	// lostBeats is the number of heartbeats that may be missing before a host counts as lost.
	missedHeartbeats = 3.5
	minSweepSize     = 256 // records, below which nothing is forgotten
	// sweepEvery is the time between two looks for what may be forgotten.
	sweepInterval = 10 * time.Second
)

// Record is one host as this router knows it. It is not to be changed.
type Record struct {
	*message.Instance
	SlowStartUntil time.Duration // on this router's clock; 0 for warm
	revision       uint64
	lastHeartbeat  time.Duration // its last call, as far as this router has been told
	stateSince     time.Duration // in this state
}

// Registry is one router's knowledge.
type Registry struct {
	now              time.Duration
	interval         time.Duration // between two heartbeats
	revision         uint64
	records          map[string]*Record
	byService        map[string]map[string]*Record
	serviceRevisions map[string]uint64    // the revision of each service
	sorted           map[string][]*Record // the hosts of a service by their ids, where they were asked for since they last changed
	nextSweepAt      time.Duration
}

// New returns a registry that knows nobody. Revisions begin at 1.
func New(interval time.Duration) *Registry {
	return &Registry{interval: interval, revision: 1, records: map[string]*Record{}, byService: map[string]map[string]*Record{}, serviceRevisions: map[string]uint64{}, sorted: map[string][]*Record{}}
}

// Revision grows with each change.
func (r *Registry) Revision() uint64 { return r.revision }

// Get returns what is known of a host, nil for nothing.
func (r *Registry) Get(id string) *Record { return r.records[id] }

// Services are the names of all services that have or had hosts, in order.
func (r *Registry) Services() []string { return slices.Sorted(maps.Keys(r.byService)) }

// Of returns the hosts of a service by their ids, those that are gone among them. The result is not to be changed.
func (r *Registry) Records(service string) []*Record {
	if all, ok := r.sorted[service]; ok {
		return all
	}
	all := slices.Collect(maps.Values(r.byService[service]))
	slices.SortFunc(all, func(a, b *Record) int { return cmp.Compare(a.Id, b.Id) })
	r.sorted[service] = all
	return all
}

// Len is how many hosts are known, those that are gone among them.
func (r *Registry) Len() int { return len(r.records) }

// later tells whether a word on a host goes before another.
func supersedes(a, b *message.Instance) bool {
	rank := func(i *message.Instance) int { return max(int(i.State)-int(message.Instance_LOST), 0) }
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.State, b.State)) > 0
}

// Merge takes in words from another router and returns those that were new here.
func (r *Registry) Merge(now time.Duration, all []*message.Instance) (changed []*Record) {
	r.now = max(r.now, now)
	for _, in := range all {
		if in.Id == "" || in.Service == "" {
			continue
		}
		old := r.records[in.Id]
		if old != nil && !supersedes(in, old.Instance) || old == nil && len(r.records) >= MaxInstances {
			continue
		}
		changed = append(changed, r.store(in))
	}
	return changed
}

// put takes up a word.
func (r *Registry) store(in *message.Instance) *Record {
	r.revision++
	rec := &Record{Instance: in, revision: r.revision, lastHeartbeat: r.now, stateSince: r.now}
	if in.ColdRemainingMs > 0 {
		rec.SlowStartUntil = r.now + time.Duration(in.ColdRemainingMs)*time.Millisecond
	}
	if old := r.records[in.Id]; old != nil {
		rec.lastHeartbeat = max(rec.lastHeartbeat, old.lastHeartbeat)
		delete(r.byService[old.Service], in.Id)
		delete(r.sorted, old.Service)
	}
	r.records[in.Id] = rec
	service := r.byService[in.Service]
	if service == nil {
		service = map[string]*Record{}
		r.byService[in.Service] = service
	}
	service[in.Id] = rec
	r.serviceRevisions[in.Service] = r.revision
	delete(r.sorted, in.Service)
	r.sweepRemoved()
	return rec
}

// forget drops hosts that have been gone for long.
func (r *Registry) sweepRemoved() {
	if len(r.records) < minSweepSize || r.now < r.nextSweepAt {
		return
	}
	r.nextSweepAt = r.now + sweepInterval
	for id, rec := range r.records {
		if rec.State == message.Instance_GONE && r.now-rec.stateSince >= removedTTL {
			delete(r.records, id)
			delete(r.byService[rec.Service], id)
			delete(r.sorted, rec.Service)
		}
	}
}

// Beat takes in a call of a host itself. It returns the record where the call changed anything that others have to know, else nil.
func (r *Registry) Heartbeat(now time.Duration, in *message.Instance) *Record {
	r.now = max(r.now, now)
	old := r.records[in.Id]
	if old == nil {
		if len(r.records) >= MaxInstances {
			return nil
		}
		return r.store(in)
	}
	if old.State == message.Instance_GONE || in.Sequence < old.Sequence {
		return nil
	}
	old.lastHeartbeat = r.now
	if old.State == message.Instance_DRAINING && in.State == message.Instance_READY || equalContent(old.Instance, in) {
		return nil
	}
	if !supersedes(in, old.Instance) {
		return nil
	}
	return r.store(in)
}

// same tells whether two words on a host say the same, but for their sequence and the time that it is cold.
func equalContent(a, b *message.Instance) bool {
	return a.State == b.State && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Software == b.Software && a.Stage == b.Stage &&
		slices.EqualFunc(a.Models, b.Models, func(x, y *message.Model) bool { return proto.Equal(x, y) })
}

// Remove takes in that a host says it ends.
func (r *Registry) Remove(now time.Duration, id string) *Record {
	r.now = max(r.now, now)
	old := r.records[id]
	if old == nil || old.State == message.Instance_GONE {
		return nil
	}
	gone := proto.Clone(old.Instance).(*message.Instance)
	gone.State = message.Instance_GONE
	return r.store(gone)
}

// Adopt begins to count anew how long nothing was heard of the hosts that a router is now responsible for.
func (r *Registry) TakeOwnership(now time.Duration, mine func(*Record) bool) {
	r.now = max(r.now, now)
	for _, rec := range r.records {
		if mine(rec) {
			rec.lastHeartbeat = r.now
		}
	}
}

// Lose finds the hosts, of those that a router is responsible for, of which nothing was heard for too long.
func (r *Registry) DetectLost(now time.Duration, mine func(*Record) bool) (changed []*Record) {
	r.now = max(r.now, now)
	silent := time.Duration(missedHeartbeats * float64(r.interval))
	for _, rec := range r.records {
		if r.now-rec.lastHeartbeat < silent || !mine(rec) {
			continue
		}
		next := message.Instance_LOST
		switch rec.State {
		case message.Instance_LOST, message.Instance_GONE:
			continue
		case message.Instance_DRAINING:
			next = message.Instance_GONE
		}
		lost := proto.Clone(rec.Instance).(*message.Instance)
		lost.State = next
		changed = append(changed, r.store(lost))
	}
	return changed
}

// Living are the words on all hosts that are not gone.
func (r *Registry) Active() (all []*message.Instance) {
	for _, service := range r.Services() {
		for _, rec := range r.Records(service) {
			if rec.State != message.Instance_GONE {
				all = append(all, rec.Instance)
			}
		}
	}
	return all
}

// Since are the words on a service's hosts that changed after a revision.
func (r *Registry) ChangedSince(service string, after uint64) (all []*message.Instance) {
	for _, rec := range r.Records(service) {
		if rec.revision <= after {
			continue
		}
		in := rec.Instance
		if in.ColdRemainingMs > 0 {
			in = proto.Clone(in).(*message.Instance)
			in.ColdRemainingMs = uint32(max(rec.SlowStartUntil-r.now, 0) / time.Millisecond)
		}
		all = append(all, in)
	}
	return all
}

// ServiceRevision grows with each change of a service's hosts.
func (r *Registry) ServiceRevision(service string) uint64 { return r.serviceRevisions[service] }
