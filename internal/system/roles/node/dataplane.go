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
	hostKeepaliveTimeout = 40 * time.Second // of an idle connection, where the host does not say
	hostIdleTimeout      = 5 * time.Second  // without a byte of an answer
)

// Limits of the connections and requests of clients.
const (
	bodyFraction           = 0.2 // of the memory limit, for the bodies of all requests in flight
	maxHeaderBytes         = 16 << 10
	maxRejectedConnections = 8 // beyond the limit of connections, each read and answered with 503
	sendAwayTime           = time.Second
)

// reservedDescriptors are for the disk, other routers, the control plane and the run-time. Clients
// and hosts share the rest of the limit, which is at least half of it.
const reservedDescriptors = 400

// openDataPlane makes the data plane with its front and the connections to hosts. It listens later.
func (n *Node) openDataPlane(ctx context.Context) {
	s := n.settings()
	free := max(s.Limits.FileDescriptors-reservedDescriptors, s.Limits.FileDescriptors/2)
	n.servers = transport.NewServers(transport.ServerLimits{
		ConnectTimeout:    hostConnectTimeout,
		Keepalive:         hostKeepaliveTimeout,
		StreamIdleTimeout: hostIdleTimeout,
		Connections:       free / 2,
		Dialect:           protocol.Fleet{},
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
		Admission:   admission.Config{MaxConnections: free / 2, MaxOverflow: maxRejectedConnections, MinRetryAfter: sendAwayTime},
		OnClose:     n.logUnanswered,
	})
	n.front.SetKeepAlive(true)
}

// logUnanswered logs a client's connection that was closed with a request and without an answer.
func (n *Node) logUnanswered(closed transport.ConnectionClosed) {
	if closed.Unanswered {
		go n.log.Warn("connection closed unanswered", "client", closed.Client, "reason", closed.Reason, "unread", closed.Unread,
			"after", closed.IdleTime.Round(time.Millisecond))
	}
}

// The least time-outs of clients; the configuration may set longer ones.
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

// revocationMargin is what is left of bounds.revocationMs for a request that is in flight.
const revocationMargin = 300 * time.Millisecond

// honoursKeys reports whether the configuration was confirmed so recently that requests may be
// accepted by the API keys and version pins in it.
func (n *Node) honoursKeys() bool {
	bounds := n.settings().Bounds
	if !bounds.RevocationClosed {
		return true
	}
	return n.hub.confirmedWithin(settings.Milliseconds(bounds.RevocationMs) - revocationMargin)
}

// configurationIsNewest reports whether the configuration was confirmed so recently that every
// change which has to be in force by now is in it. Only then a request may be rejected by it.
func (n *Node) configurationIsNewest() bool {
	bound := settings.Milliseconds(n.settings().Bounds.ConfigurationApplyMs)
	return bound == 0 || n.hub.confirmedWithin(bound)
}
