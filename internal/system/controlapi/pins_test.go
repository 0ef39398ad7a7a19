package controlapi

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/message"
)

const pinBody = `{"tenant":"x","route":"r","model":"m","version":3,"by":"ann","why":"trial"}`

// A pin is acknowledged once it is in force on every router, with its revision.
func TestPinIsAcknowledgedOnceInForce(t *testing.T) {
	is := is.New(t)
	f := &fakeRouter{reply: &message.OrderReply{Status: 200, Version: 5}}
	before := time.Now().UnixMilli()
	w := f.call(http.MethodPut, "/pins/p", pinBody, "4")
	is.Equal(w.Code, 200)
	is.Equal(w.Body.String(), `{"revision":5,"inForce":true}`)
	is.Equal(f.waitedFor, int64(5))
	order := f.orders[0]
	is.Equal(order.Kind, message.Order_PIN_SET)
	is.Equal(order.IfMatch, int64(4))
	is.True(order.AtMs >= before)
	pin := &message.Pin{}
	is.NoErr(proto.Unmarshal(order.Body, pin))
	is.True(proto.Equal(pin, &message.Pin{Name: "p", Tenant: "x", Route: "r", Model: "m", Version: 3, By: "ann", Why: "trial"}))

	w = f.call(http.MethodDelete, "/pins/p", `{"by":"ann","why":"done"}`, `"5"`)
	is.Equal(w.Code, 200)
	is.Equal(f.orders[1].Kind, message.Order_PIN_LIFT)
}

// An order that was accepted but does not come into force in time is answered with 202 and a
// Retry-After, because the caller should send it again.
func TestPinNotYetInForceIsAccepted(t *testing.T) {
	is := is.New(t)
	f := &fakeRouter{reply: &message.OrderReply{Status: 200, Version: 5}, neverInForce: true}
	w := f.call(http.MethodPut, "/pins/p", pinBody, "4")
	is.Equal(w.Code, 202)
	is.True(w.Header().Get("Retry-After") != "")
	is.Equal(w.Body.String(), `{"revision":5,"inForce":false}`)
}

// A rejection by the register is answered at once with the register's reason.
func TestRejectedPinKeepsTheReason(t *testing.T) {
	for _, status := range []int32{400, 404, 409, 412} {
		is := is.New(t)
		f := &fakeRouter{reply: &message.OrderReply{Status: status, Version: 5, Text: "because"}}
		w := f.call(http.MethodPut, "/pins/p", pinBody, "4")
		is.Equal(w.Code, int(status))
		var out struct {
			Error    string
			Revision int64
		}
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &out))
		is.Equal(out.Error, "because")
		is.Equal(out.Revision, int64(5))
		is.Equal(f.waitedFor, int64(0))
	}
}

// An invalid call is rejected with a line that names the invalid field, without asking the register.
func TestInvalidPinIsRejectedWithoutTheRegister(t *testing.T) {
	for name, c := range map[string]struct{ method, path, body, ifMatch, want string }{
		"no JSON":            {http.MethodPut, "/pins/p", `{"tenant":`, "0", "not a pin"},
		"version is text":    {http.MethodPut, "/pins/p", strings.Replace(pinBody, "3", `"3"`, 1), "0", "version"},
		"no version":         {http.MethodPut, "/pins/p", strings.Replace(pinBody, `"version":3,`, "", 1), "0", "version"},
		"no reason":          {http.MethodPut, "/pins/p", strings.Replace(pinBody, "trial", "", 1), "0", "why"},
		"a name with spaces": {http.MethodPut, "/pins/a%20b", pinBody, "0", "name"},
		"no If-Match":        {http.MethodPut, "/pins/p", pinBody, "", "If-Match"},
		"lifted by nobody":   {http.MethodDelete, "/pins/p", `{"why":"done"}`, "0", "by"},
		"too long":           {http.MethodPut, "/pins/p", `{"why":"` + strings.Repeat("a", maxPinBytes) + `"}`, "0", "body"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeRouter{reply: &message.OrderReply{Status: 200}}
			w := f.call(c.method, c.path, c.body, c.ifMatch)
			is.Equal(w.Code, 400)
			is.True(strings.Contains(w.Body.String(), c.want))
			is.Equal(len(f.orders), 0)
		})
	}
}

// Orders on pins are rejected if an isolated router would continue to honour keys and pins.
func TestPinsNeedTheRevocationFence(t *testing.T) {
	is := is.New(t)
	f := &fakeRouter{reply: &message.OrderReply{Status: 200}, unfenced: true}
	w := f.call(http.MethodPut, "/pins/p", pinBody, "0")
	is.Equal(w.Code, 409)
	is.True(strings.Contains(w.Body.String(), "revocationClosed"))
	is.Equal(len(f.orders), 0)
}

// The pins in force and the history of changes are read from the register.
func TestPinsAndTheirHistoryAreRead(t *testing.T) {
	is := is.New(t)
	pin := &message.Pin{Name: "p", Tenant: "x", Model: "m", Version: 3, By: "ann", Why: "trial", SetAtMs: 1000, Revision: 1}
	f := &fakeRouter{stored: &message.Stored{Pins: &message.Pins{Revision: 1, Pins: []*message.Pin{pin}},
		PinHistory: []*message.PinChange{{Revision: 1, Pin: pin, By: "ann", Why: "trial", AtMs: 1000}}}}
	var list PinList
	is.NoErr(json.Unmarshal(f.call(http.MethodGet, "/pins", "").Body.Bytes(), &list))
	is.Equal(list.Revision, int64(1))
	is.Equal(list.Pins[0].SetAt, time.UnixMilli(1000).UTC())
	is.Equal(list.Pins[0].Version, int64(3))
	is.Equal(*list.Pins[0].Hosts, PinHosts{Ready: 2, OtherVersions: 1})
	var history PinHistory
	is.NoErr(json.Unmarshal(f.call(http.MethodGet, "/pins/history", "").Body.Bytes(), &history))
	is.Equal(history.Changes[0].By, "ann")
	none := &fakeRouter{stored: &message.Stored{}}
	is.Equal(none.call(http.MethodGet, "/pins", "").Body.String(), `{"revision":0,"pins":[]}`)
	is.Equal(none.call(http.MethodGet, "/pins/history", "").Body.String(), `{"changes":[]}`)
	is.Equal((&fakeRouter{}).call(http.MethodGet, "/pins", "").Code, 503)
}
