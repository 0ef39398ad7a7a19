package transport

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
)

// Listen opens a listener for clients, on the network "tcp" or "tcp4".
func Listen(ctx context.Context, network, address string) (net.Listener, error) {
	// TCP keep-alive detects no dead client that the front end's own timeouts don't detect. A
	// Multipath TCP socket would not accept the packet filter that is attached when the listener
	// closes.
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, network, address)
}

// Inherit returns the listener that this process has as a descriptor from its parent. Closing the
// listener leaves the socket and its backlog open for the other processes that have it.
func Inherit(fd int) (net.Listener, error) {
	// Check before taking the descriptor over: a wrong one may belong to anything, such as the Go
	// runtime's own poller.
	listens, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err == nil && listens == 0 {
		err = fmt.Errorf("SO_ACCEPTCONN is 0")
	}
	if err != nil {
		return nil, fmt.Errorf("descriptor %d is not a listening socket: %w", fd, err)
	}
	f := os.NewFile(uintptr(fd), "clients")
	defer f.Close() // the listener has a duplicate
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d listens on %s, not on TCP", fd, ln.Addr().Network())
	}
	return ln, nil
}
