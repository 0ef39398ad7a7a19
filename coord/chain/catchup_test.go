package chain

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// chunkOf returns a word as long as a chunk.
func chunkOf(letter string) string { return strings.Repeat(letter, chunkBytes) }

// exchange delivers messages between two replicas until none is left. It begins with the effects of
// replica from. If drop isn't nil, it drops each message for which drop returns true. It returns
// how many chunks of snapshots and how many messages with entries were delivered.
func exchange(t *testing.T, a, b *Replica, from *Replica, effects []Effect, drop func(*coordpb.Message) bool) (chunks, entries int) {
	t.Helper()
	type sent struct {
		from *Replica
		m    *coordpb.Message
	}
	var queue []sent
	enqueue := func(r *Replica, effects []Effect) {
		for _, e := range effects {
			if s, ok := e.(Send); ok && (s.To == a.self.Address || s.To == b.self.Address) {
				queue = append(queue, sent{r, s.Message})
			}
		}
	}
	enqueue(from, effects)
	for steps := 0; len(queue) > 0; steps++ {
		if steps > 1000 {
			t.Fatal("the two replicas still exchange messages after 1000 steps")
		}
		s := queue[0]
		queue = queue[1:]
		if drop != nil && drop(s.m) {
			continue
		}
		if s.m.GetSnapshot() != nil {
			chunks++
		}
		if s.m.GetEntries() != nil {
			entries++
		}
		to := a
		if s.from == a {
			to = b
		}
		got, _ := to.Receive(to.now, s.m)
		enqueue(to, got)
	}
	return chunks, entries
}

// newLearner returns member 2 as a learner in epoch 2, whose machine has some words. The chain of
// epoch 2 is members 0 and 1.
func newLearner(words ...string) (*Replica, *list) {
	r, l := replica(2, words...)
	r.FollowAsLearner()
	r.BeginEpoch(time.Millisecond, chainOf(2, 0, 1))
	return r, l
}

// newTail returns member 1 as the tail of epoch 2, whose machine has some words.
func newTail(t *testing.T, words ...string) (*Replica, *list) {
	t.Helper()
	r, l := replica(1, words...)
	r.BeginEpoch(time.Millisecond, chainOf(2, 0, 1))
	receive(t, r, from(0, sync(2, uint64(len(words)), 1)))
	if !r.Readable() {
		t.Fatal("the tail is not readable after a Sync with its own position")
	}
	return r, l
}

// appendChanges sends the tail a change of epoch 2 for each word.
func appendChanges(t *testing.T, tail *Replica, words ...string) {
	t.Helper()
	for _, w := range words {
		receive(t, tail, from(0, appendOf(2, tail.position.Sequence+1, tail.position.EntryEpoch, w)))
	}
}

// A learner receives the changes that it lacks if these are cached, otherwise a snapshot in chunks.
func TestLearnerCatchesUp(t *testing.T) {
	big := []string{chunkOf("a"), chunkOf("b"), chunkOf("c")}
	for name, c := range map[string]struct {
		has, tail, later []string
		chunks           int
	}{
		"it lacks nothing":                {[]string{"a"}, []string{"a"}, nil, 0},
		"it lacks two changes":            {[]string{"a"}, []string{"a"}, []string{"b", "c"}, 0},
		"it is empty":                     {nil, []string{"a"}, []string{"b"}, 1},
		"it is empty, the state is large": {nil, big, []string{"d"}, 4},
		"it lacks a large change":         {[]string{"a"}, []string{"a"}, []string{strings.Repeat("x", maxEntriesBytes+1), "y"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tail, all := newTail(t, c.tail...)
			appendChanges(t, tail, c.later...)
			learner, has := newLearner(c.has...)
			chunks, _ := exchange(t, learner, tail, learner, learner.Tick(time.Second), nil)
			is.True(slices.Equal(has.words, all.words))
			is.Equal(chunks, c.chunks)
			is.Equal(learner.Position().String(), tail.Position().String())
			is.True(learner.catchUp.incoming == nil)
		})
	}
}

// The transfer of a snapshot resumes at the missing chunk, even after further changes.
func TestSnapshotResumesAtMissingChunk(t *testing.T) {
	is := is.New(t)
	big := []string{chunkOf("a"), chunkOf("b"), chunkOf("c"), chunkOf("d")}
	tail, all := newTail(t, big...)
	learner, has := newLearner()
	seen := 0
	exchange(t, learner, tail, learner, learner.Tick(time.Second), func(m *coordpb.Message) bool {
		if m.GetSnapshot() != nil {
			seen++
		}
		return seen > 2
	})
	is.Equal(len(learner.catchUp.incoming.data), 2*chunkBytes)
	appendChanges(t, tail, "e")
	chunks, entries := exchange(t, learner, tail, learner, learner.Tick(2*time.Second), nil)
	is.Equal(chunks, 3) // of five chunks
	is.Equal(entries, 1)
	is.True(slices.Equal(has.words, all.words))
}

