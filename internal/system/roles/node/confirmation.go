package node

import (
	"time"

	"reachspread/internal/system/settings"
)

// The configuration is confirmed at a time if no newer one had been committed by then. The tail of
// the register knows that of its own; others learn it with updates of the configuration's topic.

// confirmationTTL is how long the configuration counts as confirmed here. When it is confirmed
// again after that, those that waited for it are notified.
const confirmationTTL = time.Second

// majorityContactTTL is how old a confirmation may be for its router to count as one that reaches a
// majority of the register, and so those that do.
const majorityContactTTL = 1600 * time.Millisecond

// confirmedWithin reports whether the configuration was confirmed within a time. It may be called
// by any goroutine.
func (h *hub) confirmedWithin(age time.Duration) bool {
	at := time.Duration(h.confirmedAt.Load())
	return at >= 0 && h.now()-at < age
}

// reachesMajority reports whether this router is known to reach a majority of the register. What an
// isolated router acknowledges would bind the others as well, and they would not learn of it.
func (h *hub) reachesMajority() bool { return h.confirmedWithin(majorityContactTTL) }

// confirmFromReplica confirms the configuration where this router's replica is the register's tail.
func (h *hub) confirmFromReplica() {
	replica := h.node.replica
	if replica == nil {
		return
	}
	if sequence, at, ok := replica.Confirmed(); ok {
		h.configuration.confirmAt(at.Sub(h.startedAt), sequence)
	}
}

// refreshConfirmation notifies the data plane and subscribers when the configuration is confirmed
// again: requests may wait for that.
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

// logUnconfirmed logs when nobody has confirmed the configuration for too long, and when somebody
// has again.
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
