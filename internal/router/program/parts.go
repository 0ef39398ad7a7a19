package program

import "context"

// part is something that a program has beside its core. Any of its functions may be nil.
type part struct {
	name  string
	start func(work context.Context) error // before anything is served; work ends with the last request
	leave func()                           // SIGTERM came, and no phase has changed yet
	stop  func(whole bool)                 // whole: the last request is answered; otherwise something failed
}

// all has every part, in the order of their start. They leave and stop the other way round: the one that gives connections
// to another process first, as others ask whether there is one.
func (p *Program) all() []part {
	return []part{
		{name: "management", start: func(context.Context) error { return p.startManagement() }, stop: func(bool) { p.stopManagement() }},
		{name: "capture", start: func(context.Context) error { p.startCapture(); return nil }, stop: func(bool) { p.stopCapture() }},
		{name: "mirror", stop: func(whole bool) { // it has begun with the front, whose answers it watches
			if whole {
				p.stopMirror()
			}
		}},
		{name: "snapshot", start: p.startSnapshot, stop: func(bool) { p.stopSnapshot() }},
		{name: "peers", start: p.startPeers, leave: p.leavePeers},
		{name: "duties", start: p.startDuties, leave: p.leaveDuties},
		{name: "return", start: p.startReturn},
		{name: "moves", start: func(context.Context) error { p.startMoves(); return nil }, leave: p.giveAway, stop: func(whole bool) {
			if whole {
				p.endMoves()
			}
		}},
	}
}

// start starts all parts. Those that were started are stopped by stop, also where one fails.
func (p *Program) start(work context.Context) error {
	for _, x := range p.all() {
		if x.start != nil {
			if err := x.start(work); err != nil {
				return err
			}
		}
		p.parts = append(p.parts, x)
	}
	return nil
}

// leave tells all parts that the program is about to leave.
func (p *Program) leave() {
	for i := len(p.parts) - 1; i >= 0; i-- {
		if leave := p.parts[i].leave; leave != nil {
			leave()
		}
	}
}

// stop stops all parts, once.
func (p *Program) stop(whole bool) {
	for i := len(p.parts) - 1; i >= 0; i-- {
		if stop := p.parts[i].stop; stop != nil {
			stop(whole)
		}
	}
	p.parts = nil
}
