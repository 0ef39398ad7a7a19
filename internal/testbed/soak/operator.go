package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"reachspread/internal/system/controlclient"
)

const (
	callTimeout   = 2 * time.Second
	changeTimeout = 20 * time.Second // without an answer in this time, the outcome of a change stays unknown
	maxRoutes     = 6                // routes, besides the fixed ones, beyond which a change also removes the oldest
	calmGap       = 400 * time.Millisecond
	stormGap      = 40 * time.Millisecond
	stormFraction = 0.5 // fraction of stormPeriods in which changes follow each other by stormGap instead of calmGap
	stormPeriod   = 2 * time.Second
	raceFraction  = 0.4 // fraction of changes that are sent concurrently with another change of the same base version
	probeInterval = 30 * time.Millisecond
	probeTimeout  = 2 * time.Second
	slack         = time.Second // tolerance for a machine that does other work as well
	neverBefore   = time.Duration(-1)
)

// route is a route that one change added and another one may have removed. Times are since the start
// of the run.
type route struct {
	name     string
	added    time.Duration // when the addition was acknowledged; negative if it was not
	removing time.Duration // when the first change that removes the route was sent; negative for none
	removed  time.Duration // when the removal was acknowledged; negative if it was not
}

// operator changes the configuration, sometimes with two concurrent changes of the same base version. It
// also probes whether routers without a fault use the newest configuration.
type operator struct {
	soak    *soakRun
	rng     *rand.Rand
	version int // the newest version known to be in force
	number  int

	mu           sync.Mutex
	routes       []*route
	acknowledged int // the newest version that was acknowledged
	changes      int
	probes       int
}

// change is one change of the configuration.
type change struct {
	version, baseVersion int
	add, remove          *route
	status               int // the status code of the definite answer; 0 for none
}

func newOperator(p *soakRun) *operator {
	return &operator{soak: p, rng: p.rng(operatorStream), version: 1, acknowledged: 1}
}

// configure sends the first configuration until it is acknowledged. It reports false if ctx ends
// first.
func (o *operator) configure(ctx context.Context) bool {
	text := fmt.Sprintf(`{"version":1,"routes":[%s,%s],"services":[{"name":%q}]}`, routeText("unsafe", unsafePath, "unsafe"), routeText("stream", streamPath, "streaming"), service)
	for i := 0; ctx.Err() == nil; i++ {
		code, _ := callControl(ctx, o.soak.fleet.Control(i%o.soak.fleet.Len()), http.MethodPut, "/configuration", []byte(text), "0")
		if code == http.StatusOK {
			return true
		}
		sleep(ctx, calmGap)
	}
	return false
}

// routeText returns a route as JSON for the control plane.
func routeText(name, path, kind string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":5000,"targetLatencyMs":1000,"service":%q,"maxAttempts":1}`, name, clientHost, path, kind, service)
}

// run sends changes and probes until ctx ends.
func (o *operator) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { o.probe(ctx) })
	for ctx.Err() == nil {
		gap := calmGap
		if o.rng.Float64() < stormFraction {
			gap = stormGap
		}
		for until := o.soak.now() + stormPeriod; o.soak.now() < until && ctx.Err() == nil; {
			o.sendChanges(ctx)
			sleep(ctx, gap)
		}
	}
	group.Wait()
}

// sendChanges sends one change, or two concurrent changes of the same base version, and records the
// answers. At most one of the two may be acknowledged.
func (o *operator) sendChanges(ctx context.Context) {
	all := []*change{o.draw(1)}
	if o.rng.Float64() < raceFraction {
		all = append(all, o.draw(2))
	}
	firstRouters := make([]int, len(all))
	for i := range firstRouters {
		firstRouters[i] = o.rng.IntN(o.soak.fleet.Len())
	}
	var group sync.WaitGroup
	for i, x := range all {
		group.Go(func() { o.send(ctx, x, firstRouters[i]) })
	}
	group.Wait()
	accepted := 0
	for _, x := range all {
		o.record(x)
		if x.status == http.StatusOK {
			accepted++
			o.version = max(o.version, x.version)
		}
	}
	if accepted > 1 {
		o.soak.addFinding("CONFIG", fmt.Sprintf("two concurrent changes of version %d were both acknowledged", all[0].baseVersion))
	}
	if accepted == 0 && ctx.Err() == nil {
		o.version = max(o.version, o.read(ctx))
	}
}

// draw draws the next change. The change adds a route, and removes the oldest one if there are more
// than maxRoutes.
func (o *operator) draw(step int) *change {
	o.number++
	x := &change{baseVersion: o.version, version: o.version + step + o.rng.IntN(2)*2, add: &route{name: fmt.Sprint("p", o.number), added: neverBefore, removing: neverBefore, removed: neverBefore}}
	o.mu.Lock()
	defer o.mu.Unlock()
	present := 0
	for _, r := range o.routes {
		if r.removing < 0 {
			present++
		}
	}
	for _, r := range o.routes {
		if r.removing < 0 && present > maxRoutes {
			r.removing, x.remove = o.soak.now(), r
			break
		}
	}
	o.routes = append(o.routes, x.add)
	return x
}

