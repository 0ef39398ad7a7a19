package simulator

import (
	"slices"
	"time"

	"reachspread/balance"
	"reachspread/internal/rendezvous"
)

// View is how routers learn which of them live: each has a view of its own, which it gives its
// module.
type View struct {
	On    bool
	Late  time.Duration // from a death or a start until the others see it
	Wrong float64       // share of the living that a view misses in every other second, drawn anew for each router
	Split bool          // two halves, by the routers' numbers, that do not see each other though their words still arrive
}

// viewEvery is how often a router's view is looked at.
const viewEvery = 250 * time.Millisecond

// views gives each living router its view, where it has changed.
func (w *World) views() {
	for _, r := range w.routers {
		if !r.alive {
			continue
		}
		var living []balance.Peer
		for _, o := range w.routers {
			if w.sees(r, o) {
				living = append(living, balance.Peer{Number: o.n, Zone: o.zone})
			}
		}
		if !slices.Equal(living, r.sees) {
			r.sees = living
			r.viewed++
			r.take(balance.LivenessView{Version: r.viewed, Live: living})
		}
	}
	if w.now < w.s.Length || w.open > 0 {
		w.at(w.now+viewEvery, event{kind: viewsChange})
	}
}

// sees tells whether a router is in another's view.
func (w *World) sees(r, o *router) bool {
	v := &w.s.View
	if r == o {
		return true
	}
	if old := w.now >= o.changed+v.Late; o.changed > 0 && o.alive != old {
		return false // dead for long enough, or back for not as long yet
	}
	if v.Split && r.n%2 != o.n%2 {
		return false
	}
	second := uint64(w.now / time.Second)
	if second%2 == 1 && v.Wrong > 0 {
		drawn := rendezvous.Mix(w.s.Seed ^ rendezvous.Mix(uint64(r.n)<<40|uint64(o.n)<<20|second))
		return float64(drawn>>11)/(1<<53) >= v.Wrong
	}
	return true
}
