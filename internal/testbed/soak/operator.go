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
	callFor       = 2 * time.Second
	orderFor      = 20 * time.Second // then an order is left without a clear answer
	mostRoutes    = 6                // that come and go
	calmGap       = 400 * time.Millisecond
	stormGap      = 40 * time.Millisecond
	stormFraction = 0.5 // of the time orders come in storms
	stormFor      = 2 * time.Second
	raceFraction  = 0.4 // of the orders are sent beside another one on the same version
	probeEvery    = 30 * time.Millisecond
	probeFor      = 2 * time.Second
	slack         = time.Second // of real time, on a machine that does other work as well
	neverBefore   = time.Duration(-1)
)

// route is one that an order added, and another one removed perhaps.
type route struct {
	name     string
	added    time.Duration // acknowledged; below 0 where that is not known
	removing time.Duration // the first order that removes it was sent; below 0 for none
	removed  time.Duration // that was acknowledged
}

// operator changes the configuration, by two orders on one version among others, and looks at which is in force on calm routers.
type operator struct {
	play    *play
	rng     *rand.Rand
	version int // in force, as far as is known
	number  int

	mu     sync.Mutex
	routes []*route
	acked  int // the newest version that was acknowledged
	orders int
	probes int
}

// order is one change.
type order struct {
	version, on int
	add, remove *route
	code        int // the clear answer, 0 for none
}

func newOperator(p *play) *operator { return &operator{play: p, rng: p.rng(1), version: 1, acked: 1} }

// begin sends the first configuration until it is taken.
func (o *operator) begin(ctx context.Context) bool {
	text := fmt.Sprintf(`{"version":1,"routes":[%s,%s],"services":[{"name":%q}]}`, routeText("unsafe", unsafePath, "unsafe"), routeText("stream", streamPath, "streaming"), service)
	for i := 0; ctx.Err() == nil; i++ {
		code, _ := callControl(ctx, o.play.fleet.Control(i%o.play.fleet.Len()), http.MethodPut, "/configuration", []byte(text), "0")
		if code == http.StatusOK {
			return true
		}
		sleep(ctx, calmGap)
	}
	return false
}

func routeText(name, path, kind string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":5000,"targetLatencyMs":1000,"service":%q,"maxAttempts":1}`, name, clientHost, path, kind, service)
}

// work orders and probes until ctx ends.
func (o *operator) work(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { o.probe(ctx) })
	for ctx.Err() == nil {
		gap := calmGap
		if o.rng.Float64() < stormFraction {
			gap = stormGap
		}
		for until := o.play.now() + stormFor; o.play.now() < until && ctx.Err() == nil; {
			o.change(ctx)
			sleep(ctx, gap)
		}
	}
	group.Wait()
}

// change sends an order, or two on one version, and takes in what was answered.
func (o *operator) change(ctx context.Context) {
	all := []*order{o.draw(1)}
	if o.rng.Float64() < raceFraction {
		all = append(all, o.draw(2))
	}
	seeds := make([]int, len(all))
	for i := range seeds {
		seeds[i] = o.rng.IntN(o.play.fleet.Len())
	}
	var group sync.WaitGroup
	for i, x := range all {
		group.Go(func() { o.send(ctx, x, seeds[i]) })
	}
	group.Wait()
	taken := 0
	for _, x := range all {
		o.take(x)
		if x.code == http.StatusOK {
			taken++
			o.version = max(o.version, x.version)
		}
	}
	if taken > 1 {
		o.play.find("CONFIG", fmt.Sprintf("two changes on version %d were acknowledged", all[0].on))
	}
	if taken == 0 && ctx.Err() == nil {
		o.version = max(o.version, o.read(ctx))
	}
}

// draw is the next order: it adds a route, and removes the oldest where there are many.
func (o *operator) draw(step int) *order {
	o.number++
	x := &order{on: o.version, version: o.version + step + o.rng.IntN(2)*2, add: &route{name: fmt.Sprint("p", o.number), added: neverBefore, removing: neverBefore, removed: neverBefore}}
	o.mu.Lock()
	defer o.mu.Unlock()
	present := 0
	for _, r := range o.routes {
		if r.removing < 0 {
			present++
		}
	}
	for _, r := range o.routes {
		if r.removing < 0 && present > mostRoutes {
			r.removing, x.remove = o.play.now(), r
			break
		}
	}
	o.routes = append(o.routes, x.add)
	return x
}

