package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/simulator"
)

// Rig configures how an experiment runs on real processes instead of in virtual time.
type Rig struct {
	MemoryMB, Sockets int // limits of a router process
	Cores             float64
	Held              bool // the platform holds the clients' listeners, and every process of a router inherits them
	View              bool // routers maintain a view of the fleet, and the checkers check the view
	Seeds             int  // with View: number of routers that a router asks for the fleet, because the configuration names no peers; 0 if it names peers
	Voters            int  // with View: number of routers that vote on duties; one more router may vote if there is one; 0 for no duties
	Drains            int  // with Voters: number of routers of a zone that may drain at the same time; 0 for no limit
	Lease             time.Duration
	Recovery          bool          // routers store snapshots in their durable folders
	HandOver          time.Duration // with Voters: interval at which the copier duty is requested for the next router; 0 for never
	Settings          string        // operators' settings file of every router, empty for none
	Slack             time.Duration
	Settle            time.Duration // time after the last fault within which the fleet must serve as before; 0 for no limit
	Retries           bool          // refused clients retry as the retries block configures

	// Fractions of the requests whose clients send them in pieces, stall, or disconnect early.
	Pieces, Silent, Leave float64
	Scrape                time.Duration // interval between requests for vars at each management address; 0 for never
}

// defaultRig holds the defaults for fields that the rig block of a file does not set.
var defaultRig = Rig{MemoryMB: 192, Sockets: 512, Cores: 1, Lease: 2 * time.Second, Slack: 500 * time.Millisecond, Settle: 4 * time.Second}

func (d *decoder) rig(r *Rig, b *hclsyntax.Block) {
	d.body(b.Body, "rig", fields{"memory_mb": integer(&r.MemoryMB, 32, 1<<20), "sockets": integer(&r.Sockets, 96, 1<<20), "cores": num(&r.Cores, 0.01, 64),
		"held": flag(&r.Held), "view": flag(&r.View), "seeds": integer(&r.Seeds, 0, 1024), "voters": integer(&r.Voters, 0, 7), "drains": integer(&r.Drains, 0, 64), "recovery": flag(&r.Recovery), "hand_over": span(&r.HandOver, 100*time.Millisecond), "lease": span(&r.Lease, 500*time.Millisecond), "settings": word(&r.Settings), "slack": span(&r.Slack, 0), "settle": span(&r.Settle, 0),
		"pieces": num(&r.Pieces, 0, 1), "silent": num(&r.Silent, 0, 1), "leave": num(&r.Leave, 0, 1), "retries": flag(&r.Retries), "scrape": span(&r.Scrape, 10*time.Millisecond)}, nil)
}

// faultOf decodes a fault block. The table of fault kinds determines which fields the block has.
func (d *decoder) faultOf(b *hclsyntax.Block) faults.Fault {
	f := faults.Fault{Kind: faults.Kind(d.label(b)), Source: fmt.Sprintf("%s:%d", b.TypeRange.Filename, b.TypeRange.Start.Line)}
	m := faults.Of(f.Kind)
	if m == nil {
		d.fault(b.TypeRange, "fault", "%q is unknown", f.Kind)
		return f
	}
	every := fields{
		"at": span(&f.At, 0), "length": span(&f.Length, 0), "share": num(&f.Share, 0, 1), "size": num(&f.Size, 0.01, 1000),
		"delay": span(&f.Delay, 0), "jitter": span(&f.Jitter, 0), "zone": word(&f.Zone), "file": word(&f.File), "keep": num(&f.RemainingFraction, 0, 1),
		"routers": selected(&f.Routers), "hosts": selected(&f.Hosts), "peers": selected(&f.Peers), "links": words(&f.Links),
		"direction": word((*string)(&f.Direction)), "disk": word((*string)(&f.Disk)), "bridge": numbers(&f.Bridge),
		"groups": func(v cty.Value) string {
			if f.Zones = v.Type() == cty.String && !v.IsNull() && v.AsString() == "zones"; f.Zones {
				return ""
			}
			return groups(&f.Groups)(v)
		},
	}
	has := fields{}
	for _, name := range m.Fields() {
		has[name] = every[name]
	}
	needed := append([]string{"length"}, m.Needed()...)
	if !slices.ContainsFunc(b.Body.Blocks, func(in *hclsyntax.Block) bool { return in.Type == "when" }) {
		needed = append(needed, "at")
	} else {
		delete(has, "at")
	}
	d.body(b.Body, "fault "+string(f.Kind), has, blocks{"when": func(in *hclsyntax.Block) {
		f.When = &faults.When{}
		d.body(in.Body, "when", fields{"what": word(&f.When.What), "who": word(&f.When.Who), "text": word(&f.When.Text),
			"nth": integer(&f.When.Nth, 1, 1<<20), "after": span(&f.At, 0)}, nil, "what")
	}}, needed...)
	return f
}

