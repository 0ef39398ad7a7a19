package peering

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/coord/members"
	"reachspread/coord/pacing"
	"reachspread/internal/router/lease"
	"reachspread/internal/router/quorum"
	"reachspread/internal/routing"
)

// DutiesConfig is what the duties of a router are told at their start.
type DutiesConfig struct {
	Self    lease.Router
	Times   lease.Times
	Duties  []lease.Duty
	Voters  int
	Replace time.Duration
	Routers map[string]string // that may vote, with their addresses
	Order   []string          // of their names
	Listen  string            // of this router, where it may vote
	Folder  string            // its durable folder; empty for a router that only asks
	Seed    uint64
}

// Work is done under a duty. It is told to begin with a context that ends before the lease does, at the latest, and is over when it returns;
// what it starts meanwhile asks Act before each act. An error is a reason to give the duty up.
type Work func(ctx context.Context, token uint64) error

// Duties drive a router's agent, and its voter if it has one.
type Duties struct {
	c    DutiesConfig
	send func(to netip.AddrPort, data []byte)
	log  routing.Logger
	at   time.Time // with the monotonic clock, the only one that is asked

	keeping sync.Mutex // of one record at a time

	mu      sync.Mutex
	agent   *lease.Agent
	works   map[string]*work
	duties  atomic.Pointer[[]lease.Duty]           // that there are
	wishing map[uint32]chan lease.Answer           // that wait for their answers
	keeps   func(token uint64, text []byte) uint64 // takes another's record; it returns a higher token that it has
	wake    chan struct{}
	view    atomic.Pointer[members.View]
	ctx     context.Context // of the works
	over    sync.WaitGroup

	mayVote  bool
	votes    atomic.Bool   // its store is open, and has not failed
	voter    *quorum.Voter // its goroutine's alone, as is the store
	store    *store
	pace     pacing.Meter // of the voter's loop
	lines    *lines
	in       chan any
	standing atomic.Pointer[Standing]
	begins   atomic.Uint64
	ends     atomic.Uint64
	refused  atomic.Uint64
}

// work is one duty's.
type work struct {
	do     Work
	quit   context.CancelFunc // nil while nothing runs
	timer  *time.Timer
	to     string // where operators want the duty to go
	wished bool
	why    string          // the last end's
	run    int             // how often it has begun
	pause  time.Duration   // after the last end
	waits  []chan struct{} // closed once it is held
}

// Standing is what is known of duties at a voter.
type Standing struct {
	quorum.Standing
	Rows []Row
	Took time.Time
}

// Row is one duty.
type Row struct {
	Duty    string
	Holders int
	Grants  []lease.Grant
	Waiting int
	Last    string // what changed last, and why
}

// Work that fails is tried again after a time that doubles.
const (
	workAgain = time.Second
	workMost  = time.Minute
)

// mostEvents bounds what waits for the voter; further messages are lost.
const mostEvents = 512

// NewDuties returns the duties of a router that does not run yet.
func NewDuties(c DutiesConfig, send func(netip.AddrPort, []byte), log routing.Logger) (*Duties, error) {
	d := &Duties{c: c, send: send, log: log, at: time.Now(), works: map[string]*work{}, wishing: map[uint32]chan lease.Answer{}, wake: make(chan struct{}, 1), in: make(chan any, mostEvents)}
	err := d.Define(c.Duties)
	if err != nil {
		return nil, err
	}
	if d.agent, err = lease.NewAgent(lease.AgentConfig{Self: c.Self, Times: c.Times, Voters: c.Order, Seed: c.Seed}); err != nil {
		return nil, err
	}
	if c.Folder == "" || !slices.Contains(c.Order, c.Self.Name) {
		return d, nil
	}
	d.mayVote = true
	others := maps.Clone(c.Routers)
	delete(others, c.Self.Name)
	d.lines = newLines(others, func(data []byte) {
		if data[0] == recordMark {
			d.recorded(data[1:])
			return
		}
		d.leave(quorum.Received{Data: data})
	})
	return d, nil
}

