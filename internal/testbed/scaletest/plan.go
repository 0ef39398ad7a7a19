// Package scaletest measures the membership protocol on many members at once: real router processes beside hollow members, which run
// the real protocol on real sockets, many in one process, and carry no traffic. It starts and ends everything that it needs on
// loopback, and judges nothing: its caller reads what was measured.
package scaletest

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	mostReal   = 300
	mostHollow = 5000
	// What a member takes up at the most, for plans that would not fit the machine.
	realMB   = 64
	hollowMB = 1
)

// Plan is one run.
type Plan struct {
	Real    int // router processes
	Hollow  int // members without traffic, all in this process
	Zones   int
	Loss    float64       // share of the datagrams from and to hollow members that is lost
	Churn   float64       // restarts of hollow members a minute, while traffic is measured
	Quiesce time.Duration // after the joins, before traffic is measured
	Length  time.Duration // for which traffic is measured
	Apart   time.Duration // for which half of the members are cut off from the others
	Within  time.Duration // for a change to be known to all
	Seed    uint64
	Program string // the router's binary; needed for real members
}

// Members is how many there are.
func (p *Plan) Members() int { return p.Real + p.Hollow }

// Check returns in one line what is wrong with a plan, for a machine with so much memory.
func (p *Plan) Check(machineMB int) error {
	switch need := p.Real*realMB + p.Hollow*hollowMB; {
	case p.Hollow < 2:
		return fmt.Errorf("hollow is %d; it must be 2 or more, as members are crashed and cut off", p.Hollow)
	case p.Hollow > mostHollow:
		return fmt.Errorf("hollow is %d; it must be %d or less", p.Hollow, mostHollow)
	case p.Real < 0 || p.Real > mostReal:
		return fmt.Errorf("real is %d; it must be from 0 to %d processes", p.Real, mostReal)
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

// MachineMB is this machine's memory.
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

// zone is that of the n-th member.
func (p *Plan) zone(n int) string { return string(rune('a' + n%p.Zones)) }
