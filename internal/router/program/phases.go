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
type accepting int

const (
	fromNone  accepting = iota
	fromOwn             // one that this process opened; nobody else would answer there
	fromEvery           // an inherited one, too: others have it, and take what this process can't
)

// duties is what a phase says of the clients' side. Nothing else decides on any of it.
type duties struct {
	ready   bool          // /-/ready and the call check say yes
	accepts accepting     // new connections
	keeps   bool          // a connection outlives its answer
	sendOff time.Duration // into the phase, silent connections are closed from here on; 0 for never
	handOff time.Duration // the same where another process takes clients meanwhile
	parts   bool          // from then on no connection outlives its answer, also one that could not tell its client
}

// soon is for phases that close silent connections from their beginning on.
const soon = time.Nanosecond

var phases = map[Phase]duties{
	Starting:  {keeps: true},
	Listing:   {keeps: true, accepts: fromOwn},
	Withheld:  {accepts: fromOwn},
	Serving:   {keeps: true, accepts: fromEvery, ready: true},
	Draining:  {accepts: fromEvery, sendOff: sendOff, handOff: sendOff, parts: true},
	Leaving:   {accepts: fromOwn, sendOff: sendOff, handOff: soon},
	Finishing: {sendOff: soon, handOff: soon, parts: true},
	Stopped:   {},
}

const (
	// leaveFor is how long clients may come after SIGTERM.
	leaveFor = 700 * time.Millisecond
	// sendOff leaves those who are sent away the time to go by themselves, with an answer that ends their connection. A
	// close that we begin may cross a request.
	sendOff = 500 * time.Millisecond
	// quietFor is how long a connection must have been silent to be closed then, and lookEvery how often that is seen to.
	quietFor  = 150 * time.Millisecond
	lookEvery = 100 * time.Millisecond
)

// happening is what leads from one phase to another.
type happening string

const (
	opened   happening = "opened"
	listed   happening = "listed" // a server is listed
	drainOn  happening = "drain-on"
	drainOff happening = "drain-off"
	sigterm  happening = "SIGTERM"
	passed   happening = "time passed"
	emptied  happening = "emptied"
)

// transitions has all that may happen; what a phase does not have is refused there.
var transitions = map[Phase]map[happening]Phase{
	Starting:  {opened: Listing},
	Listing:   {listed: Serving, drainOn: Withheld, drainOff: Listing, sigterm: Leaving},
	Withheld:  {listed: Draining, drainOn: Withheld, drainOff: Listing, sigterm: Leaving},
	Serving:   {drainOn: Draining, drainOff: Serving, sigterm: Leaving},
	Draining:  {drainOn: Draining, drainOff: Serving, sigterm: Leaving},
	Leaving:   {passed: Finishing},
	Finishing: {emptied: Stopped},
}

// happen enters the phase that something leads to, if it leads anywhere. It waits for no client and no log line.
func (p *Program) happen(what happening) (Phase, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, ok := transitions[p.phase][what]
	switch {
	case !ok:
		return p.phase, fmt.Errorf("%s is not possible while the router is %s", what, p.phase)
	case next != p.phase:
		p.enter(next)
	}
	return next, nil
}

// enter does what a phase says, before anybody is told of it. The lock is held.
func (p *Program) enter(next Phase) {
	p.phase = next
	d := phases[next]
	p.front.SetReady(d.ready)
	p.front.SetKeeps(d.keeps)
	if d.accepts == fromEvery || d.accepts == fromOwn && !p.inherited {
		if !p.accepting {
			p.accepting = true
			go func() { p.served <- p.front.Serve(p.ln, p.inherited) }()
		}
	} else if p.accepting {
		p.front.StopAccepting()
	}
	if p.mirror != nil && next == Leaving {
		p.mirror.Leave()
	}
	p.left()
	p.left = func() {}
	after := d.sendOff
	if p.inherited {
		after = d.handOff
	}
	if after > 0 {
		gone := make(chan struct{})
		p.left = func() { close(gone) }
		quiet := quietFor
		if p.mover != nil { // nothing is closed that could cross a request
			quiet = 0
		}
		go p.empty(after, quiet, d.parts, gone)
	}
	p.said <- next
}

// empty closes silent connections, after a while, until the phase is left.
func (p *Program) empty(after, quiet time.Duration, parts bool, left <-chan struct{}) {
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
		timer.Reset(lookEvery)
	}
}

// mostSaid bounds the lines of phases that wait to be written; beyond, whoever asks for one more waits.
const mostSaid = 64

// say writes the lines of phases, in their order.
func (p *Program) say(done chan<- struct{}) {
	defer close(done)
	for phase := range p.said {
		p.log.Info("phase", "name", phase)
	}
}

// Phase returns the state that the program is in.
func (p *Program) Phase() Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase
}
