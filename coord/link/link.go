package link

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
)

const (
	// MaxMessageLen is the maximum length of a message, in bytes.
	MaxMessageLen = 24 << 20

	frameHeaderLen = 4 + 1 // length and kind, in bytes

	idleTimeout = 20 * time.Second // an outbound connection is closed after this time without a message
	maxInbound  = 1024             // maximum number of inbound connections
	bufferSize  = 16 << 10         // size of the buffer of a connection, in bytes
)

// Kind identifies the protocol of a message, so that one link can carry several protocols.
type Kind uint8

// Handler is called for each message that arrives. It must not retain data. Further messages on the
// same connection wait until it returns.
type Handler func(kind Kind, data []byte)

// Stats are counters of a Link since its creation.
type Stats struct {
	Sent, SentBytes         uint64 // messages, and bytes of their frames
	Received, ReceivedBytes uint64 // messages, and bytes of their frames
	Lost                    uint64 // messages that could not be queued, or for which no connection could be opened
	Connected               uint64 // outbound connections that were opened
	Unreachable             uint64 // failed attempts to open an outbound connection
	Broken                  uint64 // outbound connections that were dropped because they failed or delivered nothing
}

// Link sends and receives the messages of one process.
type Link struct {
	listen  netip.AddrPort
	handler Handler
	ctx     context.Context // nil before Start

	mu      sync.Mutex
	queues  map[string]*sendQueue // by address
	inbound mapset.Set[net.Conn]

	closing sync.WaitGroup // done once the listener and the inbound connections are closed

	queuedBytes                                    atomic.Int64 // bytes of the frames in all queues
	sent, sentBytes, received, receivedBytes, lost atomic.Uint64
	connected, unreachable, broken                 atomic.Uint64
}

// New returns a link that listens at an address once Start is called, and passes the messages that
// arrive to a handler.
func New(listen netip.AddrPort, handler Handler) *Link {
	return &Link{listen: listen, handler: handler, queues: map[string]*sendQueue{}, inbound: mapset.NewThreadUnsafeSet[net.Conn]()}
}

// Start listens, and sends and receives messages until ctx ends. Messages passed to Send before Start
// are lost.
func (l *Link) Start(ctx context.Context) error {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(ctx, "tcp4", l.listen.String())
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	l.closing.Add(1)
	context.AfterFunc(ctx, func() {
		defer l.closing.Done()
		listener.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range mapset.Elements(l.inbound) {
			c.Close()
		}
	})
	go l.accept(listener)
	return nil
}

// Wait returns once the listener and the inbound connections are closed, which happens after the
// context of Start has ended.
func (l *Link) Wait() { l.closing.Wait() }

// Stats returns the current counters.
func (l *Link) Stats() Stats {
	return Stats{
		Sent:          l.sent.Load(),
		SentBytes:     l.sentBytes.Load(),
		Received:      l.received.Load(),
		ReceivedBytes: l.receivedBytes.Load(),
		Lost:          l.lost.Load(),
		Connected:     l.connected.Load(),
		Unreachable:   l.unreachable.Load(),
		Broken:        l.broken.Load(),
	}
}

// accept accepts inbound connections and starts a receiver for each until the listener is closed.
func (l *Link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || l.ctx.Err() != nil {
			return
		}
		if err != nil {
			sleep(l.ctx, retryInterval)
			continue
		}
		if !l.addInbound(c) {
			c.Close()
			continue
		}
		go l.receive(c)
	}
}

// addInbound registers an inbound connection. It returns false if there are maxInbound connections
// already or the link has ended; the caller then has to close the connection.
func (l *Link) addInbound(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inbound.Cardinality() >= maxInbound || l.ctx.Err() != nil {
		return false
	}
	l.inbound.Add(c)
	return true
}

// sleep waits for a duration or until ctx ends, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
