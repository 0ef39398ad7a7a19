package controlapi

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/internal/system/message"
)

type discardLog struct{}

func (discardLog) Info(string, ...any) {}
func (discardLog) Warn(string, ...any) {}

// fakeRouter implements Hosts, Register and Pins for tests.
type fakeRouter struct {
	heartbeats     []*message.Instance
	removed        []string
	unacknowledged bool // nothing can be acknowledged

	unfenced     bool  // an isolated router continues to honour keys
	neverInForce bool  // no change comes into force in time
	waitedFor    int64 // the revision in the last call of InForce
	orders       []*message.Order
	reply        *message.OrderReply // nil if the register does not answer
	stored       *message.Stored

	sequence uint64 // sequence number of the stored state
}

func (f *fakeRouter) Heartbeat(_ context.Context, in *message.Instance) (string, bool) {
	f.heartbeats = append(f.heartbeats, in)
	return "10.0.0.1:80", !f.unacknowledged
}

func (f *fakeRouter) Remove(_ context.Context, id string) bool {
	f.removed = append(f.removed, id)
	return !f.unacknowledged
}

var errNoReply = errors.New("the register does not answer")

func (f *fakeRouter) Submit(_ context.Context, text []byte) (*coordpb.Reply, error) {
	order := &message.Order{}
	if err := proto.Unmarshal(text, order); err != nil {
		return nil, err
	}
	f.orders = append(f.orders, order)
	if f.reply == nil {
		return nil, errNoReply
	}
	out, err := proto.Marshal(f.reply)
	return &coordpb.Reply{Reply: out}, err
}

func (f *fakeRouter) ReadAfter(_ context.Context, known uint64) (*coordpb.Reply, error) {
	if known > 0 && known == f.sequence {
		return &coordpb.Reply{Unchanged: true}, nil
	}
	if f.stored == nil {
		return nil, errNoReply
	}
	out, err := proto.Marshal(f.stored)
	return &coordpb.Reply{Reply: out}, err
}

func (f *fakeRouter) Fenced() bool { return !f.unfenced }

func (f *fakeRouter) InForce(_ context.Context, revision int64, _ time.Time) bool {
	f.waitedFor = revision
	return !f.neverInForce
}

func (f *fakeRouter) Ready(string, int64) (with, without int) { return 2, 1 }

func (f *fakeRouter) call(method, path, body string, ifMatch ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for _, v := range ifMatch {
		r.Header.Set("If-Match", v)
	}
	w := httptest.NewRecorder()
	New(Options{Hosts: f, Register: f, Pins: f, Log: discardLog{}}).ServeHTTP(w, r)
	return w
}

const heartbeatBody = `{"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1","slots":64,"state":"ready","coldRemainingMs":12.5,"stage":"both","models":[{"name":"m","version":3}],"sequence":4,"later":1}`

// A host's call is passed to Hosts with all of its fields, and answered with the address for the
// host's next call.
func TestHeartbeatIsRegistered(t *testing.T) {
	is := is.New(t)
	f := &fakeRouter{}
	w := f.call(http.MethodPut, "/instances/i-1", heartbeatBody)
	is.Equal(w.Code, 200)
	is.Equal(w.Body.String(), `{"heartbeatAddress":"10.0.0.1:80"}`)
	is.Equal(w.Header().Get("Content-Type"), "application/json")
	in := f.heartbeats[0]
	is.Equal(in.Id, "i-1")
	is.Equal(in.Models[0].Version, int64(3))
	is.Equal(in.Sequence, uint64(4))
	is.Equal(in.ColdRemainingMs, uint32(12))
	is.Equal(f.call(http.MethodPut, "/instances/i-1", strings.Replace(heartbeatBody, "ready", "draining", 1)).Code, 200)
	is.Equal(f.heartbeats[1].State, message.Instance_DRAINING)
	is.Equal(f.call(http.MethodDelete, "/instances/i-1", "").Code, 200)
	is.Equal(f.removed, []string{"i-1"})
	f.unacknowledged = true
	is.Equal(f.call(http.MethodPut, "/instances/i-1", heartbeatBody).Code, 503)
	is.Equal(f.call(http.MethodDelete, "/instances/i-1", "").Code, 503)
}

// An invalid call is rejected with a line that names the invalid field, and is not passed to Hosts.
func TestInvalidHeartbeatNamesTheField(t *testing.T) {
	for name, c := range map[string]struct{ body, want string }{
		"cut":              {heartbeatBody[:50], "registration"},
		"no service":       {strings.Replace(heartbeatBody, `"service":"s",`, "", 1), "service"},
		"no address":       {strings.Replace(heartbeatBody, `"address":"10.0.0.9:80",`, "", 1), "address"},
		"unknown state":    {strings.Replace(heartbeatBody, "ready", "tired", 1), "state"},
		"sequence is text": {strings.Replace(heartbeatBody, `"sequence":4`, `"sequence":"4"`, 1), "sequence"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeRouter{}
			w := f.call(http.MethodPut, "/instances/i-1", c.body)
			is.Equal(w.Code, 400)
			is.True(strings.Contains(w.Body.String(), c.want))
			is.Equal(len(f.heartbeats), 0)
		})
	}
}

