package quorum

import (
	"encoding/json"
	"reflect"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/router/lease"
	"reachspread/internal/testbed/golden"
)

func goldenMessages() map[string]*message {
	nodes := []Node{{ID: 1 << 50, Name: "router-1", Zone: "north"}, {ID: 2, Name: "router-2"}}
	raft := &raftpb.Message{Type: raftpb.MsgApp.Enum(), To: proto.Uint64(2), From: proto.Uint64(1 << 50), Term: proto.Uint64(7), LogTerm: proto.Uint64(6), Index: proto.Uint64(300),
		Entries: []*raftpb.Entry{{Type: raftpb.EntryNormal.Enum(), Term: proto.Uint64(7), Index: proto.Uint64(301), Data: []byte("text")}}, Commit: proto.Uint64(299)}
	return map[string]*message{
		"raft": {V: wireVersion, Group: 1 << 21, From: nodes[0], To: 2, Starts: 3, Boot: 0xfedcba98, Raft: marshal(raft)},
		"hello": {V: wireVersion, Group: 1 << 21, From: nodes[0], To: 2, Starts: 3, Boot: 4, Hello: &hello{Stage: Voting, Term: 7, LastTerm: 6, LastIndex: 300, HighestToken: 1 << 40, Members: nodes,
			Voters: []uint64{1 << 50, 2}, Applied: 299, Leader: "router-1", WantsReply: true, ReplyToStore: 2, ReplyToBoot: 5, ReplyToStarts: 6, Stale: "its log is shorter"}},
		"least": {V: wireVersion, From: Node{Name: "r"}, Starts: 1, Boot: 1, Hello: &hello{Stage: Verifying}},
	}
}

// Messages between voters are encoded to the same bytes as at commit 5bfcc27, and decoded from them.
func TestMessagesKeepTheirBytes(t *testing.T) {
	names := []string{"raft", "hello", "least"}
	messages := goldenMessages()
	var records []golden.Record
	for _, name := range names {
		records = append(records, golden.Record{Name: name, Data: messages[name].encode()})
	}
	data := golden.Check(t, "messages", records)
	for _, name := range names {
		if got, err := decode(data[name]); err != nil || !reflect.DeepEqual(got, messages[name]) {
			t.Errorf("message %s decodes to %+v, want %+v (error: %v)", name, got, messages[name], err)
		}
		if from, err := SenderOf(data[name]); err != nil || from != messages[name].From.Name {
			t.Errorf("message %s has sender %q, want %q (error: %v)", name, from, messages[name].From.Name, err)
		}
	}
	m, err := decodeRaft(messages["raft"].Raft)
	if err != nil || m.GetTerm() != 7 || m.GetIndex() != 300 || len(m.GetEntries()) != 1 || string(m.GetEntries()[0].GetData()) != "text" {
		t.Errorf("the engine's message decodes to unexpected %v (error: %v)", m, err)
	}
}

// Proposals, the content of snapshots, and Meta are encoded to the same bytes as at commit 5bfcc27,
// and decoded from them. Voters store these values and send proposals and snapshots to each other.
func TestProposalsAndSnapshotsKeepTheirBytes(t *testing.T) {
	with := lease.Role{Name: "reports", MaxHolders: 2, PreferredZones: []string{"north", "south"}, ByZone: true}
	p := proposal{Number: 1 << 40, Command: lease.Command{Kind: lease.DefineRole, Role: "reports@south", Router: lease.Router{Name: "router-1", Boot: 0xfedcba98, Zone: "south"}, Token: 9, Renewals: 10,
		To: "router-2", Definition: &with}}
	table, err := lease.NewTable([]lease.Role{with, {Name: "scribe"}}, 1<<40)
	if err != nil {
		t.Fatal(err)
	}
	for i, c := range []lease.Command{
		{Kind: lease.Acquire, Role: "scribe", Router: lease.Router{Name: "router-1", Boot: 1, Zone: "north"}},
		{Kind: lease.Acquire, Role: "scribe", Router: lease.Router{Name: "router-2", Boot: 2, Zone: "south"}},
		{Kind: lease.Acquire, Role: "reports@south", Router: lease.Router{Name: "router-2", Boot: 2, Zone: "south"}},
		{Kind: lease.Acquire, Role: "reports@south", Router: lease.Router{Name: "router-3", Boot: 3, Zone: "south"}},
		{Kind: lease.Acquire, Role: "reports@south", Router: lease.Router{Name: "router-4", Boot: 4, Zone: "south"}},
		{Kind: lease.Transfer, Role: "reports@south", Router: lease.Router{Name: "router-3", Boot: 3, Zone: "south"}, Token: 1<<40 + 3, To: "router-5"},
		{Kind: lease.RequestTransfer, Role: "scribe", Token: 1<<40 + 1, To: lease.AnyRouter},
	} {
		if a, _ := table.Apply(uint64(i+1), c); !a.OK && !a.Queued {
			t.Errorf("command %d was refused: %s", i, a.Refusal)
		}
	}
	snapshot := snapshotContent{Members: []Node{{ID: 1 << 50, Name: "router-1", Zone: "north"}}, Table: table.State()}
	meta := Meta{Version: 1, ID: 1 << 50, Name: "router-1", Group: 1 << 21, Starts: 3, Members: snapshot.Members, Voters: []uint64{1 << 50}, HighestToken: 1 << 40,
		StoreRecords: map[uint64]StoreRecord{2: {Starts: 1, Term: 2, Boot: 3, LastTerm: 4, LastIndex: 5}}}
	var records []golden.Record
	for _, x := range []struct {
		name  string
		value any
	}{{"proposal", p}, {"snapshot", snapshot}, {"meta", meta}} {
		text, err := json.Marshal(x.value)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, golden.Record{Name: x.name, Data: text})
	}
	data := golden.Check(t, "agreed", records)
	for _, x := range []struct {
		name       string
		read, want any
	}{{"proposal", &proposal{}, &p}, {"snapshot", &snapshotContent{}, &snapshot}, {"meta", &Meta{}, &meta}} {
		if err := json.Unmarshal(data[x.name], x.read); err != nil {
			t.Fatal(err)
		}
		if again, err := json.Marshal(x.read); err != nil || string(again) != string(data[x.name]) {
			t.Errorf("%s decodes to %+v, want %+v (error: %v)", x.name, x.read, x.want, err)
		}
	}
	var got proposal
	if err := json.Unmarshal(data["proposal"], &got); err != nil || !reflect.DeepEqual(got, p) {
		t.Errorf("the proposal decodes to %+v, want %+v (error: %v)", got, p, err)
	}
}
