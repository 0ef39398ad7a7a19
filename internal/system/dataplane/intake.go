package dataplane

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/internal/protocol"
	"reachspread/internal/routing"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/transport"
)

const (
	// defaultMaxBody bounds a request's body, in bytes, where the configuration has no bound.
	defaultMaxBody = 4 << 20
	// minStartupRetryAfter and maxStartupRetryAfter bound when a client is told to come back to a
	// router that can serve nothing yet.
	minStartupRetryAfter = 500 * time.Millisecond
	maxStartupRetryAfter = 900 * time.Millisecond
)

// routeMatch is what the configuration says of a request by its head.
type routeMatch struct {
	state  *configuration.State
	route  *configuration.Route
	tenant *configuration.Tenant // nil for none
}

// routeMatchKey is the user value that keeps it between the head and the body.
const routeMatchKey = "admitted"

// Local implements transport.Intake: nothing on the clients' address is for the router itself.
func (p *Plane) Local(*fasthttp.RequestCtx) bool { return false }

// Head implements transport.Intake: route, key and tenant decide whether a body is to be read. A
// router that is starting reads it without them, and looks again in Plan.
func (p *Plane) Head(ctx *fasthttp.RequestCtx) *transport.Rejection {
	p.counts.Accepted.Add(1)
	a, rejection := p.admit(ctx)
	switch {
	case rejection == nil:
		ctx.SetUserValue(routeMatchKey, a)
	case isUncertain(rejection) && p.isStarting():
		return nil
	}
	return rejection
}

// isUncertain reports whether a request is rejected only because too little is known here.
func isUncertain(rejection *transport.Rejection) bool {
	return rejection != nil && rejection.Code == http.StatusServiceUnavailable
}

// admit looks up the route of a request and the tenant that sends it.
func (p *Plane) admit(ctx *fasthttp.RequestCtx) (*routeMatch, *transport.Rejection) {
	state := p.state.Load()
	if state == nil {
		return nil, &transport.Rejection{Code: http.StatusServiceUnavailable, Text: "no configuration is known yet", RetryAfter: startupRetryAfter()}
	}
	a := &routeMatch{state: state, route: state.Typed.Route(hostOf(ctx), pathOf(ctx))}
	if a.route == nil {
		return nil, p.deny(http.StatusNotFound, "no such route")
	}
	if state.Typed.Keyed() && !a.route.Public {
		if !p.o.Fresh() {
			return nil, &transport.Rejection{Code: http.StatusServiceUnavailable, Text: "keys can not be checked now", RetryAfter: startupRetryAfter()}
		}
		key := protocol.BearerKey(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
		if a.tenant = state.Typed.Tenant(key); a.tenant == nil {
			return nil, p.deny(http.StatusUnauthorized, "no such key")
		}
	}
	return a, nil
}

// deny rejects a request that the configuration does not allow. A configuration that may not be the
// newest denies nothing for good: a route or a key may have been added since.
func (p *Plane) deny(code int, text string) *transport.Rejection {
	if !p.o.Newest() {
		return &transport.Rejection{Code: http.StatusServiceUnavailable, Text: "the configuration may not be the newest", RetryAfter: startupRetryAfter()}
	}
	return &transport.Rejection{Code: code, Text: text}
}

// routeMatchOf returns what admit found for a request when its head came, or finds now, as soon as
// the router knows enough.
func (p *Plane) routeMatchOf(ctx *fasthttp.RequestCtx) (*routeMatch, *transport.Rejection) {
	if a, ok := ctx.UserValue(routeMatchKey).(*routeMatch); ok {
		return a, nil
	}
	var a *routeMatch
	var rejection *transport.Rejection
	p.awaitStartup(ctx, func() bool {
		a, rejection = p.admit(ctx)
		return !isUncertain(rejection)
	})
	return a, rejection
}

// startupRetryAfter is when a client should come back to a router that can serve nothing yet. It
// differs from client to client, so that they do not come all at once.
func startupRetryAfter() time.Duration {
	return minStartupRetryAfter + rand.N(maxStartupRetryAfter-minStartupRetryAfter)
}

// hostOf returns the host that a request names, without a port.
func hostOf(ctx *fasthttp.RequestCtx) string {
	host := string(ctx.Request.Header.Host())
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pathOf returns the path of a request as it came, without a query.
func pathOf(ctx *fasthttp.RequestCtx) string {
	path, _, _ := strings.Cut(string(ctx.RequestURI()), "?")
	return path
}

// Served implements transport.Intake.
func (p *Plane) Served(ctx *fasthttp.RequestCtx, s *routing.Stream) {
	transport.WriteFinal(ctx, transport.FinalOf(s))
}

// Unserved implements transport.Intake.
func (p *Plane) Unserved(ctx *fasthttp.RequestCtx, a routing.Answer) {
	final, _ := a.ServerAnswer.(*transport.Final)
	switch {
	case a.Verdict == routing.Rejected && !a.MayHaveExecuted:
		transport.WriteRejection(ctx, transport.Rejection{Code: http.StatusServiceUnavailable, Text: "refused; it has not run", RetryAfter: a.RetryAfter, KeepAlive: true})
	case final != nil:
		transport.WriteFinal(ctx, final)
	case a.Verdict == routing.Invalid:
		transport.WriteRejection(ctx, transport.Rejection{Code: http.StatusBadRequest, Text: "no host can use this request", KeepAlive: true})
	default:
		transport.WriteRejection(ctx, transport.Rejection{Code: http.StatusBadGateway, Text: "failed", KeepAlive: true})
	}
}

// MaxBody implements transport.Intake.
func (p *Plane) MaxBody() int {
	if state := p.state.Load(); state != nil && state.Typed.Limits.MaxBodyBytes > 0 {
		return state.Typed.Limits.MaxBodyBytes
	}
	return defaultMaxBody
}

// LongHead implements transport.Intake.
func (p *Plane) LongHead() transport.Rejection {
	return transport.Rejection{Code: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too long"}
}
