package view

import (
	"testing"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// The next chain begins with the member whose state is most advanced and contains all healthy
// members that promised. Members with equal positions keep their order in the current chain.
func TestNextChainStartsAtFurthestMember(t *testing.T) {
	for name, c := range map[string]struct {
		positions map[int]*coordpb.Position
		unhealthy int // a member whose storage fails, -1 for none
		want      []uint64
	}{
		"all positions are equal":        {map[int]*coordpb.Position{0: position(3, 5), 1: position(3, 5), 2: position(3, 5)}, -1, []uint64{100, 101, 102}},
		"one has not promised":           {map[int]*coordpb.Position{1: position(3, 5), 2: position(3, 5)}, -1, []uint64{101, 102}},
		"one is ahead":                   {map[int]*coordpb.Position{0: position(3, 4), 1: position(3, 5), 2: position(3, 4)}, -1, []uint64{101, 100, 102}},
		"one has a later epoch":          {map[int]*coordpb.Position{0: position(2, 9), 2: position(3, 4)}, -1, []uint64{102, 100}},
		"the head is unhealthy":          {map[int]*coordpb.Position{0: position(3, 5), 1: position(3, 5), 2: position(3, 5)}, 0, []uint64{101, 102}},
		"the most advanced is unhealthy": {map[int]*coordpb.Position{0: position(3, 6), 1: position(3, 5), 2: position(3, 5)}, 0, []uint64{100, 101, 102}},
		"too few have promised":          {map[int]*coordpb.Position{0: position(3, 5)}, -1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := decider(viewOf(3, 3))
			all := promises(c.positions)
			if c.unhealthy >= 0 {
				all[member(c.unhealthy).Address].Healthy = false
			}
			is.Equal(d.nextView(all).GetChain(), c.want)
		})
	}
}

// The source must have completed the last epoch before the current members took over, or a later
// one. Then nothing can have been committed in an epoch between that one and the current one.
func TestSyncSourceHasCompletedRecentEpoch(t *testing.T) {
	is := is.New(t)
	v := viewOf(5, 3)
	v.MembersSince = 4
	d := decider(v)
	is.True(d.syncSource(promises(map[int]*coordpb.Position{0: position(2, 9), 1: position(1, 3)})) == nil)
	is.Equal(d.syncSource(promises(map[int]*coordpb.Position{0: position(3, 9), 1: position(1, 3)})).from.Address, "m0")
}
