package view

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// member is the process at address i, with its first identity.
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

// decider returns the Decider of the first member, in a view.
func decider(v *coordpb.View) *Decider {
	return New(Config{Self: member(0), Seeds: seeds, Eligible: true, Tolerance: 1, View: v}, 0)
}

func proposalNumber(round uint64, i int) *coordpb.Ballot {
	return &coordpb.Ballot{Round: round, Proposer: member(i).Identity}
}

// from makes a message of a member.
func from(i int, m *coordpb.Message) *coordpb.Message {
	m.From = member(i)
	return m
}

func prepare(instance, round uint64, i int) *coordpb.Message {
	return from(i, &coordpb.Message{Body: &coordpb.Message_Prepare{Prepare: &coordpb.Prepare{Instance: instance, Ballot: proposalNumber(round, i)}}})
}

func accept(v *coordpb.View, round uint64, i int) *coordpb.Message {
	return from(i, &coordpb.Message{Body: &coordpb.Message_Accept{Accept: &coordpb.Accept{Instance: v.Epoch, Ballot: proposalNumber(round, i), View: v}}})
}

// heartbeat is that of a healthy member that has completed an epoch.
func heartbeat(i int, epoch uint64) *coordpb.Message {
	return from(i, &coordpb.Message{Body: &coordpb.Message_Heartbeat{Heartbeat: &coordpb.Heartbeat{Epoch: epoch, Healthy: true, Eligible: true,
		Founder: true, Heard: []uint64{100, 101, 102, 103}, Position: &coordpb.Position{StateEpoch: epoch}}}})
}

