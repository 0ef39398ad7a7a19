package node

import (
	"time"

	"reachspread/coord/chain"
	"reachspread/internal/system/deciders/configuration"
)

// knownConfiguration is the newest configuration that this router has, with the register's
// sequence number of that state.
type knownConfiguration struct {
	sequence uint64
	state    *configuration.State
}

// known returns the newest configuration document that this router has and the register's sequence
// number of its state, or 0 if there is none. Any goroutine may call it.
func (h *hub) known() (sequence uint64, document []byte) {
	in := h.inForce.Load()
	if in == nil {
		return 0, nil
	}
	return in.sequence, in.state.JSON()
}

// committed installs a state that the register has committed.
func (h *hub) committed(c chain.Committed) {
	h.configuration.install(c.Position.Sequence, c.Value.(*configuration.State))
}

// configurationChanged puts a new configuration in force on this router and publishes it to
// subscribers.
func (h *hub) configurationChanged(state *configuration.State) {
	h.inForce.Store(&knownConfiguration{h.configuration.sequence, state})
	if err := h.node.plane.Configure(state); err != nil {
		h.node.log.Warn("configuration not in force", "version", state.Version(), "cause", err)
	}
	h.node.pins.observe(state.Pins().Revision, time.Now())
	h.sendAll(h.feed.Publish(h.now(), configurationTopic))
	h.resubscribe()
	for _, s := range state.Typed.Services {
		h.updateEndpoints(s.Name)
	}
}
