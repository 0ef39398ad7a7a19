// Package instances is the registry of model hosts: which exist and in which state each is, by
// their own heartbeats and by what other routers report. It is pure.
//
// Records are merged by a total order, so routers that have exchanged the same records, in any
// order and however often, agree. Removed supersedes draining, which supersedes ready and lost; of
// two records in the same of these groups the later heartbeat does.
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
	// MaxInstances bounds the hosts that are known, removed ones included.
	MaxInstances = 20_000
	// removedTTL is how long a removed host is remembered, so that no late record brings it back.
	removedTTL = 10 * time.Minute
	// missedHeartbeats is how many heartbeats may be missing before a host is lost.
	missedHeartbeats = 3.5
	// minSweepSize is the number of records below which none is forgotten.
	minSweepSize = 256
	// sweepInterval is the time between two sweeps of removed hosts.
	sweepInterval = 10 * time.Second
)

// Record is a host as this router knows it. It must not be changed.
type Record struct {
	*message.Instance
	SlowStartUntil time.Duration // on this router's clock; 0 for a host that is warm
	revision       uint64
	lastHeartbeat  time.Duration // as far as this router knows
	stateSince     time.Duration
}

// Registry is the hosts that one router knows.
type Registry struct {
	now              time.Duration
	interval         time.Duration // between two heartbeats of a host
	revision         uint64
	records          map[string]*Record            // by id
	byService        map[string]map[string]*Record // by id
	serviceRevisions map[string]uint64
	sorted           map[string][]*Record // by service; a cache that a change of the service clears
	nextSweepAt      time.Duration
}

// New returns an empty registry at revision 1, for hosts that send a heartbeat at an interval.
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

// Revision grows with each change.
func (r *Registry) Revision() uint64 { return r.revision }

// ServiceRevision grows with each change of a service's hosts; 0 for none.
func (r *Registry) ServiceRevision(service string) uint64 { return r.serviceRevisions[service] }

// Get returns the record of a host, nil for none.
func (r *Registry) Get(id string) *Record { return r.records[id] }

// Services returns the names of all services that have or had hosts, sorted.
func (r *Registry) Services() []string { return slices.Sorted(maps.Keys(r.byService)) }

// Records returns the hosts of a service sorted by id, removed ones included. The slice must not be
// changed.
func (r *Registry) Records(service string) []*Record {
	if all, ok := r.sorted[service]; ok {
		return all
	}
	all := slices.Collect(maps.Values(r.byService[service]))
	slices.SortFunc(all, func(a, b *Record) int { return cmp.Compare(a.Id, b.Id) })
	r.sorted[service] = all
	return all
}

// Len returns how many hosts are known, removed ones included.
func (r *Registry) Len() int { return len(r.records) }

// Active returns all hosts that are not removed.
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

// ChangedSince returns the hosts of a service that changed after a revision, with the rest of their
// slow start.
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

// Merge applies records of another router and returns those that were new here.
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

// Heartbeat applies a heartbeat of a host. It returns the record if the host is new, or if the
// heartbeat changed what other routers have to know; nil otherwise.
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

// Remove records that a host says it ends. It returns nil if the host is unknown or removed
// already.
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

// TakeOwnership restarts the heartbeat time-outs of the hosts that this router has become
// responsible for: their heartbeats went to another one before.
func (r *Registry) TakeOwnership(now time.Duration, isOwned func(*Record) bool) {
	r.now = max(r.now, now)
	for _, rec := range r.records {
		if isOwned(rec) {
			rec.lastHeartbeat = r.now
		}
	}
}

// DetectLost finds the hosts, of those that this router is responsible for, whose heartbeats are
// missing. They become lost, those that drained removed.
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

// supersedes reports whether a record of a host replaces another one.
func supersedes(a, b *message.Instance) bool {
	rank := func(i *message.Instance) int { return max(int(i.State)-int(message.Instance_LOST), 0) }
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.State, b.State)) > 0
}

// equalContent reports whether two records of a host are equal but for their sequence and slow
// start.
func equalContent(a, b *message.Instance) bool {
	return a.State == b.State && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Software == b.Software && a.Stage == b.Stage &&
		slices.EqualFunc(a.Models, b.Models, func(x, y *message.Model) bool { return proto.Equal(x, y) })
}

// store replaces the record of a host.
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

// sweepRemoved forgets hosts that were removed longer than removedTTL ago.
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
