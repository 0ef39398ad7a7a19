package program

import (
	"fmt"
	"time"
)

// Phase is a named state of the program.
type Phase string

// The phases.
const (
	Starting    Phase = "starting"  // resources are set up, nothing is answered
	Listing     Phase = "listing"   // not ready: no server is listed
	Withheld    Phase = "withheld"  // the same, and clients are to be sent away once there is one
	Serving     Phase = "serving"   // ready
	Draining    Phase = "draining"  // clients are sent away, until they are taken again
	Terminating Phase = "leaving"   // SIGTERM came: each answer ends its connection
	Finishing   Phase = "finishing" // accepting no more, answering what was taken
	Stopped     Phase = "stopped"
)

// acceptSource is the listener from which a phase accepts connections.
type acceptSource int

const (
	acceptNone      acceptSource = iota
	acceptExclusive              // one that this process alone has: nobody else would answer there
	acceptShared                 // also an inherited one: the other process takes what this one can't
)

// phasePolicy is how a phase treats clients. Nothing else decides on any of it.
type phasePolicy struct {
	ready                  bool          // /-/ready and the management call check answer yes
	acceptFrom             acceptSource  // new connections
	keepAlive              bool          // a connection outlives its answer
	closeIdleAfter         time.Duration // into the phase, from when on idle connections are closed; 0 for never
	closeIdleAfterHandover time.Duration // the same where another process takes clients meanwhile
	endAfterAnswer         bool          // from then on no connection outlives its answer, also where the client could not be notified
}

// immediately is for phases that close silent connections from their beginning on.
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
	// closeIdleDelay gives clients the time to go by themselves, with an answer that ends their
	// connection. A close from this side may cross a request.
	closeIdleDelay = 500 * time.Millisecond
	// minIdleTime is how long a connection must have been silent to be closed then, and lookEvery
	// how often that is seen to.
	minIdleTime       = 150 * time.Millisecond
	idleCheckInterval = 100 * time.Millisecond
)

// phaseEvent leads from one phase to another. Its text is part of error messages.
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

// transitions has the events that each phase allows, and the phase that each leads to.
var transitions = map[Phase]map[phaseEvent]Phase{
	Starting:    {listenerOpened: Listing},
	Listing:     {serversListed: Serving, drainRequested: Withheld, drainLifted: Listing, terminated: Terminating},
	Withheld:    {serversListed: Draining, drainRequested: Withheld, drainLifted: Listing, terminated: Terminating},
	Serving:     {drainRequested: Draining, drainLifted: Serving, terminated: Terminating},
	Draining:    {drainRequested: Draining, drainLifted: Serving, terminated: Terminating},
	Terminating: {graceElapsed: Finishing},
	Finishing:   {requestsDone: Stopped},
}

// advance enters the phase that an event leads to. An event that the present phase does not allow
// is an error and changes nothing. It waits for no client and no log line.
func (p *Program) advance(what phaseEvent) (Phase, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, ok := transitions[p.phase][what]
	switch {
	case !ok:
		return p.phase, fmt.Errorf("%s is not possible while the router is %s", what, p.phase)
	case next != p.phase:
		p.enterPhase(next)
	}
	return next, nil
}

// enterPhase applies the policy of a phase before the phase is logged. The caller holds the lock.
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
		quiet := minIdleTime
		if p.mover != nil { // nothing is closed that could cross a request
			quiet = 0
		}
		go p.closeIdleConnections(after, quiet, d.endAfterAnswer, leftPhase)
	}
	p.enteredPhases <- next
}

// closeIdleConnections closes idle connections, after a delay, until the phase is left.
func (p *Program) closeIdleConnections(after, quiet time.Duration, endAfterAnswer bool, left <-chan struct{}) {
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
		case <-left: // and another phase says otherwise
		default:
			if endAfterAnswer {
				p.front.CloseAfterAnswers()
			}
			p.front.CloseIdle(quiet)
		}
		p.mu.Unlock()
		timer.Reset(idleCheckInterval)
	}
}

// maxQueuedPhases bounds the phases whose log lines wait to be written; beyond it the caller waits.
const maxQueuedPhases = 64

// logPhases writes a log line for each phase, in their order, until no more come.
func (p *Program) logPhases(done chan<- struct{}) {
	defer close(done)
	for phase := range p.enteredPhases {
		p.log.Info("phase", "name", phase)
	}
}

// Phase returns the state that the program is in.
func (p *Program) Phase() Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase
}
