package configuration

import (
	"time"
)

// Kind says which requests of a route may be retried.
type Kind string

// The kinds.
const (
	Safe      Kind = "safe"
	Unsafe    Kind = "unsafe"
	Streaming Kind = "streaming"
)

// Share is a service with its weight in a route's traffic split.
type Share struct {
	Service string  `json:"service" validate:"required"`
	Weight  float64 `json:"weight" validate:"gte=0"`
}

// Route says to which services requests of a host and path prefix go, and within which times.
type Route struct {
	Name             string  `json:"name" validate:"required"`
	Host             string  `json:"host"`
	PathPrefix       string  `json:"pathPrefix"`
	Kind             Kind    `json:"kind"`
	TimeoutMs        float64 `json:"timeoutMs" validate:"gt=0"`
	TargetLatencyMs  float64 `json:"targetLatencyMs" validate:"gte=0"`
	Priority         int     `json:"priority"`
	Service          string  `json:"service"`
	TrafficSplit     []Share `json:"trafficSplit" validate:"dive"`
	MaxAttempts      int     `json:"maxAttempts"`
	Public           bool    `json:"public"`
	SessionAffinity  bool    `json:"sessionAffinity"`
	StreamResumption bool    `json:"streamResumption"`
	GapTargetMs      float64 `json:"gap_aim_ms" validate:"gte=0"`

	class string
}

// ClassName names what the route requires of a service. Routes with the same requirements have the
// same name.
func (r *Route) ClassName() string { return r.class }

// Timeout is the longest time that a request may be queued and served.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// LatencyTarget is the time within which an answer has its full value; 0 for no target.
func (r *Route) LatencyTarget() time.Duration { return milliseconds(r.TargetLatencyMs) }

// GapTarget is the longest gap between two events of a stream that is in time; 0 for no target.
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

// Engine describes the inference engine of a service's hosts.
type Engine struct {
	Slots         float64 `json:"slots"`
	KVCacheTokens float64 `json:"kvCacheTokens"`
	Stride        float64 `json:"stride"`
}

// Service is a group of equal hosts.
type Service struct {
	Name            string  `json:"name" validate:"required"`
	HealthCheckPath string  `json:"healthCheckPath"`
	ConnectionLimit int     `json:"connectionLimit"`
	Engine          *Engine `json:"engine"`
}

// Limits bound what a client may send; 0 is no bound.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int     `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}

// TokensUnit is the Unit of a tenant whose limit counts tokens instead of requests.
const TokensUnit = "tokens"

// Tenant is the owner of API keys, with its rate limit.
type Tenant struct {
	Name           string   `json:"name" validate:"required"`
	APIKeys        []string `json:"apiKeys"`
	Priority       *int     `json:"priority"`
	Unit           string   `json:"unit"`
	UncachedTokens float64  `json:"uncachedTokens"`
	RatePerS       float64  `json:"ratePerS" validate:"gte=0"`
	Burst          float64  `json:"burst" validate:"gte=0"`
}
