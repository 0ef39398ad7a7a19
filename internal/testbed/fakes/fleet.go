package fakes

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"reachspread/internal/testbed/simulator"
)

// Fleet runs the hosts of an experiment and the discovery lists that name them. It owns both until
// Close.
type Fleet struct {
	Hosts []*Host // by number, from 0
	List  *List   // the first list
	spec  *simulator.Spec
	sites map[*Host]hostSite

	mu      sync.Mutex
	lists   []listView
	entries map[string]Entry // by host id, with the latest state; the lists add their own addresses
}

// hostSite holds the fixed properties of a host in the lists: its zone and its kind.
type hostSite struct{ zone, kind string }

// listView is a list with a function that returns the address under which it names each host.
type listView struct {
	list *List
	addr func(host int) string
}

// anyPort is a loopback address with a port that the kernel chooses.
const anyPort = "127.0.0.1:0"

// AnyPort gives each host a free port on the loopback.
func AnyPort(int) string { return anyPort }

// NewFleet starts the hosts of an experiment at the addresses that addr returns for their numbers,
// and a discovery list of these hosts.
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

// AddList starts a further list at an address, with the current entries. The list names each host by
// the address that hosts returns for its number, because routers on different machines may reach a
// host at different addresses.
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

// UpdateList sets the state of a host in all lists. started is the start time of the host's process
// as Unix time in milliseconds; 0 means long ago.
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

// HostNumber returns the number of the host that has or had an id, or -1 if the id names no host.
func HostNumber(id string) int {
	n, err := strconv.Atoi(strings.TrimRight(strings.TrimPrefix(id, "host-"), "'"))
	if err != nil || !strings.HasPrefix(id, "host-") {
		return -1
	}
	return n - 1
}
