package simulator

import (
	"slices"
	"time"

	"reachspread/balance"
	"reachspread/internal/rendezvous"
)

// View configures how routers learn which routers are alive. Each router has its own view and passes
// it to its decider.
type View struct {
	On    bool
	Late  time.Duration // time from a router's death or start until the other routers' views show it
	Wrong float64       // fraction of the live routers that a view lacks in every other second, drawn for each pair of routers and second
	Split bool          // routers with even and odd numbers do not see each other, although their messages still arrive
}

// viewInterval is the interval at which the routers' views are updated.
const viewInterval = 250 * time.Millisecond

// updateViews sends each live router its view if the view has changed.
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

// isVisible reports whether router o is in the view of router r.
func (w *World) isVisible(r, o *router) bool {
	v := &w.spec.View
	if r == o {
		return true
	}
	if old := w.now >= o.aliveChangedAt+v.Late; o.aliveChangedAt > 0 && o.alive != old {
		return false // o died at least Late ago, or restarted less than Late ago
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
