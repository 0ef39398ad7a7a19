package transport

import (
	"net"
	"syscall"
	"testing"
)

// Guards against a process that exits, with all its requests in flight, because accept returned an
// error caused by a new connection or by the network.
func TestListenerOutlivesFaultsOfNewConnections(t *testing.T) {
	for cause, want := range map[error]bool{
		syscall.EPROTO: true, syscall.ENETDOWN: true, syscall.EHOSTUNREACH: true, syscall.ENOBUFS: true, syscall.ENOMEM: true,
		syscall.EBADF: false, syscall.EINVAL: false, net.ErrClosed: false,
	} {
		if got := isConnectionError(&net.OpError{Op: "accept", Err: cause}); got != want {
			t.Errorf("%v: counts as a connection error: %t; want %t", cause, got, want)
		}
	}
}
