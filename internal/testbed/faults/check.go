package faults

import (
	"fmt"
	"slices"
	"time"
)

// invalid returns an error that names the place of the fault, the field and how to mend it.
func (f *Fault) invalid(field, format string, v ...any) error {
	where := f.Source
	if where == "" {
		where = "fault " + string(f.Kind)
	}
	return fmt.Errorf("%s: %s %s", where, field, fmt.Sprintf(format, v...))
}

// Check returns the first fault of a schedule for a topology, in a world, for a run of a length.
// The error is one line that names place and field.
func Check(all []Fault, topology *Topology, world World, length time.Duration) error {
	if len(all) > MaxFaults {
		return all[MaxFaults].invalid("fault", "is one more than the %d that a schedule may have", MaxFaults)
	}
	for i := range all {
		if err := all[i].check(topology, world, length); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fault) check(topology *Topology, world World, length time.Duration) error {
	m := Of(f.Kind)
	switch {
	case m == nil:
		return f.invalid("fault", "%q is unknown", f.Kind)
	case !m.In(world):
		return f.invalid("fault", "%q does not exist %s", f.Kind, world.where())
	}
	if err := f.checkFigures(m, length); err != nil {
		return err
	}
	switch {
	case f.Kind == Power:
		return f.checkZone(topology)
	case f.Kind == Partition:
		return f.checkGroups(topology)
	}
	if err := f.checkTargets(m, topology); err != nil || m.targets == 0 {
		return err
	}
	return f.checkOptions()
}

// checkFigures checks the times and numbers of a fault in a run of a length.
func (f *Fault) checkFigures(m *KindInfo, length time.Duration) error {
	switch {
	case f.When == nil && (f.At < 0 || f.At >= length):
		return f.invalid("at", "is %v; the play is over after %v", f.At, length)
	case f.When == nil && f.At+f.Length > length:
		return f.invalid("length", "is %v from %v on; the play is over after %v", f.Length, f.At, length)
	case f.Length < 0:
		return f.invalid("length", "is %v; it must not be negative", f.Length)
	case f.Share < 0 || f.Share > 1:
		return f.invalid("share", "is %v; it must be from 0 to 1", f.Share)
	case f.RemainingFraction < 0 || f.RemainingFraction > 1:
		return f.invalid("keep", "is %v; it must be from 0 to 1", f.RemainingFraction)
	case slices.Contains(m.required, "share") && f.Share == 0:
		return f.invalid("share", "must be more than 0")
	case slices.Contains(m.required, "delay") && f.Delay <= 0:
		return f.invalid("delay", "must be more than 0")
	case f.Kind == Slow && f.Size <= 0:
		return f.invalid("size", "must be more than 0")
	}
	return nil
}

// checkZone checks the zone of Power.
func (f *Fault) checkZone(topology *Topology) error {
	if f.Zone != "" && !slices.Contains(topology.Routers, f.Zone) && !slices.Contains(topology.Hosts, f.Zone) {
		return f.invalid("zone", "%q has neither router nor host", f.Zone)
	}
	return nil
}

// checkTargets checks whom a fault affects.
func (f *Fault) checkTargets(m *KindInfo, topology *Topology) error {
	for _, x := range []struct {
		field string
		sel   *Selection
		of    []string
		takes bool
	}{{"routers", &f.Routers, topology.Routers, m.targets&(routers|links) != 0}, {"peers", &f.Peers, topology.Routers, m.targets&links != 0},
		{"hosts", &f.Hosts, topology.Hosts, m.targets&(hosts|links) != 0}} {
		if x.sel.IsEmpty() {
			continue
		}
		if !x.takes {
			return f.invalid(x.field, "is nothing that %q strikes", f.Kind)
		}
		if why := x.sel.check(x.of); why != "" {
			return f.invalid(x.field, "%s", why)
		}
	}
	if m.targets == 0 { // the list itself
		return nil
	}
	if f.Routers.IsEmpty() && (m.targets&hosts == 0 || f.Hosts.IsEmpty()) {
		field := "routers"
		if m.targets == hosts {
			field = "hosts"
		}
		return f.invalid(field, "names no one: a fault needs whom it strikes")
	}
	return nil
}

// checkOptions checks the links, the direction and the disk.
func (f *Fault) checkOptions() error {
	for _, l := range f.Links {
		if l != LinkPeers && l != LinkHosts && l != LinkList {
			return f.invalid("links", "has %q; it must be %s, %s or %s", l, LinkPeers, LinkHosts, LinkList)
		}
	}
	if d := f.Direction; d != "" && d != Both && d != Out && d != In {
		return f.invalid("direction", "is %q; it must be %s, %s or %s", d, Both, Out, In)
	}
	if f.Disk != "" && !slices.Contains(Disks, f.Disk) {
		return f.invalid("disk", "is %q; it must be one of %q", f.Disk, Disks)
	}
	return nil
}

// checkGroups checks the groups and the bridge of Partition.
func (f *Fault) checkGroups(topology *Topology) error {
	if f.Zones == (len(f.Groups) > 0) {
		return f.invalid("groups", "must be \"zones\" or lists of routers by number")
	}
	in := map[int]bool{}
	for _, group := range append(slices.Clone(f.Groups), f.Bridge) {
		for _, n := range group {
			if n < 0 || n >= len(topology.Routers) {
				return f.invalid("groups", "has router %d; there are %d, from 0", n, len(topology.Routers))
			}
		}
	}
	for _, group := range f.Groups {
		for _, n := range group {
			if in[n] {
				return f.invalid("groups", "has router %d twice", n)
			}
			in[n] = true
		}
	}
	if !f.Zones && len(f.Groups) < 2 {
		return f.invalid("groups", "needs two at least")
	}
	return nil
}

// check returns what is wrong with a selection among those with the zones of, or "".
func (s *Selection) check(of []string) string {
	for _, n := range s.Numbers {
		if n < 0 || n >= len(of) {
			return fmt.Sprintf("has %d; there are %d, from 0", n, len(of))
		}
	}
	switch {
	case len(of) == 0:
		return "names no one: there are none"
	case s.Zone != "" && !slices.Contains(of, s.Zone):
		return fmt.Sprintf("is %q; nobody stands there", s.Zone)
	case s.Fraction < 0 || s.Fraction > 1:
		return fmt.Sprintf("is %v; a share must be from 0 to 1", s.Fraction)
	}
	return ""
}

// where says where the faults of a world are, for an error text.
func (w World) where() string {
	switch w {
	case RealProcesses:
		return "on the rig"
	case FakeHosts:
		return "on hosts alone, only on the rig"
	case Simulation:
		return "in virtual time, only on sockets"
	}
	if w == MembershipSimulation {
		return "in the virtual time of views"
	}
	return "in the explorer"
}
