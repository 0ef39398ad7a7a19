package transport

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// maxSocketPath is how long the address of a Unix socket may be, in bytes.
const maxSocketPath = 107

// withSocketAddress calls use with the address of the Unix socket at a path. A path that is too long
// for one is reached through a descriptor of its folder, which is open meanwhile.
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

// listenUnix listens on a Unix socket at a path, in place of any process that did before. Its owner
// alone may connect. Closing the listener leaves the path, which may be another's by then.
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
