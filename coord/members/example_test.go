package members_test

import (
	"fmt"
	"net/netip"
	"time"

	"reachspread/coord/members"
)

// Three processes discover each other through one seed. The owner of each Decider delivers its
// datagrams. In this example, datagrams arrive immediately, in virtual time.
func Example() {
	seed := netip.MustParseAddrPort("10.0.0.1:7680")
	all := map[netip.AddrPort]*members.Decider{}
	for i := range 3 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7680)
		d, err := members.New(members.Config{Name: address.Addr().String(), Zone: "z", Addr: address, Boot: uint32(i + 1), Seeds: []netip.AddrPort{seed}, RandomSeed: uint64(i)}, 0)
		if err != nil {
			fmt.Println(err)
			return
		}
		all[address] = d
	}
	now := time.Duration(0)
	var step func(at netip.AddrPort, e members.Event)
	step = func(at netip.AddrPort, e members.Event) {
		for _, a := range all[at].Step(now, e) {
			if send, ok := a.(members.Send); ok && all[send.To] != nil {
				step(send.To, members.Received{From: at, Data: send.Data})
			}
		}
	}
	for ; now < 5*time.Second; now += 10 * time.Millisecond {
		for address, d := range all {
			if d.Next() <= now {
				step(address, members.Tick{})
			}
		}
	}
	for _, m := range all[seed].View().Members {
		fmt.Println(m.Name, m.State)
	}
	// Output:
	// 10.0.0.1 alive
	// 10.0.0.2 alive
	// 10.0.0.3 alive
}
