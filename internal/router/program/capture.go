package program

import "reachspread/internal/router/capture"

// startCapture creates the capture file that the operators' settings name. A reload does not change
// the capture. If the file cannot be created, for example because a previous process has left one,
// the router serves without a capture.
func (p *Program) startCapture() {
	if p.cfg.set == nil || p.cfg.set.Capture.Path == "" {
		return
	}
	set := p.cfg.set.Capture
	w, err := capture.NewWriter(set.Path, set.MaxBytes, p.log)
	if err != nil {
		p.log.Warn("capture file not created", "file", set.Path, "cause", err)
		return
	}
	p.capture = w
	p.front.SetCapture(w)
}

// stopCapture writes the rest of the capture and closes its file.
func (p *Program) stopCapture() {
	if p.capture != nil {
		p.capture.Close()
	}
}
