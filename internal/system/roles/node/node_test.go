package node

import (
	"bytes"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/internal/system/message"
	"reachspread/internal/system/settings"
)

// Covers the complete path. Routers find each other through seeds. A configuration change that any
// router accepts comes into force on all. All routers know the hosts that register with one of
// them, stop sending requests to a draining host and reject a revoked key. All of this still works
// while a member of the register is lost and after it has restarted.
func TestFleetSurvivesLossOfAMember(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5, 3)
	all := []int{0, 1, 2, 3, 4}
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 4, 3), 200)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 1), 200) // a retry
	one, two := f.host("one"), f.host("two")
	status, text := f.heartbeat(3, "i-1", "s", one, "ready", 1)
	is.Equal(status, 200)
	is.True(strings.Contains(text, "heartbeatAddress"))
	serves := func(i int, id, want string) func() bool {
		return func() bool {
			status, text := f.request(i, "/a", id, "k")
			return status == 200 && text == want
		}
	}
	for _, i := range all {
		f.eventually(fmt.Sprint("router ", i, " serves"), serves(i, fmt.Sprint("q", i), "one"))
		f.eventually(fmt.Sprint("router ", i, " is ready"), func() bool { return f.ready(i) })
	}
	status, _ = f.request(0, "/a", "q", "other")
	is.Equal(status, 401)

	status, _ = f.heartbeat(2, "i-2", "s", two, "ready", 1)
	is.Equal(status, 200)
	status, _ = f.heartbeat(4, "i-1", "s", one, "draining", 2)
	is.Equal(status, 200)
	for _, i := range all {
		f.eventually(fmt.Sprint("router ", i, " sends no requests to the draining host"), serves(i, fmt.Sprint("d", i), "two"))
	}

	f.crash(1)
	is.Equal(f.changeConfiguration(http.MethodPatch, `{"version":5,"upsert":{"tenants":[{"name":"x","apiKeys":["k2"],"ratePerS":1000,"burst":1000}]}}`, 1, 0, 2, 3), 200)
	for _, i := range []int{0, 2, 3, 4} {
		f.eventually(fmt.Sprint("router ", i, " rejects the revoked key"), func() bool {
			f.heartbeat(0, "i-2", "s", two, "ready", 2)
			status, _ := f.request(i, "/a", fmt.Sprint("k", i), "k")
			return status == 401
		})
	}
	f.start(1, filepath.Dir(f.nodes[1].settings().DataDirectory), false)
	f.eventually("the restarted member is in the chain", func() bool { return len(f.nodes[1].replica.Status().View.Chain) == 3 })
	f.eventually("the restarted member has the newest configuration", func() bool {
		status, text := f.call(1, http.MethodGet, "/configuration", "", nil)
		return status == 200 && strings.Contains(text, `"version":5`)
	})
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 1), 200) // a retry of an accepted change is never rejected
	is.Equal(f.changeConfiguration(http.MethodPut, strings.Replace(firstConfiguration, `"version":1`, `"version":9`, 1), 1, 3), 412)
}

