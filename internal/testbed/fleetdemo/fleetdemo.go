// Package fleetdemo starts a whole router fleet on the loopback: router processes of which three keep the register, stand-in hosts, an
// operator and clients. It kills one of each kind on the way, and shows what came of the requests. All it started has ended when it returns.
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

// Options are what a demo may be told.
type Options struct {
	Out        io.Writer
	Routers    int           // three of them keep the register
	Length     time.Duration // of the load
	Executable []string      // runs a router, as the settings file in the environment says
	Network    string        // the first three bytes of the routers' loopback addresses
	Page       string        // where the chart goes; empty for none
}

// happening is something that the demo does at a part of its length.
type happening struct {
	at   float64
	what string
	do   func(ctx context.Context) error
}

// demo is one under way.
type demo struct {
	o      Options
	fleet  *localfleet.Fleet
	hosts  []*pintest.Host
	story  *pintest.Scenario
	begun  time.Time
	events []event
}

// event is what happened, for the chart.
type event struct {
	at   time.Duration
	what string
}

// Run plays a demo until it is over or ctx ends.
func Run(ctx context.Context, o Options) error {
	folder, err := os.MkdirTemp("", "fleetdemo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	d := &demo{o: o, fleet: localfleet.New(localfleet.Options{Folder: folder, Network: o.Network, Routers: o.Routers, Disks: coreMachines,
		Executable: o.Executable, HeartbeatMs: int(heartbeatEvery / time.Millisecond), RevocationMs: revocationMs})}
	defer d.end()
	if err := d.start(ctx); err != nil {
		return err
	}
	err = d.play(ctx)
	report := d.story.Finish() // its clients have stopped then, whatever came of it
	if err != nil {
		return err
	}
	return d.show(report)
}

// start brings up routers, hosts and the configuration.
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
	d.story = pintest.NewScenario(fronts, controls, d.hosts)
	for _, step := range []func(context.Context) error{d.story.Configure, d.story.Register} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	go d.story.Heartbeats(ctx, heartbeatEvery)
	if err := d.fleet.AwaitReady(ctx, all...); err != nil {
		return err
	}
	fmt.Fprintf(d.o.Out, "%d routers are ready, %d of them keep the register, before %d hosts\n", d.fleet.Len(), coreMachines, len(d.hosts))
	return nil
}

const (
	coreMachines   = 3
	heartbeatEvery = time.Second
	revocationMs   = 2000
)

// happenings are what goes on, in parts of the length.
func (d *demo) happenings() []happening {
	core, other, host := 1, d.fleet.Len()-1, d.hosts[0]
	coreName, otherName := d.fleet.Name(core), d.fleet.Name(other)
	kill := func(i int) func(context.Context) error {
		return func(context.Context) error { d.fleet.Kill(i); return nil }
	}
	start := func(i int) func(context.Context) error {
		return func(context.Context) error { return d.fleet.Start(i) }
	}
	return []happening{
		{0.10, "the operator pins tenant x to version 2", func(ctx context.Context) error { return d.story.ChangePin(ctx, 2) }},
		{0.25, otherName + " is killed", kill(other)},
		{0.35, otherName + " comes back", start(other)},
		{0.45, coreName + " of the register is killed", kill(core)},
		{0.55, "the operator pins tenant x to version 1, without it", func(ctx context.Context) error { return d.story.ChangePin(ctx, 1) }},
		{0.65, coreName + " comes back", start(core)},
		{0.75, host.ID + " is killed", func(context.Context) error { host.Close(); return nil }},
		{0.85, "the operator lifts the pin", func(ctx context.Context) error { return d.story.ChangePin(ctx, 0) }},
	}
}

// play has clients ask while things happen.
func (d *demo) play(ctx context.Context) error {
	d.begun = time.Now()
	d.story.StartTraffic()
	for _, h := range d.happenings() {
		if !d.until(ctx, time.Duration(h.at*float64(d.o.Length))) {
			return ctx.Err()
		}
		d.events = append(d.events, event{time.Since(d.begun), h.what})
		fmt.Fprintf(d.o.Out, "%5.1fs  %s\n", time.Since(d.begun).Seconds(), h.what)
		if err := h.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", h.what, err)
		}
	}
	if !d.until(ctx, d.o.Length) {
		return ctx.Err()
	}
	return nil
}

// until waits for a time since the beginning; false where ctx ended first.
func (d *demo) until(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(time.Until(d.begun.Add(at))):
		return true
	case <-ctx.Done():
		return false
	}
}

// end ends all that was started.
func (d *demo) end() {
	for _, h := range d.hosts {
		h.Close()
	}
	d.fleet.KillAll()
}

// tally counts requests by their ends.
type tally struct{ served, refused, failed int }

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
