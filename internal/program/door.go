package program

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"reachspread/internal/door"
	"reachspread/internal/transport"
)

const (
	usualStep = 8 // connections beyond the places that are read and refused, without settings
	// doorEvery is how often the door hears of the time and of what others lend it.
	doorEvery = 25 * time.Millisecond
	// reloadLook is how often it is looked whether that has become of use.
	reloadLook = time.Second
	// shortAgain is the least time between two lines of a lack of descriptors: one for each episode, whoever makes it.
	shortAgain = time.Minute
	topTen     = 10
	// listenerSockets are the listener's two descriptors and the one held back.
	listenerSockets = 3
	// DoorTopic is the path of the door's state on the status socket.
	DoorTopic = "/door"
)

// frontLimits is what clients may take up.
func (p *Program) frontLimits(r room) transport.FrontLimits {
	l := transport.FrontLimits{Bodies: r.bodies, Seed: p.cfg.seed, Door: p.cfg.door(r.clients), Short: p.short()}
	if p.cfg.set != nil && p.cfg.set.Door != nil {
		l.Identity = p.cfg.set.Door.Identity
	}
	return l
}

// door returns the door's settings: those of the operators, or as many places as fit and nothing more.
func (c *Config) door(clients int) door.Config {
	if c.set == nil || c.set.Door == nil {
		return door.Config{Places: clients, Step: usualStep, Away: min(c.balance.MaxAway, time.Second)}
	}
	d := c.set.Door.Config
	d.Places = clients
	d.Reserve = int(c.set.Door.Reserve * float64(clients))
	return d
}

// door returns the door's settings by what is in force.
func (p *Program) door(clients int) door.Config { return p.force.Load().door(clients) }

// short returns what the listener calls when the process has no descriptor left.
func (p *Program) short() func() {
	var mu sync.Mutex
	var last time.Time
	return func() {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(last) < shortAgain {
			return
		}
		last = time.Now()
		fields := []any{}
		ledger := p.ledger()
		for _, line := range ledger.Lines {
			fields = append(fields, line.Owner, line.Used)
		}
		p.log.Warn("descriptors exhausted", fields...)
	}
}

// tendDoor lets the door know of the time and of what copies lend it, until ctx ends. Without a block door and without pools there is nothing
// of either; then it looks once a second whether a reload has brought any.
func (p *Program) tendDoor(ctx context.Context) {
	timer := time.NewTimer(doorEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if set := p.force.Load().set; (set == nil || set.Door == nil) && p.cfg.copies() == 0 {
			timer.Reset(reloadLook)
			continue
		}
		p.front.Door(door.Lendable(p.cfg.copies(), p.mirror.Sockets()))
		timer.Reset(doorEvery)
	}
}

// copies returns how many descriptors are set aside for copies.
func (c *Config) copies() (n int) {
	if c.set == nil {
		return 0
	}
	for _, pool := range c.set.Shadow.Pools {
		n += pool.Sockets
	}
	return n
}

// shares is the ledger as the configuration divides it, before anybody has a descriptor.
func (c *Config) shares(r room) door.Ledger {
	clients, reserve, step := r.clients, c.door(r.clients).Reserve, c.door(r.clients).Step
	return door.Ledger{Limit: c.Limits.Sockets, Lines: []door.Line{
		{Owner: door.Listeners, Share: listenerSockets},
		{Owner: door.KnownOnes, Share: reserve},
		{Owner: door.Unknown, Share: clients - reserve},
		{Owner: door.StepOnes, Share: step},
		{Owner: door.Servers, Share: r.servers},
		{Owner: door.Discovery, Share: 1},
		{Owner: door.Copies, Share: c.copies()},
		{Owner: door.StatusOnes, Share: c.aside() - c.copies()}, // with the files of the records
		{Owner: door.Operators, Share: transport.ManagementSockets},
		{Owner: door.Float, Share: otherSockets - listenerSockets - transport.ManagementSockets - 1 - step},
	}}
}

// ledger is who may have and who has the descriptors of the process.
func (p *Program) ledger() door.Ledger {
	counts, _ := p.front.DoorStatus(0)
	used := map[door.Owner]int{door.Listeners: 3, door.Discovery: 1, door.KnownOnes: counts.Known, door.Unknown: counts.Unknown,
		door.StepOnes: counts.Step, door.Servers: p.servers.Open(),
		door.Float: max(p.front.Alive()-counts.Known-counts.Unknown-counts.Step, 0)}
	if p.mirror != nil {
		used[door.Copies] = p.mirror.Sockets()
	}
	if p.status != nil {
		used[door.StatusOnes] = 1
	}
	l := p.cfg.shares(*p.room.Load())
	for i := range l.Lines {
		l.Lines[i].Used = used[l.Lines[i].Owner]
	}
	if open, err := os.ReadDir("/proc/self/fd"); err == nil {
		l.Open = len(open) - 1 // without the one that reads it
	}
	return l
}

// DoorStatus is the state of the door, as `door status` prints it.
type DoorStatus struct {
	Level    string            `json:"level"`
	Places   int               `json:"places"`
	Reserve  int               `json:"reserve"`
	Lent     int               `json:"lent"`
	Known    int               `json:"known"`
	Unknown  int               `json:"unknown"`
	Lobby    int               `json:"lobby"`
	Step     int               `json:"step"`
	Open     int               `json:"open_requests"`
	Admitted uint64            `json:"admitted"`
	Promoted uint64            `json:"promoted"`
	Served   uint64            `json:"served"`
	Refused  map[string]uint64 `json:"refused"` // requests that were answered
	Turned   map[string]uint64 `json:"turned"`  // connections closed before a byte was read
	Shut     map[string]uint64 `json:"shut"`    // silent connections
	Shorts   uint64            `json:"shorts"`
	Holdings []door.Holding    `json:"holdings"`
	Ledger   door.Ledger       `json:"ledger"`
}

func (p *Program) doorStatus() (any, error) {
	c, top := p.front.DoorStatus(topTen)
	s := DoorStatus{Level: c.Level.String(), Places: c.Places, Reserve: c.Reserve, Lent: c.Lent, Known: c.Known, Unknown: c.Unknown,
		Lobby: c.Lobby, Step: c.Step, Open: c.Open, Admitted: c.Admitted, Promoted: c.Promoted, Served: c.Served,
		Refused: map[string]uint64{}, Turned: map[string]uint64{}, Shut: map[string]uint64{}, Shorts: c.Shorts, Holdings: top, Ledger: p.ledger()}
	byCause(s.Refused, c.Refused[:])
	byCause(s.Turned, c.Turned[:])
	byCause(s.Shut, c.Shut[:])
	return s, nil
}

// byCause names what was counted.
func byCause(to map[string]uint64, counts []uint64) {
	for i, n := range counts {
		if n > 0 {
			to[door.Cause(i).String()] = n
		}
	}
}

// reloadDoor takes up the door's settings anew. Whether there are any counts from the start.
func (p *Program) reloadDoor(cfg *Config) error {
	if (p.cfg.set.Door == nil) != (cfg.set.Door == nil) {
		return fmt.Errorf("%s: a block door counts from the next start", p.file)
	}
	if cfg.set.Door != nil && cfg.set.Door.Identity != p.cfg.set.Door.Identity {
		return fmt.Errorf("%s: identity_header counts from the next start", p.file)
	}
	return nil
}
