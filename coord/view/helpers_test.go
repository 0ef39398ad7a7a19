package view

import (
	"fmt"
	"time"

	"reachspread/coord/coordpb"
)

// member returns the member at address i, with the first identity used there.
func member(i int) *coordpb.Member {
	return &coordpb.Member{Address: fmt.Sprintf("m%d", i), Identity: uint64(100 + i)}
}

var seeds = []string{"m0", "m1", "m2"}

// viewOf returns a view whose members and chain are the first n members.
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

// decider returns the Decider of the first member, which knows view v.
func decider(v *coordpb.View) *Decider {
	return New(Config{Self: member(0), Seeds: seeds, Eligible: true, Tolerance: 1, View: v}, 0)
}

func proposalNumber(round uint64, i int) *coordpb.Ballot {
	return &coordpb.Ballot{Round: round, Proposer: member(i).Identity}
}

func position(epoch, sequence uint64) *coordpb.Position {
	return &coordpb.Position{StateEpoch: epoch, Sequence: sequence, EntryEpoch: epoch}
}

// promises returns the promises of healthy members, by address. It takes the position of each
// member by index.
func promises(positions map[int]*coordpb.Position) map[string]*promiseFrom {
	all := map[string]*promiseFrom{}
	for i, p := range positions {
		m := member(i)
		all[m.Address] = &promiseFrom{&coordpb.Promise{Position: p, Healthy: true}, m}
	}
	return all
}

// from sets member i as the sender of a message.
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

// heartbeat returns a heartbeat of member i, which is healthy and has completed an epoch.
func heartbeat(i int, epoch uint64) *coordpb.Message {
	return from(i, &coordpb.Message{Body: &coordpb.Message_Heartbeat{Heartbeat: &coordpb.Heartbeat{Epoch: epoch, Healthy: true, Eligible: true,
		Founder: true, Heard: []uint64{100, 101, 102, 103}, Position: &coordpb.Position{StateEpoch: epoch}}}})
}

// drainingHeartbeat returns the heartbeat of a draining member.
func drainingHeartbeat(i int, epoch uint64) *coordpb.Message {
	m := heartbeat(i, epoch)
	m.GetHeartbeat().Leaving = true
	return m
}

// receiveHeartbeats delivers heartbeats to a Decider every 100 ms for one second, the last of them
// at now.
func receiveHeartbeats(d *Decider, now time.Duration, all ...*coordpb.Message) {
	for at := now - time.Second; at <= now; at += 100 * time.Millisecond {
		for _, m := range all {
			d.Receive(at, m)
		}
	}
}

// describe returns the effects of a call as text, without heartbeats.
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
