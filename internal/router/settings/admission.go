package settings

import (
	"net/netip"
	"slices"
	"time"

	"reachspread/internal/admission"
)

// Admission is the content of the block "door". It does not set Config.MaxConnections and
// Config.ReservedForKnown, which the program computes from the configuration's limits.
type Admission struct {
	Config           admission.Config
	ReservedFraction float64 // fraction of the connections that is reserved for known clients
	IdentityHeader   string  // name of the header that carries the client's identity
}

func (c *checker) admission(b *admissionBlock) *Admission {
	d := &Admission{IdentityHeader: b.Header, ReservedFraction: c.number(b.Body, "reserve", b.ReservedFraction, 0.25, 0, 0.9)}
	d.Config = admission.Config{
		MaxOverflow:         c.count(b.Body, "step", b.MaxOverflow, 16, 20), // more than 20 would not fit in the file descriptors set aside for overflow connections
		RememberedAddresses: c.count(b.Body, "addresses", b.RememberedAddresses, 4096, 1<<20),
		MinRetryAfter:       c.duration(b.Body, "away", b.MinRetryAfter, time.Second),
		PerAddress:          c.clientLimit(b.Address.limit(), admission.ClientLimit{Connections: 16, OpenRequests: 16, ConnectionsPerSecond: 20}),
		PerNetwork:          c.clientLimit(b.Net.limit(), admission.ClientLimit{Connections: 64, OpenRequests: 64, ConnectionsPerSecond: 100}),
		PerKnownAddress:     c.clientLimit(b.Known, admission.ClientLimit{}),
		PerIdentity:         c.clientLimit(b.Identity, admission.ClientLimit{}),
		EvictFromLargest:    true,
		CloseAfterAnswer:    true,
	}
	d.Config.Prefixes = c.prefixLengths(b)
	d.Config.IdleTimeout = c.byLevel(b.IdleTimeout, 2*time.Second, 500*time.Millisecond, 100*time.Millisecond)
	d.Config.WriteTimeout = c.byLevel(b.WriteTimeout, 10*time.Second, 5*time.Second, 2*time.Second)
	d.Config.RequestTimeout = c.byLevel(b.RequestTimeout, 2*time.Second, time.Second, 300*time.Millisecond)
	switch {
	case b.Header != "" && !headerName.MatchString(b.Header):
		c.fault(b.Body, "identity_header", "is %q; it must be the name of a header: letters, digits and hyphens", b.Header)
	case len(b.Identities) > 0 && b.Header == "":
		c.fault(b.Body, "identities", "needs identity_header, the name of the header that carries the identity")
	case slices.Contains(b.Identities, ""):
		c.fault(b.Body, "identities", "contains an empty name")
	}
	for _, text := range b.Ranges {
		p, err := netip.ParsePrefix(text)
		if err != nil || p != p.Masked() {
			c.fault(b.Body, "ranges", "contains %q; it must be the first address of a network and the length of its prefix, such as 10.0.0.0/8", text)
		}
		d.Config.KnownRanges = append(d.Config.KnownRanges, p)
	}
	if len(b.Identities) > 0 {
		d.Config.KnownIdentities = map[string]bool{}
		for _, name := range b.Identities {
			d.Config.KnownIdentities[name] = true
		}
	}
	return d
}

// byLevel reads a timeout for each of the load levels calm, tight and critical.
func (c *checker) byLevel(b *timeoutBlock, fallbacks ...time.Duration) (times [3]time.Duration) {
	if b == nil {
		b = new(timeoutBlock)
	}
	for i, text := range []string{b.Calm, b.Tight, b.Critical} {
		times[i] = c.duration(b.Body, [...]string{"calm", "tight", "critical"}[i], text, fallbacks[i])
	}
	return times
}

// prefixLengths reads the lengths of the prefixes that count as one address and as one network.
func (c *checker) prefixLengths(b *admissionBlock) admission.PrefixLengths {
	l := admission.PrefixLengths{Address4: 32, Network4: 24, Address6: 64, Network6: 48}
	read := func(b *netBlock, field string, length *int, to *int, maximum int) {
		if length == nil {
			return
		}
		if *to = *length; *length < 1 || *length > maximum {
			c.fault(b.Body, field, "is %d; a prefix has from 1 to %d bits", *length, maximum)
		}
	}
	if a := b.Address; a != nil {
		read(a, "ipv4", a.IPv4, &l.Address4, 32)
		read(a, "ipv6", a.IPv6, &l.Address6, 128)
	}
	if n := b.Net; n != nil {
		read(n, "ipv4", n.IPv4, &l.Network4, 32)
		read(n, "ipv6", n.IPv6, &l.Network6, 128)
	}
	for _, lengths := range []struct {
		field        string
		address, net int
	}{{"ipv4", l.Address4, l.Network4}, {"ipv6", l.Address6, l.Network6}} {
		if lengths.net < lengths.address {
			continue
		}
		at, block := b.Body, ""
		if b.Address != nil {
			at, block = b.Address.Body, "address"
		}
		if b.Net != nil {
			at, block = b.Net.Body, "net"
		}
		c.fault(at, lengths.field, "(%s) results in the prefix /%d for an address and /%d for its network; the network's must be shorter", block, lengths.address, lengths.net)
	}
	return l
}

// clientLimit reads the limits of one client, address or network. A limit of 0 stands for none.
func (c *checker) clientLimit(b *limitBlock, fallback admission.ClientLimit) admission.ClientLimit {
	if b == nil {
		return fallback
	}
	count := func(field string, n *int, fallback int) int {
		if n == nil {
			return fallback
		}
		if *n < 0 || *n > 1e6 {
			c.fault(b.Body, field, "is %d; it must be from 0, for no limit, to 1000000", *n)
		}
		return *n
	}
	limit := admission.ClientLimit{Connections: count("connections", b.Connections, fallback.Connections), OpenRequests: count("open", b.OpenRequests, fallback.OpenRequests),
		ConnectionsPerSecond: c.number(b.Body, "per_second", b.PerSecond, fallback.ConnectionsPerSecond, 0, 1e6)}
	if limit.Connections > 0 && limit.OpenRequests > limit.Connections && b.OpenRequests != nil {
		c.fault(b.Body, "open", "is %d; a connection carries one request at a time, so it must not exceed connections, which is %d", limit.OpenRequests, limit.Connections)
	}
	return limit
}
