package view

import (
	"cmp"
	"slices"

	"reachspread/coord/coordpb"
)

// Majority returns the size of the smallest majority of n members.
func Majority(n int) int { return n/2 + 1 }

// MinChainLength returns the minimum length of the chain of a view with n members. A chain of that
// length keeps at least one member after the loss of as many members as are tolerated, and shares
// at least one member with every majority, so that committed changes are always found.
func MinChainLength(n, tolerance int) int {
	return max(min(tolerance+1, n), n-Majority(n)+1)
}

// TargetMembers returns how many members a view should have if that many processes are eligible.
func TargetMembers(tolerance int) int { return max(2*tolerance+1, minMembers) }

// MemberOf returns the member of a view with an identity, or nil if there is none.
func MemberOf(v *coordpb.View, identity uint64) *coordpb.Member {
	for _, m := range v.Members {
		if m.Identity == identity {
			return m
		}
	}
	return nil
}

// LessProposal reports whether proposal number a is less than b. Nil is less than any number.
func LessProposal(a, b *coordpb.Ballot) bool {
	if a == nil || b == nil {
		return a == nil && b != nil
	}
	return cmp.Or(cmp.Compare(a.Round, b.Round), cmp.Compare(a.Proposer, b.Proposer)) < 0
}

// IsAhead reports whether the state at position a is more advanced than the state at position b.
func IsAhead(a, b *coordpb.Position) bool {
	return cmp.Or(cmp.Compare(a.GetStateEpoch(), b.GetStateEpoch()), cmp.Compare(a.GetSequence(), b.GetSequence())) > 0
}

// sameMembers reports whether two lists have the same members in the same order.
func sameMembers(a, b []*coordpb.Member) bool {
	return slices.EqualFunc(a, b, func(x, y *coordpb.Member) bool { return x.Identity == y.Identity && x.Address == y.Address })
}

// sameIdentities reports whether two lists have the same identities in any order.
func sameIdentities(a, b []uint64) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// identities returns the identities of members, in the same order.
func identities(members []*coordpb.Member) (all []uint64) {
	for _, m := range members {
		all = append(all, m.Identity)
	}
	return all
}

// indexOrLen returns the index of an address in a list, or the length of the list if it doesn't
// have the address.
func indexOrLen(addresses []string, address string) int {
	if i := slices.Index(addresses, address); i >= 0 {
		return i
	}
	return len(addresses)
}
