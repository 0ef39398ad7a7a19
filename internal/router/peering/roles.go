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

// Errors of calls that need a local voter.
var (
	ErrNoVoter = errors.New("this router does not vote")
	errBusy    = errors.New("the voter has too much to do")
)

// RolesConfig configures a router's Roles.
type RolesConfig struct {
	Self   lease.Router
	Timing lease.Timing
	Roles  []lease.Role
	Voters int // 1, 3, 5 or 7
	// ReplaceTimeout is passed to quorum.Config.
	ReplaceTimeout time.Duration
	// Candidates lists the names of the routers that may vote; all routers have the same list.
	// CandidateAddresses maps each name to the TCP address where other candidates reach it.
	Candidates         []string
	CandidateAddresses map[string]string
	// Listen is this candidate's TCP address, and Folder is the directory of its store. Both are
	// empty at a router that is no candidate and only asks the voters.
	Listen string
	Folder string
	Seed   uint64
}

// Roles manages the singleton roles of one router. It runs the router's lease agent and, at a
// candidate, its voter.
type Roles struct {
	config    RolesConfig
	send      func(to netip.AddrPort, data []byte)
	log       routing.Logger
	startedAt time.Time // origin of the time that the agent and the voter use, by the monotonic clock
	defined   atomic.Pointer[[]lease.Role]
	view      atomic.Pointer[members.View]
	wake      chan struct{} // makes Run recompute when the agent is due

	mu             sync.Mutex // guards the fields up to workContext
	agent          *lease.Agent
	works          map[string]*roleWork         // by role
	awaitedResults map[uint32]chan lease.Result // results of operators' requests, by request ID
	workContext    context.Context

	running sync.WaitGroup // counts the running works

	// The fields of the voter. Only the voter's goroutine uses voter and store.
	isCandidate  bool
	voterRunning atomic.Bool // the voter's store is open and no write has failed
	voter        *quorum.Voter
	store        *store
	loopPace     pacing.Meter
	voterLink    *voterLink
	voterEvents  chan any // queue of quorum.Event and *voterQuery values; its capacity is maxVoterEvents
	voterStatus  atomic.Pointer[VoterStatus]

	recordMu   sync.Mutex // serializes calls of keepRecord
	keepRecord func(token uint64, text []byte) uint64

	begun, ended, rejected atomic.Uint64
}

// maxVoterEvents is the length of the voter's event queue. Events that arrive while it is full are
// dropped.
const maxVoterEvents = 512

// NewRoles returns the Roles of a router. The caller starts it with Run.
func NewRoles(c RolesConfig, send func(netip.AddrPort, []byte), log routing.Logger) (*Roles, error) {
	r := &Roles{config: c, send: send, log: log, startedAt: time.Now(), wake: make(chan struct{}, 1),
		works: map[string]*roleWork{}, awaitedResults: map[uint32]chan lease.Result{}, voterEvents: make(chan any, maxVoterEvents)}
	err := r.Define(c.Roles)
	if err != nil {
		return nil, err
	}
	if r.agent, err = lease.NewAgent(lease.AgentConfig{Self: c.Self, Timing: c.Timing, Voters: c.Candidates, Seed: c.Seed}); err != nil {
		return nil, err
	}
	if c.Folder == "" || !slices.Contains(c.Candidates, c.Self.Name) {
		return r, nil
	}
	r.isCandidate = true
	peers := maps.Clone(c.CandidateAddresses)
	delete(peers, c.Self.Name)
	r.voterLink = newVoterLink(peers, r.handleVoterMessage)
	return r, nil
}

// handleVoterMessage handles a message from another candidate: a fleet record or a message for the
// voter.
func (r *Roles) handleVoterMessage(data []byte) {
	if data[0] == recordPrefix {
		r.handleRecord(data[1:])
		return
	}
	r.post(quorum.MessageReceived{Data: data})
}

// Define replaces the set of roles that exist. The voters agree on a new role once their leader has
// it defined. Until then they refuse a router's request for that role, because the role does not
// exist, and the router retries.
func (r *Roles) Define(roles []lease.Role) error {
	if _, err := lease.NewTable(roles, 0); err != nil {
		return err
	}
	r.defined.Store(&roles)
	return nil
}

// now returns the time that the agent and the voter use: the time since startedAt.
func (r *Roles) now() time.Duration { return time.Since(r.startedAt) }

