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
	gone     = message.Instance_GONE
)

func word(id string, state message.Instance_State, sequence uint64) *message.Instance {
	return &message.Instance{Id: id, Service: "s", Address: "10.0.0.1:80", Zone: "a", State: state, Sequence: sequence}
}

// A word replaces another only if it is further: gone after draining after ready or lost, of those two the later call.
func TestMerge(t *testing.T) {
	for _, c := range []struct {
		have, new *message.Instance
		taken     bool
	}{
		{nil, word("i", ready, 1), true},
		{word("i", ready, 1), word("i", ready, 1), false},
		{word("i", ready, 2), word("i", ready, 1), false},
		{word("i", ready, 1), word("i", ready, 2), true},
		{word("i", ready, 1), word("i", lost, 1), true},
		{word("i", lost, 1), word("i", ready, 1), false},
		{word("i", lost, 1), word("i", ready, 2), true},
		{word("i", ready, 9), word("i", draining, 1), true},
		{word("i", draining, 1), word("i", ready, 9), false},
		{word("i", draining, 1), word("i", lost, 9), false},
		{word("i", draining, 9), word("i", gone, 1), true},
		{word("i", gone, 1), word("i", draining, 9), false},
		{nil, word("", ready, 1), false},
	} {
		r := New(time.Second)
		if c.have != nil {
			r.Merge(0, []*message.Instance{c.have})
		}
		if got := len(r.Merge(0, []*message.Instance{c.new})) > 0; got != c.taken {
			t.Errorf("%v, then %v: taken %v", c.have, c.new, got)
		}
	}
}

// Words that come in any order, twice or in parts leave the same knowledge everywhere.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var words []*message.Instance
		for range 30 {
			words = append(words, word(fmt.Sprint(rng.IntN(4)), message.Instance_State(rng.IntN(4)), uint64(rng.IntN(5))))
		}
		one, other := New(time.Second), New(time.Second)
		one.Merge(0, words)
		shuffled := append(slices.Clone(words), words[:10]...)
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for _, w := range shuffled {
			other.Merge(0, []*message.Instance{w})
		}
		if diff := cmp.Diff(one.ChangedSince("s", 0), other.ChangedSince("s", 0), protocmp.Transform()); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// A host's own calls: only what changes anything is told to others, and a drain is never taken back.
func TestBeat(t *testing.T) {
	is := is.New(t)
	r := New(time.Second)
	is.True(r.Heartbeat(0, word("i", ready, 1)) != nil)
	is.Equal(r.Heartbeat(time.Second, word("i", ready, 2)), nil)
	moved := word("i", ready, 3)
	moved.Address = "10.0.0.2:80"
	is.True(r.Heartbeat(time.Second, moved) != nil)
	is.Equal(r.Heartbeat(time.Second, word("i", ready, 1)), nil) // late
	is.Equal(r.Get("i").Address, "10.0.0.2:80")
	is.True(r.Heartbeat(time.Second, word("i", draining, 4)) != nil)
	is.Equal(r.Heartbeat(time.Second, word("i", ready, 5)), nil)
	is.Equal(r.Get("i").State, draining)
	is.True(r.Remove(time.Second, "i") != nil)
	is.Equal(r.Remove(time.Second, "i"), nil)
	is.Equal(r.Heartbeat(time.Second, word("i", ready, 6)), nil)
	is.Equal(r.Get("i").State, gone)
	is.Equal(r.Remove(0, "nobody"), nil)
}

// A host that says nothing for three and a half intervals is lost at its home, and back with its next call.
func TestLose(t *testing.T) {
	is := is.New(t)
	all := func(*Record) bool { return true }
	r := New(time.Second)
	r.Heartbeat(0, word("i", ready, 1))
	r.Heartbeat(0, word("d", draining, 1))
	r.Heartbeat(2*time.Second, word("i", ready, 2)) // changes nothing, but it lives
	is.Equal(len(r.DetectLost(3*time.Second, all)), 0)
	is.Equal(len(r.DetectLost(4*time.Second, all)), 1)
	is.Equal(r.Get("d").State, gone)
	is.Equal(len(r.DetectLost(6*time.Second, func(*Record) bool { return false })), 0) // not its home
	is.Equal(len(r.DetectLost(6*time.Second, all)), 1)
	is.Equal(r.Get("i").State, lost)
	is.Equal(len(r.DetectLost(9*time.Second, all)), 0)
	is.True(r.Heartbeat(10*time.Second, word("i", ready, 3)) != nil)
	is.Equal(r.Get("i").State, ready)
}