// send sends a change to one router after another until it gets a definite answer.
func (o *operator) send(ctx context.Context, x *change, router int) {
	body := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s]}`, x.version, routeText(x.add.name, x.add.path(), "safe"))
	if x.remove != nil {
		body += fmt.Sprintf(`,"remove":{"routes":[%q]}`, x.remove.name)
	}
	for until := o.soak.now() + changeTimeout; o.soak.now() < until && ctx.Err() == nil; router++ {
		code, text := callControl(ctx, o.soak.fleet.Control(router%o.soak.fleet.Len()), http.MethodPatch, "/configuration", []byte(body+"}"), strconv.Itoa(x.baseVersion))
		switch {
		case code == http.StatusOK || code == http.StatusPreconditionFailed:
			x.status = code
			return
		case code/100 == 4:
			o.soak.addFinding("CONFIG", fmt.Sprintf("a valid change was refused with %d: %s", code, text))
			return
		}
		sleep(ctx, 20*time.Millisecond)
	}
}

// record records the answer to a change.
func (o *operator) record(x *change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.soak.now()
	switch x.status {
	case http.StatusOK:
		o.changes++
		o.acknowledged = max(o.acknowledged, x.version)
		x.add.added = now
		if x.remove != nil {
			x.remove.removed = now
		}
	case http.StatusPreconditionFailed:
		x.add.removing = now // the change was rejected, so the route was never added
		if x.remove != nil {
			x.remove.removing = neverBefore
		}
	default:
		x.add.removing = now
	}
}

// read returns the version in force, or 0 if no router reports it.
func (o *operator) read(ctx context.Context) int {
	for i := 0; ctx.Err() == nil && i < 200; i++ {
		code, text := callControl(ctx, o.soak.fleet.Control(i%o.soak.fleet.Len()), http.MethodGet, "/configuration", nil, "")
		var in struct {
			Version int `json:"version"`
		}
		if code == http.StatusOK && json.Unmarshal(text, &in) == nil {
			return in.Version
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return 0
}

// probe probes routers without a fault for routes that were added or removed long enough ago.
func (o *operator) probe(ctx context.Context) {
	rng := o.soak.rng(probeStream)
	for n := 0; sleep(ctx, probeInterval); n++ {
		router := rng.IntN(o.soak.fleet.Len())
		began := o.soak.now()
		r, there := o.drawProbe(rng, began)
		if r == nil || !o.soak.isCalm(router, began) {
			continue
		}
		code := o.probeRoute(router, r, n)
		o.mu.Lock()
		o.probes++
		wasRemoved := r.removing >= 0 && r.removing <= o.soak.now()
		o.mu.Unlock()
		if !o.soak.isCalm(router, began) {
			continue
		}
		switch {
		case there && !wasRemoved && (code == http.StatusNotFound || code == http.StatusUnauthorized):
			o.soak.addFinding("CONFIG", fmt.Sprintf("%s answers %d on route %s, acknowledged at %.3f s", o.soak.fleet.Name(router), code, r.name, r.added.Seconds()))
		case !there && code == http.StatusOK:
			o.soak.addFinding("CONFIG", fmt.Sprintf("%s serves route %s, whose removal was acknowledged at %.3f s", o.soak.fleet.Name(router), r.name, r.removed.Seconds()))
		}
	}
}

// drawProbe draws a route whose addition or removal must be in force on all routers by now. there
// tells which. It returns nil if there is no such route.
func (o *operator) drawProbe(rng *rand.Rand, now time.Duration) (r *route, there bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := func(at time.Duration) bool { return at >= 0 && now-at >= applyTime+slack }
	var added, removed []*route
	for _, r := range o.routes {
		switch {
		case old(r.removed):
			removed = append(removed, r)
		case old(r.added) && r.removing < 0:
			added = append(added, r)
		}
	}
	if there = len(removed) == 0 || rng.IntN(3) > 0; there && len(added) > 0 {
		return added[len(added)-1-rng.IntN(min(len(added), 3))], true
	}
	if len(removed) > 0 {
		return removed[len(removed)-1-rng.IntN(min(len(removed), 3))], false
	}
	return nil, false
}

// probeRoute sends one request on a route and returns the status code, or 0 without an answer.
func (o *operator) probeRoute(router int, r *route, n int) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+o.soak.fleet.Front(router)+r.path(), bytes.NewReader([]byte("x")))
	if err != nil {
		return 0
	}
	request.Host = clientHost
	request.Header.Set("Request-Id", fmt.Sprint("probe-", n))
	client := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(request)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (r *route) path() string { return "/" + r.name + "/" }

// judge reads the configuration, and adds a finding if an acknowledged change is lost.
func (o *operator) judge() {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	o.soak.mu.Lock()
	o.soak.report.Changes, o.soak.report.Probes = o.changes, o.probes
	o.soak.mu.Unlock()
	if read := o.read(ctx); read < o.acknowledged {
		o.soak.addFinding("LOST", fmt.Sprintf("routers report configuration version %d, but version %d was acknowledged", read, o.acknowledged))
	}
}

// isCalm reports whether a router and all routers with a disk, which may be members of the register,
// have had no fault from contactTime and slack before a time until now.
func (p *soakRun) isCalm(router int, at time.Duration) bool {
	return !p.hadFault(at-contactTime-slack, p.now(), func(f fault) bool { return f.router == router || p.fleet.HasDisk(f.router) })
}

// callControl makes one call to a control plane. The code is 0 without an answer.
func callControl(ctx context.Context, address, method, path string, body []byte, ifMatch string) (code int, text []byte) {
	within, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := controlclient.Do(within, controlclient.Call{Address: address, Method: method, Path: path, IfMatch: ifMatch, Body: body})
	if err != nil {
		return 0, nil
	}
	return answer.Code, answer.Text
}
