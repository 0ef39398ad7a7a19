package program

import (
	"context"
	"runtime/debug"
	"time"

	"reachspread/internal/router/processgroup"
)

// processLimits is the part of the router's limits that this process may use now.
type processLimits struct {
	clients, servers int   // connections from clients and to servers
	bodies           int   // bytes of request bodies
	heap             int64 // bytes of heap
}

const (
	// heapFraction is the fraction of the memory limit that a single process may use as heap. Stacks
	// and socket buffers need the rest.
	heapFraction = 0.6
	// siblingHeapFraction is the fraction of the memory limit that each of two processes of one
	// router may use as heap.
	siblingHeapFraction = 0.35
	// programBytes is the resident size of the program's own file. Two processes share these pages.
	programBytes = 13 << 20
	// usableHeapFraction is the fraction of the memory limit without programBytes that heaps may use
	// at most. It matters at small limits. With a smaller heap, garbage collection takes so much of a
	// core that connections are closed late.
	usableHeapFraction = 0.97
	// siblingDescriptors is how many descriptors a process with a sibling reserves for uses other
	// than connections to clients and servers.
	siblingDescriptors = 32
	// successorDescriptors is how many descriptors a process that may be replaced leaves for its
	// successor.
	successorDescriptors = siblingDescriptors + 2*minClientConnections
	// siblingCheckInterval is the time between two checks of how many descriptors siblings hold.
	siblingCheckInterval = 50 * time.Millisecond
)

// processLimits returns the part of the router's limits that this process may use beside its
// siblings. It first reserves the descriptors that the operators' settings need. The rest is split
// evenly between clients and servers, because each client connection may need one to a server.
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

// clients returns how many client connections fit the limits of a process without siblings.
func (c *Config) clients() int { return c.processLimits(processgroup.Siblings{}).clients }

// joinProcessGroup registers this process in the group of processes of its router and returns the
// other processes of the group. Another process runs while one replaces the other.
func (p *Program) joinProcessGroup() (o processgroup.Siblings) {
	folder := p.getenv("TMPDIR")
	if p.cfg.acceptFD == 0 || folder == "" {
		return o
	}
	var err error
	if p.processGroup, err = processgroup.Join(folder); err != nil {
		p.log.Warn("process group not joined, limits not shared with other processes", "cause", err)
		return o
	}
	return p.processGroup.Siblings()
}

// adjustLimits repeatedly sets the limits of this process to what its siblings leave, until it has
// no sibling and no stream of another process, or until ctx ends.
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

// applyLimits puts the limits in force in all parts of the program that they concern.
func (p *Program) applyLimits(r processLimits) {
	if old := p.processLimits.Swap(&r); old != nil && *old == r {
		return
	}
	debug.SetMemoryLimit(r.heap)
	p.front.SetBodyBytes(r.bodies)
	p.servers.SetLimit(r.servers)
	p.front.SetAdmission(p.admission(r.clients))
}

// yieldLimits lowers the limits for heap and server connections of this process to those of one of
// two processes. The other half is for the process that takes over.
func (p *Program) yieldLimits() {
	half := p.cfg.processLimits(processgroup.Siblings{Processes: 1, Uncounted: true})
	debug.SetMemoryLimit(half.heap)
	p.servers.SetLimit(half.servers)
}
