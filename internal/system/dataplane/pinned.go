package dataplane

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/internal/routing"
	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
	"reachspread/internal/transport"
)

// pinned is the part of version pins in the data plane: it has requests in a pin's scope served by hosts of its version, and counts them.
// docs/design/pins.md has the design.
type pinned struct {
	plane *Plane

	mu     sync.Mutex
	held   map[*pinHold]bool // requests under a pin that have not ended
	counts map[string]*pinCounts
}

func newPinned(p *Plane) *pinned {
	return &pinned{plane: p, held: map[*pinHold]bool{}, counts: map[string]*pinCounts{}}
}

// pinCounts are a pin's requests since it came in force here.
type pinCounts struct {
	revision int64
	figures  PinFigures
}

// PinFigures are counts of requests in a pin's scope.
type PinFigures struct {
	Since    time.Time
	Requests uint64
	Answered map[int64]uint64 // by the version that the answer said, 0 for none
	Wrong    uint64           // of these, answers of another version than the pin's
	Refused  uint64
	Failed   uint64 // without a whole answer, for another reason
}

// pinHold is what pins have to do with one request. A request without a pin has one as well: a pin may come while it is held.
type pinHold struct {
	pinned   *pinned
	pin      *message.Pin // nil for none
	admitted *admitted
	model    string
	service  *service
	id       string // of the request, for the decisions
	needs    string // what a host must have, empty for nothing
	outdated atomic.Bool
}

// hold finds the pin of a request that is about to be planned.
func (p *pinned) hold(in *pins.Set, a *admitted, r *request, s *service) *pinHold {
	h := &pinHold{pinned: p, admitted: a, model: r.model, service: s, id: r.arrival.ID}
	if h.pin = h.pinIn(in); h.pin != nil {
		h.needs = h.wanted().String()
	}
	return h
}

// pinIn is the request's pin in a set, nil for none.
func (h *pinHold) pinIn(in *pins.Set) *message.Pin {
	if len(in.Pins) == 0 {
		return nil
	}
	tenant := ""
	if h.admitted.tenant != nil {
		tenant = h.admitted.tenant.Name
	}
	return in.Match(tenant, h.admitted.route.Name, h.model)
}

// wanted is the version that the request is held to.
func (h *pinHold) wanted() modelVersion { return modelVersion{h.pin.GetModel(), h.pin.GetVersion()} }

// version is the only one whose answer counts, 0 for any.
func (h *pinHold) version() int64 { return h.pin.GetVersion() }

// lacks tells that no host has the version that the request is held to.
func (h *pinHold) lacks() bool { return h.pin != nil && h.service.models.ready(h.wanted()) == 0 }

// begin takes up a request under its pin. It is refused at once where no host has the version.
func (h *pinHold) begin() *transport.Rejection {
	if h.pin == nil {
		return nil
	}
	lacks := h.lacks()
	h.pinned.begin(h, lacks)
	if !lacks {
		return nil
	}
	line := fmt.Sprintf("no host has version %d of model %s, to which pin %s holds this request", h.pin.Version, h.pin.Model, h.pin.Name)
	return &transport.Rejection{Code: http.StatusServiceUnavailable, Line: line, Wait: comeBack(), Keep: true}
}

// begin counts a request, and keeps an eye on it unless it is refused.
func (p *pinned) begin(h *pinHold, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.figuresOf(h.pin); c != nil {
		c.Requests++
		if refused {
			c.Refused++
		}
	}
	if !refused {
		p.held[h] = true
	}
}

// figuresOf are a pin's figures; nil where it is not in force any more, or not as it was. The lock is held.
func (p *pinned) figuresOf(pin *message.Pin) *PinFigures {
	c := p.counts[pin.Name]
	if c == nil || c.revision != pin.Revision {
		return nil
	}
	return &c.figures
}

// admit allows an attempt: under the pin with which the request was planned, or, where one before may have run, as it began.
func (h *pinHold) admit(units *allowance) func(again bool) (ok bool, wait time.Duration) {
	return func(again bool) (ok bool, wait time.Duration) {
		if !again && !h.holds() {
			return false, 0
		}
		return units.admit(again)
	}
}

// holds tells whether the request is planned by the pins in force. Where it is not, it has to be planned anew.
func (h *pinHold) holds() bool {
	if !pins.Equivalent(h.pinIn(h.pinned.plane.state.Load().Pins()), h.pin) {
		h.outdated.Store(true)
	}
	return !h.outdated.Load()
}

// resumed is what a stream goes on with that broke off: the version of its first part. Where the request has a pin now, or had one, that
// must be known, and a host must have it.
func (h *pinHold) resumed(first *transport.Final) (version int64, needs string, can bool) {
	pin := h.pin
	if pin == nil {
		pin = h.pinIn(h.pinned.plane.state.Load().Pins())
	}
	if pin == nil {
		return 0, "", true
	}
	v := modelVersion{pin.Model, first.Version()}
	return v.version, v.String(), v.version > 0 && h.service.models.ready(v) > 0
}

// ended counts how a request ended.
func (h *pinHold) ended(end routing.Answer) {
	if h.pin == nil {
		return
	}
	p := h.pinned
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, h)
	c := p.figuresOf(h.pin)
	left := end.Verdict == routing.Served && end.Stream == nil
	switch {
	case c == nil || left: // nobody was to be answered
	case end.Verdict == routing.Rejected && h.outdated.Load():
		c.Requests-- // it is planned anew
	case end.Verdict == routing.Rejected:
		c.Refused++
	case end.Verdict != routing.Served || !end.Stream.Complete():
		c.Failed++
	default:
		version := transport.FinalOf(end.Stream).Version()
		c.Answered[version]++
		if version != h.pin.Version {
			c.Wrong++
		}
	}
}

// changed takes in the pins that are in force now: requests that are held under another one, and not sent, are planned anew.
func (p *pinned) changed(in *pins.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.counts {
		if in.ByName(name) == nil {
			delete(p.counts, name)
		}
	}
	for _, pin := range in.Pins {
		if p.figuresOf(pin) == nil { // it is in force from now on
			p.counts[pin.Name] = &pinCounts{revision: pin.Revision, figures: PinFigures{Since: time.Now(), Answered: map[int64]uint64{}}}
		}
	}
	for h := range p.held {
		if !h.holds() {
			h.service.router.Withdraw(h.id)
		}
	}
}

// lost takes in that the hosts of a service have changed: requests that are held for a version that none has are planned anew, and so refused.
func (p *pinned) lost(s *service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range p.held {
		if h.service == s && h.lacks() {
			h.outdated.Store(true)
			s.router.Withdraw(h.id)
		}
	}
}

// Pins are the figures of each pin in force, by its name.
func (p *Plane) Pins() map[string]PinFigures {
	p.pins.mu.Lock()
	defer p.pins.mu.Unlock()
	all := map[string]PinFigures{}
	for name, c := range p.pins.counts {
		figures := c.figures
		figures.Answered = map[int64]uint64{}
		for version, n := range c.figures.Answered {
			figures.Answered[version] = n
		}
		all[name] = figures
	}
	return all
}

// Ready is how many hosts that are ready have a version of a model, and how many have others of it, over all services.
func (p *Plane) Ready(model string, version int64) (with, without int) {
	v := modelVersion{model, version}
	for _, s := range *p.pools.Load() {
		with += s.models.ready(v)
		without += s.models.others(v)
	}
	return with, without
}
