package configuration

import (
	"time"
)

// Kind classifies the requests of a route by whether they may be retried.
type Kind string

// The values of Kind.
const (
	Safe      Kind = "safe"      // a request may execute more than once
	Unsafe    Kind = "unsafe"    // a request must not execute more than once
	Streaming Kind = "streaming" // the response is a stream; Route.StreamResumption decides on retries
)

// Share is a service with its weight in the traffic split of a route.
type Share struct {
	Service string  `json:"service" validate:"required"`
	Weight  float64 `json:"weight" validate:"gte=0"`
}

// Route defines the services that receive the requests for a host and path prefix, and the time
// limits of these requests. If several routes match a request, the route with the longest prefix
// applies.
type Route struct {
	Name       string `json:"name" validate:"required"`
	Host       string `json:"host"`       // host name of the request; case-insensitive
	PathPrefix string `json:"pathPrefix"` // prefix of the request's path; empty for every path of the host
	// Kind determines whether a request may execute more than once, and therefore whether routers
	// may retry it.
	Kind Kind `json:"kind"`
	// TimeoutMs is the maximum time for queueing and serving a request, in milliseconds. The client
	// gives up after this time.
	TimeoutMs float64 `json:"timeoutMs" validate:"gt=0"`
	// TargetLatencyMs is the time, in milliseconds, within which an answer has its full value; a
	// later answer has a fraction of it. For a stream the target applies to the first event. 0
	// means no target.
	TargetLatencyMs float64 `json:"targetLatencyMs" validate:"gte=0"`
	// Priority orders requests at a host if their tenants have equal priority. 0 is the most
	// urgent.
	Priority int `json:"priority"`
	// Service receives all requests, unless TrafficSplit divides the requests by weight.
	Service      string  `json:"service"`
	TrafficSplit []Share `json:"trafficSplit" validate:"dive"`
	// MaxAttempts is the maximum number of times that a request may execute, including the first
	// attempt. A value below 1 means 1.
	MaxAttempts int `json:"maxAttempts"`
	// Public exempts the route from API keys. Its requests don't count in any tenant's quota.
	Public bool `json:"public"`
	// SessionAffinity is accepted but has no effect, because routers choose hosts by the prefix of
	// the prompt.
	SessionAffinity bool `json:"sessionAffinity"`
	// StreamResumption allows another host to resume an interrupted stream after its last event.
	StreamResumption bool `json:"streamResumption"`
	// GapTargetMs is the maximum time between two events of a stream for the stream to be on time,
	// in milliseconds. 0 means no target.
	GapTargetMs float64 `json:"gap_aim_ms" validate:"gte=0"`

	class string
}

// ClassName returns the name of the route's request class. Routes with the same kind, time limits
// and number of attempts share a class.
func (r *Route) ClassName() string { return r.class }

// Timeout returns the maximum time for queueing and serving a request.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// LatencyTarget returns the time within which an answer has its full value, or 0 for no target.
func (r *Route) LatencyTarget() time.Duration { return milliseconds(r.TargetLatencyMs) }

// GapTarget returns the maximum time between two events of a stream that is on time, or 0 for no
// target.
func (r *Route) GapTarget() time.Duration { return milliseconds(r.GapTargetMs) }

// Idempotent reports whether a request of the route may execute more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.StreamResumption
}

// Shares returns the services of the route with their weights.
func (r *Route) Shares() []Share {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []Share{{Service: r.Service, Weight: 1}}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Engine describes the inference engine of a service's hosts. It is accepted but has no effect,
// because the hosts report their slots themselves.
type Engine struct {
	Slots         float64 `json:"slots"`
	KVCacheTokens float64 `json:"kvCacheTokens"`
	Stride        float64 `json:"stride"`
}

// Service is a group of interchangeable hosts. Only its name has an effect.
type Service struct {
	Name            string  `json:"name" validate:"required"`
	HealthCheckPath string  `json:"healthCheckPath"`
	ConnectionLimit int     `json:"connectionLimit"`
	Engine          *Engine `json:"engine"`
}

// Limits restricts the requests and connections of clients. A field that is 0 leaves the router's
// own limit in force.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`  // maximum size of a request's head
	MaxBodyBytes    int     `json:"maxBodyBytes"`    // maximum size of a request's body
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"` // maximum time for a request's head to arrive
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`   // maximum time between two requests on a connection
}

// TokensUnit is the Unit of a tenant whose limit counts tokens instead of requests.
const TokensUnit = "tokens"

// Tenant is an owner of API keys, with a priority and a rate limit.
type Tenant struct {
	Name    string   `json:"name" validate:"required"`
	APIKeys []string `json:"apiKeys"` // for bearer authorization; no two tenants may share a key
	// Priority orders requests at a host. 0 is the most urgent. It takes precedence over the
	// priority of routes. A missing priority counts as 0.
	Priority *int `json:"priority"`
	// Unit is the unit of the limit: TokensUnit for tokens, any other value for requests.
	Unit string `json:"unit"`
	// UncachedTokens is the number of tokens charged for a request that does not state the length
	// of its prompt in the header Token-Usage.
	UncachedTokens float64 `json:"uncachedTokens"`
	// RatePerS is the limit over all routers, in units per second. 0 means no limit.
	RatePerS float64 `json:"ratePerS" validate:"gte=0"`
	// Burst is the number of units that a tenant may use at once beyond the rate.
	Burst float64 `json:"burst" validate:"gte=0"`
}
