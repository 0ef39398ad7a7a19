package dataplane

import (
	"strconv"
	"sync/atomic"

	"reachspread/internal/system/message"
)

// modelVersion is one version of a model.
type modelVersion struct {
	model   string
	version int64
}

// String returns the name by which the balancer knows the version; see
// balance.Arrival.RequiredFeature.
func (m modelVersion) String() string { return m.model + ":" + strconv.FormatInt(m.version, 10) }

// models counts the ready hosts of a service for each version of a model that they have registered.
type models struct {
	hostCounts atomic.Pointer[map[modelVersion]int] // replaced with a new map, never modified
	names      map[modelVersion]string              // caches String for all hosts; only the goroutine that calls recount uses it
}

// ready returns how many ready hosts have a version of a model.
func (m *models) ready(v modelVersion) int {
	hosts := m.hostCounts.Load()
	if hosts == nil {
		return 0
	}
	return (*hosts)[v]
}

// otherVersions returns how many ready hosts have other versions of v's model. A host that has
// several other versions counts once for each of them.
func (m *models) otherVersions(v modelVersion) (n int) {
	hosts := m.hostCounts.Load()
	if hosts == nil {
		return 0
	}
	for other, count := range *hosts {
		if other.model == v.model && other.version != v.version {
			n += count
		}
	}
	return n
}

// modelCount is a count of the hosts per version that is not published yet.
type modelCount struct {
	of    *models
	hosts map[modelVersion]int
}

// recount begins a new count. Only one count may be in progress at a time.
func (m *models) recount() *modelCount {
	if m.names == nil || len(m.names) > maxModelNames {
		m.names = map[modelVersion]string{}
	}
	return &modelCount{of: m, hosts: map[modelVersion]int{}}
}

// maxModelNames is the size above which recount clears the cache of names, because the cache also
// holds the names of removed versions.
const maxModelNames = 4096

// add counts a host for each of its models, and returns the names of the models for the balancer.
func (c *modelCount) add(all []*message.Model) (features []string) {
	for _, m := range all {
		v := modelVersion{m.Name, m.Version}
		c.hosts[v]++
		name, known := c.of.names[v]
		if !known {
			name = v.String()
			c.of.names[v] = name
		}
		features = append(features, name)
	}
	return features
}

// publish replaces the current counts with c.
func (m *models) publish(c *modelCount) { m.hostCounts.Store(&c.hosts) }
