package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"reachspread/coord/view"
	"reachspread/internal/system/status"
)

// statusServer starts a server that answers status requests with s, as a router does.
func statusServer(t *testing.T, s *status.Router) (at string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != status.Path {
			http.NotFound(w, r)
			return
		}
		json.NewEncoder(w).Encode(s)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// run executes a command line and returns its output with each run of white space replaced by one
// space.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	c := command()
	c.SetArgs(args)
	c.SetOut(&out)
	err := c.Execute()
	return strings.Join(strings.Fields(out.String()), " "), err
}

func sampleStatus() *status.Router {
	age := 0.25
	return &status.Router{Name: "n0", Address: "127.0.0.1:7680", Zone: "z0", Ready: true, UptimeSeconds: 90,
		Configuration: status.Configuration{Version: 7, Routes: 2, ConfirmedAgeSeconds: &age, HonoursKeys: true, Source: "10.0.0.2:7680"},
		Members:       []status.Member{{Address: "127.0.0.1:7680", Zone: "z0", State: "alive", Eligible: true}},
		Register: status.Register{Epoch: 4, Replica: &status.Replica{Identity: "aa", Sequence: 12, Healthy: true, Shards: 16},
			Machines: []status.Machine{{Address: "10.0.0.1:7680", Identity: "aa", Member: true, ChainPosition: 1, HeardAgeSeconds: &age, Sequence: 12, Complete: true, Healthy: true},
				{Address: "10.0.0.2:7680", Identity: "bb", Member: true, ChainPosition: 2, HeardAgeSeconds: &age, Sequence: 11, Behind: 1},
				{Address: "10.0.0.3:7680", Identity: "cc", Member: true}},
			Shards: []status.Shard{{Number: 0, Owner: "aa", Address: "10.0.0.1:7680", Token: 1}, {Number: 1, Owner: "aa", Address: "10.0.0.1:7680", Token: 1},
				{Number: 2, Owner: "bb", Address: "10.0.0.2:7680", Token: 4}, {Number: 3, Owner: "aa", Address: "10.0.0.1:7680", Token: 1},
				{Number: view.ShardOf("gold"), Owner: "bb", Address: "10.0.0.2:7680", Token: 3}}},
		Services: []status.Service{{Name: "s", Hosts: []status.Host{{ID: "i-1", Address: "10.0.1.1:80", Zone: "z1", State: "ready", Slots: 8, Models: []status.Model{{Name: "m", Version: 3}}}}}},
	}
}

// Each command prints its part of a router's status as a table, or the complete status as JSON.
func TestFleetCommandsPrintAndEncodeStatus(t *testing.T) {
	at := statusServer(t, sampleStatus())
	for _, c := range []struct {
		command string
		prints  []string
	}{
		{"status", []string{"n0 " + at + " z0 1m30s yes 7 250ms 1"}},
		{"members", []string{"sees 1 routers", "127.0.0.1:7680 z0 alive yes"}},
		{"register", []string{"view 4", "at change 12", "10.0.0.1:7680 aa yes 1 head 250ms 12 0 yes in time no", "10.0.0.2:7680 bb yes 2 tail 250ms 11 1 no in trouble no", "10.0.0.3:7680 cc yes outside - 0 0 no - no"}},
		{"shards", []string{"n0 at " + at + ": view 4", "10.0.0.1:7680 aa 1 0-1,3", "10.0.0.2:7680 bb 4 2", fmt.Sprint("10.0.0.2:7680 bb 3 ", view.ShardOf("gold"))}},
		{"configuration", []string{"7 yes 2 0 250ms yes 10.0.0.2:7680"}},
		{"hosts", []string{"s i-1 10.0.1.1:80 z1 ready 8 0s m:3"}},
	} {
		t.Run(c.command, func(t *testing.T) {
			is := is.New(t)
			text, err := run("fleet", c.command, "--at", at)
			is.NoErr(err)
			for _, want := range c.prints {
				if !strings.Contains(text, want) {
					t.Errorf("%q is not in %s", want, text)
				}
			}
			text, err = run("fleet", c.command, "--at", at, "--json")
			is.NoErr(err)
			var answers []routerAnswer
			is.NoErr(json.Unmarshal([]byte(text), &answers))
			is.Equal(answers[0].Status.Configuration.Version, int64(7))
		})
	}
}

// With --all, the command also queries the members that the first router reports, at the same port.
// If a router does not answer, the command fails with an error that names the router.
func TestAllAsksTheRoutersThatTheFirstSees(t *testing.T) {
	is := is.New(t)
	s := sampleStatus()
	at := statusServer(t, s)
	_, port, err := net.SplitHostPort(at)
	is.NoErr(err)
	s.Members = append(s.Members, status.Member{Address: "127.0.0.2:7680"}, status.Member{Address: "not an address"})
	text, err := run("fleet", "configuration", "--at", at, "--all")
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "127.0.0.2:"+port))
	is.True(strings.Contains(text, "n0 "+at)) // only once, although the router also reports itself as a member
	is.Equal(strings.Count(text, "n0"), 1)
	_, err = run("fleet", "members")
	is.True(err != nil && strings.Contains(err.Error(), "--at must name"))
}

// With --tenant, the command prints only the shard of that tenant.
func TestShardsOfOneTenant(t *testing.T) {
	is := is.New(t)
	text, err := run("fleet", "shards", "--tenant", "gold", "--at", statusServer(t, sampleStatus()))
	is.NoErr(err)
	is.True(strings.HasSuffix(text, fmt.Sprint("10.0.0.2:7680 bb 3 ", view.ShardOf("gold"))))
	is.True(!strings.Contains(text, "aa"))
}
