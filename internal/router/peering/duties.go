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
type RolesConfig struct {
	Self               lease.Router
	Timing             lease.Timing
	Roles              []lease.Role
	Voters             int
	ReplaceTimeout     time.Duration
	CandidateAddresses map[string]string // that may vote, with their addresses
	Candidates         []string          // of their names
	Listen             string            // of this router, where it may vote
	Folder             string            // its durable folder; empty for a router that only asks
	Seed               uint64
}

// Work is done under a duty. It is told to begin with a context that ends before the lease does, at the latest, and is over when it returns;
// what it starts meanwhile asks Act before each act. An error is a reason to give the duty up.
type Work func(ctx context.Context, token uint64) error

// Duties drive a router's agent, and its voter if it has one.
type Roles struct {
	config    RolesConfig
	send      func(to netip.AddrPort, data []byte)
	log       routing.Logger
	startedAt time.Time // with the monotonic clock, the only one that is asked

	recordMu sync.Mutex // of one record at a time

	mu             sync.Mutex
	agent          *lease.Agent
	works          map[string]*roleWork
	defined        atomic.Pointer[[]lease.Role]           // that there are
	awaitedResults map[uint32]chan lease.Result           // that wait for their answers
	keepRecord     func(token uint64, text []byte) uint64 // takes another's record; it returns a higher token that it has
	wake           chan struct{}
	view           atomic.Pointer[members.View]
	workContext    context.Context // of the works
	running        sync.WaitGroup

	isCandidate  bool
	voterRunning atomic.Bool   // its store is open, and has not failed
	voter        *quorum.Voter // its goroutine's alone, as is the store
	store        *store
	loopPace     pacing.Meter // of the voter's loop
	voterLink    *voterLink
	voterEvents  chan any
	voterStatus  atomic.Pointer[VoterStatus]
	begun        atomic.Uint64
	ended        atomic.Uint64
	rejected     atomic.Uint64
}

// work is one duty's.
type roleWork struct {
	do                Work
	cancel            context.CancelFunc // nil while nothing runs
	timer             *time.Timer
	transferTo        string // where operators want the duty to go
	transferRequested bool
	lastEndReason     string          // the last end's
	runs              int             // how often it has begun
	retryDelay        time.Duration   // after the last end
	waiters           []chan struct{} // closed once it is held
}

// Standing is what is known of duties at a voter.
type VoterStatus struct {
	quorum.Status
	Roles   []RoleStatus
	TakenAt time.Time
}

// Row is one duty.
type RoleStatus struct {
	Role       string
	MaxHolders int
	Grants     []lease.Grant
	Queued     int
	LastChange string // what changed last, and why
}

// Work that fails is tried again after a time that doubles.
const (
	minWorkRetryDelay = time.Second
	maxWorkRetryDelay = time.Minute
)

// mostEvents bounds what waits for the voter; further messages are lost.
const maxVoterEvents = 512

// NewDuties returns the duties of a router that does not run yet.
func NewRoles(c RolesConfig, send func(netip.AddrPort, []byte), log routing.Logger) (*Roles, error) {
	d := &Roles{config: c, send: send, log: log, startedAt: time.Now(), works: map[string]*roleWork{}, awaitedResults: map[uint32]chan lease.Result{}, wake: make(chan struct{}, 1), voterEvents: make(chan any, maxVoterEvents)}
	err := d.Define(c.Roles)
	if err != nil {
		return nil, err
	}
	if d.agent, err = lease.NewAgent(lease.AgentConfig{Self: c.Self, Timing: c.Timing, Voters: c.Candidates, Seed: c.Seed}); err != nil {
		return nil, err
	}
	if c.Folder == "" || !slices.Contains(c.Candidates, c.Self.Name) {
		return d, nil
	}
	d.isCandidate = true
	others := maps.Clone(c.CandidateAddresses)
	delete(others, c.Self.Name)
	d.voterLink = newVoterLink(others, func(data []byte) {
		if data[0] == recordPrefix {
			d.handleRecord(data[1:])
			return
		}
		d.post(quorum.MessageReceived{Data: data})
	})
	return d, nil
}

// Define has there be these duties from here on. The voters agree on those that are new once their leader is told of them, so a router
// that wants one may be told until then that there is no such duty, and asks again.
func (d *Roles) Define(duties []lease.Role) error {
	if _, err := lease.NewTable(duties, 0); err != nil {
		return err
	}
	d.defined.Store(&duties)
	return nil
}

// now is the time of the machine's monotonic clock since the process began.
func (d *Roles) now() time.Duration { return time.Since(d.startedAt) }

// leave leaves something for the voter, unless too much waits.
func (d *Roles) post(e any) bool {
	select {
	case d.voterEvents <- e:
		return true
	default:
		return false
	}
}

// Do has a router want a duty, with the work that is done under it.
func (d *Roles) Acquire(name string, do Work) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.works[name] == nil {
		d.works[name] = &roleWork{do: do}
	}
	d.carryOutAgent(d.agent.Acquire(d.now(), name))
}

