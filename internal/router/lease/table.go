package lease

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Table is the grants that voters agree on. It must be made with the same duties at each.
type Table struct {
	duties map[string]*slots
	token  uint64 // the largest so far
}

// State is all of a Table, as it is kept and sent.
type State struct {
	Token  uint64
	Duties []SlotsState
}

// SlotsState is one duty of it.
type SlotsState struct {
	Duty   Duty
	Grants []Grant  `json:",omitempty"`
	Line   []Router `json:",omitempty"`
	Kept   []Kept   `json:",omitempty"`
}

// slots is one duty.
type slots struct {
	Duty
	grants []Grant
	line   []Router
	kept   []Kept // handed over, and not taken up yet
}

// Kept is a slot that waits for a router that was named.
type Kept struct {
	To    string
	Token uint64 // of the grant that was given back
}

// NewTable returns a table of duties. Tokens begin above floor.
func NewTable(duties []Duty, floor uint64) (*Table, error) {
	if len(duties) > MostDuties {
		return nil, fmt.Errorf("there are %d duties; there may be %d", len(duties), MostDuties)
	}
	t := &Table{duties: map[string]*slots{}, token: floor}
	for _, d := range duties {
		if t.duties[d.Name] != nil {
			return nil, fmt.Errorf("duty %q is there twice", d.Name)
		}
		if err := t.define(d); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// Check tells what is wrong with a duty.
func (d *Duty) Check() error {
	switch {
	case d.Name == "" || len(d.Name) > MostName || strings.ContainsAny(d.Name, "@ \t\n"):
		return fmt.Errorf("duty %q: a name has 1 to %d bytes, and neither spaces nor @", d.Name, MostName)
	case d.Holders < 0 || d.Holders > MostHolders:
		return fmt.Errorf("duty %q: %d holders; there may be %d", d.Name, d.Holders, MostHolders)
	case len(d.Zones) > MostHolders:
		return fmt.Errorf("duty %q: %d zones; there may be %d", d.Name, len(d.Zones), MostHolders)
	}
	return nil
}

func (t *Table) define(d Duty) error {
	if err := d.Check(); err != nil {
		return err
	}
	d.Holders = max(d.Holders, 1)
	if s := t.duties[d.Name]; s != nil {
		s.Duty = d
		for name, s := range t.duties { // its zones as well
			if before, _, ok := strings.Cut(name, "@"); ok && before == d.Name {
				s.Holders, s.Zones = d.Holders, d.Zones
			}
		}
		return nil
	}
	if len(t.duties) >= MostDuties {
		return fmt.Errorf("duty %q: there are %d duties already", d.Name, MostDuties)
	}
	t.duties[d.Name] = &slots{Duty: d}
	return nil
}

// of returns a duty's slots, those of a zone made as they are asked for first. It is nil for a duty that there is not.
func (t *Table) of(name string) *slots {
	if s := t.duties[name]; s != nil && !s.ByZone {
		return s
	}
	before, zone, ok := strings.Cut(name, "@")
	if d := t.duties[before]; ok && d != nil && d.ByZone && len(t.duties) < MostDuties && len(zone) <= MostName {
		s := &slots{Duty: Duty{Name: name, Holders: d.Holders, Zones: d.Zones}}
		t.duties[name] = s
		return s
	}
	return nil
}

// State returns all of the table.
func (t *Table) State() State {
	s := State{Token: t.token}
	for _, name := range slices.Sorted(maps.Keys(t.duties)) {
		d := t.duties[name]
		s.Duties = append(s.Duties, SlotsState{d.Duty, slices.Clone(d.grants), slices.Clone(d.line), slices.Clone(d.kept)})
	}
	return s
}

// Restored returns the table of a state.
func Restored(s State) *Table {
	t := &Table{duties: map[string]*slots{}, token: s.Token}
	for _, d := range s.Duties {
		t.duties[d.Duty.Name] = &slots{d.Duty, slices.Clone(d.Grants), slices.Clone(d.Line), slices.Clone(d.Kept)}
	}
	return t
}

// Apply applies a command at its place in the sequence; place must grow. A command that says what is no more so, as it came twice
// or late, changes nothing.
func (t *Table) Apply(place uint64, c Command) (Answer, []Change) {
	switch c.Kind {
	case Define:
		if c.With == nil {
			return Answer{Why: "there is no duty with it"}, nil
		}
		if err := t.define(*c.With); err != nil {
			return Answer{Why: err.Error()}, nil
		}
		return Answer{OK: true}, nil
	case Raise:
		t.token = max(t.token, c.Token)
		return Answer{OK: true}, nil
	}
	s := t.of(c.Duty)
	if s == nil {
		return Answer{Why: "there is no such duty"}, nil
	}
	switch c.Kind {
	case Acquire:
		return t.acquire(s, place, c.Token, c.Who)
	case Renew:
		if i := s.find(c.Token, c.Who); i >= 0 {
			s.grants[i].Renewals++
			s.grants[i].Pushed = false
			return Answer{OK: true, Grant: s.grants[i]}, nil
		}
		return Answer{Why: "the grant is no more"}, nil
	case Yield, HandOver:
		i := s.find(c.Token, c.Who)
		if i < 0 {
			return Answer{Why: "the grant is no more"}, nil
		}
		why := Yielded
		if c.Kind == HandOver && c.To != "" && c.To != Anybody && c.To != c.Who.Name {
			why = HandedOver
			s.kept = append(s.kept, Kept{c.To, c.Token})
		}
		return t.free(s, place, i, why)
	case Expire:
		i := slices.IndexFunc(s.grants, func(g Grant) bool { return g.Token == c.Token })
		if i < 0 || s.grants[i].Renewals > c.Renewals {
			return Answer{Why: "it was renewed, or is no more"}, nil
		}
		return t.free(s, place, i, Expired)
	case Wish:
		i := slices.IndexFunc(s.grants, func(g Grant) bool { return g.Token == c.Token || c.Token == 0 })
		if i < 0 {
			return Answer{Why: "nobody holds it"}, nil
		}
		s.grants[i].Wish = c.To
		return Answer{OK: true, Grant: s.grants[i]}, nil
	case Forget:
		s.line = slices.DeleteFunc(s.line, func(r Router) bool { return r == c.Who })
		s.kept = slices.DeleteFunc(s.kept, func(k Kept) bool { return c.To != "" && k.To == c.To })
		return Answer{OK: true}, t.fill(s, place)
	}
	return Answer{Why: "there is no such command"}, nil
}

func (s *slots) find(token uint64, who Router) int {
	return slices.IndexFunc(s.grants, func(g Grant) bool { return g.Token == token && g.Holder == who })
}

func (t *Table) acquire(s *slots, place, seen uint64, who Router) (Answer, []Change) {
	if who.Name == "" || len(who.Name) > MostName {
		return Answer{Why: "the router has no name, or too long a one"}, nil
	}
	if seen > t.token && seen < mostSeen { // these voters do not know of it: they have lost what others remember
		t.token = Above(seen)
	}
	for i, g := range s.grants {
		if g.Holder == who { // it asks again, as it has not heard, and will count its lease from this request
			s.grants[i].Renewals++
			s.grants[i].Pushed = false
			return Answer{OK: true, Grant: s.grants[i]}, nil
		}
		if g.Holder.Name == who.Name { // its last life held it; nothing of that goes on
			lost := Change{g, false, Again}
			s.grants = slices.Delete(s.grants, i, i+1)
			g := t.grant(s, place, who, Again)
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
			c.Grant.Why, c.Grant.Pushed = c.Why, false // this is the answer to who asked
			s.grants[s.find(c.Grant.Token, who)] = c.Grant
			return Answer{OK: true, Grant: c.Grant}, changes
		}
	}
	return Answer{Waits: true, Why: "it is held; the router waits in line"}, changes
}

// Blocks of tokens: a group of voters that follows another which has lost what it knew begins a new one, as nobody can tell how
// far the last one was used.
const (
	BlockBits = 40
	mostSeen  = 1 << 62 // that a router may claim to have seen
)

// Above returns the beginning of the block of tokens behind the one that a token is of.
func Above(token uint64) uint64 { return (token>>BlockBits + 1) << BlockBits }

// grant gives a slot away.
func (t *Table) grant(s *slots, place uint64, who Router, why Why) Grant {
	t.token = max(t.token+1, place)
	g := Grant{Duty: s.Name, Holder: who, Token: t.token, Why: why, Pushed: why != Again}
	s.grants = append(s.grants, g)
	return g
}

// free takes a grant back and gives the slot to who waits.
func (t *Table) free(s *slots, place uint64, i int, why Why) (Answer, []Change) {
	lost := Change{s.grants[i], false, why}
	s.grants = slices.Delete(s.grants, i, i+1)
	return Answer{OK: true}, append([]Change{lost}, t.fill(s, place)...)
}

// fill gives free slots to those in line: one that is kept only to whom it is kept for, others to the preferred zones first.
func (t *Table) fill(s *slots, place uint64) (changes []Change) {
	for len(s.grants) < s.Holders {
		at, why := -1, InTurn
		for i, who := range s.line {
			if slices.ContainsFunc(s.kept, func(k Kept) bool { return k.To == who.Name }) {
				at, why = i, HandedOver
				break
			}
			if len(s.grants)+len(s.kept) < s.Holders && (at < 0 || s.rank(who) < s.rank(s.line[at])) {
				at = i
			}
		}
		if at < 0 {
			break
		}
		who := s.line[at]
		if why == HandedOver {
			k := slices.IndexFunc(s.kept, func(k Kept) bool { return k.To == who.Name })
			s.kept = slices.Delete(s.kept, k, k+1)
		}
		s.line = slices.Delete(s.line, at, at+1)
		changes = append(changes, Change{t.grant(s, place, who, why), true, why})
	}
	return changes
}

// rank orders who waits: by preferred zone; the line decides among equals.
func (s *slots) rank(who Router) int {
	if i := slices.Index(s.Zones, who.Zone); i >= 0 {
		return i
	}
	return len(s.Zones)
}

// Grants returns all grants, by duty and token.
func (t *Table) Grants() (all []Grant) {
	for _, name := range slices.Sorted(maps.Keys(t.duties)) {
		all = append(all, t.duties[name].grants...)
	}
	slices.SortStableFunc(all, func(a, b Grant) int { return cmp.Or(cmp.Compare(a.Duty, b.Duty), cmp.Compare(a.Token, b.Token)) })
	return all
}

// Each calls do for each duty with its grants, who waits and what is kept, by name. Nothing of it may be changed or kept.
func (t *Table) Each(do func(d *Duty, grants []Grant, line []Router, kept []Kept)) {
	for _, name := range slices.Sorted(maps.Keys(t.duties)) {
		s := t.duties[name]
		do(&s.Duty, s.grants, s.line, s.kept)
	}
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
