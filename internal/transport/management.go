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
	// MaxCallers bounds the callers of the management address that are connected at one time. One
	// more replaces the one that was connected first, so that silent callers keep nobody out.
	MaxCallers = 16
	// ManagementSockets are the descriptors that a Management may use: callers, the listener, and
	// one in reserve for when the process has no other.
	ManagementSockets = MaxCallers + 2
	// callTimeout is how long a caller may take for all of its call.
	callTimeout = 10 * time.Second
)

// Management is the operators' management address: a connection carries one line and gets one
// answer.
type Management struct {
	ln     net.Listener
	answer func(line string) string

	mu                 sync.Mutex
	callers            []net.Conn // the longest connected first
	reservedDescriptor *os.File
}

// NewManagement listens at an address for operators.
func NewManagement(addr string, answer func(line string) string) (*Management, error) {
	listen := net.ListenConfig{KeepAlive: -1}
	ln, err := listen.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	m := &Management{ln: ln, answer: answer}
	m.reservedDescriptor, _ = os.Open(os.DevNull)
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
			m.addCaller(c)
			go m.call(c)
		case errors.Is(err, net.ErrClosed):
			return
		case isDescriptorShortage(err):
			m.releaseReserved()
		}
	}
}

// releaseReserved releases the descriptor in reserve, so that the next caller has one, or waits for
// another's.
func (m *Management) releaseReserved() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reservedDescriptor == nil {
		time.Sleep(descriptorRetryDelay)
		return
	}
	m.reservedDescriptor.Close()
	m.reservedDescriptor = nil
}

// addCaller adds a caller. If there are too many, the one that was connected first ends.
func (m *Management) addCaller(c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callers = append(m.callers, c)
	if len(m.callers) > MaxCallers {
		m.callers[0].Close()
		m.callers = m.callers[1:]
	}
}

// removeCaller removes a caller.
func (m *Management) removeCaller(c net.Conn) {
	c.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.callers {
		if other == c {
			m.callers = append(m.callers[:i], m.callers[i+1:]...)
			break
		}
	}
	if m.reservedDescriptor == nil {
		m.reservedDescriptor, _ = os.Open(os.DevNull)
	}
}

// call reads one line and answers it.
func (m *Management) call(c net.Conn) {
	defer m.removeCaller(c)
	c.SetDeadline(time.Now().Add(callTimeout))
	in := bufio.NewReaderSize(c, management.MaxLineBytes)
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
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, in, maxErrorBody)
	}
}
