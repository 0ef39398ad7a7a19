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

// pinTracker enforces version pins in the data plane: requests in a pin's scope are served by hosts
// of its version, and counted. docs/design/pins.md has the design.
type pinTracker struct {
	plane *Plane

	mu      sync.Mutex
	tracked map[*pinnedRequest]bool // requests under a pin that have not ended
	counts  map[string]*pinCounts
}

// newPinTracker returns a tracker without pins.
func newPinTracker(p *Plane) *pinTracker {
	return &pinTracker{plane: p, tracked: map[*pinnedRequest]bool{}, counts: map[string]*pinCounts{}}
}

// pinCounts are a pin's requests since it came in force here.
type pinCounts struct {
	revision int64
	metrics  PinMetrics
}

// PinMetrics are counts of requests in a pin's scope.
type PinMetrics struct {
	Since        time.Time
	Requests     uint64
	Answered     map[int64]uint64 // by the version in the answer, 0 for none
	WrongVersion uint64           // of these, answers of another version than the pin's
	Rejected     uint64
	Failed       uint64 // without a complete answer, for another reason
}

// pinnedRequest is a request with the pin that it is served under. A request without a pin is one
// as well: a pin may come while it is queued.
type pinnedRequest struct {
	tracker         *pinTracker
	pin             *message.Pin // nil for none
	match           *routeMatch
	model           string
	service         *service
	id              string      // of the request in the decisions
	requiredFeature string      // what a host must have, empty for nothing
	outdated        atomic.Bool // the pin is not in force any more, or no host has its version
}

// request finds the pin of a request that is about to be planned.
func (p *pinTracker) request(set *pins.Set, a *routeMatch, r *request, s *service) *pinnedRequest {
	h := &pinnedRequest{tracker: p, match: a, model: r.model, service: s, id: r.arrival.ID}
	if h.pin = h.matchingPin(set); h.pin != nil {
		h.requiredFeature = h.requiredVersion().String()
	}
	return h
}

// matchingPin returns the request's pin in a set, nil for none.
func (h *pinnedRequest) matchingPin(set *pins.Set) *message.Pin {
	if len(set.Pins) == 0 {
		return nil
	}
	tenant := ""
	if h.match.tenant != nil {
		tenant = h.match.tenant.Name
	}
	return set.Match(tenant, h.match.route.Name, h.model)
}

// requiredVersion returns the version that the pin demands.
func (h *pinnedRequest) requiredVersion() modelVersion {
	return modelVersion{h.pin.GetModel(), h.pin.GetVersion()}
}

// version returns the only version whose answer counts, 0 for any.
func (h *pinnedRequest) version() int64 { return h.pin.GetVersion() }

// versionMissing reports whether no host has the version that the pin demands.
func (h *pinnedRequest) versionMissing() bool {
	return h.pin != nil && h.service.models.ready(h.requiredVersion()) == 0
}

// begin counts a request under its pin. It is rejected at once if no host has the version.
func (h *pinnedRequest) begin() *transport.Rejection {
	if h.pin == nil {
		return nil
	}
	missing := h.versionMissing()
	h.tracker.begin(h, missing)
	if !missing {
		return nil
	}
	text := fmt.Sprintf("no host has version %d of model %s, to which pin %s holds this request", h.pin.Version, h.pin.Model, h.pin.Name)
	return &transport.Rejection{Code: http.StatusServiceUnavailable, Text: text, RetryAfter: startupRetryAfter(), KeepAlive: true}
}

// begin counts a request, and tracks it unless it is rejected.
func (p *pinTracker) begin(h *pinnedRequest, rejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.metricsOf(h.pin); c != nil {
		c.Requests++
		if rejected {
			c.Rejected++
		}
	}
	if !rejected {
		p.tracked[h] = true
	}
}

// metricsOf returns a pin's metrics, nil if the pin is not in force any more or was changed. The
// caller has the lock.
func (p *pinTracker) metricsOf(pin *message.Pin) *PinMetrics {
	c := p.counts[pin.Name]
	if c == nil || c.revision != pin.Revision {
		return nil
	}
	return &c.metrics
}

