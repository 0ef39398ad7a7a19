package node

import (
	"context"
	"math/rand/v2"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/protocol"
	"reachspread/internal/system/dataplane"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/settings"
	"reachspread/internal/transport"
)

// Limits of the connections to hosts.
const (
	hostConnectTimeout   = 200 * time.Millisecond
	hostKeepaliveTimeout = 40 * time.Second // of an idle connection, if the host does not state a time
	hostIdleTimeout      = 5 * time.Second  // without a byte of the answer
)

// Limits of the connections and requests of clients.
const (
	bodyFraction           = 0.2 // share of the memory limit for the bodies of all requests in flight
	maxHeaderBytes         = 16 << 10
	maxRejectedConnections = 8 // above the connection limit; each is read and answered with 503
	minRetryAfter          = time.Second
)

// reservedDescriptors is the number of file descriptors reserved for the disk, other routers, the
// control plane and the runtime. Clients and hosts share the rest of the limit, or half of the
// limit if that is more.
const reservedDescriptors = 400

// openDataPlane creates the data plane, its front and the connection pools for hosts. The front
// starts to listen later.
func (n *Node) openDataPlane(ctx context.Context) {
	s := n.settings()
	free := max(s.Limits.FileDescriptors-reservedDescriptors, s.Limits.FileDescriptors/2)
	n.servers = transport.NewServers(transport.ServerLimits{
		ConnectTimeout:    hostConnectTimeout,
		Keepalive:         hostKeepaliveTimeout,
		StreamIdleTimeout: hostIdleTimeout,
		Connections:       free / 2,
		Dialect:           protocol.Fleet{},
		Panics:            n.panics,
	}, n.log)
	n.plane = dataplane.New(ctx, dataplane.Options{
		Settings:      n.settings,
		Servers:       n.servers,
		Quotas:        n.quotas,
		Fresh:         n.honoursKeys,
		Newest:        n.configurationIsNewest,
		ReportPrompts: n.peerReports.report,
		Log:           n.log,
		Seed:          rand.Uint64(),
		StartedAt:     time.Now(),
	})
	n.front = transport.NewIntakeFront(n.plane, transport.FrontLimits{
		BodyBytes:   int(bodyFraction * float64(s.Limits.MemoryMb) * (1 << 20)),
		MaxHead:     maxHeaderBytes,
		ReadTimeout: n.clientTimeout,
		Seed:        rand.Uint64(),
		Admission:   admission.Config{MaxConnections: free / 2, MaxOverflow: maxRejectedConnections, MinRetryAfter: minRetryAfter},
		OnClose:     n.logUnanswered,
		Panics:      n.panics,
	})
	n.front.SetKeepAlive(true)
}

// logUnanswered logs that a client's connection was closed before a request on it was answered.
func (n *Node) logUnanswered(closed transport.ConnectionClosed) {
	if closed.Unanswered {
		go n.log.Warn("connection closed unanswered", "client", closed.Client, "reason", closed.Reason, "unread", closed.Unread,
			"after", closed.IdleTime.Round(time.Millisecond))
	}
}

// Lower bounds of the clients' timeouts. The configuration may set longer ones.
const (
	minIdleTimeout   = 10 * time.Second
	minHeaderTimeout = 3 * time.Second
)

// clientTimeout is how long a client may send nothing: within a request that has begun, or before
// one. It implements transport.ReadTimeout.
func (n *Node) clientTimeout(begun bool) time.Duration {
	limits := configuration.Limits{}
	if state := n.plane.State(); state != nil {
		limits = state.Typed.Limits
	}
	if begun {
		return max(settings.Milliseconds(limits.HeaderTimeoutMs), minHeaderTimeout)
	}
	return max(settings.Milliseconds(limits.IdleTimeoutMs), minIdleTimeout)
}

// revocationMargin is the part of bounds.revocationMs that is reserved for requests in flight.
const revocationMargin = 300 * time.Millisecond

// honoursKeys reports whether the configuration was confirmed recently enough that requests may be
// accepted by its API keys and version pins.
func (n *Node) honoursKeys() bool {
	bounds := n.settings().Bounds
	if !bounds.RevocationClosed {
		return true
	}
	return n.hub.confirmedWithin(settings.Milliseconds(bounds.RevocationMs) - revocationMargin)
}

// configurationIsNewest reports whether the configuration was confirmed so recently that it has
// every change that must be in force by now. The router may reject a request because of the
// configuration only if this is true.
func (n *Node) configurationIsNewest() bool {
	bound := settings.Milliseconds(n.settings().Bounds.ConfigurationApplyMs)
	return bound == 0 || n.hub.confirmedWithin(bound)
}
