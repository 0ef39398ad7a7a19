package lease

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Table holds the roles and grants that the voters agree on. Voters that apply the same commands in
// the same order to tables with the same roles have the same grants.
type Table struct {
	roles map[string]*roleSlots // by name, at most MaxRoles
	token uint64                // the largest token so far
}

// roleSlots is one role with its grants, its queue and its reservations.
type roleSlots struct {
	Role
	grants       []Grant
	queue        []Router
	reservations []Reservation
}

// Reservation reserves a slot that a holder has transferred to a named router until that router
// acquires it.
type Reservation struct {
	For   string `json:"To"` // the router's name
	Token uint64 // of the grant that the holder released
}

// State is the content of a Table. It is stored in snapshots and sent to other voters.
type State struct {
	Token uint64      // the largest token so far
	Roles []RoleState `json:"Duties"`
}

// RoleState is the content of one role in a State.
type RoleState struct {
	Role         Role          `json:"Duty"`
	Grants       []Grant       `json:",omitempty"`
	Queue        []Router      `json:"Line,omitempty"`
	Reservations []Reservation `json:"Kept,omitempty"`
}

// NewTable returns a table of roles without grants. All tokens that it grants are above floor.
func NewTable(roles []Role, floor uint64) (*Table, error) {
	if len(roles) > MaxRoles {
		return nil, fmt.Errorf("there are %d duties; there may be %d", len(roles), MaxRoles)
	}
	t := &Table{roles: map[string]*roleSlots{}, token: floor}
	for _, r := range roles {
		if t.roles[r.Name] != nil {
			return nil, fmt.Errorf("duty %q is there twice", r.Name)
		}
		if err := t.define(r); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// RestoreTable returns a table with the content of a state.
func RestoreTable(s State) *Table {
	t := &Table{roles: map[string]*roleSlots{}, token: s.Token}
	for _, r := range s.Roles {
		t.roles[r.Role.Name] = &roleSlots{r.Role, slices.Clone(r.Grants), slices.Clone(r.Queue), slices.Clone(r.Reservations)}
	}
	return t
}

// State returns the content of the table.
func (t *Table) State() State {
	s := State{Token: t.token}
	for _, name := range t.roleNames() {
		r := t.roles[name]
		s.Roles = append(s.Roles, RoleState{r.Role, slices.Clone(r.grants), slices.Clone(r.queue), slices.Clone(r.reservations)})
	}
	return s
}

// define adds a role. If a role of that name exists, define changes it and the slots of its zones.
func (t *Table) define(r Role) error {
	if err := r.Validate(); err != nil {
		return err
	}
	r.MaxHolders = max(r.MaxHolders, 1)
	if existing := t.roles[r.Name]; existing != nil {
		existing.Role = r
		t.redefineZones(&r)
		return nil
	}
	if len(t.roles) >= MaxRoles {
		return fmt.Errorf("duty %q: there are %d duties already", r.Name, MaxRoles)
	}
	t.roles[r.Name] = &roleSlots{Role: r}
	return nil
}

// redefineZones updates the slots of r's zones after r has changed.
func (t *Table) redefineZones(r *Role) {
	for name, s := range t.roles {
		if role, _, ok := strings.Cut(name, "@"); ok && role == r.Name {
			s.MaxHolders, s.PreferredZones = r.MaxHolders, r.PreferredZones
		}
	}
}

// slotsOf returns the slots of a role. The first call for a zone of a role with ByZone creates the
// slots of that zone. slotsOf returns nil if the role does not exist or cannot be created.
func (t *Table) slotsOf(name string) *roleSlots {
	if s := t.roles[name]; s != nil && !s.ByZone {
		return s
	}
	role, zone, ok := strings.Cut(name, "@")
	if !ok {
		return nil
	}
	r := t.roles[role]
	if r == nil || !r.ByZone || len(t.roles) >= MaxRoles || len(zone) > MaxNameBytes {
		return nil
	}
	s := &roleSlots{Role: Role{Name: name, MaxHolders: r.MaxHolders, PreferredZones: r.PreferredZones}}
	t.roles[name] = s
	return s
}

// roleNames returns the names of all roles, sorted.
func (t *Table) roleNames() []string { return slices.Sorted(maps.Keys(t.roles)) }

// Grants returns all grants, sorted by role and token.
func (t *Table) Grants() (all []Grant) {
	for _, name := range t.roleNames() {
		all = append(all, t.roles[name].grants...)
	}
	slices.SortStableFunc(all, func(a, b Grant) int { return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Token, b.Token)) })
	return all
}

// ForEach calls visit for each role in the order of the names, with the role's grants, queue and
// reservations. The slices belong to the table: visit must neither change nor retain them.
func (t *Table) ForEach(visit func(r *Role, grants []Grant, queue []Router, reservations []Reservation)) {
	for _, name := range t.roleNames() {
		s := t.roles[name]
		visit(&s.Role, s.grants, s.queue, s.reservations)
	}
}

// Token returns the largest token that the table has granted or raised its tokens to.
func (t *Table) Token() uint64 { return t.token }

// WriteState writes everything that the table's behaviour depends on besides the definitions of its
// roles. Tables with the same roles that write the same bytes behave the same. State space explorers
// hash these bytes.
func (t *Table) WriteState(w io.Writer) {
	fmt.Fprint(w, t.token)
	for _, name := range t.roleNames() {
		s := t.roles[name]
		fmt.Fprint(w, "|", name, s.grants, s.queue, s.reservations)
	}
}
