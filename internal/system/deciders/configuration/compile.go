package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
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
	GapTargetMs      float64 `json:"gap_aim_ms" validate:"gte=0"`

	class string
}

// ClassName names what the route asks of a service that answers its requests. Routes that ask the same have the same one.
func (r *Route) ClassName() string { return r.class }

// decodeRoute reads a route and names its class.
func decodeRoute(name string, raw json.RawMessage) (any, error) {
	v, err := decode[Route](name, raw)
	if err != nil {
		return nil, err
	}
	r := v.(*Route)
	kind := string(r.Kind)
	if r.Kind == Streaming && r.StreamResumption {
		kind += "+resumed"
	}
	r.class = fmt.Sprintf("%s timeout=%g target=%g gap=%g attempts=%d", kind, r.TimeoutMs, r.TargetLatencyMs, r.GapTargetMs, r.MaxAttempts)
	return r, nil
}

// Timeout is the longest that the operator wants a request held.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// Target is the time within which an answer earns its full worth.
func (r *Route) LatencyTarget() time.Duration { return milliseconds(r.TargetLatencyMs) }

// Gap is the longest pause between events at which an answer is in time.
func (r *Route) GapTarget() time.Duration { return milliseconds(r.GapTargetMs) }

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

	keyed          bool                 // requests need keys
	lowestPriority int                  // the rank of the least urgent route
	hosts          map[string]*prefixes // in lower case
	services       map[string]*Service
	keys           map[string]*Tenant
	tenants        map[string]*Tenant
}

// InvalidError says why a configuration that could be read is refused.
type InvalidError struct {
	Item   string // the kind and the name of the item at fault, such as route "a"
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Item + ": " + e.Field + ": " + e.Reason }

// decoders give the typed forms of items, by the names of their lists. What is an item's name is in the errors.
var decoders = map[string]func(name string, raw json.RawMessage) (any, error){
	"routes":   decodeRoute,
	"services": decode[Service],
	"tenants":  decode[Tenant],
}

// decode reads one item and checks what can be told from it alone.
func decode[T any](name string, raw json.RawMessage) (any, error) {
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return nil, typeError(name, err)
	}
	if err := validate.Struct(v); err != nil {
		return nil, validationError(name, err)
	}
	return v, nil
}

// wrongKind names the field whose value is of another kind than belongs there.
func typeError(what string, err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return &SyntaxError{what + ": " + wrong.Field, "is a " + wrong.Value + " where another kind of value belongs"}
	}
	return &SyntaxError{what, err.Error()}
}

// typedItems are the typed forms of a list's items.
func typedItems[T any](d *Document, list string) []*T {
	f := d.find(list)
	if f == nil {
		return nil
	}
	all := make([]*T, 0, len(f.items))
	for _, it := range f.items {
		all = append(all, it.typed.(*T))
	}
	return all
}

// Compile gives the typed form of a document, or the first fault for which it is refused.
func Compile(d *Document) (*Configuration, error) { return compileAfter(nil, d) }

// compileAfter is Compile for a document that was made of that of another configuration, nil for none.
func compileAfter(before *Configuration, d *Document) (*Configuration, error) {
	c := &Configuration{Version: d.Version, Routes: typedItems[Route](d, "routes"), Services: typedItems[Service](d, "services"), Tenants: typedItems[Tenant](d, "tenants"),
		services: map[string]*Service{}, keys: map[string]*Tenant{}, tenants: map[string]*Tenant{}}
	if limits := d.find("limits"); limits != nil && !limits.list {
		if err := json.Unmarshal(limits.value, &c.Limits); err != nil {
			return nil, typeError("limits", err)
		}
	}
	for _, s := range c.Services {
		c.services[s.Name] = s
	}
	if err := c.addRoutes(before); err != nil {
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

// invalid names the first field of an item that is at fault.
func validationError(item string, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return &InvalidError{item, "a field", err.Error()}
	}
	first := fields[0]
	_, path, _ := strings.Cut(first.Namespace(), ".")
	rule := strings.TrimSuffix(first.Tag()+" "+first.Param(), " ")
	return &InvalidError{item, path, fmt.Sprintf("is %v; it must satisfy %s", first.Value(), rule)}
}

// addRoutes checks the routes and indexes them by where they are. Those that were in the configuration before, nil for none, with the same
// services are taken over.
func (c *Configuration) addRoutes(before *Configuration) error {
	c.hosts = map[string]*prefixes{}
	added, removed := c.Routes, []*Route(nil)
	if before != nil && slices.Equal(c.Services, before.Services) {
		added, removed = notIn(c.Routes, before.Routes), notIn(before.Routes, c.Routes)
		c.hosts = maps.Clone(before.hosts)
	}
	touched := mapset.NewThreadUnsafeSet[string]()
	at := func(r *Route) *prefixes {
		host := strings.ToLower(r.Host)
		if touched.Add(host) {
			c.hosts[host] = c.hosts[host].clone()
		}
		return c.hosts[host]
	}
	for _, r := range removed {
		at(r).remove(r)
	}
	for _, r := range added {
		if err := c.checkShares(r); err != nil {
			return err
		}
		if other := at(r).add(r); other != nil {
			return &InvalidError{fmt.Sprintf("route %q", r.Name), "pathPrefix", fmt.Sprintf("route %q has the same host and prefix", other.Name)}
		}
	}
	for _, r := range c.Routes {
		c.lowestPriority = max(c.lowestPriority, r.Priority)
	}
	return nil
}

// lacking are the routes that are not among others.
func notIn(routes, others []*Route) (all []*Route) {
	if slices.Equal(routes, others) {
		return nil
	}
	known := make(map[*Route]bool, len(others))
	for _, r := range others {
		known[r] = true
	}
	for _, r := range routes {
		if !known[r] {
			all = append(all, r)
		}
	}
	return all
}

// checkShares finds a route to services that are not there, or to none.
func (c *Configuration) checkShares(r *Route) error {
	total := 0.0
	for _, s := range r.Shares() {
		if c.services[s.Service] == nil {
			return &InvalidError{fmt.Sprintf("route %q", r.Name), "service", fmt.Sprintf("%q is not among the services", s.Service)}
		}
		total += s.Weight
	}
	if total <= 0 {
		return &InvalidError{fmt.Sprintf("route %q", r.Name), "trafficSplit", "the weights add up to 0"}
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
func (c *Configuration) LowestPriority() int { return c.lowestPriority }

// Tenant returns who holds a key, nil for nobody.
func (c *Configuration) Tenant(key string) *Tenant { return c.keys[key] }

// TenantNamed returns the tenant of a name, nil for none.
func (c *Configuration) TenantNamed(name string) *Tenant { return c.tenants[name] }

// RouteNamed returns the route of a name, nil for none. It looks at all of them.
func (c *Configuration) RouteNamed(name string) *Route {
	at := slices.IndexFunc(c.Routes, func(r *Route) bool { return r.Name == name })
	if at < 0 {
		return nil
	}
	return c.Routes[at]
}

// Service returns the service of a name, nil for none.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Route returns the route of a host and a path, the longest prefix of those that fit; nil for none.
func (c *Configuration) Route(host, path string) *Route {
	return c.hosts[strings.ToLower(host)].longest(path)
}
