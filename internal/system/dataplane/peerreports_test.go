package dataplane

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"reachspread/balance"
)

// told is what a plane told others of its prompts.
type sentReports struct {
	service string
	reports []balance.PeerReport
}

// talkingFleet is a plane that tells others of its prompts; what it tells comes on the channel.
func newReportingFleet(t *testing.T, hosts ...*host) (*fleet, <-chan sentReports) {
	t.Helper()
	all := make(chan sentReports, 100)
	f := newFleet(t, "none")
	f.plane.o.ReportPrompts = func(service string, reports []balance.PeerReport) { all <- sentReports{service, reports} }
	f.configure(t, fmt.Sprintf(routes, ""))
	f.hosts(hosts...)
	return f, all
}

// prompt sends one with a prefix of 300 tokens and 200 of its own, and returns what others were
// told of it.
func (f *fleet) prompt(t *testing.T, all <-chan sentReports, n int) sentReports {
	t.Helper()
	is := is.New(t)
	a := f.call(t, "/stream/", "", fmt.Sprint("Request-Id: p", n), "Token-Usage: 500,10", fmt.Sprintf("Prompt-Prefix: aa:300,b%d:200", n))
	is.NoErr(a.err)
	is.Equal(a.StatusCode, 200)
	return <-all
}

func events(r received) string { return stream(r, event(1, "x"), "") }

// Others are told of each prompt: its service, its host, the tokens that are to be read there, and
// a mark of its prefix.
func TestPromptIsReported(t *testing.T) {
	is := is.New(t)
	f, all := newReportingFleet(t, newHost(t, "i-1", events))
	first, second := f.prompt(t, all, 1), f.prompt(t, all, 2)
	is.Equal(first.service, "s")
	is.Equal(len(first.reports), 1)
	is.Equal(first.reports[0].PrefillTokens, 200.0) // a prefix's home is taken to keep it
	is.True(first.reports[0].PrefixTag != 0)
	is.Equal(second.reports[0], balance.PeerReport{ReplicaTag: first.reports[0].ReplicaTag, PrefillTokens: 200, PrefixTag: first.reports[0].PrefixTag})
}

// A host that others have sent long prompts to gets none of those that another one can begin
// sooner.
func TestReportedPromptsMoveTheNextOne(t *testing.T) {
	is := is.New(t)
	a, b := newHost(t, "i-1", events), newHost(t, "i-2", events)
	f, all := newReportingFleet(t, a, b)
	home := f.prompt(t, all, 1).reports[0].ReplicaTag
	is.Equal(f.prompt(t, all, 2).reports[0].ReplicaTag, home)
	f.plane.ReceiveReports("s", balance.ReportsReceived{Reports: []balance.PeerReport{{ReplicaTag: home, PrefillTokens: 1e6}}})
	is.True(f.prompt(t, all, 3).reports[0].ReplicaTag != home)
}

// What is heard of a service that is not known, or of a host that is not, changes nothing.
func TestReportsOnUnknownServices(t *testing.T) {
	is := is.New(t)
	f, all := newReportingFleet(t, newHost(t, "i-1", events))
	home := f.prompt(t, all, 1).reports[0].ReplicaTag
	f.plane.ReceiveReports("unknown", balance.ReportsReceived{Reports: []balance.PeerReport{{ReplicaTag: home, PrefillTokens: 1e6}}})
	f.plane.ReceiveReports("s", balance.ReportsReceived{Reports: []balance.PeerReport{{ReplicaTag: home + 1, PrefillTokens: 1e6}}})
	is.Equal(f.prompt(t, all, 2).reports[0].ReplicaTag, home)
}

// A plane that has nobody to tell serves as well.
func TestNoReportsWithoutAReporter(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "", newHost(t, "i-1", events))
	is.Equal(f.call(t, "/stream/", "", "Token-Usage: 500,10").StatusCode, 200)
}
