package view_test

import (
	"fmt"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// Keys are sharded over the chain of a view. The epoch since which a member owns a shard is its
// fencing token: storage that has seen a greater one rejects it.
func Example() {
	v := &coordpb.View{Epoch: 7, Chain: []uint64{11, 22}, Members: []*coordpb.Member{{Identity: 11, Address: "a:1"}, {Identity: 22, Address: "b:1"}}}
	for shard := range view.Shards {
		v.Duties = append(v.Duties, &coordpb.Duty{Owner: v.Chain[shard%2], Since: 5})
	}
	owner, duty := view.Owner(v, "a key")
	again, _ := view.Owner(v, "a key")
	fmt.Println(owner.Address == again.Address, duty.Since)
	nobody, _ := view.Owner(&coordpb.View{}, "a key")
	fmt.Println(nobody == nil)
	// Output:
	// true 5
	// true
}
