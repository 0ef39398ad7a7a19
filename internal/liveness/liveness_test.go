package liveness

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// A view that is wrong for a second makes no member dead. The number of members confirmed alive falls
// at once, and rises again after the stability delay.
func TestABriefViewMakesNobodyDead(t *testing.T) {
	tracker := New(4, 2*sec)
	if tracker.ConfirmedAlive(0) != 4 || tracker.Dead(1, 0) || tracker.Next(0) != 0 {
		t.Error("before the first view, all members must be confirmed alive")
	}
	if tracker.Update(1, []int{0, 1, 2, 3, 9, -1}, sec) || tracker.ConfirmedAlive(sec) != 4 {
		t.Error("a view of all members must change nothing")
	}
	if !tracker.Update(2, []int{0, 1}, 10*sec) || tracker.ConfirmedAlive(10*sec) != 2 || tracker.Dead(2, 11*sec) || tracker.Next(11*sec) != 12*sec {
		t.Error("two lost members must stop being confirmed alive at once, and must not be dead yet")
	}
	if tracker.Update(2, []int{0}, 10*sec) {
		t.Error("a view with the version of the last one must be ignored")
	}
	if !tracker.Update(3, []int{0, 1, 2}, 11*sec) || tracker.ConfirmedAlive(12*sec) != 2 || tracker.Dead(2, 20*sec) || !tracker.Dead(3, 12*sec) || tracker.ConfirmedAlive(13*sec) != 3 {
		t.Error("a member that returns after a second must never be dead, and be confirmed alive two seconds later")
	}
}

// With any sequence of views, no member is both dead and confirmed alive, and the number of members
// confirmed alive does not change before Next.
func TestNobodyIsDeadAndAliveAndNothingChangesBeforeNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(5, 2*sec)
		now := time.Duration(0)
		for v := range uint64(rapid.IntRange(1, 30).Draw(t, "views")) {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			before, next, alive := now, tracker.Next(now), tracker.ConfirmedAlive(now)
			if next > 0 && next <= before {
				t.Fatalf("Next returned %v at %v, want a later time", next, before)
			}
			if next == 0 && tracker.ConfirmedAlive(now+time.Hour) != alive || next > 0 && tracker.ConfirmedAlive(next-1) != alive {
				t.Fatalf("%d members are confirmed alive at %v, but another number before %v, which Next returned", alive, now, next)
			}
			tracker.Update(v+1, rapid.SliceOf(rapid.IntRange(-1, 6)).Draw(t, "alive"), now)
			dead := 5 - tracker.NotDead(now)
			for i := range 5 {
				if tracker.Dead(i, now) {
					dead--
				}
			}
			if dead != 0 {
				t.Fatalf("NotDead returned %d of 5, but Dead is true for %d more members than the others", tracker.NotDead(now), -dead)
			}
			dead = 5 - tracker.NotDead(now)
			if dead+tracker.ConfirmedAlive(now) > 5 {
				t.Fatalf("%d members are dead and %d are confirmed alive, want at most 5 together", dead, tracker.ConfirmedAlive(now))
			}
		}
	})
}
