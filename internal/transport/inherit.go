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
	// Keep-alive of TCP finds no client that the front's own bounds don't. A socket of Multipath TCP
	// would take no filter as it closes.
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, network, address)
}

// Inherit returns the listener that this process has as a descriptor from its parent. Closing it
// leaves the socket, with its backlog, to the other processes that have it.
func Inherit(fd int) (net.Listener, error) {
	// Asked before the descriptor is taken: a wrong one may be anything's, the run-time's own
	// poller among them.
	listens, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err == nil && listens == 0 {
		err = fmt.Errorf("it does not listen")
	}
	if err != nil {
		return nil, fmt.Errorf("descriptor %d is no listening socket: %w", fd, err)
	}
	f := os.NewFile(uintptr(fd), "clients")
	defer f.Close() // the listener has a copy of its own
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
