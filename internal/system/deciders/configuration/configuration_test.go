package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/message"
)

// small is a small configuration with unknown fields, at the top level and in items.
const small = `{"version":7,"routes":[{"name":"a","host":"h.example","pathPrefix":"/a/","kind":"safe","timeoutMs":500,"targetLatencyMs":100,"service":"s","future":[1,2]},` +
	`{"name":"b","host":"h.example","pathPrefix":"/a/b/","kind":"streaming","timeoutMs":3000,"trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],"streamResumption":true}],` +
	`"services":[{"name":"s","healthCheckPath":"/health","connectionLimit":650},{"name":"t","healthCheckPath":"/health"}],` +
	`"limits":{"maxHeaderBytes":16384,"other":true},"tenants":[{"name":"x","apiKeys":["k1","k2"],"ratePerS":10,"burst":10}],"later":{"y":1}}`

func parse(t *testing.T, text string) *Document {
	t.Helper()
	d, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// jsonDiff returns the difference between the values of two JSON texts, or an empty text.
func jsonDiff(t *testing.T, a, b []byte) string {
	t.Helper()
	var x, y any
	if err := json.Unmarshal(a, &x); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(b, &y); err != nil {
		t.Fatal(err)
	}
	return cmp.Diff(x, y)
}

// The JSON text of a parsed document equals the text that was sent, including unknown fields.
func TestDocumentRoundTrip(t *testing.T) {
	d := parse(t, small)
	if diff := jsonDiff(t, []byte(small), d.JSON()); diff != "" {
		t.Error(diff)
	}
	reparsed := parse(t, string(d.JSON()))
	if string(reparsed.JSON()) != string(d.JSON()) {
		t.Error("the JSON text differs after a second round trip")
	}
}

// The error for a rejected configuration names the faulty item or field, in one line.
func TestRejectionNamesItemAndField(t *testing.T) {
	change := func(old, replacement string) string { return strings.Replace(small, old, replacement, 1) }
	for name, c := range map[string]struct{ text, wantText string }{
		"cut short":           {small[:100], "whole JSON"},
		"not an object":       {`[1]`, "not a JSON object"},
		"no version":          {`{"routes":[]}`, "version: is missing"},
		"version is a text":   {change(`"version":7`, `"version":"7"`), "version"},
		"duplicate member":    {change(`"later"`, `"limits"`), "limits: is there twice"},
		"item without a name": {change(`"name":"s",`, ``), "services[0].name"},
		"duplicate name":      {change(`"name":"b"`, `"name":"a"`), `"a" is there twice`},
		"unknown service":     {change(`"service":"s","future"`, `"service":"z","future"`), `"z" is not among the services`},
		"unknown in a split":  {change(`{"service":"t","weight":10}`, `{"service":"z","weight":10}`), `"z" is not among`},
		"same host and path":  {change(`"pathPrefix":"/a/b/"`, `"pathPrefix":"/a/"`), "same host and prefix"},
		"weights add up to 0": {change(`"weight":90},{"service":"t","weight":10`, `"weight":0},{"service":"t","weight":0`), "add up to 0"},
		"a weight below 0":    {change(`"weight":10`, `"weight":-1`), "weight"},
		"time-out of 0":       {change(`"timeoutMs":500`, `"timeoutMs":0`), "timeoutMs"},
		"no time-out":         {change(`"timeoutMs":500,`, ``), "timeoutMs"},
		"shared key":          {change(`"tenants":[`, `"tenants":[{"name":"y","apiKeys":["k2"]},`), "one of the keys"},
		"a text for a number": {change(`"timeoutMs":500`, `"timeoutMs":"500"`), "timeoutMs"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Next(nil, &message.Order{Kind: message.Order_PUT, Body: []byte(c.text)})
			if err == nil || !strings.Contains(err.Error(), c.wantText) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v; it must contain %q and have one line", err, c.wantText)
			}
		})
	}
}

