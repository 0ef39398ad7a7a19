package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"reachspread/internal/router/management"
)

const (
	// MostCallers bounds the callers of the operators' management address that are connected at one time. One more takes the place of
	// the one that has been there for longest, so that callers that say nothing keep nobody out.
	MostCallers = 16
	// ManagementSockets are the descriptors that admission may use: callers, the listener, and one held back for when the
	// process has no other.
	ManagementSockets = MostCallers + 2
	// callerFor is how long a caller may take for all of its call.
	callerFor = 10 * time.Second
)

// Management is the operators' management address: a connection carries one line and gets one answer.
type Management struct {
	ln     net.Listener
	answer func(line string) string

	mu      sync.Mutex
	callers []net.Conn // the longest connected first
	spare   *os.File
}

// NewManagement listens at an address for operators.
func NewManagement(addr string, answer func(line string) string) (*Management, error) {
	listen := net.ListenConfig{KeepAlive: -1}
	ln, err := listen.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	m := &Management{ln: ln, answer: answer}
	m.spare, _ = os.Open(os.DevNull)
	return m, nil
}

// Addr returns where it listens.
func (m *Management) Addr() net.Addr { return m.ln.Addr() }

// Close ends it; calls under way end with their answers.
func (m *Management) Close() { m.ln.Close() }

// Serve answers callers until Close.
func (m *Management) Serve() {
	for {
		c, err := m.ln.Accept()
		switch {
		case err == nil:
			m.enter(c)
			go m.call(c)
		case errors.Is(err, net.ErrClosed):
			return
		case short(err):
			m.yield()
		}
	}
}

// yield spends the descriptor held back, so that the next caller has one, or waits for another's.
func (m *Management) yield() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.spare == nil {
		time.Sleep(shortNap)
		return
	}
	m.spare.Close()
	m.spare = nil
}

// enter counts a caller in. If there are too many, the longest connected one ends.
func (m *Management) enter(c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callers = append(m.callers, c); len(m.callers) > MostCallers {
		m.callers[0].Close()
		m.callers = m.callers[1:]
	}
}

// leave counts a caller out.
func (m *Management) leave(c net.Conn) {
	c.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.callers {
		if other == c {
			m.callers = append(m.callers[:i], m.callers[i+1:]...)
			break
		}
	}
	if m.spare == nil {
		m.spare, _ = os.Open(os.DevNull)
	}
}

// call reads one line and answers it.
func (m *Management) call(c net.Conn) {
	defer m.leave(c)
	c.SetDeadline(time.Now().Add(callerFor))
	in := bufio.NewReaderSize(c, management.MostLine)
	line, err := in.ReadSlice('\n')
	var text string
	switch {
	case err == nil:
		text = m.answer(string(line))
	case errors.Is(err, bufio.ErrBufferFull):
		text = management.Refusal("the line is too long")
	case err == io.EOF && len(line) > 0:
		text = management.Refusal("the line was cut off")
	default:
		return // nobody asked anything
	}
	if _, err := io.WriteString(c, text); err != nil {
		return
	}
	// Closed with bytes unread, the connection would be reset and the caller might lose the answer.
	if c.(*net.TCPConn).CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerFor))
		io.CopyN(io.Discard, in, mostRefusal)
	}
}
