package transport

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

const (
	handoverVersion    = 1
	maxHandoverMessage = 32 << 10
	handoverSockets    = 2
	// handoverTimeout is how long the process that takes over may take to answer one message. After
	// that, the sender assumes that the other process is alive and has the connection.
	handoverTimeout = time.Second
	accepted        = 'y'
	declined        = 'n'
)

// movedConn is the message that accompanies a connection to the process that takes over. For a
// stream, it holds the parser state in the middle of the stream. For an idle connection to a
// server, it holds how long the connection has been idle. For an idle connection to a client, it
// holds only Version and Used.
type movedConn struct {
	Version int                  `json:"version"`
	Stream  bool                 `json:"stream"`
	Server  *routing.Server      `json:"server,omitempty"` // of a stream, or of an idle connection to a server, which has no client
	Keep    bool                 `json:"keep,omitempty"`   // the connection to the server can be reused after the stream
	Idle    time.Duration        `json:"idle,omitempty"`   // how long the connection has been idle or, for a stream, how long its server has sent nothing
	Class   string               `json:"class,omitempty"`
	Used    bool                 `json:"used,omitempty"` // of an idle connection to a client: a request arrived on it before
	Chunks  protocol.ChunkParser `json:"chunks"`
	Line    []byte               `json:"line,omitempty"` // the part received of the event that is being read
	Long    bool                 `json:"long,omitempty"`
	Size    int                  `json:"size"` // bytes of the stream so far
}

// Mover moves connections to the process that takes over.
type Mover struct {
	mu sync.Mutex
	c  *net.UnixConn
}

// DialMover connects to the process that takes over. It fails if no process listens at path.
func DialMover(path string) (*Mover, error) {
	c, err := dialUnix("unixpacket", path, handoverTimeout)
	if err != nil {
		return nil, err
	}
	return &Mover{c: c.(*net.UnixConn)}, nil
}

// Close closes the connection to the process that takes over.
func (m *Mover) Close() { m.c.Close() }

var errDeclined = errors.New("no capacity for another moved connection")

// move moves connections to the other process: an idle connection to a client or to a server, or
// the two connections of a stream. If it returns nil, the other process has the connections, and
// the caller must close its copies without reading from them or writing to them.
func (m *Mover) move(what movedConn, conns ...net.Conn) error {
	what.Version = handoverVersion
	text, err := json.Marshal(what)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.c.SetDeadline(time.Now().Add(handoverTimeout))
	if err := withDescriptors(conns, nil, func(fds []int) error {
		_, _, err := m.c.WriteMsgUnix(text, syscall.UnixRights(fds...), nil)
		return err
	}); err != nil {
		return err
	}
	var answer [1]byte
	switch n, err := m.c.Read(answer[:]); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		m.c.Close() // a late answer would be taken for the answer to the next message
		return nil
	case err != nil:
		return err
	case n == 0 || answer[0] != accepted:
		return errDeclined
	}
	return nil
}