// describe returns the effects of a step as text.
func describe(effects []Effect) (all []string) {
	for _, e := range effects {
		switch e := e.(type) {
		case Write:
			all = append(all, "write")
		case Sealed:
			all = append(all, "sealed")
		case ViewChanged:
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

// An acceptor promises, accepts, rejects or informs the proposer, depending on what it knows.
func TestAcceptorReplies(t *testing.T) {
	three, four := viewOf(3, 3), viewOf(4, 3)
	outside := viewOf(3, 3)
	outside.Members = outside.Members[1:]
	for name, c := range map[string]struct {
		view *coordpb.View
		in   []*coordpb.Message
		want []string // of the last one
	}{
		"promises":                        {three, []*coordpb.Message{prepare(4, 1, 1)}, []string{"sealed", "write", "promise 1 to m1"}},
		"promises a greater number":       {three, []*coordpb.Message{prepare(4, 1, 1), prepare(4, 2, 2)}, []string{"write", "promise 2 to m2"}},
		"promises the same again":         {three, []*coordpb.Message{prepare(4, 1, 1), prepare(4, 1, 1)}, []string{"promise 1 to m1"}},
		"rejects a lower number":          {three, []*coordpb.Message{prepare(4, 2, 2), prepare(4, 1, 1)}, []string{"reject to m1"}},
		"accepts":                         {three, []*coordpb.Message{prepare(4, 1, 1), accept(four, 1, 1)}, []string{"write", "accepted 1 to m1"}},
		"accepts without a promise":       {three, []*coordpb.Message{accept(four, 1, 1)}, []string{"sealed", "write", "write", "accepted 1 to m1"}},
		"rejects what it promised beyond": {three, []*coordpb.Message{prepare(4, 2, 2), accept(four, 1, 1)}, []string{"reject to m1"}},
		"informs a proposer behind":       {three, []*coordpb.Message{prepare(3, 1, 1)}, []string{"learn 3 to m1"}},
		"ignores a later instance":        {three, []*coordpb.Message{prepare(5, 1, 1)}, nil},
		"is no member":                    {outside, []*coordpb.Message{prepare(4, 1, 1)}, nil},
		"a view of another epoch":         {three, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Accept{Accept: &coordpb.Accept{Instance: 4, Ballot: proposalNumber(1, 1), View: three}}})}, nil},
		"learns":                          {three, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: four}}})}, []string{"write", "decided 4"}},
		"has learnt":                      {four, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: three}}})}, nil},
		"no number":                       {three, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Prepare{Prepare: &coordpb.Prepare{Instance: 4}}})}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := decider(c.view)
			var got []string
			for _, m := range c.in {
				effects, ok := d.Receive(time.Millisecond, m)
				if !ok {
					t.Fatal("the message is not known")
				}
				got = describe(effects)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Only the first incarnation at a seed's address votes on the first view.
func TestOnlyFirstIncarnationAtSeedFounds(t *testing.T) {
	is := is.New(t)
	founder := New(Config{Self: member(0), Seeds: seeds, Founder: true, Eligible: true, Tolerance: 1}, 0)
	effects, _ := founder.Receive(0, prepare(1, 1, 1))
	is.Equal(describe(effects), []string{"sealed", "write", "promise 1 to m1"})
	later := New(Config{Self: member(0), Seeds: seeds, Eligible: true, Tolerance: 1}, 0)
	effects, _ = later.Receive(0, prepare(1, 1, 1))
	is.Equal(describe(effects), nil)
	elsewhere := New(Config{Self: member(4), Seeds: seeds, Founder: true, Eligible: true, Tolerance: 1}, 0)
	effects, _ = elsewhere.Receive(0, prepare(1, 1, 1))
	is.Equal(describe(effects), nil)
}

// What was promised and accepted before a restart still binds the acceptor.
func TestPromiseBindsAfterRestart(t *testing.T) {
	is := is.New(t)
	four := viewOf(4, 3)
	d := New(Config{Self: member(0), Seeds: seeds, Eligible: true, Tolerance: 1, View: viewOf(3, 3), Promised: proposalNumber(5, 1), AcceptedNumber: proposalNumber(4, 2), AcceptedView: four}, 0)
	is.True(d.IsSealed())
	effects, _ := d.Receive(0, prepare(4, 4, 2))
	is.Equal(describe(effects), []string{"reject to m2"})
	effects, _ = d.Receive(0, prepare(4, 6, 2))
	promise := effects[len(effects)-1].(Send).Message.GetPromise()
	is.Equal(promise.AcceptedBallot.Round, uint64(4))
	is.Equal(promise.AcceptedView.Epoch, uint64(4))
	saved := &coordpb.Durable{}
	d.Persist(saved)
	is.Equal(saved.Promised.Round, uint64(6))
}

// promises are those of members at some positions.
func promises(positions map[int]*coordpb.Position) map[string]*promiseFrom {
	all := map[string]*promiseFrom{}
	for i, p := range positions {
		m := member(i)
		all[m.Address] = &promiseFrom{&coordpb.Promise{Position: p, Healthy: true}, m}
	}
	return all
}

func position(epoch, sequence uint64) *coordpb.Position {
	return &coordpb.Position{StateEpoch: epoch, Sequence: sequence, EntryEpoch: epoch}
}

// The next chain begins with the member that is furthest, has all that are healthy, and keeps the
// order of the present one among equals.
func TestNextChainStartsAtFurthestMember(t *testing.T) {
	for name, c := range map[string]struct {
		positions map[int]*coordpb.Position
		unhealthy int // a member whose storage fails, -1 for none
		want      []uint64
	}{
		"all alike":                 {map[int]*coordpb.Position{0: position(3, 5), 1: position(3, 5), 2: position(3, 5)}, -1, []uint64{100, 101, 102}},
		"one is missing":            {map[int]*coordpb.Position{1: position(3, 5), 2: position(3, 5)}, -1, []uint64{101, 102}},
		"one is further":            {map[int]*coordpb.Position{0: position(3, 4), 1: position(3, 5), 2: position(3, 4)}, -1, []uint64{101, 100, 102}},
		"one has a later epoch":     {map[int]*coordpb.Position{0: position(2, 9), 2: position(3, 4)}, -1, []uint64{102, 100}},
		"the head is unhealthy":     {map[int]*coordpb.Position{0: position(3, 5), 1: position(3, 5), 2: position(3, 5)}, 0, []uint64{101, 102}},
		"the furthest is unhealthy": {map[int]*coordpb.Position{0: position(3, 6), 1: position(3, 5), 2: position(3, 5)}, 0, []uint64{100, 101, 102}},
		"too few":                   {map[int]*coordpb.Position{0: position(3, 5)}, -1, nil},
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

// A source has to have completed the epoch before the present members came, or a later one: nothing
// can have been committed in an epoch between that and the present one.
func TestSyncSourceHasCompletedRecentEpoch(t *testing.T) {
	is := is.New(t)
	v := viewOf(5, 3)
	v.MembersSince = 4
	d := decider(v)
	is.True(d.syncSource(promises(map[int]*coordpb.Position{0: position(2, 9), 1: position(1, 3)})) == nil)
	is.Equal(d.syncSource(promises(map[int]*coordpb.Position{0: position(3, 9), 1: position(1, 3)})).from.Address, "m0")
}

// A dead member is replaced by a standby once enough members have completed the epoch, and by a
// process at its address that lost its disk at once.
func TestDeadMemberIsReplacedByStandby(t *testing.T) {
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
	is.True(sameMembers(d.membersReplacing(nil, peerDraining), d.view.Members)) // nobody is dead
	run(6*time.Second, 1, 3)
	changed := d.membersReplacing(nil, peerDraining)
	is.Equal(changed[2].Identity, uint64(103))
	is.Equal(d.nextView(promises(map[int]*coordpb.Position{0: position(2, 1), 1: position(2, 1)})).MembersSince, uint64(1)) // not complete
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

// drainingHeartbeat is a heartbeat of a draining member.
func drainingHeartbeat(i int, epoch uint64) *coordpb.Message {
	m := heartbeat(i, epoch)
	m.GetHeartbeat().Leaving = true
	return m
}

// receiveHeartbeats gives a Decider heartbeats of peers for a second, the last of them at now.
func receiveHeartbeats(d *Decider, now time.Duration, all ...*coordpb.Message) {
	for at := now - time.Second; at <= now; at += 100 * time.Millisecond {
		for _, m := range all {
			d.Receive(at, m)
		}
	}
}

// The seat of a draining member goes to a standby that has caught up, while the member still
// votes and as long as enough others have completed the epoch.
func TestDrainingMemberHandsOverSeat(t *testing.T) {
	lagging := heartbeat(3, 0)
	lagging.GetHeartbeat().Position = &coordpb.Position{}
	for name, c := range map[string]struct {
		heartbeats []*coordpb.Message
		promises   map[int]*coordpb.Position
		members    []uint64
		chain      []uint64
	}{
		"a standby has caught up":         {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 9), 1: position(3, 9), 2: position(3, 9)}, []uint64{100, 101, 103}, []uint64{100, 101, 103}},
		"no standby":                      {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3)}, map[int]*coordpb.Position{0: position(3, 9), 1: position(3, 9), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{100, 101}},
		"another one is dead":             {[]*coordpb.Message{drainingHeartbeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 9), 2: position(3, 9)}, []uint64{100, 103, 102}, []uint64{100, 103}},
		"another one is dead, no standby": {[]*coordpb.Message{drainingHeartbeat(2, 3)}, map[int]*coordpb.Position{0: position(3, 9), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{100, 102}},
		"it alone has all changes":        {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 8), 1: position(3, 8), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{102, 100, 101}},
		"too few others have completed":   {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3), heartbeat(3, 3)}, map[int]*coordpb.Position{0: position(3, 9), 1: position(2, 8), 2: position(3, 9)}, []uint64{100, 101, 102}, []uint64{100, 101}},
		"the standby lags":                {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3), lagging}, map[int]*coordpb.Position{0: position(3, 900), 1: position(3, 900), 2: position(3, 900)}, []uint64{100, 101, 102}, []uint64{100, 101}},
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

