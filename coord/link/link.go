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
	// MaxMessageLen bounds a message, in bytes.
	MaxMessageLen = 24 << 20

	frameHeaderLen = 4 + 1 // length and kind

	idleTimeout = 20 * time.Second // an outbound connection without a message is closed then
	maxInbound  = 1024             // inbound connections
	bufferSize  = 16 << 10
)

// Kind tells messages of different protocols on one link apart.
type Kind uint8

// Handler receives each message. It must not retain data, and blocks further messages of its
// sender.
type Handler func(kind Kind, data []byte)

// Stats are counters since the start.
type Stats struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	Lost                    uint64 // messages for which a queue was full, or no connection could be opened
	Connected               uint64 // outbound connections that were opened
	Unreachable             uint64 // attempts to open one that failed
	Broken                  uint64 // outbound connections that failed, or delivered nothing
}

// Link is the sender and receiver of one process.
type Link struct {
	listen  netip.AddrPort
	handler Handler
	ctx     context.Context // nil before Start

	mu      sync.Mutex
	queues  map[string]*sendQueue // by address
	inbound mapset.Set[net.Conn]

	closing sync.WaitGroup

	queuedBytes                                    atomic.Int64 // in frames of all queues
	sent, sentBytes, received, receivedBytes, lost atomic.Uint64
	connected, unreachable, broken                 atomic.Uint64
}

// New returns a link that Start has listen at an address.
func New(listen netip.AddrPort, handler Handler) *Link {
	return &Link{listen: listen, handler: handler, queues: map[string]*sendQueue{}, inbound: mapset.NewThreadUnsafeSet[net.Conn]()}
}

// Start listens, and carries messages until ctx ends. What is sent before is lost.
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

// Wait returns once the listener is closed, after the context of Start has ended.
func (l *Link) Wait() { l.closing.Wait() }

// Stats returns the counters.
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

// accept serves inbound connections until the listener is closed.
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

// addInbound registers an inbound connection and reports whether there may be one more.
func (l *Link) addInbound(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inbound.Cardinality() >= maxInbound || l.ctx.Err() != nil {
		return false
	}
	l.inbound.Add(c)
	return true
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
