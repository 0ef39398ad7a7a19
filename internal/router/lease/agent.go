package lease

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Periods of an agent.
const (
	replyTimeout        = 150 * time.Millisecond // then another voter is asked
	queuedRetryInterval = 10 * time.Second       // who waits in line, in case it was forgotten; up to a half longer
	maxRetryDelay       = 2 * time.Second        // between two tries while no voter answers
	ReacquireDelay      = replyTimeout           // until a duty that was given back is wanted anew, at the least
	maxOutstanding      = 8                      // requests of one duty whose answer still counts
)

// AgentConfig is what an Agent is told at its start.
type AgentConfig struct {
	Self   Router
	Timing Timing
	Voters []string // who may be asked, at most 16: routers that may be voters
	Seed   uint64
}

// Agent is a router's side of all its duties: what it asks, whom and when, and under which token it may act. Its owner calls its
// methods with the time of one monotonic clock, carries out the actions, and calls Passed at Next.
type Agent struct {
	config       AgentConfig
	rng          *rand.Rand
	source       *rand.PCG
	roles        map[string]*managedRole
	leader       int // index in Voters
	lastID       uint32
	highestToken uint64 // the largest token of any answer

	RequestsSent, RepliesReceived uint64 // datagrams
}

// want is a duty that is wanted, held, or being given back.
type managedRole struct {
	role             string
	lease            *Lease
	active           bool // its owner has been told Began, and not Ended yet
	outstanding      []sentRequest
	nextRequestAt    time.Duration // when something is asked next
	attempts         int
	queued           bool
	release          *Command      // not nil: it is being given back with this
	reacquireAfter   time.Duration // after it has been given back it is wanted anew, 0 for never
	releaseDeadline  time.Duration
	notifiedTransfer uint64 // the token of which the wish was told
}

type sentRequest struct {
	id uint32
	at time.Duration
}

// Action is one of the following: what the owner is to do.
type Action interface{ action() }

// Ask is to be sent to a router by its name.
type SendRequest struct {
	To      string
	Request *Request
}

// Began says that the duty may be worked under with the token, and Until when, unless it is told again with a later time. Each act
// still asks Begin first.
type Granted struct {
	Role  string
	Token uint64
	Until time.Duration // by the own clock
	New   bool          // it was not held the moment before
}

// Ended says that the duty must not be worked under any more.
type Ended struct {
	Role   string
	Token  uint64
	Reason string
}

// Wished says that operators want the duty elsewhere: whoever works under it ends, and then calls Drop with To.
type TransferRequested struct {
	Role  string
	Token uint64
	To    string
}

func (SendRequest) action()       {}
func (Granted) action()           {}
func (Ended) action()             {}
func (TransferRequested) action() {}

// NewAgent returns an Agent that wants nothing yet.
func NewAgent(c AgentConfig) (*Agent, error) {
	if err := c.Timing.Validate(); err != nil {
		return nil, err
	}
	if len(c.Voters) == 0 || len(c.Voters) > MaxVoters {
		return nil, fmt.Errorf("%d routers may vote; there must be from 1 to %d", len(c.Voters), MaxVoters)
	}
	if c.Self.Name == "" || len(c.Self.Name) > MaxNameBytes || len(c.Self.Zone) > MaxNameBytes {
		return nil, fmt.Errorf("router %q in zone %q: names have 1 to %d bytes", c.Self.Name, c.Self.Zone, MaxNameBytes)
	}
	src := rand.NewPCG(c.Seed, uint64(c.Self.Boot))
	a := &Agent{config: c, source: src, rng: rand.New(src), roles: map[string]*managedRole{}, lastID: c.Self.Boot}
	a.leader = a.rng.IntN(len(c.Voters))
	return a, nil
}

// Want has the agent get a duty and keep it. Wanting what is wanted changes nothing.
func (a *Agent) Acquire(now time.Duration, duty string) []Action {
	w := a.roles[duty]
	if w == nil {
		if len(a.roles) >= MaxRoles || duty == "" || len(duty) > MaxNameBytes {
			return nil
		}
		w = &managedRole{role: duty, lease: NewLease(a.config.Timing), nextRequestAt: now}
		a.roles[duty] = w
	}
	if w.release != nil && w.reacquireAfter == 0 {
		w.reacquireAfter = ReacquireDelay
	}
	return a.Tick(now)
}

// Drop gives a duty back, or the place in line, to a router that is named or to whoever waits. Its work has ended before. Again is
// after how long it is wanted anew, 0 for never.
func (a *Agent) Release(now time.Duration, duty, to string, again time.Duration) (out []Action) {
	w := a.roles[duty]
	if w == nil || w.release != nil {
		return nil
	}
	out = a.endLease(w, "given back")
	w.release = &Command{Kind: Dequeue, Role: duty, Router: a.config.Self}
	if g, held := w.lease.Grant(); held {
		w.release = &Command{Kind: Release, Role: duty, Router: a.config.Self, Token: g.Token}
		if to != "" && to != AnyRouter {
			w.release.Kind, w.release.To = Transfer, to
		}
		w.lease.Revoke(g.Token)
	}
	w.outstanding, w.nextRequestAt, w.attempts, w.reacquireAfter, w.releaseDeadline = nil, now, 0, again, now+a.config.Timing.Duration
	return append(out, a.Tick(now)...)
}