// send sends an order to routers by turns until it has a clear answer.
func (o *operator) send(ctx context.Context, x *order, router int) {
	body := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s]}`, x.version, routeText(x.add.name, x.add.path(), "safe"))
	if x.remove != nil {
		body += fmt.Sprintf(`,"remove":{"routes":[%q]}`, x.remove.name)
	}
	for until := o.play.now() + orderFor; o.play.now() < until && ctx.Err() == nil; router++ {
		code, text := callControl(ctx, o.play.fleet.Control(router%o.play.fleet.Len()), http.MethodPatch, "/configuration", []byte(body+"}"), strconv.Itoa(x.on))
		switch {
		case code == http.StatusOK || code == http.StatusPreconditionFailed:
			x.code = code
			return
		case code/100 == 4:
			o.play.find("CONFIG", fmt.Sprintf("a proper order is refused with %d: %s", code, text))
			return
		}
		sleep(ctx, 20*time.Millisecond)
	}
}

// take notes what became of an order.
func (o *operator) take(x *order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.play.now()
	switch x.code {
	case http.StatusOK:
		o.orders++
		o.acked = max(o.acked, x.version)
		x.add.added = now
		if x.remove != nil {
			x.remove.removed = now
		}
	case http.StatusPreconditionFailed:
		x.add.removing = now // it never was there
		if x.remove != nil {
			x.remove.removing = neverBefore
		}
	default:
		x.add.removing = now
	}
}

// read is the version in force, 0 where nobody tells it.
func (o *operator) read(ctx context.Context) int {
	for i := 0; ctx.Err() == nil && i < 200; i++ {
		code, text := callControl(ctx, o.play.fleet.Control(i%o.play.fleet.Len()), http.MethodGet, "/configuration", nil, "")
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

// probe asks calm routers for routes that were added or removed long enough ago.
func (o *operator) probe(ctx context.Context) {
	rng := o.play.rng(2)
	for n := 0; sleep(ctx, probeEvery); n++ {
		router := rng.IntN(o.play.fleet.Len())
		began := o.play.now()
		r, there := o.toProbe(rng, began)
		if r == nil || !o.play.calm(router, began) {
			continue
		}
		code := o.ask(router, r, n)
		o.mu.Lock()
		o.probes++
		wasRemoved := r.removing >= 0 && r.removing <= o.play.now()
		o.mu.Unlock()
		if !o.play.calm(router, began) {
			continue
		}
		switch {
		case there && !wasRemoved && (code == http.StatusNotFound || code == http.StatusUnauthorized):
			o.play.find("CONFIG", fmt.Sprintf("%s answers %d on route %s, acknowledged at %.3f s", o.play.fleet.Name(router), code, r.name, r.added.Seconds()))
		case !there && code == http.StatusOK:
			o.play.find("CONFIG", fmt.Sprintf("%s serves route %s, whose removal was acknowledged at %.3f s", o.play.fleet.Name(router), r.name, r.removed.Seconds()))
		}
	}
}

// toProbe draws a route whose coming (there) or going has to be in force everywhere.
func (o *operator) toProbe(rng *rand.Rand, now time.Duration) (r *route, there bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := func(at time.Duration) bool { return at >= 0 && now-at >= apply+slack }
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

// ask sends one request on a route, and returns the status, 0 without an answer.
func (o *operator) ask(router int, r *route, n int) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+o.play.fleet.Front(router)+r.path(), bytes.NewReader([]byte("x")))
	if err != nil {
		return 0
	}
	request.Host = clientHost
	request.Header.Set("Request-Id", fmt.Sprint("probe-", n))
	client := http.Client{Timeout: probeFor, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(request)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (r *route) path() string { return "/" + r.name + "/" }

// judge reads the configuration back: nothing that was acknowledged may be lost.
func (o *operator) judge() {
	ctx, cancel := context.WithTimeout(context.Background(), quiesceTime)
	defer cancel()
	o.play.mu.Lock()
	o.play.report.Orders, o.play.report.Probes = o.orders, o.probes
	o.play.mu.Unlock()
	if read := o.read(ctx); read < o.acked {
		o.play.find("LOST", fmt.Sprintf("version %d is read back, %d was acknowledged", read, o.acked))
	}
}

// calm tells whether a router and the register had no trouble for so long before a time, and have had none since.
func (p *play) calm(router int, at time.Duration) bool {
	return !p.struck(at-contact-slack, p.now(), func(t fault) bool { return t.router == router || p.fleet.HasDisk(t.router) })
}

// callControl makes one call; the code is 0 without an answer.
func callControl(ctx context.Context, address, method, path string, body []byte, ifMatch string) (code int, text []byte) {
	within, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	answer, err := controlclient.Do(within, controlclient.Call{Address: address, Method: method, Path: path, IfMatch: ifMatch, Body: body})
	if err != nil {
		return 0, nil
	}
	return answer.Code, answer.Text
}
