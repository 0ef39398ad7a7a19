package faults

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds has the limits of the schedules that Draw returns.
type Bounds struct {
	Length time.Duration // length of the run; every fault ends within four fifths of it, so that the fleet can recover
	Faults int           // maximum number of faults; 0 means 6
	Kinds  []Kind        // kinds to draw from; empty for all kinds of the world
	World  World
}

// Draw draws a schedule that passes Check for the topology. The same seed gives the same schedule.
func Draw(b Bounds, topology *Topology, seed uint64) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0xd4a3))
	kinds := b.Kinds
	if len(kinds) == 0 {
		for _, m := range Kinds {
			if m.In(b.World) {
				kinds = append(kinds, m.Kind)
			}
		}
	}
	limit := b.Faults
	if limit == 0 {
		limit = defaultFaults
	}
	d := &drawer{topology, rng}
	var all []Fault
	for n := 1 + rng.IntN(limit); len(all) < n; {
		f := d.fault(kinds[rng.IntN(len(kinds))], b.Length)
		if f.check(topology, b.World, b.Length) == nil {
			all = append(all, f)
		}
	}
	slices.SortStableFunc(all, func(x, y Fault) int { return int(x.At - y.At) })
	return all
}

// defaultFaults is the maximum number of faults of a schedule if Bounds states none.
const defaultFaults = 6

// step is the unit to which drawn times are rounded, so that a schedule is easy to read.
const step = 100 * time.Millisecond

// drawer draws random faults. The order of its draws must not change because it determines which
// schedule a seed gives.
type drawer struct {
	topology *Topology
	rng      *rand.Rand
}

// between draws a duration between two limits, rounded to a step.
func (d *drawer) between(shortest, longest time.Duration) time.Duration {
	if longest <= shortest {
		return shortest
	}
	return (shortest + time.Duration(d.rng.Int64N(int64(longest-shortest)))).Round(step)
}

// tenths draws a fraction between two limits. The limits are in tenths.
func (d *drawer) tenths(lowest, highest int) float64 {
	return float64(lowest+d.rng.IntN(highest-lowest+1)) / 10
}

func (d *drawer) fault(k Kind, length time.Duration) Fault {
	f := Fault{Kind: k, At: d.between(length/20, length/2)}
	f.Length = d.between(2*step, min(length*4/5-f.At, 6*time.Second))
	m := Of(k)
	for _, field := range append(slices.Clone(m.required), m.optional...) {
		d.field(&f, field)
	}
	d.targets(&f, m)
	return f
}

// field draws the value of a field by its name. It ignores a field that it does not know.
func (d *drawer) field(f *Fault, field string) {
	switch field {
	case "share":
		f.Share = d.tenths(1, 6)
	case "delay":
		f.Delay = d.between(step/10, 5*step).Round(step / 10)
	case "jitter":
		f.Jitter = time.Duration(d.rng.IntN(20)) * step / 10
	case "size":
		f.Size = float64(2 + d.rng.IntN(6))
	case "zone":
		if d.rng.IntN(2) == 0 && len(d.topology.Routers) > 0 {
			f.Zone = d.topology.Routers[d.rng.IntN(len(d.topology.Routers))]
		}
	case "disk":
		f.Disk = []Disk{DiskUnchanged, DiskUnchanged, DiskEmpty, DiskOther, DiskTruncated}[d.rng.IntN(5)]
		if f.Disk == DiskTruncated {
			f.RemainingFraction = d.tenths(0, 9)
		}
	case "groups":
		d.groups(f)
	case "bridge":
		if d.rng.IntN(3) == 0 && len(d.topology.Routers) > 2 {
			f.Bridge = []int{d.rng.IntN(len(d.topology.Routers))}
		}
	}
}

// groups draws the groups of a partition: the zones, or two groups of routers.
func (d *drawer) groups(f *Fault) {
	f.Zones = d.rng.IntN(2) == 0 && countZones(d.topology.Routers) > 1
	if f.Zones {
		return
	}
	order := d.rng.Perm(len(d.topology.Routers))
	at := 1 + d.rng.IntN(max(len(order)-1, 1))
	f.Groups = [][]int{order[:at], order[at:]}
	slices.Sort(f.Groups[0])
	slices.Sort(f.Groups[1])
}

// selection draws a selection of routers or hosts: a fraction of them, a zone or a single one. of has
// the zone of each router or host.
func (d *drawer) selection(of []string) (s Selection) {
	switch d.rng.IntN(4) {
	case 0:
		s.Fraction = d.tenths(2, 7)
	case 1:
		if len(of) > 0 && of[0] != "" {
			s.Zone = of[d.rng.IntN(len(of))]
			return s
		}
		fallthrough
	default:
		if len(of) > 0 {
			s.Numbers = []int{d.rng.IntN(len(of))}
		}
	}
	return s
}

// targets draws the routers, hosts and links that a fault affects.
func (d *drawer) targets(f *Fault, m *KindInfo) {
	switch {
	case f.Kind == Power || f.Kind == Partition || m.targets == 0:
	case m.OfLinks():
		f.Routers = d.selection(d.topology.Routers)
		f.Links = [][]string{nil, {LinkHosts}, {LinkPeers, LinkHosts}, {LinkList}, {LinkPeers, LinkHosts, LinkList}}[d.rng.IntN(5)]
		if f.Kind == Blackhole {
			f.Direction = []Direction{Both, Both, Out, In}[d.rng.IntN(4)]
		}
	case m.targets == routers|hosts && d.rng.IntN(2) == 0, m.targets == hosts:
		f.Hosts, f.Disk, f.RemainingFraction = d.selection(d.topology.Hosts), "", 0
	default:
		f.Routers = d.selection(d.topology.Routers)
	}
}

// countZones returns the number of distinct zones in of.
func countZones(of []string) int {
	all := slices.Clone(of)
	slices.Sort(all)
	return len(slices.Compact(all))
}
