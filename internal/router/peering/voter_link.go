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

// voterMessage is the kind of all frames between candidates.
const voterMessage link.Kind = 1

// voterLink carries messages between candidates over TCP.
type voterLink struct {
	link      atomic.Pointer[link.Link] // nil until it listens
	addresses map[string]string         // of the other candidates, by name
	receive   func(data []byte)
}

func newVoterLink(addresses map[string]string, receive func([]byte)) *voterLink {
	return &voterLink{addresses: addresses, receive: receive}
}

func (l *voterLink) isListening() bool { return l.link.Load() != nil }

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

// handleFrame takes in a message of another candidate.
func (l *voterLink) handleFrame(kind link.Kind, data []byte) {
	if kind == voterMessage && len(data) > 0 && len(data) <= quorum.MaxMessageBytes {
		l.receive(bytes.Clone(data))
	}
}

// send sends a message to another candidate. It never waits: what can't be queued is lost.
func (l *voterLink) send(to string, data []byte) {
	carrier := l.link.Load()
	if address, known := l.addresses[to]; known && carrier != nil {
		carrier.Send(address, voterMessage, data)
	}
}