// post queues an event for the voter, and reports whether the queue had capacity.
func (r *Roles) post(e any) bool {
	select {
	case r.voterEvents <- e:
		return true
	default:
		return false
	}
}

// SetWorkContext sets the parent context of all works. The caller must call it right after
// NewRoles, before any other method.
func (r *Roles) SetWorkContext(ctx context.Context) { r.workContext = ctx }

// Run drives the agent and, at a candidate, the voter until ctx ends. It returns once the voter has
// ended. It does not release the router's roles: ReleaseAll does.
func (r *Roles) Run(ctx context.Context) {
	if r.isCandidate {
		var voter sync.WaitGroup
		voter.Go(func() { r.runVoter(ctx) })
		defer voter.Wait()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		if next := r.tickAgent(); next != 0 {
			timer.Reset(max(next-r.now(), time.Millisecond))
		}
	}
}

// tickAgent ticks the agent if it is due, and returns when it is due next, 0 for never.
func (r *Roles) tickAgent() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if next := r.agent.Next(); next != 0 && r.now() >= next {
		r.carryOut(r.agent.Tick(r.now()))
	}
	return r.agent.Next()
}

// carryOut carries out the agent's actions and wakes Run. The caller holds mu.
func (r *Roles) carryOut(actions []lease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.SendRequest:
			r.sendRequest(a.To, a.Request)
		case lease.Granted:
			r.startWork(&a)
		case lease.Ended:
			r.stopWork(a.Role, a.Reason)
		case lease.TransferRequested:
			r.requestWorkTransfer(&a)
		}
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// localAgent is the sender that the local agent's requests to the local voter state, in place of an
// address.
const localAgent = "self"

// sendRequest sends a request to a candidate. A request to this router goes to the local voter
// while that runs.
func (r *Roles) sendRequest(to string, q *lease.Request) {
	if to == r.config.Self.Name && r.voterRunning.Load() {
		r.post(quorum.RequestReceived{From: localAgent, Request: q})
		return
	}
	if address, ok := r.addressOf(to); ok {
		r.send(address, q.Encode())
	}
}

// HandleDatagram handles a role datagram: a request to the local voter, or a reply. It never
// blocks.
func (r *Roles) HandleDatagram(from netip.AddrPort, data []byte) {
	request, reply, err := lease.Decode(data)
	switch {
	case err != nil: // drop it; the protocol tolerates lost datagrams
	case request != nil:
		if r.voterRunning.Load() {
			r.post(quorum.RequestReceived{From: from.String(), Request: request})
		}
	default:
		r.handleReply(r.nameAt(from), reply)
	}
}

// handleReply handles a voter's reply to an operator's request or to a request of the agent.
func (r *Roles) handleReply(from string, reply *lease.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result := r.awaitedResults[reply.ID]; result != nil && reply.Boot == r.config.Self.Boot && !reply.NotLeader {
		select {
		case result <- reply.Result:
		default:
		}
		return
	}
	r.carryOut(r.agent.HandleReply(r.now(), from, reply))
}

// UpdateView sets the current membership view and tells the local voter which routers are alive. It
// never blocks.
func (r *Roles) UpdateView(v *members.View) {
	r.view.Store(v)
	if !r.voterRunning.Load() {
		return
	}
	alive := map[string]bool{}
	for i := range v.Members {
		alive[v.Members[i].Name] = true
	}
	r.post(quorum.Membership{Alive: alive})
}

// addressOf returns the address of a router according to the membership. It reports false for a
// router that is no member.
func (r *Roles) addressOf(name string) (netip.AddrPort, bool) {
	m := r.findMember(func(m *members.Member) bool { return m.Name == name })
	if m == nil {
		return netip.AddrPort{}, false
	}
	return m.Addr, true
}

// nameAt returns the name of the member at an address, empty if no member has that address.
func (r *Roles) nameAt(address netip.AddrPort) string {
	m := r.findMember(func(m *members.Member) bool { return m.Addr == address })
	if m == nil {
		return ""
	}
	return m.Name
}

func (r *Roles) findMember(match func(*members.Member) bool) *members.Member {
	v := r.view.Load()
	if v == nil {
		return nil
	}
	for i := range v.Members {
		if match(&v.Members[i]) {
			return &v.Members[i]
		}
	}
	return nil
}
