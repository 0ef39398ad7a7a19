package faults

import (
	"fmt"
	"slices"
	"time"
)

// Fault's own error: where it stands, which field, what is wrong.
func (f *Fault) wrong(field, format string, v ...any) error {
	where := f.Source
	if where == "" {
		where = "fault " + string(f.Kind)
	}
	return fmt.Errorf("%s: %s %s", where, field, fmt.Sprintf(format, v...))
}

// Check returns what is wrong with a schedule for a fleet of a shape, in a world, of a length. It
// is one line that names place and field.
func Check(all []Fault, topology *Topology, world World, length time.Duration) error {
	if len(all) > Most {
		return all[Most].wrong("fault", "is one more than the %d that a schedule may have", Most)
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
		return f.wrong("fault", "%q is unknown", f.Kind)
	case !m.In(world):
		return f.wrong("fault", "%q does not exist %s", f.Kind, world.list())
	case f.When == nil && (f.At < 0 || f.At >= length):
		return f.wrong("at", "is %v; the play is over after %v", f.At, length)
	case f.When == nil && f.At+f.Length > length:
		return f.wrong("length", "is %v from %v on; the play is over after %v", f.Length, f.At, length)
	case f.Length < 0:
		return f.wrong("length", "is %v; it must not be negative", f.Length)
	case f.Share < 0 || f.Share > 1:
		return f.wrong("share", "is %v; it must be from 0 to 1", f.Share)
	case f.Keep < 0 || f.Keep > 1:
		return f.wrong("keep", "is %v; it must be from 0 to 1", f.Keep)
	case slices.Contains(m.needs, "share") && f.Share == 0:
		return f.wrong("share", "must be more than 0")
	case slices.Contains(m.needs, "delay") && f.Delay <= 0:
		return f.wrong("delay", "must be more than 0")
	case f.Kind == Slow && f.Size <= 0:
		return f.wrong("size", "must be more than 0")
	}
	if f.Kind == Power {
		if f.Zone != "" && !slices.Contains(topology.Routers, f.Zone) && !slices.Contains(topology.Hosts, f.Zone) {
			return f.wrong("zone", "%q has neither router nor host", f.Zone)
		}
		return nil
	}
	if f.Kind == Partition {
		return f.checkGroups(topology)
	}
	for _, x := range []struct {
		field string
		sel   *Select
		of    []string
		takes bool
	}{{"routers", &f.Routers, topology.Routers, m.targets&(routers|links) != 0}, {"peers", &f.Peers, topology.Routers, m.targets&links != 0},
		{"hosts", &f.Hosts, topology.Hosts, m.targets&(hosts|links) != 0}} {
		if x.sel.Nobody() {
			continue
		}
		if !x.takes {
			return f.wrong(x.field, "is nothing that %q strikes", f.Kind)
		}
		if why := x.sel.check(x.of); why != "" {
			return f.wrong(x.field, "%s", why)
		}
	}
	if m.targets == 0 { // the list itself
		return nil
	}
	if f.Routers.Nobody() && (m.targets&hosts == 0 || f.Hosts.Nobody()) {
		field := "routers"
		if m.targets == hosts {
			field = "hosts"
		}
		return f.wrong(field, "names no one: a fault needs whom it strikes")
	}
	for _, l := range f.Links {
		if l != LinkPeers && l != LinkHosts && l != LinkList {
			return f.wrong("links", "has %q; it must be %s, %s or %s", l, LinkPeers, LinkHosts, LinkList)
		}
	}
	if d := f.Direction; d != "" && d != Both && d != Out && d != In {
		return f.wrong("direction", "is %q; it must be %s, %s or %s", d, Both, Out, In)
	}
	if f.Disk != "" && !slices.Contains(Disks, f.Disk) {
		return f.wrong("disk", "is %q; it must be one of %q", f.Disk, Disks)
	}
	return nil
}

func (f *Fault) checkGroups(topology *Topology) error {
	if f.Zones == (len(f.Groups) > 0) {
		return f.wrong("groups", "must be \"zones\" or lists of routers by number")
	}
	in := map[int]bool{}
	for _, group := range append(slices.Clone(f.Groups), f.Bridge) {
		for _, n := range group {
			if n < 0 || n >= len(topology.Routers) {
				return f.wrong("groups", "has router %d; there are %d, from 0", n, len(topology.Routers))
			}
		}
	}
	for _, group := range f.Groups {
		for _, n := range group {
			if in[n] {
				return f.wrong("groups", "has router %d twice", n)
			}
			in[n] = true
		}
	}
	if !f.Zones && len(f.Groups) < 2 {
		return f.wrong("groups", "needs two at least")
	}
	return nil
}

func (s *Select) check(of []string) string {
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

func (w World) list() string {
	switch w {
	case Rig:
		return "on the rig"
	case Hosts:
		return "on hosts alone, only on the rig"
	case Lab:
		return "in virtual time, only on sockets"
	}
	if w == View {
		return "in the virtual time of views"
	}
	return "in the explorer"
}
