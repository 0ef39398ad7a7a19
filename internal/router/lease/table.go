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
	roles map[string]*roleSlots
	token uint64 // the largest so far
}

// State is all of a Table, as it is kept and sent.
type State struct {
	Token uint64
	Roles []RoleState `json:"Duties"`
}

// SlotsState is one duty of it.
type RoleState struct {
	Role         Role          `json:"Duty"`
	Grants       []Grant       `json:",omitempty"`
	Queue        []Router      `json:"Line,omitempty"`
	Reservations []Reservation `json:"Kept,omitempty"`
}

// slots is one duty.
type roleSlots struct {
	Role
	grants       []Grant
	queue        []Router
	reservations []Reservation // handed over, and not taken up yet
}

// Kept is a slot that waits for a router that was named.
type Reservation struct {
	For   string `json:"To"`
	Token uint64 // of the grant that was given back
}

// NewTable returns a table of duties. Tokens begin above floor.
func NewTable(duties []Role, floor uint64) (*Table, error) {
	if len(duties) > MaxRoles {
		return nil, fmt.Errorf("there are %d duties; there may be %d", len(duties), MaxRoles)
	}
	t := &Table{roles: map[string]*roleSlots{}, token: floor}
	for _, d := range duties {
		if t.roles[d.Name] != nil {
			return nil, fmt.Errorf("duty %q is there twice", d.Name)
		}
		if err := t.define(d); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// Check tells what is wrong with a duty.
func (d *Role) Validate() error {
	switch {
	case d.Name == "" || len(d.Name) > MaxNameBytes || strings.ContainsAny(d.Name, "@ \t\n"):
		return fmt.Errorf("duty %q: a name has 1 to %d bytes, and neither spaces nor @", d.Name, MaxNameBytes)
	case d.MaxHolders < 0 || d.MaxHolders > MaxHolders:
		return fmt.Errorf("duty %q: %d holders; there may be %d", d.Name, d.MaxHolders, MaxHolders)
	case len(d.PreferredZones) > MaxHolders:
		return fmt.Errorf("duty %q: %d zones; there may be %d", d.Name, len(d.PreferredZones), MaxHolders)
	}
	return nil
}

func (t *Table) define(d Role) error {
	if err := d.Validate(); err != nil {
		return err
	}
	d.MaxHolders = max(d.MaxHolders, 1)
	if s := t.roles[d.Name]; s != nil {
		s.Role = d
		for name, s := range t.roles { // its zones as well
			if before, _, ok := strings.Cut(name, "@"); ok && before == d.Name {
				s.MaxHolders, s.PreferredZones = d.MaxHolders, d.PreferredZones
			}
		}
		return nil
	}
	if len(t.roles) >= MaxRoles {
		return fmt.Errorf("duty %q: there are %d duties already", d.Name, MaxRoles)
	}
	t.roles[d.Name] = &roleSlots{Role: d}
	return nil
}

// of returns a duty's slots, those of a zone made as they are asked for first. It is nil for a duty that there is not.
func (t *Table) slotsOf(name string) *roleSlots {
	if s := t.roles[name]; s != nil && !s.ByZone {
		return s
	}
	before, zone, ok := strings.Cut(name, "@")
	if d := t.roles[before]; ok && d != nil && d.ByZone && len(t.roles) < MaxRoles && len(zone) <= MaxNameBytes {
		s := &roleSlots{Role: Role{Name: name, MaxHolders: d.MaxHolders, PreferredZones: d.PreferredZones}}
		t.roles[name] = s
		return s
	}
	return nil
}

// State returns all of the table.
func (t *Table) State() State {
	s := State{Token: t.token}
	for _, name := range slices.Sorted(maps.Keys(t.roles)) {
		d := t.roles[name]
		s.Roles = append(s.Roles, RoleState{d.Role, slices.Clone(d.grants), slices.Clone(d.queue), slices.Clone(d.reservations)})
	}
	return s
}

// Restored returns the table of a state.
func RestoreTable(s State) *Table {
	t := &Table{roles: map[string]*roleSlots{}, token: s.Token}
	for _, d := range s.Roles {
		t.roles[d.Role.Name] = &roleSlots{d.Role, slices.Clone(d.Grants), slices.Clone(d.Queue), slices.Clone(d.Reservations)}
	}
	return t
}

// Apply applies a command at its place in the sequence; place must grow. A command that says what is no more so, as it came twice
// or late, changes nothing.
func (t *Table) Apply(place uint64, c Command) (Result, []Change) {
	switch c.Kind {
	case DefineRole:
		if c.Definition == nil {
			return Result{Refusal: "there is no duty with it"}, nil
		}
		if err := t.define(*c.Definition); err != nil {
			return Result{Refusal: err.Error()}, nil
		}
		return Result{OK: true}, nil
	case RaiseToken:
		t.token = max(t.token, c.Token)
		return Result{OK: true}, nil
	}
	s := t.slotsOf(c.Role)
	if s == nil {
		return Result{Refusal: "there is no such duty"}, nil
	}
	switch c.Kind {
	case Acquire:
		return t.acquire(s, place, c.Token, c.Router)
	case Renew:
		if i := s.findGrant(c.Token, c.Router); i >= 0 {
			s.grants[i].Renewals++
			s.grants[i].Unconfirmed = false
			return Result{OK: true, Grant: s.grants[i]}, nil
		}
		return Result{Refusal: "the grant is no more"}, nil
	case Release, Transfer:
		i := s.findGrant(c.Token, c.Router)
		if i < 0 {
			return Result{Refusal: "the grant is no more"}, nil
		}
		why := ReasonReleased
		if c.Kind == Transfer && c.To != "" && c.To != AnyRouter && c.To != c.Router.Name {
			why = ReasonTransferred
			s.reservations = append(s.reservations, Reservation{c.To, c.Token})
		}
		return t.release(s, place, i, why)
	case Expire:
		i := slices.IndexFunc(s.grants, func(g Grant) bool { return g.Token == c.Token })
		if i < 0 || s.grants[i].Renewals > c.Renewals {
			return Result{Refusal: "it was renewed, or is no more"}, nil
		}
		return t.release(s, place, i, ReasonExpired)
	case RequestTransfer:
		i := slices.IndexFunc(s.grants, func(g Grant) bool { return g.Token == c.Token || c.Token == 0 })
		if i < 0 {
			return Result{Refusal: "nobody holds it"}, nil
		}
		s.grants[i].TransferTo = c.To
		return Result{OK: true, Grant: s.grants[i]}, nil
	case Dequeue:
		s.queue = slices.DeleteFunc(s.queue, func(r Router) bool { return r == c.Router })
		s.reservations = slices.DeleteFunc(s.reservations, func(k Reservation) bool { return c.To != "" && k.For == c.To })
		return Result{OK: true}, t.fillFreeSlots(s, place)
	}
	return Result{Refusal: "there is no such command"}, nil
}

func (s *roleSlots) findGrant(token uint64, who Router) int {
	return slices.IndexFunc(s.grants, func(g Grant) bool { return g.Token == token && g.Holder == who })
}

func (t *Table) acquire(s *roleSlots, place, seen uint64, who Router) (Result, []Change) {
	if who.Name == "" || len(who.Name) > MaxNameBytes {
		return Result{Refusal: "the router has no name, or too long a one"}, nil
	}
	if seen > t.token && seen < maxSeenToken { // these voters do not know of it: they have lost what others remember
		t.token = NextTokenBlock(seen)
	}
	for i, g := range s.grants {
		if g.Holder == who { // it asks again, as it has not heard, and will count its lease from this request
			s.grants[i].Renewals++
			s.grants[i].Unconfirmed = false
			return Result{OK: true, Grant: s.grants[i]}, nil
		}
		if g.Holder.Name == who.Name { // its last life held it; nothing of that goes on
			lost := Change{g, false, ReasonRestarted}
			s.grants = slices.Delete(s.grants, i, i+1)
			g := t.grant(s, place, who, ReasonRestarted)
			return Result{OK: true, Grant: g}, []Change{lost, {g, true, ReasonRestarted}}
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(r Router) bool { return r.Name == who.Name && r != who })
	if !slices.Contains(s.queue, who) {
		if len(s.queue) >= MaxQueued {
			return Result{Refusal: "too many wait"}, nil
		}
		s.queue = append(s.queue, who)
	}
	changes := t.fillFreeSlots(s, place)
	for i := range changes {
		if c := &changes[i]; c.Granted && c.Grant.Holder == who {
			if c.Reason == ReasonQueued {
				c.Reason = ReasonAvailable
			}
			c.Grant.Reason, c.Grant.Unconfirmed = c.Reason, false // this is the answer to who asked
			s.grants[s.findGrant(c.Grant.Token, who)] = c.Grant
			return Result{OK: true, Grant: c.Grant}, changes
		}
	}
	return Result{Queued: true, Refusal: "it is held; the router waits in line"}, changes
}

// Blocks of tokens: a group of voters that follows another which has lost what it knew begins a new one, as nobody can tell how
// far the last one was used.
const (
	TokenBlockBits = 40
	maxSeenToken   = 1 << 62 // that a router may claim to have seen
)

// Above returns the beginning of the block of tokens behind the one that a token is of.
func NextTokenBlock(token uint64) uint64 { return (token>>TokenBlockBits + 1) << TokenBlockBits }

// grant gives a slot away.
func (t *Table) grant(s *roleSlots, place uint64, who Router, why Reason) Grant {
	t.token = max(t.token+1, place)
	g := Grant{Role: s.Name, Holder: who, Token: t.token, Reason: why, Unconfirmed: why != ReasonRestarted}
	s.grants = append(s.grants, g)
	return g
}

// free takes a grant back and gives the slot to who waits.
func (t *Table) release(s *roleSlots, place uint64, i int, why Reason) (Result, []Change) {
	lost := Change{s.grants[i], false, why}
	s.grants = slices.Delete(s.grants, i, i+1)
	return Result{OK: true}, append([]Change{lost}, t.fillFreeSlots(s, place)...)
}

// fill gives free slots to those in line: one that is kept only to whom it is kept for, others to the preferred zones first.
func (t *Table) fillFreeSlots(s *roleSlots, place uint64) (changes []Change) {
	for len(s.grants) < s.MaxHolders {
		at, why := -1, ReasonQueued
		for i, who := range s.queue {
			if slices.ContainsFunc(s.reservations, func(k Reservation) bool { return k.For == who.Name }) {
				at, why = i, ReasonTransferred
				break
			}
			if len(s.grants)+len(s.reservations) < s.MaxHolders && (at < 0 || s.zoneRank(who) < s.zoneRank(s.queue[at])) {
				at = i
			}
		}
		if at < 0 {
			break
		}
		who := s.queue[at]
		if why == ReasonTransferred {
			k := slices.IndexFunc(s.reservations, func(k Reservation) bool { return k.For == who.Name })
			s.reservations = slices.Delete(s.reservations, k, k+1)
		}
		s.queue = slices.Delete(s.queue, at, at+1)
		changes = append(changes, Change{t.grant(s, place, who, why), true, why})
	}
	return changes
}

// rank orders who waits: by preferred zone; the line decides among equals.
func (s *roleSlots) zoneRank(who Router) int {
	if i := slices.Index(s.PreferredZones, who.Zone); i >= 0 {
		return i
	}
	return len(s.PreferredZones)
}

// Grants returns all grants, by duty and token.
func (t *Table) Grants() (all []Grant) {
	for _, name := range slices.Sorted(maps.Keys(t.roles)) {
		all = append(all, t.roles[name].grants...)
	}
	slices.SortStableFunc(all, func(a, b Grant) int { return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Token, b.Token)) })
	return all
}

// Each calls do for each duty with its grants, who waits and what is kept, by name. Nothing of it may be changed or kept.
func (t *Table) ForEach(do func(d *Role, grants []Grant, line []Router, kept []Reservation)) {
	for _, name := range slices.Sorted(maps.Keys(t.roles)) {
		s := t.roles[name]
		do(&s.Role, s.grants, s.queue, s.reservations)
	}
}

// Token is the largest so far.
func (t *Table) Token() uint64 { return t.token }

// WriteState writes all of the table: two that write the same are the same.
func (t *Table) WriteState(w io.Writer) {
	fmt.Fprint(w, t.token)
	for _, name := range slices.Sorted(maps.Keys(t.roles)) {
		s := t.roles[name]
		fmt.Fprint(w, "|", name, s.grants, s.queue, s.reservations)
	}
}
