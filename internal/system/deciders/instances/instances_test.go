package instances

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"reachspread/internal/system/message"
)

const (
	ready    = message.Instance_READY
	lost     = message.Instance_LOST
	draining = message.Instance_DRAINING
	removed  = message.Instance_GONE
)

func instance(id string, state message.Instance_State, sequence uint64) *message.Instance {
	return &message.Instance{Id: id, Service: "s", Address: "10.0.0.1:80", Zone: "a", State: state, Sequence: sequence}
}

// Merge replaces a record only by one that supersedes it. Removed supersedes draining, draining
// supersedes ready and lost, and between ready and lost the later heartbeat decides.
func TestRecordsSupersedeByStateAndSequence(t *testing.T) {
	for _, c := range []struct {
		have, new *message.Instance
		merged    bool
	}{
		{nil, instance("i", ready, 1), true},
		{instance("i", ready, 1), instance("i", ready, 1), false},
		{instance("i", ready, 2), instance("i", ready, 1), false},
		{instance("i", ready, 1), instance("i", ready, 2), true},
		{instance("i", ready, 1), instance("i", lost, 1), true},
		{instance("i", lost, 1), instance("i", ready, 1), false},
		{instance("i", lost, 1), instance("i", ready, 2), true},
		{instance("i", ready, 9), instance("i", draining, 1), true},
		{instance("i", draining, 1), instance("i", ready, 9), false},
		{instance("i", draining, 1), instance("i", lost, 9), false},
		{instance("i", draining, 9), instance("i", removed, 1), true},
		{instance("i", removed, 1), instance("i", draining, 9), false},
		{nil, instance("", ready, 1), false},
	} {
		r := New(time.Second)
		if c.have != nil {
			r.Merge(0, []*message.Instance{c.have})
		}
		if got := len(r.Merge(0, []*message.Instance{c.new})) > 0; got != c.merged {
			t.Errorf("record %v, then record %v: the second one was merged: %v", c.have, c.new, got)
		}
	}
}

