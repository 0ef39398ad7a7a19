package view

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// member is the process at an address, in the first life of its disk.
func member(i int) *coordpb.Member {
	return &coordpb.Member{Address: fmt.Sprintf("m%d", i), Identity: uint64(100 + i)}
}

var seeds = []string{"m0", "m1", "m2"}

// viewOf is a view of the first n members, all in the chain.
func viewOf(epoch uint64, n int) *coordpb.View {
	v := &coordpb.View{Epoch: epoch, MembersSince: 1}
	for i := range n {
		v.Members = append(v.Members, member(i))
		v.Chain = append(v.Chain, member(i).Identity)
	}
	for range Shards {
		v.Duties = append(v.Duties, &coordpb.Duty{Owner: member(0).Identity, Since: epoch})
	}
	return v
}

// decider is that of the first member, in a view.
func decider(v *coordpb.View) *Decider {
	return New(Config{Self: member(0), Seeds: seeds, Core: true, Tolerance: 1, View: v}, 0)
}

func ballot(round uint64, i int) *coordpb.Ballot {
	return &coordpb.Ballot{Round: round, Proposer: member(i).Identity}
}

// from makes a message of a member.
func from(i int, m *coordpb.Message) *coordpb.Message {
	m.From = member(i)
	return m
}

func prepare(instance, round uint64, i int) *coordpb.Message {
	return from(i, &coordpb.Message{Body: &coordpb.Message_Prepare{Prepare: &coordpb.Prepare{Instance: instance, Ballot: ballot(round, i)}}})
}

func accept(v *coordpb.View, round uint64, i int) *coordpb.Message {
	return from(i, &coordpb.Message{Body: &coordpb.Message_Accept{Accept: &coordpb.Accept{Instance: v.Epoch, Ballot: ballot(round, i), View: v}}})
}

// heartbeat is a member's word that it lives, in an epoch whose state it has.
func heartbeat(i int, epoch uint64) *coordpb.Message {
	return from(i, &coordpb.Message{Body: &coordpb.Message_Heartbeat{Heartbeat: &coordpb.Heartbeat{Epoch: epoch, Healthy: true, Eligible: true,
		Founder: true, Heard: []uint64{100, 101, 102, 103}, Position: &coordpb.Position{StateEpoch: epoch}}}})
}

// told is what a step does, in words.
func told(effects []Effect) (all []string) {
	for _, e := range effects {
		switch e := e.(type) {
		case Write:
			all = append(all, "write")
		case Sealed:
			all = append(all, "sealed")
		case Decided:
			all = append(all, fmt.Sprint("decided ", e.View.Epoch))
		case Send:
			switch body := e.Message.Body.(type) {
			case *coordpb.Message_Promise:
				all = append(all, fmt.Sprint("promise ", body.Promise.Ballot.Round, " to ", e.To))
			case *coordpb.Message_Accepted:
				all = append(all, fmt.Sprint("accepted ", body.Accepted.Ballot.Round, " to ", e.To))
			case *coordpb.Message_Reject:
				all = append(all, fmt.Sprint("reject to ", e.To))
			case *coordpb.Message_Learn:
				all = append(all, fmt.Sprint("learn ", body.Learn.View.Epoch, " to ", e.To))
			}
		}
	}
	return all
}

