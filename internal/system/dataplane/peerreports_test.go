package dataplane

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"reachspread/balance"
)

// sentReports are the prompt reports that a plane sent to other routers in one call.
type sentReports struct {
	service string
	reports []balance.PeerReport
}

// newReportingFleet returns a fleet whose plane reports its prompts to other routers. The reports
// arrive on the channel.
func newReportingFleet(t *testing.T, hosts ...*host) (*fleet, <-chan sentReports) {
	t.Helper()
	all := make(chan sentReports, 100)
	f := newFleet(t, "none")
	f.plane.o.ReportPrompts = func(service string, reports []balance.PeerReport) { all <- sentReports{service, reports} }
	f.configure(t, fmt.Sprintf(routes, ""))
	f.hosts(hosts...)
	return f, all
}

// prompt sends a prompt with a prefix of 300 tokens and 200 further tokens, and returns the reports
// that the plane sent about it.
func (f *fleet) prompt(t *testing.T, all <-chan sentReports, n int) sentReports {
	t.Helper()
	is := is.New(t)
	a := f.call(t, "/stream/", "", fmt.Sprint("Request-Id: p", n), "Token-Usage: 500,10", fmt.Sprintf("Prompt-Prefix: aa:300,b%d:200", n))
	is.NoErr(a.err)
	is.Equal(a.StatusCode, 200)
	return <-all
}

func events(r received) string { return stream(r, event(1, "x"), "") }

// The plane reports each prompt to other routers: its service, its host, the number of tokens to
// prefill there, and a tag of its prefix.
func TestPromptIsReported(t *testing.T) {
	is := is.New(t)
	f, all := newReportingFleet(t, newHost(t, "i-1", events))
	first, second := f.prompt(t, all, 1), f.prompt(t, all, 2)
	is.Equal(first.service, "s")
	is.Equal(len(first.reports), 1)
	is.Equal(first.reports[0].PrefillTokens, 200.0) // reports assume that the home host of a prefix has the prefix cached
	is.True(first.reports[0].PrefixTag != 0)
	is.Equal(second.reports[0], balance.PeerReport{ReplicaTag: first.reports[0].ReplicaTag, PrefillTokens: 200, PrefixTag: first.reports[0].PrefixTag})
}

// If other routers report that they sent long prompts to a host, the plane sends the next prompt to
// another host that can start it sooner.
func TestReportedPromptsMoveTheNextOne(t *testing.T) {
	is := is.New(t)
	a, b := newHost(t, "i-1", events), newHost(t, "i-2", events)
	f, all := newReportingFleet(t, a, b)
	home := f.prompt(t, all, 1).reports[0].ReplicaTag
	is.Equal(f.prompt(t, all, 2).reports[0].ReplicaTag, home)
	f.plane.ReceiveReports("s", balance.ReportsReceived{Reports: []balance.PeerReport{{ReplicaTag: home, PrefillTokens: 1e6}}})
	is.True(f.prompt(t, all, 3).reports[0].ReplicaTag != home)
}

// Reports on an unknown service or an unknown host have no effect.
func TestReportsOnUnknownServices(t *testing.T) {
	is := is.New(t)
	f, all := newReportingFleet(t, newHost(t, "i-1", events))
	home := f.prompt(t, all, 1).reports[0].ReplicaTag
	f.plane.ReceiveReports("unknown", balance.ReportsReceived{Reports: []balance.PeerReport{{ReplicaTag: home, PrefillTokens: 1e6}}})
	f.plane.ReceiveReports("s", balance.ReportsReceived{Reports: []balance.PeerReport{{ReplicaTag: home + 1, PrefillTokens: 1e6}}})
	is.Equal(f.prompt(t, all, 2).reports[0].ReplicaTag, home)
}

// A plane without ReportPrompts serves requests.
func TestNoReportsWithoutAReporter(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "", newHost(t, "i-1", events))
	is.Equal(f.call(t, "/stream/", "", "Token-Usage: 500,10").StatusCode, 200)
}
