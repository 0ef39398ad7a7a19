package chain

import (
	"slices"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// Head returns the address of the head of a view's chain, or "" if there is none.
func Head(v *coordpb.View) string { return addressAt(v, 0) }

// Tail returns the address of the tail of a view's chain, or "" if there is none.
func Tail(v *coordpb.View) string { return addressAt(v, len(v.GetChain())-1) }

// addressAt returns the address of the member at an index of a view's chain, or "" if there is
// none.
func addressAt(v *coordpb.View, i int) string {
	if i < 0 || i >= len(v.GetChain()) {
		return ""
	}
	if m := view.MemberOf(v, v.Chain[i]); m != nil {
		return m.Address
	}
	return ""
}

// Head returns the address of the head of the current chain, or "" if there is none.
func (r *Replica) Head() string { return Head(r.view) }

// index returns the index of this process in the chain, or -1 if the process isn't in the chain.
func (r *Replica) index() int { return slices.Index(r.view.Chain, r.self.Identity) }

func (r *Replica) isHead() bool { return r.index() == 0 }

func (r *Replica) isTail() bool { i := r.index(); return i >= 0 && i == len(r.view.Chain)-1 }

func (r *Replica) successor() string { return addressAt(r.view, r.index()+1) }

func (r *Replica) predecessor() string { return addressAt(r.view, r.index()-1) }
