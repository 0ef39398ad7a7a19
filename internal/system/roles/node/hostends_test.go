package node

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/message"
)

// hostState returns the state of a host as a router knows it. ok is false if it does not know the
// host.
func (f *testFleet) hostState(i int, id string) (state message.Instance_State, ok bool) {
	f.t.Helper()
	h := f.nodes[i].hub
	known, answered := query(f.t.Context(), h, func() *message.Instance {
		if record := h.registry.Get(id); record != nil {
			return record.Instance
		}
		return nil
	})
	if !answered {
		f.t.Fatal("the hub did not answer")
	}
	return known.GetState(), known != nil
}

// savedState returns the state in which a router's file has a host.
func (f *testFleet) savedState(i int, id string) (state message.Instance_State, ok bool) {
	f.t.Helper()
	saved := &message.Kept{}
	data, err := os.ReadFile(filepath.Join(f.nodes[i].settings().DataDirectory, stateFileName))
	if err != nil || proto.Unmarshal(data, saved) != nil {
		return 0, false
	}
	for _, in := range saved.Instances {
		if in.Id == id {
			return in.State, true
		}
	}
	return 0, false
}

// startWithSavedHosts starts a fleet whose routers with a disk have saved the hosts stays and ends
// as ready. It returns the parent of the data directories.
func startWithSavedHosts(t *testing.T, routers, disks int) (f *testFleet, folder string) {
	t.Helper()
	is := is.New(t)
	f = newFleet(t, routers, disks)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 0), 200)
	for _, id := range []string{"stays", "ends"} {
		f.eventually("the host's heartbeat is acknowledged", func() bool {
			status, _ := f.heartbeat(0, id, "s", f.host(id), "ready", 1)
			return status == 200
		})
	}
	for i := range f.nodes {
		f.eventually("each router knows both hosts and all routers", func() bool {
			_, stays := f.hostState(i, "stays")
			_, ends := f.hostState(i, "ends")
			return stays && ends && f.liveRouters(i) == routers
		})
	}
	for i := range disks {
		f.eventually("each file has the host as ready", func() bool {
			state, ok := f.savedState(i, "ends")
			return ok && state == message.Instance_READY
		})
	}
	return f, filepath.Dir(f.nodes[0].settings().DataDirectory)
}

// Guards against requests to a host whose end was acknowledged, after the routers that have their
// state on a disk were killed at once right after the acknowledgement (review/2, DRAIN). Nobody that
// runs on can tell them: all other routers are killed as well.
func TestAcknowledgedEndSurvivesKillOfAllRouters(t *testing.T) {
	for name, end := range map[string]func(f *testFleet) (status int){
		"deleted": func(f *testFleet) int {
			status, _ := f.call(3, http.MethodDelete, "/instances/ends", "", nil)
			return status
		},
		"draining": func(f *testFleet) int {
			status, _ := f.heartbeat(0, "ends", "s", "127.0.0.1:1", "draining", 2)
			return status
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, folder := startWithSavedHosts(t, 5, 3)
			f.eventually("the host's end is acknowledged", func() bool { return end(f) == 200 })
			for i := range f.nodes {
				f.crash(i)
			}
			for i := range 3 {
				f.start(i, folder, false)
			}
			for i := range 3 {
				f.eventually("the router has the host that stays from its file", func() bool {
					state, ok := f.hostState(i, "stays")
					return ok && state == message.Instance_READY
				})
				if state, ok := f.hostState(i, "ends"); !ok || state < message.Instance_DRAINING {
					t.Errorf("router %d has the host that has ended as %v (known: %v)", i, state, ok)
				}
			}
		})
	}
}

// Guards against the same by a router with a disk that was down while the host ended (review/2,
// DRAIN): it must not believe its file before it has asked the routers that ran on.
func TestRestartedRouterAsksBeforeItBelievesItsFile(t *testing.T) {
	f, folder := startWithSavedHosts(t, 5, 3)
	f.crash(0)
	f.eventually("the host's end is acknowledged", func() bool {
		status, _ := f.call(4, http.MethodDelete, "/instances/ends", "", nil)
		return status == 200
	})
	f.start(0, folder, false)
	h := f.nodes[0].hub
	f.eventually("the restarted router has accepted what its file has", func() bool {
		if state, ok := f.hostState(0, "ends"); ok && state < message.Instance_DRAINING {
			t.Fatalf("the restarted router has the host that has ended as %v", state)
		}
		waiting, ok := query(t.Context(), h, func() int { return len(h.restored) })
		return ok && waiting == 0
	})
	if !h.joining() {
		t.Error("the file was accepted without an answer of the other routers, which were there")
	}
	if state, ok := f.hostState(0, "stays"); !ok || state != message.Instance_READY {
		t.Errorf("the restarted router has the host that stays as %v (known: %v)", state, ok)
	}
}

// A router that finds nobody to ask believes its file when the time to join the fleet is over: after
// a power failure of the whole fleet, hosts must get requests again.
func TestRouterAloneBelievesItsFile(t *testing.T) {
	f, folder := startWithSavedHosts(t, 5, 3)
	for i := range f.nodes {
		f.crash(i)
	}
	f.start(0, folder, false)
	f.eventually("the router has the hosts from its file", func() bool {
		state, ok := f.hostState(0, "stays")
		return ok && state == message.Instance_READY
	})
}

// Guards against an end that is acknowledged with too few copies on a disk (review/2, DRAIN): the
// loss of one machine for good, and of power on all others, would forget it.
func TestEndIsAcknowledgedOnceEnoughDisksHaveIt(t *testing.T) {
	is := is.New(t)
	f, _ := startWithSavedHosts(t, 5, 3)
	var blocked []string
	for i := range 2 { // two of three files can't be written
		path := filepath.Join(f.nodes[i].settings().DataDirectory, stateFileName)
		is.NoErr(os.Remove(path))
		is.NoErr(os.MkdirAll(filepath.Join(path, "in-the-way"), 0o755))
		blocked = append(blocked, path)
	}
	for _, router := range []int{0, 4} {
		status, _ := f.call(router, http.MethodDelete, "/instances/ends", "", nil)
		is.True(status != 200)
	}
	is.NoErr(os.RemoveAll(blocked[0]))
	for _, router := range []int{0, 4} {
		f.eventually("the host's end is acknowledged", func() bool {
			status, _ := f.call(router, http.MethodDelete, "/instances/ends", "", nil)
			return status == 200
		})
	}
}

// Guards against a router that has no others, and forgets an acknowledged end when it is killed
// (review/2, DRAIN).
func TestAcknowledgedEndSurvivesKillOfStandaloneRouter(t *testing.T) {
	f, folder := startWithSavedHosts(t, 1, 1)
	f.eventually("the host's end is acknowledged", func() bool {
		status, _ := f.call(0, http.MethodDelete, "/instances/ends", "", nil)
		return status == 200
	})
	f.crash(0)
	f.start(0, folder, false)
	if state, _ := f.hostState(0, "ends"); state != message.Instance_GONE {
		t.Errorf("the restarted router has the host that has ended as %v", state)
	}
	if state, _ := f.hostState(0, "stays"); state != message.Instance_READY {
		t.Errorf("the restarted router has the host that stays as %v", state)
	}
}
