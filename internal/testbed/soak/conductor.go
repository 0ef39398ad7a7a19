package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	meanGap        = 500 * time.Millisecond // between two events of the schedule
	quietFraction  = 0.2                    // of the gaps are long ones, so that routers count as in touch
	quietFor       = 8 * time.Second
	mostInRoll     = 4
	mostAtOnce     = 3
	coreCalm       = 2500 * time.Millisecond // between two troubles of the register, from its being ready again
	quotaRuns      = 30 * time.Millisecond   // of each quotaPeriod, a process whose processor is a quota
	quotaPeriod    = 100 * time.Millisecond
	quotaFraction  = 0.3                    // of the processes that end have one
	graceSlack     = 500 * time.Millisecond // of real time
	maxDrainingCPU = 0.5                    // of a core, over at least leastLeaverCPU
	leastCPU       = 500 * time.Millisecond
	ticksASecond   = 100 // of the processor times under /proc, the same on all Linux systems
)

// conductor plays the schedule. Events go on beside each other; a router is struck by one at a time, and so is the register.
type conductor struct {
	play  *play
	rng   *rand.Rand
	group sync.WaitGroup

	mu       sync.Mutex
	quota    float64       // the part of the processes that end on a processor quota
	runs     time.Duration // of each quotaPeriod, such a process
	busy     map[int]bool
	logged   map[int]int64 // by routers, before their present lives
	coreBusy bool
}

func newConductor(p *play) *conductor {
	return &conductor{play: p, rng: p.rng(3), quota: quotaFraction, runs: quotaRuns, busy: map[int]bool{}, logged: map[int]int64{}}
}

// event is one kind, with its weight among all.
type event struct {
	name   string
	weight int
	begin  func(ctx context.Context, rng *rand.Rand)
}

// run begins events until the length is over, and waits until all routers are back.
func (c *conductor) run(ctx context.Context) {
	events := []event{
		{"roll", 6, c.roll}, {"terminate", 4, c.terminateSome}, {"kill", 3, c.kill}, {"freeze", 3, c.freeze},
		{"reload", 3, c.reload}, {"young", 3, c.endYoung}, {"host", 3, func(ctx context.Context, _ *rand.Rand) { c.play.hosts.leave(ctx) }},
	}
	total := 0
	for _, e := range events {
		total += e.weight
	}
	for c.play.now() < c.play.o.Length && ctx.Err() == nil {
		drawn := c.rng.IntN(total)
		rng := rand.New(rand.NewPCG(c.rng.Uint64(), 0))
		for _, e := range events {
			if drawn -= e.weight; drawn < 0 {
				c.play.log(e.name, "")
				c.group.Go(func() { e.begin(ctx, rng) })
				break
			}
		}
		gap := time.Duration(c.rng.ExpFloat64() * float64(meanGap))
		if c.rng.Float64() < quietFraction {
			gap = quietFor
		}
		sleep(ctx, min(gap, quietFor))
	}
	c.group.Wait()
	c.untilBack(ctx)
}

// untilBack waits until all routers serve again.
func (c *conductor) untilBack(ctx context.Context) {
	within, cancel := context.WithTimeout(ctx, quiesceTime)
	defer cancel()
	var all []int
	for i := range c.play.fleet.Len() {
		all = append(all, i)
	}
	if err := c.play.fleet.AwaitReady(within, all...); err != nil && ctx.Err() == nil {
		c.play.find("RECOVER", err.Error())
	}
}

// take has routers be struck by this event alone; those that another one strikes are left out, and so is the register's second machine.
func (c *conductor) take(rng *rand.Rand, most int) (all []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range rng.Perm(c.play.fleet.Len()) {
		core := c.play.fleet.HasDisk(i)
		if len(all) == most || c.busy[i] || core && c.coreBusy {
			continue
		}
		c.busy[i] = true
		c.coreBusy = c.coreBusy || core
		all = append(all, i)
	}
	return all
}

