package liveness

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// A view that is wrong for a second makes nobody dead; the number confirmed alive follows it at
// once, and rises again once it is stable.
func TestABriefViewMakesNobodyDead(t *testing.T) {
	tracker := New(4, 2*sec)
	if tracker.ConfirmedAlive(0) != 4 || tracker.Dead(1, 0) || tracker.Next(0) != 0 {
		t.Error("before the first view all are confirmed alive")
	}
	if tracker.Update(1, []int{0, 1, 2, 3, 9, -1}, sec) || tracker.ConfirmedAlive(sec) != 4 {
		t.Error("a view of all changes nothing")
	}
	if !tracker.Update(2, []int{0, 1}, 10*sec) || tracker.ConfirmedAlive(10*sec) != 2 || tracker.Dead(2, 11*sec) || tracker.Next(11*sec) != 12*sec {
		t.Error("two that are lost count at once, and are not dead yet")
	}
	if tracker.Update(2, []int{0}, 10*sec) {
		t.Error("a version twice")
	}
	if !tracker.Update(3, []int{0, 1, 2}, 11*sec) || tracker.ConfirmedAlive(12*sec) != 2 || tracker.Dead(2, 20*sec) || !tracker.Dead(3, 12*sec) || tracker.ConfirmedAlive(13*sec) != 3 {
		t.Error("one is back after a second: never dead, confirmed alive after two more")
	}
}

// Whatever views come, nobody is dead and confirmed alive at once, and nothing changes between now
// and Next.
func TestNobodyIsDeadAndAliveAndNothingChangesBeforeNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(5, 2*sec)
		now := time.Duration(0)
		for v := range uint64(rapid.IntRange(1, 30).Draw(t, "views")) {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			before, next, alive := now, tracker.Next(now), tracker.ConfirmedAlive(now)
			if next > 0 && next <= before {
				t.Fatalf("next %v is over at %v", next, before)
			}
			if next == 0 && tracker.ConfirmedAlive(now+time.Hour) != alive || next > 0 && tracker.ConfirmedAlive(next-1) != alive {
				t.Fatalf("%d are confirmed alive at %v, and others before %v", alive, now, next)
			}
			tracker.Update(v+1, rapid.SliceOf(rapid.IntRange(-1, 6)).Draw(t, "alive"), now)
			dead := 5 - tracker.NotDead(now)
			for i := range 5 {
				if tracker.Dead(i, now) {
					dead--
				}
			}
			if dead != 0 {
				t.Fatalf("%d are not dead, and %d more are dead than the others", tracker.NotDead(now), -dead)
			}
			dead = 5 - tracker.NotDead(now)
			if dead+tracker.ConfirmedAlive(now) > 5 {
				t.Fatalf("%d dead and %d confirmed alive of 5", dead, tracker.ConfirmedAlive(now))
			}
		}
	})
}
