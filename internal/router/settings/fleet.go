package settings

import (
	"fmt"
	"net/netip"
	"regexp"

	"reachspread/coord/members"
)

// Fleet is the block of that name: routers keep a view of who of them lives.
type Fleet struct {
	Name    string           // empty: the configuration's
	Listen  string           // empty: the configuration's peer_listen
	Address netip.AddrPort   // at which the others reach this router; not valid: the configuration's own entry of peers
	Seeds   []netip.AddrPort // none: the configuration's peers, and nobody else may join
}

// fleet reads the block. Whether the configuration has what it leaves out, the program checks.
func (c *checker) fleet(b *fleetBlock) *Fleet {
	s := &Fleet{Name: b.Name, Listen: b.Listen}
	if b.Address != "" {
		s.Address = c.addr(b.Body, "address", b.Address)
	}
	if b.Listen != "" {
		c.addr(b.Body, "listen", b.Listen)
	}
	for _, text := range b.Seeds {
		s.Seeds = append(s.Seeds, c.addr(b.Body, "seeds", text))
	}
	switch {
	case len(b.Seeds) > maxSeeds:
		c.fault(b.Body, "seeds", "has %d addresses; there may be %d", len(b.Seeds), maxSeeds)
	case len(b.Seeds) > 0 && b.Address == "":
		c.fault(b.Body, "address", "is missing; with seeds it says where the others reach this router")
	case !memberName.MatchString(b.Name) && b.Name != "":
		c.fault(b.Body, "name", "is %q; it must have 1 to %d printable characters without spaces", b.Name, members.MaxNameLen)
	}
	return s
}

// maxSeeds bounds the addresses that are asked for the fleet.
const maxSeeds = 1024

var memberName = regexp.MustCompile(fmt.Sprintf(`^[!-~]{1,%d}$`, members.MaxNameLen))
