package controlapi

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"reachspread/internal/system/message"
	"reachspread/internal/testbed/formtest"
)

// exchange is a call to the API and the state of the router that answers it.
type exchange struct {
	method, path, body, ifMatch string

	reply                                   *message.OrderReply
	stored                                  *message.Stored
	unacknowledged, neverInForce, notFenced bool
}

// longBody is the maximum length of a body that is written out. Only the length of a longer one is
// written.
const longBody = 1000

// record makes a call, and writes the call and its answer to out. It omits the texts of errors that
// come from this package, because they may change.
func (e exchange) record(out *strings.Builder) {
	f := &fakeRouter{reply: e.reply, stored: e.stored, unacknowledged: e.unacknowledged, neverInForce: e.neverInForce, unfenced: e.notFenced}
	ifMatch := []string{}
	if e.ifMatch != "" {
		ifMatch = append(ifMatch, e.ifMatch)
	}
	w := f.call(e.method, e.path, e.body, ifMatch...)
	sent := e.body
	if len(sent) > longBody {
		sent = fmt.Sprintf("%d bytes", len(sent))
	}
	fmt.Fprintf(out, "%s %s If-Match=%q %s\n", e.method, e.path, e.ifMatch, sent)
	for _, in := range f.heartbeats {
		fmt.Fprintf(out, "  host %s service=%s address=%s zone=%s software=%s slots=%d state=%v cold=%d sequence=%d stage=%s models=%v\n", in.Id, in.Service,
			in.Address, in.Zone, in.Software, in.Slots, in.State, in.ColdRemainingMs, in.Sequence, in.Stage, in.Models[0].Name)
	}
	for _, order := range f.orders {
		fmt.Fprintf(out, "  order %v on %d\n", order.Kind, order.IfMatch)
	}
	body := w.Body.String()
	if start := `{"error":"`; strings.HasPrefix(body, start) && e.reply == nil {
		body = start + `..."}`
	}
	fmt.Fprintf(out, "  %d %s retry-after=%q %s\n", w.Code, w.Header().Get("Content-Type"), w.Header().Get("Retry-After"), strings.TrimSpace(body))
}

// exchanges returns calls of each kind, with each kind of answer.
func exchanges() []exchange {
	const put, get, patch, remove = http.MethodPut, http.MethodGet, http.MethodPatch, http.MethodDelete
	const order = `{"tenant":"t","route":"r","model":"m","version":6,"by":"ann","why":"test"}`
	const lift = `{"by":"ann","why":"over"}`
	const instance, document, pin = "/instances/i-1", "/configuration", "/pins/p"
	const full = `{"version":7,"routes":[],"services":[],"tenants":[],"limits":{"maxBodyBytes":5},"more":{"kept":true}}`
	taken := &message.OrderReply{Status: 200, Version: 7}
	conflict := &message.OrderReply{Status: 412, Version: 9, Text: "version 9 is in force, not 7"}
	invalid := &message.OrderReply{Status: 400, Version: 9, Text: "routes: no"}
	onePin := &message.Pin{Name: "p", Tenant: "t", Route: "r", Model: "m", Version: 6, By: "ann", Why: "test", SetAtMs: 1700000000000, Revision: 3}
	stored := &message.Stored{Document: []byte(full), Pins: &message.Pins{Revision: 3, Pins: []*message.Pin{onePin}},
		PinHistory: []*message.PinChange{{Revision: 3, Pin: onePin, By: "ann", Why: "test", AtMs: 1700000000000},
			{Revision: 4, Lifted: true, Pin: onePin, By: "bob", Why: "over", AtMs: 1700000060000}}}
	return []exchange{
		{method: put, path: instance, body: heartbeatBody},
		{method: put, path: instance, body: strings.Replace(heartbeatBody, "ready", "draining", 1)},
		{method: put, path: instance, body: heartbeatBody, unacknowledged: true},
		{method: put, path: instance, body: `{`},
		{method: put, path: instance, body: strings.Replace(heartbeatBody, "ready", "tired", 1)},
		{method: put, path: instance, body: strings.Repeat(" ", maxInstanceBytes+1)},
		{method: remove, path: instance},
		{method: remove, path: instance, unacknowledged: true},
		{method: get, path: instance},
		{method: get, path: document, stored: stored},
		{method: get, path: document, stored: &message.Stored{}},
		{method: get, path: document},
		{method: put, path: document, body: full, ifMatch: "0", reply: taken},
		{method: put, path: document, body: full, ifMatch: `"6"`, reply: taken},
		{method: put, path: document, body: full, ifMatch: "7", reply: conflict},
		{method: put, path: document, body: full, ifMatch: "7", reply: invalid},
		{method: put, path: document, body: full, ifMatch: "7"},
		{method: put, path: document, body: full},
		{method: put, path: document, body: "{", ifMatch: "7"},
		{method: patch, path: document, body: `{"version":9,"upsert":{"tenants":[{"name":"t"}]},"remove":{"routes":["r"]}}`, ifMatch: "7", reply: taken},
		{method: patch, path: document, body: `{"version":9,"other":1}`, ifMatch: "7"},
		{method: http.MethodPost, path: document},
		{method: get, path: "/pins", stored: stored},
		{method: get, path: "/pins", stored: &message.Stored{}},
		{method: get, path: "/pins"},
		{method: get, path: "/pins/history", stored: stored},
		{method: get, path: "/pins/history", stored: &message.Stored{}},
		{method: get, path: "/pins/history"},
		{method: put, path: pin, body: order, ifMatch: "3", reply: taken},
		{method: put, path: pin, body: order, ifMatch: "3", reply: taken, neverInForce: true},
		{method: put, path: pin, body: order, ifMatch: "3", reply: conflict},
		{method: put, path: pin, body: order, ifMatch: "3", notFenced: true},
		{method: put, path: pin, body: order, ifMatch: "3"},
		{method: put, path: pin, body: order},
		{method: put, path: pin, body: lift, ifMatch: "3"},
		{method: remove, path: pin, body: lift, ifMatch: "3", reply: taken},
		{method: remove, path: pin, body: lift, ifMatch: "3", reply: taken, neverInForce: true},
		{method: remove, path: pin, body: lift, ifMatch: "3", reply: conflict},
		{method: remove, path: pin, body: `{}`, ifMatch: "3"},
		{method: get, path: "/nothing"},
	}
}

// The paths, bodies and answers of all calls are unchanged, so that hosts and operators' tools of
// earlier versions still work.
func TestCallsAreUnchanged(t *testing.T) {
	var out strings.Builder
	for _, e := range exchanges() {
		e.record(&out)
	}
	formtest.Compare(t, "calls.txt", formtest.Document([2]string{"calls and answers", out.String()},
		[2]string{"host's call", formtest.Fields(registration{}, "json")},
		[2]string{"answer to a host's call", formtest.Fields(registrationAnswer{}, "json")},
		[2]string{"error", formtest.Fields(errorBody{}, "json")},
		[2]string{"answer to an order", formtest.Fields(orderOutcome{}, "json")},
		[2]string{"order of a pin", formtest.Fields(PinOrder{}, "json")},
		[2]string{"answer to an order of a pin", formtest.Fields(PinOutcome{}, "json")},
		[2]string{"pins", formtest.Fields(PinList{}, "json")},
		[2]string{"history of the pins", formtest.Fields(PinHistory{}, "json")}))
}
