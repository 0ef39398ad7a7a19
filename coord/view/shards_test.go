package view

import (
	"testing"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// A shard stays with its owner while the owner is in the chain. Each other shard goes to the member
// with the fewest shards, which waits until the lease of the earlier owner has ended.
func TestShardsStayWithOwnerInChain(t *testing.T) {
	is := is.New(t)
	d := decider(viewOf(3, 3))
	v := &coordpb.View{Epoch: 4, Chain: []uint64{100, 101}}
	for _, duty := range d.assignShards(v, nil) {
		is.Equal(duty.Owner, uint64(100))
		is.Equal(duty.Since, uint64(3))
	}
	v.Chain = []uint64{101, 102}
	given := promises(map[int]*coordpb.Position{1: position(3, 1), 2: position(3, 1)})
	given["m1"].Answered = []*coordpb.Answered{{Identity: 100, AgeMs: 400}}
	counts := map[uint64]int{}
	for _, duty := range d.assignShards(v, given) {
		counts[duty.Owner]++
		is.Equal(duty.Since, uint64(4))
		is.Equal(duty.WaitMs, int32((LeaseDuration+leaseMargin).Milliseconds()-400))
	}
	is.Equal(counts, map[uint64]int{101: Shards / 2, 102: Shards / 2})
	given["m0"] = &promiseFrom{&coordpb.Promise{Position: position(3, 1), IdleMs: 300}, member(0)} // the owner has promised, so it no longer acts on its shards
	is.True(d.assignShards(v, given)[0].WaitMs <= 0)
}
