package node

import (
	"time"

	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
)

// endReplication gets the record that a host drains or ends to other routers and to disks, before
// the host's call is acknowledged. From the acknowledgement on, no router may send the host
// requests, even after all routers have lost power at once. So it waits until
//
//   - another router has the record,
//   - requiredCopies routers, which may include this one, have it on a disk, and
//   - one of the routers that have it reaches a majority of the register.
//
// With faultTolerance + 1 copies, the record survives a power failure of all machines even if as
// many disks as may fail at once are lost with it.
type endReplication struct {
	hub            *hub
	record         *instances.Record
	startedAt      time.Duration
	requiredCopies int
	copies         int           // routers that have the record on a disk
	handedOff      bool          // another router has the record
	majorityUntil  time.Duration // a router that has the record counts as reaching a majority until then
	done           func()        // nil once it was called
}

// acknowledgeEnd calls done once the end of a host may be acknowledged. It may never call done; the
// host then calls again.
func (h *hub) acknowledgeEnd(known *instances.Record, done func()) {
	if known.EndReplicated() && h.reachesMajority() {
		done()
		return
	}
	h.replicateEnd(known, done)
}

// replicateEnd replicates the record that a host drains or ends. A router that has never known any
// other only saves it.
func (h *hub) replicateEnd(known *instances.Record, done func()) {
	state := h.node.state
	if h.isStandalone() {
		if state == nil {
			done()
			return
		}
		state.ensureSaved(known.Revision(), done)
		return
	}
	targets := h.handoffTargets(known.Instance)
	r := &endReplication{hub: h, record: known, startedAt: h.now(), requiredCopies: h.requiredCopies(targets), done: done}
	for _, to := range targets {
		h.handOff(to.internal(), known.Instance, func(m *message.Taken) { r.handoffAcknowledged(to, m) })
	}
	if state != nil {
		state.ensureSaved(known.Revision(), r.saved)
	}
}

// requiredCopies returns how many of the targets and this router must have a record on a disk: one
// more than the machines that may fail at once, or all of those with a disk if they are fewer.
func (h *hub) requiredCopies(targets []router) int {
	disks := 0
	for _, r := range append(targets, h.node.self) {
		if r.hasDisk {
			disks++
		}
	}
	return min(h.node.settings().FaultTolerance.Machines+1, disks)
}

// handoffAcknowledged records that another router has the record. If that router has a disk, it has
// acknowledged the record once it was there.
func (r *endReplication) handoffAcknowledged(by router, m *message.Taken) {
	r.handedOff = true
	if by.hasDisk {
		r.copies++
	}
	if m.Connected {
		r.majorityUntil = r.hub.now() + majorityContactTTL
	}
	r.finish()
}

// saved records that this router has the record on its disk.
func (r *endReplication) saved() {
	r.copies++
	r.finish()
}

// finish calls done if enough routers have the record.
func (r *endReplication) finish() {
	reachesMajority := r.hub.reachesMajority() || r.hub.now() < r.majorityUntil
	if r.done == nil || !r.handedOff || r.copies < r.requiredCopies || !reachesMajority {
		return
	}
	done := r.done
	r.done = nil
	r.hub.registry.SetEndReplicated(r.record.Id, r.record.State)
	r.hub.node.log.Info("host end acknowledged", "host", r.record.Id, "service", r.record.Service, "state", r.record.State.String(),
		"on_disk", r.copies, "after", (r.hub.now() - r.startedAt).Round(time.Millisecond))
	done()
}
