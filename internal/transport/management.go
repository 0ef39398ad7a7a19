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
	// MaxCallers bounds the number of callers connected to the management address at one time. A
	// further caller replaces the one that connected first, so that silent callers can't keep
	// others out.
	MaxCallers = 16
	// ManagementSockets is the number of descriptors that a Management may use: its callers, its
	// listener, and one in reserve for when no other descriptor is free.
	ManagementSockets = MaxCallers + 2
	// callTimeout bounds the whole call of one caller.
	callTimeout = 10 * time.Second
)

// Management serves the operators' management address: each connection carries one line and gets
// one answer.
type Management struct {
	ln     net.Listener
	answer func(line string) string
	panics *PanicLog

	mu                 sync.Mutex
	callers            []net.Conn // the one that connected first comes first
	reservedDescriptor *os.File
}

// NewManagement listens for operators at an address. If panics is nil, a panic of answer ends the
// process.
func NewManagement(addr string, answer func(line string) string, panics *PanicLog) (*Management, error) {
	listen := net.ListenConfig{KeepAlive: -1}
	ln, err := listen.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	m := &Management{ln: ln, answer: answer, panics: panics}
	m.reservedDescriptor, _ = os.Open(os.DevNull)
	return m, nil
}

// Addr returns the address on which m listens.
func (m *Management) Addr() net.Addr { return m.ln.Addr() }

// Close stops accepting callers. Calls in progress end with their answers.
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

// releaseReserved releases the reserved descriptor for the next caller. If it is already in use, it
// waits for another descriptor to become free.
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

// addCaller registers a caller. If there are too many, it closes the connection of the caller that
// connected first.
func (m *Management) addCaller(c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callers = append(m.callers, c)
	if len(m.callers) > MaxCallers {
		m.callers[0].Close()
		m.callers = m.callers[1:]
	}
}

// removeCaller closes a caller's connection and removes it from the list.
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
	defer m.panics.contain("answering an operator", nil)
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
		return // the caller sent nothing
	}
	if _, err := io.WriteString(c, text); err != nil {
		return
	}
	// Closing with unread bytes would reset the connection, and the caller might lose the answer.
	if tcp, ok := c.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, in, maxErrorBody)
	}
}
