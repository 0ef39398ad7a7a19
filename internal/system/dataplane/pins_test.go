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

// versioned is a host that serves a version of model m, and registers another one if it lies.
type versionedHost struct {
	*host
	registered int64
}

// newVersioned is a host of a version; it heeds Expect-Version.
func newVersionedHost(t *testing.T, id string, version, registers int64) versionedHost {
	t.Helper()
	return versionedHost{newHost(t, id, func(r received) string {
		if want := r.Header.Get("Expect-Version"); want != "" && want != fmt.Sprint(version) {
			return answer(r, http.StatusMisdirectedRequest, "Not-Executed: true\r\n", "")
		}
		return answer(r, 200, fmt.Sprintf("Versions: %d\r\n", version), fmt.Sprint("v", version))
	}), registers}
}

// register tells the plane of hosts with their versions.
func (f *fleet) register(hosts ...versionedHost) {
	registry := instances.New(time.Second)
	var all []*message.Instance
	for _, h := range hosts {
		all = append(all, &message.Instance{Id: h.id, Service: "s", Address: h.addr, Zone: "a", Models: []*message.Model{{Name: "m", Version: h.registered}}})
	}
	registry.Merge(0, all)
	f.revision += 1000 // of another registry
	f.plane.SetHosts("s", registry.Revision()+f.revision, registry.Records("s"), 0)
}

// pin puts pins in force, in place of those before.
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

// Requests in a pin's scope are answered by hosts of its version, and are told of it; others by
// any.
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
		is.Equal(r.Header.Values("Expect-Version"), []string{"2"}) // the client's own has no say
	}
	for i := range 20 {
		is.Equal(f.call(t, "/unsafe/", "", keyOne, modelM, fmt.Sprint("Request-Id: b", i)).StatusCode, 200)
	}
	is.Equal(countPinned(one, two), 20) // another route
	a := f.call(t, "/safe/", "", keyOne, "Model: other", "Request-Id: c")
	is.Equal(a.StatusCode, 200) // another model
	figures := f.plane.Pins()["p"]
	is.Equal(figures.Requests, uint64(20))
	is.Equal(figures.Answered[2], uint64(20))
	is.Equal(figures.WrongVersion, uint64(0))
}

// From the moment on that a pin is set, moved or lifted, requests go by it.
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
	is.Equal(countPinned(one, two), before) // to no version any more
	is.Equal(len(f.plane.Pins()), 0)
}

// held is how many requests came to hosts with a version that they were to have.
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

// Where no host has the version, requests are refused at once, with a time to return and a reason;
// others are served.
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
	is.Equal(f.quotas.put > 0, true) // what was refused takes nothing of the tenant's quota
}

// A host that registers a version which it does not have has not run the request, and another one
// serves it.
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

// Hosts that turn pinned requests away, answer them with another version, or roll in their streams
// are not in trouble: traffic out of scope has them as before.
func TestPinsLeaveOtherRequestsAlone(t *testing.T) {
	head := func(r received, versions string, events ...string) string {
		return strings.Replace(stream(r, events...), "Content-Type:", versions+"Content-Type:", 1)
	}
	for _, c := range []struct {
		name, path string
		pinned     func(r received) string // what a host answers to a pinned request
	}{
		{"turned away", "/unsafe/", func(r received) string { return answer(r, 421, "Not-Executed: true\r\n", "") }},
		{"another version", "/safe/", func(r received) string { return answer(r, 200, "Versions: 1\r\n", "v1") }},
		{"a stream of another version", "/stream/", func(r received) string { return head(r, "Versions: 1\r\n", event(1, "a"), "") }},
		{"rolled in the stream", "/stream/", func(r received) string {
			return head(r, "Versions: 2\r\n", event(1, "a"), "versions: 3\n"+event(2, "b"), "")
		}},
		{"rolled in the first event", "/stream/", func(r received) string { return head(r, "Versions: 2\r\n", "versions: 3\n"+event(1, "b"), "") }},
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
				t.Errorf("staff are told: %s", log)
			}
		})
	}
}

// An answer that does not say its version, or says another one, never reaches the client.
func TestAnswerOfAnotherVersion(t *testing.T) {
	for _, c := range []struct{ name, header string }{{"none", ""}, {"another", "Versions: 1\r\n"}, {"no number", "Versions: two\r\n"}} {
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
				is.Equal(a.body, "v2") // another host is asked
			}
			f.register(wrong)
			a := f.call(t, "/unsafe/", "", keyOne, modelM, "Request-Id: b")
			is.Equal(a.StatusCode, 502) // it has run, and may run once
			is.Equal(f.plane.Pins()["p"].WrongVersion, uint64(0))
		})
	}
}

// A host that rolls its weights in the middle of a stream: the client gets events of the chosen
// version alone, to the end from another host where the route allows it, and else a visible end.
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

// untilFrom calls until the answer begins at a host.
func (f *fleet) callUntilServedBy(t *testing.T, id, path string) clientAnswer {
	t.Helper()
	for i := range 100 {
		a := f.call(t, path, "", keyOne, modelM, fmt.Sprint("Request-Id: u", i))
		if a.Header.Get("Response-Seal") == "seal-"+id {
			return a
		}
	}
	t.Fatal("never")
	return clientAnswer{}
}

// A stream that began under no pin, and breaks after one was set, goes on with the version of its
// first part, or ends visibly where that is not known.
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
				f.pin(t, pinOf("x", "", 2)) // it comes in force while the stream is on its way
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

// Requests that are held when a pin changes are decided anew, and run once: one that waits for a
// busy host of the old version goes to the new one at once, and one for whose version the last host
// goes is refused at once.
func TestQueuedRequestAcrossAPinChange(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(t *testing.T, f *fleet, busy, free versionedHost)
		status int
		body   string
	}{
		{"moved", func(t *testing.T, f *fleet, _, _ versionedHost) { f.pin(t, pinOf("x", "", 2)) }, 200, "v2"},
		{"lifted", func(t *testing.T, f *fleet, _, _ versionedHost) { f.pin(t) }, 200, "v2"},
		{"its hosts have gone", func(_ *testing.T, f *fleet, _, free versionedHost) { f.register(free) }, 503, ""},
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
			const many = 40 // more than a host has room for
			answers := make(chan clientAnswer, many)
			for i := range many {
				go func() { answers <- f.call(t, "/unsafe/", "", keyOne, modelM, fmt.Sprint("Request-Id: h", i)) }()
			}
			eventually(t, "some are held", func() bool {
				sent := len(busy.requests())
				return f.plane.Metrics()["s"].Open == many && sent > 0 && sent < many
			})
			c.change(t, f, busy, free)
			var answered []clientAnswer
			eventually(t, "all that are not at the busy host are answered", func() bool {
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

// A client that leaves while its request is at a host ends it, and does not count as served.
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
	eventually(t, "it has ended", func() bool { return f.plane.Metrics()["s"].Open == 0 })
	figures := f.plane.Pins()["p"]
	is.Equal(figures.Requests, uint64(1))
	is.Equal(len(figures.Answered), 0)
	is.Equal(figures.Failed, uint64(0))
}

// eventually waits until something holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); <-tick.C {
		if condition() {
			return
		}
	}
	t.Fatalf("not within %v: %s", testTimeout, what)
}

// A configuration that is put beside pins does not touch them, and neither does it have held
// requests planned anew.
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
