package dataplane

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/internal/protocol"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/transport"
)

// forward returns how the request is forwarded to a host: without the client's API key, and with
// the name of its tenant and its priority in headers.
func (r *request) forward(ctx *fasthttp.RequestCtx, a *routeMatch) *transport.Forward {
	f := &transport.Forward{Events: r.route.Kind == configuration.Streaming, IdleTimeout: streamIdleTimeout(r.route)}
	named := connectionNames(ctx.Request.Header.Peek("Connection"))
	for name, value := range ctx.Request.Header.All() {
		n := string(name)
		if protocol.ConnectionField(n) || named[strings.ToLower(n)] || isRouterHeader(n) {
			continue
		}
		f.Header = append(f.Header, protocol.Field{Name: n, Value: string(value)})
	}
	if a.tenant != nil {
		f.Header = append(f.Header, protocol.Field{Name: protocol.HeaderTenant, Value: a.tenant.Name})
	}
	f.Header = append(f.Header, protocol.Field{Name: protocol.HeaderPriority, Value: strconv.Itoa(priorityRank(a))})
	return f
}

// maxPriorityRank is the least urgent rank that hosts accept.
const maxPriorityRank = 9

// priorityRank returns the rank by which the host orders requests; 0 is the most urgent. The
// tenant's priority decides first, then the route's.
func priorityRank(a *routeMatch) int {
	rank := a.route.Priority
	if a.tenant != nil && a.tenant.Priority != nil {
		rank += *a.tenant.Priority * (a.state.Typed.LowestPriority() + 1)
	}
	return min(max(rank, 0), maxPriorityRank)
}

// isRouterHeader reports whether the router sets or removes a header itself. Such a header of the
// client is not forwarded.
func isRouterHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Authorization", protocol.HeaderTenant, protocol.HeaderRequestID, protocol.HeaderDeadline, protocol.HeaderExpectedInstance, protocol.HeaderPriority:
		return true
	}
	return false
}

// connectionNames returns the names, in lower case, of the headers that a client's Connection
// header lists.
func connectionNames(value []byte) map[string]bool {
	named := map[string]bool{}
	for field := range bytes.SplitSeq(value, []byte(",")) {
		if name := strings.ToLower(string(bytes.TrimSpace(field))); name != "" {
			named[name] = true
		}
	}
	return named
}

// streamIdleTimeout returns how long a host may send nothing on a stream of a route before the
// stream counts as broken. A client gives up after that time as well.
func streamIdleTimeout(r *configuration.Route) time.Duration {
	return max(minStreamIdleTimeout, 4*r.LatencyTarget(), 8*r.GapTarget())
}
