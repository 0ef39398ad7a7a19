package node

import (
	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/coord/link"
	"reachspread/internal/system/message"
)

// Kinds of messages on the link between routers.
const (
	registerMessages link.Kind = 1 // messages of the replicated register
	routerMessages   link.Kind = 2 // all other messages, as envelopes
)

// receiveLink dispatches a message from the link. It drops a message that it can't decode.
func (n *Node) receiveLink(kind link.Kind, data []byte) {
	switch kind {
	case registerMessages:
		m := &coordpb.Message{}
		if proto.Unmarshal(data, m) == nil && m.From != nil {
			n.deliverToRegister(m)
		}
	case routerMessages:
		m := &message.Envelope{}
		if proto.Unmarshal(data, m) == nil && !n.quotas.receive(m) {
			n.hub.post(func() { n.hub.receiveEnvelope(m) })
		}
	}
}

// deliverToRegister passes a message to the register client, or to the replica if the client does
// not accept it.
func (n *Node) deliverToRegister(m *coordpb.Message) {
	if !n.client.Receive(m) && n.replica != nil {
		n.replica.Receive(m)
	}
}

// sendToRegister sends a register message to an address, which may be this router's own. It does
// not block. The message may be lost.
func (n *Node) sendToRegister(to string, m *coordpb.Message) {
	if to == n.self.internal() {
		n.deliverToRegister(proto.Clone(m).(*coordpb.Message))
		return
	}
	data, err := proto.Marshal(m)
	if err == nil {
		n.link.Send(to, registerMessages, data)
	}
}

// send sends a message to another router. It does not block. The message may be lost.
func (n *Node) send(to string, m *message.Envelope) {
	n.link.Send(to, routerMessages, marshalEnvelope(m))
}

func marshalEnvelope(m *message.Envelope) []byte {
	data, _ := proto.Marshal(m)
	return data
}
