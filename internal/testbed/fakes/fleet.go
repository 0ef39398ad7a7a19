package fakes

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"reachspread/internal/testbed/simulator"
)

// Fleet is the hosts of an experiment and the lists that name them. It owns both until Close.
type Fleet struct {
	Hosts []*Host // by number, from 0
	List  *List   // the first one
	spec  *simulator.Spec
	sites map[*Host]hostSite

	mu      sync.Mutex
	lists   []listView
	entries map[string]Entry // by host id, as the lists have it
}

// hostSite is what the lists say of a host beside its state.
type hostSite struct{ zone, kind string }

// listView is a list that names the hosts at addresses of its own.
type listView struct {
	list *List
	addr func(host int) string
}

// anyPort is an address of the loopback with a port that the system chooses.
const anyPort = "127.0.0.1:0"

// AnyPort gives each host a free port on the loopback.
func AnyPort(int) string { return anyPort }

// NewFleet starts the hosts at the addresses given for their numbers, and a list of them.
func NewFleet(spec *simulator.Spec, addr func(host int) string) (f *Fleet, err error) {
	f = &Fleet{spec: spec, sites: map[*Host]hostSite{}, entries: map[string]Entry{}}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	for _, g := range spec.Groups {
		for range g.Count {
			n := len(f.Hosts)
			h, err := NewHost(fmt.Sprintf("host-%d", n+1), addr(n), g.Host, spec.Seed<<16|uint64(n))
			if err != nil {
				return nil, err
			}
			f.Hosts = append(f.Hosts, h)
			f.sites[h] = hostSite{zone: g.Zone, kind: g.Kind}
		}
	}
	if f.List, err = f.AddList(anyPort, func(n int) string { return f.Hosts[n].Addr }); err != nil {
		return nil, err
	}
	for _, h := range f.Hosts {
		f.UpdateList(h, stateReady, 0)
	}
	return f, nil
}

// AddList starts a further list at an address, with the present entries. It names each host by the
// address given for its number: routers on different machines may reach a host by different ones.
func (f *Fleet) AddList(addr string, hosts func(host int) string) (*List, error) {
	l, err := NewList(addr)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists = append(f.lists, listView{l, hosts})
	for i, h := range f.Hosts {
		if e, ok := f.entries[h.ID]; ok {
			e.Addr = hosts(i)
			l.Set(e)
		}
	}
	return l, nil
}

// Close ends all hosts and lists.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Close()
	}
	for _, v := range f.lists {
		v.list.Close()
	}
}

// UpdateList sets the state of a host in all lists. started is the start of its process in
// milliseconds of Unix time, 0 for long ago.
func (f *Fleet) UpdateList(h *Host, state string, started int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	site := f.sites[h]
	e := Entry{ID: h.ID, Zone: site.zone, Kind: site.kind, State: state, Weight: 1, StartedMs: started}
	f.entries[h.ID] = e
	n := slices.Index(f.Hosts, h)
	for _, v := range f.lists {
		e.Addr = v.addr(n)
		v.list.Set(e)
	}
}

// EachList calls a function with each list, under the fleet's lock.
func (f *Fleet) EachList(visit func(*List)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.lists {
		visit(v.list)
	}
}

// rename gives a host another id and removes the old one from the lists.
func (f *Fleet) rename(h *Host) {
	f.UpdateList(h, stateRemoved, 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.entries, h.ID)
	h.ID += "'"
}

// HostNumber is the number of the host that has or had an id, -1 for none.
func HostNumber(id string) int {
	n, err := strconv.Atoi(strings.TrimRight(strings.TrimPrefix(id, "host-"), "'"))
	if err != nil || !strings.HasPrefix(id, "host-") {
		return -1
	}
	return n - 1
}
