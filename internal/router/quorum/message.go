package quorum

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/router/lease"
)

// wireVersion is that of messages between candidates.
const wireVersion = 1

// message goes between candidates: a hello or a message of the engine.
type message struct {
	V      int    `json:"v"`
	Group  uint64 `json:"g"`
	From   Node   `json:"f"`
	To     uint64 `json:"t,omitempty"` // a store
	Starts uint64 `json:"s"`           // of the sender's store
	Boot   uint32 `json:"b"`           // of the sender's process
	Raft   []byte `json:"r,omitempty"`
	Hello  *hello `json:"h,omitempty"`
}

// hello describes a candidate's store and, in a reply, says what it knows of the store that the
// reply is to.
type hello struct {
	Stage               Stage
	Term                uint64
	LastTerm, LastIndex uint64   // of its log
	HighestToken        uint64   `json:"Token"`
	Members             []Node   `json:"Nodes,omitempty"`
	Voters              []uint64 `json:",omitempty"`
	Applied             uint64
	Leader              string `json:",omitempty"`
	WantsReply          bool   `json:"Wants,omitempty"`
	// The store, the process and the start of the store that a reply is to: one to an earlier
	// process says nothing.
	ReplyToStore  uint64 `json:"Of,omitempty"`
	ReplyToBoot   uint32 `json:"OfBoot,omitempty"`
	ReplyToStarts uint64 `json:"OfStart,omitempty"`
	Stale         string `json:"Older,omitempty"` // why that store is an older copy; empty if it isn't
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

// SenderOf returns the name of the candidate that sent a message, as it says itself.
func SenderOf(b []byte) (string, error) {
	m, err := decode(b)
	if err != nil {
		return "", err
	}
	return m.From.Name, nil
}

// proposal is the content of a log entry.
type proposal struct {
	Number  uint64        `json:"N"` // by which the leader finds the pending request
	Command lease.Command `json:"C"`
}

// snapshotContent is the content of a snapshot of the log.
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