// Votes: what a member says to a proposer, by what it knows.
func TestVotes(t *testing.T) {
	three, four := viewOf(3, 3), viewOf(4, 3)
	outside := viewOf(3, 3)
	outside.Members = outside.Members[1:]
	for name, c := range map[string]struct {
		view *coordpb.View
		in   []*coordpb.Message
		want []string // of the last one
	}{
		"promises":                        {three, []*coordpb.Message{prepare(4, 1, 1)}, []string{"sealed", "write", "promise 1 to m1"}},
		"promises a greater ballot":       {three, []*coordpb.Message{prepare(4, 1, 1), prepare(4, 2, 2)}, []string{"write", "promise 2 to m2"}},
		"promises the same again":         {three, []*coordpb.Message{prepare(4, 1, 1), prepare(4, 1, 1)}, []string{"promise 1 to m1"}},
		"rejects a lesser ballot":         {three, []*coordpb.Message{prepare(4, 2, 2), prepare(4, 1, 1)}, []string{"reject to m1"}},
		"accepts":                         {three, []*coordpb.Message{prepare(4, 1, 1), accept(four, 1, 1)}, []string{"write", "accepted 1 to m1"}},
		"accepts without a promise":       {three, []*coordpb.Message{accept(four, 1, 1)}, []string{"sealed", "write", "write", "accepted 1 to m1"}},
		"rejects what it promised beyond": {three, []*coordpb.Message{prepare(4, 2, 2), accept(four, 1, 1)}, []string{"reject to m1"}},
		"tells who is behind":             {three, []*coordpb.Message{prepare(3, 1, 1)}, []string{"learn 3 to m1"}},
		"passes over what is ahead":       {three, []*coordpb.Message{prepare(5, 1, 1)}, nil},
		"is no member":                    {outside, []*coordpb.Message{prepare(4, 1, 1)}, nil},
		"a view of another epoch":         {three, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Accept{Accept: &coordpb.Accept{Instance: 4, Ballot: ballot(1, 1), View: three}}})}, nil},
		"learns":                          {three, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: four}}})}, []string{"write", "decided 4"}},
		"has learnt":                      {four, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: three}}})}, nil},
		"no ballot":                       {three, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Prepare{Prepare: &coordpb.Prepare{Instance: 4}}})}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := decider(c.view)
			var got []string
			for _, m := range c.in {
				effects, ok := d.Receive(time.Millisecond, m)
				if !ok {
					t.Fatal("the message is not known")
				}
				got = told(effects)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Only the first life at a seed's address votes on the first view.
func TestFounders(t *testing.T) {
	is := is.New(t)
	founder := New(Config{Self: member(0), Seeds: seeds, Founder: true, Core: true, Tolerance: 1}, 0)
	effects, _ := founder.Receive(0, prepare(1, 1, 1))
	is.Equal(told(effects), []string{"sealed", "write", "promise 1 to m1"})
	later := New(Config{Self: member(0), Seeds: seeds, Core: true, Tolerance: 1}, 0)
	effects, _ = later.Receive(0, prepare(1, 1, 1))
	is.Equal(told(effects), nil)
	elsewhere := New(Config{Self: member(4), Seeds: seeds, Founder: true, Core: true, Tolerance: 1}, 0)
	effects, _ = elsewhere.Receive(0, prepare(1, 1, 1))
	is.Equal(told(effects), nil)
}

// What was promised and accepted before a restart still binds.
func TestKept(t *testing.T) {
	is := is.New(t)
	four := viewOf(4, 3)
	d := New(Config{Self: member(0), Seeds: seeds, Core: true, Tolerance: 1, View: viewOf(3, 3), Promised: ballot(5, 1), AcceptedBallot: ballot(4, 2), AcceptedView: four}, 0)
	is.True(d.IsSealed())
	effects, _ := d.Receive(0, prepare(4, 4, 2))
	is.Equal(told(effects), []string{"reject to m2"})
	effects, _ = d.Receive(0, prepare(4, 6, 2))
	promise := effects[len(effects)-1].(Send).Message.GetPromise()
	is.Equal(promise.AcceptedBallot.Round, uint64(4))
	is.Equal(promise.AcceptedView.Epoch, uint64(4))
	kept := &coordpb.Durable{}
	d.Kept(kept)
	is.Equal(kept.Promised.Round, uint64(6))
}

// promises are those of members with their positions.
func promises(positions map[int]*coordpb.Position) map[string]*promised {
	all := map[string]*promised{}
	for i, p := range positions {
		m := member(i)
		all[m.Address] = &promised{&coordpb.Promise{Position: p, Healthy: true}, m}
	}
	return all
}

func position(epoch, sequence uint64) *coordpb.Position {
	return &coordpb.Position{StateEpoch: epoch, Sequence: sequence, EntryEpoch: epoch}
}

// The next chain begins with the member that is furthest, has all that can go on, and is as it was among equals.
func TestNextChain(t *testing.T) {
	for name, c := range map[string]struct {
		positions map[int]*coordpb.Position
		unfit     int // a member whose storage fails, -1 for none
		want      []uint64
	}{
		"all alike":             {map[int]*coordpb.Position{0: position(3, 5), 1: position(3, 5), 2: position(3, 5)}, -1, []uint64{100, 101, 102}},
		"one is missing":        {map[int]*coordpb.Position{1: position(3, 5), 2: position(3, 5)}, -1, []uint64{101, 102}},
		"one is further":        {map[int]*coordpb.Position{0: position(3, 4), 1: position(3, 5), 2: position(3, 4)}, -1, []uint64{101, 100, 102}},
		"one has a later epoch": {map[int]*coordpb.Position{0: position(2, 9), 2: position(3, 4)}, -1, []uint64{102, 100}},
		"the head is unfit":     {map[int]*coordpb.Position{0: position(3, 5), 1: position(3, 5), 2: position(3, 5)}, 0, []uint64{101, 102}},
		"the furthest is unfit": {map[int]*coordpb.Position{0: position(3, 6), 1: position(3, 5), 2: position(3, 5)}, 0, []uint64{100, 101, 102}},
		"too few":               {map[int]*coordpb.Position{0: position(3, 5)}, -1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := decider(viewOf(3, 3))
			all := promises(c.positions)
			if c.unfit >= 0 {
				all[member(c.unfit).Address].Healthy = false
			}
			is.Equal(d.next(all).GetChain(), c.want)
		})
	}
}

