package chaos

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/simulator"
)

// run starts the network and the routers, runs clients and faults to their end, and stops all
// processes. It returns an error if something can't be started, if a fault can't be injected, or if
// ctx has ended.
func (p *play) run(ctx context.Context, plan []simulator.Planned) (_ []fakes.Tally, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if p.layout, err = newLayout(); err != nil {
		return nil, err
	}
	defer p.layout.close()
	p.starter = newStarter()
	defer p.starter.close()
	var background sync.WaitGroup
	backgroundCtx, endBackground := context.WithCancel(context.Background())
	defer background.Wait()
	defer endBackground()
	p.stalls = &stalls{recorder: p.recorder}
	if err := p.stalls.watch(backgroundCtx); err != nil {
		return nil, err
	}

	if err := p.openNetwork(); err != nil {
		return nil, err
	}
	defer p.closeNetwork()
	if err := p.openRouters(); err != nil {
		return nil, err
	}
	defer p.endRouters()
	p.balancer = newLoadBalancer(p)
	background.Go(func() { p.balancer.watch(backgroundCtx) })
	if err := p.startRouters(ctx); err != nil {
		return nil, err
	}
	p.startObservers(backgroundCtx, &background)

	clients := p.newClients()
	p.player = newPlayer(p)
	faultsDone := make(chan error, 1)
	go func() { faultsDone <- p.player.run(ctx) }()
	clients.Run(ctx, plan)
	err = <-faultsDone
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	endBackground() // before the routers stop, so that a stopping process is not reported as hung
	background.Wait()
	p.endRouters()
	p.recorder.add(history.Event{What: history.End})
	return clients.Tallies(), err
}

// startRouters starts the routers' processes and waits until all are ready.
func (p *play) startRouters(ctx context.Context) error {
	for _, r := range p.routers {
		if err := r.begin(""); err != nil {
			return err
		}
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, r := range p.routers {
		if err := p.awaitReady(ready, r); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until a router is ready. If the router exits or ctx ends first, the error has the
// last line of the router's log.
func (p *play) awaitReady(ctx context.Context, r *router) error {
	e, err := p.recorder.await(ctx, func(e *history.Event) bool {
		return e.Who == r.name() && (e.What == history.Ready || e.What == history.Exit)
	})
	var reason string
	switch {
	case e.What == history.Exit:
		reason = fmt.Sprintf("ended before it was ready, status %d", e.Status)
	case err != nil:
		reason = fmt.Sprint("is not ready: ", err)
	default:
		return nil
	}
	log, _ := os.ReadFile(filepath.Join(r.folder, "log"))
	return fmt.Errorf("router %s %s; the last line of its log: %q", r.name(), reason, lastLine(log))
}

// startObservers starts the goroutines that observe the routers and, if the experiment asks for it,
// the one that hands the copier duty over. They run until ctx ends.
func (p *play) startObservers(ctx context.Context, background *sync.WaitGroup) {
	x := &p.options.Experiment.Rig
	w := newWatch(p)
	background.Go(func() { w.run(ctx) })
	if p.viewsWithin() > 0 {
		background.Go(func() { p.watchViews(ctx) })
	}
	if interval := x.Scrape; interval > 0 {
		background.Go(func() { p.scrape(ctx, interval) })
	}
	if interval := x.HandOver; interval > 0 && p.eligibleVoters() > 0 {
		background.Go(func() { p.handOver(ctx, interval) })
	}
}

// newClients returns the clients of the experiment. Their events are added to the history.
func (p *play) newClients() *fakes.Clients {
	x := &p.options.Experiment.Rig
	clients := fakes.NewClients("", &p.spec)
	clients.RouterFor = p.balancer.pick
	clients.Observe = p.recordClientEvent
	clients.Grace = x.Slack + time.Second
	clients.Retries = x.Retries
	clients.Behavior = fakes.ClientBehavior{Chunked: x.Pieces, Stalled: x.Silent, Departing: x.Leave}
	return clients
}

// recordClientEvent adds an event of a client to the history. It replaces a router's address, which
// the client uses, by the router's name, which the history uses.
func (p *play) recordClientEvent(s fakes.ClientEvent) {
	e := s.Event
	switch e.What {
	case history.Ask:
		e.Who, e.Until = p.layout.routerAt(e.Who), p.recorder.at(s.WaitsUntil)
	case history.First, history.Answer:
		e.Until = p.recorder.at(s.WaitsUntil)
		if !s.ArrivedAt.IsZero() {
			e.Arrived = p.recorder.at(s.ArrivedAt)
		}
	}
	p.recorder.add(e)
}

// lastLine returns the last line of a log that is not blank.
func lastLine(log []byte) string {
	lines := strings.Split(strings.TrimSpace(string(log)), "\n")
	return lines[len(lines)-1]
}
