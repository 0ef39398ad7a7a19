package register

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// startAll starts all machines within 0.3 s of one another.
func (w *world) startAll() {
	for _, p := range w.nodes {
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, p.start)
	}
}

// traced has a world tell what happens, for a look at one schedule.
func traced(t *testing.T, w *world) *world {
	w.trace = t.Logf
	return w
}

// A calm start of three machines has one view, and nothing but orders happens then.
func TestCalm(t *testing.T) {
	is := is.New(t)
	w := traced(t, newWorld(1, 3, 1))
	w.startAll()
	w.client("c1").loop(100 * time.Millisecond)
	w.run(30 * time.Second)
	is.NoErr(w.fault)
	is.Equal(w.history.newest(), uint64(1))
	is.True(w.history.acknowledged > 100)
	is.True(w.history.read > 50)
}

// A machine that is gone for a while leaves the chain, and is back in it once it returns; neither makes more than one view.
func TestCrashAndReturn(t *testing.T) {
	for victim := range 3 {
		is := is.New(t)
		w := traced(t, newWorld(uint64(victim), 3, 1))
		w.startAll()
		w.client("c1").loop(50 * time.Millisecond)
		w.run(5 * time.Second)
		w.nodes[victim].crash()
		w.run(9 * time.Second)
		is.NoErr(w.fault)
		is.True(w.history.newest() <= 2)
		is.True(w.now-w.history.lastAck < time.Second)
		w.nodes[victim].start()
		w.run(13 * time.Second)
		is.NoErr(w.fault)
		t.Logf("%d views", w.history.newest())
		is.True(w.history.newest() <= 4)
		is.Equal(len(w.nodes[victim].core.View().Chain), 3)
	}
}