// give lets a router go once it serves again, and the register a while after.
func (c *conductor) give(ctx context.Context, i int) {
	c.play.fleet.AwaitReady(ctx, i)
	core := c.play.fleet.HasDisk(i)
	if core {
		sleep(ctx, coreCalm)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, i)
	if core {
		c.coreBusy = false
	}
}

// roll has routers end one after the other, each begun anew at once.
func (c *conductor) roll(ctx context.Context, rng *rand.Rand) {
	gap := time.Duration(rng.IntN(500)) * time.Millisecond
	var group sync.WaitGroup
	for _, i := range c.take(rng, 1+rng.IntN(mostInRoll)) {
		clientRandom := rand.New(rand.NewPCG(rng.Uint64(), 0))
		group.Go(func() { c.restart(ctx, clientRandom, i) })
		sleep(ctx, gap)
	}
	group.Wait()
}

// terminateSome has routers end at the same time.
func (c *conductor) terminateSome(ctx context.Context, rng *rand.Rand) {
	var group sync.WaitGroup
	for _, i := range c.take(rng, mostAtOnce) {
		clientRandom := rand.New(rand.NewPCG(rng.Uint64(), 0))
		group.Go(func() { c.restart(ctx, clientRandom, i) })
	}
	group.Wait()
}

// restart has a router end in order, with further signals while it does, and begins the next life.
func (c *conductor) restart(ctx context.Context, rng *rand.Rand, i int) {
	ended := c.play.trouble(i, true)
	defer ended()
	c.end(ctx, rng, i)
	sleep(ctx, time.Duration(rng.IntN(400))*time.Millisecond)
	c.start(i)
	c.give(ctx, i)
}

// loggedBefore is how much routers before the present life had logged.
func (c *conductor) loggedBefore(i int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logged[i]
}

// hasStarted tells whether a life of a router came to serve. A signal that comes before the process takes any ends it as the system does.
// The line is looked for as landed programs word it, too.
func (c *conductor) hasStarted(i int, logged int64) bool {
	text, err := os.ReadFile(c.play.fleet.Log(i))
	return err != nil || strings.Contains(string(text[min(logged, int64(len(text))):]), " started ")
}

func (c *conductor) start(i int) {
	if file, err := os.Stat(c.play.fleet.Log(i)); err == nil {
		c.mu.Lock()
		c.logged[i] = file.Size()
		c.mu.Unlock()
	}
	if err := c.play.fleet.Start(i); err != nil {
		c.play.find("START", err.Error())
	}
}

// end has a router end in order, and judges how it does.
func (c *conductor) end(ctx context.Context, rng *rand.Rand, i int) {
	f, name := c.play.fleet, c.play.fleet.Name(i)
	logged := c.loggedBefore(i)
	pid := f.Process(i)
	before, began := processorOf(pid), time.Now()
	if f.Terminate(i) != nil {
		return
	}
	graceful, over := context.WithTimeout(context.WithoutCancel(ctx), graceS*time.Second+graceSlack)
	defer over()
	if rng.Float64() < c.quota {
		go throttle(graceful, pid, c.runs)
	}
	if rng.IntN(4) == 0 {
		sleep(graceful, time.Duration(rng.IntN(1500))*time.Millisecond)
		f.Terminate(i)
	}
	if rng.IntN(4) == 0 {
		f.Reload(i)
	}
	e, ok := f.AwaitExit(graceful, i)
	took := time.Since(began)
	if !ok {
		f.Kill(i)
		c.play.find("GRACE", fmt.Sprintf("%s was still there %v after SIGTERM", name, took.Round(time.Millisecond)))
		return
	}
	used := e.CPU - before
	c.play.mu.Lock()
	c.play.report.Ends++
	c.play.report.LongestTo = max(c.play.report.LongestTo, took)
	if took >= leastCPU {
		c.play.report.MostCPU = max(c.play.report.MostCPU, used.Seconds()/took.Seconds())
	}
	c.play.mu.Unlock()
	if e.Status != 0 && c.hasStarted(i, logged) {
		c.play.find("EXIT", fmt.Sprintf("%s ended with %d after SIGTERM", name, e.Status))
	}
	if used >= leastCPU && used.Seconds() > maxDrainingCPU*took.Seconds() {
		c.play.find("BUSY", fmt.Sprintf("%s used %v of processor time in %v while it ended", name, used.Round(time.Millisecond), took.Round(time.Millisecond)))
	}
}

