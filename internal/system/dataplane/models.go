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

// String returns its name for the decisions; see balance.Arrival.RequiredFeature.
func (m modelVersion) String() string { return m.model + ":" + strconv.FormatInt(m.version, 10) }

// models counts the versions of models that the ready hosts of a service have, by their
// registrations.
type models struct {
	hostCounts atomic.Pointer[map[modelVersion]int] // replaced, never changed
	names      map[modelVersion]string              // one text for all hosts; the caller of recount's
}

// ready returns how many ready hosts have a version.
func (m *models) ready(v modelVersion) int {
	hosts := m.hostCounts.Load()
	if hosts == nil {
		return 0
	}
	return (*hosts)[v]
}

// otherVersions returns how many ready hosts have a model in other versions than one. A host with
// several counts for each.
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

// modelCount is a count under way.
type modelCount struct {
	of    *models
	hosts map[modelVersion]int
}

// recount begins a count. There is one at a time.
func (m *models) recount() *modelCount {
	if m.names == nil || len(m.names) > maxModelNames {
		m.names = map[modelVersion]string{}
	}
	return &modelCount{of: m, hosts: map[modelVersion]int{}}
}

// maxModelNames bounds the names that are cached, of versions that may have been removed.
const maxModelNames = 4096

// add counts a host with its models, and returns their names for the decisions.
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

// publish puts a count in force.
func (m *models) publish(c *modelCount) { m.hostCounts.Store(&c.hosts) }
