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

// voterMessage is the link.Kind of every frame between candidates.
const voterMessage link.Kind = 1

// voterLink carries messages between candidates over TCP.
type voterLink struct {
	link      atomic.Pointer[link.Link] // nil until listen succeeds
	addresses map[string]string         // TCP addresses of the other candidates, by name
	receive   func(data []byte)
}

func newVoterLink(addresses map[string]string, receive func([]byte)) *voterLink {
	return &voterLink{addresses: addresses, receive: receive}
}

func (l *voterLink) isListening() bool { return l.link.Load() != nil }

// listen starts listening at address, and accepts and sends messages until ctx ends.
func (l *voterLink) listen(ctx context.Context, address string) error {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen address for voters: %w", err)
	}
	carrier := link.New(at.AddrPort(), l.handleFrame)
	if err := carrier.Start(ctx); err != nil {
		return err
	}
	l.link.Store(carrier)
	return nil
}

// handleFrame passes a copy of another candidate's message to receive. It drops frames of another
// kind, empty frames and frames that are too long.
func (l *voterLink) handleFrame(kind link.Kind, data []byte) {
	if kind == voterMessage && len(data) > 0 && len(data) <= quorum.MaxMessageBytes {
		l.receive(bytes.Clone(data))
	}
}

// send sends a message to another candidate. It never blocks: a message that can't be queued is
// dropped.
func (l *voterLink) send(to string, data []byte) {
	carrier := l.link.Load()
	if address, known := l.addresses[to]; known && carrier != nil {
		carrier.Send(address, voterMessage, data)
	}
}
