// Package localfleet runs a complete router fleet as processes on addresses of the loopback, for
// demos and tests. Each process has a settings file and a log in one folder, and can be killed,
// frozen, or have its disk wiped. The caller owns the folder and ends the processes by KillAll.
package localfleet

import (
	"cmp"
	"fmt"
	"path/filepath"
)

const (
	seedCount     = 3 // the first routers
	zoneCount     = 3 // to which the routers belong by turns
	defaultGraceS = 3
)

// Options are the size of a fleet and the settings of its routers.
type Options struct {
	Folder     string   // for all files
	Network    string   // the first three bytes of all addresses, such as 127.78.0; the last one is the router's number, from 1
	Routers    int      // the first ones are eligible for the register
	Disks      int      // how many are, and have a disk
	Executable []string // runs a router by the settings file that the environment names
	// Environment is what a router's process has in its environment beside this one's; nil for
	// nothing.
	Environment func(router int) []string
	HeartbeatMs int // between two heartbeats of a host
	// RevocationMs bounds the age of the state by which keys are honoured: each change of the
	// version pins takes so long.
	RevocationMs int
	GraceS       int // for a graceful shutdown; 0 for 3
}

// Fleet is a fleet of router processes, numbered from 0. Its methods are for one goroutine, except
// those that only return names and addresses.
type Fleet struct {
	options Options
	routers []*process
}

// New lays out a fleet without starting a process.
func New(o Options) *Fleet {
	f := &Fleet{options: o}
	var seedNodes []string
	for i := range o.Routers {
		p := newProcess(&o, i)
		if i < seedCount {
			seedNodes = append(seedNodes, p.address(routerPorts.Control))
		}
		f.routers = append(f.routers, p)
	}
	for _, p := range f.routers {
		p.SeedNodes = seedNodes
	}
	return f
}

// newProcess lays out one router.
func newProcess(o *Options, i int) *process {
	p := &process{
		Name:         fmt.Sprint("router-", i+1),
		IP:           fmt.Sprintf("%s.%d", o.Network, i+1),
		Zone:         i % zoneCount,
		Eligible:     i < o.Disks,
		FirstStart:   true,
		Ports:        routerPorts,
		HeartbeatMs:  o.HeartbeatMs,
		RevocationMs: o.RevocationMs,
		GraceS:       cmp.Or(o.GraceS, defaultGraceS),
		executable:   o.Executable,
	}
	if p.Eligible {
		p.DataDirectory = filepath.Join(o.Folder, p.Name)
	}
	return p
}

// Len is the number of routers.
func (f *Fleet) Len() int { return len(f.routers) }

// Name is a router's name.
func (f *Fleet) Name(i int) string { return f.routers[i].Name }

// IP is a router's address, without a port.
func (f *Fleet) IP(i int) string { return f.routers[i].IP }

// HasDisk reports whether a router is eligible for the register.
func (f *Fleet) HasDisk(i int) bool { return f.routers[i].Eligible }

// Front is the address where clients reach a router.
func (f *Fleet) Front(i int) string { return f.routers[i].address(routerPorts.Front) }

// Control is the address where hosts and operators reach a router.
func (f *Fleet) Control(i int) string { return f.routers[i].address(routerPorts.Control) }

// Readiness is the address of a router's readiness call.
func (f *Fleet) Readiness(i int) string { return f.routers[i].address(routerPorts.Ready) }

// Log is the file that a router's processes log to.
func (f *Fleet) Log(i int) string {
	return filepath.Join(f.options.Folder, f.routers[i].Name+".log")
}
