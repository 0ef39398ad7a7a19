package transport

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// maxSocketPath is the maximum length of a Unix socket's address, in bytes.
const maxSocketPath = 107

// withSocketAddress calls use with the address of the Unix socket at a path. If the path is too
// long for an address, the address goes through a descriptor of the folder, which stays open during
// the call.
func withSocketAddress(path string, use func(address string) error) error {
	if len(path) <= maxSocketPath {
		return use(path)
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", folder.Fd(), filepath.Base(path)))
}

// listenUnix listens on a Unix socket at a path and replaces the socket of any earlier process.
// Only the owner may connect. Closing the listener does not remove the path, because another
// process may use it by then.
func listenUnix(network, path string) (ln *net.UnixListener, err error) {
	if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	err = withSocketAddress(path, func(address string) error {
		ln, err = net.ListenUnix(network, &net.UnixAddr{Name: address, Net: network})
		return err
	})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// dialUnix connects to the Unix socket at a path.
func dialUnix(network, path string, timeout time.Duration) (c net.Conn, err error) {
	err = withSocketAddress(path, func(address string) error {
		c, err = net.DialTimeout(network, address, timeout)
		return err
	})
	return c, err
}
