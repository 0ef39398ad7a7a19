package program

import "context"

// component is a part of the program outside its core. Any of its functions may be nil.
type component struct {
	name           string
	start          func(work context.Context) error // called before the router serves; work ends after the last request
	beforeShutdown func()                           // called after SIGTERM, before the router enters the phase Terminating
	stop           func(clean bool)                 // clean reports whether the last request was answered; otherwise the program failed
}

// components returns all components in the order in which they start. They shut down and stop in
// reverse order. The handover of connections shuts down first, because other components check
// whether another process takes over.
func (p *Program) components() []component {
	return []component{
		{name: "management", start: func(context.Context) error { return p.startManagement() }, stop: func(bool) { p.stopManagement() }},
		{name: "capture", start: func(context.Context) error { p.startCapture(); return nil }, stop: func(bool) { p.stopCapture() }},
		{name: "mirror", stop: func(clean bool) { // build starts the mirror together with the front, whose answers the mirror reads
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

// startComponents starts all components. If one fails to start, stopComponents still stops those
// that were started before it.
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

// prepareShutdown notifies the started components that the program is about to shut down.
func (p *Program) prepareShutdown() {
	for i := len(p.started) - 1; i >= 0; i-- {
		if notify := p.started[i].beforeShutdown; notify != nil {
			notify()
		}
	}
}

// stopComponents stops the started components. A second call does nothing.
func (p *Program) stopComponents(clean bool) {
	for i := len(p.started) - 1; i >= 0; i-- {
		if stop := p.started[i].stop; stop != nil {
			stop(clean)
		}
	}
	p.started = nil
}
