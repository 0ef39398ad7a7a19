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
	if g.Sure(0) != 4 || g.Gone(1, 0) || g.Next(0) != 0 {
		t.Error("before the first view all are sure")
	}
	if g.Take(1, []int{0, 1, 2, 3, 9, -1}, sec) || g.Sure(sec) != 4 {
		t.Error("a view of all changes nothing")
	}
	if !g.Take(2, []int{0, 1}, 10*sec) || g.Sure(10*sec) != 2 || g.Gone(2, 11*sec) || g.Next(11*sec) != 12*sec {
		t.Error("two that are lost count in bounds at once, and are not gone yet")
	}
	if g.Take(2, []int{0}, 10*sec) {
		t.Error("a version twice")
	}
	if !g.Take(3, []int{0, 1, 2}, 11*sec) || g.Sure(12*sec) != 2 || g.Gone(2, 20*sec) || !g.Gone(3, 12*sec) || g.Sure(13*sec) != 3 {
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
			before, next, sure := now, g.Next(now), g.Sure(now)
			if next > 0 && next <= before {
				t.Fatalf("next %v is over at %v", next, before)
			}
			if next == 0 && g.Sure(now+time.Hour) != sure || next > 0 && g.Sure(next-1) != sure {
				t.Fatalf("%d are sure at %v, and others before %v", sure, now, next)
			}
			g.Take(v+1, rapid.SliceOf(rapid.IntRange(-1, 6)).Draw(t, "living"), now)
			gone := 5 - g.Left(now)
			for i := range 5 {
				if g.Gone(i, now) {
					gone--
				}
			}
			if gone != 0 {
				t.Fatalf("%d are left, and %d more are gone than the others", g.Left(now), -gone)
			}
			gone = 5 - g.Left(now)
			if gone+g.Sure(now) > 5 {
				t.Fatalf("%d gone and %d sure of 5", gone, g.Sure(now))
			}
		}
	})
}
