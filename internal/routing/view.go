package routing

import "reachspread/balance"

// FleetView is the routers of the fleet as this one sees them.
type FleetView struct {
	Version uint64         // grows with each view
	Live    int            // routers, this one among them
	Peers   []balance.Peer // those that have a number, for the decisions; nil where these are told nothing
}

// SetFleetView leaves a view for the decisions. They take it up with the events that are pending
// then, so that no decision is taken half on the view before. Only the last view counts.
func (r *Router) SetFleetView(view FleetView) {
	r.mu.Lock()
	r.pendingView = &view
	r.mu.Unlock()
	r.signal()
}
