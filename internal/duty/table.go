package duty

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Table is the grants that voters agree on. It must be made with the same duties at each.
type Table struct {
	duties map[string]*slots
	token  uint64 // the largest so far
}

// slots is one duty.
type slots struct {
	Duty
	grants []Grant
	line   []Router
	kept   []kept // handed over, and not taken up yet
}

// kept is a slot that waits for a router that was named.
type kept struct {
	to    string
	token uint64 // of the grant that was given back
}

// NewTable returns a table of duties. Tokens begin above floor.
func NewTable(duties []Duty, floor uint64) (*Table, error) {
	if len(duties) > MostDuties {
		return nil, fmt.Errorf("there are %d duties; there may be %d", len(duties), MostDuties)
	}
	t := &Table{duties: map[string]*slots{}, token: floor}
	for _, d := range duties {
		d.Holders = max(d.Holders, 1)
		switch {
		case d.Name == "" || len(d.Name) > MostName:
			return nil, fmt.Errorf("duty %q: a name has 1 to %d bytes", d.Name, MostName)
		case t.duties[d.Name] != nil:
			return nil, fmt.Errorf("duty %q is there twice", d.Name)
		case d.Holders > MostHolders:
			return nil, fmt.Errorf("duty %q: %d holders; there may be %d", d.Name, d.Holders, MostHolders)
		}
		t.duties[d.Name] = &slots{Duty: d}
	}
	return t, nil
}

// Apply applies a command at its place in the sequence; place must grow. A command that says what is no more so, as it came twice
// or late, changes nothing.
func (t *Table) Apply(place uint64, c Command) (Answer, []Change) {
	s := t.duties[c.Duty]
	if s == nil {
		return Answer{Why: "there is no such duty"}, nil
	}
	switch c.Kind {
	case Acquire:
		return t.acquire(s, place, c.Who)
	case Renew:
		if i := s.find(c.Token, c.Who); i >= 0 {
			s.grants[i].Renewals++
			return Answer{OK: true, Grant: s.grants[i]}, nil
		}
		return Answer{Why: "the grant is no more"}, nil
	case Yield, HandOver:
		i := s.find(c.Token, c.Who)
		if i < 0 {
			return Answer{Why: "the grant is no more"}, nil
		}
		why := Yielded
		if c.Kind == HandOver && c.To != "" && c.To != c.Who.Name {
			why = HandedOver
			s.kept = append(s.kept, kept{c.To, c.Token})
		}
		return t.free(s, place, i, why)
	case Expire:
		i := slices.IndexFunc(s.grants, func(g Grant) bool { return g.Token == c.Token })
		if i < 0 || s.grants[i].Renewals > c.Renewals {
			return Answer{Why: "it was renewed, or is no more"}, nil
		}
		return t.free(s, place, i, Expired)
	case Forget:
		s.line = slices.DeleteFunc(s.line, func(r Router) bool { return r == c.Who })
		s.kept = slices.DeleteFunc(s.kept, func(k kept) bool { return c.To != "" && k.to == c.To })
		return Answer{OK: true}, t.fill(s, place)
	}
	return Answer{Why: "there is no such command"}, nil
}

func (s *slots) find(token uint64, who Router) int {
	return slices.IndexFunc(s.grants, func(g Grant) bool { return g.Token == token && g.Holder == who })
}

func (t *Table) acquire(s *slots, place uint64, who Router) (Answer, []Change) {
	if who.Name == "" || len(who.Name) > MostName {
		return Answer{Why: "the router has no name, or too long a one"}, nil
	}
	for i, g := range s.grants {
		if g.Holder == who { // it asks again, as it has not heard
			return Answer{OK: true, Grant: g}, nil
		}
		if g.Holder.Name == who.Name { // its last life held it; nothing of that goes on
			lost := Change{g, false, Again}
			s.grants = slices.Delete(s.grants, i, i+1)
			g := t.grant(s, place, who)
			return Answer{OK: true, Grant: g}, []Change{lost, {g, true, Again}}
		}
	}
	s.line = slices.DeleteFunc(s.line, func(r Router) bool { return r.Name == who.Name && r != who })
	if !slices.Contains(s.line, who) {
		if len(s.line) >= MostWaiting {
			return Answer{Why: "too many wait"}, nil
		}
		s.line = append(s.line, who)
	}
	changes := t.fill(s, place)
	for i := range changes {
		if c := &changes[i]; c.Granted && c.Grant.Holder == who {
			if c.Why == InTurn {
				c.Why = Asked
			}
			return Answer{OK: true, Grant: c.Grant}, changes
		}
	}
	return Answer{Why: "it is held; the router waits in line"}, changes
}

// grant gives a slot away.
func (t *Table) grant(s *slots, place uint64, who Router) Grant {
	t.token = max(t.token+1, place)
	g := Grant{Duty: s.Name, Holder: who, Token: t.token}
	s.grants = append(s.grants, g)
	return g
}

// free takes a grant back and gives the slot to who waits.
func (t *Table) free(s *slots, place uint64, i int, why Why) (Answer, []Change) {
	lost := Change{s.grants[i], false, why}
	s.grants = slices.Delete(s.grants, i, i+1)
	return Answer{OK: true}, append([]Change{lost}, t.fill(s, place)...)
}

// fill gives free slots to those in line: one that is kept only to whom it is kept for.
func (t *Table) fill(s *slots, place uint64) (changes []Change) {
	for at := 0; at < len(s.line) && len(s.grants) < s.Holders; {
		who := s.line[at]
		why := InTurn
		if k := slices.IndexFunc(s.kept, func(k kept) bool { return k.to == who.Name }); k >= 0 {
			s.kept = slices.Delete(s.kept, k, k+1)
			why = HandedOver
		} else if len(s.grants)+len(s.kept) >= s.Holders {
			at++
			continue
		}
		s.line = slices.Delete(s.line, at, at+1)
		changes = append(changes, Change{t.grant(s, place, who), true, why})
	}
	return changes
}

// Grants returns all grants, by duty and token.
func (t *Table) Grants() (all []Grant) {
	for _, name := range slices.Sorted(maps.Keys(t.duties)) {
		all = append(all, t.duties[name].grants...)
	}
	slices.SortStableFunc(all, func(a, b Grant) int { return cmp.Or(cmp.Compare(a.Duty, b.Duty), cmp.Compare(a.Token, b.Token)) })
	return all
}

// Token is the largest so far.
func (t *Table) Token() uint64 { return t.token }

// WriteState writes all of the table: two that write the same are the same.
func (t *Table) WriteState(w io.Writer) {
	fmt.Fprint(w, t.token)
	for _, name := range slices.Sorted(maps.Keys(t.duties)) {
		s := t.duties[name]
		fmt.Fprint(w, "|", name, s.grants, s.line, s.kept)
	}
}
