package simulator

import (
	"fmt"
	"slices"
)

// Check returns an error that names the first invalid field of a Spec, or nil.
func (s *Spec) Check() error {
	switch {
	case s.Length <= 0:
		return fmt.Errorf("spec: Length is %v; it must be more than 0", s.Length)
	case s.Tick <= 0:
		return fmt.Errorf("spec: Tick is %v; it must be more than 0", s.Tick)
	case s.Routers < 1:
		return fmt.Errorf("spec: Routers is %d; it must be 1 or more", s.Routers)
	case len(s.Classes) == 0:
		return fmt.Errorf("spec: Classes is empty; at least one class is needed")
	}
	if p := s.Peers; p.Lost < 0 || p.Lost > 1 || p.Least < 0 || p.Most < p.Least {
		return fmt.Errorf("spec: Peers has Lost %v, Least %v and Most %v; Lost must be from 0 to 1, and Most not below Least", p.Lost, p.Least, p.Most)
	}
	if v := s.View; v.Late < 0 || v.Wrong < 0 || v.Wrong > 1 {
		return fmt.Errorf("spec: View has Late %v and Wrong %v; Late must not be negative, and Wrong from 0 to 1", v.Late, v.Wrong)
	}
	if u := s.Front.Uneven; u < 0 || u > maxUneven {
		return fmt.Errorf("spec: Front.Uneven is %v; it must be from 0 to %v", u, maxUneven)
	}
	for _, check := range []func() error{s.checkGroups, s.checkClasses, s.checkCaptured, s.checkDisruptions, s.checkFaults} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Spec) checkGroups() error {
	for i, g := range s.Groups {
		switch {
		case g.Count < 0:
			return fmt.Errorf("spec: Groups[%d].Count is %d; it must not be negative", i, g.Count)
		case g.Host.Slots < 1 || g.Host.Memory < 1 || g.Host.Chunk < 1 || g.Host.Base <= 0:
			return fmt.Errorf("spec: Groups[%d].Host needs Slots, Memory, Chunk and Base of more than 0", i)
		}
	}
	return nil
}

func (s *Spec) checkClasses() error {
	for i, c := range s.Classes {
		switch {
		case c.Rate < 0 || c.Turns < 1 || c.MaxOut < 1 || c.MaxContext < 1:
			return fmt.Errorf("spec: Classes[%d] needs a Rate of 0 or more, and Turns, MaxOut and MaxContext of 1 or more", i)
		case c.Patience < 0 || c.Patience > 1:
			return fmt.Errorf("spec: Classes[%d].Patience is %v; it must be from 0 to 1", i, c.Patience)
		case c.Class.Deadline <= 0:
			return fmt.Errorf("spec: Classes[%d].Class.Deadline is %v; it must be more than 0", i, c.Class.Deadline)
		}
	}
	return nil
}

func (s *Spec) checkCaptured() error {
	for i, p := range s.Captured {
		switch {
		case p.Class < 0 || p.Class >= len(s.Classes):
			return fmt.Errorf("spec: Captured[%d].Class is %d; there are %d classes", i, p.Class, len(s.Classes))
		case p.Prompt < 1 || p.Out < 1 || i > 0 && p.At < s.Captured[i-1].At:
			return fmt.Errorf("spec: Captured[%d] needs a Prompt and an Out of 1 or more, and its At must not be before that of the previous one", i)
		}
	}
	return nil
}

func (s *Spec) checkDisruptions() error {
	for i := range s.Disruptions {
		if err := s.checkDisruption(i, &s.Disruptions[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Spec) checkDisruption(i int, t *Disruption) error {
	field := func(name string) string { return fmt.Sprintf("spec: Troubles[%d] (%s).%s", i, t.Kind, name) }
	switch {
	case t.At < 0 || t.Length < 0:
		return fmt.Errorf("%s and Length must not be negative", field("At"))
	case t.Fraction < 0 || t.Fraction > 1:
		return fmt.Errorf("%s is %v; it must be from 0 to 1", field("Part"), t.Fraction)
	}
	switch t.Kind {
	case SlowHosts, Burst, HeavyTail:
		if t.Size <= 0 {
			return fmt.Errorf("%s is %v; it must be more than 0", field("Size"), t.Size)
		}
	case LostZone:
		if !s.hasZone(t.Zone) {
			return fmt.Errorf("%s is %q; no host is in that zone", field("Zone"), t.Zone)
		}
	case RouterCrash, HostsDie, Replace, ListLost:
	case Release:
		if t.Fraction <= 0 || t.Length <= 0 {
			return fmt.Errorf("%s and Length must be more than 0", field("Part"))
		}
	default:
		return fmt.Errorf("%s is unknown", field("Kind"))
	}
	return nil
}

// hasZone reports whether a group of hosts is in a zone.
func (s *Spec) hasZone(zone string) bool {
	return slices.ContainsFunc(s.Groups, func(g Group) bool { return g.Zone == zone })
}
