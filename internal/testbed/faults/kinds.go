package faults

import (
	"fmt"
	"strings"
)

// The kinds. Kinds of link faults affect messages between routers, hosts and the discovery list. Kinds
// of process faults affect routers, hosts or both.
const (
	Loss      Kind = "loss"
	Delay     Kind = "delay"
	Duplicate Kind = "duplicate"
	Reorder   Kind = "reorder"
	Truncate  Kind = "clip"
	Flip      Kind = "flip"
	Blackhole Kind = "cut"
	Partition Kind = "partition"

	Kill     Kind = "kill"
	Power    Kind = "power"
	Freeze   Kind = "pause"
	Crawl    Kind = "crawl"
	Restart  Kind = "restart"
	Replace  Kind = "replace"
	Twin     Kind = "twin"
	FullDisk Kind = "full_disk"
	NoWrite  Kind = "no_write"
	Reload   Kind = "reload"
	Withhold Kind = "withhold"

	Stall   Kind = "stall"
	Reset   Kind = "reset"
	Garbage Kind = "garbage"
	Drain   Kind = "drain"
	Refuse  Kind = "refuse"
	Slow    Kind = "slow"
	Rename  Kind = "rename"

	OldList  Kind = "old_list"
	Renumber Kind = "renumber"
)

// targetSet is a set of targets that a kind of fault can affect.
type targetSet uint8

const (
	links targetSet = 1 << iota
	routers
	hosts
)

// KindInfo describes a kind of fault. It is a row of the table of kinds.
type KindInfo struct {
	Kind     Kind
	Effect   string // effect while the fault lasts and when it ends
	targets  targetSet
	required []string // required fields of a schedule's block
	optional []string // optional fields, besides those that Fields adds
	worlds   World
}

// Kinds is the table of all kinds. It determines which fields a schedule may have and which kinds a
// world rejects. The operators' table is printed from it.
var Kinds = []KindInfo{
	{Loss, "a share of datagrams never comes; a piece of a connection's comes later by a retransmission's time", links, []string{"share"}, nil, RealProcesses | Simulation | MembershipSimulation | Explorer},
	{Delay, "everything comes later by delay, and by up to jitter more", links, []string{"delay"}, []string{"jitter"}, RealProcesses | Simulation | MembershipSimulation | Explorer},
	{Duplicate, "a share of datagrams comes twice, the second up to delay later", links, []string{"share"}, []string{"delay"}, RealProcesses | Simulation | MembershipSimulation | Explorer},
	{Reorder, "a share of datagrams comes later by up to delay, past those behind them", links, []string{"share", "delay"}, nil, RealProcesses | Simulation | MembershipSimulation | Explorer},
	{Truncate, "a share of datagrams is cut short", links, []string{"share"}, nil, RealProcesses | MembershipSimulation},
	{Flip, "a share of datagrams has one bit flipped", links, []string{"share"}, nil, RealProcesses | MembershipSimulation},
	{Blackhole, "nothing passes; connections that were open are reset as it ends, new ones never come up", links, nil, nil, RealProcesses | Simulation | MembershipSimulation | Explorer},
	{Partition, "routers of different groups do not reach each other; bridges reach all", links, nil, []string{"groups", "bridge"}, RealProcesses | Simulation | MembershipSimulation | Explorer},

	{Kill, "the process dies at once, and starts again as it ends", routers | hosts, nil, []string{"disk", "file", "keep"}, RealProcesses | FakeHosts | Simulation | MembershipSimulation | Explorer},
	{Power, "routers, hosts and list of a zone, or of all, die at once and start again as it ends", 0, nil, []string{"zone", "disk", "file", "keep"}, RealProcesses | MembershipSimulation},
	{Freeze, "the process stands still", routers, nil, nil, RealProcesses | MembershipSimulation | Explorer},
	{Crawl, "the process stands still for a share of the time, in bursts", routers, []string{"share"}, nil, RealProcesses | MembershipSimulation},
	{Restart, "SIGTERM; the process starts again as it ends, once the old one is gone", routers, nil, nil, RealProcesses | MembershipSimulation},
	{Replace, "a second process starts beside; once it takes clients the first gets SIGTERM", routers, nil, nil, RealProcesses | MembershipSimulation},
	{Twin, "a second process starts under the same name and addresses, by mistake, and gets SIGTERM as it ends", routers, nil, nil, RealProcesses},
	{FullDisk, "no file of the process can grow", routers, nil, nil, RealProcesses},
	{NoWrite, "the durable folder is no folder, and is again as it ends", routers, nil, nil, RealProcesses},
	{Reload, "SIGHUP with the same file", routers, nil, nil, RealProcesses},
	{Withhold, "the management address sends clients away, and takes them again as it ends", routers, nil, nil, RealProcesses},

	{Stall, "streams say nothing, and go on as it ends", hosts, nil, nil, RealProcesses | FakeHosts},
	{Reset, "connections are reset, over and over; the process stands", hosts, nil, nil, RealProcesses | FakeHosts},
	{Garbage, "what is no event stands in the streams", hosts, nil, nil, RealProcesses | FakeHosts},
	{Drain, "the list says so, the host finishes, and starts cold as it ends", hosts, nil, nil, RealProcesses | FakeHosts},
	{Refuse, "no new connection comes up; those that are there go on", hosts, nil, nil, RealProcesses | FakeHosts},
	{Slow, "the model works size times slower", hosts, []string{"size"}, nil, RealProcesses | FakeHosts | Simulation},
	{Rename, "the process dies, and starts as it ends under another id at the same address", hosts, nil, nil, RealProcesses | FakeHosts},

	{OldList, "the list is as it was when the play began, and as it should be as it ends; watches are reset both times", 0, nil, nil, RealProcesses},
	{Renumber, "the list counts its versions anew from 1 as it begins, and watches are reset", 0, nil, nil, RealProcesses},
}

