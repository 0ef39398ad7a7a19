package chaos

import (
	"errors"
	"fmt"
	"sync"

	"reachspread/internal/testbed/checker"
	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/faultproxy"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

// maxDatagram is the largest datagram, in bytes, that the platform allows between routers.
const maxDatagram = 256

// openNetwork starts the hosts, the lists and the proxies between them and the routers.
func (p *play) openNetwork() (err error) {
	p.fleet, err = fakes.NewFleet(&p.spec, p.layout.host)
	if err != nil {
		return err
	}
	for n, h := range p.fleet.Hosts {
		name := fmt.Sprint("h", n)
		h.Observe(func(s fakes.HostEvent) { p.recordHostEvent(name, n, s) })
	}
	if p.spec.Routers > 1 {
		if err := p.openMesh(); err != nil {
			return err
		}
	}
	if p.eligibleVoters() > 0 {
		if err := p.openDuties(); err != nil {
			return err
		}
	}
	for i := range p.spec.Routers {
		if err := p.openHostProxies(i); err != nil {
			return err
		}
		if err := p.openList(i); err != nil {
			return err
		}
	}
	return nil
}

// openMesh starts the proxy that carries the datagrams between routers.
func (p *play) openMesh() (err error) {
	recordOversized := func(from, bytes int) {
		p.recorder.add(history.Event{What: history.OversizedDatagram, Who: fmt.Sprint("r", from), Bytes: bytes})
	}
	listen, reached := addresses(p.spec.Routers, p.layout.peer), addresses(p.spec.Routers, p.layout.advertised)
	p.mesh, err = faultproxy.NewMesh(listen, reached, p.options.Seed, maxDatagram, recordOversized)
	return err
}

// openHostProxies starts the proxies from one router to all hosts.
func (p *play) openHostProxies(router int) (err error) {
	row := make([]*faultproxy.ConnProxy, len(p.fleet.Hosts))
	p.hosts = append(p.hosts, row)
	for n, h := range p.fleet.Hosts {
		observer := closings{p.recorder, router}
		row[n], err = faultproxy.NewConnProxy(p.layout.hostOf(router, n), h.Addr, p.options.Seed, uint64(router)<<20|uint64(n), observer)
		if err != nil {
			return err
		}
	}
	return nil
}

// openList starts the discovery list that a router reads, and the proxy between the two.
func (p *play) openList(router int) error {
	list, err := p.fleet.AddList("127.0.0.1:0", func(n int) string { return p.layout.hostOf(router, n) })
	if err != nil {
		return err
	}
	who := fmt.Sprint("r", router)
	list.Observe(func(entries []fakes.Entry) {
		for _, e := range entries {
			p.recorder.add(history.Event{What: history.ListApplied, Who: who, From: p.hostName(e.ID), Text: e.State})
		}
	})
	proxy, err := faultproxy.NewConnProxy(p.layout.list(router), list.Addr, p.options.Seed, uint64(router)<<20|0xfffff, nil)
	if err != nil {
		return err
	}
	p.lists = append(p.lists, proxy)
	return nil
}

// hostName returns the name that the history uses for a host, given the host's id in the list.
func (p *play) hostName(id string) string {
	if n := fakes.HostNumber(id); n >= 0 {
		return fmt.Sprint("h", n)
	}
	return id
}

// recordHostEvent adds an event of host n to the history.
func (p *play) recordHostEvent(name string, n int, s fakes.HostEvent) {
	switch s.Kind {
	case fakes.RequestReceived:
		e := history.Event{What: history.Attempt, ID: s.ID, Who: name, From: p.layout.routerAt(s.Conn), Conn: s.Conn}
		if router := checker.NumberOf(e.From); router >= 0 {
			if at := p.hosts[router][n].SentAt(s.Conn); !at.IsZero() {
				e.Arrived = p.recorder.at(at)
			}
		}
		p.recorder.add(e)
	case fakes.RequestDone:
		p.recorder.add(history.Event{What: history.Done, ID: s.ID, Who: name})
	case fakes.Collapsed:
		p.recorder.add(history.Event{What: history.HostOverloaded, Who: name})
	}
}

// closings is an observer of a router's host proxies that records each connection the router closes.
type closings struct {
	rec    *recorder
	router int
}

// Closed implements faultproxy.Observer.
func (c closings) Closed(conn string) {
	c.rec.add(history.Event{What: history.Closed, Who: fmt.Sprint("r", c.router), Conn: conn})
}

// closeNetwork stops everything that openNetwork has started.
func (p *play) closeNetwork() {
	var all sync.WaitGroup
	for _, row := range append(p.hosts, p.lists) {
		for _, c := range row {
			if c != nil {
				all.Go(c.Close)
			}
		}
	}
	p.closeDuties(&all)
	all.Wait()
	if p.mesh != nil {
		p.mesh.Close()
	}
	if p.fleet != nil {
		p.fleet.Close()
	}
}

// setConditions sets the condition of all links according to the faults in force. listDown also
// blackholes the links to the discovery lists.
func (p *play) setConditions(on []*faults.Injection, listDown bool) error {
	if p.mesh != nil {
		p.mesh.Set(on)
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed error
	set := func(c *faultproxy.ConnProxy, i int, far faults.End, blackholed bool) {
		all.Go(func() {
			near := faults.End{Kind: faults.AtRouter, N: i}
			out, in := faults.ConditionOf(on, near, far), faults.ConditionOf(on, far, near)
			out.Blackholed = out.Blackholed || blackholed
			if err := c.Set(out, in); err != nil {
				mu.Lock()
				failed = errors.Join(failed, err)
				mu.Unlock()
			}
		})
	}
	for i := range p.hosts {
		for n, c := range p.hosts[i] {
			set(c, i, faults.End{Kind: faults.AtHost, N: n}, false)
		}
		set(p.lists[i], i, faults.End{Kind: faults.AtList}, listDown)
	}
	p.eachDutyProxy(func(c *faultproxy.ConnProxy, near int, far faults.End) { set(c, near, far, false) })
	all.Wait()
	return failed
}
