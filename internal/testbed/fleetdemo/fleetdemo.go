// Package fleetdemo demonstrates a complete router fleet on loopback: router processes, three of
// which are members of the register, fake hosts, an operator and clients. During the load, it kills
// a router that is a member of the register, a router that is not, and a host. It shows the outcomes
// of the requests. Everything that Run started has ended when Run returns.
package fleetdemo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"reachspread/internal/testbed/localfleet"
	"reachspread/internal/testbed/pintest"
)

// Options holds the size, the length and the outputs of a demo.
type Options struct {
	Out        io.Writer
	Routers    int           // number of routers; three of them are members of the register
	Length     time.Duration // length of the load
	Executable []string      // command that runs a router with the settings file that the environment names
	Network    string        // first three bytes of the routers' loopback addresses
	Page       string        // file for the chart; empty for no chart
}

// step is an action that the demo takes at a fraction of its length.
type step struct {
	fraction float64
	text     string
	run      func(ctx context.Context) error
}

// demo is a running demo.
type demo struct {
	options   Options
	fleet     *localfleet.Fleet
	hosts     []*pintest.Host
	scenario  *pintest.Scenario
	loadStart time.Time
	events    []event
}

// event is a step that was started, with its time since the start of the load. Events are shown next
// to the bars and the chart.
type event struct {
	at   time.Duration
	text string
}

// Run runs a demo until the demo is over or ctx ends. It returns an error if the fleet can't be
// started, a step fails, the page can't be written, or ctx ends.
func Run(ctx context.Context, o Options) error {
	folder, err := os.MkdirTemp("", "fleetdemo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	d := &demo{options: o, fleet: localfleet.New(localfleet.Options{Folder: folder, Network: o.Network, Routers: o.Routers, Disks: registerMembers,
		Executable: o.Executable, HeartbeatMs: int(heartbeatInterval / time.Millisecond), RevocationMs: revocationMs})}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	err = d.runSteps(ctx)
	report := d.scenario.Finish() // stops the clients, also after an error
	if err != nil {
		return err
	}
	return d.show(report)
}

// start starts the routers and hosts, configures the fleet and waits until all routers are ready.
func (d *demo) start(ctx context.Context) error {
	if err := d.fleet.StartAll(); err != nil {
		return err
	}
	var fronts, controls []string
	var all []int
	for i := range d.fleet.Len() {
		fronts, controls, all = append(fronts, d.fleet.Front(i)), append(controls, d.fleet.Control(i)), append(all, i)
	}
	for i, version := range []int64{1, 1, 2, 2} {
		h, err := pintest.NewHost(fmt.Sprint("host-", i+1), version)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
	}
	d.scenario = pintest.NewScenario(fronts, controls, d.hosts)
	for _, step := range []func(context.Context) error{d.scenario.Configure, d.scenario.Register} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	go d.scenario.Heartbeats(ctx, heartbeatInterval) // until Finish or the end of ctx
	if err := d.fleet.AwaitReady(ctx, all...); err != nil {
		return err
	}
	fmt.Fprintf(d.options.Out, "%d routers are ready, %d of them keep the register, before %d hosts\n", d.fleet.Len(), registerMembers, len(d.hosts))
	return nil
}

const (
	registerMembers   = 3
	heartbeatInterval = time.Second
	revocationMs      = 2000
)

// steps returns the steps of a demo in their order.
func (d *demo) steps() []step {
	member, other, host := 1, d.fleet.Len()-1, d.hosts[0] // member is the index of a register member, other of a router that is not a member
	memberName, otherName := d.fleet.Name(member), d.fleet.Name(other)
	kill := func(i int) func(context.Context) error {
		return func(context.Context) error { d.fleet.Kill(i); return nil }
	}
	start := func(i int) func(context.Context) error {
		return func(context.Context) error { return d.fleet.Start(i) }
	}
	return []step{
		{0.10, "the operator pins tenant x to version 2", func(ctx context.Context) error { return d.scenario.ChangePin(ctx, 2) }},
		{0.25, otherName + " is killed", kill(other)},
		{0.35, otherName + " comes back", start(other)},
		{0.45, memberName + " of the register is killed", kill(member)},
		{0.55, "the operator pins tenant x to version 1, without it", func(ctx context.Context) error { return d.scenario.ChangePin(ctx, 1) }},
		{0.65, memberName + " comes back", start(member)},
		{0.75, host.ID + " is killed", func(context.Context) error { host.Close(); return nil }},
		{0.85, "the operator lifts the pin", func(ctx context.Context) error { return d.scenario.ChangePin(ctx, 0) }},
	}
}

// runSteps runs the steps at their times while clients send requests.
func (d *demo) runSteps(ctx context.Context) error {
	d.loadStart = time.Now()
	d.scenario.StartTraffic()
	for _, s := range d.steps() {
		if !d.waitUntil(ctx, time.Duration(s.fraction*float64(d.options.Length))) {
			return ctx.Err()
		}
		d.events = append(d.events, event{time.Since(d.loadStart), s.text})
		fmt.Fprintf(d.options.Out, "%5.1fs  %s\n", time.Since(d.loadStart).Seconds(), s.text)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.text, err)
		}
	}
	if !d.waitUntil(ctx, d.options.Length) {
		return ctx.Err()
	}
	return nil
}

// waitUntil waits until the load has run for the duration at. It returns false if ctx ends first.
func (d *demo) waitUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(time.Until(d.loadStart.Add(at))):
		return true
	case <-ctx.Done():
		return false
	}
}

// close stops all hosts and kills all routers.
func (d *demo) close() {
	for _, h := range d.hosts {
		h.Close()
	}
	d.fleet.KillAll()
}

// tally counts requests by outcome.
type tally struct{ served, refused, failed int }

// add counts a request by its outcome. Statuses 429 and 503 count as refused.
func (t *tally) add(a pintest.Request) {
	switch {
	case a.Status == http.StatusOK && a.Complete:
		t.served++
	case a.Status == http.StatusServiceUnavailable, a.Status == http.StatusTooManyRequests:
		t.refused++
	default:
		t.failed++
	}
}