// An order is submitted to the register with the version that it builds on, and answered with the
// register's decision.
func TestOrderIsDecidedByTheRegister(t *testing.T) {
	is := is.New(t)
	f := &fakeRouter{reply: &message.OrderReply{Status: 200, Version: 7}}
	is.Equal(f.call(http.MethodPut, "/configuration", `{"version":7}`, "0").Code, 200)
	is.Equal(f.orders[0].Kind, message.Order_PUT)
	is.Equal(f.call(http.MethodPatch, "/configuration", `{"version":9}`, `"7"`).Code, 200)
	is.Equal(f.orders[1].Kind, message.Order_PATCH)
	is.Equal(f.orders[1].IfMatch, int64(7))
	f.reply = &message.OrderReply{Status: 412, Version: 9, Text: "version 9 is in force, not 7"}
	w := f.call(http.MethodPut, "/configuration", `{"version":11}`, "7")
	is.Equal(w.Code, 412)
	is.True(strings.Contains(w.Body.String(), "version 9"))
	f.reply = nil
	is.Equal(f.call(http.MethodPut, "/configuration", `{"version":11}`, "7").Code, 503)
}

// An order that the register can never accept is rejected without asking the register.
func TestInvalidOrderIsRejectedWithoutTheRegister(t *testing.T) {
	is := is.New(t)
	f := &fakeRouter{reply: &message.OrderReply{Status: 200}}
	is.Equal(f.call(http.MethodPut, "/configuration", `{"version":`, "0").Code, 400)
	is.Equal(f.call(http.MethodPut, "/configuration", `{"version":7,"routes":[{"name":"a","timeoutMs":1,"service":"z"}]}`, "0").Code, 400)
	is.Equal(f.call(http.MethodPatch, "/configuration", `{"version":7,"other":1}`, "0").Code, 400)
	is.Equal(f.call(http.MethodPut, "/configuration", `{"version":7}`).Code, 400)
	is.Equal(f.call(http.MethodPut, "/configuration", `{"version":7}`, "seven").Code, 400)
	is.Equal(f.call(http.MethodPut, "/configuration", `{"version":7,"x":"`+strings.Repeat("y", maxConfigurationBytes)+`"}`, "0").Code, 413)
	is.Equal(f.call(http.MethodPost, "/configuration", `{"version":7}`, "0").Code, 405)
	is.Equal(f.call(http.MethodGet, "/nothing", "").Code, 404)
	is.Equal(len(f.orders), 0)
}

// The answer to a read is the complete configuration, or an error if the register does not answer
// or has none.
func TestConfigurationIsReadFromTheRegister(t *testing.T) {
	is := is.New(t)
	f := &fakeRouter{}
	is.Equal(f.call(http.MethodGet, "/configuration", "").Code, 503)
	f.stored = &message.Stored{}
	is.Equal(f.call(http.MethodGet, "/configuration", "").Code, 404)
	f.stored = &message.Stored{Document: []byte(`{"version":7}`)}
	w := f.call(http.MethodGet, "/configuration", "")
	is.Equal(w.Code, 200)
	is.Equal(w.Body.String(), `{"version":7}`)
}

// The API answers any body of a heartbeat with status 200 or 400.
func FuzzHeartbeat(f *testing.F) {
	f.Add([]byte(heartbeatBody))
	f.Add([]byte(`{"service":"s","address":"a","state":"ready","sequence":1e300,"slots":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		w := new(fakeRouter).call(http.MethodPut, "/instances/i-1", string(body))
		if w.Code != 200 && w.Code != 400 {
			t.Errorf("status %d", w.Code)
		}
	})
}

// A router answers with its own copy of the configuration only after the register has confirmed that
// it is the newest. Otherwise it answers with the configuration that the register sends.
func TestKnownConfigurationIsConfirmedBeforeItIsServed(t *testing.T) {
	is := is.New(t)
	f := &fakeRouter{stored: &message.Stored{Document: []byte(`{"version":7}`)}, sequence: 3}
	known, sequence := []byte(`{"version":7,"from":"here"}`), uint64(3)
	h := New(Options{Hosts: f, Register: f, Log: discardLog{}, Known: func() (uint64, []byte) { return sequence, known }})
	get := func() (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/configuration", nil))
		return w.Code, w.Body.String()
	}
	code, text := get()
	is.Equal(code, 200)
	is.Equal(text, string(known))
	sequence = 2 // the router's copy is outdated
	code, text = get()
	is.Equal(code, 200)
	is.Equal(text, `{"version":7}`)
	sequence = 0 // the router has no configuration yet
	_, text = get()
	is.Equal(text, `{"version":7}`)
	f.stored, sequence = nil, 2
	code, _ = get()
	is.Equal(code, 503) // the router's copy may be outdated
}
