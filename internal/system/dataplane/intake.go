package dataplane

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/transport"
)

const (
	// usualBody bounds a request's body where the configuration has no bound.
	usualBody = 4 << 20
	// leastBack and mostBack are when to come back where nothing can be served yet.
	leastBack = 500 * time.Millisecond
	mostBack  = 900 * time.Millisecond
	// charsPerToken is the length of a token where a request does not tell its tokens.
	charsPerToken = 4
	// resumeSuffix is behind the names of requests that go on with a stream.
	resumeSuffix = "+"
)

// admitted is what the head of a request says of it.
type admitted struct {
	state  *configuration.State
	route  *configuration.Route
	tenant *configuration.Tenant // nil for none
}

// admittedKey is where the front keeps it between the head and the body.
const admittedKey = "admitted"

// Local implements transport.Intake: nothing on the clients' address is for the router itself.
func (p *Plane) Local(*fasthttp.RequestCtx) bool { return false }

// Head implements transport.Intake: routes, keys and what is known decide whether a body is worth reading.
func (p *Plane) Head(ctx *fasthttp.RequestCtx) *transport.Rejection {
	p.counts.Taken.Add(1)
	a, no := p.admit(ctx)
	switch {
	case no == nil:
		ctx.SetUserValue(admittedKey, a)
	case isUnsure(no) && p.starting():
		return nil // it is read, and admitted once the router knows
	}
	return no
}

// isUnsure tells whether a request is turned away only because too little is known here.
func isUnsure(no *transport.Rejection) bool {
	return no != nil && no.Code == http.StatusServiceUnavailable
}

