package quorum

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/router/lease"
)

// wireVersion is the version of the messages between candidates.
const wireVersion = 1

// message is a message between candidates. It contains either a hello or a message of the engine.
type message struct {
	V      int    `json:"v"`
	Group  uint64 `json:"g"`
	From   Node   `json:"f"`
	To     uint64 `json:"t,omitempty"` // ID of the receiver's store
	Starts uint64 `json:"s"`           // number of processes that have used the sender's store
	Boot   uint32 `json:"b"`           // boot number of the sender's process
	Raft   []byte `json:"r,omitempty"`
	Hello  *hello `json:"h,omitempty"`
}

// hello describes a candidate's store. In a reply it also says what the candidate knows of the
// store whose hello it answers.
type hello struct {
	Stage               Stage
	Term                uint64
	LastTerm, LastIndex uint64   // of the last entry of the store's log
	HighestToken        uint64   `json:"Token"`
	Members             []Node   `json:"Nodes,omitempty"`
	Voters              []uint64 `json:",omitempty"`
	Applied             uint64
	Leader              string `json:",omitempty"`
	WantsReply          bool   `json:"Wants,omitempty"`
	// ReplyToStore, ReplyToBoot and ReplyToStarts identify the store, the process and the start of
	// the store to which this hello replies. A process ignores replies to an earlier process.
	ReplyToStore  uint64 `json:"Of,omitempty"`
	ReplyToBoot   uint32 `json:"OfBoot,omitempty"`
	ReplyToStarts uint64 `json:"OfStart,omitempty"`
	Stale         string `json:"Older,omitempty"` // why the store ReplyToStore is an older copy; empty if it is not
}

func (m *message) encode() []byte {
	m.V = wireVersion
	b, _ := json.Marshal(m) // cannot fail: all fields have types that JSON can encode
	return b
}

func decode(b []byte) (*message, error) {
	if len(b) > MaxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes; the limit is %d", len(b), MaxMessageBytes)
	}
	m := &message{}
	if err := json.Unmarshal(b, m); err != nil {
		return nil, err
	}
	if m.V != wireVersion {
		return nil, fmt.Errorf("message has version %d, want %d", m.V, wireVersion)
	}
	return m, nil
}

// SenderOf returns the name of the candidate that sent a message. The name is the sender's claim and
// is not verified.
func SenderOf(b []byte) (string, error) {
	m, err := decode(b)
	if err != nil {
		return "", err
	}
	return m.From.Name, nil
}

// proposal is the content of a log entry that contains a command.
type proposal struct {
	Number  uint64        `json:"N"` // key of the request in the leader's pending requests
	Command lease.Command `json:"C"`
}

// snapshotContent is the content of a snapshot of the log.
type snapshotContent struct {
	Members []Node `json:"Nodes"`
	Table   lease.State
}

func marshal(m proto.Message) []byte {
	b, _ := proto.Marshal(m) // cannot fail for messages that the engine made
	return b
}

func decodeRaft(b []byte) (*raftpb.Message, error) {
	m := &raftpb.Message{}
	return m, proto.Unmarshal(b, m)
}