// admit returns what allows an attempt: the pin under which the request was planned must be in
// force. After an attempt that may have executed the request goes on under the pin with which it
// began.
func (h *pinnedRequest) admit(charge *quotaCharge) func(retry bool) (ok bool, wait time.Duration) {
	return func(retry bool) (ok bool, wait time.Duration) {
		if !retry && !h.isCurrent() {
			return false, 0
		}
		return charge.admit(retry)
	}
}

// isCurrent reports whether the request is planned by the pins in force. If not, it has to be
// planned again.
func (h *pinnedRequest) isCurrent() bool {
	if !pins.Equivalent(h.matchingPin(h.tracker.plane.state.Load().Pins()), h.pin) {
		h.outdated.Store(true)
	}
	return !h.outdated.Load()
}

// resumed returns what a broken stream goes on with: the version of its first host. If the request
// has or had a pin, that version must be known, and a host must have it.
func (h *pinnedRequest) resumeVersion(first *transport.Final) (version int64, requiredFeature string, ok bool) {
	pin := h.pin
	if pin == nil {
		pin = h.matchingPin(h.tracker.plane.state.Load().Pins())
	}
	if pin == nil {
		return 0, "", true
	}
	v := modelVersion{pin.Model, first.Version()}
	return v.version, v.String(), v.version > 0 && h.service.models.ready(v) > 0
}

// ended counts how a request ended.
func (h *pinnedRequest) ended(answer routing.Answer) {
	if h.pin == nil {
		return
	}
	p := h.tracker
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.tracked, h)
	c := p.metricsOf(h.pin)
	abandoned := answer.Verdict == routing.Served && answer.Stream == nil
	switch {
	case c == nil || abandoned:
	case answer.Verdict == routing.Rejected && h.outdated.Load():
		c.Requests-- // it is planned again
	case answer.Verdict == routing.Rejected:
		c.Rejected++
	case answer.Verdict != routing.Served || !answer.Stream.Complete():
		c.Failed++
	default:
		version := transport.FinalOf(answer.Stream).Version()
		c.Answered[version]++
		if version != h.pin.Version {
			c.WrongVersion++
		}
	}
}

// pinsChanged takes up the pins that are in force now: requests that are queued under another one
// are planned again.
func (p *pinTracker) pinsChanged(set *pins.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.counts {
		if set.ByName(name) == nil {
			delete(p.counts, name)
		}
	}
	for _, pin := range set.Pins {
		if p.metricsOf(pin) == nil { // it is in force from now on
			p.counts[pin.Name] = &pinCounts{revision: pin.Revision, metrics: PinMetrics{Since: time.Now(), Answered: map[int64]uint64{}}}
		}
	}
	for h := range p.tracked {
		if !h.isCurrent() {
			h.service.router.Withdraw(h.id)
		}
	}
}

// hostsChanged says that the hosts of a service have changed: requests that are queued for a
// version that none has are planned again, and so rejected.
func (p *pinTracker) hostsChanged(s *service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range p.tracked {
		if h.service == s && h.versionMissing() {
			h.outdated.Store(true)
			s.router.Withdraw(h.id)
		}
	}
}

// Pins returns the metrics of each pin in force, by its name.
func (p *Plane) Pins() map[string]PinMetrics {
	p.pins.mu.Lock()
	defer p.pins.mu.Unlock()
	all := map[string]PinMetrics{}
	for name, c := range p.pins.counts {
		metrics := c.metrics
		metrics.Answered = map[int64]uint64{}
		for version, n := range c.metrics.Answered {
			metrics.Answered[version] = n
		}
		all[name] = metrics
	}
	return all
}

// Ready returns how many hosts that are ready have a version of a model, and how many have others
// of it, over all services.
func (p *Plane) Ready(model string, version int64) (with, without int) {
	v := modelVersion{model, version}
	for _, s := range *p.serviceMap.Load() {
		with += s.models.ready(v)
		without += s.models.otherVersions(v)
	}
	return with, without
}
