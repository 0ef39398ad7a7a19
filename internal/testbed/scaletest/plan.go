// Package scaletest measures the membership protocol with many members. The members are real router
// processes and hollow members. Hollow members run the real protocol on real sockets, many of them
// in one process, and serve no requests. The package starts and stops all members on loopback. It
// only measures: the caller decides whether the figures are acceptable.
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
	// Upper bounds of a member's memory. Check uses them to refuse plans that do not fit the machine.
	realMemberMB   = 64
	hollowMemberMB = 1
)

// Plan is the size, faults and times of one run. Its JSON names are part of the output.
type Plan struct {
	Real    int // router processes
	Hollow  int // members that serve no requests, all in this process
	Zones   int
	Loss    float64       // fraction of the datagrams from and to hollow members that is lost
	Churn   float64       // mean number of restarts of hollow members per minute while traffic is measured
	Quiesce time.Duration `json:"Settle"` // wait between the joins and the measurement of traffic
	Length  time.Duration // how long traffic is measured
	Apart   time.Duration // how long half of the hollow members are partitioned from the other members
	Within  time.Duration // how long to wait until all members know of a change
	Seed    uint64
	Program string // the router's binary; needed for real members
}

// Members returns the number of members, real and hollow.
func (p *Plan) Members() int { return p.Real + p.Hollow }

// Check returns an error of one line if a field is invalid, or if the members may need more than
// half of the machine's memory of machineMB megabytes. The error names the field or the memory.
func (p *Plan) Check(machineMB int) error {
	switch need := p.Real*realMemberMB + p.Hollow*hollowMemberMB; {
	case p.Hollow < 2:
		return fmt.Errorf("hollow is %d; it must be 2 or more because the run crashes and partitions hollow members", p.Hollow)
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
		return fmt.Errorf("length, apart and within must be above 0, and settle must be 0 or more; they are %v, %v, %v and %v", p.Length, p.Apart, p.Within, p.Quiesce)
	case need > machineMB/2:
		return fmt.Errorf("%d real and %d hollow members may take %d MB; half of this machine's memory is %d MB", p.Real, p.Hollow, need, machineMB/2)
	}
	return nil
}

// MachineMB returns this machine's memory in MB, or an error if /proc/meminfo can't be read.
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

// zone returns the zone of the n-th member. Zones have the names a, b, c and so on.
func (p *Plan) zone(n int) string { return string(rune('a' + n%p.Zones)) }
