package view_test

import (
	"fmt"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// Each key belongs to a shard, and each shard to a member of the chain. The epoch in which a member
// became the owner of a shard is its fencing token: storage that has seen a greater token rejects
// it.
func Example() {
	v := &coordpb.View{Epoch: 7, Chain: []uint64{11, 22}, Members: []*coordpb.Member{{Identity: 11, Address: "a:1"}, {Identity: 22, Address: "b:1"}}}
	for shard := range view.Shards {
		v.Duties = append(v.Duties, &coordpb.Duty{Owner: v.Chain[shard%2], Since: 5})
	}
	owner, duty := view.Owner(v, "a key")
	again, _ := view.Owner(v, "a key")
	fmt.Println(owner.Address == again.Address, duty.Since)
	noOwner, _ := view.Owner(&coordpb.View{}, "a key")
	fmt.Println(noOwner == nil)
	// Output:
	// true 5
	// true
}
