package dataplane

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
)

const (
	keyOne = "Authorization: Bearer k1"
	modelM = "Model: m"
)

// versionedHost is a host that serves a version of model m. It may register another version than
// the one it serves.
type versionedHost struct {
	*host
	registered int64
}

// newVersionedHost returns a host that serves a version and registers a possibly different one. The
// host rejects a request whose Expect-Version header names another version than the one it serves.
func newVersionedHost(t *testing.T, id string, version, registers int64) versionedHost {
	t.Helper()
	return versionedHost{newHost(t, id, func(r received) string {
		if want := r.Header.Get("Expect-Version"); want != "" && want != fmt.Sprint(version) {
			return answer(r, http.StatusMisdirectedRequest, "Not-Executed: true\r\n", "")
		}
		return answer(r, 200, fmt.Sprintf("Versions: %d\r\n", version), fmt.Sprint("v", version))
	}), registers}
}

// register passes the plane the hosts with the versions that they register.
func (f *fleet) register(hosts ...versionedHost) {
	registry := instances.New(time.Second)
	var all []*message.Instance
	for _, h := range hosts {
		all = append(all, &message.Instance{Id: h.id, Service: "s", Address: h.addr, Zone: "a", Models: []*message.Model{{Name: "m", Version: h.registered}}})
	}
	registry.Merge(0, all)
	f.revision += 1000 // the revisions of the new registry must differ from those of earlier ones
	f.plane.SetHosts("s", registry.Revision()+f.revision, registry.Records("s"), 0)
}

// pin replaces the pins in force.
func (f *fleet) pin(t *testing.T, all ...*message.Pin) {
	t.Helper()
	set := &pins.Set{Revision: f.plane.State().Pins().Revision}
	for _, p := range all {
		p.By, p.Why = "ann", "trial"
		next, err := set.Add(p)
		if err != nil {
			t.Fatal(err)
		}
		set = next
	}
	if len(all) == 0 {
		set.Revision++
	}
	if err := f.plane.Configure(f.plane.State().WithPins(set)); err != nil {
		t.Fatal(err)
	}
}

func pinOf(tenant, route string, version int64) *message.Pin {
	return &message.Pin{Name: "p", Tenant: tenant, Route: route, Model: "m", Version: version}
}

// A request in a pin's scope goes to a host of the pin's version, with the version in its
// Expect-Version header. Other requests go to any host.
func TestPinnedRequestGoesToItsVersion(t *testing.T) {
	is := is.New(t)
	one, two := newVersionedHost(t, "i-1", 1, 1), newVersionedHost(t, "i-2", 2, 2)
	f := newFleet(t, keyed)
	f.register(one, two)
	f.pin(t, pinOf("x", "safe", 2))
	for i := range 20 {
		a := f.call(t, "/safe/", "", keyOne, modelM, fmt.Sprint("Request-Id: a", i), "Expect-Version: 9")
		is.NoErr(a.err)
		is.Equal(a.body, "v2")
		is.Equal(a.Header.Get("Versions"), "2")
	}
	for _, r := range two.requests() {
		is.Equal(r.Header.Values("Expect-Version"), []string{"2"}) // the client's own header is replaced
	}
	for i := range 20 {
		is.Equal(f.call(t, "/unsafe/", "", keyOne, modelM, fmt.Sprint("Request-Id: b", i)).StatusCode, 200)
	}
	is.Equal(countPinned(one, two), 20) // the pin does not apply to another route
	a := f.call(t, "/safe/", "", keyOne, "Model: other", "Request-Id: c")
	is.Equal(a.StatusCode, 200) // the pin does not apply to another model
	metrics := f.plane.Pins()["p"]
	is.Equal(metrics.Requests, uint64(20))
	is.Equal(metrics.Answered[2], uint64(20))
	is.Equal(metrics.WrongVersion, uint64(0))
}

// As soon as a pin is set, changed or lifted, new requests follow the change.
func TestChangedPinPlansQueuedRequestsAgain(t *testing.T) {
	is := is.New(t)
	one, two := newVersionedHost(t, "i-1", 1, 1), newVersionedHost(t, "i-2", 2, 2)
	f := newFleet(t, keyed)
	f.register(one, two)
	for round := range 10 {
		version := int64(round%2 + 1)
		f.pin(t, pinOf("x", "", version))
		for i := range 5 {
			a := f.call(t, "/unsafe/", "", keyOne, modelM, fmt.Sprint("Request-Id: ", round, "-", i))
			is.NoErr(a.err)
			is.Equal(a.body, fmt.Sprint("v", version))
		}
	}
	f.pin(t)
	before := countPinned(one, two)
	for i := range 20 {
		is.Equal(f.call(t, "/unsafe/", "", keyOne, modelM, fmt.Sprint("Request-Id: e", i)).StatusCode, 200)
	}
	is.Equal(countPinned(one, two), before) // the requests after the pin was lifted name no version
	is.Equal(len(f.plane.Pins()), 0)
}

