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
	// defaultMaxBody is the maximum length of a request's body, in bytes, if the configuration sets
	// none.
	defaultMaxBody = 4 << 20
	// minStartupRetryAfter and maxStartupRetryAfter bound the Retry-After of an answer from a router
	// that can't serve requests yet.
	minStartupRetryAfter = 500 * time.Millisecond
	maxStartupRetryAfter = 900 * time.Millisecond
)

// routeMatch is the route and the tenant that the configuration assigns to a request by its head.
type routeMatch struct {
	state  *configuration.State
	route  *configuration.Route
	tenant *configuration.Tenant // nil for none
}

// routeMatchKey is the key of the user value that holds a request's routeMatch while its body is
// read.
const routeMatchKey = "admitted"

// Local implements transport.Intake. It returns false because the router serves no requests of its
// own on the clients' address.
func (p *Plane) Local(*fasthttp.RequestCtx) bool { return false }

// Head implements transport.Intake. It rejects a request by its route, key and tenant before the
// body is read. A router that is starting and lacks the data for that check reads the body anyway,
// and Plan checks again.
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

// isUncertain reports whether a request is rejected only because this router does not know enough
// to decide on it.
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
	if state.Typed.RequiresAPIKeys() && !a.route.Public {
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

// deny rejects a request that the configuration does not allow. If the configuration may not be the
// newest, the answer is 503 instead, because a newer one may have added the route or the key.
func (p *Plane) deny(code int, text string) *transport.Rejection {
	if !p.o.Newest() {
		return &transport.Rejection{Code: http.StatusServiceUnavailable, Text: "the configuration may not be the newest", RetryAfter: startupRetryAfter()}
	}
	return &transport.Rejection{Code: code, Text: text}
}

// routeMatchOf returns the match that Head found for a request. If Head found none because the
// router was starting, routeMatchOf calls admit again until the router knows enough.
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

// startupRetryAfter returns the time after which a client should retry at a router that can't serve
// requests yet. It is random, so that not all clients retry at once.
func startupRetryAfter() time.Duration {
	return minStartupRetryAfter + rand.N(maxStartupRetryAfter-minStartupRetryAfter)
}

// hostOf returns the value of a request's Host header without the port.
func hostOf(ctx *fasthttp.RequestCtx) string {
	host := string(ctx.Request.Header.Host())
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pathOf returns the path of a request as the client sent it, without the query.
func pathOf(ctx *fasthttp.RequestCtx) string {
	path, _, _ := strings.Cut(string(ctx.RequestURI()), "?")
	return path
}

// Served implements transport.Intake. It writes the head of a host's answer.
func (p *Plane) Served(ctx *fasthttp.RequestCtx, s *routing.Stream) {
	transport.WriteFinal(ctx, transport.FinalOf(s))
}

// Unserved implements transport.Intake. It answers a request that no host has served. The router's
// own answer is 503 only if the request was rejected and can't have executed.
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

// MaxBody implements transport.Intake. It returns the maximum length of a request's body, in bytes.
func (p *Plane) MaxBody() int {
	if state := p.state.Load(); state != nil && state.Typed.Limits.MaxBodyBytes > 0 {
		return state.Typed.Limits.MaxBodyBytes
	}
	return defaultMaxBody
}

// LongHead implements transport.Intake. It returns the answer to a request whose head is too long.
func (p *Plane) LongHead() transport.Rejection {
	return transport.Rejection{Code: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too long"}
}
