package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	mapset "github.com/deckarep/golang-set/v2"
)

// Configuration is the typed form of a document, with indexes for lookups. Callers must not change
// it.
type Configuration struct {
	Version  int64      `json:"version"`
	Routes   []*Route   `json:"routes" validate:"dive"`
	Services []*Service `json:"services" validate:"dive"`
	Limits   Limits     `json:"limits"`
	Tenants  []*Tenant  `json:"tenants" validate:"dive"`

	requiresAPIKeys bool                    // the document has a list of tenants
	lowestPriority  int                     // the largest Priority of any route, at least 0
	routesByHost    map[string]*prefixIndex // by host name in lower case
	services        map[string]*Service     // by name
	tenantsByKey    map[string]*Tenant      // by API key
	tenants         map[string]*Tenant      // by name
}

// Compile returns the typed form of a document. For an invalid document it returns an *InvalidError
// or a *SyntaxError that describes the first fault.
func Compile(d *Document) (*Configuration, error) { return compileAfter(nil, d) }

// compileAfter compiles a document that replaces the document of another configuration, which may
// be nil. It returns the same as Compile, but it can reuse the route index of that configuration.
func compileAfter(before *Configuration, d *Document) (*Configuration, error) {
	c := &Configuration{
		Version:      d.Version,
		Routes:       typedItems[Route](d, "routes"),
		Services:     typedItems[Service](d, "services"),
		Tenants:      typedItems[Tenant](d, "tenants"),
		services:     map[string]*Service{},
		tenantsByKey: map[string]*Tenant{},
		tenants:      map[string]*Tenant{},
	}
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
	c.requiresAPIKeys = tenants != nil && tenants.list
	return c, nil
}

// typedItems returns the typed forms of the items of a list.
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

// addRoutes validates the routes and indexes them by host and prefix. The argument before is the
// replaced configuration, which may be nil. If it has the same services, addRoutes starts from its
// index and validates only the routes that are not in it.
func (c *Configuration) addRoutes(before *Configuration) error {
	c.routesByHost = map[string]*prefixIndex{}
	added, removed := c.Routes, []*Route(nil)
	if before != nil && slices.Equal(c.Services, before.Services) {
		added, removed = notIn(c.Routes, before.Routes), notIn(before.Routes, c.Routes)
		c.routesByHost = maps.Clone(before.routesByHost)
	}
	cloned := mapset.NewThreadUnsafeSet[string]()
	indexOf := func(r *Route) *prefixIndex {
		host := strings.ToLower(r.Host)
		if cloned.Add(host) {
			c.routesByHost[host] = c.routesByHost[host].clone()
		}
		return c.routesByHost[host]
	}
	for _, r := range removed {
		indexOf(r).remove(r)
	}
	for _, r := range added {
		if err := c.checkShares(r); err != nil {
			return err
		}
		if other := indexOf(r).add(r); other != nil {
			return invalidRoute(r, "pathPrefix", fmt.Sprintf("route %q has the same host and prefix", other.Name))
		}
	}
	for _, r := range c.Routes {
		c.lowestPriority = max(c.lowestPriority, r.Priority)
	}
	return nil
}

// notIn returns the routes that are not among the existing routes. It compares pointers.
func notIn(routes, existing []*Route) (all []*Route) {
	if slices.Equal(routes, existing) {
		return nil
	}
	known := make(map[*Route]bool, len(existing))
	for _, r := range existing {
		known[r] = true
	}
	for _, r := range routes {
		if !known[r] {
			all = append(all, r)
		}
	}
	return all
}

// checkShares validates that the services of a route exist and that their weights add up to more
// than 0.
func (c *Configuration) checkShares(r *Route) error {
	total := 0.0
	for _, s := range r.Shares() {
		if c.services[s.Service] == nil {
			return invalidRoute(r, "service", fmt.Sprintf("%q is not among the services", s.Service))
		}
		total += s.Weight
	}
	if total <= 0 {
		return invalidRoute(r, "trafficSplit", "the weights add up to 0")
	}
	return nil
}

func invalidRoute(r *Route, field, reason string) error {
	return &InvalidError{fmt.Sprintf("route %q", r.Name), field, reason}
}

// addTenants indexes the tenants by name and API key. It returns an error if two tenants have the
// same key.
func (c *Configuration) addTenants() error {
	for _, t := range c.Tenants {
		c.tenants[t.Name] = t
		for _, key := range t.APIKeys {
			if other := c.tenantsByKey[key]; other != nil && other != t {
				reason := fmt.Sprintf("tenant %q has one of the keys as well", other.Name)
				return &InvalidError{fmt.Sprintf("tenant %q", t.Name), "apiKeys", reason}
			}
			c.tenantsByKey[key] = t
		}
	}
	return nil
}

// RequiresAPIKeys reports whether requests need API keys, except on public routes.
func (c *Configuration) RequiresAPIKeys() bool { return c.requiresAPIKeys }

// LowestPriority returns the Priority of the least urgent route, which is the largest number.
func (c *Configuration) LowestPriority() int { return c.lowestPriority }

// Tenant returns the owner of an API key, or nil.
func (c *Configuration) Tenant(key string) *Tenant { return c.tenantsByKey[key] }

// TenantNamed returns the tenant with the given name, or nil.
func (c *Configuration) TenantNamed(name string) *Tenant { return c.tenants[name] }

// RouteNamed returns the route with the given name, or nil. Its running time is linear in the
// number of routes.
func (c *Configuration) RouteNamed(name string) *Route {
	i := slices.IndexFunc(c.Routes, func(r *Route) bool { return r.Name == name })
	if i < 0 {
		return nil
	}
	return c.Routes[i]
}

// Service returns the service with the given name, or nil.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Route returns the route of a host with the longest prefix of a path, or nil. The case of the host
// name does not matter.
func (c *Configuration) Route(host, path string) *Route {
	return c.routesByHost[strings.ToLower(host)].longest(path)
}