// Route returns the route with the longest matching prefix on the host of the request. The case of
// the host name does not matter.
func TestRouteHasLongestPrefix(t *testing.T) {
	is := is.New(t)
	c, err := Compile(parse(t, small))
	is.NoErr(err)
	for _, x := range []struct{ host, path, route string }{
		{"h.example", "/a/1", "a"},
		{"H.Example", "/a/b/1", "b"},
		{"h.example", "/a/b", "a"},
		{"h.example", "/c/", ""},
		{"other.example", "/a/1", ""},
	} {
		name := ""
		if r := c.Route(x.host, x.path); r != nil {
			name = r.Name
		}
		is.Equal(name, x.route)
	}
	is.True(c.RequiresAPIKeys())
	is.Equal(c.Tenant("k2").Name, "x")
	is.Equal(c.Tenant("k3"), nil)
	is.True(c.Routes[0].Idempotent())
	is.True(c.Routes[1].Idempotent())
}

// Requests need API keys if the configuration has a list of tenants, even an empty list.
func TestTenantsRequireKeys(t *testing.T) {
	is := is.New(t)
	for text, keyed := range map[string]bool{`{"version":1}`: false, `{"version":1,"tenants":[]}`: true} {
		c, err := Compile(parse(t, text))
		is.NoErr(err)
		is.Equal(c.RequiresAPIKeys(), keyed)
	}
}

// A patch replaces, adds and removes items by name, and leaves all other items unchanged.
func TestPatchChangesItemsByName(t *testing.T) {
	is := is.New(t)
	before := parse(t, small)
	text := before.JSON()
	p, err := ParsePatch([]byte(`{"version":9,"upsert":{"routes":[{"name":"c","host":"h.example","pathPrefix":"/c/","timeoutMs":5,"service":"s"},` +
		`{"name":"a","host":"h.example","pathPrefix":"/z/","timeoutMs":6,"service":"s"}],"limits":{"maxBodyBytes":5}},"remove":{"routes":["b","unknown"],"nothing":["x"]}}`))
	is.NoErr(err)
	after, err := before.Apply(p)
	is.NoErr(err)
	is.Equal(string(before.JSON()), string(text))
	c, err := Compile(after)
	is.NoErr(err)
	is.Equal(c.Version, int64(9))
	is.Equal(len(c.Routes), 2)
	is.Equal(c.Routes[0].PathPrefix, "/z/")
	is.Equal(c.Routes[1].Name, "c")
	is.Equal(c.Limits.MaxBodyBytes, 5)
	is.Equal(len(c.Tenants), 1)
}

// ParsePatch rejects malformed patches, and Apply rejects a patch that replaces a list by another
// value.
func TestMalformedPatchIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"no version":        `{"upsert":{}}`,
		"unknown member":    `{"version":1,"routes":[]}`,
		"remove is a list":  `{"version":1,"remove":["a"]}`,
		"names are numbers": `{"version":1,"remove":{"routes":[1]}}`,
		"no name":           `{"version":1,"upsert":{"routes":[{"host":"h"}]}}`,
		"truncated":         `{"version":1,"upsert":{`,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParsePatch([]byte(text)); err == nil {
				t.Error("ParsePatch accepted a malformed patch")
			}
		})
	}
	if _, err := parse(t, small).Apply(&Patch{Version: 8, upsert: []field{{name: "routes"}}}); err == nil {
		t.Error("Apply accepted a patch that replaces the list routes by another value")
	}
}

// order returns an encoded order for the version base.
func order(kind message.Order_Kind, base int64, body string) []byte {
	text, _ := proto.Marshal(&message.Order{Kind: kind, IfMatch: base, Body: []byte(body)})
	return text
}

// decide passes an encoded order to Decide and a resulting change to Apply. It returns the reply.
func decide(t *testing.T, s *Store, text []byte) *message.OrderReply {
	t.Helper()
	change, reply := s.Decide(text)
	out := &message.OrderReply{}
	if err := proto.Unmarshal(reply, out); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		s.Apply(change)
	}
	return out
}

