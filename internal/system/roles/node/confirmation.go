package node

import (
	"time"

	"reachspread/internal/system/settings"
)

// The configuration is confirmed as of a time if no newer one had been committed by that time. The
// tail of the register knows this by itself. Other routers learn it from updates of the
// configuration topic.

// confirmationTTL is how long the configuration counts as confirmed on this router after a
// confirmation. If the next confirmation comes later than that, the hub notifies the data plane
// and the subscribers, because requests may wait for it.
const confirmationTTL = time.Second

// majorityContactTTL is the maximum age of a confirmation for this router to count as reaching a
// majority of the register.
const majorityContactTTL = 1600 * time.Millisecond

// confirmedWithin reports whether the configuration was confirmed less than the given age ago. Any
// goroutine may call it.
func (h *hub) confirmedWithin(age time.Duration) bool {
	at := time.Duration(h.confirmedAt.Load())
	return at >= 0 && h.now()-at < age
}

// reachesMajority reports whether this router is known to reach a majority of the register. An
// isolated router must not acknowledge changes: its acknowledgement would bind the other routers,
// and they would not learn of it.
func (h *hub) reachesMajority() bool { return h.confirmedWithin(majorityContactTTL) }

// confirmFromReplica confirms the configuration if this router's replica is the tail of the
// register.
func (h *hub) confirmFromReplica() {
	replica := h.node.replica
	if replica == nil {
		return
	}
	if sequence, at, ok := replica.Confirmed(); ok {
		h.configuration.confirmAt(at.Sub(h.startedAt), sequence)
	}
}

// refreshConfirmation notifies the data plane and the subscribers when the configuration becomes
// confirmed again, because requests may wait for that.
func (h *hub) refreshConfirmation() {
	at := h.configuration.confirmedAt
	h.confirmedAt.Store(int64(at))
	confirmed := at >= 0 && h.now()-at < confirmationTTL
	if confirmed && !h.wasConfirmed {
		h.node.plane.Refreshed()
		h.sendAll(h.feed.PublishConfirmation(h.now(), configurationTopic))
	}
	h.wasConfirmed = confirmed
	h.logUnconfirmed()
}

// logUnconfirmed logs once when the configuration has not been confirmed for
// bounds.configurationApplyMs, and once when it is confirmed again.
func (h *hub) logUnconfirmed() {
	bound := settings.Milliseconds(h.node.settings().Bounds.ConfigurationApplyMs)
	if h.configuration.state == nil || bound == 0 {
		return
	}
	age := h.now() - h.configuration.confirmedAt
	version := h.configuration.state.Version()
	switch {
	case !h.unconfirmedLogged && age >= bound:
		h.unconfirmedLogged = true
		h.node.log.Warn("configuration unconfirmed", "version", version, "from", h.feed.Source(configurationTopic, ""))
	case h.unconfirmedLogged && h.wasConfirmed:
		h.unconfirmedLogged = false
		h.node.log.Info("configuration confirmed", "version", version)
	}
}
