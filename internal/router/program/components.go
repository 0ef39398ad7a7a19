package program

import "context"

// component is a part of the program outside its core. Any of its functions may be nil.
type component struct {
	name           string
	start          func(work context.Context) error // before anything is served; work ends with the last request
	beforeShutdown func()                           // SIGTERM came; the phase is still the one before
	stop           func(clean bool)                 // clean: the last request was answered; otherwise something failed
}

// components are all of them, in the order of their start. They shut down and stop in reverse: the
// handover of connections first, as others ask whether another process takes over.
func (p *Program) components() []component {
	return []component{
		{name: "management", start: func(context.Context) error { return p.startManagement() }, stop: func(bool) { p.stopManagement() }},
		{name: "capture", start: func(context.Context) error { p.startCapture(); return nil }, stop: func(bool) { p.stopCapture() }},
		{name: "mirror", stop: func(clean bool) { // it was started with the front, whose answers it watches
			if clean {
				p.stopMirror()
			}
		}},
		{name: "snapshot", start: p.startSnapshot, stop: func(bool) { p.stopSnapshot() }},
		{name: "peers", start: p.startPeers, beforeShutdown: p.announceLeave},
		{name: "duties", start: p.startRoles, beforeShutdown: p.returnLeases},
		{name: "return", start: p.startRecovery},
		{name: "moves", start: func(context.Context) error { p.startReceiver(); return nil }, beforeShutdown: p.moveConnections, stop: func(clean bool) {
			if clean {
				p.finishMoves()
			}
		}},
	}
}

// startComponents starts all components. Those that were started are stopped by stopComponents,
// also where one fails.
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

// prepareShutdown notifies all components that the program is about to shut down.
func (p *Program) prepareShutdown() {
	for i := len(p.started) - 1; i >= 0; i-- {
		if leave := p.started[i].beforeShutdown; leave != nil {
			leave()
		}
	}
}

// stopComponents stops the started components, once.
func (p *Program) stopComponents(clean bool) {
	for i := len(p.started) - 1; i >= 0; i-- {
		if stop := p.started[i].stop; stop != nil {
			stop(clean)
		}
	}
	p.started = nil
}