// An order is applied only if it is for the version in force, and it is acknowledged again whenever
// it is sent again. Of two orders for the same version, the first is applied.
func TestOrderOnlyForVersionInForce(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	first := order(message.Order_PUT, 0, small)
	is.Equal(decide(t, s, order(message.Order_PATCH, 0, `{"version":1}`)).Status, int32(http.StatusBadRequest)) // no configuration to patch
	is.Equal(decide(t, s, first).Status, int32(http.StatusOK))
	is.Equal(s.state.Version(), int64(7))
	one := order(message.Order_PATCH, 7, `{"version":9,"remove":{"routes":["a"]}}`)
	other := order(message.Order_PATCH, 7, `{"version":9,"remove":{"routes":["b"]}}`)
	is.Equal(decide(t, s, one).Status, int32(http.StatusOK))
	is.Equal(decide(t, s, other).Status, int32(http.StatusPreconditionFailed))
	is.Equal(decide(t, s, one).Status, int32(http.StatusOK)) // sent again
	is.Equal(decide(t, s, first).Status, int32(http.StatusOK))
	is.Equal(s.state.Version(), int64(9))
	is.Equal(len(s.state.Typed.Routes), 1)
	is.Equal(decide(t, s, order(message.Order_PATCH, 9, `{"version":9}`)).Status, int32(http.StatusBadRequest)) // not above the version in force
	is.Equal(decide(t, s, order(message.Order_PATCH, 9, `{"version":10,"remove":{"services":["t"]}}`)).Status, int32(http.StatusBadRequest))
	is.Equal(decide(t, s, []byte{0xff}).Status, int32(http.StatusBadRequest))
	is.Equal(s.state.Version(), int64(9))
}

// An applied order that is sent again is recognized after hundreds of later orders and after a
// snapshot is restored.
func TestOrderIsRememberedAcrossSnapshot(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	first := order(message.Order_PUT, 0, small)
	decide(t, s, first)
	for v := int64(7); v < 507; v++ {
		is.Equal(decide(t, s, order(message.Order_PATCH, v, fmt.Sprintf(`{"version":%d}`, v+1))).Status, int32(http.StatusOK))
	}
	restored := NewStore()
	is.NoErr(restored.Restore(s.Snapshot()))
	is.Equal(restored.state.Version(), int64(507))
	is.Equal(decide(t, restored, first).Status, int32(http.StatusOK))
	is.Equal(string(restored.Snapshot()), string(s.Snapshot()))
}

// The store retains at most MaxDigests digests of orders.
func TestDigestsAreBounded(t *testing.T) {
	s := NewStore()
	for i := range MaxDigests + 100 {
		var d [digestLen]byte
		copy(d[:], fmt.Sprint(i))
		s.addDigest(d)
	}
	if len(s.digestOrder) != MaxDigests || len(s.digests) != MaxDigests {
		t.Errorf("digestOrder has %d digests and digests has %d; both must have MaxDigests", len(s.digestOrder), len(s.digests))
	}
}

// Restore leaves the store unchanged if the snapshot can't be decoded.
func TestMalformedSnapshotChangesNothing(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	decide(t, s, order(message.Order_PUT, 0, small))
	bad, _ := proto.Marshal(&message.Stored{Document: []byte(`{"version":1,"routes":[{}]}`)})
	is.True(s.Restore(bad) != nil)
	is.True(s.Restore([]byte{0xff, 0xff}) != nil)
	is.Equal(s.state.Version(), int64(7))
}

// Malformed JSON leads to a *SyntaxError, and a configuration that breaks a rule to an
// *InvalidError.
func TestErrorsAreTyped(t *testing.T) {
	is := is.New(t)
	var syntax *SyntaxError
	var invalid *InvalidError
	_, err := Parse([]byte(`{`))
	is.True(errors.As(err, &syntax))
	_, err = Next(nil, &message.Order{Kind: message.Order_PUT, Body: []byte(strings.Replace(small, `"timeoutMs":500`, `"timeoutMs":0`, 1))})
	is.True(errors.As(err, &invalid))
	_, err = Compile(parse(t, strings.Replace(small, `"service":"s","future"`, `"service":"z","future"`, 1)))
	is.True(errors.As(err, &invalid))
}

