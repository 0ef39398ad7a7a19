package shadow

// offer queues a copy, or drops it at once. An id that is in use is a mistake of the caller and
// ignored.
func (d *Decider) offer(e Offer) {
	if d.copies[e.Copy] != nil {
		return
	}
	d.count.Offered++
	c := &copyRecord{id: e.Copy, session: e.Session, bytes: int64(e.Bytes), since: d.now}
	switch {
	case d.closed:
		d.drop(c, Closing)
	case d.level != LevelCalm:
		d.drop(c, UnderPressure)
	case d.hosts == 0:
		d.drop(c, NoHosts)
	case d.awaitsTrial():
		d.drop(c, PoolDown)
	case d.bytes+c.bytes > d.config.Caps.Bytes:
		d.drop(c, OverBytes)
	case len(d.queue) >= d.config.Caps.Waiting && !d.startable(c):
		d.drop(c, OverQueue)
	default:
		d.copies[c.id] = c
		d.bytes += c.bytes
		d.queue = append(d.queue, c)
		d.startWaiting() // so that the queue has room for the next one
	}
}

// drop drops a copy that is in no list, and remembers its conversation.
func (d *Decider) drop(c *copyRecord, cause Cause) {
	d.count.Dropped[cause]++
	d.emit(Drop{c.id, cause})
	d.rememberGap(c.session)
}

// rememberGap remembers that a request of a conversation was dropped, in place of the oldest gap.
func (d *Decider) rememberGap(session uint64) {
	if d.gaps[session] {
		return
	}
	if len(d.gapRing) < maxGaps {
		d.gapRing = append(d.gapRing, session)
	} else {
		delete(d.gaps, d.gapRing[d.gapNext])
		d.gapRing[d.gapNext] = session
		d.gapNext = (d.gapNext + 1) % maxGaps
	}
	d.gaps[session] = true
}

// dropWaiting drops a copy in the queue.
func (d *Decider) dropWaiting(c *copyRecord, cause Cause) {
	d.queue = remove(d.queue, c)
	d.bytes -= c.bytes
	delete(d.copies, c.id)
	d.drop(c, cause)
}

// dropCause returns why a copy must not wait any longer, or "" where it may.
func (d *Decider) dropCause(c *copyRecord) Cause {
	switch {
	case d.closed:
		return Closing
	case d.level != LevelCalm:
		return UnderPressure
	case d.hosts == 0:
		return NoHosts
	case d.awaitsTrial():
		return PoolDown
	case d.now-c.since > d.config.Caps.MaxWait:
		if c.waitCause == "" {
			return UnderPressure // only the lack of a sample kept it waiting
		}
		return c.waitCause
	}
	return ""
}

// startWaiting starts copies of the queue in their order, as far as the caps allow.
func (d *Decider) startWaiting() {
	for len(d.queue) > 0 && d.startable(d.queue[0]) {
		c := d.queue[0]
		d.queue = d.queue[1:]
		d.start(c)
	}
}

// startable reports whether a copy may start now. A cap that keeps it waiting becomes its
// waitCause.
func (d *Decider) startable(c *copyRecord) bool {
	if d.closed || d.level != LevelCalm || d.hosts == 0 {
		return false
	}
	if d.sampledAt == 0 || d.sampleStale() || d.awaitsTrial() {
		return false
	}
	limit := d.config.Caps.InFlight
	if len(d.inFlight) >= limit || len(d.pairing) >= maxPairingFactor*limit {
		c.waitCause = OverInFlight
		return false
	}
	if !d.hasRateSlot() {
		c.waitCause = OverRate
		return false
	}
	return true
}

// start sends a copy; the first one to an ejected pool is its trial.
func (d *Decider) start(c *copyRecord) {
	d.rateSlots = append(d.rateSlots, rateSlot{copy: c.id})
	c.state, c.since = inFlight, d.now
	d.inFlight = append(d.inFlight, c)
	if d.ejected {
		d.trial = c
	}
	d.count.Started++
	d.emit(Start{c.id, d.gaps[c.session]})
}