// countPinned returns how many requests hosts received with an Expect-Version header.
func countPinned(hosts ...versionedHost) (n int) {
	for _, h := range hosts {
		for _, r := range h.requests() {
			if r.Header.Get("Expect-Version") != "" {
				n++
			}
		}
	}
	return n
}

// If no host has the pin's version, requests in the pin's scope are rejected at once, with a
// Retry-After and a reason. Other requests are served.
func TestRejectedWithoutAHostOfTheVersion(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, keyed)
	f.register(newVersionedHost(t, "i-1", 1, 1))
	f.pin(t, pinOf("x", "safe", 2))
	a := f.call(t, "/safe/", "", keyOne, modelM)
	is.Equal(a.StatusCode, 503)
	is.True(a.Header.Get("Retry-After") != "")
	is.True(strings.Contains(a.body, "version 2") && strings.Contains(a.body, "pin p"))
	is.Equal(f.call(t, "/unsafe/", "", keyOne, modelM, "Request-Id: q2").StatusCode, 200)
	with, without := f.plane.Ready("m", 2)
	is.Equal(with, 0)
	is.Equal(without, 1)
	is.Equal(f.plane.Pins()["p"].Rejected, uint64(1))
	is.Equal(f.quotas.put > 0, true) // the units of the rejected request are returned to the tenant's quota
}

// A host that registers a version which it does not serve rejects the request without executing it,
// and another host serves the request.
func TestAnotherHostServesWhereARegistrationIsWrong(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, keyed)
	wrong, right := newVersionedHost(t, "i-1", 1, 2), newVersionedHost(t, "i-2", 2, 2)
	f.register(wrong, right)
	f.pin(t, pinOf("x", "", 2))
	for i := range 20 {
		a := f.call(t, "/unsafe/", "", keyOne, modelM, fmt.Sprint("Request-Id: a", i))
		is.NoErr(a.err)
		is.Equal(a.body, "v2")
	}
	is.True(len(wrong.requests()) > 0)
}

// A host that rejects pinned requests, answers them with another version, or changes its version
// during a stream does not count as failing. It still gets the requests outside the pin's scope.
func TestPinsLeaveOtherRequestsAlone(t *testing.T) {
	head := func(r received, versions string, events ...string) string {
		return strings.Replace(stream(r, events...), "Content-Type:", versions+"Content-Type:", 1)
	}
	for _, c := range []struct {
		name, path string
		pinned     func(r received) string // returns a host's answer to a pinned request
	}{
		{"rejected", "/unsafe/", func(r received) string { return answer(r, 421, "Not-Executed: true\r\n", "") }},
		{"another version", "/safe/", func(r received) string { return answer(r, 200, "Versions: 1\r\n", "v1") }},
		{"a stream of another version", "/stream/", func(r received) string { return head(r, "Versions: 1\r\n", event(1, "a"), "") }},
		{"another version during the stream", "/stream/", func(r received) string {
			return head(r, "Versions: 2\r\n", event(1, "a"), "versions: 3\n"+event(2, "b"), "")
		}},
		{"another version in the first event", "/stream/", func(r received) string { return head(r, "Versions: 2\r\n", "versions: 3\n"+event(1, "b"), "") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := versionedHost{newHost(t, "i-1", func(r received) string {
				if r.Header.Get("Expect-Version") != "" {
					return c.pinned(r)
				}
				return answer(r, 200, "", "served")
			}), 2}
			f := newFleet(t, keyed)
			f.register(h)
			f.pin(t, pinOf("x", "", 2))
			for i := range 20 {
				f.call(t, c.path, "", keyOne, modelM, fmt.Sprint("Request-Id: a", i))
				a := f.call(t, "/unsafe/", "", keyOne, "Model: other", fmt.Sprint("Request-Id: b", i))
				is.Equal(a.body, "served")
			}
			if log := f.log.text(); log != "" {
				t.Errorf("warnings were logged: %s; want none", log)
			}
		})
	}
}

