// Package localfleet runs a complete router fleet as processes on loopback addresses, for demos and
// tests. All settings files and logs of the processes are in one folder. A process can be killed or
// frozen, and its disk can be wiped. The caller owns the folder and ends the processes with KillAll.
package localfleet

import (
	"cmp"
	"fmt"
	"path/filepath"
)

const (
	seedCount     = 3 // number of seed nodes, which are the first routers
	zoneCount     = 3 // number of zones, to which routers are assigned round-robin
	defaultGraceS = 3 // default of Options.GraceS
)

// Options has the size of a fleet and the settings of its routers.
type Options struct {
	Folder     string   // folder of all files of the fleet
	Network    string   // the first three bytes of all addresses, such as 127.78.0; the last byte is the router's number, from 1
	Routers    int      // number of routers
	Disks      int      // number of routers, counted from the first, that have a disk and are eligible for the register
	Executable []string // program and arguments that run a router with the settings file that the environment names
	// Environment returns the variables that a router's process has in addition to the environment of
	// this process. It may be nil.
	Environment func(router int) []string
	HeartbeatMs int // interval between two heartbeats of a host, in milliseconds
	// RevocationMs bounds the age of the configuration with which a router still honours keys, in
	// milliseconds. Each change of the version pins takes this long.
	RevocationMs int
	GraceS       int // time for a graceful shutdown, in seconds; 0 means 3
}

// Fleet is a fleet of router processes, numbered from 0. Its methods must be called from one goroutine
// at a time, except those that only return names and addresses.
type Fleet struct {
	options Options
	routers []*process
}

// New returns a fleet with all its routers down. It starts no process.
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

// newProcess returns router i of a fleet, without its seed nodes.
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

// Len returns the number of routers.
func (f *Fleet) Len() int { return len(f.routers) }

// Name returns a router's name.
func (f *Fleet) Name(i int) string { return f.routers[i].Name }

// IP returns a router's IP address.
func (f *Fleet) IP(i int) string { return f.routers[i].IP }

// HasDisk reports whether a router has a disk and is therefore eligible for the register.
func (f *Fleet) HasDisk(i int) bool { return f.routers[i].Eligible }

// Front returns the address at which clients reach a router.
func (f *Fleet) Front(i int) string { return f.routers[i].address(routerPorts.Front) }

// Control returns the address at which hosts and operators reach a router.
func (f *Fleet) Control(i int) string { return f.routers[i].address(routerPorts.Control) }

// Readiness returns the address of a router's readiness check.
func (f *Fleet) Readiness(i int) string { return f.routers[i].address(routerPorts.Ready) }

// Log returns the path of the file to which a router's processes log.
func (f *Fleet) Log(i int) string {
	return filepath.Join(f.options.Folder, f.routers[i].Name+".log")
}