// A source is complete only if no epoch between its last one and the present can have committed anything: members change after an epoch
// that enough have completed.
func TestSource(t *testing.T) {
	is := is.New(t)
	v := viewOf(5, 3)
	v.MembersSince = 4
	d := decider(v)
	is.True(d.source(promises(map[int]*coordpb.Position{0: position(2, 9), 1: position(1, 3)})) == nil)
	is.Equal(d.source(promises(map[int]*coordpb.Position{0: position(3, 9), 1: position(1, 3)})).from.Address, "m0")
}

// A member that is gone for good is replaced by a process that stands by, once enough have completed the epoch; one at the same address, whose
// disk was lost, at once.
func TestReplaced(t *testing.T) {
	is := is.New(t)
	d := decider(viewOf(3, 3))
	now := time.Duration(0)
	run := func(until time.Duration, living ...int) {
		for ; now < until; now += 100 * time.Millisecond {
			for _, i := range living {
				d.Receive(now, heartbeat(i, 3))
			}
			d.Tick(now)
		}
	}
	run(3*time.Second, 1, 2, 3)
	is.True(sameMembers(d.members(nil, leaving), d.view.Members)) // nobody is gone
	run(6*time.Second, 1, 3)
	changed := d.members(nil, leaving)
	is.Equal(changed[2].Identity, uint64(103))
	is.Equal(d.next(promises(map[int]*coordpb.Position{0: position(2, 1), 1: position(2, 1)})).MembersSince, uint64(1)) // not complete
	next := d.next(promises(map[int]*coordpb.Position{0: position(3, 1), 1: position(3, 1)}))
	is.Equal(next.MembersSince, uint64(4))
	is.Equal(next.Chain, []uint64{100, 101, 103})
	wiped := heartbeat(1, 0)
	wiped.From = &coordpb.Member{Address: "m1", Identity: 999}
	for range 10 {
		now += 100 * time.Millisecond
		d.Receive(now, wiped)
		d.Receive(now, heartbeat(2, 3))
	}
	is.Equal(d.members(nil, leaving)[1].Identity, uint64(999))
}

// leavingBeat is a heartbeat of a member that is about to end.
func leavingBeat(i int, epoch uint64) *coordpb.Message {
	m := heartbeat(i, epoch)
	m.GetHeartbeat().Leaving = true
	return m
}

// beats gives a decider heartbeats of others for a second, the last of them at now.
func beats(d *Decider, now time.Duration, all ...*coordpb.Message) {
	for at := now - time.Second; at <= now; at += 100 * time.Millisecond {
		for _, m := range all {
			d.Receive(at, m)
		}
	}
}

