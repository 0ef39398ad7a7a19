package transport

import (
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

// Intake adapts the front end to one deployment. The front end reads requests and writes answers;
// the intake decides which router gets a request and under which ID, and formats the answers. Its
// methods are called from many goroutines.
type Intake interface {
	// Local answers a request that is for the router itself, and reports whether it did.
	Local(ctx *fasthttp.RequestCtx) bool
	// Head checks a request by its head, before its body is read. It returns nil to admit the
	// request.
	Head(ctx *fasthttp.RequestCtx) *Rejection
	// Plan decides where a request goes after its body was read. The first byte of the request
	// arrived at began.
	Plan(ctx *fasthttp.RequestCtx, body []byte, began time.Time) (*Plan, *Rejection)
	// Served writes the head of an answer whose body follows.
	Served(ctx *fasthttp.RequestCtx, s *routing.Stream)
	// Unserved writes the answer to a request that no server has served.
	Unserved(ctx *fasthttp.RequestCtx, a routing.Answer)
	// Count counts a request that is answered before it reaches a router.
	Count(ctx *fasthttp.RequestCtx, rejection Rejection)
	// MaxBody returns the longest allowed body of a request, in bytes.
	MaxBody() int
	// LongHead returns the answer to a request whose head is too long.
	LongHead() Rejection
}

// Plan says where a request goes.
type Plan struct {
	Router  *routing.Router
	Arrival balance.Arrival
	Message *Message
	// Resume returns the plan that continues an answer that broke off after the event with the ID
	// after; ok is false if the answer can't be continued. first is the head of the answer so far.
	// Resume is nil if continuing is not allowed.
	Resume func(m *Message, first *Final, after string) (next *Plan, ok bool)
	// Outdated reports whether a request that was rejected before it executed has to be planned
	// again. It may be nil.
	Outdated func() bool
	// Ended is called once when the request ends. It may be nil.
	Ended func(routing.Answer)
}

// end calls Ended, if it is set.
func (p *Plan) end(a routing.Answer) {
	if p.Ended != nil {
		p.Ended(a)
	}
}

// Rejection is the router's own answer to a request that it does not accept.
type Rejection struct {
	Code       int
	Text       string        // one line for the client
	RetryAfter time.Duration // when to retry, 0 for no advice
	KeepAlive  bool          // the connection stays open, because the request was read completely
}

// completions is the intake of the router in service.
type completions struct {
	front  *Front
	router *routing.Router
}

// Local implements Intake.
func (c *completions) Local(ctx *fasthttp.RequestCtx) bool {
	switch path := string(ctx.URI().PathOriginal()); { // as received, because it is forwarded unchanged
	case path == protocol.PathReady:
		if !c.front.ready.Load() {
			answerLine(ctx, fasthttp.StatusServiceUnavailable, "not ready")
			return true
		}
		answerLine(ctx, fasthttp.StatusOK, "ready")
	case path != protocol.PathCompletions:
		reject(ctx, fasthttp.StatusNotFound, "no such path")
	case !ctx.IsPost():
		ctx.Response.Header.Set("Allow", "POST")
		reject(ctx, fasthttp.StatusMethodNotAllowed, "only POST is served here")
	default:
		return false
	}
	return true
}

// Head implements Intake.
func (c *completions) Head(*fasthttp.RequestCtx) *Rejection { return nil }

// Plan implements Intake.
func (c *completions) Plan(ctx *fasthttp.RequestCtx, body []byte, _ time.Time) (*Plan, *Rejection) {
	header := &ctx.Request.Header
	arrival, err := protocol.ParseArrival(func(name string) string { return string(header.Peek(name)) }, len(body))
	if err != nil {
		return nil, &Rejection{Code: fasthttp.StatusBadRequest, Text: err.Error()}
	}
	return &Plan{Router: c.router, Arrival: arrival, Message: &Message{
		method:      append([]byte(nil), header.Method()...),
		uri:         append([]byte(nil), header.RequestURI()...),
		contentType: append([]byte(nil), header.ContentType()...),
		id:          []byte(arrival.ID),
		body:        body,
		class:       arrival.Class,
	}}, nil
}

// Served implements Intake.
func (c *completions) Served(ctx *fasthttp.RequestCtx, _ *routing.Stream) {
	ctx.Response.Header.SetContentType("text/event-stream")
}

// Unserved implements Intake.
func (c *completions) Unserved(ctx *fasthttp.RequestCtx, a routing.Answer) {
	switch a.Verdict {
	case routing.Rejected:
		if a.RetryAfter > 0 {
			ctx.Response.Header.Set("Retry-After", protocol.FormatRetryAfter(a.RetryAfter))
		}
		answerLine(ctx, fasthttp.StatusServiceUnavailable, "refused; trying again is harmless")
	case routing.Invalid:
		reject(ctx, fasthttp.StatusBadRequest, "no server can use this request")
	default:
		answerLine(ctx, fasthttp.StatusBadGateway, "failed")
	}
}

// Count implements Intake.
func (c *completions) Count(ctx *fasthttp.RequestCtx, rejection Rejection) {
	v := routing.Failed
	if rejection.Code == fasthttp.StatusTooManyRequests || rejection.Code == fasthttp.StatusServiceUnavailable {
		v = routing.Rejected
	}
	c.router.CountUnadmitted(string(ctx.Request.Header.Peek(protocol.HeaderClass)), v)
}

// MaxBody implements Intake.
func (c *completions) MaxBody() int { return MaxBody }

// LongHead implements Intake.
func (c *completions) LongHead() Rejection {
	return Rejection{Code: fasthttp.StatusBadRequest, Text: "the head is too long"}
}
