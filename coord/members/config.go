package members

import (
	"fmt"
	"net/netip"
)

// Limits on configured values, on datagrams and on the membership list.
const (
	MaxDatagramLen = 256    // bytes of a datagram; the limit of the platform
	MaxMembers     = 20_000 // entries of the membership list, dead members included
	MaxNameLen     = 32     // bytes of Config.Name
	MaxZoneLen     = 16     // bytes of Config.Zone
	MaxVersionLen  = 16     // bytes of Config.Version
)

// Config configures a Decider.
type Config struct {
	// Name identifies the member in the fleet and stays the same across restarts: 1 to MaxNameLen
	// bytes of printable ASCII without spaces.
	Name string
	// Zone is the member's failure domain, at most MaxZoneLen bytes. Indirect probes prefer members
	// of other zones as relays. If at least half of a zone dies, the deaths are published as one
	// change.
	Zone string
	// Version is the program's version, at most MaxVersionLen bytes. It is only displayed, never
	// compared.
	Version string
	// Addr is the IPv4 address and port at which all other members reach this one.
	Addr netip.AddrPort
	// Boot identifies the process. It is a random number other than 0, drawn at each start.
	Boot uint32
	// Incarnation is the lowest incarnation to start with: the last persisted incarnation plus 1.
	// 0 counts as 1. If it is not set, the member can only learn its earlier incarnation from live
	// members.
	Incarnation uint32
	// Seeds are the addresses that the member asks for the membership. It skips its own address.
	// More seeds help to reconnect larger network partitions, at a cost of one datagram a second in
	// total. The slice must not be modified.
	Seeds []netip.AddrPort
	// SeedsOnly makes the member reject datagrams from addresses that belong neither to a member
	// nor to Seeds.
	SeedsOnly bool
	// RandomSeed seeds the random number generator.
	RandomSeed uint64
	// MaxMembers limits the entries of the membership list, dead members included. 0 means the
	// constant MaxMembers. A lower limit saves memory; once the list is full, new members are not
	// added.
	MaxMembers int
}

// ConfigError reports a field of a Config that New rejects.
type ConfigError struct {
	Field string // name of the field of Config
	Value any
	Rule  string // what the value must satisfy: it follows "it must" in the error text
}

// Error returns a text that names the field, its value and the rule that the value breaks.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("members: %s is %q; it must %s", e.Field, fmt.Sprint(e.Value), e.Rule)
}

// validate returns a *ConfigError for the first rule that the Config breaks, or nil.
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

// isPrintable reports whether s consists of printable ASCII characters other than the space.
func isPrintable(s string) bool {
	for _, c := range s {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