// Wait wants a duty and waits until it is held, or ctx ends.
func (d *Roles) AcquireAndWait(ctx context.Context, name string) error {
	held := make(chan struct{})
	d.mu.Lock()
	w := d.works[name]
	if w == nil {
		w = &roleWork{do: func(ctx context.Context, _ uint64) error { <-ctx.Done(); return nil }}
		d.works[name] = w
	}
	if w.cancel != nil {
		close(held)
	} else {
		w.waiters = append(w.waiters, held)
		d.carryOutAgent(d.agent.Acquire(d.now(), name))
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
func (d *Roles) Release(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release(name, "", 0)
}

// drop ends a duty's work, and gives it back. It is called with mu held.
func (d *Roles) release(name, to string, again time.Duration) {
	d.carryOutAgent(d.agent.Release(d.now(), name, to, again))
	if w := d.works[name]; w != nil && again == 0 {
		delete(d.works, name)
	}
}

// Act is asked right before each act under a duty: it returns the token that the act must carry, and how long it may take.
func (d *Roles) Check(name string) (token uint64, within time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agent.Check(d.now(), name)
}

// carry carries out what the agent wants. It is called with mu held.
func (d *Roles) carryOutAgent(all []lease.Action) {
	for _, a := range all {
		switch a := a.(type) {
		case lease.SendRequest:
			d.sendRequest(a.To, a.Request)
		case lease.Granted:
			d.startWork(&a)
		case lease.Ended:
			d.stopWork(a.Role, a.Reason)
		case lease.TransferRequested:
			d.log.Info("duty wished elsewhere", "duty", a.Role, "to", a.To)
			w := d.works[a.Role]
			if w == nil {
				continue
			}
			w.transferTo, w.transferRequested = a.To, true
			if w.cancel != nil {
				w.cancel() // the duty goes on once the work is over
			}
		}
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// begin starts a duty's work, or lets it go on for longer.
func (d *Roles) startWork(a *lease.Granted) {
	w := d.works[a.Role]
	if w == nil {
		return
	}
	if !a.New && w.cancel != nil {
		w.timer.Reset(a.Until - d.now())
		return
	}
	d.begun.Add(1)
	d.log.Info("duty begun", "duty", a.Role, "token", a.Token)
	ctx, quit := context.WithCancel(d.workContext)
	w.cancel, w.transferRequested = quit, false
	w.runs++
	run := w.runs
	w.timer = time.AfterFunc(a.Until-d.now(), quit)
	for _, c := range w.waiters {
		close(c)
	}
	w.waiters = nil
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		err := w.do(ctx, a.Token)
		quit()
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.works[a.Role] != w || w.runs != run || w.cancel == nil {
			return // it is over already
		}
		to, again := "", lease.ReacquireDelay
		if w.transferRequested {
			to = w.transferTo
		}
		if err != nil { // others may do better; this router asks again later and later
			again = min(max(2*w.retryDelay, minWorkRetryDelay), maxWorkRetryDelay)
			d.log.Warn("duty given up", "duty", a.Role, "again", again, "cause", err)
		}
		w.retryDelay = again
		d.release(a.Role, to, again)
	}()
}

func (d *Roles) stopWork(name, why string) {
	w := d.works[name]
	if w == nil || w.cancel == nil {
		return
	}
	d.ended.Add(1)
	w.timer.Stop()
	w.cancel()
	w.cancel, w.lastEndReason = nil, why
	if why != "given back" {
		d.log.Warn("duty lost", "duty", name, "cause", why)
	}
}

// ask sends a request to a router that may vote, or has the own voter take it.
func (d *Roles) sendRequest(to string, q *lease.Request) {
	if to == d.config.Self.Name && d.voterRunning.Load() {
		d.post(quorum.RequestReceived{From: localAgent, Request: q})
		return
	}
	if at, ok := d.addressOf(to); ok {
		d.send(at, q.Encode())
	}
}

// ownAgent is whom the own voter answers, other than addresses.
const localAgent = "self"

// address is where the view has a router.
func (d *Roles) addressOf(name string) (netip.AddrPort, bool) {
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
func (d *Roles) UpdateView(v *members.View) {
	d.view.Store(v)
	if !d.voterRunning.Load() {
		return
	}
	living := map[string]bool{}
	for i := range v.Members {
		living[v.Members[i].Name] = true
	}
	d.post(quorum.Membership{Alive: living})
}

// Take takes a datagram.
func (d *Roles) HandleDatagram(from netip.AddrPort, data []byte) {
	q, r, err := lease.Decode(data)
	switch {
	case err != nil:
	case q != nil:
		if d.voterRunning.Load() {
			d.post(quorum.RequestReceived{From: from.String(), Request: q})
		}
	default:
		d.handleReply(d.nameAt(from), r)
	}
}

// named is the name of the router at an address, as the view has it.
func (d *Roles) nameAt(at netip.AddrPort) string {
	if v := d.view.Load(); v != nil {
		for i := range v.Members {
			if v.Members[i].Addr == at {
				return v.Members[i].Name
			}
		}
	}
	return ""
}

func (d *Roles) handleReply(from string, r *lease.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if said := d.awaitedResults[r.ID]; said != nil && r.Boot == d.config.Self.Boot && !r.NotLeader {
		select {
		case said <- r.Result:
		default:
		}
		return
	}
	d.carryOutAgent(d.agent.HandleReply(d.now(), from, r))
}

// Run works until ctx ends; then it gives back what it holds, as far as that is quickly done.
func (d *Roles) Run(ctx context.Context) {
	if d.isCandidate {
		go d.runVoter(ctx)
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
			d.carryOutAgent(d.agent.Tick(d.now()))
		}
		next := d.agent.Next()
		d.mu.Unlock()
		if next != 0 {
			timer.Reset(max(next-d.now(), time.Millisecond))
		}
	}
}

// Begin is called before anything else but NewDuties: works run until ctx ends.
func (d *Roles) SetWorkContext(ctx context.Context) { d.workContext = ctx }

// Leave gives back all that is held and ends its work, and waits for that until ctx ends.
func (d *Roles) ReleaseAll(ctx context.Context) {
	d.mu.Lock()
	for _, name := range d.agent.Roles() {
		d.release(name, "", 0)
	}
	d.mu.Unlock()
	done := make(chan struct{})
	go func() { d.running.Wait(); close(done) }()
	for {
		d.mu.Lock()
		left := len(d.agent.Roles())
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
