package configuration

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/message"
	"reachspread/internal/testbed/golden"
)

// The file testdata/stored was written at commit 5bfcc27 by WRITE_GOLDEN=1 go test -run
// TestStoredStateOfEarlierVersion. It holds a state in the form in which a replica of the register
// persists it and sends it to other replicas.

// storedOrders returns the orders that lead to the state in testdata/stored.
func storedOrders() [][]byte {
	order := func(kind message.Order_Kind, base int64, body string) []byte {
		text, _ := proto.Marshal(&message.Order{Kind: kind, IfMatch: base, Body: []byte(body), AtMs: 1})
		return text
	}
	return [][]byte{
		order(message.Order_PUT, 0, `{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe","timeoutMs":1000,"service":"s"}],"services":[{"name":"s"}],`+
			`"tenants":[{"name":"x","apiKeys":["k"],"ratePerS":2.50,"burst":3}],"unknown":{"n":[1e3]}}`),
		pinOrder(message.Order_PIN_SET, 0, &message.Pin{Name: "a", Tenant: "x", Model: "m", Version: 2, By: "ann", Why: "trial"}, 7),
		pinOrder(message.Order_PIN_SET, 1, &message.Pin{Name: "b", Route: "r", Model: "other", Version: 3, By: "ann", Why: "trial"}, 8),
		order(message.Order_PATCH, 1, `{"version":5,"upsert":{"services":[{"name":"t"}]}}`),
		pinOrder(message.Order_PIN_LIFT, 2, &message.Pin{Name: "a", By: "ann", Why: "trial"}, 9),
	}
}

// A state that an earlier version of the program stored is restored with the same configuration,
// pins, pin history and applied orders. The restored state is encoded to the same bytes.
func TestStoredStateOfEarlierVersion(t *testing.T) {
	is := is.New(t)
	written := NewStore()
	for _, text := range storedOrders() {
		if r := decide(t, written, text); r.Status != 200 {
			t.Fatal(r.Text)
		}
	}
	golden.Same(t, "stored", written.Snapshot())
	s := NewStore()
	is.NoErr(s.Restore(golden.File(t, "stored", written.Snapshot())))
	is.Equal(string(s.state.JSON()), `{"version":5,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe","timeoutMs":1000,"service":"s"}],"services":[{"name":"s"},{"name":"t"}],`+
		`"tenants":[{"name":"x","apiKeys":["k"],"ratePerS":2.50,"burst":3}],"unknown":{"n":[1e3]}}`)
	a := &message.Pin{Name: "a", Tenant: "x", Model: "m", Version: 2, By: "ann", Why: "trial", SetAtMs: 7, Revision: 1}
	b := &message.Pin{Name: "b", Route: "r", Model: "other", Version: 3, By: "ann", Why: "trial", SetAtMs: 8, Revision: 2}
	is.True(proto.Equal(s.state.Pins().Message(), &message.Pins{Revision: 3, Pins: []*message.Pin{b}}))
	is.True(proto.Equal(&message.Stored{PinHistory: s.pinHistory}, &message.Stored{PinHistory: []*message.PinChange{
		{Revision: 1, Pin: a, By: "ann", Why: "trial", AtMs: 7}, {Revision: 2, Pin: b, By: "ann", Why: "trial", AtMs: 8},
		{Revision: 3, Lifted: true, Pin: a, By: "ann", Why: "trial", AtMs: 9}}}))
	for _, text := range storedOrders() {
		is.Equal(decide(t, s, text).Status, int32(200)) // the order is in the restored digests
	}
	is.Equal(s.Snapshot(), written.Snapshot())
}