// throttle lets a process run for a part of each period until it has ended or ctx has.
func throttle(ctx context.Context, pid int, runs time.Duration) {
	for syscall.Kill(pid, syscall.SIGSTOP) == nil {
		sleep(ctx, quotaPeriod-runs)
		syscall.Kill(pid, syscall.SIGCONT)
		if !sleep(ctx, runs) || !isAlive(pid) {
			return
		}
	}
}

// isAlive tells whether a process is there and has not ended.
func isAlive(pid int) bool {
	fields := statOf(pid)
	return len(fields) > 0 && fields[0] != "Z" && fields[0] != "X"
}

// processorOf is the processor time that a process has used, 0 where it is gone.
func processorOf(pid int) time.Duration {
	const user, system = 11, 12 // behind the name
	fields := statOf(pid)
	if len(fields) <= system {
		return 0
	}
	ticks := 0
	for _, at := range []int{user, system} {
		n, _ := strconv.Atoi(fields[at])
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksASecond
}

// statOf are the fields that the system tells of a process, from its state on; nil where it is gone.
func statOf(pid int) []string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil
	}
	return strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
}

// kill ends a router at once, and begins it anew some time later.
func (c *conductor) kill(ctx context.Context, rng *rand.Rand) {
	for _, i := range c.take(rng, 1) {
		ended := c.play.trouble(i, false)
		c.play.fleet.Kill(i)
		sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
		c.start(i)
		c.give(ctx, i)
		ended()
	}
}

// freeze has a router stand still.
func (c *conductor) freeze(ctx context.Context, rng *rand.Rand) {
	for _, i := range c.take(rng, 1) {
		ended := c.play.trouble(i, false)
		c.play.fleet.Freeze(i)
		sleep(ctx, time.Duration(200+rng.IntN(2800))*time.Millisecond)
		c.play.fleet.Thaw(i)
		c.give(ctx, i)
		ended()
	}
}

// reload has routers read their settings anew, in a series.
func (c *conductor) reload(ctx context.Context, rng *rand.Rand) {
	all := c.take(rng, mostAtOnce)
	for range 1 + rng.IntN(4) {
		for _, i := range all {
			c.play.fleet.Reload(i)
		}
		sleep(ctx, time.Duration(rng.IntN(200))*time.Millisecond)
	}
	for _, i := range all {
		c.give(ctx, i)
	}
}

// endYoung has a router that has just begun end again, some times in a row.
func (c *conductor) endYoung(ctx context.Context, rng *rand.Rand) {
	for _, i := range c.take(rng, 1) {
		ended := c.play.trouble(i, true)
		c.end(ctx, rng, i)
		for range 1 + rng.IntN(2) {
			c.start(i)
			c.untilHandled(ctx, i)
			sleep(ctx, time.Duration(rng.IntN(600))*time.Millisecond)
			c.end(ctx, rng, i)
		}
		c.start(i)
		c.give(ctx, i)
		ended()
	}
}

// untilHandled waits until a process that has begun takes signals: one that comes before ends it as the system does.
func (c *conductor) untilHandled(ctx context.Context, i int) {
	const caughtBit = uint64(1) << (int(syscall.SIGTERM) - 1)
	within, cancel := context.WithTimeout(ctx, quiesceTime)
	defer cancel()
	for {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.play.fleet.Process(i)))
		for line := range strings.Lines(string(text)) {
			if mask, found := strings.CutPrefix(line, "SigCgt:"); found {
				if caught, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64); err == nil && caught&caughtBit != 0 {
					return
				}
			}
		}
		if !sleep(within, 2*time.Millisecond) {
			return
		}
	}
}
