package lease

// TokenGuard is what a receiver of work under leases keeps for each role: it accepts a fencing
// token that is not lower than any before. Its zero value is ready. What it knows ends with its
// process; after that it accepts what comes first.
type TokenGuard struct{ highest map[string]uint64 } // MaxRoles at most

// Highest returns the largest token that was accepted for a role, 0 for none.
func (g *TokenGuard) Highest(role string) uint64 { return g.highest[role] }

// Accept reports whether work that carries a token may be done.
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