// Begin is asked right before each act under a duty.
func (a *Agent) Check(now time.Duration, duty string) (token uint64, within time.Duration, ok bool) {
	if w := a.roles[duty]; w != nil && w.release == nil {
		return w.lease.Check(now)
	}
	return 0, 0, false
}

// Held tells under which token a duty is held, and for how long yet.
func (a *Agent) Remaining(now time.Duration, duty string) (token uint64, left time.Duration) {
	if w := a.roles[duty]; w != nil && w.active {
		g, _ := w.lease.Grant()
		return g.Token, max(w.lease.expiry()-now, 0)
	}
	return 0, 0
}

// Waits tells whether the voters have put this router in line for a duty.
func (a *Agent) Queued(duty string) bool {
	w := a.roles[duty]
	return w != nil && w.queued && !w.active
}

// Wants are the duties that are wanted or held, by name, with whether the router waits in line.
func (a *Agent) Roles() []string { return slices.Sorted(maps.Keys(a.roles)) }

// Seen is the largest token that any answer had.
func (a *Agent) HighestToken() uint64 { return a.highestToken }

// Refused tells that a receiver has seen a higher token than the one that was shown to it: the duty is somebody else's by now, or the
// voters have lost what they knew.
func (a *Agent) TokenRejected(now time.Duration, duty string, highest uint64) (out []Action) {
	a.highestToken = max(a.highestToken, highest)
	w := a.roles[duty]
	if w == nil || w.release != nil {
		return nil
	}
	if g, held := w.lease.Grant(); held && g.Token < highest {
		return a.Release(now, duty, "", ReacquireDelay)
	}
	return nil
}

// Leader is the voter that is asked first.
func (a *Agent) Leader() string { return a.config.Voters[a.leader] }

// Next is when Passed is to be called, 0 for never.
func (a *Agent) Next() (next time.Duration) {
	sooner := func(t time.Duration) {
		if next == 0 || t < next {
			next = max(t, 1)
		}
	}
	for _, w := range a.roles {
		sooner(w.nextRequestAt)
		if w.active {
			sooner(w.lease.expiry() - a.config.Timing.Margin)
		}
	}
	return next
}

// Passed does what is due.
func (a *Agent) Tick(now time.Duration) (out []Action) {
	for _, name := range slices.Sorted(maps.Keys(a.roles)) {
		w := a.roles[name]
		if w.active {
			if _, _, ok := w.lease.Check(now); !ok {
				out = append(out, a.endLease(w, "the lease ran out")...)
				w.lease.Revoke(maxUint64)
				w.nextRequestAt = now
			}
		}
		if now < w.nextRequestAt {
			continue
		}
		if w.release != nil && now >= w.releaseDeadline { // the lease is over by itself
			a.finishRelease(w, now)
			continue
		}
		out = append(out, a.sendRequest(w, now)...)
	}
	return out
}

// ask sends what the state of a want calls for.
func (a *Agent) sendRequest(w *managedRole, now time.Duration) []Action {
	if w.attempts > 0 { // who was asked last has not answered
		a.leader = (a.leader + 1) % len(a.config.Voters)
	}
	c := Command{Kind: Acquire, Role: w.role, Router: a.config.Self, Token: a.highestToken}
	g, held := w.lease.Grant()
	switch {
	case w.release != nil:
		c = *w.release
	case held:
		c.Kind, c.Token = Renew, g.Token
	}
	if a.lastID++; a.lastID == 0 {
		a.lastID = 1
	}
	if len(w.outstanding) >= maxOutstanding {
		w.outstanding = slices.Delete(w.outstanding, 0, 1)
	}
	w.outstanding = append(w.outstanding, sentRequest{a.lastID, now})
	pause := replyTimeout
	if w.attempts > len(a.config.Voters) && !held {
		pause = min(replyTimeout<<min(w.attempts-len(a.config.Voters), 5), maxRetryDelay)
		pause = pause/2 + time.Duration(a.rng.Int64N(int64(pause)))
	}
	w.nextRequestAt, w.attempts = now+pause, w.attempts+1
	a.RequestsSent++
	return []Action{SendRequest{a.config.Voters[a.leader], &Request{a.lastID, c}}}
}

func (a *Agent) endLease(w *managedRole, why string) []Action {
	if !w.active {
		return nil
	}
	w.active = false
	g, _ := w.lease.Grant()
	return []Action{Ended{w.role, g.Token, why}}
}

// gone ends the giving back of a duty.
func (a *Agent) finishRelease(w *managedRole, now time.Duration) {
	if w.reacquireAfter == 0 {
		delete(a.roles, w.role)
		return
	}
	w.release, w.outstanding, w.nextRequestAt, w.attempts, w.queued, w.reacquireAfter = nil, nil, now+w.reacquireAfter, 0, false, 0
}

