package peering

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"reachspread/coord/link"
	"reachspread/internal/router/quorum"
)

// lineKind is the kind of all messages between routers that may vote.
const voterMessage link.Kind = 1

// lines carry messages between routers that may vote.
type voterLink struct {
	link      atomic.Pointer[link.Link] // nil until it listens
	addresses map[string]string         // addresses of the others, by their names
	receive   func(data []byte)
}

func newVoterLink(to map[string]string, hear func([]byte)) *voterLink {
	return &voterLink{addresses: to, receive: hear}
}

// listening tells whether the lines are open.
func (l *voterLink) listening() bool { return l.link.Load() != nil }

// listen opens the address, and carries messages until ctx ends.
func (l *voterLink) listen(ctx context.Context, address string) error {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return fmt.Errorf("the address for voters: %w", err)
	}
	carrier := link.New(at.AddrPort(), l.handleFrame)
	if err := carrier.Start(ctx); err != nil {
		return err
	}
	l.link.Store(carrier)
	return nil
}

// take takes in a message of another voter.
func (l *voterLink) handleFrame(kind link.Kind, data []byte) {
	if kind == voterMessage && len(data) > 0 && len(data) <= quorum.MaxMessageBytes {
		l.receive(bytes.Clone(data))
	}
}

// send leaves a message for another router. It waits for nobody.
func (l *voterLink) send(to string, data []byte) {
	carrier := l.link.Load()
	if address, known := l.addresses[to]; known && carrier != nil {
		carrier.Send(address, voterMessage, data)
	}
}
