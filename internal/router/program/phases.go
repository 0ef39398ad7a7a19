package program

import (
	"fmt"
	"time"
)

// Phase is a named state of the program.
type Phase string

// The phases.
const (
	Starting  Phase = "starting"  // resources are set up, nothing is answered
	Listing   Phase = "listing"   // not ready: no server is listed
	Withheld  Phase = "withheld"  // the same, and clients are to be sent away once there is one
	Serving   Phase = "serving"   // ready
	Draining  Phase = "draining"  // clients are sent away, until they are taken again
	Leaving   Phase = "leaving"   // SIGTERM came: each answer ends its connection
	Finishing Phase = "finishing" // accepting no more, answering what was taken
	Stopped   Phase = "stopped"
)

// accepting says from which listener a phase accepts connections.
type acceptSource int

const (
	acceptNone acceptSource = iota
	acceptOwn               // one that this process opened; nobody else would answer there
	acceptAny               // an inherited one, too: others have it, and take what this process can't
)

// duties is what a phase says of the clients' side. Nothing else decides on any of it.
type phasePolicy struct {
	ready                  bool          // /-/ready and the call check say yes
	acceptFrom             acceptSource  // new connections
	keepAlive              bool          // a connection outlives its answer
	closeIdleAfter         time.Duration // into the phase, silent connections are closed from here on; 0 for never
	closeIdleAfterHandover time.Duration // the same where another process takes clients meanwhile
	endAfterAnswer         bool          // from then on no connection outlives its answer, also one that could not tell its client
}

// soon is for phases that close silent connections from their beginning on.
const immediately = time.Nanosecond

var policies = map[Phase]phasePolicy{
	Starting:  {keepAlive: true},
	Listing:   {keepAlive: true, acceptFrom: acceptOwn},
	Withheld:  {acceptFrom: acceptOwn},
	Serving:   {keepAlive: true, acceptFrom: acceptAny, ready: true},
	Draining:  {acceptFrom: acceptAny, closeIdleAfter: closeIdleDelay, closeIdleAfterHandover: closeIdleDelay, endAfterAnswer: true},
	Leaving:   {acceptFrom: acceptOwn, closeIdleAfter: closeIdleDelay, closeIdleAfterHandover: immediately},
	Finishing: {closeIdleAfter: immediately, closeIdleAfterHandover: immediately, endAfterAnswer: true},
	Stopped:   {},
}

const (
	// leaveFor is how long clients may come after SIGTERM.
	shutdownGrace = 700 * time.Millisecond
	// sendOff leaves those who are sent away the time to go by themselves, with an answer that ends their connection. A
	// close that we begin may cross a request.
	closeIdleDelay = 500 * time.Millisecond
	// quietFor is how long a connection must have been silent to be closed then, and lookEvery how often that is seen to.
	minIdleTime       = 150 * time.Millisecond
	idleCheckInterval = 100 * time.Millisecond
)

// happening is what leads from one phase to another.
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

// transitions has all that may happen; what a phase does not have is refused there.
var transitions = map[Phase]map[phaseEvent]Phase{
	Starting:  {listenerOpened: Listing},
	Listing:   {serversListed: Serving, drainRequested: Withheld, drainLifted: Listing, terminated: Leaving},
	Withheld:  {serversListed: Draining, drainRequested: Withheld, drainLifted: Listing, terminated: Leaving},
	Serving:   {drainRequested: Draining, drainLifted: Serving, terminated: Leaving},
	Draining:  {drainRequested: Draining, drainLifted: Serving, terminated: Leaving},
	Leaving:   {graceElapsed: Finishing},
	Finishing: {requestsDone: Stopped},
}

// happen enters the phase that something leads to, if it leads anywhere. It waits for no client and no log line.
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

// enter does what a phase says, before anybody is told of it. The lock is held.
func (p *Program) enterPhase(next Phase) {
	p.phase = next
	d := policies[next]
	p.front.SetReady(d.ready)
	p.front.SetKeeps(d.keepAlive)
	if d.acceptFrom == acceptAny || d.acceptFrom == acceptOwn && !p.inherited {
		if !p.accepting {
			p.accepting = true
			go func() { p.serveResult <- p.front.Serve(p.ln, p.inherited) }()
		}
	} else if p.accepting {
		p.front.StopAccepting()
	}
	if p.mirror != nil && next == Leaving {
		p.mirror.Leave()
	}
	p.leavePhase()
	p.leavePhase = func() {}
	after := d.closeIdleAfter
	if p.inherited {
		after = d.closeIdleAfterHandover
	}
	if after > 0 {
		gone := make(chan struct{})
		p.leavePhase = func() { close(gone) }
		quiet := minIdleTime
		if p.mover != nil { // nothing is closed that could cross a request
			quiet = 0
		}
		go p.closeIdleConnections(after, quiet, d.endAfterAnswer, gone)
	}
	p.enteredPhases <- next
}

// empty closes silent connections, after a while, until the phase is left.
func (p *Program) closeIdleConnections(after, quiet time.Duration, parts bool, left <-chan struct{}) {
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
			if parts {
				p.front.Part()
			}
			p.front.Empty(quiet)
		}
		p.mu.Unlock()
		timer.Reset(idleCheckInterval)
	}
}

// mostSaid bounds the lines of phases that wait to be written; beyond, whoever asks for one more waits.
const maxQueuedPhases = 64

// say writes the lines of phases, in their order.
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
