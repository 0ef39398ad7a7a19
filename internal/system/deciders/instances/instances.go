// Package instances implements the registry of model hosts. The registry holds the state of each
// host, which it learns from the host's heartbeats and from records of other routers. The package
// does no I/O and reads no clock: callers pass the current time.
//
// The records of a host have a total order, and the registry keeps the greatest. Routers that have
// exchanged the same records therefore agree, in whatever order and however often the records
// arrived. The state removed (GONE in messages) supersedes draining, and draining supersedes both
// ready and lost. Between two records of the same state, or between ready and lost, the record of
// the later heartbeat supersedes the other. For the same heartbeat, lost supersedes ready.
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
	// MaxInstances is the maximum number of hosts in a registry, including removed hosts.
	MaxInstances = 20_000
	// removedTTL is how long the record of a removed host is retained, so that no late record of
	// the host adds it again.
	removedTTL = 10 * time.Minute
	// missedHeartbeats is the number of heartbeat intervals without a heartbeat after which
	// DetectLost considers a host lost.
	missedHeartbeats = 3.5
	// minSweepSize is the number of records below which no removed host is deleted.
	minSweepSize = 256
	// sweepInterval is the shortest time between two sweeps, which delete old records of removed
	// hosts.
	sweepInterval = 10 * time.Second
)

// Record is what this router knows about a host. Callers must not change it.
type Record struct {
	*message.Instance
	SlowStartUntil time.Duration // end of the slow start, on this router's clock; 0 for a warm host
	revision       uint64        // of the registry, when the record was stored
	lastHeartbeat  time.Duration // as far as this router knows; DetectLost measures from it
	stateSince     time.Duration // when the record was stored
	endReplicated  bool          // SetEndReplicated was called for this state of the host
}

// Revision returns the revision of the registry at which the record was stored.
func (r *Record) Revision() uint64 { return r.revision }

// EndReplicated reports whether SetEndReplicated was called for the host's present state.
func (r *Record) EndReplicated() bool { return r.endReplicated }

// HasEnded reports whether a record says that its host drains or was removed. Unlike the other
// states, these are never taken back.
func HasEnded(in *message.Instance) bool { return in.State >= message.Instance_DRAINING }

// Registry holds the hosts that one router knows, including lost and removed hosts.
type Registry struct {
	now              time.Duration // the latest time that a caller passed
	interval         time.Duration // between two heartbeats of a host
	revision         uint64
	records          map[string]*Record            // by host id
	byService        map[string]map[string]*Record // by service, then by host id
	serviceRevisions map[string]uint64             // by service
	sorted           map[string][]*Record          // by service; a cache, cleared by changes of the service
	nextSweepAt      time.Duration
}

// New returns an empty registry at revision 1 for hosts that send heartbeats at the given interval.
func New(interval time.Duration) *Registry {
	return &Registry{
		interval:         interval,
		revision:         1,
		records:          map[string]*Record{},
		byService:        map[string]map[string]*Record{},
		serviceRevisions: map[string]uint64{},
		sorted:           map[string][]*Record{},
	}
}

// Revision returns the revision of the registry, which increases with each change.
func (r *Registry) Revision() uint64 { return r.revision }

// ServiceRevision returns the revision of the latest change to a host of the service, or 0 if there
// was none.
func (r *Registry) ServiceRevision(service string) uint64 { return r.serviceRevisions[service] }

// Get returns the record of a host, or nil.
func (r *Registry) Get(id string) *Record { return r.records[id] }

// Services returns the names of all services that have or had hosts, sorted.
func (r *Registry) Services() []string { return slices.Sorted(maps.Keys(r.byService)) }

// Records returns the records of a service sorted by host id, including those of removed hosts.
// Callers must not change the slice.
func (r *Registry) Records(service string) []*Record {
	if all, ok := r.sorted[service]; ok {
		return all
	}
	all := slices.Collect(maps.Values(r.byService[service]))
	slices.SortFunc(all, func(a, b *Record) int { return cmp.Compare(a.Id, b.Id) })
	r.sorted[service] = all
	return all
}

