package transport

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
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
	movedVersion = 1
	mostMoved    = 32 << 10
	movedSockets = 2
	// answerMove is how long the process that takes over may take to answer one message. One that still has it by then
	// is alive, and has the connection.
	answerMove = time.Second
	accepted   = 'y'
	declined   = 'n'
)

// moved is what goes with a connection to the process that takes over: of a stream, what of it is half read; of an idle
// connection to a server, how long it is that; nothing of a client's silent one.
type moved struct {
	Version int             `json:"version"`
	Stream  bool            `json:"stream"`
	Server  *routing.Server `json:"server,omitempty"` // of a stream, or of an idle connection, which has no client
	Keep    bool            `json:"keep,omitempty"`   // the connection to it outlives the stream
	Idle    time.Duration   `json:"idle,omitempty"`   // or, of a stream, how long its server has said nothing
	Class   string          `json:"class,omitempty"`
	Chunks  protocol.Chunks `json:"chunks"`
	Line    []byte          `json:"line,omitempty"` // of the event at hand
	Long    bool            `json:"long,omitempty"`
	Size    int             `json:"size"` // of the stream so far
}

// Mover gives connections to the process that takes over.
type Mover struct {
	mu sync.Mutex
	c  *net.UnixConn
}

// DialMover connects to the process that takes over. Without one, a file left over is refused.
func DialMover(path string) (*Mover, error) {
	c, err := net.DialTimeout("unixpacket", path, answerMove)
	if err != nil {
		return nil, err
	}
	return &Mover{c: c.(*net.UnixConn)}, nil
}

// Close ends it.
func (m *Mover) Close() { m.c.Close() }

var errDeclined = errors.New("the other process has no room for it")

// move gives a connection away, with the one to a server if it has a stream. Without an error it is the other
// process's: the caller's own copy must be closed, unread and unwritten.
func (m *Mover) move(what moved, conns ...net.Conn) error {
	what.Version = movedVersion
	text, err := json.Marshal(what)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.c.SetDeadline(time.Now().Add(answerMove))
	if err := withDescriptors(conns, nil, func(fds []int) error {
		_, _, err := m.c.WriteMsgUnix(text, syscall.UnixRights(fds...), nil)
		return err
	}); err != nil {
		return err
	}
	var answer [1]byte
	switch n, err := m.c.Read(answer[:]); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		m.c.Close() // what it says next would be taken for another answer
		return nil
	case err != nil:
		return err
	case n == 0 || answer[0] != accepted:
		return errDeclined
	}
	return nil
}

