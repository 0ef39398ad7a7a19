package chain

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// word is one that makes a state of some words larger than a part.
func word(letter string) string { return strings.Repeat(letter, partBytes) }

// exchange carries messages between two replicas, and back, until none is left; lose tells which to drop. It returns how many were
// snapshots' parts and how many brought entries.
func exchange(t *testing.T, a, b *Replica, from *Replica, effects []Effect, lose func(*coordpb.Message) bool) (parts, entries int) {
	t.Helper()
	type sent struct {
		from *Replica
		m    *coordpb.Message
	}
	var queue []sent
	take := func(r *Replica, effects []Effect) {
		for _, e := range effects {
			if s, ok := e.(Send); ok && (s.To == a.self.Address || s.To == b.self.Address) {
				queue = append(queue, sent{r, s.Message})
			}
		}
	}
	take(from, effects)
	for steps := 0; len(queue) > 0; steps++ {
		if steps > 1000 {
			t.Fatal("the two never come to an end")
		}
		s := queue[0]
		queue = queue[1:]
		if lose != nil && lose(s.m) {
			continue
		}
		if s.m.GetSnapshot() != nil {
			parts++
		}
		if s.m.GetEntries() != nil {
			entries++
		}
		to := a
		if s.from == a {
			to = b
		}
		got, _ := to.Receive(to.now, s.m)
		take(to, got)
	}
	return parts, entries
}

// outsider is member 2, which has the words given and takes no part in epoch 2: the chain is members 0 and 1.
func outsider(words ...string) (*Replica, *list) {
	r, l := replica(2, words...)
	r.Follow()
	r.Begin(time.Millisecond, chainOf(2, 0, 1))
	return r, l
}

// tailOf is member 1, the tail of epoch 2, with the words given.
func tailOf(t *testing.T, words ...string) (*Replica, *list) {
	t.Helper()
	r, l := replica(1, words...)
	r.Begin(time.Millisecond, chainOf(2, 0, 1))
	take(t, r, from(0, sync(2, uint64(len(words)), 1)))
	if !r.Readable() {
		t.Fatal("the tail has not begun its epoch")
	}
	return r, l
}

// grow has the tail take changes of the epoch.
func grow(t *testing.T, tail *Replica, words ...string) {
	t.Helper()
	for _, w := range words {
		take(t, tail, from(0, appendOf(2, tail.position.Sequence+1, tail.position.EntryEpoch, w)))
	}
}

// A process that takes no part in the chain gets the state ahead: by the changes that it lacks where these are known, else in parts.
func TestFollows(t *testing.T) {
	big := []string{word("a"), word("b"), word("c")}
	for name, c := range map[string]struct {
		has, tail, later []string
		parts            int
	}{
		"it has all":                      {[]string{"a"}, []string{"a"}, nil, 0},
		"it lacks two changes":            {[]string{"a"}, []string{"a"}, []string{"b", "c"}, 0},
		"it is empty":                     {nil, []string{"a"}, []string{"b"}, 1},
		"it is empty, the state is large": {nil, big, []string{"d"}, 4},
		"it lacks a large change":         {[]string{"a"}, []string{"a"}, []string{strings.Repeat("x", mostEntriesBytes+1), "y"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tail, all := tailOf(t, c.tail...)
			grow(t, tail, c.later...)
			follower, has := outsider(c.has...)
			parts, _ := exchange(t, follower, tail, follower, follower.Tick(time.Second), nil)
			is.True(slices.Equal(has.words, all.words))
			is.Equal(parts, c.parts)
			is.Equal(follower.Position().String(), tail.Position().String())
			is.True(follower.catch.begun == nil)
		})
	}
}

// A snapshot goes on with the part that is missing, also in a later epoch, from another member, and after changes that came meanwhile.
func TestPartsGoOn(t *testing.T) {
	is := is.New(t)
	big := []string{word("a"), word("b"), word("c"), word("d")}
	tail, all := tailOf(t, big...)
	follower, has := outsider()
	seen := 0
	exchange(t, follower, tail, follower, follower.Tick(time.Second), func(m *coordpb.Message) bool {
		if m.GetSnapshot() != nil {
			seen++
		}
		return seen > 2
	})
	is.Equal(len(follower.catch.begun.text), 2*partBytes)
	grow(t, tail, "e")
	parts, entries := exchange(t, follower, tail, follower, follower.Tick(2*time.Second), nil)
	is.Equal(parts, 3) // of five
	is.Equal(entries, 1)
	is.True(slices.Equal(has.words, all.words))
}