// Len returns the number of hosts in the registry, including removed hosts.
func (r *Registry) Len() int { return len(r.records) }

// All returns the records of all hosts, including removed hosts, by service and host id.
func (r *Registry) All() (all []*message.Instance) {
	for _, service := range r.Services() {
		for _, rec := range r.Records(service) {
			all = append(all, rec.Instance)
		}
	}
	return all
}

// SetEndReplicated records that enough routers have the state of a host that drains or was
// removed, unless the host has another state by now.
func (r *Registry) SetEndReplicated(id string, state message.Instance_State) {
	if rec := r.records[id]; rec != nil && rec.State == state {
		rec.endReplicated = true
	}
}

// ChangedSince returns the hosts of a service that changed after a revision. The field
// ColdRemainingMs of each host is what remains of the host's slow start at present.
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

// Merge applies records of another router and returns those that it stored: records of new hosts,
// and records that superseded the existing record of their host.
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

// Heartbeat applies a heartbeat of a host. It returns the new record if other routers have to learn
// of it, because the host is new or its content changed. Otherwise it returns nil.
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
	endsDrain := old.State == message.Instance_DRAINING && in.State == message.Instance_READY
	if endsDrain || equalContent(old.Instance, in) || !supersedes(in, old.Instance) {
		return nil
	}
	return r.store(in)
}

// Remove records that a host announced its shutdown. It returns the new record, or nil if the host
// is unknown or already removed.
func (r *Registry) Remove(now time.Duration, id string) *Record {
	r.now = max(r.now, now)
	old := r.records[id]
	if old == nil || old.State == message.Instance_GONE {
		return nil
	}
	removed := proto.Clone(old.Instance).(*message.Instance)
	removed.State = message.Instance_GONE
	return r.store(removed)
}

// TakeOwnership restarts the heartbeat timeouts of the hosts for which this router has become
// responsible, because their earlier heartbeats went to another router.
func (r *Registry) TakeOwnership(now time.Duration, isOwned func(*Record) bool) {
	r.now = max(r.now, now)
	for _, rec := range r.records {
		if isOwned(rec) {
			rec.lastHeartbeat = r.now
		}
	}
}

// DetectLost checks the hosts for which this router is responsible. Of those whose heartbeats have
// been missing for missedHeartbeats intervals, it marks draining hosts as removed and ready hosts
// as lost. It returns the changed records.
func (r *Registry) DetectLost(now time.Duration, isOwned func(*Record) bool) (changed []*Record) {
	r.now = max(r.now, now)
	timeout := time.Duration(missedHeartbeats * float64(r.interval))
	for _, rec := range r.records {
		if r.now-rec.lastHeartbeat < timeout || !isOwned(rec) {
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

// supersedes reports whether record a of a host replaces record b of the same host. The package
// comment states the order.
func supersedes(a, b *message.Instance) bool {
	rank := func(i *message.Instance) int { return max(int(i.State)-int(message.Instance_LOST), 0) }
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.State, b.State)) > 0
}

// equalContent reports whether two records of a host are equal except for their sequence numbers
// and the remaining times of their slow starts.
func equalContent(a, b *message.Instance) bool {
	return a.State == b.State && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Software == b.Software && a.Stage == b.Stage &&
		slices.EqualFunc(a.Models, b.Models, func(x, y *message.Model) bool { return proto.Equal(x, y) })
}

// store adds or replaces the record of a host and increments the revision of the registry.
func (r *Registry) store(in *message.Instance) *Record {
	r.revision++
	rec := &Record{Instance: in, revision: r.revision, lastHeartbeat: r.now, stateSince: r.now}
	if in.ColdRemainingMs > 0 {
		rec.SlowStartUntil = r.now + time.Duration(in.ColdRemainingMs)*time.Millisecond
	}
	if old := r.records[in.Id]; old != nil {
		rec.lastHeartbeat = max(rec.lastHeartbeat, old.lastHeartbeat)
		rec.endReplicated = old.endReplicated && old.State == in.State
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

// sweepRemoved deletes the records of hosts that were removed at least removedTTL ago. It does
// nothing if the registry is small or the last sweep was less than sweepInterval ago.
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
