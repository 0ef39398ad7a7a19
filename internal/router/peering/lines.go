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
const lineKind link.Kind = 1

// lines carry messages between routers that may vote.
type lines struct {
	carrier atomic.Pointer[link.Link] // nil until it listens
	to      map[string]string         // addresses of the others, by their names
	hear    func(data []byte)
}

func newLines(to map[string]string, hear func([]byte)) *lines { return &lines{to: to, hear: hear} }

// listening tells whether the lines are open.
func (l *lines) listening() bool { return l.carrier.Load() != nil }

// listen opens the address, and carries messages until ctx ends.
func (l *lines) listen(ctx context.Context, address string) error {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return fmt.Errorf("the address for voters: %w", err)
	}
	carrier := link.New(at.AddrPort(), l.take)
	if err := carrier.Start(ctx); err != nil {
		return err
	}
	l.carrier.Store(carrier)
	return nil
}

// take takes in a message of another voter.
func (l *lines) take(kind link.Kind, data []byte) {
	if kind == lineKind && len(data) > 0 && len(data) <= quorum.MostMessage {
		l.hear(bytes.Clone(data))
	}
}

// send leaves a message for another router. It waits for nobody.
func (l *lines) send(to string, data []byte) {
	carrier := l.carrier.Load()
	if address, known := l.to[to]; known && carrier != nil {
		carrier.Send(address, lineKind, data)
	}
}
