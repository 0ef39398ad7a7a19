package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"reachspread/internal/system/controlapi"
	"reachspread/internal/testbed/pintest"
)

// pinRevocationMs is bounds.revocationMs, in ms, in the tests of pins. Each change of a pin takes
// this long.
const pinRevocationMs = 2000

// pinScenario is a fleet of five routers, three of which are members of the register, with hosts
// of two model versions.
type pinScenario struct {
	*testFleet
	*pintest.Scenario
	ctx    context.Context
	folder string
}

func newPinScenario(t *testing.T) *pinScenario {
	t.Helper()
	f := startWithRevocation(t, 5, 3, pinRevocationMs)
	var fronts, controls []string
	for _, n := range f.nodes {
		fronts = append(fronts, fmt.Sprintf("%s:%d", n.ip, f.ports.front))
		controls = append(controls, fmt.Sprintf("%s:%d", n.ip, f.ports.control))
	}
	var hosts []*pintest.Host
	for i, version := range []int64{1, 1, 2, 2} {
		h, err := pintest.NewHost(fmt.Sprint("i-", i), version)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Close)
		hosts = append(hosts, h)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
	t.Cleanup(cancel)
	s := &pinScenario{f, pintest.NewScenario(fronts, controls, hosts), ctx, filepath.Dir(f.nodes[0].settings().DataDirectory)}
	s.must(s.Configure(ctx))
	s.registerAll()
	for i := range s.nodes {
		s.eventually("all routers serve", func() bool { return s.Send(i, pintest.SafePath).Status == http.StatusOK })
	}
	return s
}

func (s *pinScenario) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *pinScenario) registerAll() {
	s.t.Helper()
	s.must(s.Register(s.ctx))
}

func (s *pinScenario) change(version int64) {
	s.t.Helper()
	s.must(s.ChangePin(s.ctx, version))
}

// restart starts a router again after its crash.
func (s *pinScenario) restart(i int) { s.start(i, s.folder, false) }

// On live traffic, each request after a pin was set, moved or lifted is answered by the pinned
// version, whichever router receives it. Meanwhile a host changes its version without updating its
// registration, and routers with and without a disk crash and restart.
func TestPinsOnLiveTraffic(t *testing.T) {
	s := newPinScenario(t)
	s.StartTraffic()
	s.change(1)
	s.change(2)
	s.Hosts[2].Version.Store(3) // the host changes its version, but its registration still has the old one
	s.crash(4)
	s.change(1)
	s.restart(4)
	s.crash(0)
	s.change(2)
	s.restart(0)
	s.Hosts[2].Registered.Store(3)
	s.registerAll()
	s.change(3)
	s.crash(1)
	s.restart(1)
	s.change(0)
	report := s.Finish()
	t.Logf("%d requests, %d served, %d changes of the pin", report.Requests, report.Served, report.Changes)
	for _, wrong := range report.Violations {
		t.Error(wrong)
	}
	if report.Served < report.Requests/2 {
		t.Error("fewer than half of the requests were served: too few for a result")
	}
}

// After all routers have crashed at once and restarted, the same pins are in force and their
// history is complete.
func TestPinsSurviveRestartOfAll(t *testing.T) {
	is := is.New(t)
	s := newPinScenario(t)
	s.change(2)
	for i := range s.nodes {
		s.crash(i)
	}
	for i := range s.nodes {
		s.restart(i)
	}
	s.registerAll()
	for i := range s.nodes {
		s.eventually("the router serves", func() bool {
			a := s.Send(i, pintest.SafePath)
			if a.Status == http.StatusOK && a.Version != 2 {
				t.Errorf("router %d answers with version %d, not with the pinned version 2", i, a.Version)
			}
			return a.Status == http.StatusOK
		})
	}
	revision, err := s.Revision(s.ctx)
	is.NoErr(err)
	is.Equal(revision, int64(1))
	status, text := s.call(0, http.MethodGet, "/pins/history", "", nil)
	is.Equal(status, 200)
	var history controlapi.PinHistory
	is.NoErr(json.Unmarshal([]byte(text), &history))
	is.Equal(history.Changes[0].Pin.Version, int64(2))
	is.Equal(history.Changes[0].By, "ann")
	pinStatus := s.status(0).Pins
	is.Equal(pinStatus.Revision, int64(1))
	is.Equal(pinStatus.Pins[0].Hosts, 2)
	is.Equal(pinStatus.Pins[0].WrongVersion, uint64(0))
}
