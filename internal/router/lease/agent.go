package lease

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Intervals and limits of an agent.
const (
	replyTimeout = 150 * time.Millisecond // after a request, until the agent sends the next one to another voter
	// queuedRetryInterval is the time until a queued router sends Acquire again, in case the voters
	// have lost its position in the queue. Jitter makes the time up to half as long again.
	queuedRetryInterval = 10 * time.Second
	maxRetryDelay       = 2 * time.Second // limit, before jitter, on the delay between attempts while no voter replies
	maxOutstanding      = 8               // limit on the requests of one role whose replies the agent still accepts

	// ReacquireDelay is the minimum time between the release of a role and the next attempt to
	// acquire it.
	ReacquireDelay = replyTimeout
)

// AgentConfig is the configuration of an Agent.
type AgentConfig struct {
	Self   Router
	Timing Timing
	Voters []string // names of the routers that may vote, at most MaxVoters; the agent sends its requests to these
	Seed   uint64   // of the random numbers for jitter and for the first voter
}

// Agent acquires, renews and releases roles for one router. It decides when to send which request to
// which voter, and under which tokens its owner may work. The owner calls its methods with the time
// of one monotonic clock, carries out the returned actions, and calls Tick at the time that Next
// returns.
type Agent struct {
	config       AgentConfig
	rng          *rand.Rand
	source       *rand.PCG // the source of rng
	roles        map[string]*managedRole
	leader       int    // index in Voters of the voter that gets the next request
	lastID       uint32 // of the last request
	highestToken uint64 // the largest token in any reply or rejection

	RequestsSent, RepliesReceived uint64 // numbers of datagrams
}

// managedRole is a role that the owner wants, works under or is releasing.
type managedRole struct {
	role             string
	lease            *Lease
	active           bool          // the last of Granted and Ended that the owner got was Granted
	outstanding      []sentRequest // at most maxOutstanding
	nextRequestAt    time.Duration
	attempts         int           // requests since the last one that the leader served, or since a redirect to the leader
	queued           bool          // the voters have put this router into the queue
	release          *Command      // the command that releases the role; nil while the role is not being released
	reacquireAfter   time.Duration // delay after the release until the agent acquires the role again; 0 for never
	releaseDeadline  time.Duration // the lease has ended by then, even if no voter has replied
	notifiedTransfer uint64        // the token for which the owner has got TransferRequested
}

// sentRequest is a request whose reply the agent still accepts.
type sentRequest struct {
	id uint32
	at time.Duration
}

// Action is something that the owner must do: SendRequest, Granted, Ended or TransferRequested.
type Action interface{ action() }

// SendRequest tells the owner to send a request to a router.
type SendRequest struct {
	To      string // the router's name
	Request *Request
}

// Granted tells the owner that it may work under a role with Token until a time. A later Granted
// extends the time. The owner must still call Check before each piece of work.
type Granted struct {
	Role  string
	Token uint64
	Until time.Duration // on the owner's clock
	New   bool          // the owner did not have the role right before
}

// Ended tells the owner to stop all work under a role.
type Ended struct {
	Role   string
	Token  uint64
	Reason string
}

// The reasons of Ended that the agent itself gives. Other reasons are refusals of the voters.
const (
	EndedReleased   = "given back"
	endedExpired    = "the lease ran out"
	endedSuperseded = "granted anew"
	endedByVoters   = "the voters say so"
)

// TransferRequested tells the owner that operators want another router to have the role. The owner
// ends its work and then calls Release with To.
type TransferRequested struct {
	Role  string
	Token uint64
	To    string
}

func (SendRequest) action()       {}
func (Granted) action()           {}
func (Ended) action()             {}
func (TransferRequested) action() {}

// NewAgent returns an Agent that manages no role yet, or an error if the configuration is invalid.
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
	source := rand.NewPCG(c.Seed, uint64(c.Self.Boot))
	a := &Agent{config: c, source: source, rng: rand.New(source), roles: map[string]*managedRole{}, lastID: c.Self.Boot}
	a.leader = a.rng.IntN(len(c.Voters))
	return a, nil
}

// Acquire makes the agent acquire a role and renew it until the owner calls Release. The owner may
// call Acquire again at any time. If the role is being released, the agent acquires it again
// afterwards.
func (a *Agent) Acquire(now time.Duration, role string) []Action {
	m := a.roles[role]
	if m == nil {
		if len(a.roles) >= MaxRoles || role == "" || len(role) > MaxNameBytes {
			return nil
		}
		m = &managedRole{role: role, lease: NewLease(a.config.Timing), nextRequestAt: now}
		a.roles[role] = m
	}
	if m.release != nil && m.reacquireAfter == 0 {
		m.reacquireAfter = ReacquireDelay
	}
	return a.Tick(now)
}

