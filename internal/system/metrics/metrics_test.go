package metrics

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"reachspread/internal/system/status"
)

func sample() *status.Router {
	age := 0.25
	return &status.Router{UptimeSeconds: 3, Ready: true,
		Requests: status.Requests{Received: 7, Ended: []status.RequestEnd{
			{Kind: "unsafe", Tenant: `a"b`, Outcome: "served", Count: 5}, {Outcome: "no_route", Count: 2}}},
		Members:       []status.Member{{State: "alive"}, {State: "alive"}, {State: "dead"}},
		Configuration: status.Configuration{Version: 9, ConfirmedAgeSeconds: &age, HonoursKeys: true},
		Register: status.Register{Epoch: 4, Replica: &status.Replica{Sequence: 12, Healthy: true, Shards: 3},
			Machines: []status.Machine{{Address: "10.1.0.1:7680", ChainPosition: 1, HeardAgeSeconds: &age, Behind: 2, Complete: true}, {Address: "10.1.0.2:7680"}}},
		Services:      []status.Service{{Name: "s", Open: 1, Retries: 2.5, Hosts: []status.Host{{State: "ready"}}}},
		PromptReports: status.PromptReports{Sent: 8, Received: 6, Dropped: 1},
		Pins:          status.Pins{Revision: 1, Pins: []status.Pin{{Name: "p", Version: 6, Answered: map[int64]uint64{6: 4}, Hosts: 1}}},
	}
}

// The Prometheus parser can parse the output, and the output contains the values of the status.
func TestFiguresAreParsedByThePrometheusParser(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	is.NoErr(Write(&text, sample()))
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text.Bytes()))
	is.NoErr(err)
	is.True(len(families) > 20)
	for _, line := range []string{
		`reachspread_requests_total{kind="unsafe",tenant="a\"b",outcome="served"} 5`,
		`reachspread_requests_total{kind="",tenant="",outcome="no_route"} 2`,
		`reachspread_members{state="alive"} 2`,
		`reachspread_configuration_confirmed_age_seconds 0.25`,
		`reachspread_register_behind{machine="10.1.0.1:7680"} 2`,
		`reachspread_register_complete{machine="10.1.0.1:7680"} 1`,
		`reachspread_register_chain 1`,
		`reachspread_storage_healthy 1`,
		`reachspread_hosts{service="s",state="ready"} 1`,
		`reachspread_hosts{service="s",state="draining"} 0`,
		`reachspread_retry_budget{service="s"} 2.5`,
		`reachspread_prompt_reports_total{direction="sent"} 8`,
		`reachspread_prompt_reports_total{direction="dropped"} 1`,
		`reachspread_pin_requests_total{pin="p",version="6",outcome="answered"} 4`,
		`reachspread_pin_requests_total{pin="p",version="6",outcome="wrong"} 0`,
	} {
		if !strings.Contains(text.String(), line+"\n") {
			t.Errorf("the output lacks the line: %s", line)
		}
	}
}

// The status of a router that has no replica of the register and knows nothing yet is written too.
func TestEmptyStatusHasFigures(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	is.NoErr(Write(&text, &status.Router{}))
	is.True(strings.Contains(text.String(), "reachspread_ready 0\n"))
	is.True(!strings.Contains(text.String(), "storage_healthy"))
}

// BenchmarkWrite measures the cost of a scrape of a router that knows 330 other routers and 810
// hosts, and counts 300 pairs of kind and tenant.
func BenchmarkWrite(b *testing.B) {
	s := sample()
	for i := range 300 {
		s.Requests.Ended = append(s.Requests.Ended, status.RequestEnd{Kind: "safe", Tenant: fmt.Sprint("t", i), Outcome: "served", Count: 1})
	}
	for range 330 {
		s.Members = append(s.Members, status.Member{State: "alive"})
	}
	for range 810 {
		s.Services[0].Hosts = append(s.Services[0].Hosts, status.Host{State: "ready"})
	}
	b.ReportAllocs()
	for b.Loop() {
		Write(io.Discard, s)
	}
}
