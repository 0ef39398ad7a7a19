package program

import "reachspread/internal/router/capture"

// startCapture begins the file that the operators' settings name. It counts from the start: a
// reload changes nothing of it. A file that can't be begun, as one is there from before a restart,
// keeps nobody from being served.
func (p *Program) startCapture() {
	if p.cfg.set == nil || p.cfg.set.Capture.Path == "" {
		return
	}
	set := p.cfg.set.Capture
	w, err := capture.NewWriter(set.Path, set.MaxBytes, p.log)
	if err != nil {
		p.log.Warn("capture lost", "file", set.Path, "cause", err)
		return
	}
	p.capture = w
	p.front.SetCapture(w)
}

// stopCapture writes the last of it.
func (p *Program) stopCapture() {
	if p.capture != nil {
		p.capture.Close()
	}
}