// Any text that is sent as a configuration or patch is either rejected or leads to a document whose
// JSON text can be parsed again.
func FuzzOrders(f *testing.F) {
	f.Add([]byte(small), []byte(`{"version":9,"upsert":{"routes":[{"name":"a"}]},"remove":{"routes":["b"]}}`))
	f.Add([]byte(`{"version":1,"routes":null}`), []byte(`{"version":2,"upsert":{"routes":[]}}`))
	f.Fuzz(func(t *testing.T, whole, change []byte) {
		state, err := Next(nil, &message.Order{Kind: message.Order_PUT, Body: whole})
		if err != nil {
			return
		}
		if _, err := Parse(state.JSON()); err != nil {
			t.Fatalf("the JSON text of the configuration can not be parsed: %v", err)
		}
		next, err := Next(state, &message.Order{Kind: message.Order_PATCH, Body: change})
		if err != nil {
			return
		}
		if _, err := Parse(next.JSON()); err != nil {
			t.Fatalf("the JSON text of the patched configuration can not be parsed: %v", err)
		}
	})
}

// Difference returns a patch that turns one document into the other, or false if there is none.
func TestDifferenceIsAPatch(t *testing.T) {
	change := func(old, replacement string) string { return strings.Replace(small, old, replacement, 1) }
	for name, c := range map[string]struct {
		before, after string
		ok            bool
	}{
		"no change":        {small, small, true},
		"version":          {small, change(`"version":7`, `"version":8`), true},
		"an item":          {small, change(`"weight":90`, `"weight":80`), true},
		"HTML characters":  {small, change(`"weight":90`, `"weight":80,"note":"<&>"`), true},
		"added item":       {small, change(`],"limits"`, `,{"name":"u"}],"limits"`), true},
		"removed item":     {small, change(`,{"name":"t","healthCheckPath":"/health"}`, ``), true},
		"a value":          {small, change(`"other":true`, `"other":false`), true},
		"added value":      {small, change(`"later"`, `"z":1,"later"`), false}, // a patch adds fields only at the end
		"added list":       {small, change(`{"y":1}`, `{"y":1},"more":[{"name":"m"}]`), true},
		"added empty list": {small, change(`{"y":1}`, `{"y":1},"more":[]`), true},
		"removed field":    {small, change(`,"later":{"y":1}`, ``), false},
		"reordered items":  {change(`"tenants":[`, `"tenants":[{"name":"y"},`), change(`],"later"`, `,{"name":"y"}],"later"`), false},
		"list to value":    {change(`{"y":1}`, `[{"name":"y"}]`), small, false},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := parse(t, c.before), parse(t, c.after)
			text, ok := Difference(before, after)
			if ok != c.ok {
				t.Fatalf("Difference returned ok = %v and the patch %s", ok, text)
			}
			if !ok {
				return
			}
			patch, err := ParsePatch(text)
			if err != nil {
				t.Fatal(err)
			}
			patched, err := before.Apply(patch)
			if err != nil || string(patched.JSON()) != string(after.JSON()) {
				t.Errorf("the patch leads to %s, error %v", patched.JSON(), err)
			}
		})
	}
}

// ParseAfter reuses items of the replaced document that have the same text, and its result equals
// that of Parse.
func TestParseAfterReusesEqualItems(t *testing.T) {
	is := is.New(t)
	before := parse(t, small)
	text := strings.Replace(small, `"weight":90`, `"weight":80`, 1)
	after, err := ParseAfter(before, []byte(text))
	is.NoErr(err)
	is.True(after.equal(parse(t, text)))
	is.True(after.find("routes").items[0].typed == before.find("routes").items[0].typed)
	is.True(after.find("routes").items[1].typed != before.find("routes").items[1].typed)
}

