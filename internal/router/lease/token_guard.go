package lease

// TokenGuard checks the fencing tokens of work that a process receives. For each role it accepts a
// token only if it has accepted no larger one before. Its zero value is ready for use. It is kept in
// memory only, so after a restart it accepts any first token of a role.
type TokenGuard struct{ highest map[string]uint64 } // by role, at most MaxRoles

// Highest returns the largest token that the guard has accepted for a role, or 0 for none.
func (g *TokenGuard) Highest(role string) uint64 { return g.highest[role] }

// Accept reports whether the receiver may do work of a role that carries token, and records an
// accepted token. It rejects token 0, and a role beyond MaxRoles different ones.
func (g *TokenGuard) Accept(role string, token uint64) bool {
	if g.highest == nil {
		g.highest = map[string]uint64{}
	}
	last, known := g.highest[role]
	if token < last || token == 0 || !known && len(g.highest) >= MaxRoles {
		return false
	}
	g.highest[role] = token
	return true
}