// The registry does not depend on the order in which records are merged, nor on duplicates, nor on
// how the records are divided among calls of Merge.
func TestMergeInAnyOrderConverges(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var records []*message.Instance
		for range 30 {
			records = append(records, instance(fmt.Sprint(rng.IntN(4)), message.Instance_State(rng.IntN(4)), uint64(rng.IntN(5))))
		}
		one, other := New(time.Second), New(time.Second)
		one.Merge(0, records)
		shuffled := append(slices.Clone(records), records[:10]...)
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for _, record := range shuffled {
			other.Merge(0, []*message.Instance{record})
		}
		if diff := cmp.Diff(one.ChangedSince("s", 0), other.ChangedSince("s", 0), protocmp.Transform()); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// Heartbeat returns a record only if the heartbeat changes the host, and no heartbeat ends a drain.
func TestHeartbeatReturnsChanges(t *testing.T) {
	is := is.New(t)
	r := New(time.Second)
	is.True(r.Heartbeat(0, instance("i", ready, 1)) != nil)
	is.Equal(r.Heartbeat(time.Second, instance("i", ready, 2)), nil)
	moved := instance("i", ready, 3)
	moved.Address = "10.0.0.2:80"
	is.True(r.Heartbeat(time.Second, moved) != nil)
	is.Equal(r.Heartbeat(time.Second, instance("i", ready, 1)), nil) // a late heartbeat
	is.Equal(r.Get("i").Address, "10.0.0.2:80")
	is.True(r.Heartbeat(time.Second, instance("i", draining, 4)) != nil)
	is.Equal(r.Heartbeat(time.Second, instance("i", ready, 5)), nil)
	is.Equal(r.Get("i").State, draining)
	is.True(r.Remove(time.Second, "i") != nil)
	is.Equal(r.Remove(time.Second, "i"), nil)
	is.Equal(r.Heartbeat(time.Second, instance("i", ready, 6)), nil)
	is.Equal(r.Get("i").State, removed)
	is.Equal(r.Remove(0, "unknown"), nil)
}

// The owner of a host marks it as lost after three and a half intervals without a heartbeat, and as
// ready again after its next heartbeat.
func TestMissingHeartbeatsAreDetected(t *testing.T) {
	is := is.New(t)
	all := func(*Record) bool { return true }
	r := New(time.Second)
	r.Heartbeat(0, instance("i", ready, 1))
	r.Heartbeat(0, instance("d", draining, 1))
	r.Heartbeat(2*time.Second, instance("i", ready, 2)) // changes no content, but restarts the timeout
	is.Equal(len(r.DetectLost(3*time.Second, all)), 0)
	is.Equal(len(r.DetectLost(4*time.Second, all)), 1)
	is.Equal(r.Get("d").State, removed)
	is.Equal(len(r.DetectLost(6*time.Second, func(*Record) bool { return false })), 0) // another router is the owner
	is.Equal(len(r.DetectLost(6*time.Second, all)), 1)
	is.Equal(r.Get("i").State, lost)
	is.Equal(len(r.DetectLost(9*time.Second, all)), 0)
	is.True(r.Heartbeat(10*time.Second, instance("i", ready, 3)) != nil)
	is.Equal(r.Get("i").State, ready)
}

// A router that becomes the owner of hosts restarts their heartbeat timeouts.
func TestTakeOwnershipRestartsTimeouts(t *testing.T) {
	is := is.New(t)
	all := func(*Record) bool { return true }
	r := New(time.Second)
	r.Merge(0, []*message.Instance{instance("i", ready, 1)})
	r.TakeOwnership(10*time.Second, all)
	is.Equal(len(r.DetectLost(13*time.Second, all)), 0)
	is.Equal(len(r.DetectLost(14*time.Second, all)), 1)
}

// ChangedSince returns the hosts that changed after a revision, with the remaining time of their
// slow start.
func TestChangedSince(t *testing.T) {
	is := is.New(t)
	r := New(time.Second)
	cold := instance("c", ready, 1)
	cold.ColdRemainingMs = 1000
	r.Merge(0, []*message.Instance{cold})
	before := r.ServiceRevision("s")
	is.Equal(len(r.ChangedSince("s", before)), 0)
	r.Merge(400*time.Millisecond, []*message.Instance{instance("w", ready, 1)})
	is.Equal(len(r.ChangedSince("s", before)), 1)
	all := r.ChangedSince("s", 0)
	is.Equal(len(all), 2)
	is.Equal(all[0].ColdRemainingMs, uint32(600))
	is.Equal(cold.ColdRemainingMs, uint32(1000)) // the merged message is unchanged
	is.Equal(r.Services(), []string{"s"})
	is.Equal(r.ServiceRevision("other"), uint64(0))
}

// The registry deletes removed hosts after removedTTL and adds no host beyond MaxInstances.
func TestRegistryIsBounded(t *testing.T) {
	is := is.New(t)
	r := New(time.Second)
	for i := range 2 * minSweepSize {
		r.Merge(0, []*message.Instance{instance(fmt.Sprint(i), removed, 1)})
	}
	is.Equal(len(r.records), 2*minSweepSize)
	r.Merge(removedTTL+time.Second, []*message.Instance{instance("new", ready, 1)})
	is.Equal(len(r.records), 1)
	is.Equal(len(r.byService["s"]), 1)
	full := New(time.Second)
	for i := range MaxInstances {
		full.records[fmt.Sprint(i)] = &Record{Instance: instance(fmt.Sprint(i), ready, 1)}
	}
	is.Equal(len(full.Merge(0, []*message.Instance{instance("one more", ready, 1)})), 0)
	is.Equal(full.Heartbeat(0, instance("one more", ready, 1)), nil)
}

// A host that changes its service is listed only in its new service.
func TestHostChangesService(t *testing.T) {
	is := is.New(t)
	r := New(time.Second)
	r.Merge(0, []*message.Instance{instance("i", ready, 1)})
	next := proto.Clone(instance("i", ready, 2)).(*message.Instance)
	next.Service = "t"
	r.Merge(0, []*message.Instance{next})
	is.Equal(len(r.Records("s")), 0)
	is.Equal(len(r.Records("t")), 1)
}

// Records returns the hosts of a service sorted by id after each change, even if an earlier call
// cached the list.
func TestRecordsStaySorted(t *testing.T) {
	is := is.New(t)
	r := New(time.Second)
	ids := func(service string) (all []string) {
		for _, rec := range r.Records(service) {
			all = append(all, rec.Id)
		}
		return all
	}
	instance := func(id, service string, sequence uint64) *message.Instance {
		return &message.Instance{Id: id, Service: service, Sequence: sequence}
	}
	r.Merge(0, []*message.Instance{instance("b", "s", 1)})
	is.Equal(ids("s"), []string{"b"})
	before := r.ServiceRevision("s")
	r.Merge(0, []*message.Instance{instance("c", "s", 1), instance("a", "s", 1)})
	is.Equal(ids("s"), []string{"a", "b", "c"})
	is.True(r.ServiceRevision("s") > before)
	r.Merge(0, []*message.Instance{instance("b", "t", 2)}) // the host changes its service
	is.Equal(ids("s"), []string{"a", "c"})
	is.Equal(ids("t"), []string{"b"})
	r.Remove(0, "a")
	is.Equal(r.Records("s")[0].State, message.Instance_GONE)
	is.Equal(r.Len(), 3)
}