// selected decodes a selection: a list of numbers, a share, "all" or the name of a zone.
func selected(s *faults.Selection) func(cty.Value) string {
	return func(v cty.Value) string {
		if fraction, ok := number(v); ok {
			if !(fraction > 0 && fraction <= 1) {
				return "must be a share above 0 and up to 1, a list of numbers from 0, \"all\" or a zone"
			}
			s.Fraction = fraction
			return ""
		}
		if value, ok := text(v); ok && value != "" {
			if s.All = value == "all"; !s.All {
				s.Zone = value
			}
			return ""
		}
		return numbers(&s.Numbers)(v)
	}
}

func numbers(to *[]int) func(cty.Value) string {
	return func(v cty.Value) string {
		const wrong = "must be a list of whole numbers, from 0"
		if v.IsNull() || !v.IsKnown() || !v.CanIterateElements() || v.LengthInt() == 0 {
			return wrong
		}
		for _, e := range v.AsValueSlice() {
			n, ok := number(e)
			if !ok || n != float64(int(n)) || n < 0 || n > 100000 {
				return wrong
			}
			*to = append(*to, int(n))
		}
		return ""
	}
}

func groups(to *[][]int) func(cty.Value) string {
	return func(v cty.Value) string {
		const wrong = "must be \"zones\" or lists of routers by number"
		if v.IsNull() || !v.IsKnown() || !v.CanIterateElements() {
			return wrong
		}
		for _, e := range v.AsValueSlice() {
			var group []int
			if numbers(&group)(e) != "" {
				return wrong
			}
			*to = append(*to, group)
		}
		return ""
	}
}

func words(to *[]string) func(cty.Value) string {
	return func(v cty.Value) string {
		const wrong = "must be a list of words"
		if v.IsNull() || !v.IsKnown() || !v.CanIterateElements() {
			return wrong
		}
		for _, e := range v.AsValueSlice() {
			x, ok := text(e)
			if !ok {
				return wrong
			}
			*to = append(*to, x)
		}
		return ""
	}
}

// Topology returns the routers and hosts of the fleet by zone, in the form that fault schedules need.
func (x *Experiment) Topology() *faults.Topology { return x.Spec.Topology() }

// socketFaults maps each kind of disruption that exists only in virtual time to the kind of fault that
// does the same on sockets. Disruptions of the clients' load are not in it, because they work in
// both.
var socketFaults = map[simulator.DisruptionKind]string{simulator.SlowHosts: "slow", simulator.RouterCrash: "kill", simulator.HostsDie: "kill", simulator.Replace: "drain",
	simulator.Release: "drain", simulator.LostZone: "power", simulator.ListLost: "cut"}

// CheckFor checks whether the experiment's disruptions and faults are valid and exist in the given
// kind of world. The error is one line with file, line and field.
func (x *Experiment) CheckFor(world faults.World) error {
	if world != faults.Simulation {
		for i, t := range x.Spec.Disruptions {
			if same, ok := socketFaults[t.Kind]; ok {
				return fmt.Errorf("%s: trouble %q exists only in virtual time; on sockets, use fault %q", x.disruptionSources[i], t.Kind, same)
			}
		}
	}
	return faults.Check(x.Faults, x.Topology(), world, x.Spec.Length)
}