// A router that reaches no majority of the register does not acknowledge to a host that it drains
// or ends, whether or not its membership still lists the other routers. Such an acknowledgement
// would bind the other routers, which would not learn of it. For the same reason the router
// neither returns nor accepts a configuration. A single member of a larger register is not a
// majority. A router that has just started does not acknowledge the end of a host that it does not
// know.
func TestIsolatedRouterAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 3)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 3), 200)
	one := f.host("one")
	for i, id := range []string{"i-1", "i-2", "i-3"} {
		f.eventually("the host's heartbeat is acknowledged", func() bool { status, _ := f.heartbeat(3, id, "s", one, "ready", 1); return status == 200 })
		f.eventually("the first router knows the host", func() bool { return f.knowsHost(0, id) })
		if i == 0 {
			f.eventually("the host's drain is acknowledged", func() bool { status, _ := f.heartbeat(3, id, "s", one, "draining", 2); return status == 200 })
		}
	}
	f.crash(1)
	f.crash(2)
	f.eventually("the remaining routers do not reach a majority", func() bool { return !f.nodes[0].hub.reachesMajority() && !f.nodes[3].hub.reachesMajority() })
	for range 2 {
		status, _ := f.heartbeat(0, "i-2", "s", one, "draining", 2)
		is.Equal(status, http.StatusServiceUnavailable)
		status, _ = f.heartbeat(0, "i-2", "s", one, "draining", 3)
		is.Equal(status, http.StatusServiceUnavailable) // this router knows of the drain by now
		status, _ = f.call(0, http.MethodDelete, "/instances/i-3", "", nil)
		is.Equal(status, http.StatusServiceUnavailable)
		status, _ = f.call(0, http.MethodDelete, "/instances/unknown", "", nil)
		is.Equal(status, http.StatusServiceUnavailable)
		status, _ = f.call(0, http.MethodGet, "/configuration", "", nil)
		is.Equal(status, http.StatusServiceUnavailable)
		status, _ = f.call(0, http.MethodPut, "/configuration", strings.Replace(firstConfiguration, `"version":1`, `"version":2`, 1), map[string]string{"If-Match": "1"})
		is.Equal(status, http.StatusServiceUnavailable)
		status, _ = f.call(0, http.MethodPut, "/configuration", strings.Replace(firstConfiguration, `"version":1`, `"version":2`, 1), map[string]string{"If-Match": "0"})
		is.Equal(status, http.StatusServiceUnavailable) // nor does the router reject the change because of the version
		f.eventually("the membership has only the remaining routers", func() bool { return f.liveRouters(0) == 2 })
	}
	f.start(1, filepath.Dir(f.nodes[0].settings().DataDirectory), false)
	f.eventually("the drain is acknowledged once a majority is reachable again", func() bool { status, _ := f.heartbeat(0, "i-2", "s", one, "draining", 4); return status == 200 })
	f.eventually("the host's end is acknowledged", func() bool {
		status, _ := f.call(0, http.MethodDelete, "/instances/i-3", "", nil)
		return status == 200
	})
}

// Guards against rejections that are based on an outdated configuration. In a test run with hundreds
// of configuration changes (CONFIG), a router that had been isolated for 17 s rejected requests with
// 401 and 404 by an older version, for up to 5 s after the partition had healed. It received no
// updates in that time (see package link). It rejected keys as long as its configuration had been
// confirmed within revocationMs, and routes whatever the age of the configuration.
//
// A router whose configuration is not confirmed answers 503 to requests that the configuration does
// not allow, and still serves those that it allows. Once the configuration is confirmed again, the
// router rejects what it does not allow.
func TestUnconfirmedConfigurationRejectsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 3)
	is.Equal(f.changeConfiguration(http.MethodPut, strings.NewReplacer(`"pathPrefix":"/"`, `"pathPrefix":"/a/"`, `,"ratePerS":1000,"burst":1000`, "").Replace(firstConfiguration), 0, 3), 200)
	one := f.host("one")
	f.eventually("the host's heartbeat is acknowledged", func() bool { status, _ := f.heartbeat(0, "i-1", "s", one, "ready", 1); return status == 200 })
	f.eventually("requests are served", func() bool { status, _ := f.request(0, "/a/", "1", "k"); return status == 200 })
	rejections := func() (route, key int) {
		route, _ = f.request(0, "/b/", "2", "k")
		key, _ = f.request(0, "/a/", "3", "unknown")
		return route, key
	}
	route, key := rejections()
	is.Equal([]int{route, key}, []int{http.StatusNotFound, http.StatusUnauthorized})
	f.crash(1)
	f.crash(2)
	f.eventually("the configuration has been unconfirmed for longer than its bound", func() bool { return !f.nodes[0].hub.confirmedWithin(applyMs * time.Millisecond) })
	route, key = rejections()
	is.Equal([]int{route, key}, []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable})
	status, _ := f.request(0, "/a/", "4", "k")
	is.Equal(status, http.StatusOK)
	f.start(1, filepath.Dir(f.nodes[0].settings().DataDirectory), false)
	f.eventually("the router rejects again what the configuration does not allow", func() bool {
		route, key := rejections()
		return route == http.StatusNotFound && key == http.StatusUnauthorized
	})
}

