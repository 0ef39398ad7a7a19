package configuration

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
)

// pinnable is a configuration with tenants, a route that needs API keys and a public route.
const pinnable = `{"version":1,"routes":[
 {"name":"r","host":"h","pathPrefix":"/r/","kind":"safe","timeoutMs":500,"service":"s"},
 {"name":"open","host":"h","pathPrefix":"/open/","kind":"safe","timeoutMs":500,"service":"s","public":true}],
 "services":[{"name":"s"}],"tenants":[{"name":"x","apiKeys":["k"]},{"name":"y","apiKeys":["l"]}]}`

// pinOrder returns an encoded order to set or lift a pin, as the control API creates it. The order
// is for the revision base of the pins and has the time atMs, in milliseconds.
func pinOrder(kind message.Order_Kind, base int64, pin *message.Pin, atMs int64) []byte {
	pin.By, pin.Why = "ann", "trial"
	body, _ := proto.Marshal(pin)
	text, _ := proto.Marshal(&message.Order{Kind: kind, IfMatch: base, Body: body, AtMs: atMs})
	return text
}

func pinnableStore(t *testing.T) *Store {
	t.Helper()
	s := NewStore()
	text, _ := proto.Marshal(&message.Order{Kind: message.Order_PUT, Body: []byte(pinnable)})
	if got := decide(t, s, text); got.Status != http.StatusOK {
		t.Fatal(got)
	}
	return s
}

// Decide accepts valid pin orders and rejects each invalid one with the right status and a reason.
func TestPinOrdersAreValidated(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   message.Order_Kind
		base   int64
		pin    *message.Pin
		status int32
	}{
		{"of a tenant", message.Order_PIN_SET, 1, &message.Pin{Name: "b", Tenant: "y", Model: "m", Version: 2}, 200},
		{"replacing the pin of the same name", message.Order_PIN_SET, 1, &message.Pin{Name: "a", Tenant: "x", Model: "m", Version: 3}, 200},
		{"on an old revision", message.Order_PIN_SET, 0, &message.Pin{Name: "b", Tenant: "y", Model: "m", Version: 2}, 412},
		{"overlapping with another pin", message.Order_PIN_SET, 1, &message.Pin{Name: "b", Route: "r", Model: "m", Version: 2}, 409},
		{"of an unknown tenant", message.Order_PIN_SET, 1, &message.Pin{Name: "b", Tenant: "z", Model: "m", Version: 2}, 400},
		{"of an unknown route", message.Order_PIN_SET, 1, &message.Pin{Name: "b", Tenant: "y", Route: "q", Model: "m", Version: 2}, 400},
		{"of a public route", message.Order_PIN_SET, 1, &message.Pin{Name: "b", Tenant: "y", Route: "open", Model: "m", Version: 2}, 400},
		{"without a version", message.Order_PIN_SET, 1, &message.Pin{Name: "b", Tenant: "y", Model: "m"}, 400},
		{"lifting a pin", message.Order_PIN_LIFT, 1, &message.Pin{Name: "a"}, 200},
		{"lifting a pin that was never set", message.Order_PIN_LIFT, 1, &message.Pin{Name: "b"}, 404},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := pinnableStore(t)
			is.Equal(decide(t, s, pinOrder(message.Order_PIN_SET, 0, &message.Pin{Name: "a", Tenant: "x", Model: "m", Version: 2}, 7)).Status, int32(200))
			got := decide(t, s, pinOrder(c.kind, c.base, c.pin, 8))
			is.Equal(got.Status, c.status)
			is.Equal(got.Version, s.state.Pins().Revision)
			is.Equal(got.Text == "", c.status == 200) // a rejection states a reason
		})
	}
}

// A pin order that is sent again, even with another time, is acknowledged again but applied only
// once.
func TestPinOrderSentAgainIsAcknowledged(t *testing.T) {
	is := is.New(t)
	s := pinnableStore(t)
	pin := &message.Pin{Name: "a", Tenant: "x", Model: "m", Version: 2}
	is.Equal(decide(t, s, pinOrder(message.Order_PIN_SET, 0, pin, 7)).Status, int32(200))
	again := decide(t, s, pinOrder(message.Order_PIN_SET, 0, pin, 9))
	is.Equal(again.Status, int32(200))
	is.Equal(again.Version, int64(1))
	is.Equal(len(s.pinHistory), 1)
	is.Equal(s.state.Pins().ByName("a").SetAtMs, int64(7))
}

