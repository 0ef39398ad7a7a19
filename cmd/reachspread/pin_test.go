package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"reachspread/internal/system/controlapi"
	"reachspread/internal/system/status"
)

// order is a call that the stand-in for the control API received.
type order struct{ method, path, ifMatch, body string }

// controlServer starts a stand-in for the control API. It answers the nth call that changes pins with
// the nth of the given answers, or with the last one if there are fewer. It answers reads with a fixed
// list of pins or a fixed history.
func controlServer(t *testing.T, answers ...func(w http.ResponseWriter)) (at string, orders *[]order) {
	t.Helper()
	orders = &[]order{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == "/pins" {
			json.NewEncoder(w).Encode(controlapi.PinList{Revision: 4, Pins: []controlapi.Pin{
				{Name: "p", Tenant: "x", Model: "m", Version: 3, By: "ann", Why: "trial", Hosts: &controlapi.PinHosts{OtherVersions: 2}}}})
			return
		}
		if r.Method == http.MethodGet {
			json.NewEncoder(w).Encode(controlapi.PinHistory{Changes: []controlapi.PinChange{{Revision: 4, Lifted: true, Pin: controlapi.Pin{Name: "p", Route: "r", Model: "m", Version: 3}, By: "ann", Why: "done"}}})
			return
		}
		text, _ := io.ReadAll(r.Body)
		*orders = append(*orders, order{r.Method, r.URL.Path, r.Header.Get("If-Match"), string(text)})
		answers[min(len(*orders), len(answers))-1](w)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), orders
}

func answers(status int, body string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

const inForce = `{"revision":5,"inForce":true}`

// An order builds on the revision in force. The command retries the unchanged order until the new
// revision is in force on all routers.
func TestPinSetReturnsOnceInForce(t *testing.T) {
	is := is.New(t)
	at, orders := controlServer(t, answers(503, ""), answers(202, `{"revision":5}`), answers(200, inForce))
	text, err := run("fleet", "pin", "set", "p", "--control", at, "--tenant", "x", "--model", "m", "--version", "3", "--by", "ann", "--why", "a trial")
	is.NoErr(err)
	is.Equal(text, "revision 5 of the pins is in force on every router")
	is.Equal(len(*orders), 3)
	for _, o := range *orders {
		is.Equal(o, order{"PUT", "/pins/p", "4", `{"tenant":"x","model":"m","version":3,"by":"ann","why":"a trial"}`})
	}
}

// The lift command builds on the revision that --revision gives. If the control plane rejects the
// order, the command returns the reason and does not retry.
func TestRejectedPinLiftIsNotRetried(t *testing.T) {
	is := is.New(t)
	at, orders := controlServer(t, answers(412, `{"error":"revision 4 of the pins is in force, not 2"}`))
	_, err := run("fleet", "pin", "lift", "p", "--control", at, "--revision", "2", "--by", "ann", "--why", "done")
	is.True(err != nil && strings.Contains(err.Error(), "revision 4"))
	is.Equal(*orders, []order{{"DELETE", "/pins/p", "2", `{"by":"ann","why":"done"}`}})
}

// If a router can't be reached, the command tries the next router.
func TestPinOrderGoesToTheNextRouter(t *testing.T) {
	is := is.New(t)
	at, orders := controlServer(t, answers(200, inForce))
	_, err := run("fleet", "pin", "lift", "p", "--control", "127.0.0.1:1,"+at, "--revision", "4", "--by", "ann", "--why", "done")
	is.NoErr(err)
	is.Equal(len(*orders), 1)
	_, err = run("fleet", "pin", "list")
	is.True(err != nil && strings.Contains(err.Error(), "--control must name"))
}

// The list command prints the pins in force and why requests in their scope are refused. The history
// command prints the earlier changes.
func TestPinsAndHistoryArePrinted(t *testing.T) {
	is := is.New(t)
	at, _ := controlServer(t)
	text, err := run("fleet", "pin", "list", "--control", at)
	is.NoErr(err)
	is.True(strings.Contains(text, "revision 4, 1 pins"))
	is.True(strings.Contains(text, "p x all m 3 none: all 2 have others, so requests are refused"))
	text, err = run("fleet", "pin", "history", "--control", at)
	is.NoErr(err)
	is.True(strings.Contains(text, "lifted p all r m 3 ann done"))
	text, err = run("fleet", "pin", "list", "--control", at, "--json")
	is.NoErr(err)
	is.True(strings.HasPrefix(text, `{"revision":4,`))
}

// The watch command prints the outcomes of the requests in a pin's scope, one row for each router.
func TestPinWatchCountsOutcomes(t *testing.T) {
	is := is.New(t)
	s := sampleStatus()
	s.Pins = status.Pins{Revision: 5, Pins: []status.Pin{{Name: "p", Version: 3, Hosts: 2, ActiveSeconds: 4, Requests: 12, Answered: map[int64]uint64{3: 10}, Rejected: 2}}}
	text, err := run("fleet", "pin", "watch", "--at", statusServer(t, s))
	is.NoErr(err)
	is.True(strings.Contains(text, "p 3 n0 5 4s 2 12 3: 10 0 2 0"))
}
