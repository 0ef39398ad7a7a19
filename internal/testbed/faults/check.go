package faults

import (
	"fmt"
	"slices"
	"time"
)

// invalid returns an error that names the source of the fault, the field and the allowed values.
func (f *Fault) invalid(field, format string, v ...any) error {
	where := f.Source
	if where == "" {
		where = "fault " + string(f.Kind)
	}
	return fmt.Errorf("%s: %s %s", where, field, fmt.Sprintf(format, v...))
}

// Check checks a schedule for a topology, a world and a run of the given length. It returns the first
// error, as one line that names the source and the field, or nil if the schedule is valid.
func Check(all []Fault, topology *Topology, world World, length time.Duration) error {
	if len(all) > MaxFaults {
		return all[MaxFaults].invalid("fault", "exceeds the limit of %d faults per schedule", MaxFaults)
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

// checkFigures checks the times and numbers of a fault in a run of the given length.
func (f *Fault) checkFigures(m *KindInfo, length time.Duration) error {
	switch {
	case f.When == nil && (f.At < 0 || f.At >= length):
		return f.invalid("at", "is %v; the run ends after %v", f.At, length)
	case f.When == nil && f.At+f.Length > length:
		return f.invalid("length", "is %v from %v on; the run ends after %v", f.Length, f.At, length)
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

// checkZone checks the zone of the fault Power.
func (f *Fault) checkZone(topology *Topology) error {
	if f.Zone != "" && !slices.Contains(topology.Routers, f.Zone) && !slices.Contains(topology.Hosts, f.Zone) {
		return f.invalid("zone", "%q has neither a router nor a host", f.Zone)
	}
	return nil
}

// checkTargets checks the routers, peers and hosts that a fault selects.
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
			return f.invalid(x.field, "is not a target of %q", f.Kind)
		}
		if why := x.sel.check(x.of); why != "" {
			return f.invalid(x.field, "%s", why)
		}
	}
	if m.targets == 0 { // the fault affects the list itself
		return nil
	}
	if f.Routers.IsEmpty() && (m.targets&hosts == 0 || f.Hosts.IsEmpty()) {
		field := "routers"
		if m.targets == hosts {
			field = "hosts"
		}
		return f.invalid(field, "selects nothing; the fault needs a target")
	}
	return nil
}

// checkOptions checks the links, the direction and the disk of a fault.
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

// checkGroups checks the groups and the bridge of the fault Partition.
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
		return f.invalid("groups", "must have at least two groups")
	}
	return nil
}

// check returns what is wrong with a selection, or "" if it is valid. of has the zone of each router
// or host that may be selected.
func (s *Selection) check(of []string) string {
	for _, n := range s.Numbers {
		if n < 0 || n >= len(of) {
			return fmt.Sprintf("has %d; there are %d, from 0", n, len(of))
		}
	}
	switch {
	case len(of) == 0:
		return "selects from an empty set; the fleet has none"
	case s.Zone != "" && !slices.Contains(of, s.Zone):
		return fmt.Sprintf("is %q; the zone is empty", s.Zone)
	case s.Fraction < 0 || s.Fraction > 1:
		return fmt.Sprintf("is %v; a share must be from 0 to 1", s.Fraction)
	}
	return ""
}

// where describes a world in an error text about a fault that does not exist there.
func (w World) where() string {
	switch w {
	case RealProcesses:
		return "on the rig"
	case FakeHosts:
		return "on fake hosts alone, only on the rig"
	case Simulation:
		return "in virtual time, only on sockets"
	}
	if w == MembershipSimulation {
		return "in the virtual time of the membership simulation"
	}
	return "in the explorer"
}
