package chain

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// list is a machine whose state is a list of words. It rejects a command that begins with "!". A
// command with a word that is already in the list changes nothing.
type list struct{ words []string }

func (l *list) Decide(command []byte) (change, reply []byte) {
	switch word := string(command); {
	case strings.HasPrefix(word, "!"):
		return nil, []byte("refused")
	case slices.Contains(l.words, word):
		return nil, []byte("taken before")
	}
	return command, []byte("taken")
}
func (l *list) Apply(change []byte) { l.words = append(l.words, string(change)) }
func (l *list) Snapshot() []byte    { return []byte(strings.Join(l.words, ",")) }
func (l *list) Restore(s []byte) error {
	l.words = nil
	if len(s) > 0 {
		l.words = strings.Split(string(s), ",")
	}
	return nil
}
func (l *list) Value() any { return string(l.Snapshot()) }

func member(i int) *coordpb.Member {
	return &coordpb.Member{Address: fmt.Sprintf("m%d", i), Identity: uint64(100 + i)}
}

// chainOf returns a view of three members, some of which form the chain in the given order.
func chainOf(epoch uint64, order ...int) *coordpb.View {
	v := &coordpb.View{Epoch: epoch, MembersSince: 1}
	for i := range 3 {
		v.Members = append(v.Members, member(i))
	}
	for _, i := range order {
		v.Chain = append(v.Chain, member(i).Identity)
	}
	return v
}

// replica returns the replica of member i and its machine, which has some words.
func replica(i int, words ...string) (*Replica, *list) {
	l := &list{words: words}
	return New(member(i), l, &coordpb.Position{StateEpoch: 1, Sequence: uint64(len(words)), EntryEpoch: 1}, 0), l
}

func from(i int, m *coordpb.Message) *coordpb.Message {
	m.From = member(i)
	return m
}

// describe returns the effects of a call as text.
func describe(effects []Effect) (all []string) {
	for _, e := range effects {
		switch e := e.(type) {
		case Write:
			all = append(all, "write")
		case Committed:
			all = append(all, fmt.Sprint("committed ", e.Position.Sequence, " ", e.Value))
		case Send:
			name := strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", e.Message.Body), "*coordpb.Message_"))
			if r := e.Message.GetReply(); r != nil {
				name += " " + string(r.Reply)
			}
			all = append(all, name+" to "+e.To)
		}
	}
	return all
}

func synced(epoch uint64) *coordpb.Message {
	return &coordpb.Message{Body: &coordpb.Message_Synced{Synced: &coordpb.Synced{Epoch: epoch}}}
}

func sync(epoch, sequence, entry uint64) *coordpb.Message {
	return &coordpb.Message{Body: &coordpb.Message_Sync{Sync: &coordpb.Sync{Epoch: epoch, Position: &coordpb.Position{Sequence: sequence, EntryEpoch: entry}}}}
}

func submit(id uint64, command string) *coordpb.Message {
	return &coordpb.Message{From: &coordpb.Member{Address: "client"}, Body: &coordpb.Message_Submit{Submit: &coordpb.Submit{Id: id, Order: []byte(command)}}}
}

func appendOf(epoch, sequence, previous uint64, change string) *coordpb.Message {
	return &coordpb.Message{Body: &coordpb.Message_Append{Append: &coordpb.Append{Epoch: epoch, Sequence: sequence, PreviousEpoch: previous, Change: []byte(change),
		Origin: &coordpb.Origin{Address: "client", Id: 7}, Reply: []byte("taken")}}}
}

func commit(epoch, sequence uint64) *coordpb.Message {
	return &coordpb.Message{Body: &coordpb.Message_Commit{Commit: &coordpb.Commit{Epoch: epoch, Sequence: sequence}}}
}

func confirmed(epoch, nonce uint64) *coordpb.Message {
	return &coordpb.Message{Body: &coordpb.Message_Confirmed{Confirmed: &coordpb.Confirmed{Epoch: epoch, Nonce: nonce}}}
}