// withDescriptors calls f with the descriptors of connections, which stay theirs.
func withDescriptors(conns []net.Conn, fds []int, f func([]int) error) (err error) {
	if len(conns) == 0 {
		return f(fds)
	}
	sc, ok := conns[0].(syscall.Conn)
	if !ok {
		return fmt.Errorf("%T has no descriptor", conns[0])
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

// Receiver takes connections from a process that leaves.
type Receiver struct {
	front   *Front
	servers *Servers
	ln      *net.UnixListener
	log     routing.Logger

	carried atomic.Int64 // streams that are carried on here
	mu      sync.Mutex
	hosts   map[net.Conn]bool // of these
}

// NewReceiver listens at a path, in place of whoever did before.
func NewReceiver(path string, front *Front, servers *Servers, log routing.Logger) (*Receiver, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // the path may be the next one's by then
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, err
	}
	servers.follows = true
	r := &Receiver{front: front, servers: servers, ln: ln, log: log, hosts: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

// Carried returns how many streams of other processes are carried on.
func (r *Receiver) Carried() int { return int(r.carried.Load()) }

// Stop takes no more. What is carried goes on.
func (r *Receiver) Stop() { r.ln.Close() }

// Wait returns once nothing is carried any more.
func (r *Receiver) Wait() {
	for r.Carried() > 0 {
		time.Sleep(emptyEvery)
	}
}

// Leave has what is carried move on, too.
func (r *Receiver) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for host := range r.hosts {
		host.SetReadDeadline(time.Unix(1, 0))
	}
}

func (r *Receiver) serve() {
	for {
		c, err := r.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(shortNap)
			continue
		}
		go r.receive(c)
	}
}

// receive takes messages from one process, one after another.
func (r *Receiver) receive(c *net.UnixConn) {
	defer c.Close()
	text, rights := make([]byte, mostMoved), make([]byte, syscall.CmsgSpace(4*movedSockets))
	for {
		n, nr, _, _, err := c.ReadMsgUnix(text, rights)
		if err != nil || n == 0 {
			return
		}
		answer := byte(accepted)
		if err := r.take(text[:n], rights[:nr]); err != nil {
			answer = declined
			r.log.Warn("connection declined", "cause", err)
		}
		if _, err := c.Write([]byte{answer}); err != nil {
			return
		}
	}
}

// take takes one connection.
func (r *Receiver) take(text, rights []byte) (err error) {
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
	var m moved
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	switch {
	case m.Version != movedVersion:
		return fmt.Errorf("version %d; this process knows %d", m.Version, movedVersion)
	case m.Stream && len(conns) == 2 && m.Server != nil:
		if 2*r.Carried() >= r.front.listener.places() {
			return errDeclined
		}
		r.carried.Add(1)
		r.mu.Lock()
		r.hosts[conns[1]] = true
		r.mu.Unlock()
		go r.carry(m, conns[0], conns[1])
		return nil
	case m.Server != nil && len(conns) == 1:
		if !r.servers.pool.adopt(conns[0], *m.Server, m.Idle) {
			return errDeclined
		}
		return nil
	case !m.Stream && len(conns) == 1:
		return r.front.adopt(conns[0], nil)
	}
	return fmt.Errorf("%d sockets", len(conns))
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

// carry relays the rest of a stream, and then serves its client.
func (r *Receiver) carry(m moved, client, host net.Conn) {
	ended := r.front.router.CountTakenOver(m.Class)
	watch := &clientConn{Conn: client, listener: r.front.listener}
	watch.watch(func() { host.Close() })
	verdict, next := r.relay(&m, watch, host)
	watch.unwatch()
	r.mu.Lock()
	delete(r.hosts, host)
	r.mu.Unlock()
	if verdict != routing.Served || !m.Keep || !r.servers.pool.adopt(host, *m.Server, 0) {
		host.Close()
	}
	ended(verdict)
	r.carried.Add(-1)
	if next {
		if r.front.adopt(client, watch.ahead) == nil {
			return
		}
	}
	client.Close()
}

// relay passes on the rest of a stream; next tells whether the client may ask for more.
func (r *Receiver) relay(m *moved, client *clientConn, host net.Conn) (end routing.Verdict, next bool) {
	notes := protocol.NotesFrom(m.Line, m.Long)
	raw := make([]byte, readBuffer)
	out := make([]byte, 0, readBuffer+64)
	last := time.Now().Add(-m.Idle) // a move gives a server no more time to be silent
	for stays := false; m.Chunks.At != protocol.AtWhole; {
		if mover := r.front.listener.mover.Load(); mover != nil && !stays {
			client.unwatch()
			m.Line, m.Long = notes.Rest()
			m.Idle = time.Since(last)
			if len(client.ahead) == 0 && !client.left.Load() && mover.move(*m, client.Conn, host) == nil {
				return routing.Abandoned, false
			}
			stays = true
			client.watch(client.gone)
		}
		host.SetReadDeadline(last.Add(r.servers.silent))
		n, err := host.Read(raw)
		if n > 0 {
			last = time.Now()
		}
		if n == 0 && !stays && errors.Is(err, os.ErrDeadlineExceeded) && r.front.listener.mover.Load() != nil {
			continue // it is to move
		}
		if n == 0 && err != nil {
			if client.left.Load() {
				return routing.Abandoned, false
			}
			return routing.Failed, false
		}
		out = out[:0]
		spoilt := false
		used, bad := m.Chunks.Feed(raw[:n], func(piece []byte) {
			m.Size += len(piece)
			spoilt = spoilt || !notes.Feed(piece) || m.Size > mostStream
			out = fmt.Appendf(out, "%x\r\n", len(piece))
			out = append(append(out, piece...), "\r\n"...)
		})
		if bad != nil || spoilt || used < n {
			return routing.Failed, false
		}
		if m.Chunks.At == protocol.AtWhole {
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

// adopt serves a client on a connection that another process had. What was read of its next request goes first.
func (f *Front) adopt(c net.Conn, ahead []byte) error {
	conn := f.listener.adopt(c, ahead)
	if conn == nil {
		return errDeclined
	}
	go f.server.ServeConn(conn)
	return nil
}

// adopt admits a connection that was never in the line.
func (l *listener) adopt(nc net.Conn, ahead []byte) (c *clientConn) {
	from, _ := netip.ParseAddrPort(nc.RemoteAddr().String())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.alive >= l.most {
		return nil
	}
	for _, a := range l.admission.Step(l.now(), admission.Event{Kind: admission.Opened, Addr: from.Addr().Unmap()}) {
		switch a.Kind {
		case admission.Admit:
			c = l.admit(a.Conn, nc)
			c.ahead = ahead
		case admission.Shut, admission.Hurry:
			l.carryOut(a)
		}
	}
	return c
}

// places returns how many client connections may be served.
func (l *listener) places() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Counts().Places
}

// MoveTo has silent connections, and from the next read on all streams, go to another process.
func (f *Front) MoveTo(m *Mover) { f.listener.mover.Store(m) }