// In the chain the state of the member before is taken in parts as well; the member before is told that somebody behind goes on.
func TestChainGetsParts(t *testing.T) {
	is := is.New(t)
	before, all := tailOf(t, word("a"), word("b"))
	next := chainOf(3, 1, 2)
	after, has := replica(2)
	effects := before.Begin(time.Second, next)
	after.Begin(time.Second, next)
	progress := before.catch.progress
	parts, _ := exchange(t, before, after, before, effects, nil)
	is.Equal(parts, 3)
	is.True(slices.Equal(has.words, all.words))
	is.True(after.Readable())
	is.True(before.downSynced)
	is.True(before.catch.progress > progress)
}

// A large state may take long: the chain is stuck only where nothing goes on.
func TestStuckWithoutProgress(t *testing.T) {
	is := is.New(t)
	head, _ := replica(0, "a")
	head.Begin(0, chainOf(2, 0, 1, 2))
	at := stuckAfter
	for i := range 10 {
		head.Receive(at-time.Millisecond, from(1, &coordpb.Message{Body: &coordpb.Message_Syncing{Syncing: &coordpb.Syncing{Epoch: 2, Progress: uint64(i + 1)}}}))
		head.Tick(at)
		is.True(!head.Stuck())
		at += stuckAfter - 2*time.Millisecond
	}
	head.Receive(at, from(1, &coordpb.Message{Body: &coordpb.Message_Syncing{Syncing: &coordpb.Syncing{Epoch: 2, Progress: 10}}}))
	head.Tick(at + stuckAfter)
	is.True(head.Stuck())
}

// What has more than the chain keeps it: a change that was on its way when its epoch ended may still be taken.
func TestNothingOlderIsTaken(t *testing.T) {
	is := is.New(t)
	tail, _ := tailOf(t, "a")
	follower, has := outsider("a", "b", "c")
	follower.position.StateEpoch = 2
	parts, entries := exchange(t, follower, tail, follower, follower.Tick(time.Second), nil)
	is.Equal(parts+entries, 0)
	is.Equal(has.words, []string{"a", "b", "c"})
}

// A snapshot with a wrong sum is not taken, and asked for anew.
func TestWrongSum(t *testing.T) {
	is := is.New(t)
	tail, all := tailOf(t, word("a"))
	follower, has := outsider()
	spoilt := false
	exchange(t, follower, tail, follower, follower.Tick(time.Second), func(m *coordpb.Message) bool {
		if s := m.GetSnapshot(); s != nil && !spoilt {
			spoilt = true
			s.State = append([]byte("x"), s.State[1:]...)
		}
		return false
	})
	is.Equal(len(has.words), 0)
	exchange(t, follower, tail, follower, follower.Tick(3*time.Second), nil)
	is.True(slices.Equal(has.words, all.words))
}

// Who is sealed, or is of another epoch, neither asks nor takes anything.
func TestSealedDoesNotFollow(t *testing.T) {
	is := is.New(t)
	follower, has := outsider()
	follower.Seal()
	is.Equal(len(follower.Tick(time.Second)), 0)
	take(t, follower, from(1, &coordpb.Message{Body: &coordpb.Message_Entries{Entries: &coordpb.Entries{Epoch: 2, Position: &coordpb.Position{Sequence: 1, EntryEpoch: 1}, Ahead: true,
		Entries: []*coordpb.Entry{{Epoch: 1, Sequence: 1, Change: []byte("a")}}}}}))
	is.Equal(len(has.words), 0)
}

// What is kept for others is bounded in number and in bytes.
func TestRecentChangesAreBounded(t *testing.T) {
	is := is.New(t)
	var small, large recentChanges
	for i := range uint64(3 * mostRecent) {
		small.add(change{&coordpb.Entry{Sequence: i, Change: []byte("x")}, 1})
		large.add(change{&coordpb.Entry{Sequence: i, Change: make([]byte, mostRecentBytes/4)}, 1})
	}
	is.Equal(len(small.all), mostRecent)
	is.True(large.bytes <= mostRecentBytes)
	is.Equal(len(large.all), 4)
}
