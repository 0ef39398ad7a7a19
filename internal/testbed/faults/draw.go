package faults

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds is within what a schedule is drawn.
type Bounds struct {
	Length time.Duration // all is over by four fifths of it, so that the fleet can settle
	Faults int           // at most; 0 counts as 6
	Kinds  []Kind        // drawn from; none for all that the world has
	World  World
}

// Draw draws a schedule. It passes Check for the shape.
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
	most := b.Faults
	if most == 0 {
		most = 6
	}
	var all []Fault
	for n := 1 + rng.IntN(most); len(all) < n; {
		f := drawOne(kinds[rng.IntN(len(kinds))], topology, rng, b.Length)
		if f.check(topology, b.World, b.Length) == nil {
			all = append(all, f)
		}
	}
	slices.SortStableFunc(all, func(x, y Fault) int { return int(x.At - y.At) })
	return all
}

// steps is what drawn times are whole numbers of: a schedule is to be read.
const step = 100 * time.Millisecond

func drawOne(k Kind, topology *Topology, rng *rand.Rand, length time.Duration) Fault {
	between := func(least, most time.Duration) time.Duration {
		if most <= least {
			return least
		}
		return (least + time.Duration(rng.Int64N(int64(most-least)))).Round(step)
	}
	f := Fault{Kind: k, At: between(length/20, length/2)}
	f.Length = between(2*step, min(length*4/5-f.At, 6*time.Second))
	tenths := func(least, most int) float64 { return float64(least+rng.IntN(most-least+1)) / 10 }
	m := Of(k)
	for _, field := range append(slices.Clone(m.needs), m.takes...) {
		switch field {
		case "share":
			f.Share = tenths(1, 6)
		case "delay":
			f.Delay = between(step/10, 5*step).Round(step / 10)
		case "jitter":
			f.Jitter = time.Duration(rng.IntN(20)) * step / 10
		case "size":
			f.Size = float64(2 + rng.IntN(6))
		case "zone":
			if rng.IntN(2) == 0 && len(topology.Routers) > 0 {
				f.Zone = topology.Routers[rng.IntN(len(topology.Routers))]
			}
		case "disk":
			if f.Disk = []Disk{DiskUnchanged, DiskUnchanged, DiskEmpty, DiskOther, DiskTruncated}[rng.IntN(5)]; f.Disk == DiskTruncated {
				f.Keep = tenths(0, 9)
			}
		case "groups":
			if f.Zones = rng.IntN(2) == 0 && zones(topology.Routers) > 1; !f.Zones {
				order := rng.Perm(len(topology.Routers))
				at := 1 + rng.IntN(max(len(order)-1, 1))
				f.Groups = [][]int{order[:at], order[at:]}
				slices.Sort(f.Groups[0])
				slices.Sort(f.Groups[1])
			}
		case "bridge":
			if rng.IntN(3) == 0 && len(topology.Routers) > 2 {
				f.Bridge = []int{rng.IntN(len(topology.Routers))}
			}
		}
	}
	some := func(of []string) (s Select) {
		switch rng.IntN(4) {
		case 0:
			s.Fraction = tenths(2, 7)
		case 1:
			if len(of) > 0 && of[0] != "" {
				s.Zone = of[rng.IntN(len(of))]
				return s
			}
			fallthrough
		default:
			if len(of) > 0 {
				s.Numbers = []int{rng.IntN(len(of))}
			}
		}
		return s
	}
	switch {
	case k == Power || k == Partition || m.targets == 0:
	case m.OfLinks():
		f.Routers = some(topology.Routers)
		f.Links = [][]string{nil, {LinkHosts}, {LinkPeers, LinkHosts}, {LinkList}, {LinkPeers, LinkHosts, LinkList}}[rng.IntN(5)]
		if k == Blackhole {
			f.Direction = []Direction{Both, Both, Out, In}[rng.IntN(4)]
		}
	case m.targets == routers|hosts && rng.IntN(2) == 0, m.targets == hosts:
		f.Hosts, f.Disk, f.Keep = some(topology.Hosts), "", 0
	default:
		f.Routers = some(topology.Routers)
	}
	return f
}

func zones(of []string) int {
	all := slices.Clone(of)
	slices.Sort(all)
	return len(slices.Compact(all))
}
