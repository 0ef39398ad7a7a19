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

// The errors of calls that only a router with a voter can serve.
var (
	ErrNoVoter = errors.New("this router does not vote")
	errBusy    = errors.New("the voter has too much to do")
)

// RolesConfig is what a router's Roles are told at their start.
type RolesConfig struct {
	Self   lease.Router
	Timing lease.Timing
	Roles  []lease.Role
	Voters int // 1, 3, 5 or 7
	// ReplaceTimeout is as in quorum.Config.
	ReplaceTimeout time.Duration
	// Candidates are the names of the routers that may vote, the same at all; CandidateAddresses
	// are where they reach each other over TCP.
	Candidates         []string
	CandidateAddresses map[string]string
	// Listen and Folder are this candidate's address and the directory of its store, empty for a
	// router that only asks the voters.
	Listen string
	Folder string
	Seed   uint64
}

// Roles are the singleton roles of one router: its agent and, at a candidate, its voter.
type Roles struct {
	config    RolesConfig
	send      func(to netip.AddrPort, data []byte)
	log       routing.Logger
	startedAt time.Time // of the deciders' time, by the monotonic clock
	defined   atomic.Pointer[[]lease.Role]
	view      atomic.Pointer[members.View]
	wake      chan struct{} // has Run look at the agent's next time

	mu             sync.Mutex // guards all up to workContext
	agent          *lease.Agent
	works          map[string]*roleWork         // by role
	awaitedResults map[uint32]chan lease.Result // of operators' requests, by ID
	workContext    context.Context

	running sync.WaitGroup // works

	// Of the voter. Its goroutine alone uses voter and store.
	isCandidate  bool
	voterRunning atomic.Bool // its store is open, and has not failed
	voter        *quorum.Voter
	store        *store
	loopPace     pacing.Meter
	voterLink    *voterLink
	voterEvents  chan any // quorum.Event or *voterQuery, maxVoterEvents at most
	voterStatus  atomic.Pointer[VoterStatus]

	recordMu   sync.Mutex // one record at a time
	keepRecord func(token uint64, text []byte) uint64

	begun, ended, rejected atomic.Uint64
}

// maxVoterEvents bounds what waits for the voter; further messages are lost.
const maxVoterEvents = 512

// NewRoles returns the roles of a router, which do nothing before Run.
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

// handleVoterMessage takes in a message of another candidate: a record or one for the voter.
func (r *Roles) handleVoterMessage(data []byte) {
	if data[0] == recordPrefix {
		r.handleRecord(data[1:])
		return
	}
	r.post(quorum.MessageReceived{Data: data})
}

// Define replaces the roles that exist. The voters agree on new ones once their leader is told of
// them: until then a router that wants one is told that there is no such role, and asks again.
func (r *Roles) Define(roles []lease.Role) error {
	if _, err := lease.NewTable(roles, 0); err != nil {
		return err
	}
	r.defined.Store(&roles)
	return nil
}

// now is the deciders' time.
func (r *Roles) now() time.Duration { return time.Since(r.startedAt) }

// post queues an event for the voter, and reports whether there was capacity.
func (r *Roles) post(e any) bool {
	select {
	case r.voterEvents <- e:
		return true
	default:
		return false
	}
}

// SetWorkContext sets the context of all works. It is to be called before anything else but
// NewRoles.
func (r *Roles) SetWorkContext(ctx context.Context) { r.workContext = ctx }

// Run drives the agent and, at a candidate, the voter until ctx ends. It returns once the voter has
// ended. It gives nothing back: see ReleaseAll.
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

// tickAgent does what is due, and returns when something is due next, 0 for never.
func (r *Roles) tickAgent() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if next := r.agent.Next(); next != 0 && r.now() >= next {
		r.carryOut(r.agent.Tick(r.now()))
	}
	return r.agent.Next()
}

// carryOut carries out the agent's actions. The caller holds mu.
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

// localAgent is whom the local voter replies to, in place of an address.
const localAgent = "self"

// sendRequest sends a request to a candidate, or to the local voter.
func (r *Roles) sendRequest(to string, q *lease.Request) {
	if to == r.config.Self.Name && r.voterRunning.Load() {
		r.post(quorum.RequestReceived{From: localAgent, Request: q})
		return
	}
	if address, ok := r.addressOf(to); ok {
		r.send(address, q.Encode())
	}
}

// HandleDatagram takes in a datagram of roles: a request for the local voter, or a reply. It never
// waits.
func (r *Roles) HandleDatagram(from netip.AddrPort, data []byte) {
	request, reply, err := lease.Decode(data)
	switch {
	case err != nil: // as good as lost
	case request != nil:
		if r.voterRunning.Load() {
			r.post(quorum.RequestReceived{From: from.String(), Request: request})
		}
	default:
		r.handleReply(r.nameAt(from), reply)
	}
}

// handleReply takes in a voter's reply to an operator's request or to the agent's.
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

// UpdateView takes in the membership. It never waits.
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

// addressOf returns where the membership has a router.
func (r *Roles) addressOf(name string) (netip.AddrPort, bool) {
	m := r.findMember(func(m *members.Member) bool { return m.Name == name })
	if m == nil {
		return netip.AddrPort{}, false
	}
	return m.Addr, true
}

// nameAt returns the router at an address, empty for one that is no member.
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
