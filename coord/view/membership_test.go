package view

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// A standby replaces a dead member once enough members have completed the epoch. A process that
// lost its disk replaces its earlier incarnation, at the same address, at once.
func TestDeadMemberIsReplacedByStandby(t *testing.T) {
	is := is.New(t)
	d := decider(viewOf(3, 3))
	now := time.Duration(0)
	run := func(until time.Duration, alive ...int) {
		for ; now < until; now += 100 * time.Millisecond {
			for _, i := range alive {
				d.Receive(now, heartbeat(i, 3))
			}
			d.Tick(now)
		}
	}
	run(3*time.Second, 1, 2, 3)
	is.True(sameMembers(d.membersReplacing(nil, peerDraining), d.view.Members)) // no member is dead
	run(6*time.Second, 1, 3)
	changed := d.membersReplacing(nil, peerDraining)
	is.Equal(changed[2].Identity, uint64(103))
	is.Equal(d.nextView(promises(map[int]*coordpb.Position{0: position(2, 1), 1: position(2, 1)})).MembersSince, uint64(1)) // too few members have completed epoch 3, so the members stay
	next := d.nextView(promises(map[int]*coordpb.Position{0: position(3, 1), 1: position(3, 1)}))
	is.Equal(next.MembersSince, uint64(4))
	is.Equal(next.Chain, []uint64{100, 101, 103})
	wiped := heartbeat(1, 0)
	wiped.From = &coordpb.Member{Address: "m1", Identity: 999}
	for range 10 {
		now += 100 * time.Millisecond
		d.Receive(now, wiped)
		d.Receive(now, heartbeat(2, 3))
	}
	is.Equal(d.membersReplacing(nil, peerDraining)[1].Identity, uint64(999))
}

// A standby that has caught up replaces a draining member while that member still votes, as long as
// enough other members have completed the epoch.
func TestDrainingMemberIsReplacedByStandby(t *testing.T) {
	lagging := heartbeat(3, 0)
	lagging.GetHeartbeat().Position = &coordpb.Position{}
	for name, c := range map[string]struct {
		heartbeats []*coordpb.Message
		promises   map[int]*coordpb.Position
		members    []uint64
		chain      []uint64
	}{
		"the standby has caught up":          {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 9), 1: position(3, 9), 2: position(3, 9)}, []uint64{100, 101, 103}, []uint64{100, 101, 103}},
		"no standby":                         {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3)}, map[int]*coordpb.Position{0: position(3, 9), 1: position(3, 9), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{100, 101}},
		"another member is dead":             {[]*coordpb.Message{drainingHeartbeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 9), 2: position(3, 9)}, []uint64{100, 103, 102}, []uint64{100, 103}},
		"another member is dead, no standby": {[]*coordpb.Message{drainingHeartbeat(2, 3)}, map[int]*coordpb.Position{0: position(3, 9), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{100, 102}},
		"only it has all changes":            {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 8), 1: position(3, 8), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{102, 100, 101}},
		"too few others have the state":      {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 9), 1: position(2, 8), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{100, 101}},
		"the standby lags":                   {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3), lagging}, map[int]*coordpb.Position{0: position(3, 900), 1: position(3, 900), 2: position(3, 900)}, []uint64{100, 101, 102}, []uint64{100, 101}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := decider(viewOf(3, 3))
			d.SetStatus(Status{Position: c.promises[0], Healthy: true})
			receiveHeartbeats(d, 4*time.Second, c.heartbeats...)
			all := promises(c.promises)
			all[member(2).Address].Leaving, all[member(2).Address].Healthy = true, false
			next := d.nextView(all)
			is.Equal(identities(next.GetMembers()), c.members)
			is.Equal(next.GetChain(), c.chain)
		})
	}
}