// A router that becomes a home begins to count anew.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	all := func(*Record) bool { return true }
	r := New(time.Second)
	r.Merge(0, []*message.Instance{word("i", ready, 1)})
	r.TakeOwnership(10*time.Second, all)
	is.Equal(len(r.DetectLost(13*time.Second, all)), 0)
	is.Equal(len(r.DetectLost(14*time.Second, all)), 1)
}

// What changed after a revision, with the time that a host is still cold.
func TestSince(t *testing.T) {
	is := is.New(t)
	r := New(time.Second)
	cold := word("c", ready, 1)
	cold.ColdRemainingMs = 1000
	r.Merge(0, []*message.Instance{cold})
	before := r.ServiceRevision("s")
	is.Equal(len(r.ChangedSince("s", before)), 0)
	r.Merge(400*time.Millisecond, []*message.Instance{word("w", ready, 1)})
	is.Equal(len(r.ChangedSince("s", before)), 1)
	all := r.ChangedSince("s", 0)
	is.Equal(len(all), 2)
	is.Equal(all[0].ColdRemainingMs, uint32(600))
	is.Equal(cold.ColdRemainingMs, uint32(1000)) // the word itself stays
	is.Equal(r.Services(), []string{"s"})
	is.Equal(r.ServiceRevision("other"), uint64(0))
}

// Memory is bounded, and hosts that are gone are forgotten after a while.
func TestBounded(t *testing.T) {
	is := is.New(t)
	r := New(time.Second)
	for i := range 2 * minSweepSize {
		r.Merge(0, []*message.Instance{word(fmt.Sprint(i), gone, 1)})
	}
	is.Equal(len(r.records), 2*minSweepSize)
	r.Merge(removedTTL+time.Second, []*message.Instance{word("new", ready, 1)})
	is.Equal(len(r.records), 1)
	is.Equal(len(r.byService["s"]), 1)
	full := New(time.Second)
	for i := range MaxInstances {
		full.records[fmt.Sprint(i)] = &Record{Instance: word(fmt.Sprint(i), ready, 1)}
	}
	is.Equal(len(full.Merge(0, []*message.Instance{word("one more", ready, 1)})), 0)
	is.Equal(full.Heartbeat(0, word("one more", ready, 1)), nil)
}

// A service may change under an id.
func TestOtherService(t *testing.T) {
	is := is.New(t)
	r := New(time.Second)
	r.Merge(0, []*message.Instance{word("i", ready, 1)})
	next := proto.Clone(word("i", ready, 2)).(*message.Instance)
	next.Service = "t"
	r.Merge(0, []*message.Instance{next})
	is.Equal(len(r.Records("s")), 0)
	is.Equal(len(r.Records("t")), 1)
}

// The hosts of a service are in the order of their ids after each change, also where they were asked for before it.
func TestOrder(t *testing.T) {
	is := is.New(t)
	r := New(time.Second)
	ids := func(service string) (all []string) {
		for _, rec := range r.Records(service) {
			all = append(all, rec.Id)
		}
		return all
	}
	word := func(id, service string, sequence uint64) *message.Instance {
		return &message.Instance{Id: id, Service: service, Sequence: sequence}
	}
	r.Merge(0, []*message.Instance{word("b", "s", 1)})
	is.Equal(ids("s"), []string{"b"})
	before := r.ServiceRevision("s")
	r.Merge(0, []*message.Instance{word("c", "s", 1), word("a", "s", 1)})
	is.Equal(ids("s"), []string{"a", "b", "c"})
	is.True(r.ServiceRevision("s") > before)
	r.Merge(0, []*message.Instance{word("b", "t", 2)}) // a host that changed its service
	is.Equal(ids("s"), []string{"a", "c"})
	is.Equal(ids("t"), []string{"b"})
	r.Remove(0, "a")
	is.Equal(r.Records("s")[0].State, message.Instance_GONE)
	is.Equal(r.Len(), 3)
}
