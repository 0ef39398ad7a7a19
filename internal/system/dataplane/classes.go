package dataplane

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"reachspread/balance"
	"reachspread/internal/system/deciders/configuration"
)

const (
	// lateValueFraction is the value of an answer after its latency target, as a fraction of the
	// value of one in time. No setting states it.
	lateValueFraction    = 0.3
	minStreamIdleTimeout = 2 * time.Second
)

// classesOf returns the request classes of each service, sorted by name. Routes to one service that
// have the same requirements share a class.
func classesOf(c *configuration.Configuration) map[string][]balance.Class {
	found := map[string]map[string]balance.Class{}
	for _, r := range c.Routes {
		for _, share := range r.Shares() {
			classes := found[share.Service]
			if classes == nil {
				classes = map[string]balance.Class{}
				found[share.Service] = classes
			}
			if _, ok := classes[r.ClassName()]; !ok {
				classes[r.ClassName()] = classOf(r)
			}
		}
	}
	all := make(map[string][]balance.Class, len(found))
	for service, classes := range found {
		all[service] = slices.SortedFunc(maps.Values(classes), byName)
	}
	return all
}

// byName compares classes by name.
func byName(a, b balance.Class) int { return cmp.Compare(a.Name, b.Name) }

// unionOfClasses returns the classes that are in at least one of two lists, sorted by name.
func unionOfClasses(a, b []balance.Class) []balance.Class {
	both := slices.Concat(a, b)
	slices.SortFunc(both, byName)
	return slices.CompactFunc(both, func(x, y balance.Class) bool { return x.Name == y.Name })
}

// classOf returns the class of a route, which tells the balancer the route's requirements. The name
// of the class encodes all of them.
func classOf(r *configuration.Route) balance.Class {
	c := balance.Class{
		Name:               r.ClassName(),
		Effect:             balance.Unsafe,
		LatencyTarget:      r.LatencyTarget(),
		TokenLatencyTarget: r.GapTarget(),
		Deadline:           r.Timeout(),
		Value:              1,
		LateValueFraction:  lateValueFraction,
		Streamed:           r.Kind == configuration.Streaming,
		MaxExecutions:      max(r.MaxAttempts, 1),
	}
	if r.Idempotent() {
		c.Effect = balance.Safe
	}
	return c
}