// A draining process can shut down once enough others have the state, and there is no standby that
// could take its seat.
func TestCanShutDownOnceOthersHaveState(t *testing.T) {
	incomplete := heartbeat(2, 2)
	for name, c := range map[string]struct {
		members    int // of the view
		self       int
		heartbeats []*coordpb.Message
		want       bool
	}{
		"the others have all":            {3, 0, []*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3)}, true},
		"one of them does not":           {3, 0, []*coordpb.Message{heartbeat(1, 3), incomplete}, false},
		"one of them is dead":            {3, 0, []*coordpb.Message{heartbeat(1, 3)}, false},
		"a standby could take its seat":  {3, 0, []*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3), heartbeat(3, 3)}, false},
		"its seat was taken":             {3, 3, []*coordpb.Message{heartbeat(0, 3), heartbeat(1, 3), heartbeat(2, 3)}, true},
		"its seat was taken, not synced": {3, 3, []*coordpb.Message{heartbeat(0, 3), incomplete}, false},
		"all are draining":               {3, 0, []*coordpb.Message{drainingHeartbeat(1, 2), drainingHeartbeat(2, 2)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := New(Config{Self: member(c.self), Seeds: seeds, Eligible: true, Tolerance: 1, View: viewOf(3, c.members)}, 0)
			d.SetStatus(Status{Position: position(3, 0), Healthy: true, Draining: true})
			receiveHeartbeats(d, 4*time.Second, c.heartbeats...)
			is.Equal(d.CanShutDown(), c.want)
		})
	}
}