// admit looks up the route of a request and who sends it.
func (p *Plane) admit(ctx *fasthttp.RequestCtx) (*admitted, *transport.Rejection) {
	state := p.state.Load()
	if state == nil {
		return nil, &transport.Rejection{Code: http.StatusServiceUnavailable, Line: "no configuration is known yet", Wait: comeBack()}
	}
	a := &admitted{state: state, route: state.Typed.Route(hostOf(ctx), pathOf(ctx))}
	if a.route == nil {
		return nil, p.deny(http.StatusNotFound, "no such route")
	}
	if state.Typed.Keyed() && !a.route.Public {
		if !p.o.Fresh() {
			return nil, &transport.Rejection{Code: http.StatusServiceUnavailable, Line: "keys can not be checked now", Wait: comeBack()}
		}
		key := protocol.BearerKey(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
		if a.tenant = state.Typed.Tenant(key); a.tenant == nil {
			return nil, p.deny(http.StatusUnauthorized, "no such key")
		}
	}
	return a, nil
}

// deny refuses a request that the configuration does not allow. By one that may not be the newest nothing is refused for good: a route or a key
// may have come since, whatever kept the news from this router.
func (p *Plane) deny(code int, line string) *transport.Rejection {
	if !p.o.Newest() {
		return &transport.Rejection{Code: http.StatusServiceUnavailable, Line: "the configuration may not be the newest", Wait: comeBack()}
	}
	return &transport.Rejection{Code: code, Line: line}
}

// admitted is what admit found for a request when its head came, or finds now, once the router knows enough.
func (p *Plane) admitted(ctx *fasthttp.RequestCtx) (*admitted, *transport.Rejection) {
	if a, ok := ctx.UserValue(admittedKey).(*admitted); ok {
		return a, nil
	}
	var a *admitted
	var no *transport.Rejection
	p.await(ctx, func() bool {
		a, no = p.admit(ctx)
		return !isUnsure(no)
	})
	return a, no
}

// comeBack is when a client should come back to a router that can't serve anything yet. It differs from client to client.
func comeBack() time.Duration { return leastBack + rand.N(mostBack-leastBack) }

// hostOf is the host that a request names, without a port.
func hostOf(ctx *fasthttp.RequestCtx) string {
	host := string(ctx.Request.Header.Host())
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pathOf is the path of a request as it came, without a query.
func pathOf(ctx *fasthttp.RequestCtx) string {
	path, _, _ := strings.Cut(string(ctx.RequestURI()), "?")
	return path
}

// Plan implements transport.Intake.
func (p *Plane) Plan(ctx *fasthttp.RequestCtx, body []byte, began time.Time) (*transport.Plan, *transport.Rejection) {
	a, no := p.admitted(ctx)
	if no != nil {
		return nil, no
	}
	request, err := readRequest(&ctx.Request.Header, a.route, len(body))
	if err != nil {
		return nil, &transport.Rejection{Code: http.StatusBadRequest, Line: err.Error()}
	}
	units := p.allowance(a.tenant, request)
	if ok, wait := units.take(); !ok {
		return nil, &transport.Rejection{Code: http.StatusTooManyRequests, Line: "over the tenant's quota", Wait: wait, Keep: true}
	}
	s := p.pick(a.route)
	if s == nil || !p.await(ctx, func() bool { return s.serving.Load() > 0 }) {
		return nil, &transport.Rejection{Code: http.StatusServiceUnavailable, Line: "no host of the service is known", Wait: comeBack(), Keep: true}
	}
	request.arrival.ID = strconv.FormatUint(p.next.Add(1), 36)
	hold := p.pins.hold(p.state.Load().Pins(), a, request, s)
	if no := hold.begin(); no != nil {
		units.refund()
		return nil, no
	}
	forward := request.forward(ctx, a)
	forward.Version, forward.Admit = hold.version(), hold.admit(units)
	request.arrival.RequiredFeature = hold.needs
	return &transport.Plan{
		Router:   s.router,
		Arrival:  request.arrival,
		Message:  transport.NewForwarded(ctx, body, forward),
		Resume:   p.resume(s, request, units, hold, began),
		Outdated: hold.outdated.Load,
		Ended: func(end routing.Answer) {
			units.ended(end)
			hold.ended(end)
			if again := end.Verdict == routing.Rejected && !end.MayHaveExecuted && hold.outdated.Load(); !again { // it is planned anew
				p.ends.add(keyOf(a), outcomeOf(end))
			}
		},
	}, nil
}

// request is what a request tells of itself.
type request struct {
	route   *configuration.Route
	arrival balance.Arrival
	usage   protocol.Usage
	counted bool   // the request tells its tokens
	model   string // that it names, empty for none
}

// errNoID says that a request has no name.
var errNoID = errors.New(protocol.HeaderRequestID + " is missing")

// readRequest reads what the decisions need.
func readRequest(h *fasthttp.RequestHeader, route *configuration.Route, bodyLen int) (*request, error) {
	get := func(name string) string { return string(h.Peek(name)) }
	if get(protocol.HeaderRequestID) == "" {
		return nil, errNoID
	}
	r := &request{route: route, model: get(protocol.HeaderModel), arrival: balance.Arrival{Class: route.ClassName(), TimeLeft: route.Timeout()}}
	left, told, err := protocol.ParseDeadline(get(protocol.HeaderDeadline))
	if err != nil {
		return nil, err
	}
	if told {
		r.arrival.TimeLeft = min(left, route.Timeout())
	}
	if r.usage, r.counted, err = protocol.ParseUsage(get(protocol.HeaderTokenUsage)); err != nil {
		return nil, err
	}
	parts, err := protocol.ParsePrompt(get(protocol.HeaderPromptPrefix))
	if err != nil {
		return nil, err
	}
	r.arrival.PromptTokens = float64(bodyLen / charsPerToken)
	if r.counted {
		r.arrival.PromptTokens = r.usage.Prompt
	}
	if n := len(parts); n > 0 {
		r.arrival.Session = parts[n-1].ID
		for _, part := range parts[:n-1] {
			r.arrival.Prefix, r.arrival.PrefixTokens = part.ID, r.arrival.PrefixTokens+part.Tokens
		}
	}
	r.arrival.PrefixTokens = min(r.arrival.PrefixTokens, r.arrival.PromptTokens)
	return r, nil
}

// allowance is what one request takes of its tenant's quota.
type allowance struct {
	quotas Quotas
	tenant *configuration.Tenant // nil for no limit
	units  float64
	taken  atomic.Int64 // when, in Unix nanoseconds
}

// allowanceFor is how long what was taken may wait for its sending: it counts where the request arrives at a host.
const allowanceFor = 500 * time.Millisecond

func (p *Plane) allowance(tenant *configuration.Tenant, r *request) *allowance {
	a := &allowance{quotas: p.o.Quotas}
	if tenant != nil && tenant.RatePerS > 0 {
		a.tenant, a.units = tenant, r.units(tenant)
	}
	return a
}

// take takes the units.
func (a *allowance) take() (ok bool, wait time.Duration) {
	if a.tenant == nil {
		return true, 0
	}
	a.taken.Store(time.Now().UnixNano())
	return a.quotas.Take(a.tenant, a.units)
}

// admit takes the units anew for an attempt that comes late, or after one that may have run.
func (a *allowance) admit(again bool) (ok bool, wait time.Duration) {
	if a.tenant == nil || !again && time.Since(time.Unix(0, a.taken.Load())) < allowanceFor {
		return true, 0
	}
	return a.take()
}

// ended gives the units back where nothing has run.
func (a *allowance) ended(end routing.Answer) {
	if end.Verdict == routing.Rejected && !end.MayHaveExecuted {
		a.refund()
	}
}

// refund gives the units back.
func (a *allowance) refund() {
	if a.tenant != nil {
		a.quotas.Put(a.tenant, a.units, time.Unix(0, a.taken.Load()))
	}
}

// units is what the request takes of a tenant's quota.
func (r *request) units(t *configuration.Tenant) float64 {
	if t.Unit != configuration.TokensUnit {
		return 1
	}
	if !r.counted {
		return t.UncachedTokens
	}
	return r.usage.Prompt + r.usage.Answer
}

// forward says how the request is passed on: without its key, under its tenant's name.
func (r *request) forward(ctx *fasthttp.RequestCtx, a *admitted) *transport.Forward {
	f := &transport.Forward{Events: r.route.Kind == configuration.Streaming, Silent: silence(r.route)}
	named := connectionNames(ctx.Request.Header.Peek("Connection"))
	for name, value := range ctx.Request.Header.All() {
		n := string(name)
		if protocol.ConnectionField(n) || named[strings.ToLower(n)] || own(n) {
			continue
		}
		f.Header = append(f.Header, protocol.Field{Name: n, Value: string(value)})
	}
	if a.tenant != nil {
		f.Header = append(f.Header, protocol.Field{Name: protocol.HeaderTenant, Value: a.tenant.Name})
	}
	f.Header = append(f.Header, protocol.Field{Name: protocol.HeaderPriority, Value: strconv.Itoa(rank(a))})
	return f
}

// mostRank is the least urgent rank that a host knows.
const mostRank = 9

// rank is how urgent a request is to its host, 0 being first: by its tenant, and of those of tenants that are alike by its route.
func rank(a *admitted) int {
	rank := a.route.Priority
	if a.tenant != nil && a.tenant.Priority != nil {
		rank += *a.tenant.Priority * (a.state.Typed.LowestPriority() + 1)
	}
	return min(max(rank, 0), mostRank)
}

// own tells whether a header is set by the router, whatever the client has sent.
func own(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Authorization", protocol.HeaderTenant, protocol.HeaderRequestID, protocol.HeaderDeadline, protocol.HeaderExpectedInstance, protocol.HeaderPriority:
		return true
	}
	return false
}

// connectionNames are the headers that a client's Connection header names, in lower case.
func connectionNames(value []byte) map[string]bool {
	named := map[string]bool{}
	for part := range bytes.SplitSeq(value, []byte(",")) {
		if name := strings.ToLower(string(bytes.TrimSpace(part))); name != "" {
			named[name] = true
		}
	}
	return named
}

// silence is how long a stream of a route may say nothing: a client gives it up then as well.
func silence(r *configuration.Route) time.Duration {
	return max(silentFor, 4*r.LatencyTarget(), 8*r.GapTarget())
}

// pick draws one of a route's services by their weights.
func (p *Plane) pick(r *configuration.Route) *service {
	pools := *p.pools.Load()
	total := 0.0
	for _, share := range r.Shares() {
		total += share.Weight
	}
	at := rand.Float64() * total
	for _, share := range r.Shares() {
		if at -= share.Weight; at < 0 && share.Weight > 0 {
			return pools[share.Service]
		}
	}
	return nil
}

// resume returns how a broken stream goes on at another host, nil where the route does not allow it.
func (p *Plane) resume(s *service, r *request, units *allowance, hold *pinHold, began time.Time) func(*transport.Message, *transport.Final, string) (*transport.Plan, bool) {
	if r.route.Kind != configuration.Streaming || !r.route.StreamResumption {
		return nil
	}
	tries := 1
	return func(message *transport.Message, first *transport.Final, after string) (*transport.Plan, bool) {
		left := r.arrival.TimeLeft - time.Since(began)
		version, needs, can := hold.resumed(first)
		if !can || tries >= max(r.route.MaxAttempts, 1) || left <= 0 || !s.retries.Take() {
			return nil, false
		}
		if ok, _ := units.take(); !ok {
			return nil, false
		}
		next := r.arrival
		next.ID += strings.Repeat(resumeSuffix, tries)
		next.TimeLeft, next.Resumed, next.RequiredFeature = r.arrival.TimeLeft, true, needs
		tries++
		return &transport.Plan{Router: s.router, Arrival: next, Message: message.After(after, version, units.admit)}, true
	}
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
		transport.Refuse(ctx, transport.Rejection{Code: http.StatusServiceUnavailable, Line: "refused; it has not run", Wait: a.RetryAfter, Keep: true})
	case final != nil:
		transport.WriteFinal(ctx, final)
	case a.Verdict == routing.Invalid:
		transport.Refuse(ctx, transport.Rejection{Code: http.StatusBadRequest, Line: "no host can use this request", Keep: true})
	default:
		transport.Refuse(ctx, transport.Rejection{Code: http.StatusBadGateway, Line: "failed", Keep: true})
	}
}

// MaxBody implements transport.Intake.
func (p *Plane) MaxBody() int {
	if state := p.state.Load(); state != nil && state.Typed.Limits.MaxBodyBytes > 0 {
		return state.Typed.Limits.MaxBodyBytes
	}
	return usualBody
}

// LongHead implements transport.Intake.
func (p *Plane) LongHead() transport.Rejection {
	return transport.Rejection{Code: http.StatusRequestHeaderFieldsTooLarge, Line: "the head is too long"}
}