// A new configuration leaves the pins in force, even if the configuration lacks their tenant.
func TestConfigurationKeepsPins(t *testing.T) {
	is := is.New(t)
	s := pinnableStore(t)
	is.Equal(decide(t, s, pinOrder(message.Order_PIN_SET, 0, &message.Pin{Name: "a", Tenant: "x", Model: "m", Version: 2}, 7)).Status, int32(200))
	text, _ := proto.Marshal(&message.Order{Kind: message.Order_PUT, IfMatch: 1, Body: []byte(`{"version":2,"routes":[],"services":[]}`)})
	is.Equal(decide(t, s, text).Status, int32(200))
	is.Equal(s.state.Version(), int64(2))
	is.Equal(s.state.Pins().ByName("a").Version, int64(2))
}

// The snapshot has the pins, their history and the digests of applied pin orders.
func TestSnapshotHasPinsAndHistory(t *testing.T) {
	is := is.New(t)
	s := pinnableStore(t)
	is.Equal(decide(t, s, pinOrder(message.Order_PIN_SET, 0, &message.Pin{Name: "a", Tenant: "x", Model: "m", Version: 2}, 7)).Status, int32(200))
	is.Equal(decide(t, s, pinOrder(message.Order_PIN_LIFT, 1, &message.Pin{Name: "a"}, 8)).Status, int32(200))
	is.Equal(decide(t, s, pinOrder(message.Order_PIN_SET, 2, &message.Pin{Name: "b", Route: "r", Model: "m", Version: 4}, 9)).Status, int32(200))
	next := NewStore()
	is.NoErr(next.Restore(s.Snapshot()))
	is.Equal(next.state.Pins().Revision, int64(3))
	is.Equal(next.state.Pins().ByName("b").Version, int64(4))
	is.Equal(len(next.pinHistory), 3)
	is.True(next.pinHistory[1].Lifted)
	is.Equal(next.pinHistory[1].Pin.Version, int64(2)) // the history has the lifted pin
	is.Equal(next.pinHistory[1].By, "ann")
	is.Equal(decide(t, next, pinOrder(message.Order_PIN_LIFT, 1, &message.Pin{Name: "a"}, 10)).Status, int32(200)) // applied before the snapshot
}

// The pin history retains only the last pins.MaxChanges changes.
func TestPinHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	s := pinnableStore(t)
	for i := range pins.MaxChanges + 10 {
		is.Equal(decide(t, s, pinOrder(message.Order_PIN_SET, int64(i), &message.Pin{Name: "a", Tenant: "x", Model: "m", Version: int64(i + 1)}, 7)).Status, int32(200))
	}
	is.Equal(len(s.pinHistory), pins.MaxChanges)
	is.Equal(s.pinHistory[len(s.pinHistory)-1].Revision, int64(pins.MaxChanges+10))
}

// No pin can be set before a configuration with tenants is in force, because an isolated router
// would not enforce the pin. Nor can a pin be set for a route that the configuration lacks.
func TestPinsRequireTenants(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	is.Equal(decide(t, s, pinOrder(message.Order_PIN_SET, 0, &message.Pin{Name: "a", Route: "r", Model: "m", Version: 2}, 7)).Status, int32(400))
	text, _ := proto.Marshal(&message.Order{Kind: message.Order_PUT, Body: []byte(small)})
	is.Equal(decide(t, s, text).Status, int32(200))
	is.Equal(decide(t, s, pinOrder(message.Order_PIN_SET, 0, &message.Pin{Name: "a", Route: "r", Model: "m", Version: 2}, 7)).Status, int32(400))
}

// For any body of a pin order, a change that Decide returns can be applied, increases the revision
// of the pins by one, and is in the snapshot.
func FuzzPinOrders(f *testing.F) {
	seed, _ := proto.Marshal(&message.Pin{Name: "a", Tenant: "x", Model: "m", Version: 2, By: "ann", Why: "trial"})
	f.Add(seed, seed)
	f.Add([]byte{}, []byte{0xff})
	f.Fuzz(func(t *testing.T, set, lift []byte) {
		s := NewStore()
		text, _ := proto.Marshal(&message.Order{Kind: message.Order_PUT, Body: []byte(pinnable)})
		change, _ := s.Decide(text)
		s.Apply(change)
		for i, order := range []*message.Order{{Kind: message.Order_PIN_SET, Body: set}, {Kind: message.Order_PIN_LIFT, IfMatch: 1, Body: lift}} {
			text, err := proto.Marshal(order)
			if err != nil {
				t.Fatal(err)
			}
			change, _ := s.Decide(text)
			if change == nil {
				return
			}
			s.Apply(change)
			next := NewStore()
			if err := next.Restore(s.Snapshot()); err != nil {
				t.Fatal(err)
			}
			if got, restored := s.state.Pins().Revision, next.state.Pins().Revision; got != int64(i+1) || restored != got {
				t.Fatalf("revision %d, restored as %d, after %d orders", got, restored, i+1)
			}
		}
	})
}
