package transport

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// handshakeTime is how long a started handshake may take to complete while the listener closes:
	// a round trip to the client plus the system's delay.
	handshakeTime = 100 * time.Millisecond
	// backlogInterval is the interval between two checks of the backlog.
	backlogInterval = time.Millisecond
)

// closeAfterBacklog closes a listener that no other process has, once all clients that have
// connected are accepted. Closing it at once would reset the clients that wait in the backlog or
// whose handshakes the system has not completed, together with requests that they may have written
// by then. Packets of new clients are dropped meanwhile, and new clients are refused after the
// close.
//
// Clients in the backlog have to wait while all places are taken. Only the end of the process
// bounds this wait, as it does for requests that were read.
func (l *listener) closeAfterBacklog() error {
	l.raw.Control(func(fd uintptr) { dropNewConnections(int(fd)) })
	time.Sleep(l.handshakeTimeout())
	for l.hasBacklog() && !l.acceptFailed.Load() {
		time.Sleep(backlogInterval)
	}
	err := l.closeSockets()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backlogOpen = false
	return err
}

// handshakeTimeout returns how long a client that considers its connection open may still be
// missing from the backlog.
func (l *listener) handshakeTimeout() time.Duration {
	if l.strict {
		return deferAcceptTime + handshakeTime
	}
	return handshakeTime
}

// hasBacklog reports whether a client waits to be accepted.
func (l *listener) hasBacklog() (waiting bool) {
	l.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		waiting = err == nil && n > 0
	})
	return waiting
}

// These constants describe the flags of a TCP header, which a socket's packet filter sees from its
// first byte on.
const (
	tcpFlagsOffset = 13
	tcpSyn         = 0x02
	tcpAck         = 0x10
	passPacket     = 0xffffffff
	dropPacket     = 0
)

// dropNewConnections makes the system drop packets that would open a connection to a listening
// socket. If attaching the filter fails, clients that connect just before the close are reset.
func dropNewConnections(fd int) {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSyn | tcpAck},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: tcpSyn},
		{Code: unix.BPF_RET | unix.BPF_K, K: dropPacket},
		{Code: unix.BPF_RET | unix.BPF_K, K: passPacket},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	unix.SetsockoptSockFprog(fd, syscall.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
}