// Release gives up a role or this router's position in its queue. The owner must have ended its work
// under the role. To is the router that gets the role; if to is empty or AnyRouter, the next router
// in the queue gets it. ReacquireAfter is the delay until the agent acquires the role again, or 0
// for never.
func (a *Agent) Release(now time.Duration, role, to string, reacquireAfter time.Duration) (out []Action) {
	m := a.roles[role]
	if m == nil || m.release != nil {
		return nil
	}
	out = a.endLease(m, EndedReleased)
	m.release = &Command{Kind: Dequeue, Role: role, Router: a.config.Self}
	if g, granted := m.lease.Grant(); granted {
		m.release = &Command{Kind: Release, Role: role, Router: a.config.Self, Token: g.Token}
		if to != "" && to != AnyRouter {
			m.release.Kind, m.release.To = Transfer, to
		}
		m.lease.Revoke(g.Token)
	}
	m.outstanding, m.nextRequestAt, m.attempts = nil, now, 0
	m.reacquireAfter, m.releaseDeadline = reacquireAfter, now+a.config.Timing.Duration
	return append(out, a.Tick(now)...)
}

// TokenRejected records that a receiver of work has rejected this router's token, because it has
// accepted the larger token highest. Either another router has got the role, or the voters have lost
// their state. If the grant's token is lower than highest, the agent releases the role and acquires
// it again.
func (a *Agent) TokenRejected(now time.Duration, role string, highest uint64) []Action {
	a.highestToken = max(a.highestToken, highest)
	m := a.roles[role]
	if m == nil || m.release != nil {
		return nil
	}
	if g, granted := m.lease.Grant(); granted && g.Token < highest {
		return a.Release(now, role, "", ReacquireDelay)
	}
	return nil
}

// Check reports whether work under a role may begin now, like Lease.Check. The owner calls it right
// before each piece of work.
func (a *Agent) Check(now time.Duration, role string) (token uint64, remaining time.Duration, ok bool) {
	if m := a.roles[role]; m != nil && m.release == nil {
		return m.lease.Check(now)
	}
	return 0, 0, false
}

// Remaining returns the token under which the owner works under a role and the remaining time until
// the lease ends on the owner's clock. Both are 0 if the owner does not work under the role.
func (a *Agent) Remaining(now time.Duration, role string) (token uint64, left time.Duration) {
	if m := a.roles[role]; m != nil && m.active {
		g, _ := m.lease.Grant()
		return g.Token, max(m.lease.expiry()-now, 0)
	}
	return 0, 0
}

// Queued reports whether the voters have put this router into the queue for a role.
func (a *Agent) Queued(role string) bool {
	m := a.roles[role]
	return m != nil && m.queued && !m.active
}

// Roles returns the names of the roles that the owner wants, works under or is releasing, sorted.
func (a *Agent) Roles() []string { return slices.Sorted(maps.Keys(a.roles)) }

// HighestToken returns the largest token in any reply of a voter or rejection by a receiver of work.
func (a *Agent) HighestToken() uint64 { return a.highestToken }

// Leader returns the name of the voter that the agent takes for the leader.
func (a *Agent) Leader() string { return a.config.Voters[a.leader] }

// Next returns when the owner must call Tick next, or 0 for never.
func (a *Agent) Next() (next time.Duration) {
	consider := func(t time.Duration) {
		if next == 0 || t < next {
			next = max(t, 1)
		}
	}
	for _, m := range a.roles {
		consider(m.nextRequestAt)
		if m.active {
			consider(m.lease.workEnd())
		}
	}
	return next
}

// Tick ends the leases that have run out and returns the requests that are due.
func (a *Agent) Tick(now time.Duration) (out []Action) {
	for _, name := range a.Roles() {
		m := a.roles[name]
		if m.active {
			if _, _, ok := m.lease.Check(now); !ok {
				out = append(out, a.expireLease(m, now)...)
			}
		}
		if now < m.nextRequestAt {
			continue
		}
		if m.release != nil && now >= m.releaseDeadline {
			a.finishRelease(m, now)
			continue
		}
		out = append(out, a.sendRequest(m, now)...)
	}
	return out
}

// WriteState writes the state on which the agent's further behaviour depends. State space explorers
// hash these bytes.
func (a *Agent) WriteState(w io.Writer) {
	random, _ := a.source.MarshalBinary()
	fmt.Fprintf(w, "%x %d %d|", random, a.leader, a.lastID)
	for _, name := range a.Roles() {
		m := a.roles[name]
		fmt.Fprintf(w, "%s %+v %v %v %v %d %v %v %v %v %d|", name, *m.lease, m.active, m.outstanding, m.nextRequestAt, m.attempts, m.queued, m.release,
			m.reacquireAfter, m.releaseDeadline, m.notifiedTransfer)
	}
}
