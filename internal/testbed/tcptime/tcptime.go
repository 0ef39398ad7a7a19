// Package tcptime asks the system when a connection last sent or received something. A process that
// lacks processor time reads late what has come, and the system's times say nothing of that: they
// tell how late the other side was. Their precision is that of the system's timer, a few
// milliseconds.
package tcptime

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Info returns what the system knows of a connection.
func Info(conn syscall.Conn) (info *unix.TCPInfo, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), syscall.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(controlErr, err)
}

// Sent returns when a connection last sent something. It is called after the first write.
func Sent(conn syscall.Conn) (time.Time, error) {
	info, err := Info(conn)
	if err != nil {
		return time.Time{}, err
	}
	return before(info.Last_data_sent), nil
}

// Received returns when something last came to a connection, whether it was read or not; zero for
// nothing yet.
func Received(conn syscall.Conn) (time.Time, error) {
	info, err := Info(conn)
	if err != nil || info.Bytes_received == 0 {
		return time.Time{}, err
	}
	return before(info.Last_data_recv), nil
}

// before returns the time so many milliseconds ago.
func before(milliseconds uint32) time.Time {
	return time.Now().Add(-time.Duration(milliseconds) * time.Millisecond)
}