// When members of the register drain, standbys replace them before they end, even if two members
// drain one after the other. If another member is lost right after the first drain, a majority
// remains: configuration changes are still accepted, and acknowledged ones are not lost.
func TestDrainingMemberHandsOverItsReplica(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 6)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 5), 200)
	version := int64(1)
	commitNext := func(at int) {
		t.Helper()
		next := strings.Replace(firstConfiguration, `"version":1`, fmt.Sprintf(`"version":%d`, version+1), 1)
		is.Equal(f.changeConfiguration(http.MethodPut, next, version, at), 200)
		version++
	}
	members := func(at int) (all []string) {
		for _, m := range f.nodes[at].replica.Status().View.GetMembers() {
			all = append(all, m.Address)
		}
		return all
	}
	tolerant := func(at int) func() bool {
		return func() bool {
			s := f.nodes[at].replica.Status()
			return s.CurrentTolerance == 1 && s.ToleranceShortSince < 0
		}
	}
	f.eventually("one machine may be lost", tolerant(1))
	is.Equal(len(members(1)), 3)
	for _, next := range []struct{ leaver, victim, left int }{{0, 1, 2}, {2, -1, 5}} {
		draining := next.leaver
		f.nodes[draining].cancel()
		err := <-f.nodes[draining].ended
		f.nodes[draining].ended <- err // the cleanup of the fleet reads it again
		is.NoErr(err)
		is.True(!slices.Contains(members(next.left), f.nodes[draining].self.internal())) // replaced when Run returns, not later
		if next.victim >= 0 {
			f.crash(next.victim)
		}
		commitNext(next.left)
		f.eventually("one machine may be lost again", func() bool { return tolerant(3)() || tolerant(4)() || tolerant(5)() })
	}
	status, text := f.call(5, http.MethodGet, "/configuration", "", nil)
	is.Equal(status, 200)
	is.True(strings.Contains(text, fmt.Sprintf(`"version":%d`, version)))
}

// After all routers have crashed at once and restarted, the register's members still have the
// configuration and the hosts, and all routers serve requests again.
func TestFleetServesAfterAllCrash(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 3)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 0), 200)
	one := f.host("one")
	status, _ := f.heartbeat(0, "i-1", "s", one, "ready", 1)
	is.Equal(status, 200)
	f.eventually("all routers with a disk have saved their state", func() bool {
		for i := range 3 {
			kept, err := filepath.Glob(filepath.Join(f.nodes[i].settings().DataDirectory, stateFileName))
			if err != nil || len(kept) == 0 {
				return false
			}
		}
		return true
	})
	folder := filepath.Dir(f.nodes[0].settings().DataDirectory)
	for i := range f.nodes {
		f.crash(i)
	}
	for i := range f.nodes {
		f.start(i, folder, false)
	}
	for i := range f.nodes {
		f.eventually(fmt.Sprint("router ", i, " serves"), func() bool {
			status, _ := f.request(i, "/a", fmt.Sprint("q", i), "k")
			return status == 200
		})
	}
}

// A draining router answers the requests in flight and reports that it is not ready.
func TestDrainingRouterFinishesRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	host := startHoldingHost(t, f)
	answered := host.sendRequest(f)
	f.nodes[0].cancel()
	f.eventually("the router is not ready", func() bool { return !f.ready(0) })
	close(host.answer)
	is.Equal((<-answered).text, "late")
	err := <-f.nodes[0].ended
	f.nodes[0].ended <- err
	is.NoErr(err)
}

// Guards against requests that are lost because the process ends: at the end of the grace period
// the router itself answers the requests that no host has answered.
func TestRequestsOpenAtEndOfGraceAreAnswered(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	answered := startHoldingHost(t, f).sendRequest(f)
	f.nodes[0].cancel()
	is.Equal((<-answered).status, http.StatusBadGateway)
}

// A running process applies settings that are loaded again: a router gets new seeds and bounds,
// while its zone, which needs a restart, stays the same.
func TestReloadAppliesSeedsAndBounds(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 3)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 0), 200)
	f.eventually("all routers know each other", func() bool { return f.nodes[2].plane.Routers() == 3 })
	before := f.nodes[2].settings()
	read := *before
	read.SeedNodes = []string{before.SeedNodes[1]}
	read.Bounds.DrainMs, read.Zone = 1234, "elsewhere"
	f.nodes[2].reloads <- &read
	f.eventually("the new settings are in force", func() bool { return f.nodes[2].settings().Bounds.DrainMs == 1234 })
	is.Equal(f.nodes[2].settings().SeedNodes, read.SeedNodes)
	is.Equal(f.nodes[2].settings().Zone, before.Zone)
	is.Equal(f.changeConfiguration(http.MethodPut, strings.Replace(firstConfiguration, `"version":1`, `"version":2`, 1), 1, 2), 200)
}

// Bytes that are not a message between routers are dropped.
func TestInvalidMessagesAreDropped(t *testing.T) {
	n := New(&settings.Settings{IPAddress: "127.0.0.1", InternalPortRange: []int{1, 1}, Bounds: settings.Bounds{QuotaWindowS: 8}}, discardLog{})
	n.quotas = newQuotas(n)
	n.hub = newHub(n)
	for _, text := range [][]byte{nil, {0xff}, bytes.Repeat([]byte{0x0a}, 100)} {
		n.receiveLink(registerMessages, text)
		n.receiveLink(routerMessages, text)
		n.receiveLink(77, text)
	}
}

