// Package scaletest measures the membership protocol on many members at once: real router processes
// and hollow members, which run the real protocol on real sockets, many in one process, and serve
// no requests. It starts and ends everything that it needs on loopback. It only measures; its
// caller judges the figures.
package scaletest

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	maxReal   = 300
	maxHollow = 5000
	// The memory bounds of a member, by which plans that do not fit the machine are refused.
	realMemberMB   = 64
	hollowMemberMB = 1
)

// Plan is the size, faults and times of one run. Its JSON names are part of the output.
type Plan struct {
	Real    int // router processes
	Hollow  int // members without traffic, all in this process
	Zones   int
	Loss    float64       // fraction of the datagrams from and to hollow members that is lost
	Churn   float64       // restarts of hollow members a minute, while traffic is measured
	Quiesce time.Duration `json:"Settle"` // after the joins, before traffic is measured
	Length  time.Duration // for which traffic is measured
	Apart   time.Duration // for which half of the members are partitioned from the others
	Within  time.Duration // for a change to be known to all
	Seed    uint64
	Program string // the router's binary; needed for real members
}

// Members is the number of members of both kinds.
func (p *Plan) Members() int { return p.Real + p.Hollow }

// Check returns an error of one line that names an invalid field, or the memory if the plan does
// not fit a machine with machineMB.
func (p *Plan) Check(machineMB int) error {
	switch need := p.Real*realMemberMB + p.Hollow*hollowMemberMB; {
	case p.Hollow < 2:
		return fmt.Errorf("hollow is %d; it must be 2 or more, as members are crashed and cut off", p.Hollow)
	case p.Hollow > maxHollow:
		return fmt.Errorf("hollow is %d; it must be %d or less", p.Hollow, maxHollow)
	case p.Real < 0 || p.Real > maxReal:
		return fmt.Errorf("real is %d; it must be from 0 to %d processes", p.Real, maxReal)
	case p.Real > 0 && p.Program == "":
		return fmt.Errorf("program is empty; real members need the router's binary")
	case p.Zones < 1 || p.Zones > 26:
		return fmt.Errorf("zones is %d; it must be from 1 to 26", p.Zones)
	case p.Loss < 0 || p.Loss >= 1:
		return fmt.Errorf("loss is %v; it must be from 0 to less than 1", p.Loss)
	case p.Churn < 0:
		return fmt.Errorf("churn is %v; it must be 0 or more", p.Churn)
	case p.Length <= 0 || p.Apart <= 0 || p.Within <= 0 || p.Quiesce < 0:
		return fmt.Errorf("length, apart and within must be more than 0, and settle not below; they are %v, %v, %v and %v", p.Length, p.Apart, p.Within, p.Quiesce)
	case need > machineMB/2:
		return fmt.Errorf("%d real and %d hollow members may take %d MB; half of this machine's memory is %d MB", p.Real, p.Hollow, need, machineMB/2)
	}
	return nil
}

// MachineMB is this machine's memory in MB. The error is that of reading /proc/meminfo.
func MachineMB() (int, error) {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var kB int
		if rest, ok := strings.CutPrefix(lines.Text(), "MemTotal:"); ok {
			_, err := fmt.Sscan(rest, &kB)
			return kB / 1024, err
		}
	}
	return 0, fmt.Errorf("/proc/meminfo has no line MemTotal")
}

// zone is the zone of the n-th member.
func (p *Plan) zone(n int) string { return string(rune('a' + n%p.Zones)) }