// An answer that does not state its version, or states another version than the pin's, never
// reaches the client.
func TestAnswerOfAnotherVersion(t *testing.T) {
	for _, c := range []struct{ name, header string }{{"none", ""}, {"another", "Versions: 1\r\n"}, {"not a number", "Versions: two\r\n"}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			wrong := versionedHost{newHost(t, "i-1", func(r received) string { return answer(r, 200, c.header, "wrong") }), 2}
			right := newVersionedHost(t, "i-2", 2, 2)
			f := newFleet(t, keyed)
			f.register(wrong, right)
			f.pin(t, pinOf("x", "", 2))
			for i := range 10 {
				a := f.call(t, "/safe/", "", keyOne, modelM, fmt.Sprint("Request-Id: a", i))
				is.NoErr(a.err)
				is.Equal(a.body, "v2") // the request is sent to another host
			}
			f.register(wrong)
			a := f.call(t, "/unsafe/", "", keyOne, modelM, "Request-Id: b")
			is.Equal(a.StatusCode, 502) // the request was executed, and may be executed only once
			is.Equal(f.plane.Pins()["p"].WrongVersion, uint64(0))
		})
	}
}

// A host loads another version during a stream. The client gets only events of the pinned version.
// If the route allows resumption, another host completes the stream; otherwise the client sees that
// the stream was cut.
func TestHostRolledDuringAStream(t *testing.T) {
	rolled := func(id int) string { return fmt.Sprintf("versions: 3\nid: %d\ndata: new\n\n", id) }
	head := func(r received, events ...string) string {
		return strings.Replace(stream(r, events...), "Content-Type:", "Versions: 2\r\nContent-Type:", 1)
	}
	for _, c := range []struct {
		path, body string
		complete   bool
	}{
		{"/stream/", event(1, "a"), false},
		{"/resumed/", event(1, "a") + event(2, "b") + event(3, "c"), true},
	} {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			changing := versionedHost{newHost(t, "i-1", func(r received) string { return head(r, event(1, "a"), rolled(2), event(3, "new"), "") }), 2}
			f := newFleet(t, keyed)
			f.register(changing)
			f.pin(t, pinOf("x", "", 2))
			resuming := versionedHost{newHost(t, "i-2", func(r received) string {
				if r.Header.Get("Expect-Version") != "2" || r.Header.Get("Last-Event-Id") != "1" {
					return answer(r, http.StatusMisdirectedRequest, "Not-Executed: true\r\n", "")
				}
				return head(r, event(2, "b"), event(3, "c"), "")
			}), 2}
			f.register(changing, resuming)
			a := f.callUntilServedBy(t, "i-1", c.path)
			is.Equal(a.body, c.body)
			is.Equal(a.err == nil, c.complete)
		})
	}
}

// callUntilServedBy sends requests until one is answered by a host, and returns that answer.
func (f *fleet) callUntilServedBy(t *testing.T, id, path string) clientAnswer {
	t.Helper()
	for i := range 100 {
		a := f.call(t, path, "", keyOne, modelM, fmt.Sprint("Request-Id: u", i))
		if a.Header.Get("Response-Seal") == "seal-"+id {
			return a
		}
	}
	t.Fatal("none of 100 requests was answered by the host")
	return clientAnswer{}
}

// A stream starts without a pin and breaks after a pin was set. It is resumed with the version of
// its first part. If that version is unknown, the client sees that the stream was cut.
func TestStreamResumesAcrossAPinChange(t *testing.T) {
	for _, c := range []struct {
		name, versions string
		complete       bool
	}{{"known", "Versions: 1\r\n", true}, {"unknown", "", false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, keyed)
			breaking := versionedHost{newHost(t, "i-1", func(r received) string {
				if r.Header.Get("Last-Event-Id") != "" {
					return answer(r, 503, "Not-Executed: true\r\n", "")
				}
				f.pin(t, pinOf("x", "", 2)) // the pin comes into force during the stream
				return strings.Replace(stream(r, event(1, "a")), "Content-Type:", c.versions+"Content-Type:", 1) + hangUp
			}), 1}
			f.register(breaking)
			newResumingHost := func(id string, version int64) versionedHost {
				return versionedHost{newHost(t, id, func(r received) string {
					if r.Header.Get("Expect-Version") != fmt.Sprint(version) {
						return answer(r, http.StatusMisdirectedRequest, "Not-Executed: true\r\n", "")
					}
					return strings.Replace(stream(r, event(2, fmt.Sprint("v", version)), ""), "Content-Type:", fmt.Sprintf("Versions: %d\r\nContent-Type:", version), 1)
				}), version}
			}
			first, second := newResumingHost("i-2", 1), newResumingHost("i-3", 2)
			f.register(breaking, first, second)
			a := f.callUntilServedBy(t, "i-1", "/resumed/")
			is.Equal(a.err == nil, c.complete)
			if c.complete {
				is.Equal(a.body, event(1, "a")+event(2, "v1"))
			}
			is.Equal(len(second.requests()), 0)
		})
	}
}