// The prefix index finds the same route as a linear search over all prefixes.
func TestPrefixIndexEqualsLinearSearch(t *testing.T) {
	var p prefixIndex
	prefixes := []string{"/", "/a/", "/a/b/", "/a/b/c/d/", "/a", "/ab", "x", ""}
	for _, prefix := range prefixes {
		if other := p.add(&Route{Name: prefix, PathPrefix: prefix}); other != nil {
			t.Fatalf("the index rejected the prefix %q as equal to that of route %q", prefix, other.Name)
		}
	}
	for _, prefix := range prefixes {
		if p.add(&Route{PathPrefix: prefix}) == nil {
			t.Errorf("the index accepted the prefix %q twice", prefix)
		}
	}
	for _, path := range []string{"", "/", "//", "/a", "/a/", "/a/b", "/a/b/", "/a/b/c", "/a/b/c/d/e/f", "/ab/c", "/c/d", "xy", "y", "/a//"} {
		want := ""
		for _, prefix := range prefixes {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		if got := p.longest(path); got == nil || got.PathPrefix != want {
			t.Errorf("path %q has the route %v, want the prefix %q", path, got, want)
		}
	}
}

// benchmarkRoutes is the number of routes in a large configuration.
const benchmarkRoutes = 2000

// manyRoutes returns the state of a configuration with benchmarkRoutes routes on 40 hosts.
func manyRoutes(tb testing.TB) *State {
	tb.Helper()
	text := []byte(`{"version":1,"services":[{"name":"s"},{"name":"t"}],"routes":[`)
	for i := range benchmarkRoutes {
		if i > 0 {
			text = append(text, ',')
		}
		text = fmt.Appendf(text, `{"name":"r%d","host":"h%d.example","pathPrefix":"/p%d/","kind":"safe","timeoutMs":500,"targetLatencyMs":100,"service":"s"}`, i, i%40, i)
	}
	state, err := Next(nil, &message.Order{Kind: message.Order_PUT, Body: append(text, "]}"...)})
	if err != nil {
		tb.Fatal(err)
	}
	return state
}

// BenchmarkChange measures a change of one route among many, by a patch and by a complete
// configuration, and the computation of the patch.
func BenchmarkChange(b *testing.B) {
	before := manyRoutes(b)
	patch := []byte(`{"version":2,"upsert":{"routes":[{"name":"r7","host":"h7.example","pathPrefix":"/p7/","timeoutMs":600,"service":"t"}]}}`)
	after, err := Next(before, &message.Order{Kind: message.Order_PATCH, Body: patch})
	if err != nil {
		b.Fatal(err)
	}
	for name, order := range map[string]*message.Order{"patch": {Kind: message.Order_PATCH, Body: patch}, "whole": {Kind: message.Order_PUT, Body: after.JSON()}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Next(before, order); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("difference", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Difference(before.Document, after.Document)
		}
	})
}

// A configuration that is compiled with the index of the replaced one has the same routes as a
// configuration that is compiled without it.
func TestCompileAfterEqualsCompile(t *testing.T) {
	state, err := Next(nil, &message.Order{Kind: message.Order_PUT, Body: []byte(small)})
	if err != nil {
		t.Fatal(err)
	}
	route := func(name, prefix, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","pathPrefix":%q,"timeoutMs":5,"service":%q}`, name, prefix, service)
	}
	for i, change := range []string{
		`"upsert":{"routes":[` + route("a", "/z/", "s") + `]}`,
		`"upsert":{"routes":[` + route("b", "/z/", "s") + `]}`, // rejected: route a has the prefix
		`"upsert":{"routes":[` + route("a", "/y/", "s") + `,` + route("b", "/z/", "s") + `]}`,
		`"upsert":{"routes":[` + route("a", "/z/", "s") + `,` + route("b", "/y/", "s") + `]}`, // a and b exchange their prefixes
		`"remove":{"routes":["a"]}`,
		`"remove":{"services":["s"]}`, // rejected: route b uses service s
		`"upsert":{"routes":[` + route("b", "/a", "t") + `]},"remove":{"services":["s"]}`,
		`"upsert":{"routes":[` + route("c", "/a", "t") + `]}`, // rejected: route b has the prefix
	} {
		order := &message.Order{Kind: message.Order_PATCH, Body: fmt.Appendf(nil, `{"version":%d,%s}`, 8+i, change)}
		next, err := Next(state, order)
		alone, aloneErr := Next(&State{Document: state.Document}, order)
		if fmt.Sprint(err) != fmt.Sprint(aloneErr) {
			t.Fatalf("change %d: error %v, without the index %v", i, err, aloneErr)
		}
		if err != nil {
			continue
		}
		state = next
		for _, path := range []string{"/a/1", "/a/b/1", "/a/", "/z/1", "/y/1", "/ab"} {
			if got, want := next.Typed.Route("h.example", path), alone.Typed.Route("h.example", path); !reflect.DeepEqual(got, want) {
				t.Errorf("change %d: path %s has the route %v, without the index %v", i, path, got, want)
			}
		}
	}
}
