package settings

import (
	"fmt"
	"net/netip"
	"regexp"

	"reachspread/coord/members"
)

// Fleet is the content of the block "fleet", which configures the membership protocol between the
// routers.
type Fleet struct {
	Name    string           // name of this router; if empty, the configuration's
	Listen  string           // listen address; if empty, the configuration's peer_listen
	Address netip.AddrPort   // address at which the other routers reach this one; if not valid, this router's entry in the configuration's peers
	Seeds   []netip.AddrPort // if empty, the configuration's peers, and no other router may join
}

// fleet reads the block "fleet". It does not check whether the configuration has the values that the
// block leaves out; the program does.
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
		c.fault(b.Body, "seeds", "has %d addresses; at most %d are allowed", len(b.Seeds), maxSeeds)
	case len(b.Seeds) > 0 && b.Address == "":
		c.fault(b.Body, "address", "is missing; with seeds set, it must be the address at which the other routers reach this router")
	case !memberName.MatchString(b.Name) && b.Name != "":
		c.fault(b.Body, "name", "is %q; it must have 1 to %d printable characters without spaces", b.Name, members.MaxNameLen)
	}
	return s
}

// maxSeeds is the maximum number of addresses at which a router asks for the fleet's members.
const maxSeeds = 1024

var memberName = regexp.MustCompile(fmt.Sprintf(`^[!-~]{1,%d}$`, members.MaxNameLen))
