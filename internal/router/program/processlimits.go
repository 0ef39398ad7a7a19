package program

import (
	"context"
	"runtime/debug"
	"time"

	"reachspread/internal/router/processgroup"
)

// processLimits is what this process may use now, of the limits of its router.
type processLimits struct {
	clients, servers int   // connections
	bodies           int   // bytes
	heap             int64 // bytes
}

const (
	// heapFraction of the memory limit is for the heap; stacks and socket buffers need the rest.
	heapFraction = 0.6
	// siblingHeapFraction is the same for each of two processes.
	siblingHeapFraction = 0.35
	// programBytes of the program itself are resident, once for two processes. Heaps get most of
	// what small limits leave; with less, garbage collection takes so much of a core that
	// connections are closed late.
	programBytes       = 13 << 20
	usableHeapFraction = 0.97
	// siblingDescriptors are those of a process with a sibling that are neither clients' nor
	// servers'.
	siblingDescriptors = 32
	// successorDescriptors are those that a process which may be replaced leaves for the one to
	// come.
	successorDescriptors = siblingDescriptors + 2*minClientConnections
	// siblingCheckInterval is between two checks of how much a sibling still holds.
	siblingCheckInterval = 50 * time.Millisecond
)

// processLimits divides the limits, with what the operators' settings need set aside first. Each
// client may need a second connection to a server.
func (c *Config) processLimits(o processgroup.Siblings) processLimits {
	memory := int64(c.Limits.MemoryMB) << 20
	usable := usableHeapFraction * float64(memory-programBytes)
	r := processLimits{bodies: int(memory / 4), heap: int64(min(heapFraction*float64(memory), usable))}
	free := c.Limits.Sockets - c.descriptorsForSettings() - reservedDescriptors
	switch {
	case o.Processes > 0:
		r.bodies, r.heap = r.bodies/2, int64(min(siblingHeapFraction*float64(memory), usable/2))
		taken := o.Descriptors
		if o.Uncounted {
			taken = max(taken, c.Limits.Sockets/2)
		}
		free = max(c.Limits.Sockets-c.descriptorsForSettings()-siblingDescriptors-taken, 2)
	case c.acceptFD > 0:
		free -= successorDescriptors + o.Descriptors
	}
	r.clients = free / 2
	r.servers = free - r.clients
	return r
}

// clients returns how many client connections fit a process that is alone.
func (c *Config) clients() int { return c.processLimits(processgroup.Siblings{}).clients }

// joinProcessGroup finds out whether another process of this router runs, as one does while it is
// being replaced.
func (p *Program) joinProcessGroup() (o processgroup.Siblings) {
	folder := p.getenv("TMPDIR")
	if p.cfg.acceptFD == 0 || folder == "" {
		return o
	}
	var err error
	if p.processGroup, err = processgroup.Join(folder); err != nil {
		p.log.Warn("limits not shared", "cause", err)
		return o
	}
	return p.processGroup.Siblings()
}

// adjustLimits keeps to what siblings leave until this process is alone, or ctx ends.
func (p *Program) adjustLimits(ctx context.Context, o processgroup.Siblings) {
	ticker := time.NewTicker(siblingCheckInterval)
	defer ticker.Stop()
	for {
		moved := p.carriedStreams()
		o.Descriptors += 2 * moved
		p.applyLimits(p.cfg.processLimits(o))
		if o.Processes == 0 && moved == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o = p.processGroup.Siblings()
		}
	}
}

// applyLimits puts the limits in force in every component.
func (p *Program) applyLimits(r processLimits) {
	if old := p.processLimits.Swap(&r); old != nil && *old == r {
		return
	}
	debug.SetMemoryLimit(r.heap)
	p.front.SetBodyBytes(r.bodies)
	p.servers.SetLimit(r.servers)
	p.front.SetAdmission(p.admission(r.clients))
}

// yieldLimits leaves half of the limits to the process that takes over.
func (p *Program) yieldLimits() {
	half := p.cfg.processLimits(processgroup.Siblings{Processes: 1, Uncounted: true})
	debug.SetMemoryLimit(half.heap)
	p.servers.SetLimit(half.servers)
}