// Requests that are queued when a pin changes are planned again and execute once. A request that
// waits for a busy host of the old version goes to a host of the new version at once. A request for
// whose version the last host is removed is rejected at once.
func TestQueuedRequestAcrossAPinChange(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(t *testing.T, f *fleet, busy, free versionedHost)
		status int
		body   string
	}{
		{"changed", func(t *testing.T, f *fleet, _, _ versionedHost) { f.pin(t, pinOf("x", "", 2)) }, 200, "v2"},
		{"lifted", func(t *testing.T, f *fleet, _, _ versionedHost) { f.pin(t) }, 200, "v2"},
		{"its hosts are removed", func(_ *testing.T, f *fleet, _, free versionedHost) { f.register(free) }, 503, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			busy := versionedHost{newHost(t, "i-1", func(r received) string {
				<-release
				return answer(r, 200, "Versions: 1\r\n", "v1")
			}), 1}
			defer close(release)
			free := newVersionedHost(t, "i-2", 2, 2)
			f := newFleet(t, keyed)
			f.register(busy, free)
			f.pin(t, pinOf("x", "", 1))
			const many = 40 // more than a host accepts at once
			answers := make(chan clientAnswer, many)
			for i := range many {
				go func() { answers <- f.call(t, "/unsafe/", "", keyOne, modelM, fmt.Sprint("Request-Id: h", i)) }()
			}
			eventually(t, "some requests are at the busy host and the others are queued", func() bool {
				sent := len(busy.requests())
				return f.plane.Metrics()["s"].Open == many && sent > 0 && sent < many
			})
			c.change(t, f, busy, free)
			var answered []clientAnswer
			eventually(t, "all requests that are not at the busy host are answered", func() bool {
				for len(answers) > 0 {
					answered = append(answered, <-answers)
				}
				return len(answered)+len(busy.requests()) == many
			})
			for _, a := range answered {
				is.NoErr(a.err)
				is.Equal(a.StatusCode, c.status)
				is.True(c.status != 200 || a.body == c.body)
			}
			seen := map[string]bool{}
			for _, r := range append(busy.requests(), free.requests()...) {
				is.True(!seen[r.Header.Get("Request-Id")])
				seen[r.Header.Get("Request-Id")] = true
			}
		})
	}
}

// A client that disconnects while a host processes its request ends the request. The request is not
// counted as answered or failed.
func TestPinnedClientLeaves(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	slow := versionedHost{newHost(t, "i-1", func(r received) string {
		close(arrived)
		<-release
		return answer(r, 200, "Versions: 1\r\n", "v1")
	}), 1}
	defer close(release)
	f := newFleet(t, keyed)
	f.register(slow)
	f.pin(t, pinOf("x", "", 1))
	c, err := net.Dial("tcp", f.addr)
	is.NoErr(err)
	fmt.Fprintf(c, "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\n%s\r\n%s\r\nRequest-Id: q\r\nContent-Length: 0\r\n\r\n", keyOne, modelM)
	<-arrived
	c.Close()
	eventually(t, "the request has ended", func() bool { return f.plane.Metrics()["s"].Open == 0 })
	metrics := f.plane.Pins()["p"]
	is.Equal(metrics.Requests, uint64(1))
	is.Equal(len(metrics.Answered), 0)
	is.Equal(metrics.Failed, uint64(0))
}

// eventually waits until a condition holds, and fails the test after testTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); <-tick.C {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not reached within %v: %s", testTimeout, what)
}

// A new configuration leaves the pins in force unchanged, and does not cause queued requests to be
// planned again.
func TestPinWithAConfigurationChange(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, keyed)
	f.register(newVersionedHost(t, "i-1", 1, 1), newVersionedHost(t, "i-2", 2, 2))
	f.pin(t, pinOf("x", "", 2))
	text := strings.Replace(fmt.Sprintf(routes, keyed), `"version":1`, `"version":2`, 1)
	state, err := configuration.Next(f.plane.State(), &message.Order{Kind: message.Order_PUT, Body: []byte(text)})
	is.NoErr(err)
	is.NoErr(f.plane.Configure(state))
	for i := range 10 {
		is.Equal(f.call(t, "/safe/", "", keyOne, modelM, fmt.Sprint("Request-Id: a", i)).body, "v2")
	}
	is.Equal(f.plane.Pins()["p"].Requests, uint64(10))
}
