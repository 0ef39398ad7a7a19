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
	lateWorth = 0.3 // of an answer behind its aim, as nobody tells it
	silentFor = 2 * time.Second
)

// classesOf are the classes of each service, by their names: one for all routes to it that ask the same, however many there are.
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

func byName(a, b balance.Class) int { return cmp.Compare(a.Name, b.Name) }

// union are the classes of two lists, by their names.
func union(a, b []balance.Class) []balance.Class {
	both := slices.Concat(a, b)
	slices.SortFunc(both, byName)
	return slices.CompactFunc(both, func(x, y balance.Class) bool { return x.Name == y.Name })
}

// classOf is what the decisions know of a route. All of it is in the name of the class.
func classOf(r *configuration.Route) balance.Class {
	c := balance.Class{Name: r.ClassName(), Effect: balance.Unsafe, LatencyTarget: r.LatencyTarget(), Deadline: r.Timeout(), TokenLatencyTarget: r.GapTarget(),
		Value: 1, LateValueFraction: lateWorth, Streamed: r.Kind == configuration.Streaming, MaxExecutions: max(r.MaxAttempts, 1)}
	if r.Idempotent() {
		c.Effect = balance.Safe
	}
	return c
}
