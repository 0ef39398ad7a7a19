package liveness

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// A view that is wrong for a second takes nobody out; bounds follow it at once, and rise again after it has held.
func TestAMomentTakesNobodyOut(t *testing.T) {
	g := New(4, 2*sec)
	if g.ConfirmedAlive(0) != 4 || g.Dead(1, 0) || g.Next(0) != 0 {
		t.Error("before the first view all are sure")
	}
	if g.Update(1, []int{0, 1, 2, 3, 9, -1}, sec) || g.ConfirmedAlive(sec) != 4 {
		t.Error("a view of all changes nothing")
	}
	if !g.Update(2, []int{0, 1}, 10*sec) || g.ConfirmedAlive(10*sec) != 2 || g.Dead(2, 11*sec) || g.Next(11*sec) != 12*sec {
		t.Error("two that are lost count in bounds at once, and are not gone yet")
	}
	if g.Update(2, []int{0}, 10*sec) {
		t.Error("a version twice")
	}
	if !g.Update(3, []int{0, 1, 2}, 11*sec) || g.ConfirmedAlive(12*sec) != 2 || g.Dead(2, 20*sec) || !g.Dead(3, 12*sec) || g.ConfirmedAlive(13*sec) != 3 {
		t.Error("one is back after a second: never gone, sure after two more")
	}
}

// Whatever views come, one that is sure is not gone, and nobody changes between now and Next.
func TestSureOrGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New(5, 2*sec)
		now := time.Duration(0)
		for v := range uint64(rapid.IntRange(1, 30).Draw(t, "views")) {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			before, next, sure := now, g.Next(now), g.ConfirmedAlive(now)
			if next > 0 && next <= before {
				t.Fatalf("next %v is over at %v", next, before)
			}
			if next == 0 && g.ConfirmedAlive(now+time.Hour) != sure || next > 0 && g.ConfirmedAlive(next-1) != sure {
				t.Fatalf("%d are sure at %v, and others before %v", sure, now, next)
			}
			g.Update(v+1, rapid.SliceOf(rapid.IntRange(-1, 6)).Draw(t, "living"), now)
			gone := 5 - g.NotDead(now)
			for i := range 5 {
				if g.Dead(i, now) {
					gone--
				}
			}
			if gone != 0 {
				t.Fatalf("%d are left, and %d more are gone than the others", g.NotDead(now), -gone)
			}
			gone = 5 - g.NotDead(now)
			if gone+g.ConfirmedAlive(now) > 5 {
				t.Fatalf("%d gone and %d sure of 5", gone, g.ConfirmedAlive(now))
			}
		}
	})
}
