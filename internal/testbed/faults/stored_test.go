package faults

import (
	"testing"
	"time"

	"reachspread/internal/testbed/golden"
)

// The schedule under testdata was written by Text at commit 5bfcc27. The command
// WRITE_GOLDEN=1 go test -run Golden rewrites it. Package experiment reads it, too.

// goldenSchedule returns a schedule that has every kind, every field and every form of a field.
func goldenSchedule() []Fault {
	length := 300 * time.Millisecond
	at := func(n int) time.Duration { return time.Duration(n) * 250 * time.Millisecond }
	all := []Fault{
		{Kind: Loss, Share: 0.25, Routers: Selection{All: true}, Links: []string{LinkPeers, LinkHosts, LinkList}, Direction: Both},
		{Kind: Delay, Delay: 5 * time.Millisecond, Jitter: 1500 * time.Microsecond, Routers: Selection{Numbers: []int{0, 2}}, Peers: Selection{Numbers: []int{1}}},
		{Kind: Duplicate, Share: 0.5, Delay: time.Millisecond, Routers: Selection{Zone: "east"}, Direction: Out},
		{Kind: Reorder, Share: 0.125, Delay: time.Millisecond, Routers: Selection{Fraction: 0.4}, Direction: In},
		{Kind: Truncate, Share: 0.1, Routers: Selection{Numbers: []int{1}}},
		{Kind: Flip, Share: 0.1, Routers: Selection{Numbers: []int{1}}},
		{Kind: Blackhole, Routers: Selection{Numbers: []int{1}}, Hosts: Selection{Zone: "west"}, Links: []string{LinkHosts}},
		{Kind: Partition, Groups: [][]int{{0, 1}, {2, 3}}, Bridge: []int{4}},
		{Kind: Partition, Zones: true},
		{Kind: Power, Zone: "east", Disk: DiskTruncated, File: "*.snap", RemainingFraction: 0.5},
		{Kind: Freeze, Routers: Selection{Numbers: []int{1}}},
		{Kind: Crawl, Share: 0.3, Routers: Selection{Numbers: []int{1}}},
		{Kind: Restart, Routers: Selection{Numbers: []int{1}}},
		{Kind: Replace, Routers: Selection{Numbers: []int{1}}},
		{Kind: Twin, Routers: Selection{Numbers: []int{1}}},
		{Kind: FullDisk, Routers: Selection{Numbers: []int{1}}},
		{Kind: NoWrite, Routers: Selection{Numbers: []int{1}}},
		{Kind: Reload, Routers: Selection{Numbers: []int{1}}},
		{Kind: Withhold, Routers: Selection{Numbers: []int{1}}},
		{Kind: Stall, Hosts: Selection{Numbers: []int{1}}},
		{Kind: Reset, Hosts: Selection{Numbers: []int{1}}},
		{Kind: Garbage, Hosts: Selection{Numbers: []int{1}}},
		{Kind: Drain, Hosts: Selection{Numbers: []int{1}}},
		{Kind: Refuse, Hosts: Selection{Numbers: []int{1}}},
		{Kind: Slow, Size: 2.5, Hosts: Selection{Numbers: []int{1}}},
		{Kind: Rename, Hosts: Selection{Numbers: []int{1}}},
		{Kind: OldList},
		{Kind: Renumber},
	}
	for _, disk := range Disks {
		all = append(all, Fault{Kind: Kill, Routers: Selection{Numbers: []int{1}}, Disk: disk})
	}
	all = append(all, Fault{Kind: Kill, Hosts: Selection{Numbers: []int{0}}, When: &When{What: "phase", Who: "r1", Text: "serving", Nth: 2}})
	for i := range all {
		all[i].At, all[i].Length = at(i), length
	}
	return all
}

// Text writes a schedule exactly as the version that wrote the golden file.
func TestGoldenSchedule(t *testing.T) {
	all := goldenSchedule()
	kinds := map[Kind]bool{}
	for i := range all {
		kinds[all[i].Kind] = true
	}
	if len(kinds) != len(Kinds) {
		t.Errorf("the golden schedule has %d of %d kinds", len(kinds), len(Kinds))
	}
	golden.Same(t, "schedule.hcl", []byte(Text(all)))
}
