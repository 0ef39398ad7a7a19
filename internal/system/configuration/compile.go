package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// Kind tells what may be repeated of a route's requests.
type Kind string

// The kinds.
const (
	Safe      Kind = "safe"
	Unsafe    Kind = "unsafe"
	Streaming Kind = "streaming"
)

// Share is a part of a route's traffic that goes to a service.
type Share struct {
	Service string  `json:"service" validate:"required"`
	Weight  float64 `json:"weight" validate:"gte=0"`
}

// Route is where requests of a host and a path go.
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
	GapAimMs         float64 `json:"gap_aim_ms" validate:"gte=0"`
}

// Timeout is the longest that the operator wants a request held.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// Target is the time within which an answer earns its full worth.
func (r *Route) Target() time.Duration { return milliseconds(r.TargetLatencyMs) }

// Gap is the longest pause between events at which an answer is in time.
func (r *Route) Gap() time.Duration { return milliseconds(r.GapAimMs) }

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.StreamResumption
}

// Shares are the services of the route with their weights.
func (r *Route) Shares() []Share {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []Share{{Service: r.Service, Weight: 1}}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Engine is what is known of a service's model hosts.
type Engine struct {
	Slots         float64 `json:"slots"`
	KVCacheTokens float64 `json:"kvCacheTokens"`
	Stride        float64 `json:"stride"`
}

// Service is a group of hosts that are alike.
type Service struct {
	Name            string  `json:"name" validate:"required"`
	HealthCheckPath string  `json:"healthCheckPath"`
	ConnectionLimit int     `json:"connectionLimit"`
	Engine          *Engine `json:"engine"`
}

// Limits bound what a client may send. One that is 0 is no bound.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int     `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}

// TokensUnit is the unit of tenants whose limits count tokens.
const TokensUnit = "tokens"

// Tenant is who holds keys, and what it may use.
type Tenant struct {
	Name           string   `json:"name" validate:"required"`
	APIKeys        []string `json:"apiKeys"`
	Priority       *int     `json:"priority"`
	Unit           string   `json:"unit"`
	UncachedTokens float64  `json:"uncachedTokens"`
	RatePerS       float64  `json:"ratePerS" validate:"gte=0"`
	Burst          float64  `json:"burst" validate:"gte=0"`
}

// Configuration is the typed form of a document. It is not to be changed.
type Configuration struct {
	Version  int64      `json:"version"`
	Routes   []*Route   `json:"routes" validate:"dive"`
	Services []*Service `json:"services" validate:"dive"`
	Limits   Limits     `json:"limits"`
	Tenants  []*Tenant  `json:"tenants" validate:"dive"`

	keyed    bool // requests need keys
	least    int  // the rank of the least urgent route
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Tenant
	tenants  map[string]*Tenant
}

// InvalidError says why a configuration that could be read is refused.
type InvalidError struct {
	Item  string // the kind and the name of the item at fault, such as route "a"
	Field string
	Why   string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Item + ": " + e.Field + ": " + e.Why }

// Compile gives the typed form of a document, or the first fault for which it is refused.
func Compile(d *Document) (*Configuration, error) {
	c := &Configuration{hosts: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Tenant{}, tenants: map[string]*Tenant{}}
	if err := json.Unmarshal(d.JSON(), c); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, &SyntaxError{wrong.Field, "is a " + wrong.Value + " where another kind of value belongs"}
		}
		return nil, &SyntaxError{"the configuration", err.Error()}
	}
	if err := validate.Struct(c); err != nil {
		return nil, invalid(err)
	}
	for _, s := range c.Services {
		c.services[s.Name] = s
	}
	if err := c.addRoutes(); err != nil {
		return nil, err
	}
	if err := c.addTenants(); err != nil {
		return nil, err
	}
	tenants := d.find("tenants")
	c.keyed = tenants != nil && tenants.list
	return c, nil
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// invalid names the first field at fault.
func invalid(err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return &InvalidError{"the configuration", "a field", err.Error()}
	}
	first := fields[0]
	_, path, _ := strings.Cut(first.Namespace(), ".")
	place, field, nested := strings.Cut(path, ".")
	if !nested {
		place, field = "the configuration", path
	}
	rule := strings.TrimSuffix(first.Tag()+" "+first.Param(), " ")
	return &InvalidError{place, field, fmt.Sprintf("is %v; it must satisfy %s", first.Value(), rule)}
}

// place is a host and a prefix, of which a configuration has one route at most.
type place struct{ host, prefix string }

func (c *Configuration) addRoutes() error {
	places := map[place]string{}
	for _, r := range c.Routes {
		item := fmt.Sprintf("route %q", r.Name)
		total := 0.0
		for _, s := range r.Shares() {
			if c.services[s.Service] == nil {
				return &InvalidError{item, "service", fmt.Sprintf("%q is not among the services", s.Service)}
			}
			total += s.Weight
		}
		if total <= 0 {
			return &InvalidError{item, "trafficSplit", "the weights add up to 0"}
		}
		at := place{strings.ToLower(r.Host), r.PathPrefix}
		if other, taken := places[at]; taken {
			return &InvalidError{item, "pathPrefix", fmt.Sprintf("route %q has the same host and prefix", other)}
		}
		places[at] = r.Name
		c.hosts[at.host] = append(c.hosts[at.host], r)
		c.least = max(c.least, r.Priority)
	}
	return nil
}

func (c *Configuration) addTenants() error {
	for _, t := range c.Tenants {
		c.tenants[t.Name] = t
		for _, key := range t.APIKeys {
			if other := c.keys[key]; other != nil && other != t {
				return &InvalidError{fmt.Sprintf("tenant %q", t.Name), "apiKeys", fmt.Sprintf("tenant %q has one of the keys as well", other.Name)}
			}
			c.keys[key] = t
		}
	}
	return nil
}

// Keyed tells whether requests need keys, but for public routes.
func (c *Configuration) Keyed() bool { return c.keyed }

// LeastUrgent is the priority of the least urgent route.
func (c *Configuration) LeastUrgent() int { return c.least }

// Tenant returns who holds a key, nil for nobody.
func (c *Configuration) Tenant(key string) *Tenant { return c.keys[key] }

// TenantNamed returns the tenant of a name, nil for none.
func (c *Configuration) TenantNamed(name string) *Tenant { return c.tenants[name] }

// Service returns the service of a name, nil for none.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Route returns the route of a host and a path, the longest prefix of those that fit; nil for none.
func (c *Configuration) Route(host, path string) *Route {
	var best *Route
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}