// Heard takes what a voter said.
func (a *Agent) HandleReply(now time.Duration, from string, r *Reply) (out []Action) {
	if r.Boot != a.config.Self.Boot {
		return nil
	}
	a.RepliesReceived++
	a.highestToken = max(a.highestToken, r.Result.Grant.Token)
	if r.ID == 0 {
		return a.handleNotification(now, r)
	}
	for _, name := range slices.Sorted(maps.Keys(a.roles)) {
		w := a.roles[name]
		i := slices.IndexFunc(w.outstanding, func(s sentRequest) bool { return s.id == r.ID })
		if i < 0 {
			continue
		}
		if r.NotLeader {
			return a.redirect(w, now, i, from, r.Leader)
		}
		if at := slices.Index(a.config.Voters, from); at >= 0 {
			a.leader = at
		}
		s := w.outstanding[i]
		w.outstanding = slices.Delete(w.outstanding, 0, i+1) // what was asked before says nothing more
		w.attempts = 0
		return a.handleResult(w, now, s.at, &r.Result)
	}
	return nil
}

// redirected has the voter asked that is said to lead, or the next one where nobody is said to: each once, at once.
func (a *Agent) redirect(w *managedRole, now time.Duration, i int, from, leader string) []Action {
	if i < len(w.outstanding)-1 { // of an earlier request than the last
		return nil
	}
	at := slices.Index(a.config.Voters, leader)
	switch {
	case at >= 0 && leader != from && len(w.outstanding) <= 3: // two that name each other are asked at the usual pace
		a.leader, w.attempts = at, 0
	case w.attempts%len(a.config.Voters) == 0:
		return nil
	}
	return a.sendRequest(w, now)
}

func (a *Agent) handleResult(w *managedRole, now, asked time.Duration, r *Result) (out []Action) {
	if w.release != nil { // done, or there was nothing to be done any more
		a.finishRelease(w, now)
		return nil
	}
	g, held := w.lease.Grant()
	switch {
	case r.OK && r.Grant.Role == w.role:
		w.queued = false
		return a.handleGrant(w, now, asked, r.Grant)
	case held:
		out = a.endLease(w, cmp.Or(r.Refusal, "the voters say so"))
		w.lease.Revoke(g.Token)
		w.nextRequestAt = now
		return append(out, a.sendRequest(w, now)...)
	}
	w.queued = r.Queued
	w.nextRequestAt = now + queuedRetryInterval + time.Duration(a.rng.Int64N(int64(queuedRetryInterval/2)))
	return nil
}

func (a *Agent) handleGrant(w *managedRole, now, asked time.Duration, g Grant) (out []Action) {
	if old, held := w.lease.Grant(); w.active && held && g.Token > old.Token {
		out = a.endLease(w, "granted anew")
	}
	w.lease.Extend(asked, g)
	if _, _, ok := w.lease.Check(now); !ok { // the answer took longer than the lease
		out = append(out, a.endLease(w, "the lease ran out")...)
		w.lease.Revoke(maxUint64)
		w.nextRequestAt = now
		return append(out, a.sendRequest(w, now)...)
	}
	w.nextRequestAt, _ = w.lease.RenewAt()
	held, _ := w.lease.Grant()
	out = append(out, Granted{w.role, held.Token, w.lease.expiry() - a.config.Timing.Margin, !w.active})
	w.active = true
	if g.TransferTo != "" && w.notifiedTransfer != g.Token {
		w.notifiedTransfer = g.Token
		out = append(out, TransferRequested{w.role, g.Token, g.TransferTo})
	}
	return out
}

// pushed takes word of a grant that came in turn, or of a wish. The lease counts only from a renewal that is asked now.
func (a *Agent) handleNotification(now time.Duration, r *Reply) []Action {
	g := r.Result.Grant
	w := a.roles[g.Role]
	if w == nil || w.release != nil {
		return nil
	}
	if at := slices.Index(a.config.Voters, r.Leader); at >= 0 {
		a.leader = at
	}
	old, held := w.lease.Grant()
	if held && old.Token > g.Token || held && old.Token == g.Token && g.TransferTo == old.TransferTo {
		return nil
	}
	if !held || old.Token < g.Token {
		out := a.endLease(w, "granted anew")
		w.lease = NewLease(a.config.Timing)
		w.lease.grant, w.lease.valid, w.lease.validFrom = g, true, now-a.config.Timing.Duration // it may be renewed, and not acted on
		w.attempts = 0
		return append(out, a.sendRequest(w, now)...)
	}
	w.attempts = 0
	return a.sendRequest(w, now)
}

// WriteState writes all that the agent's behaviour from now on depends on.
func (a *Agent) WriteState(w io.Writer) {
	chance, _ := a.source.MarshalBinary()
	fmt.Fprintf(w, "%x %d %d|", chance, a.leader, a.lastID)
	for _, name := range slices.Sorted(maps.Keys(a.roles)) {
		x := a.roles[name]
		fmt.Fprintf(w, "%s %+v %v %v %v %d %v %v %v %v %d|", name, *x.lease, x.active, x.outstanding, x.nextRequestAt, x.attempts, x.queued, x.release, x.reacquireAfter, x.releaseDeadline, x.notifiedTransfer)
	}
}
