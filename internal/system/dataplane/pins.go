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

// pinTracker enforces version pins in the data plane. It ensures that only hosts with a pin's
// version serve the requests in the pin's scope, and counts those requests. See
// docs/design/pins.md for the design.
type pinTracker struct {
	plane *Plane

	mu      sync.Mutex
	tracked map[*pinnedRequest]bool // requests with a pin that have not ended
	counts  map[string]*pinCounts   // by the pin's name
}

// newPinTracker returns a tracker without pins.
func newPinTracker(p *Plane) *pinTracker {
	return &pinTracker{plane: p, tracked: map[*pinnedRequest]bool{}, counts: map[string]*pinCounts{}}
}

// pinCounts counts the requests in a pin's scope since this router began to enforce the pin.
type pinCounts struct {
	revision int64
	metrics  PinMetrics
}

// PinMetrics counts the requests in a pin's scope by their outcomes.
type PinMetrics struct {
	Since        time.Time // when this router began to enforce the pin
	Requests     uint64
	Answered     map[int64]uint64 // complete answers by the version that they state, 0 for none
	WrongVersion uint64           // answers, also counted in Answered, of another version than the pin's
	Rejected     uint64
	Failed       uint64 // requests that were not rejected and got no complete answer
}

// pinnedRequest is a request with the pin that applies to it. There is one for each request, even
// if no pin applies, because a pin may come into force while the request is queued.
type pinnedRequest struct {
	tracker         *pinTracker
	pin             *message.Pin // nil for none
	match           *routeMatch
	model           string
	service         *service
	id              string      // ID of the request in the balancer
	requiredFeature string      // feature that a host must have, empty for none
	outdated        atomic.Bool // another pin or none is in force for the request, or no host has the pin's version
}

// request looks up the pin that applies to a request that is about to be planned.
func (p *pinTracker) request(set *pins.Set, a *routeMatch, r *request, s *service) *pinnedRequest {
	h := &pinnedRequest{tracker: p, match: a, model: r.model, service: s, id: r.arrival.ID}
	if h.pin = h.matchingPin(set); h.pin != nil {
		h.requiredFeature = h.requiredVersion().String()
	}
	return h
}

// matchingPin returns the pin of a set that applies to the request, nil for none.
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

// version returns the only version whose answers may go to the client, 0 for any version.
func (h *pinnedRequest) version() int64 { return h.pin.GetVersion() }

// versionMissing reports whether no host has the version that the pin demands.
func (h *pinnedRequest) versionMissing() bool {
	return h.pin != nil && h.service.models.ready(h.requiredVersion()) == 0
}

// begin counts the request for its pin. If no host has the pin's version, begin returns a
// rejection.
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

// begin counts a request for its pin, and tracks the request unless it is rejected.
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

// metricsOf returns a pin's metrics, nil if that revision of the pin is no longer in force. The
// caller holds p.mu.
func (p *pinTracker) metricsOf(pin *message.Pin) *PinMetrics {
	c := p.counts[pin.Name]
	if c == nil || c.revision != pin.Revision {
		return nil
	}
	return &c.metrics
}

// admit returns the function that decides whether an attempt may be sent. It allows an attempt only
// while the pin with which the request was planned is in force. After an attempt that may have
// executed, the request keeps its pin, and retries are allowed even if the pin has changed.
func (h *pinnedRequest) admit(charge *quotaCharge) func(retry bool) (ok bool, wait time.Duration) {
	return func(retry bool) (ok bool, wait time.Duration) {
		if !retry && !h.isCurrent() {
			return false, 0
		}
		return charge.admit(retry)
	}
}

// isCurrent reports whether the request was planned with the pin that is in force for it. If not,
// isCurrent marks the request as outdated, and the request has to be planned again.
func (h *pinnedRequest) isCurrent() bool {
	if !pins.Equivalent(h.matchingPin(h.tracker.plane.state.Load().Pins()), h.pin) {
		h.outdated.Store(true)
	}
	return !h.outdated.Load()
}

// resumeVersion returns the version with which a broken stream is resumed, and the feature that its
// host must have. If a pin applied to the request when it was planned, or applies now, the version
// is that of the stream's first host, and ok is false if that version is unknown or no host has it.
// If no pin applies, the stream may be resumed with any version.
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

// ended counts the outcome of a request for its pin, and stops tracking the request.
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
		c.Requests-- // the request is planned again, which counts it again
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

// pinsChanged applies the set of pins that is now in force. Queued requests to which another pin
// applies now are withdrawn and planned again.
func (p *pinTracker) pinsChanged(set *pins.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.counts {
		if set.ByName(name) == nil {
			delete(p.counts, name)
		}
	}
	for _, pin := range set.Pins {
		if p.metricsOf(pin) == nil { // this revision of the pin comes into force now
			p.counts[pin.Name] = &pinCounts{revision: pin.Revision, metrics: PinMetrics{Since: time.Now(), Answered: map[int64]uint64{}}}
		}
	}
	for h := range p.tracked {
		if !h.isCurrent() {
			h.service.router.Withdraw(h.id)
		}
	}
}

// hostsChanged is called after the hosts of a service have changed. It withdraws the queued
// requests whose version no host has any more. They are planned again and so rejected.
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

// Pins returns the metrics of all pins in force, by the pin's name.
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

// Ready returns how many ready hosts of all services have a version of a model, and how many have
// other versions of the model. A host counts once for each other version that it has.
func (p *Plane) Ready(model string, version int64) (with, without int) {
	v := modelVersion{model, version}
	for _, s := range *p.serviceMap.Load() {
		with += s.models.ready(v)
		without += s.models.otherVersions(v)
	}
	return with, without
}
