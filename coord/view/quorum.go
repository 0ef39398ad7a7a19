package view

import (
	"cmp"
	"slices"

	"reachspread/coord/coordpb"
)

// Majority is the size of the smallest majority of n members.
func Majority(n int) int { return n/2 + 1 }

// MinChainLength is the least length of the chain of a view with n members: the loss of as many
// as are tolerated leaves one member of it, and each majority of the members has one of it, so
// that committed changes are always found.
func MinChainLength(n, tolerance int) int {
	return max(min(tolerance+1, n), n-Majority(n)+1)
}

// TargetMembers is how many members a view should have, where that many processes are eligible.
func TargetMembers(tolerance int) int { return max(2*tolerance+1, minMembers) }

// MemberOf returns the member of a view with an identity, nil for none.
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

// IsAhead reports whether the state at position a is further than that at b.
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

// identities are those of some members, in their order.
func identities(members []*coordpb.Member) (all []uint64) {
	for _, m := range members {
		all = append(all, m.Identity)
	}
	return all
}

// indexOrLen is the index of an address, or the number of addresses if it isn't one of them.
func indexOrLen(addresses []string, address string) int {
	if i := slices.Index(addresses, address); i >= 0 {
		return i
	}
	return len(addresses)
}
