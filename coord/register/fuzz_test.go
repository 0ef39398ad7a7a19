package register_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/coord/register"
	"reachspread/coord/simulation"
)

// No message makes a Core panic, whatever state the Core is in.
func FuzzCoreReceives(f *testing.F) {
	self := &coordpb.Member{Identity: 1, Address: "a"}
	other := &coordpb.Member{Identity: 2, Address: "b"}
	view := &coordpb.View{Epoch: 1, Members: []*coordpb.Member{self, other}, Chain: []uint64{1, 2}}
	seeds := []*coordpb.Message{
		{From: other, Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: view}}},
		{From: other, Body: &coordpb.Message_Heartbeat{Heartbeat: &coordpb.Heartbeat{Epoch: 1, View: view, Founder: true}}},
		{From: other, Body: &coordpb.Message_Prepare{Prepare: &coordpb.Prepare{Instance: 2, Ballot: &coordpb.Ballot{Round: 3, Proposer: 2}, View: view}}},
		{From: other, Body: &coordpb.Message_Accept{Accept: &coordpb.Accept{Instance: 2, Ballot: &coordpb.Ballot{Round: 3, Proposer: 2}, View: view}}},
		{From: other, Body: &coordpb.Message_Append{Append: &coordpb.Append{Epoch: 1, Sequence: 1, Change: []byte("x")}}},
		{From: other, Body: &coordpb.Message_Sync{Sync: &coordpb.Sync{Epoch: 1}}},
		{From: other, Body: &coordpb.Message_Snapshot{Snapshot: &coordpb.Snapshot{Epoch: 1, State: []byte("{}")}}},
		{From: other, Body: &coordpb.Message_Submit{Submit: &coordpb.Submit{Id: 1, Order: []byte("x")}}},
		{From: other, Body: &coordpb.Message_Confirm{Confirm: &coordpb.Confirm{Epoch: 1, Nonce: 1}}},
	}
	for i, m := range seeds {
		first, _ := proto.Marshal(seeds[0])
		data, _ := proto.Marshal(m)
		f.Add(first, data, i%2 == 0)
	}
	f.Fuzz(func(t *testing.T, first, second []byte, founder bool) {
		core := register.NewCore(register.Config{Self: self, Seeds: []string{"a", "b"}, Founder: founder, Eligible: true, Tolerance: 1}, simulation.Counter{}.New(), 0)
		now := time.Duration(0)
		for _, data := range [][]byte{first, second, first} {
			m := &coordpb.Message{}
			if proto.Unmarshal(data, m) != nil || m.From == nil {
				continue // the code that reads messages from the network drops these too
			}
			now += 100 * time.Millisecond
			core.Receive(now, m)
			core.Tick(now)
			_, upTo := core.PendingRecords()
			core.RecordsWritten(upTo, now)
			core.Durable()
		}
	})
}
