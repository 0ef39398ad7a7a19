package fakes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"reachspread/internal/testbed/simulator"
)

// Fleet is the hosts of an experiment and their lists, on loopback.
type Fleet struct {
	Hosts []*Host
	List  *List
	spec  *simulator.Spec
	zones map[*Host][2]string // with the kind

	mu      sync.Mutex
	views   []view
	applied map[string]Entry // by host, as last told
}

// view is a list that names the hosts at addresses of its own.
type view struct {
	list *List
	addr func(host int) string
}

// Anywhere is a free port on loopback.
func Anywhere(int) string { return "127.0.0.1:0" }

// NewFleet starts the hosts at the addresses given for their numbers, and a list of them.
func NewFleet(spec *simulator.Spec, addr func(host int) string) (f *Fleet, err error) {
	f = &Fleet{spec: spec, zones: map[*Host][2]string{}, applied: map[string]Entry{}}
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
			f.zones[h] = [2]string{g.Zone, g.Kind}
		}
	}
	if f.List, err = f.AddList("127.0.0.1:0", func(n int) string { return f.Hosts[n].Addr }); err != nil {
		return nil, err
	}
	for _, h := range f.Hosts {
		f.UpdateList(h, "Ready", 0)
	}
	return f, nil
}

// AddList starts a further list at an address, with what the others tell by now. It names each host by the address given
// for its number: a router on a machine of its own may reach hosts in a way of its own.
func (f *Fleet) AddList(addr string, hosts func(host int) string) (*List, error) {
	l, err := NewList(addr)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views = append(f.views, view{l, hosts})
	for i, h := range f.Hosts {
		if e, ok := f.applied[h.ID]; ok {
			e.Addr = hosts(i)
			l.Set(e)
		}
	}
	return l, nil
}

// Close ends all of it.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Close()
	}
	for _, v := range f.views {
		v.list.Close()
	}
}

// UpdateList has the lists tell of a host. Started is when, in milliseconds of Unix time, 0 for long ago.
func (f *Fleet) UpdateList(h *Host, state string, started int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.zones[h]
	e := Entry{ID: h.ID, Zone: at[0], Kind: at[1], State: state, Weight: 1, StartedMs: started}
	f.applied[h.ID] = e
	n := slices.Index(f.Hosts, h)
	for _, v := range f.views {
		e.Addr = v.addr(n)
		v.list.Set(e)
	}
}

// Lists has a function called with each list.
func (f *Fleet) Lists(do func(*List)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.views {
		do(v.list)
	}
}

// rename gives a host another id. The lists hear that the old one is gone.
func (f *Fleet) rename(h *Host) {
	f.UpdateList(h, "Gone", 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.applied, h.ID)
	h.ID += "'"
}

// Number is that of a host by one of its ids, -1 for none.
func Number(id string) int {
	n, err := strconv.Atoi(strings.TrimRight(strings.TrimPrefix(id, "host-"), "'"))
	if err != nil || !strings.HasPrefix(id, "host-") {
		return -1
	}
	return n - 1
}

// Site is a router's place before a fleet.
type Site struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Zone                    string // empty for that of the first hosts
	Memory, Sockets         int    // limits, in MB and descriptors; 0 for 256 and 1,024
	Cores                   float64

	Me         int // number among Peers
	PeerListen string
	Peers      []string // all routers, itself included; none exchanges nothing
}

// RouterConfig is the configuration of a router before this fleet, with the classes of the experiment in the platform's
// names.
func (f *Fleet) RouterConfig(at Site) []byte {
	var services []map[string]any
	var targets []float64
	var paces []int64
	for _, c := range f.spec.Classes {
		services = append(services, map[string]any{"name": c.Class.Name, "effect": "safe", "group": "all", "streaming": true, "gain": c.Class.Value,
			"lateWorth": c.Class.LateValueFraction, "aimNs": c.Class.LatencyTarget.Nanoseconds(), "hardLimitNs": c.Class.Deadline.Nanoseconds()})
		targets = append(targets, float64(c.Class.LatencyTargetPer1000Tokens.Microseconds()))
		paces = append(paces, c.Class.TokenLatencyTarget.Nanoseconds())
	}
	if at.Zone == "" && len(f.spec.Groups) > 0 {
		at.Zone = f.spec.Groups[0].Zone
	}
	b := &f.spec.Balance
	settings := map[string]any{"az": at.Zone, "quantumNs": f.spec.Tick.Nanoseconds(), "services": services, "discovery": "push",
		"clients": map[string]any{"marksRetry": true}, "me": at.Me, "nInstances": max(len(at.Peers), 1),
		"extra": map[string]any{"aimUsPer1000PromptTokens": targets, "tokenAimNs": paces, "reportX1": "thousands of prompt tokens waiting to be read"},
		"limits": map[string]any{"maxAttempts": b.MaxAttempts, "connectTimeoutNs": f.spec.Net.Connect.Nanoseconds(), "peers": len(at.Peers) > 0,
			"keepaliveNs": f.spec.Net.Idle.Nanoseconds(), "maxRetryAfterNs": b.MaxRetryAfter.Nanoseconds(), "mayProbe": b.MayProbe, "retryAfter": true},
		"reporting": map[string]any{"columns": []string{"inflight", "util", "x1"}, "how": "answers"},
		"rules": map[string]any{"coldNs": b.SlowStartWindow.Nanoseconds(), "startCapacity": b.SlowStartMinCapacity, "overloadFactor": b.OverloadFactor,
			"tipAfterNs": b.OverloadWindow.Nanoseconds(), "stopSendingWithinNs": int64(500 * time.Millisecond)}}
	config := map[string]any{
		"name": at.Name, "listen": at.Listen, "discovery": cmp.Or(at.Discovery, f.List.Addr), "seed": strconv.FormatUint(max(at.Seed, 1), 16),
		"limits": map[string]any{"cores": cmp.Or(at.Cores, 2), "memory_mb": cmp.Or(at.Memory, 256), "sockets": cmp.Or(at.Sockets, 1024)},
		"known":  map[string]any{"version": 0, "full": true, "servers": []any{}}, "settings": settings,
	}
	if len(at.Peers) > 0 {
		config["peer_listen"], config["peers"] = at.PeerListen, at.Peers
	}
	text, _ := json.Marshal(config)
	return text
}
