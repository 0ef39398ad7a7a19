package shadow

// offer queues a copy or drops it at once. It ignores an ID that is in use, which is an error of the
// caller.
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
		d.startWaiting() // makes room in the queue for the next offer
	}
}

// drop drops a copy that is in none of the Decider's lists, and remembers that its conversation has
// a gap.
func (d *Decider) drop(c *copyRecord, cause Cause) {
	d.count.Dropped[cause]++
	d.emit(Drop{c.id, cause})
	d.rememberGap(c.session)
}

// rememberGap remembers that a request of a conversation was dropped. If maxGaps conversations are
// remembered already, it replaces the oldest.
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

// dropCause returns why a waiting copy must be dropped, or "" if it may continue to wait.
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
			return UnderPressure // no cap prevented the start; the copy waited for a sample
		}
		return c.waitCause
	}
	return ""
}

// startWaiting starts waiting copies in the order of the queue until one of them may not start.
func (d *Decider) startWaiting() {
	for len(d.queue) > 0 && d.startable(d.queue[0]) {
		c := d.queue[0]
		d.queue = d.queue[1:]
		d.start(c)
	}
}

// startable reports whether a copy may start now. If a cap prevents the start, startable stores the
// cap in waitCause.
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

// start starts a copy. A copy that starts while the pool is ejected is the trial.
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
