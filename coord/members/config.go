package members

import (
	"fmt"
	"net/netip"
)

// Bounds of what comes from outside.
const (
	MaxDatagramLen = 256    // bytes of a datagram; the platform's bound
	MaxMembers     = 20_000 // entries of the membership list, dead members included
	MaxNameLen     = 32     // bytes of Config.Name
	MaxZoneLen     = 16     // bytes of Config.Zone
	MaxVersionLen  = 16     // bytes of Config.Version
)

// Config is what a Decider is given at its start.
type Config struct {
	// Name identifies the member in the fleet and stays the same across restarts: 1 to MaxNameLen
	// bytes of printable ASCII without spaces.
	Name string
	// Zone is the member's failure domain, at most MaxZoneLen bytes. Indirect probes go through
	// another zone first, and deaths of half a zone are published as one change.
	Zone string
	// Version is the program's version, at most MaxVersionLen bytes; shown, never compared.
	Version string
	// Addr is the IPv4 address and port at which all other members reach this one.
	Addr netip.AddrPort
	// Boot identifies the process: a random number, drawn at each start, not 0.
	Boot uint32
	// Incarnation is the lowest incarnation to begin with: the last one that was persisted plus 1.
	// 0 counts as 1. Without it the incarnation is learnt from live members alone.
	Incarnation uint32
	// Seeds are addresses that are asked for the membership; the local address is skipped. More
	// seeds bridge larger partitions, at one datagram a second in total. The slice must not change.
	Seeds []netip.AddrPort
	// SeedsOnly rejects datagrams from addresses that are neither members nor Seeds.
	SeedsOnly bool
	// RandomSeed seeds all random draws.
	RandomSeed uint64
	// MaxMembers bounds the membership list, dead members included; 0 for MaxMembers. A lower bound
	// saves memory and leaves members out once it is reached.
	MaxMembers int
}

// ConfigError is returned by New for a Config that breaks a rule.
type ConfigError struct {
	Field string // of Config
	Value any
	Rule  string // what Field must be
}

// Error names the field, its value and the rule.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("members: %s is %q; it must %s", e.Field, fmt.Sprint(e.Value), e.Rule)
}

// validate returns the first broken rule as a *ConfigError.
func (c *Config) validate() error {
	addrOK := c.Addr.IsValid() && c.Addr.Addr().Is4() && c.Addr.Port() != 0
	for _, check := range []struct {
		ok    bool
		field string
		value any
		rule  string
	}{
		{c.Name != "" && len(c.Name) <= MaxNameLen, "Name", c.Name, fmt.Sprintf("have 1 to %d bytes", MaxNameLen)},
		{len(c.Zone) <= MaxZoneLen, "Zone", c.Zone, fmt.Sprintf("have at most %d bytes", MaxZoneLen)},
		{len(c.Version) <= MaxVersionLen, "Version", c.Version, fmt.Sprintf("have at most %d bytes", MaxVersionLen)},
		{addrOK, "Addr", c.Addr, "be an IPv4 address with a port"},
		{c.Boot != 0, "Boot", c.Boot, "not be 0"},
		{isPrintable(c.Name), "Name", c.Name, printableRule},
		{isPrintable(c.Zone), "Zone", c.Zone, printableRule},
		{isPrintable(c.Version), "Version", c.Version, printableRule},
	} {
		if !check.ok {
			return &ConfigError{check.field, check.value, check.rule}
		}
	}
	return nil
}

const printableRule = "be printable ASCII without spaces"

func isPrintable(s string) bool {
	for _, c := range s {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
