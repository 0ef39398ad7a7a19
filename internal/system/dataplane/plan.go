package dataplane

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/internal/routing"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/transport"
)

// resumeSuffix is appended to a request's ID in the balancer each time that its stream is resumed,
// so that each resumption has an ID of its own.
const resumeSuffix = "+"

// Plan implements transport.Intake. It charges the tenant's quota, picks a service and looks up the
// version pin of a request, and returns how the request is served.
func (p *Plane) Plan(ctx *fasthttp.RequestCtx, body []byte, began time.Time) (*transport.Plan, *transport.Rejection) {
	match, rejection := p.routeMatchOf(ctx)
	if rejection != nil {
		return nil, rejection
	}
	request, err := readRequest(&ctx.Request.Header, match.route, len(body))
	if err != nil {
		return nil, &transport.Rejection{Code: http.StatusBadRequest, Text: err.Error()}
	}
	charge := p.quotaChargeFor(match.tenant, request)
	if ok, wait := charge.take(); !ok {
		return nil, &transport.Rejection{Code: http.StatusTooManyRequests, Text: "over the tenant's quota", RetryAfter: wait, KeepAlive: true}
	}
	s := p.pickService(match.route)
	if s == nil || !p.awaitStartup(ctx, func() bool { return s.servingHosts.Load() > 0 }) {
		return nil, &transport.Rejection{Code: http.StatusServiceUnavailable, Text: "no host of the service is known", RetryAfter: startupRetryAfter(), KeepAlive: true}
	}
	request.arrival.ID = strconv.FormatUint(p.nextID.Add(1), 36)
	pinned := p.pins.request(p.state.Load().Pins(), match, request, s)
	if rejection := pinned.begin(); rejection != nil {
		charge.refund()
		return nil, rejection
	}
	forward := request.forward(ctx, match)
	forward.Version = pinned.version()
	forward.Admit = pinned.admit(charge)
	request.arrival.RequiredFeature = pinned.requiredFeature
	return &transport.Plan{
		Router:   s.router,
		Arrival:  request.arrival,
		Message:  transport.NewForwarded(ctx, body, forward),
		Resume:   p.resume(s, request, charge, pinned, began),
		Outdated: pinned.outdated.Load,
		Ended: func(end routing.Answer) {
			charge.ended(end)
			pinned.ended(end)
			plannedAgain := end.Verdict == routing.Rejected && !end.MayHaveExecuted && pinned.outdated.Load()
			if !plannedAgain {
				p.outcomeCounts.add(keyOf(match), outcomeOf(end))
			}
		},
	}, nil
}

// pickService picks one of a route's services at random, weighted by their shares.
func (p *Plane) pickService(r *configuration.Route) *service {
	services := *p.serviceMap.Load()
	total := 0.0
	for _, share := range r.Shares() {
		total += share.Weight
	}
	remaining := rand.Float64() * total
	for _, share := range r.Shares() {
		if remaining -= share.Weight; remaining < 0 && share.Weight > 0 {
			return services[share.Service]
		}
	}
	return nil
}

// resume returns the function that plans how a broken stream is resumed at another host, nil if the
// route does not allow resumption. Each resumption takes a retry from the retry budget and charges
// the tenant's quota again.
func (p *Plane) resume(s *service, r *request, charge *quotaCharge, pinned *pinnedRequest, began time.Time) func(*transport.Message, *transport.Final, string) (*transport.Plan, bool) {
	if r.route.Kind != configuration.Streaming || !r.route.StreamResumption {
		return nil
	}
	attempts := 1
	return func(message *transport.Message, first *transport.Final, after string) (*transport.Plan, bool) {
		left := r.arrival.TimeLeft - time.Since(began)
		version, requiredFeature, ok := pinned.resumeVersion(first)
		if !ok || attempts >= max(r.route.MaxAttempts, 1) || left <= 0 || !s.retries.Take() {
			return nil, false
		}
		if ok, _ := charge.take(); !ok {
			return nil, false
		}
		next := r.arrival
		next.ID += strings.Repeat(resumeSuffix, attempts)
		next.Resumed = true
		next.RequiredFeature = requiredFeature
		attempts++
		return &transport.Plan{Router: s.router, Arrival: next, Message: message.ResumeAfter(after, version, charge.admit)}, true
	}
}