// receive delivers messages to a replica and returns the effects of the last one as text.
func receive(t *testing.T, r *Replica, all ...*coordpb.Message) []string {
	t.Helper()
	var got []string
	for _, m := range all {
		effects, ok := r.Receive(time.Millisecond, m)
		if !ok {
			t.Fatalf("Receive does not handle a message with a %T", m.Body)
		}
		got = describe(effects)
	}
	return got
}

// At the beginning of an epoch the head has the state. Each other member takes the state from its
// predecessor, and reports that it is synced once all members behind it are.
func TestEpochBeginsWithSync(t *testing.T) {
	is := is.New(t)
	head, _ := replica(0, "a")
	is.Equal(describe(head.BeginEpoch(0, chainOf(2, 0, 1, 2))), []string{"write", "sync to m1"})
	is.Equal(receive(t, head, submit(1, "b")), nil) // the head waits until all members are synced
	is.Equal(receive(t, head, from(1, synced(2))), []string{"committed 1 a", "write", "append to m1"})

	middle, _ := replica(1, "a")
	middle.BeginEpoch(0, chainOf(2, 0, 1, 2))
	is.Equal(receive(t, middle, from(0, sync(2, 1, 1))), []string{"write", "sync to m2"})
	is.Equal(receive(t, middle, from(2, synced(2))), []string{"committed 1 a", "synced to m0"})
	is.Equal(receive(t, middle, from(0, sync(2, 1, 1))), []string{"synced to m0"}) // the head repeats its Sync if the first Synced was lost

	tail, machine := replica(2, "x", "y")
	tail.BeginEpoch(0, chainOf(2, 0, 1, 2))
	is.Equal(receive(t, tail, from(1, sync(2, 1, 1))), []string{"need to m1"}) // the tail has another state
	snapshot := &coordpb.Message{Body: &coordpb.Message_Snapshot{Snapshot: &coordpb.Snapshot{Epoch: 2, Position: &coordpb.Position{StateEpoch: 2, Sequence: 1, EntryEpoch: 1}, State: []byte("a")}}}
	is.Equal(receive(t, tail, from(1, snapshot)), []string{"write", "committed 1 a", "synced to m1"})
	is.Equal(machine.words, []string{"a"})
	is.True(tail.Readable())
}

// A Sync that arrives before the view of its epoch is handled once the view arrives.
func TestSyncBeforeItsViewCounts(t *testing.T) {
	is := is.New(t)
	r, _ := replica(1, "a")
	is.Equal(receive(t, r, from(0, sync(2, 1, 1))), nil)
	is.Equal(describe(r.BeginEpoch(0, chainOf(2, 0, 1))), []string{"write", "committed 1 a", "synced to m0"})
}

// active returns the replica of member i in a synced chain.
func active(t *testing.T, i int) *Replica {
	t.Helper()
	r, _ := replica(i, "a")
	r.BeginEpoch(0, chainOf(2, 0, 1, 2))
	switch i {
	case 0:
		receive(t, r, from(1, synced(2)))
	case 1:
		receive(t, r, from(0, sync(2, 1, 1)), from(2, synced(2)))
	case 2:
		receive(t, r, from(1, sync(2, 1, 1)))
	}
	return r
}