// The seat of a member that is about to end goes to one that has the state, while the member still votes and as long as enough others have
// the state; and the member may end once that is done.
func TestLeaver(t *testing.T) {
	lagging := heartbeat(3, 0)
	lagging.GetHeartbeat().Position = &coordpb.Position{}
	for name, c := range map[string]struct {
		beats    []*coordpb.Message
		promises map[int]*coordpb.Position
		members  []uint64
		chain    []uint64
	}{
		"a stand-by has the state":       {[]*coordpb.Message{heartbeat(1, 3), leavingBeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 9), 1: position(3, 9), 2: position(3, 9)}, []uint64{100, 101, 103}, []uint64{100, 101, 103}},
		"nobody stands by":               {[]*coordpb.Message{heartbeat(1, 3), leavingBeat(2, 3)}, map[int]*coordpb.Position{0: position(3, 9), 1: position(3, 9), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{100, 101}},
		"another one is gone":            {[]*coordpb.Message{leavingBeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 9), 2: position(3, 9)}, []uint64{100, 103, 102}, []uint64{100, 103}},
		"another one is gone, no spare":  {[]*coordpb.Message{leavingBeat(2, 3)}, map[int]*coordpb.Position{0: position(3, 9), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{100, 102}},
		"it alone has all":               {[]*coordpb.Message{heartbeat(1, 3), leavingBeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 8), 1: position(3, 8), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{102, 100, 101}},
		"too few others have completed":  {[]*coordpb.Message{heartbeat(1, 3), leavingBeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 9), 1: position(2, 8), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{100, 101}},
		"the stand-by lacks the changes": {[]*coordpb.Message{heartbeat(1, 3), leavingBeat(2, 3), lagging}, map[int]*coordpb.Position{0: position(3, 900), 1: position(3, 900), 2: position(3, 900)}, []uint64{100, 101, 102}, []uint64{100, 101}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := decider(viewOf(3, 3))
			d.SetStatus(Status{Position: c.promises[0], Healthy: true})
			beats(d, 4*time.Second, c.beats...)
			all := promises(c.promises)
			all[member(2).Address].Leaving, all[member(2).Address].Healthy = true, false
			next := d.next(all)
			is.Equal(identities(next.GetMembers()), c.members)
			is.Equal(next.GetChain(), c.chain)
		})
	}
}

// A process that is told to end may do so once enough others have the state, and none stands by that could take its seat.
func TestMayEnd(t *testing.T) {
	behindOne := heartbeat(2, 2)
	for name, c := range map[string]struct {
		members int // of the view
		self    int
		beats   []*coordpb.Message
		may     bool
	}{
		"the others have all":            {3, 0, []*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3)}, true},
		"one of them does not":           {3, 0, []*coordpb.Message{heartbeat(1, 3), behindOne}, false},
		"one of them is gone":            {3, 0, []*coordpb.Message{heartbeat(1, 3)}, false},
		"its seat is still its own":      {3, 0, []*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3), heartbeat(3, 3)}, false},
		"its seat was taken":             {3, 3, []*coordpb.Message{heartbeat(0, 3), heartbeat(1, 3), heartbeat(2, 3)}, true},
		"its seat was taken, not synced": {3, 3, []*coordpb.Message{heartbeat(0, 3), behindOne}, false},
		"all end":                        {3, 0, []*coordpb.Message{leavingBeat(1, 2), leavingBeat(2, 2)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := New(Config{Self: member(c.self), Seeds: seeds, Core: true, Tolerance: 1, View: viewOf(3, c.members)}, 0)
			d.SetStatus(Status{Position: position(3, 0), Healthy: true, Leaving: true})
			beats(d, 4*time.Second, c.beats...)
			is.Equal(d.MayEnd(), c.may)
		})
	}
}

