package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"reachspread/internal/lab"
)

// Fleet is the hosts of an experiment and their list, on loopback.
type Fleet struct {
	Hosts []*Host
	List  *List
	spec  *lab.Spec
	zones map[*Host][2]string // with the kind
}

// NewFleet starts them at free ports.
func NewFleet(spec *lab.Spec) (f *Fleet, err error) {
	f = &Fleet{spec: spec, zones: map[*Host][2]string{}}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if f.List, err = NewList("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for _, g := range spec.Groups {
		for range g.Count {
			n := len(f.Hosts)
			h, err := NewHost(fmt.Sprintf("host-%d", n+1), "127.0.0.1:0", g.Host, spec.Seed<<16|uint64(n))
			if err != nil {
				return nil, err
			}
			f.Hosts = append(f.Hosts, h)
			f.zones[h] = [2]string{g.Zone, g.Kind}
			f.Tell(h, "Ready", 0)
		}
	}
	return f, nil
}

// Close ends all of it.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Close()
	}
	if f.List != nil {
		f.List.Close()
	}
}

// Tell has the list tell of a host. Started is when, in milliseconds of Unix time, 0 for long ago.
func (f *Fleet) Tell(h *Host, state string, started int64) {
	at := f.zones[h]
	f.List.Set(Entry{ID: h.ID, Addr: h.Addr, Zone: at[0], Kind: at[1], State: state, Weight: 1, StartedMs: started})
}

// RouterConfig is the configuration of a router before this fleet, with the classes of the experiment in the platform's
// names.
func (f *Fleet) RouterConfig(name, listen string) []byte {
	var services []map[string]any
	var aims []float64
	var paces []int64
	for _, c := range f.spec.Classes {
		services = append(services, map[string]any{"name": c.Class.Name, "effect": "safe", "group": "all", "streaming": true, "gain": c.Class.Worth,
			"lateWorth": c.Class.LateWorth, "aimNs": c.Class.Aim.Nanoseconds(), "hardLimitNs": c.Class.Deadline.Nanoseconds()})
		aims = append(aims, float64(c.Class.AimPer1000.Microseconds()))
		paces = append(paces, c.Class.TokenAim.Nanoseconds())
	}
	zone := ""
	if len(f.spec.Groups) > 0 {
		zone = f.spec.Groups[0].Zone
	}
	b := &f.spec.Balance
	text, _ := json.Marshal(map[string]any{
		"name": name, "listen": listen, "discovery": f.List.Addr, "seed": "1",
		"limits": map[string]any{"cores": 2.0, "memory_mb": 256, "sockets": 1024},
		"known":  map[string]any{"version": 0, "full": true, "servers": []any{}},
		"settings": map[string]any{"az": zone, "quantumNs": f.spec.Tick.Nanoseconds(), "services": services, "discovery": "push",
			"clients": map[string]any{"marksRetry": true},
			"extra":   map[string]any{"aimUsPer1000PromptTokens": aims, "tokenAimNs": paces, "reportX1": "thousands of prompt tokens waiting to be read"},
			"limits": map[string]any{"maxAttempts": b.MaxAttempts, "connectTimeoutNs": f.spec.Net.Connect.Nanoseconds(),
				"keepaliveNs": f.spec.Net.Idle.Nanoseconds(), "maxRetryAfterNs": b.MaxAway.Nanoseconds(), "mayProbe": b.MayProbe, "retryAfter": true},
			"reporting": map[string]any{"columns": []string{"inflight", "util", "x1"}, "how": "answers"},
			"rules": map[string]any{"coldNs": b.ColdTime.Nanoseconds(), "startCapacity": b.StartCapacity, "overloadFactor": b.OverloadFactor,
				"tipAfterNs": b.OverloadWindow.Nanoseconds(), "stopSendingWithinNs": int64(500 * time.Millisecond)}},
	})
	return text
}