// Of returns the row of a kind in Kinds, or nil for an unknown kind.
func Of(k Kind) *KindInfo {
	for i := range Kinds {
		if Kinds[i].Kind == k {
			return &Kinds[i]
		}
	}
	return nil
}

// In reports whether the kind exists in a world.
func (m *KindInfo) In(w World) bool { return m.worlds&w != 0 }

// OfLinks reports whether the kind affects links.
func (m *KindInfo) OfLinks() bool { return m.targets&links != 0 }

// Needed returns the fields that a block of the kind must have.
func (m *KindInfo) Needed() []string { return m.required }

// Fields returns all fields that a block of the kind may have.
func (m *KindInfo) Fields() []string {
	all := append([]string{"at", "length"}, m.required...)
	all = append(all, m.optional...)
	if m.targets&links != 0 {
		all = append(all, "routers", "links", "peers", "hosts", "direction")
	}
	if m.targets&routers != 0 {
		all = append(all, "routers")
	}
	if m.targets&hosts != 0 {
		all = append(all, "hosts")
	}
	return all
}

// Table returns the kinds as a Markdown table for the operators' page.
func Table() string {
	var b strings.Builder
	b.WriteString("| fault | while it lasts, and as it ends | needs | may have | where |\n| --- | --- | --- | --- | --- |\n")
	for _, m := range Kinds {
		var where []string
		for _, w := range []struct {
			world World
			name  string
		}{{RealProcesses, "rig"}, {FakeHosts, "serve-fleet"}, {Simulation, "lab"}, {MembershipSimulation, "view"}, {Explorer, "explorer"}} {
			if m.In(w.world) {
				where = append(where, w.name)
			}
		}
		code := func(all []string) string {
			if len(all) == 0 {
				return ""
			}
			return "`" + strings.Join(all, "`, `") + "`"
		}
		may := m.Fields()[2+len(m.required):]
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", m.Kind, m.Effect, code(m.required), code(may), strings.Join(where, ", "))
	}
	return b.String()
}
