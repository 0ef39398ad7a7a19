package decayed

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestLine(t *testing.T) {
	var l Line
	if got := l.Slope(2); got != 2 {
		t.Errorf("slope without observations: got %v, want the guess 2", got)
	}
	for range 1000 {
		l.Add(3, 9)
	}
	for range 1000 {
		l.Add(3, 12)
	}
	if got := l.Slope(2); math.Abs(got-4) > 0.001 {
		t.Errorf("old observations still count: slope %v, want 4", got)
	}
	if l.Add(1, 1e9); l.Slope(2) != 20 {
		t.Errorf("slope above the bound: got %v, want 20", l.Slope(2))
	}
}

// Rare names are dropped, and Counts never holds more names than twice its limit.
func TestCounts(t *testing.T) {
	c := Counts{Limit: 100}
	for i := range 10000 {
		c.Add(fmt.Sprint("rare", i))
		c.Add("often")
		c.Add("")
		if len(c.counts) > 200 || c.total > 101 {
			t.Fatalf("Counts holds %d names and a total of %v, want at most 200 and 101", len(c.counts), c.total)
		}
	}
	if often, rare := c.Share("often", 0), c.Share("rare1", 0); math.Abs(often-1.0/3) > 0.02 || rare != 0 {
		t.Errorf("share of a frequent name %v, of a rare name %v, want 1/3 and 0", often, rare)
	}
	if got := c.Share("often", c.total); math.Abs(got-1.0/6) > 0.01 {
		t.Errorf("share with as many unseen occurrences: got %v, want 1/6", got)
	}
}

func TestMemory(t *testing.T) {
	m := Memory{Limit: 3, TTL: time.Minute}
	for i, name := range []string{"a", "b", "", "c", "d"} {
		m.Put(name, time.Duration(i+1)*time.Second, float64(i))
	}
	if m.Len() != 3 || m.Get("c", 0) != 3 || m.Get("d", 0) != 0 {
		t.Errorf("a memory full of fresh entries must ignore a new name: %+v", m)
	}
	m.Put("b", 50*time.Second, 9)
	m.Put("d", 70*time.Second, 8)
	if m.Len() != 2 || m.Get("a", 0) != 0 || m.Get("b", 0) != 9 || m.Get("d", 0) != 8 {
		t.Errorf("a full memory must drop its expired entries for a new name: %+v", m)
	}
	if m.Get("b", 50*time.Second) != 0 {
		t.Error("Get returns a value that was not put after the given time")
	}
	if m.Drop("b", "d"); m.Len() != 0 {
		t.Errorf("names are left after Drop: %+v", m)
	}
}

// A sum that is younger than its span is extrapolated to a whole span. With a steady rate of terms, At
// returns the rate times the span from the age MinAge on.
func TestSum(t *testing.T) {
	s := Sum{Span: 5 * time.Second, MinAge: time.Second}
	if s.At(time.Hour) != 0 {
		t.Error("the estimate of an empty sum is not 0")
	}
	at := time.Hour
	for range 2000 { // terms of 0.02 each 10 ms add 2 per second
		s.Add(at, 0.02)
		at += 10 * time.Millisecond
		if got := s.At(at); at >= time.Hour+time.Second && (got < 9.9 || got > 10.3) {
			t.Fatalf("sum %v after its first term: got %.2f, want the 10 of a whole span", at-time.Hour, got)
		}
	}
	if got := s.At(at + 10*time.Second); got < 1.3 || got > 1.5 {
		t.Errorf("sum two spans after its last term: got %.2f, want 10/e^2", got)
	}
}