// Define has there be these duties from here on. The voters agree on those that are new once their leader is told of them, so a router
// that wants one may be told until then that there is no such duty, and asks again.
func (d *Duties) Define(duties []lease.Duty) error {
	if _, err := lease.NewTable(duties, 0); err != nil {
		return err
	}
	d.duties.Store(&duties)
	return nil
}

// now is the time of the machine's monotonic clock since the process began.
func (d *Duties) now() time.Duration { return time.Since(d.at) }

// leave leaves something for the voter, unless too much waits.
func (d *Duties) leave(e any) bool {
	select {
	case d.in <- e:
		return true
	default:
		return false
	}
}

// Do has a router want a duty, with the work that is done under it.
func (d *Duties) Do(name string, do Work) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.works[name] == nil {
		d.works[name] = &work{do: do}
	}
	d.carry(d.agent.Want(d.now(), name))
}

// Wait wants a duty and waits until it is held, or ctx ends.
func (d *Duties) Wait(ctx context.Context, name string) error {
	held := make(chan struct{})
	d.mu.Lock()
	w := d.works[name]
	if w == nil {
		w = &work{do: func(ctx context.Context, _ uint64) error { <-ctx.Done(); return nil }}
		d.works[name] = w
	}
	if w.quit != nil {
		close(held)
	} else {
		w.waits = append(w.waits, held)
		d.carry(d.agent.Want(d.now(), name))
	}
	d.mu.Unlock()
	select {
	case <-held:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// GiveUp gives a duty, or the place in its line, back.
func (d *Duties) GiveUp(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drop(name, "", 0)
}

// drop ends a duty's work, and gives it back. It is called with mu held.
func (d *Duties) drop(name, to string, again time.Duration) {
	d.carry(d.agent.Drop(d.now(), name, to, again))
	if w := d.works[name]; w != nil && again == 0 {
		delete(d.works, name)
	}
}

// Act is asked right before each act under a duty: it returns the token that the act must carry, and how long it may take.
func (d *Duties) Act(name string) (token uint64, within time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agent.Begin(d.now(), name)
}

// carry carries out what the agent wants. It is called with mu held.
func (d *Duties) carry(all []lease.Action) {
	for _, a := range all {
		switch a := a.(type) {
		case lease.Ask:
			d.ask(a.To, a.Request)
		case lease.Began:
			d.begin(&a)
		case lease.Ended:
			d.end(a.Duty, a.Why)
		case lease.Wished:
			d.log.Info("duty wished elsewhere", "duty", a.Duty, "to", a.To)
			w := d.works[a.Duty]
			if w == nil {
				continue
			}
			w.to, w.wished = a.To, true
			if w.quit != nil {
				w.quit() // the duty goes on once the work is over
			}
		}
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// begin starts a duty's work, or lets it go on for longer.
func (d *Duties) begin(a *lease.Began) {
	w := d.works[a.Duty]
	if w == nil {
		return
	}
	if !a.New && w.quit != nil {
		w.timer.Reset(a.Until - d.now())
		return
	}
	d.begins.Add(1)
	d.log.Info("duty begun", "duty", a.Duty, "token", a.Token)
	ctx, quit := context.WithCancel(d.ctx)
	w.quit, w.wished = quit, false
	w.run++
	run := w.run
	w.timer = time.AfterFunc(a.Until-d.now(), quit)
	for _, c := range w.waits {
		close(c)
	}
	w.waits = nil
	d.over.Add(1)
	go func() {
		defer d.over.Done()
		err := w.do(ctx, a.Token)
		quit()
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.works[a.Duty] != w || w.run != run || w.quit == nil {
			return // it is over already
		}
		to, again := "", lease.Soon
		if w.wished {
			to = w.to
		}
		if err != nil { // others may do better; this router asks again later and later
			again = min(max(2*w.pause, workAgain), workMost)
			d.log.Warn("duty given up", "duty", a.Duty, "again", again, "cause", err)
		}
		w.pause = again
		d.drop(a.Duty, to, again)
	}()
}

func (d *Duties) end(name, why string) {
	w := d.works[name]
	if w == nil || w.quit == nil {
		return
	}
	d.ends.Add(1)
	w.timer.Stop()
	w.quit()
	w.quit, w.why = nil, why
	if why != "given back" {
		d.log.Warn("duty lost", "duty", name, "cause", why)
	}
}

// ask sends a request to a router that may vote, or has the own voter take it.
func (d *Duties) ask(to string, q *lease.Request) {
	if to == d.c.Self.Name && d.votes.Load() {
		d.leave(quorum.Asked{From: ownAgent, Request: q})
		return
	}
	if at, ok := d.address(to); ok {
		d.send(at, q.Append())
	}
}

// ownAgent is whom the own voter answers, other than addresses.
const ownAgent = "self"

// address is where the view has a router.
func (d *Duties) address(name string) (netip.AddrPort, bool) {
	if v := d.view.Load(); v != nil {
		for i := range v.Members {
			if v.Members[i].Name == name {
				return v.Members[i].Addr, true
			}
		}
	}
	return netip.AddrPort{}, false
}

// Viewed takes the fleet view. It waits for nobody.
func (d *Duties) Viewed(v *members.View) {
	d.view.Store(v)
	if !d.votes.Load() {
		return
	}
	living := map[string]bool{}
	for i := range v.Members {
		living[v.Members[i].Name] = true
	}
	d.leave(quorum.View{Living: living})
}

// Take takes a datagram.
func (d *Duties) Take(from netip.AddrPort, data []byte) {
	q, r, err := lease.Read(data)
	switch {
	case err != nil:
	case q != nil:
		if d.votes.Load() {
			d.leave(quorum.Asked{From: from.String(), Request: q})
		}
	default:
		d.heard(d.named(from), r)
	}
}

// named is the name of the router at an address, as the view has it.
func (d *Duties) named(at netip.AddrPort) string {
	if v := d.view.Load(); v != nil {
		for i := range v.Members {
			if v.Members[i].Addr == at {
				return v.Members[i].Name
			}
		}
	}
	return ""
}

func (d *Duties) heard(from string, r *lease.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if said := d.wishing[r.ID]; said != nil && r.Boot == d.c.Self.Boot && !r.NotLeader {
		select {
		case said <- r.Answer:
		default:
		}
		return
	}
	d.carry(d.agent.Heard(d.now(), from, r))
}

// Run works until ctx ends; then it gives back what it holds, as far as that is quickly done.
func (d *Duties) Run(ctx context.Context) {
	if d.mayVote {
		go d.vote(ctx)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
		}
		d.mu.Lock()
		if next := d.agent.Next(); next != 0 && d.now() >= next {
			d.carry(d.agent.Passed(d.now()))
		}
		next := d.agent.Next()
		d.mu.Unlock()
		if next != 0 {
			timer.Reset(max(next-d.now(), time.Millisecond))
		}
	}
}

// Begin is called before anything else but NewDuties: works run until ctx ends.
func (d *Duties) Begin(ctx context.Context) { d.ctx = ctx }

// Leave gives back all that is held and ends its work, and waits for that until ctx ends.
func (d *Duties) Leave(ctx context.Context) {
	d.mu.Lock()
	for _, name := range d.agent.Wants() {
		d.drop(name, "", 0)
	}
	d.mu.Unlock()
	done := make(chan struct{})
	go func() { d.over.Wait(); close(done) }()
	for {
		d.mu.Lock()
		left := len(d.agent.Wants())
		d.mu.Unlock()
		if left == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Millisecond): // of a wait that ctx bounds
		}
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

var (
	// ErrNoVoter is told where a question needs a router that may vote.
	ErrNoVoter = errors.New("this router does not vote")
	errBusy    = errors.New("the voter has too much to do")
)