// withDescriptors calls f with the descriptors of the connections. The connections keep their
// descriptors.
func withDescriptors(conns []net.Conn, fds []int, f func([]int) error) (err error) {
	if len(conns) == 0 {
		return f(fds)
	}
	sc, ok := conns[0].(syscall.Conn)
	if !ok {
		return fmt.Errorf("connection of type %T has no descriptor", conns[0])
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	if failed := raw.Control(func(fd uintptr) { err = withDescriptors(conns[1:], append(fds, int(fd)), f) }); failed != nil {
		return failed
	}
	return err
}

// Receiver takes over connections from a process that is ending.
type Receiver struct {
	front   *Front
	servers *Servers
	ln      *net.UnixListener
	log     routing.Logger

	activeStreams atomic.Int64 // streams that were taken over and are still running
	mu            sync.Mutex
	serverConns   map[net.Conn]bool // connections to the servers of these streams
}

// NewReceiver listens at path and replaces the socket of any earlier process.
func NewReceiver(path string, front *Front, servers *Servers, log routing.Logger) (*Receiver, error) {
	ln, err := listenUnix("unixpacket", path)
	if err != nil {
		return nil, err
	}
	servers.tracksStreams = true
	r := &Receiver{front: front, servers: servers, ln: ln, log: log, serverConns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

// ActiveStreams returns how many streams that were taken over are still running.
func (r *Receiver) ActiveStreams() int { return int(r.activeStreams.Load()) }

// Stop makes the receiver accept no more connections. Streams that it has taken over continue.
func (r *Receiver) Stop() { r.ln.Close() }

// Wait returns when no stream that was taken over is still running.
func (r *Receiver) Wait() {
	for r.ActiveStreams() > 0 {
		time.Sleep(drainCheckInterval)
	}
}

// MoveStreams makes the streams that were taken over move on to the next process.
func (r *Receiver) MoveStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.serverConns {
		conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// serve accepts connections from ending processes until Stop.
func (r *Receiver) serve() {
	for {
		c, err := r.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(descriptorRetryDelay)
			continue
		}
		go r.receive(c)
	}
}

// receive handles the messages of one process in sequence.
func (r *Receiver) receive(c *net.UnixConn) {
	defer c.Close()
	defer r.front.limits.Panics.contain("taking over a connection", nil)
	text, rights := make([]byte, maxHandoverMessage), make([]byte, syscall.CmsgSpace(4*handoverSockets))
	for {
		n, nr, _, _, err := c.ReadMsgUnix(text, rights)
		if err != nil || n == 0 {
			return
		}
		answer := byte(accepted)
		if err := r.receiveOne(text[:n], rights[:nr]); err != nil {
			answer = declined
			r.log.Warn("moved connection declined", "cause", err)
		}
		if _, err := c.Write([]byte{answer}); err != nil {
			return
		}
	}
}

// receiveOne takes over the connections of one message.
func (r *Receiver) receiveOne(text, rights []byte) (err error) {
	conns, err := connsOf(rights)
	defer func() {
		if err != nil {
			for _, c := range conns {
				c.Close()
			}
		}
	}()
	if err != nil {
		return err
	}
	var m movedConn
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	switch {
	case m.Version != handoverVersion:
		return fmt.Errorf("handover message has version %d, want %d", m.Version, handoverVersion)
	case m.Stream && len(conns) == 2 && m.Server != nil:
		if 2*r.ActiveStreams() >= r.front.listener.capacity() {
			return errDeclined
		}
		r.activeStreams.Add(1)
		r.mu.Lock()
		r.serverConns[conns[1]] = true
		r.mu.Unlock()
		go r.continueStream(m, conns[0], conns[1])
		return nil
	case m.Server != nil && len(conns) == 1:
		if !r.servers.pool.adopt(conns[0], *m.Server, m.Idle) {
			return errDeclined
		}
		return nil
	case !m.Stream && len(conns) == 1:
		return r.front.adopt(conns[0], nil, m.Used)
	}
	return fmt.Errorf("handover message came with %d sockets; want 1, or 2 for a stream", len(conns))
}

// connsOf makes connections of the descriptors that came with a message.
func connsOf(rights []byte) (conns []net.Conn, err error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	for _, message := range messages {
		fds, err := syscall.ParseUnixRights(&message)
		if err != nil {
			return conns, err
		}
		for _, fd := range fds {
			f := os.NewFile(uintptr(fd), "moved")
			c, failed := net.FileConn(f)
			f.Close()
			if failed != nil {
				err = failed
				continue
			}
			conns = append(conns, c)
		}
		if err != nil {
			return conns, err
		}
	}
	return conns, nil
}

// continueStream forwards the rest of a stream and then serves its client.
func (r *Receiver) continueStream(m movedConn, client, server net.Conn) {
	ended := r.front.router.CountTakenOver(m.Class)
	counted := false              // whether the stream's end was counted
	defer r.activeStreams.Add(-1) // the process must stay until the client has its next answer or another process has the client
	defer r.front.limits.Panics.contain("continuing a stream", func() {
		if !counted {
			ended(routing.Failed)
		}
		r.forget(server)
		client.Close()
		server.Close()
	})
	watch := &clientConn{Conn: client, listener: r.front.listener}
	watch.watch(func() { server.Close() })
	verdict, next := r.relay(&m, watch, server)
	watch.unwatch()
	r.forget(server)
	if verdict != routing.Served || !m.Keep || !r.servers.pool.adopt(server, *m.Server, 0) {
		server.Close()
	}
	counted = true
	ended(verdict)
	if next && r.front.adopt(client, watch.readAhead, true) == nil {
		return
	}
	if next && len(watch.readAhead) > 0 {
		rejectBehindStream(client)
	}
	client.Close()
}

// forget removes the connection to the server of a stream that has ended.
func (r *Receiver) forget(server net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.serverConns, server)
}

// rejectBehindStream rejects a request whose first byte was read before a moved stream ended, if
// this process can't serve its connection.
func rejectBehindStream(client net.Conn) {
	text := protocol.AppendRejection(nil, http.StatusServiceUnavailable, time.Second, "no place for this request; trying again is harmless")
	client.SetDeadline(time.Now().Add(overloadLingerTimeout))
	client.Write(text)
	if tcp, ok := client.(interface{ CloseWrite() error }); ok && tcp.CloseWrite() == nil {
		io.CopyN(io.Discard, client, lingerBytes) // closing with unread bytes would reset the connection, and the client could lose the answer
	}
}

// relay forwards the rest of a stream. The result next reports whether the client may send further
// requests.
func (r *Receiver) relay(m *movedConn, client *clientConn, server net.Conn) (end routing.Verdict, next bool) {
	events := protocol.ResumeStreamReader(m.Line, m.Long)
	raw := make([]byte, readBuffer)
	out := make([]byte, 0, readBuffer+64)
	last := time.Now().Add(-m.Idle) // a move does not give the server more time
	for stays := false; m.Chunks.At != protocol.AtComplete; {
		if mover := r.front.listener.mover.Load(); mover != nil && !stays {
			client.unwatch()
			m.Line, m.Long = events.Unfinished()
			m.Idle = time.Since(last)
			if len(client.readAhead) == 0 && !client.hasLeft.Load() && mover.move(*m, client.Conn, server) == nil {
				return routing.Abandoned, false
			}
			stays = true
			client.watch(client.onLeave)
		}
		server.SetReadDeadline(last.Add(r.servers.streamIdleTimeout))
		n, err := server.Read(raw)
		if n > 0 {
			last = time.Now()
		}
		if n == 0 && !stays && errors.Is(err, os.ErrDeadlineExceeded) && r.front.listener.mover.Load() != nil {
			continue // MoveStreams ended the read: try to move the stream
		}
		if n == 0 && err != nil {
			if client.hasLeft.Load() {
				return routing.Abandoned, false
			}
			return routing.Failed, false
		}
		out = out[:0]
		malformed := false
		used, bad := m.Chunks.Feed(raw[:n], func(chunk []byte) {
			m.Size += len(chunk)
			malformed = malformed || !events.Feed(chunk) || m.Size > maxStream
			out = fmt.Appendf(out, "%x\r\n", len(chunk))
			out = append(append(out, chunk...), "\r\n"...)
		})
		if bad != nil && m.Server != nil {
			r.servers.malformed.record(m.Server.ID, bad)
		}
		if bad != nil || malformed || used < n {
			return routing.Failed, false
		}
		if m.Chunks.At == protocol.AtComplete {
			out = append(out, "0\r\n\r\n"...)
		}
		if len(out) == 0 {
			continue
		}
		if _, err := client.Write(out); err != nil {
			return routing.Abandoned, false
		}
	}
	return routing.Served, true
}

// errClientReset says that a client has reset its connection before it could be taken over.
var errClientReset = errors.New("the client has reset the connection")

// adopt serves a client on a connection from another process. used says that a request arrived on
// it there. ahead holds the bytes already read of the next request, which are parsed first.
func (f *Front) adopt(c net.Conn, ahead []byte, used bool) error {
	from, ok := peerOf(c)
	if !ok {
		return errClientReset
	}
	conn := f.listener.adopt(c, from, ahead, used)
	if conn == nil {
		return errDeclined
	}
	go f.server.ServeConn(conn)
	return nil
}

// adopt admits a connection of the client at an address that was not accepted here. It returns nil
// if there is no capacity, or if the listener is closing and its last connection has gone.
func (l *listener) adopt(nc net.Conn, from netip.AddrPort, ahead []byte, used bool) (c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.emptied || l.alive >= l.maxAlive {
		return nil
	}
	for _, a := range l.admission.Step(l.now(), admission.Event{Kind: admission.Opened, Addr: from.Addr()}) {
		switch a.Kind {
		case admission.Admit:
			c = l.admit(a.Conn, nc, from)
			c.readAhead, c.adoptedIdle = ahead, used
		case admission.Evict, admission.Expire:
			l.carryOut(a)
		}
	}
	return c
}

// capacity returns how many client connections may be served.
func (l *listener) capacity() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Counts().MaxConnections
}

// MoveTo makes idle connections, and each stream at its next read, move to another process.
func (f *Front) MoveTo(m *Mover) { f.listener.mover.Store(m) }
