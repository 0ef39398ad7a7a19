package program

import "context"

// part is something that a program has beside its core. Any of its functions may be nil.
type component struct {
	name           string
	start          func(work context.Context) error // before anything is served; work ends with the last request
	beforeShutdown func()                           // SIGTERM came, and no phase has changed yet
	stop           func(whole bool)                 // whole: the last request is answered; otherwise something failed
}

// all has every part, in the order of their start. They leave and stop the other way round: the one that gives connections
// to another process first, as others ask whether there is one.
func (p *Program) components() []component {
	return []component{
		{name: "management", start: func(context.Context) error { return p.startManagement() }, stop: func(bool) { p.stopManagement() }},
		{name: "capture", start: func(context.Context) error { p.startCapture(); return nil }, stop: func(bool) { p.stopCapture() }},
		{name: "mirror", stop: func(whole bool) { // it has begun with the front, whose answers it watches
			if whole {
				p.stopMirror()
			}
		}},
		{name: "snapshot", start: p.startSnapshot, stop: func(bool) { p.stopSnapshot() }},
		{name: "peers", start: p.startPeers, beforeShutdown: p.announceLeave},
		{name: "duties", start: p.startRoles, beforeShutdown: p.returnLeases},
		{name: "return", start: p.startRecovery},
		{name: "moves", start: func(context.Context) error { p.startReceiver(); return nil }, beforeShutdown: p.moveConnections, stop: func(whole bool) {
			if whole {
				p.finishMoves()
			}
		}},
	}
}

// start starts all parts. Those that were started are stopped by stop, also where one fails.
func (p *Program) startComponents(work context.Context) error {
	for _, x := range p.components() {
		if x.start != nil {
			if err := x.start(work); err != nil {
				return err
			}
		}
		p.started = append(p.started, x)
	}
	return nil
}

// leave tells all parts that the program is about to leave.
func (p *Program) prepareShutdown() {
	for i := len(p.started) - 1; i >= 0; i-- {
		if leave := p.started[i].beforeShutdown; leave != nil {
			leave()
		}
	}
}

// stop stops all parts, once.
func (p *Program) stopComponents(whole bool) {
	for i := len(p.started) - 1; i >= 0; i-- {
		if stop := p.started[i].stop; stop != nil {
			stop(whole)
		}
	}
	p.started = nil
}
