// Package tcptime asks the operating system when a connection last sent or received data. A process
// that lacks processor time reads data later than it arrives. The system's times do not include this
// delay, so they show how late the other side was. Their precision is that of the system's timer, a
// few milliseconds.
package tcptime

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Info returns the system's TCP state of a connection.
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

// Sent returns when a connection last sent data. It must be called after the first write.
func Sent(conn syscall.Conn) (time.Time, error) {
	info, err := Info(conn)
	if err != nil {
		return time.Time{}, err
	}
	return before(info.Last_data_sent), nil
}

// Received returns when data last arrived on a connection, whether the process has read the data or
// not. It returns the zero time if no data has arrived yet.
func Received(conn syscall.Conn) (time.Time, error) {
	info, err := Info(conn)
	if err != nil || info.Bytes_received == 0 {
		return time.Time{}, err
	}
	return before(info.Last_data_recv), nil
}

// before returns the time that was the given number of milliseconds ago.
func before(milliseconds uint32) time.Time {
	return time.Now().Add(-time.Duration(milliseconds) * time.Millisecond)
}
