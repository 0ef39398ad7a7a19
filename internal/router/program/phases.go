package program

import (
	"fmt"
	"time"
)

// Phase is a named state of the program.
type Phase string

// The phases.
const (
	Starting    Phase = "starting"  // the router sets up its resources and answers no request
	Listing     Phase = "listing"   // the router is not ready because no server is listed
	Withheld    Phase = "withheld"  // as Listing, but the router drains as soon as a server is listed
	Serving     Phase = "serving"   // the router is ready
	Draining    Phase = "draining"  // the router is not ready, and each answer ends its connection, until the drain is lifted
	Terminating Phase = "leaving"   // after SIGTERM: the router still accepts clients, and each answer ends its connection
	Finishing   Phase = "finishing" // the router accepts no clients and answers the requests that it has accepted
	Stopped     Phase = "stopped"
)

// acceptSource says from which kinds of listener a phase accepts connections.
type acceptSource int

const (
	acceptNone      acceptSource = iota
	acceptExclusive              // only from a listener that no other process has: no other process could accept there
	acceptShared                 // also from an inherited listener: another process accepts the clients that this one cannot accept
)

// phasePolicy is how a phase treats clients. No other code decides any of this.
type phasePolicy struct {
	ready                  bool          // whether /-/ready and the management call check report that the router is ready
	acceptFrom             acceptSource  // the listeners from which new connections are accepted
	keepAlive              bool          // whether a connection stays open after an answer
	closeIdleAfter         time.Duration // the time into the phase from which idle connections are closed; 0 for never
	closeIdleAfterHandover time.Duration // replaces closeIdleAfter if the listener is inherited, so that another process may accept clients
	endAfterAnswer         bool          // whether, from that time on, every connection closes after its answer, even if the answer did not announce it
}

// immediately makes a phase close idle connections from its beginning; 0 would mean never.
const immediately = time.Nanosecond

var policies = map[Phase]phasePolicy{
	Starting:    {keepAlive: true},
	Listing:     {keepAlive: true, acceptFrom: acceptExclusive},
	Withheld:    {acceptFrom: acceptExclusive},
	Serving:     {keepAlive: true, acceptFrom: acceptShared, ready: true},
	Draining:    {acceptFrom: acceptShared, closeIdleAfter: closeIdleDelay, closeIdleAfterHandover: closeIdleDelay, endAfterAnswer: true},
	Terminating: {acceptFrom: acceptExclusive, closeIdleAfter: closeIdleDelay, closeIdleAfterHandover: immediately},
	Finishing:   {closeIdleAfter: immediately, closeIdleAfterHandover: immediately, endAfterAnswer: true},
	Stopped:     {},
}

const (
	// closeIdleDelay is the time that clients get to end their connections after an answer that
	// announces the end. If the router closes a connection, a request may already be on its way.
	closeIdleDelay = 500 * time.Millisecond
	// minIdleTime is how long a connection must have been silent before the router closes it as idle.
	minIdleTime = 150 * time.Millisecond
	// idleCheckInterval is the time between two checks for idle connections.
	idleCheckInterval = 100 * time.Millisecond
)

// phaseEvent is an event that leads from one phase to another. Error messages contain its text.
type phaseEvent string

const (
	listenerOpened phaseEvent = "opened"
	serversListed  phaseEvent = "listed" // a server is listed
	drainRequested phaseEvent = "drain-on"
	drainLifted    phaseEvent = "drain-off"
	terminated     phaseEvent = "SIGTERM"
	graceElapsed   phaseEvent = "time passed"
	requestsDone   phaseEvent = "emptied"
)

// transitions maps each phase to the events that it allows, and each event to the next phase.
var transitions = map[Phase]map[phaseEvent]Phase{
	Starting:    {listenerOpened: Listing},
	Listing:     {serversListed: Serving, drainRequested: Withheld, drainLifted: Listing, terminated: Terminating},
	Withheld:    {serversListed: Draining, drainRequested: Withheld, drainLifted: Listing, terminated: Terminating},
	Serving:     {drainRequested: Draining, drainLifted: Serving, terminated: Terminating},
	Draining:    {drainRequested: Draining, drainLifted: Serving, terminated: Terminating},
	Terminating: {graceElapsed: Finishing},
	Finishing:   {requestsDone: Stopped},
}

// advance enters the phase that an event leads to. If the current phase does not allow the event,
// advance returns an error and changes nothing. It does not wait for clients or for log lines.
func (p *Program) advance(event phaseEvent) (Phase, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, ok := transitions[p.phase][event]
	switch {
	case !ok:
		return p.phase, fmt.Errorf("%s is not possible while the router is %s", event, p.phase)
	case next != p.phase:
		p.enterPhase(next)
	}
	return next, nil
}

// enterPhase applies the policy of a phase and then queues the phase for the log. The caller must
// hold p.mu.
func (p *Program) enterPhase(next Phase) {
	p.phase = next
	d := policies[next]
	p.front.SetReady(d.ready)
	p.front.SetKeepAlive(d.keepAlive)
	if d.acceptFrom == acceptShared || d.acceptFrom == acceptExclusive && !p.inherited {
		if !p.accepting {
			p.accepting = true
			go func() { p.serveResult <- p.front.Serve(p.ln, p.inherited) }()
		}
	} else if p.accepting {
		p.front.StopAccepting()
	}
	if p.mirror != nil && next == Terminating {
		p.mirror.Shutdown()
	}
	p.leavePhase()
	p.leavePhase = func() {}
	after := d.closeIdleAfter
	if p.inherited {
		after = d.closeIdleAfterHandover
	}
	if after > 0 {
		leftPhase := make(chan struct{})
		p.leavePhase = func() { close(leftPhase) }
		idleTime := minIdleTime
		if p.mover != nil { // connections move to another process, so a close cannot cross a request
			idleTime = 0
		}
		go p.closeIdleConnections(after, idleTime, d.endAfterAnswer, leftPhase)
	}
	p.enteredPhases <- next
}

// closeIdleConnections closes connections that have been silent for idleTime. It starts after a
// delay and repeats the check until the phase ends.
func (p *Program) closeIdleConnections(after, idleTime time.Duration, endAfterAnswer bool, left <-chan struct{}) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	for {
		select {
		case <-left:
			return
		case <-timer.C:
		}
		p.mu.Lock()
		select {
		case <-left: // the phase has ended meanwhile, so its policy no longer applies
		default:
			if endAfterAnswer {
				p.front.CloseAfterAnswers()
			}
			p.front.CloseIdle(idleTime)
		}
		p.mu.Unlock()
		timer.Reset(idleCheckInterval)
	}
}

// maxQueuedPhases is the maximum number of entered phases that wait to be logged. If the queue is
// full, enterPhase blocks.
const maxQueuedPhases = 64

// logPhases logs each entered phase in order, until the channel enteredPhases is closed.
func (p *Program) logPhases(done chan<- struct{}) {
	defer close(done)
	for phase := range p.enteredPhases {
		p.log.Info("phase", "name", phase)
	}
}

// Phase returns the current phase of the program.
func (p *Program) Phase() Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase
}
