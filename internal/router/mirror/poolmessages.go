package mirror

import (
	"errors"
	"time"

	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
)

// message is an event or a request for the pool's goroutine.
type message struct {
	event       shadow.Event
	copied      *shadowCopy      // the copy, if event is an Offer
	grantReply  chan<- bool      // for the reply, if event is an AttemptRequest; must have a free buffer slot
	statusReply chan<- Status    // set in place of event: asks for the status
	apply       *appliedSettings // set in place of event: applies settings
}

// appliedSettings holds the settings of a pool that Mirror.Apply applies.
type appliedSettings struct {
	pool        settings.Pool
	sink        *sink
	recordTexts bool
}

// offer passes a copy to the pool's goroutine. It reports false if maxOffers are pending or the pool
// has ended. It does not block.
func (p *pool) offer(c *shadowCopy) bool {
	p.mu.Lock()
	if p.ended || p.offers >= maxOffers {
		p.mu.Unlock()
		p.busy.Add(1)
		return false
	}
	p.offers++
	p.pending = append(p.pending, message{copied: c, event: shadow.Offer{Copy: c.id, Session: c.session,
		Bytes: len(c.request.Message.Body())}})
	p.mu.Unlock()
	p.wakeUp()
	return true
}

// post passes a message to the pool's goroutine. After that goroutine has ended, post denies an
// attempt request at once and drops any other message.
func (p *pool) post(m message) {
	p.mu.Lock()
	ended := p.ended
	if !ended {
		p.pending = append(p.pending, m)
	}
	p.mu.Unlock()
	switch {
	case !ended:
		p.wakeUp()
	case m.grantReply != nil:
		m.grantReply <- false
	}
}

func (p *pool) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// step handles a batch of messages and carries out the actions that the decider returns.
func (p *pool) step(batch []message) {
	events, grants := p.handle(batch)
	for _, action := range p.decider.Step(time.Since(p.start), events) {
		if granted, ok := action.(shadow.AttemptGranted); ok {
			grants[0] <- granted.OK // the decider answers the requests in their order
			grants = grants[1:]
			continue
		}
		p.carryOut(action)
	}
	underPressure := p.decider.Level() != shadow.LevelCalm
	if underPressure != p.underPressure {
		p.underPressure = underPressure
		p.servers.KeepIdle(!underPressure) // under pressure, the descriptors of idle connections may be lent to known clients
	}
}

// handle answers the status requests of a batch and applies its settings. It returns the events for
// the decider and the reply channels of the attempt requests.
func (p *pool) handle(batch []message) (events []shadow.Event, grants []chan<- bool) {
	for _, m := range batch {
		switch {
		case m.apply != nil:
			events = append(events, p.applySettings(m.apply)...)
			continue
		case m.statusReply != nil:
			m.statusReply <- p.status(p.activeSettings)
			continue
		case m.copied != nil:
			p.copies[m.copied.id] = m.copied
		case m.grantReply != nil:
			grants = append(grants, m.grantReply)
		}
		if _, ok := m.event.(shadow.Close); ok {
			p.closing = true
		}
		events = append(events, m.event)
	}
	return events, grants
}

// applySettings applies settings and returns the events that report them to the decider.
func (p *pool) applySettings(applied *appliedSettings) []shadow.Event {
	p.activeSettings, p.sink, p.recordTexts = applied.pool, applied.sink, applied.recordTexts
	events := []shadow.Event{shadow.Reconfigure{Config: applied.pool.Decider}}
	if p.applyHosts(applied.pool) {
		events = append(events, shadow.HostsChanged{Serving: p.router.ServingCount()})
	}
	return events
}

// carryOut carries out an action other than AttemptGranted.
func (p *pool) carryOut(action shadow.Action) {
	switch a := action.(type) {
	case shadow.Start:
		p.startCopy(p.copies[a.Copy], a.HistoryGap)
	case shadow.Drop:
		p.forget(a.Copy)
	case shadow.Cancel:
		p.copies[a.Copy].cancel()
	case shadow.Record:
		p.record(p.copies[a.Copy], a)
		p.forget(a.Copy)
	case shadow.PoolEjected:
		p.log.Warn("shadow pool ejected", "failures", a.Failures, "retry", a.Retry.Round(time.Millisecond))
	case shadow.PoolRecovered:
		p.log.Info("shadow pool recovered")
	}
}

// forget removes a copy after its Drop or Record.
func (p *pool) forget(id uint64) {
	p.copies[id].live.copiesWaiting.Add(-1)
	delete(p.copies, id)
}

// requestStatus asks the pool's goroutine for the pool's status. It fails after statusTimeout.
func (p *pool) requestStatus() (Status, error) {
	reply := make(chan Status, 1)
	p.post(message{statusReply: reply})
	select {
	case s := <-reply:
		return s, nil
	case <-time.After(statusTimeout):
		return Status{}, errors.New("the pool " + p.name + " does not answer")
	}
}
