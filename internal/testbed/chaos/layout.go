package chaos

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// layout assigns loopback addresses to all parts of a run. Each run uses its own block 127.A.B.0/24:
// hosts listen on .2, and routers on the addresses from .10 up. The ports lie below the range from
// which the system assigns ephemeral ports, so that a restarted process finds its port free.
type layout struct {
	a, b  int
	guard net.Listener // the run that holds this listener owns the block
}

const (
	clientPort         = 9000
	managementPort     = 9001 // of a router's first process; its later processes use the ports after it
	peerPort           = 7946
	listPort           = 8500
	hostPort           = 10000 // of a router's proxy to host 0
	advertisedPort     = 20000 // the proxy's port at which other routers reach a router
	guardPort          = 9999
	voterPort          = 7950
	proxyPort          = 30000 // of a router's proxy to the voter of router 0
	firstCandidatePort = 12000 // of the candidate host, which receives copies
	copyPort           = 9500  // of a router's proxy to the candidate host
	firstHost          = 11000
)

func newLayout() (*layout, error) {
	var last error
	for try := range 256 {
		n := (os.Getpid() + try*7919) & 0x3fff
		l := &layout{a: 64 + n>>8, b: n & 0xff}
		if l.guard, last = net.Listen("tcp4", l.ip(1)+":"+strconv.Itoa(guardPort)); last == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("no block of loopback addresses is free: %w", last)
}

func (l *layout) close() { l.guard.Close() }

func (l *layout) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", l.a, l.b, n) }

func (l *layout) router(i int) string { return l.ip(10 + i) }
func (l *layout) client(i int) string { return l.router(i) + ":" + strconv.Itoa(clientPort) }
func (l *layout) management(i, process int) string {
	return l.router(i) + ":" + strconv.Itoa(managementPort+process)
}
func (l *layout) list(i int) string           { return l.router(i) + ":" + strconv.Itoa(listPort) }
func (l *layout) hostOf(i, n int) string      { return l.router(i) + ":" + strconv.Itoa(hostPort+n) }
func (l *layout) host(n int) string           { return l.ip(2) + ":" + strconv.Itoa(firstHost+n) }
func (l *layout) voter(i int) string          { return l.router(i) + ":" + strconv.Itoa(voterPort) }
func (l *layout) voterProxy(i, to int) string { return l.router(i) + ":" + strconv.Itoa(proxyPort+to) }
func (l *layout) copies(i int) string         { return l.router(i) + ":" + strconv.Itoa(copyPort) }
func (l *layout) candidate() string           { return l.ip(2) + ":" + strconv.Itoa(firstCandidatePort) }
func (l *layout) peer(i int) netip.AddrPort {
	return netip.MustParseAddrPort(l.router(i) + ":" + strconv.Itoa(peerPort))
}
func (l *layout) advertised(i int) netip.AddrPort {
	return netip.MustParseAddrPort(l.router(i) + ":" + strconv.Itoa(advertisedPort))
}

// addresses returns one address for each of n routers, computed by of.
func addresses(n int, of func(int) netip.AddrPort) (all []netip.AddrPort) {
	for i := range n {
		all = append(all, of(i))
	}
	return all
}

// advertisedPeers returns the addresses of the first n routers as the peer lists in the
// configuration name them.
func (l *layout) advertisedPeers(n int) (all []string) {
	for _, a := range addresses(n, l.advertised) {
		all = append(all, a.String())
	}
	return all
}

// routerAt returns the name of the router that an address belongs to, or "" if it is no router's.
func (l *layout) routerAt(addr string) string {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	ip := a.Addr().As4()
	if int(ip[1]) != l.a || int(ip[2]) != l.b || ip[3] < 10 {
		return ""
	}
	return "r" + strconv.Itoa(int(ip[3])-10)
}

// These bound the file descriptors of a run. descriptorsPerRouter allows for the pipes of a
// router's log, its listener, calls to its management address and polls of its /-/ready, and
// descriptorsPerLink for one proxy between a router and a host or list. baseDescriptors is
// independent of the size of the fleet.
const descriptorsPerRouter, descriptorsPerLink, baseDescriptors = 24, 6, 200

// enoughDescriptors returns an error if this process may not open as many descriptors as a run may
// need.
func enoughDescriptors(routers, hosts int) error {
	need := uint64(routers*(hosts+1)*descriptorsPerLink + routers*descriptorsPerRouter + hosts + baseDescriptors)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < need {
		return fmt.Errorf("%d routers and %d hosts may need %d descriptors; the limit is %d (ulimit -n)", routers, hosts, need, limit.Cur)
	}
	return nil
}

// expand replaces the placeholder for a router's durable folder in a text by its path.
func expand(text, disk string) string { return strings.ReplaceAll(text, "@DISK@", disk) }
