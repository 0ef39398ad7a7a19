package routing

import "reachspread/balance"

// FleetView is this router's view of which routers of the fleet are alive.
type FleetView struct {
	Version uint64         // grows with each view
	Live    int            // number of live routers, including this one
	Peers   []balance.Peer // live routers that have a number, for the balancer; nil if the balancer gets no view
}

// SetFleetView queues a view for the next decision. The decision handles the view together with all
// pending events, so that it is never based partly on the previous view. A newer view replaces one
// that is still pending.
func (r *Router) SetFleetView(view FleetView) {
	r.mu.Lock()
	r.pendingView = &view
	r.mu.Unlock()
	r.signal()
}
