package node

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"reachspread/internal/system/deciders/configuration"
)

var measure = flag.Bool("measure", false, "run the measurements")

// configurationWithRoutes returns a configuration with the given version and number of routes, to
// match the size of a grown deployment's.
func configurationWithRoutes(version, routes int) string {
	c := configuration.Configuration{Version: int64(version), Services: []*configuration.Service{{Name: "s"}, {Name: "t"}}}
	for i := range routes {
		c.Routes = append(c.Routes, idleRoute(i, "s"))
	}
	text, _ := json.Marshal(c)
	return string(text)
}

func idleRoute(i int, service string) *configuration.Route {
	return &configuration.Route{Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("h%d.example", i%40), PathPrefix: fmt.Sprintf("/p%d/", i), Kind: configuration.Safe,
		TimeoutMs: 3000, TargetLatencyMs: 500, Service: service, MaxAttempts: 2}
}

// resourceUsage is what the process has used since its start.
type resourceUsage struct {
	processor time.Duration
	bytes     uint64 // sent on the links between routers
	allocated uint64 // heap bytes allocated in total
}

func (f *testFleet) resourceUsage() (u resourceUsage) {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u.processor = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	for _, n := range f.nodes {
		u.bytes += n.link.Stats().SentBytes
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.allocated = m.TotalAlloc
	return u
}

// Measures the resources that a fleet uses to form, to apply a large configuration and to apply
// changes to it. It runs only with -measure.
func TestMeasureConfiguration(t *testing.T) {
	if !*measure {
		t.Skip("measurement, runs only with -measure")
	}
	const routers, routes, changes = 40, 2000, 20
	began := time.Now()
	f := newFleet(t, routers, 3)
	last := f.resourceUsage()
	step := func(what string) {
		now := f.resourceUsage()
		t.Logf("%-24s %6.2f s, processor %6.2f s, %7.2f MB sent, %7.1f MB allocated", what, time.Since(began).Seconds(), (now.processor - last.processor).Seconds(),
			float64(now.bytes-last.bytes)/1e6, float64(now.allocated-last.allocated)/1e6)
		began, last = time.Now(), now
	}
	everywhere := func(version int64) {
		f.eventually("the configuration is in force on all routers", func() bool {
			for _, n := range f.nodes {
				if n.plane.State().Version() != version {
					return false
				}
			}
			return true
		})
	}
	f.eventually("all routers know each other", func() bool {
		for _, n := range f.nodes {
			if n.plane.Routers() < routers {
				return false
			}
		}
		return true
	})
	step("from the start")
	f.changeConfiguration(http.MethodPut, configurationWithRoutes(1, routes), 0, 0)
	everywhere(1)
	step("a configuration")
	for i := range changes {
		text, _ := json.Marshal(map[string]any{"version": i + 2, "upsert": map[string]any{"routes": []any{idleRoute(i, "t")}}})
		f.changeConfiguration(http.MethodPatch, string(text), int64(i+1), i%routers)
	}
	everywhere(changes + 1)
	step("changes")
}