// The head, a middle member and the tail react to messages according to their role in the chain.
func TestHeadMiddleAndTailHandleMessages(t *testing.T) {
	for name, c := range map[string]struct {
		at   int
		in   []*coordpb.Message
		want []string
	}{
		"head replicates a command":                    {0, []*coordpb.Message{submit(1, "b")}, []string{"write", "append to m1"}},
		"head replicates one change at a time":         {0, []*coordpb.Message{submit(1, "b"), submit(2, "c")}, nil},
		"head replicates the next after a commit":      {0, []*coordpb.Message{submit(1, "b"), submit(2, "c"), from(2, commit(2, 2))}, []string{"committed 2 a,b", "write", "append to m1"}},
		"head ignores a pending command":               {0, []*coordpb.Message{submit(1, "b"), submit(1, "b")}, nil},
		"head confirms before a rejection":             {0, []*coordpb.Message{submit(1, "!b")}, []string{"confirm to m1", "confirm to m2"}},
		"head rejects":                                 {0, []*coordpb.Message{submit(1, "!b"), from(1, confirmed(2, 1))}, []string{"reply refused to client"}},
		"head has committed the command before":        {0, []*coordpb.Message{submit(1, "a"), from(2, confirmed(2, 1))}, []string{"reply taken before to client"}},
		"an old confirmation":                          {0, []*coordpb.Message{submit(1, "!b"), from(1, confirmed(2, 9))}, nil},
		"a confirmation of another epoch":              {0, []*coordpb.Message{submit(1, "!b"), from(1, confirmed(1, 1))}, nil},
		"middle redirects a command":                   {1, []*coordpb.Message{submit(1, "b")}, []string{"redirect to client"}},
		"middle forwards a change":                     {1, []*coordpb.Message{from(0, appendOf(2, 2, 1, "b"))}, []string{"write", "append to m2"}},
		"middle forwards a repeated change again":      {1, []*coordpb.Message{from(0, appendOf(2, 2, 1, "b")), from(0, appendOf(2, 2, 1, "b"))}, []string{"append to m2"}},
		"middle has missed a change":                   {1, []*coordpb.Message{from(0, appendOf(2, 3, 2, "c"))}, []string{"need to m0"}},
		"middle takes changes of its predecessor only": {1, []*coordpb.Message{from(2, appendOf(2, 2, 1, "b"))}, nil},
		"middle takes changes of its epoch only":       {1, []*coordpb.Message{from(0, appendOf(1, 2, 1, "b"))}, nil},
		"middle learns of a commit":                    {1, []*coordpb.Message{from(0, appendOf(2, 2, 1, "b")), from(2, commit(2, 2))}, []string{"committed 2 a,b"}},
		"a commit of an unknown change":                {1, []*coordpb.Message{from(2, commit(2, 2))}, nil},
		"a commit not sent by the tail":                {1, []*coordpb.Message{from(0, appendOf(2, 2, 1, "b")), from(0, commit(2, 2))}, nil},
		"tail commits and answers":                     {2, []*coordpb.Message{from(1, appendOf(2, 2, 1, "b"))}, []string{"write", "reply taken to client", "commit to m0", "commit to m1", "commit to m2"}},
		"tail confirms before a read":                  {2, []*coordpb.Message{{From: member(1), Body: &coordpb.Message_Read{Read: &coordpb.Read{Id: 1}}}}, []string{"confirm to m0", "confirm to m1"}},
		"tail answers a read":                          {2, []*coordpb.Message{{From: member(1), Body: &coordpb.Message_Read{Read: &coordpb.Read{Id: 1}}}, from(0, confirmed(2, 1))}, []string{"reply a to m1"}},
		"middle redirects a read":                      {1, []*coordpb.Message{{From: member(0), Body: &coordpb.Message_Read{Read: &coordpb.Read{Id: 1}}}}, []string{"redirect to m0"}},
		"a member confirms its epoch":                  {1, []*coordpb.Message{from(0, &coordpb.Message{Body: &coordpb.Message_Confirm{Confirm: &coordpb.Confirm{Epoch: 2, Nonce: 5}}})}, []string{"confirmed to m0"}},
		"a member does not confirm another epoch":      {1, []*coordpb.Message{from(0, &coordpb.Message{Body: &coordpb.Message_Confirm{Confirm: &coordpb.Confirm{Epoch: 1, Nonce: 5}}})}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if got := receive(t, active(t, c.at), c.in...); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// A member that has promised to leave an epoch takes no further part in it.
func TestSealedMemberDoesNothingInEpoch(t *testing.T) {
	is := is.New(t)
	for i := range 3 {
		r := active(t, i)
		r.Seal()
		is.Equal(receive(t, r, submit(1, "b")), []string{"redirect to client"})
		is.Equal(receive(t, r, from(max(i-1, 0), appendOf(2, 2, 1, "b"))), nil)
		is.Equal(receive(t, r, from(1, &coordpb.Message{Body: &coordpb.Message_Confirm{Confirm: &coordpb.Confirm{Epoch: 2, Nonce: 5}}})), nil)
		is.True(!r.Readable())
		_, ok := r.ConfirmedAt()
		is.True(!ok)
	}
}

// A member that restarts takes no further part in its epoch, and reports the chain as stalled so
// that another view is chosen.
func TestRestartedMemberCallsForAnotherEpoch(t *testing.T) {
	is := is.New(t)
	r, _ := replica(1, "a")
	r.Resume(chainOf(2, 0, 1, 2), false)
	is.Equal(receive(t, r, from(0, sync(2, 1, 1))), nil)
	is.True(r.Stalled())
	is.Equal(len(r.Confirmations()), 3) // it may have confirmed the epoch to any member just before the restart
	is.True(r.Idle() > 0)
	r.BeginEpoch(0, chainOf(3, 0, 1, 2))
	is.True(!r.Stalled())
	is.Equal(r.Idle(), time.Duration(0))
	outside, _ := replica(1, "a")
	outside.Resume(chainOf(2, 0, 2), false)
	is.True(!outside.Stalled())
}

// A member resends messages that aren't answered, and reports a chain without progress as stalled.
func TestUnansweredMessagesAreResent(t *testing.T) {
	is := is.New(t)
	r := active(t, 0)
	receive(t, r, submit(1, "b"))
	is.True(!slices.Contains(describe(r.Tick(ResendInterval/2)), "append to m1"))
	is.True(slices.Contains(describe(r.Tick(2*ResendInterval)), "append to m1"))
	is.True(!r.Stalled())
	r.Tick(2 * stallTimeout)
	is.True(r.Stalled())
	receive(t, r, from(2, commit(2, 2)))
	is.True(!r.Stalled())
	begun, _ := replica(0, "a")
	begun.BeginEpoch(0, chainOf(2, 0, 1))
	is.True(slices.Contains(describe(begun.Tick(2*ResendInterval)), "sync to m1"))
	begun.Tick(2 * stallTimeout)
	is.True(begun.Stalled())
}

// When an epoch begins, a former head redirects the clients whose commands still wait.
func TestWaitingClientsAreRedirectedAtNewEpoch(t *testing.T) {
	is := is.New(t)
	r := active(t, 0)
	receive(t, r, submit(1, "b"), submit(2, "c"), submit(3, "!d"))
	r.Seal()
	is.Equal(describe(r.BeginEpoch(0, chainOf(3, 1, 2))), []string{"redirect to client", "redirect to client"})
}

// The head redirects commands that exceed the limit of its queue.
func TestCommandQueueIsBounded(t *testing.T) {
	is := is.New(t)
	r := active(t, 0)
	for i := range uint64(MaxQueuedCommands + 1) {
		receive(t, r, submit(i, fmt.Sprint("w", i)))
	}
	is.Equal(receive(t, r, submit(9999, "one more")), []string{"redirect to client"})
}

// The only member of a chain is both its head and its tail.
func TestChainOfOne(t *testing.T) {
	is := is.New(t)
	v := &coordpb.View{Epoch: 1, Members: []*coordpb.Member{member(0)}, Chain: []uint64{100}}
	r, _ := replica(0)
	is.Equal(describe(r.BeginEpoch(0, v)), []string{"committed 0 "})
	is.Equal(receive(t, r, submit(1, "a")), []string{"write", "reply taken to client", "commit to m0"})
	is.Equal(receive(t, r, from(0, commit(1, 1))), []string{"committed 1 a"})
	is.Equal(receive(t, r, submit(2, "!x")), []string{"reply refused to client"})
}
