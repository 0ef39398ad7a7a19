package view

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// An acceptor promises, accepts, rejects or sends the known view to the proposer, depending on its
// view and its promises.
func TestAcceptorReplies(t *testing.T) {
	three, four := viewOf(3, 3), viewOf(4, 3)
	outside := viewOf(3, 3)
	outside.Members = outside.Members[1:]
	for name, c := range map[string]struct {
		view *coordpb.View
		in   []*coordpb.Message
		want []string // effects of the last message
	}{
		"promises":                           {three, []*coordpb.Message{prepare(4, 1, 1)}, []string{"sealed", "write", "promise 1 to m1"}},
		"promises a greater number":          {three, []*coordpb.Message{prepare(4, 1, 1), prepare(4, 2, 2)}, []string{"write", "promise 2 to m2"}},
		"repeats a promise":                  {three, []*coordpb.Message{prepare(4, 1, 1), prepare(4, 1, 1)}, []string{"promise 1 to m1"}},
		"rejects a lower number":             {three, []*coordpb.Message{prepare(4, 2, 2), prepare(4, 1, 1)}, []string{"reject to m1"}},
		"accepts":                            {three, []*coordpb.Message{prepare(4, 1, 1), accept(four, 1, 1)}, []string{"write", "accepted 1 to m1"}},
		"accepts without a promise":          {three, []*coordpb.Message{accept(four, 1, 1)}, []string{"sealed", "write", "write", "accepted 1 to m1"}},
		"rejects a view with a lower number": {three, []*coordpb.Message{prepare(4, 2, 2), accept(four, 1, 1)}, []string{"reject to m1"}},
		"sends its view to a late proposer":  {three, []*coordpb.Message{prepare(3, 1, 1)}, []string{"learn 3 to m1"}},
		"ignores a later instance":           {three, []*coordpb.Message{prepare(5, 1, 1)}, nil},
		"isn't a member":                     {outside, []*coordpb.Message{prepare(4, 1, 1)}, nil},
		"ignores a view of another epoch":    {three, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Accept{Accept: &coordpb.Accept{Instance: 4, Ballot: proposalNumber(1, 1), View: three}}})}, nil},
		"learns a newer view":                {three, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: four}}})}, []string{"write", "decided 4"}},
		"ignores an older view":              {four, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: three}}})}, nil},
		"ignores a prepare without a number": {three, []*coordpb.Message{from(1, &coordpb.Message{Body: &coordpb.Message_Prepare{Prepare: &coordpb.Prepare{Instance: 4}}})}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := decider(c.view)
			var got []string
			for _, m := range c.in {
				effects, ok := d.Receive(time.Millisecond, m)
				if !ok {
					t.Fatal("Receive does not handle a message of this type")
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

// After a restart an acceptor still honors its earlier promise, and reports the view that it
// accepted earlier.
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
