package view

import (
	"fmt"
	"time"

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

func position(epoch, sequence uint64) *coordpb.Position {
	return &coordpb.Position{StateEpoch: epoch, Sequence: sequence, EntryEpoch: epoch}
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
