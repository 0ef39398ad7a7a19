package faults

import (
	"fmt"
	"strings"
)

// The kinds. Those of links strike what passes between routers, hosts and the list; those of
// processes strike routers, hosts or both.
const (
	Loss      Kind = "loss"
	Delay     Kind = "delay"
	Duplicate Kind = "duplicate"
	Reorder   Kind = "reorder"
	Clip      Kind = "clip"
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

// targetSet is what a kind is about.
type targetSet uint8

const (
	links targetSet = 1 << iota
	routers
	hosts
)

// Meaning is a row of the table of kinds.
type Meaning struct {
	Kind    Kind
	Means   string // while it lasts, and as it ends
	targets targetSet
	needs   []string // fields
	takes   []string // further ones
	worlds  World
}

// Kinds has every kind. What a schedule may say, what a world refuses and the operators' table come
// from here.
var Kinds = []Meaning{
	{Loss, "a share of datagrams never comes; a piece of a connection's comes later by a retransmission's time", links, []string{"share"}, nil, Rig | Lab | View | Explore},
	{Delay, "everything comes later by delay, and by up to jitter more", links, []string{"delay"}, []string{"jitter"}, Rig | Lab | View | Explore},
	{Duplicate, "a share of datagrams comes twice, the second up to delay later", links, []string{"share"}, []string{"delay"}, Rig | Lab | View | Explore},
	{Reorder, "a share of datagrams comes later by up to delay, past those behind them", links, []string{"share", "delay"}, nil, Rig | Lab | View | Explore},
	{Clip, "a share of datagrams is cut short", links, []string{"share"}, nil, Rig | View},
	{Flip, "a share of datagrams has one bit flipped", links, []string{"share"}, nil, Rig | View},
	{Blackhole, "nothing passes; connections that were open are reset as it ends, new ones never come up", links, nil, nil, Rig | Lab | View | Explore},
	{Partition, "routers of different groups do not reach each other; bridges reach all", links, nil, []string{"groups", "bridge"}, Rig | Lab | View | Explore},

	{Kill, "the process dies at once, and starts again as it ends", routers | hosts, nil, []string{"disk", "file", "keep"}, Rig | Hosts | Lab | View | Explore},
	{Power, "routers, hosts and list of a zone, or of all, die at once and start again as it ends", 0, nil, []string{"zone", "disk", "file", "keep"}, Rig | View},
	{Freeze, "the process stands still", routers, nil, nil, Rig | View | Explore},
	{Crawl, "the process stands still for a share of the time, in bursts", routers, []string{"share"}, nil, Rig | View},
	{Restart, "SIGTERM; the process starts again as it ends, once the old one is gone", routers, nil, nil, Rig | View},
	{Replace, "a second process starts beside; once it takes clients the first gets SIGTERM", routers, nil, nil, Rig | View},
	{Twin, "a second process starts under the same name and addresses, by mistake, and gets SIGTERM as it ends", routers, nil, nil, Rig},
	{FullDisk, "no file of the process can grow", routers, nil, nil, Rig},
	{NoWrite, "the durable folder is no folder, and is again as it ends", routers, nil, nil, Rig},
	{Reload, "SIGHUP with the same file", routers, nil, nil, Rig},
	{Withhold, "the management address sends clients away, and takes them again as it ends", routers, nil, nil, Rig},

	{Stall, "streams say nothing, and go on as it ends", hosts, nil, nil, Rig | Hosts},
	{Reset, "connections are reset, over and over; the process stands", hosts, nil, nil, Rig | Hosts},
	{Garbage, "what is no event stands in the streams", hosts, nil, nil, Rig | Hosts},
	{Drain, "the list says so, the host finishes, and starts cold as it ends", hosts, nil, nil, Rig | Hosts},
	{Refuse, "no new connection comes up; those that are there go on", hosts, nil, nil, Rig | Hosts},
	{Slow, "the model works size times slower", hosts, []string{"size"}, nil, Rig | Hosts | Lab},
	{Rename, "the process dies, and starts as it ends under another id at the same address", hosts, nil, nil, Rig | Hosts},

	{OldList, "the list is as it was when the play began, and as it should be as it ends; watches are reset both times", 0, nil, nil, Rig},
	{Renumber, "the list counts its versions anew from 1 as it begins, and watches are reset", 0, nil, nil, Rig},
}

// Of returns a kind's row, nil for one that there is not.
func Of(k Kind) *Meaning {
	for i := range Kinds {
		if Kinds[i].Kind == k {
			return &Kinds[i]
		}
	}
	return nil
}

// In tells whether a world has the kind.
func (m *Meaning) In(w World) bool { return m.worlds&w != 0 }

// OfLinks tells whether the kind strikes links.
func (m *Meaning) OfLinks() bool { return m.targets&links != 0 }

// Needed returns the fields that a block of the kind must have.
func (m *Meaning) Needed() []string { return m.needs }

// Fields returns all fields that a block of the kind may have.
func (m *Meaning) Fields() []string {
	all := append([]string{"at", "length"}, m.needs...)
	all = append(all, m.takes...)
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

// Table is the kinds as a table of Markdown, for people and for the operators' page.
func Table() string {
	var b strings.Builder
	b.WriteString("| fault | while it lasts, and as it ends | needs | may have | where |\n| --- | --- | --- | --- | --- |\n")
	for _, m := range Kinds {
		var where []string
		for _, w := range []struct {
			world World
			name  string
		}{{Rig, "rig"}, {Hosts, "serve-fleet"}, {Lab, "lab"}, {View, "view"}, {Explore, "explorer"}} {
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
		may := m.Fields()[2+len(m.needs):]
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", m.Kind, m.Means, code(m.needs), code(may), strings.Join(where, ", "))
	}
	return b.String()
}