// As many members may be lost as leave a majority and a complete replica.
func TestCurrentTolerance(t *testing.T) {
	for name, c := range map[string]struct {
		heartbeats []*coordpb.Message
		want       int
	}{
		"all are healthy":      {[]*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3)}, 1},
		"one is dead":          {[]*coordpb.Message{heartbeat(1, 3)}, 0},
		"one is draining":      {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3)}, 0},
		"one lacks the state":  {[]*coordpb.Message{heartbeat(1, 3), heartbeat(2, 2)}, 1},
		"only this one has it": {[]*coordpb.Message{heartbeat(1, 2), heartbeat(2, 2)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := decider(viewOf(3, 3))
			d.SetStatus(Status{Position: position(3, 0), Healthy: true})
			receiveHeartbeats(d, 4*time.Second, c.heartbeats...)
			is.Equal(d.CurrentTolerance(), c.want)
		})
	}
}

// A member that seems healthy and didn't promise in time is tried again less and less often, as
// each attempt is another view.
func TestJoinIsRetriedLessOften(t *testing.T) {
	is := is.New(t)
	two := viewOf(3, 3)
	two.Chain = two.Chain[:2]
	d := decider(two)
	now := 4 * time.Second
	receiveHeartbeats(d, now, heartbeat(1, 3), heartbeat(2, 3))
	is.True(d.joinAllowed())
	for _, wait := range []time.Duration{joinRetryDelay, 2 * joinRetryDelay, 4 * joinRetryDelay} {
		next := viewOf(d.view.Epoch+1, 3)
		next.Chain = next.Chain[:2]
		d.learnView(next)
		d.now += wait - time.Millisecond
		is.True(!d.joinAllowed())
		d.now += time.Millisecond
		is.True(d.joinAllowed())
	}
	d.learnView(viewOf(d.view.Epoch+1, 3))
	is.True(d.joinAllowed()) // it has joined
}

// A shard stays with its owner while that is in the chain. The others go to the members with the
// fewest, which wait until the lease of the earlier owner is over.
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
	given["m0"] = &promiseFrom{&coordpb.Promise{Position: position(3, 1), IdleMs: 300}, member(0)} // it has promised, so it doesn't act any more
	is.True(d.assignShards(v, given)[0].WaitMs <= 0)
}

// The loss of as many members as are tolerated leaves one of a chain of the least length, and each
// majority has one of it.
func TestMinChainLengthSurvivesTolerance(t *testing.T) {
	for n := 1; n <= 9; n++ {
		for tolerance := 0; 2*tolerance < n; tolerance++ {
			least := MinChainLength(n, tolerance)
			if least > n-tolerance {
				t.Errorf("%d of %d members can't be had after the loss of %d", least, n, tolerance)
			}
			if least <= tolerance || least+Majority(n) <= n {
				t.Errorf("%d of %d members, %d may be lost", least, n, tolerance)
			}
		}
	}
}

// A member that falls silent is out of the chain within the sum of the time-outs, which stays below
// the bounds of the smallest deployments (contact 3 s, acknowledgement 4 s).
func TestFailoverIsBounded(t *testing.T) {
	worst := suspectTimeout + HeartbeatInterval + proposalStagger + livePromiseTimeout
	if worst > 1500*time.Millisecond {
		t.Errorf("a failover may take %v", worst)
	}
	if LeaseDuration >= suspectTimeout {
		t.Errorf("a lease of %v outlasts the time until its owner is suspected, %v", LeaseDuration, suspectTimeout)
	}
}
