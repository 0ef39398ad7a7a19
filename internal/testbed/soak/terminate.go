package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"
)

const (
	graceSlack     = 500 * time.Millisecond // tolerance beyond the grace period
	maxDrainingCPU = 0.5                    // highest fraction of a core that a shutdown may use, if it used at least minMeasuredCPU
	minMeasuredCPU = 500 * time.Millisecond
)

// logSizeBefore returns the size in bytes that a router's log had before its present incarnation.
func (c *scheduler) logSizeBefore(i int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logSizes[i]
}

// hasStarted reports whether the present incarnation of a router has logged that it started; logged
// is the size of the log before it. Earlier programs log the same word. A process that gets a signal
// before it handles signals does not exit with status 0, so its status is not judged.
func (c *scheduler) hasStarted(i int, logged int64) bool {
	text, err := os.ReadFile(c.soak.fleet.Log(i))
	return err != nil || strings.Contains(string(text[min(logged, int64(len(text))):]), " started ")
}

// start starts a router's process, and notes the size of the log that it appends to.
func (c *scheduler) start(i int) {
	if file, err := os.Stat(c.soak.fleet.Log(i)); err == nil {
		c.mu.Lock()
		c.logSizes[i] = file.Size()
		c.mu.Unlock()
	}
	if err := c.soak.fleet.Start(i); err != nil {
		c.soak.addFinding("START", err.Error())
	}
}

// terminate shuts a router down, and adds findings if it exits late, with an error, or after using too
// much processor time.
func (c *scheduler) terminate(ctx context.Context, rng *rand.Rand, i int) {
	f := c.soak.fleet
	logged := c.logSizeBefore(i)
	pid := f.Process(i)
	cpuBefore, start := processorTime(pid), time.Now()
	if f.Terminate(i) != nil {
		return
	}
	graceful, cancel := context.WithTimeout(context.WithoutCancel(ctx), graceS*time.Second+graceSlack)
	defer cancel()
	if rng.Float64() < c.throttledFraction {
		go throttle(graceful, pid, c.throttledRuntime) // until the process exits
	}
	c.disturbTermination(graceful, rng, i)
	exit, ok := f.AwaitExit(graceful, i)
	took := time.Since(start)
	if !ok {
		f.Kill(i)
		c.soak.addFinding("GRACE", fmt.Sprintf("%s had not exited %v after SIGTERM", f.Name(i), took.Round(time.Millisecond)))
		return
	}
	c.judgeTermination(i, logged, exit.Status, exit.CPU-cpuBefore, took)
}

// disturbTermination may send a second SIGTERM, a SIGHUP, or both to a router that shuts down, each
// with a probability of 1/4.
func (c *scheduler) disturbTermination(ctx context.Context, rng *rand.Rand, i int) {
	if rng.IntN(4) == 0 {
		sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
		c.soak.fleet.Terminate(i)
	}
	if rng.IntN(4) == 0 {
		c.soak.fleet.Reload(i)
	}
}

// judgeTermination counts a graceful shutdown. It adds a finding for a status other than 0, and for
// too much processor time.
func (c *scheduler) judgeTermination(i int, logged int64, status int, used, took time.Duration) {
	name := c.soak.fleet.Name(i)
	c.soak.countTermination(used, took)
	if status != 0 && c.hasStarted(i, logged) {
		c.soak.addFinding("EXIT", fmt.Sprintf("%s exited with status %d after SIGTERM", name, status))
	}
	if used >= minMeasuredCPU && used.Seconds() > maxDrainingCPU*took.Seconds() {
		c.soak.addFinding("BUSY", fmt.Sprintf("%s used %v of processor time in the %v from SIGTERM to its exit",
			name, used.Round(time.Millisecond), took.Round(time.Millisecond)))
	}
}

// countTermination adds a graceful shutdown to the report.
func (p *soakRun) countTermination(used, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Terminations++
	p.report.LongestTermination = max(p.report.LongestTermination, took)
	if took >= minMeasuredCPU {
		p.report.MaxTerminationCPU = max(p.report.MaxTerminationCPU, used.Seconds()/took.Seconds())
	}
}
