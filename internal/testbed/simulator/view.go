package simulator

import (
	"slices"
	"time"

	"reachspread/balance"
	"reachspread/internal/rendezvous"
)

// View configures how routers learn which of them live: each has a view of its own, which it passes
// to its decider.
type View struct {
	On    bool
	Late  time.Duration // from a death or a start until the others see it
	Wrong float64       // fraction of the living that a view misses in every other second, drawn anew for each router
	Split bool          // two halves, by the routers' numbers, that do not see each other though their words still arrive
}

// viewInterval is how often a router's view is looked at.
const viewInterval = 250 * time.Millisecond

// updateViews gives each living router its view, where it has changed.
func (w *World) updateViews() {
	for _, r := range w.routers {
		if !r.alive {
			continue
		}
		var living []balance.Peer
		for _, o := range w.routers {
			if w.isVisible(r, o) {
				living = append(living, balance.Peer{Number: o.number, Zone: o.zone})
			}
		}
		if !slices.Equal(living, r.view) {
			r.view = living
			r.viewVersion++
			r.enqueue(balance.LivenessView{Version: r.viewVersion, Live: living})
		}
	}
	if w.now < w.spec.Length || w.openRequests > 0 {
		w.schedule(w.now+viewInterval, event{kind: viewsChange})
	}
}

// isVisible reports whether a router is in another's view.
func (w *World) isVisible(r, o *router) bool {
	v := &w.spec.View
	if r == o {
		return true
	}
	if old := w.now >= o.aliveChangedAt+v.Late; o.aliveChangedAt > 0 && o.alive != old {
		return false // dead for long enough, or back for not as long yet
	}
	if v.Split && r.number%2 != o.number%2 {
		return false
	}
	second := uint64(w.now / time.Second)
	if second%2 == 1 && v.Wrong > 0 {
		drawn := rendezvous.Mix(w.spec.Seed ^ rendezvous.Mix(uint64(r.number)<<40|uint64(o.number)<<20|second))
		return float64(drawn>>11)/(1<<53) >= v.Wrong
	}
	return true
}