// As many members may be lost as leave a majority and a whole copy.
func TestBears(t *testing.T) {
	for name, c := range map[string]struct {
		beats []*coordpb.Message
		want  int
	}{
		"all are well":         {[]*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3)}, 1},
		"one is gone":          {[]*coordpb.Message{heartbeat(1, 3)}, 0},
		"one is about to end":  {[]*coordpb.Message{heartbeat(1, 3), leavingBeat(2, 3)}, 0},
		"one lacks the state":  {[]*coordpb.Message{heartbeat(1, 3), heartbeat(2, 2)}, 1},
		"only this one has it": {[]*coordpb.Message{heartbeat(1, 2), heartbeat(2, 2)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := decider(viewOf(3, 3))
			d.SetStatus(Status{Position: position(3, 0), Healthy: true})
			beats(d, 4*time.Second, c.beats...)
			is.Equal(d.Bears(), c.want)
		})
	}
}

// A member that seems fit and did not answer in time is asked more and more seldom: each time is another view.
func TestJoinsAgain(t *testing.T) {
	is := is.New(t)
	two := viewOf(3, 3)
	two.Chain = two.Chain[:2]
	d := decider(two)
	now := 4 * time.Second
	beats(d, now, heartbeat(1, 3), heartbeat(2, 3))
	is.True(d.mayJoin())
	for _, wait := range []time.Duration{joinAgain, 2 * joinAgain, 4 * joinAgain} {
		next := viewOf(d.view.Epoch+1, 3)
		next.Chain = next.Chain[:2]
		d.learn(next)
		d.now += wait - time.Millisecond
		is.True(!d.mayJoin())
		d.now += time.Millisecond
		is.True(d.mayJoin())
	}
	d.learn(viewOf(d.view.Epoch+1, 3))
	is.True(d.mayJoin()) // it has joined
}

// A shard stays with its owner while that is in the chain; the others go to those with the fewest, who wait until the owner before can't act.
func TestDuties(t *testing.T) {
	is := is.New(t)
	d := decider(viewOf(3, 3))
	v := &coordpb.View{Epoch: 4, Chain: []uint64{100, 101}}
	for _, duty := range d.duties(v, nil) {
		is.Equal(duty.Owner, uint64(100))
		is.Equal(duty.Since, uint64(3))
	}
	v.Chain = []uint64{101, 102}
	given := promises(map[int]*coordpb.Position{1: position(3, 1), 2: position(3, 1)})
	given["m1"].Answered = []*coordpb.Answered{{Identity: 100, AgeMs: 400}}
	counts := map[uint64]int{}
	for _, duty := range d.duties(v, given) {
		counts[duty.Owner]++
		is.Equal(duty.Since, uint64(4))
		is.Equal(duty.WaitMs, int32((Lease+leaseMargin).Milliseconds()-400))
	}
	is.Equal(counts, map[uint64]int{101: Shards / 2, 102: Shards / 2})
	given["m0"] = &promised{&coordpb.Promise{Position: position(3, 1), IdleMs: 300}, member(0)} // it has promised, and does not act any more
	is.True(d.duties(v, given)[0].WaitMs <= 0)
}

// Least chains: the loss of as many as are tolerated leaves one of it, and any majority has one of it.
func TestLeastChain(t *testing.T) {
	for n := 1; n <= 9; n++ {
		for tolerance := 0; 2*tolerance < n; tolerance++ {
			least := LeastChain(n, tolerance)
			if least > n-tolerance {
				t.Errorf("%d of %d members can't be had after the loss of %d", least, n, tolerance)
			}
			if least <= tolerance || least+Majority(n) <= n {
				t.Errorf("%d of %d members, %d may be lost", least, n, tolerance)
			}
		}
	}
}

// A failover: a member that falls silent is out of the chain within the sum of the periods, which stays under the bounds of the smallest
// deployments (contact 3 s, acknowledgement 4 s).
func TestPeriods(t *testing.T) {
	worst := suspectAfter + HeartbeatEvery + staggered + collectAtMost
	if worst > 1500*time.Millisecond {
		t.Errorf("a failover may take %v", worst)
	}
	if Lease >= suspectAfter {
		t.Errorf("a lease of %v outlives the time until its holder is suspected, %v", Lease, suspectAfter)
	}
}
