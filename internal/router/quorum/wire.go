package quorum

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/router/lease"
)

const wireVersion = 1

// message is what goes between routers that may vote. A hello has no Raft.
type message struct {
	V      int    `json:"v"`
	Group  uint64 `json:"g"`
	From   Node   `json:"f"`
	To     uint64 `json:"t,omitempty"` // a store
	Starts uint64 `json:"s"`
	Boot   uint32 `json:"b"`
	Raft   []byte `json:"r,omitempty"`
	Hello  *hello `json:"h,omitempty"`
}

// hello is what a router says of its store, and of the one that it answers.
type hello struct {
	Stage               Stage
	Term                uint64
	LastTerm, LastIndex uint64
	HighestToken        uint64   `json:"Token"`
	Members             []Node   `json:"Nodes,omitempty"`
	Voters              []uint64 `json:",omitempty"`
	Applied             uint64
	Leader              string `json:",omitempty"`
	WantsReply          bool   `json:"Wants,omitempty"`  // an answer
	ReplyToStore        uint64 `json:"Of,omitempty"`     // the store that it answers
	ReplyToBoot         uint32 `json:"OfBoot,omitempty"` // and the process, and its start of the store: an answer to an earlier one says nothing
	ReplyToStarts       uint64 `json:"OfStart,omitempty"`
	Stale               string `json:"Older,omitempty"` // why that store is an older copy; empty for none
}

func (m *message) encode() []byte {
	m.V = wireVersion
	b, _ := json.Marshal(m) // of plain fields
	return b
}

func decode(b []byte) (*message, error) {
	if len(b) > MaxMessageBytes {
		return nil, fmt.Errorf("%d bytes; there may be %d", len(b), MaxMessageBytes)
	}
	m := &message{}
	if err := json.Unmarshal(b, m); err != nil {
		return nil, err
	}
	if m.V != wireVersion {
		return nil, fmt.Errorf("version %d, not %d", m.V, wireVersion)
	}
	return m, nil
}

// FromOf is the name of who sent a message, as it says itself.
func SenderOf(b []byte) (string, error) {
	m, err := decode(b)
	if err != nil {
		return "", err
	}
	return m.From.Name, nil
}

// proposal is a command on its way into the log.
type proposal struct {
	Number  uint64        `json:"N"` // by which the leader finds who waits
	Command lease.Command `json:"C"`
}

// state is a snapshot's content.
type snapshotContent struct {
	Members []Node `json:"Nodes"`
	Table   lease.State
}

func marshal(m proto.Message) []byte {
	b, _ := proto.Marshal(m) // of messages that the engine made
	return b
}

func decodeRaft(b []byte) (*raftpb.Message, error) {
	m := &raftpb.Message{}
	return m, proto.Unmarshal(b, m)
}