// If no machine has a disk, the members have the register in memory. A member that restarts joins
// as another member, and acknowledged changes survive the restart of each member in turn.
func TestRegisterInMemoryOutlivesEachMember(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 4, 0, 3)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 3), 200)
	for i := range 3 {
		before := f.nodes[i].replica.Status().View.GetEpoch()
		f.crash(i)
		f.start(i, "", false)
		f.eventually("the restarted router is a member again", func() bool {
			status := f.nodes[i].replica.Status()
			complete := status.Position.GetStateEpoch() == status.View.GetEpoch()
			return status.View.GetEpoch() > before && complete && slices.Contains(status.View.GetChain(), status.Identity)
		})
	}
	status, text := f.call(1, http.MethodGet, "/configuration", "", nil)
	is.Equal(status, 200)
	is.True(strings.Contains(text, `"s"`))
}

// When hundreds of hosts send heartbeats at once, the routers publish them in a few messages, not
// in one for each host and router.
func TestSimultaneousHeartbeatsAreBatched(t *testing.T) {
	is := is.New(t)
	const hosts = 300
	f := newFleet(t, 4, 3)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 0), 200)
	address := f.host("one")
	f.eventually("all routers know each other", func() bool {
		for i := range f.nodes {
			if f.nodes[i].plane.Routers() != len(f.nodes) {
				return false
			}
		}
		return true
	})
	// Hosts send their heartbeats to the owner of the service in their zone after their first call.
	owner := slices.IndexFunc(f.nodes, func(n *runningNode) bool {
		at, ok := query(t.Context(), n.hub, func() router { return n.hub.owner("s", "z0") })
		return ok && at.address == n.self.address
	})
	before := f.nodes[owner].link.Stats().Sent
	hub := f.nodes[owner].hub
	_, ok := query(t.Context(), hub, func() bool { // one call of the hub, so that no other call comes between
		for i := range hosts {
			hub.heartbeat(&message.Instance{Id: fmt.Sprint("i-", i), Service: "s", Address: address, Zone: "z0", Sequence: 1}, func(string) {})
		}
		return true
	})
	is.True(ok)
	for i := range f.nodes {
		f.eventually(fmt.Sprint("router ", i, " knows all hosts"), func() bool {
			known, ok := query(t.Context(), f.nodes[i].hub, func() int { return len(f.nodes[i].hub.registry.Records("s")) })
			return ok && known == hosts
		})
	}
	sent := f.nodes[owner].link.Stats().Sent - before
	t.Logf("%d messages for %d hosts", sent, hosts)
	is.True(sent < hosts)
}

// Any router answers reads of a large configuration from its memory, without another transfer from
// the register.
func TestLargeConfigurationIsServedFromMemory(t *testing.T) {
	is := is.New(t)
	const routes = 2000
	f := newFleet(t, 4, 3)
	var text strings.Builder
	text.WriteString(`{"version":3,"services":[{"name":"s"}],"routes":[`)
	for i := range routes {
		if i > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"name":"r%d","host":"h.example","pathPrefix":"/p%d/","kind":"safe","timeoutMs":3000,"targetLatencyMs":500,"service":"s","maxAttempts":2}`, i, i)
	}
	text.WriteString("]}")
	is.Equal(f.changeConfiguration(http.MethodPut, text.String(), 0, 0), 200)
	last := len(f.nodes) - 1
	f.eventually("the router has the configuration", func() bool {
		state := f.nodes[last].plane.State()
		return state != nil && state.Version() == 3
	})
	before := f.nodes[last].link.Stats().ReceivedBytes
	for range 5 {
		code, got := f.call(last, http.MethodGet, "/configuration", "", nil)
		is.Equal(code, 200)
		is.Equal(len(got), text.Len())
	}
	received := f.nodes[last].link.Stats().ReceivedBytes - before
	t.Logf("%d bytes received during five reads of %d bytes", received, text.Len())
	is.True(received < uint64(text.Len()))
	is.Equal(f.changeConfiguration(http.MethodPatch, `{"version":4,"upsert":{"services":[{"name":"t"}]}}`, 3, 1), 200)
	_, got := f.call(last, http.MethodGet, "/configuration", "", nil) // at once, when the router may still have the previous version in memory
	is.True(strings.Contains(got, `"version":4`))
}
