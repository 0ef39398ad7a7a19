package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"reachspread/coord/view"
	"reachspread/internal/system/metrics"
	"reachspread/internal/system/status"
)

// status reads a router's status at its readiness address. It returns nil if the router does not
// answer.
func (f *testFleet) status(i int) *status.Router {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", f.nodes[i].ip, f.ports.ready, status.Path))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	s, err := status.Read(resp.Body)
	if err != nil {
		return nil
	}
	return s
}

// metrics reads a router's metrics at its readiness address. It returns an empty string if the
// router does not answer.
func (f *testFleet) metrics(i int) string {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", f.nodes[i].ip, f.ports.ready, metrics.Path))
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// Each router's status has the routers that it sees, the register's chain and how far each member
// is behind, the configuration in force, and the hosts.
func TestStatusDescribesTheFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 3)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 0), 200)
	code, _ := f.heartbeat(0, "i-1", "s", f.host("one"), "ready", 1)
	is.Equal(code, 200)
	for i := range f.nodes {
		f.eventually(fmt.Sprint("router ", i, " has the whole fleet in its status"), func() bool {
			s := f.status(i)
			return s != nil && s.Ready && len(s.Members) == 4 && s.Configuration.Version == 1 && s.Configuration.HonoursKeys && hasHost(s, "s", "i-1") && chainLength(s) == 3
		})
	}
	s := f.status(0)
	is.Equal(s.Name, "n0")
	is.True(s.Eligible)
	is.Equal(s.Configuration.Tenants, 1)
	is.True(s.Register.Replica != nil)
	is.True(s.Register.Replica.Healthy)
	is.Equal(len(s.Register.Shards), view.Shards)
	for _, shard := range s.Register.Shards {
		is.True(slices.ContainsFunc(s.Register.Machines, func(m status.Machine) bool { return m.Address == shard.Address && m.ChainPosition > 0 }))
	}
	withoutReplica := f.status(3)
	is.Equal(len(withoutReplica.Register.Shards), view.Shards) // the view has the shards, so a router without a disk knows them too
	is.True(!withoutReplica.Eligible)
	is.Equal(withoutReplica.Register.Replica, nil) // the router has no replica
	is.True(withoutReplica.Configuration.Source != "")

	for id, key := range map[string]string{"q1": "k", "q2": "k", "q3": "nobody's"} {
		f.request(0, "/a", id, key)
	}
	f.eventually("the requests are in the metrics", func() bool {
		text := f.metrics(0)
		return strings.Contains(text, `reachspread_requests_total{kind="safe",tenant="x",outcome="served"} 2`) &&
			strings.Contains(text, `reachspread_requests_total{kind="",tenant="",outcome="no_key"} 1`)
	})
	is.True(strings.Contains(f.metrics(0), "reachspread_register_chain 3\n"))
	is.Equal(f.changeConfiguration(http.MethodPatch, `{"version":4,"remove":{"services":["t"]}}`, 1, 2), 200)
	f.eventually("the change is in the history of a router without a disk", func() bool {
		history := f.status(3).Configuration.History
		return len(history) == 2 && history[0].Version == 4 && len(history[0].Changes) == 1 && slices.Equal(history[0].Changes[0].Removed, []string{"t"})
	})

	f.crash(1)
	f.eventually("the register's other members notice the loss of one", func() bool {
		s := f.status(0)
		return s != nil && chainLength(s) == 2 && s.Register.Epoch > 1
	})
	for _, m := range f.status(0).Register.Machines {
		is.True(m.Member) // the lost machine stays a member until another one replaces it
		is.Equal(m.ChainPosition == 0, m.Address == f.nodes[1].self.internal())
	}
}

// The hub survives queries whose callers have given up. If the hub is blocked and the callers'
// contexts end, it executes the queries later, when no caller waits, and continues. The state on
// the disk is not overwritten by an empty one.
func TestAbandonedQueryDoesNotDisturbTheHub(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 0), 200)
	n := f.nodes[0]
	for _, c := range []struct {
		name string
		ask  func(ctx context.Context) (answered bool)
	}{
		{"status", func(ctx context.Context) bool { _, ok := n.Status(ctx); return ok }},
		{"saved state", func(ctx context.Context) bool { _, _, err := n.newStateFile().marshal(ctx); return err == nil }},
	} {
		release := make(chan struct{})
		blocked := make(chan struct{})
		n.hub.post(func() { close(blocked); <-release })
		<-blocked
		ctx, cancel := context.WithCancel(t.Context())
		answered := make(chan bool)
		waiting := len(n.hub.calls)
		go func() { answered <- c.ask(ctx) }()
		f.eventually(c.name+" waits for the hub", func() bool { return len(n.hub.calls) > waiting })
		cancel()
		is.Equal(<-answered, false)
		close(release)
		is.True(c.ask(t.Context())) // by now the hub has executed the abandoned query
	}
}

func hasHost(s *status.Router, service, id string) bool {
	for _, of := range s.Services {
		for _, h := range of.Hosts {
			if of.Name == service && h.ID == id && h.State == "ready" {
				return true
			}
		}
	}
	return false
}

// chainLength returns the number of machines in the register's chain.
func chainLength(s *status.Router) (n int) {
	for _, m := range s.Register.Machines {
		if m.ChainPosition > 0 {
			n++
		}
	}
	return n
}

// Programs can read the status: its fields have the names on the operators' page.
func TestStatusHasDocumentedFields(t *testing.T) {
	is := is.New(t)
	text, err := json.Marshal(&status.Router{Name: "n", Services: []status.Service{{Name: "s", Hosts: []status.Host{{ID: "i"}}}}})
	is.NoErr(err)
	var plain struct {
		Name     string
		Services []struct{ Hosts []struct{ ID string } }
	}
	is.NoErr(json.Unmarshal(text, &plain))
	is.Equal(plain.Services[0].Hosts[0].ID, "i")
}