// A member of the chain also gets the state of its predecessor in chunks. The predecessor counts
// this as progress.
func TestChainMemberCatchesUpByChunks(t *testing.T) {
	is := is.New(t)
	predecessor, all := newTail(t, chunkOf("a"), chunkOf("b"))
	next := chainOf(3, 1, 2)
	successor, has := replica(2)
	effects := predecessor.BeginEpoch(time.Second, next)
	successor.BeginEpoch(time.Second, next)
	progress := predecessor.catchUp.progress
	chunks, _ := exchange(t, predecessor, successor, predecessor, effects, nil)
	is.Equal(chunks, 3)
	is.True(slices.Equal(has.words, all.words))
	is.True(successor.Readable())
	is.True(predecessor.successorsSynced)
	is.True(predecessor.catchUp.progress > progress)
}

// The transfer of a large state may take long. The chain counts as stalled only while no progress
// is made.
func TestStalledOnlyWithoutProgress(t *testing.T) {
	is := is.New(t)
	head, _ := replica(0, "a")
	head.BeginEpoch(0, chainOf(2, 0, 1, 2))
	at := stallTimeout
	for i := range 10 {
		head.Receive(at-time.Millisecond, from(1, &coordpb.Message{Body: &coordpb.Message_Syncing{Syncing: &coordpb.Syncing{Epoch: 2, Progress: uint64(i + 1)}}}))
		head.Tick(at)
		is.True(!head.Stalled())
		at += stallTimeout - 2*time.Millisecond
	}
	head.Receive(at, from(1, &coordpb.Message{Body: &coordpb.Message_Syncing{Syncing: &coordpb.Syncing{Epoch: 2, Progress: 10}}}))
	head.Tick(at + stallTimeout)
	is.True(head.Stalled())
}

// A learner that is ahead of the chain keeps its state, because a change that was in flight when
// its epoch ended may still be committed.
func TestLearnerAheadKeepsItsState(t *testing.T) {
	is := is.New(t)
	tail, _ := newTail(t, "a")
	learner, has := newLearner("a", "b", "c")
	learner.position.StateEpoch = 2
	chunks, entries := exchange(t, learner, tail, learner, learner.Tick(time.Second), nil)
	is.Equal(chunks+entries, 0)
	is.Equal(has.words, []string{"a", "b", "c"})
}

// A learner drops a snapshot with a wrong checksum and requests it again.
func TestSnapshotWithWrongChecksumIsFetchedAgain(t *testing.T) {
	is := is.New(t)
	tail, all := newTail(t, chunkOf("a"))
	learner, has := newLearner()
	corrupted := false
	exchange(t, learner, tail, learner, learner.Tick(time.Second), func(m *coordpb.Message) bool {
		if s := m.GetSnapshot(); s != nil && !corrupted {
			corrupted = true
			s.State = append([]byte("x"), s.State[1:]...)
		}
		return false
	})
	is.Equal(len(has.words), 0)
	exchange(t, learner, tail, learner, learner.Tick(3*time.Second), nil)
	is.True(slices.Equal(has.words, all.words))
}

// A sealed learner neither requests nor accepts state.
func TestSealedLearnerTakesNothing(t *testing.T) {
	is := is.New(t)
	learner, has := newLearner()
	learner.Seal()
	is.Equal(len(learner.Tick(time.Second)), 0)
	receive(t, learner, from(1, &coordpb.Message{Body: &coordpb.Message_Entries{Entries: &coordpb.Entries{Epoch: 2, Position: &coordpb.Position{Sequence: 1, EntryEpoch: 1}, Ahead: true,
		Entries: []*coordpb.Entry{{Epoch: 1, Sequence: 1, Change: []byte("a")}}}}}))
	is.Equal(len(has.words), 0)
}

// The cached changes are limited in number and in bytes.
func TestRecentChangesAreBounded(t *testing.T) {
	is := is.New(t)
	var small, large recentChanges
	for i := range uint64(3 * maxRecentChanges) {
		small.add(recentChange{&coordpb.Entry{Sequence: i, Change: []byte("x")}, 1})
		large.add(recentChange{&coordpb.Entry{Sequence: i, Change: make([]byte, maxRecentBytes/4)}, 1})
	}
	is.Equal(len(small.all), maxRecentChanges)
	is.True(large.bytes <= maxRecentBytes)
	is.Equal(len(large.all), 4)
}
