package leasesim_test

import (
	"strings"
	"testing"
	"time"

	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/leasesim"
)

// The founder of a group of three voters crashes at some moment during the founding and restarts
// without its disk. Afterwards, the group must have a leader and the role a holder.
func TestFounderWithoutDiskWhileFounding(t *testing.T) {
	const from, to, step = 350 * time.Millisecond, 1200 * time.Millisecond, 10 * time.Millisecond
	for at := from; at < to; at += step {
		s := leasesim.Spec{Seed: 1, Routers: 5, Candidates: 4, Voters: 3, Roles: roles[:1], Latency: 20 * time.Millisecond, Duration: 25 * time.Second,
			Faults: []faults.Fault{{Kind: faults.Kill, At: at, Length: 500 * time.Millisecond, Disk: faults.DiskEmpty, Routers: faults.Selection{Numbers: []int{0}}}}}
		p := runSpec(t, s)
		for _, v := range p.verdicts {
			t.Errorf("killed at %v: %s", at, v.String())
		}
		if p.w.Leader() < 0 || p.w.LeaseHolder(roles[0].Name) < 0 {
			t.Errorf("killed at %v: leader %d, holder %d\n%s", at, p.w.Leader(), p.w.LeaseHolder(roles[0].Name), strings.Join(p.w.Notices, "\n"))
		}
	}
}
