package quorum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"reachspread/internal/router/lease"
)

// Voter is a router that may vote. See the package.
type Voter struct {
	config    Config
	rng       *rand.Rand
	now       time.Duration
	actions   []Action
	meta      Meta
	hardState *raftpb.HardState // as last kept; for seals
	lastEntry [2]uint64         // the log's last term and index, as found

	raft          *raft.RawNode // nil until it takes part
	storage       *raft.MemoryStorage
	table         *lease.Table
	applied       uint64
	confState     *raftpb.ConfState
	snapshotIndex uint64
	metaDirty     bool // meta is to be kept with the next write

	alive       map[string]bool // nil until the view has spoken
	lostSince   map[string]time.Duration
	hellos      map[string]receivedHello
	confirmedBy map[uint64]bool   // stores that found the own one whole
	storeIDs    map[string]uint64 // by name, as shown last

	startedAt, nextHelloAt, nextReconfigureAt, nextTickAt, nextQueueCheckAt time.Duration
	leaderSeenAt, nextElectionAt                                            time.Duration
	leaderlessSince                                                         time.Duration // since when there has been none
	leaderless                                                              bool
	wasLeader                                                               bool

	proposals     uint64
	pending       map[uint64]pendingRequest
	renewedAt     map[uint64]time.Duration // by token, of the last renewal
	notifications map[uint64]grantNotification
	reservedAt    map[uint64]time.Duration

	counters Counters
}

type pendingRequest struct {
	router string
	id     uint32
	boot   uint32
}

type grantNotification struct{ since, nextAt time.Duration }

type receivedHello struct {
	at      time.Duration
	message *message
}

// Figures are counters of a Voter.
type Counters struct {
	Commands, Elections, Snapshots, Rejected uint64
}

// New returns a Voter that starts now, with what its folder has: nil for an empty one. The first actions are those of the first Step.
func New(c Config, s *StoredState, now time.Duration) (*Voter, error) {
	switch {
	case len(c.Candidates) == 0 || len(c.Candidates) > MaxCandidates:
		return nil, fmt.Errorf("%d routers may vote; there must be from 1 to %d", len(c.Candidates), MaxCandidates)
	case !slices.Contains([]int{1, 3, 5, 7}, c.Voters):
		return nil, fmt.Errorf("%d voters; there must be 1, 3, 5 or 7", c.Voters)
	case c.Voters > len(c.Candidates):
		return nil, fmt.Errorf("%d voters of %d routers that may vote", c.Voters, len(c.Candidates))
	case !slices.Contains(c.Candidates, c.Self):
		return nil, fmt.Errorf("%s is not among those that may vote", c.Self)
	}
	if err := c.Timing.Validate(); err != nil {
		return nil, err
	}
	if _, err := lease.NewTable(c.Roles, 0); err != nil {
		return nil, err
	}
	if c.TickInterval == 0 {
		c.TickInterval = TickInterval
	}
	v := &Voter{config: c, now: now, startedAt: now, leaderlessSince: now, rng: rand.New(rand.NewPCG(c.Seed, uint64(c.Boot))), hellos: map[string]receivedHello{},
		lostSince: map[string]time.Duration{}, confirmedBy: map[uint64]bool{}, storeIDs: map[string]uint64{}}
	switch {
	case s == nil:
		v.newStore(0)
	case s.Meta.Name != c.Self:
		v.notice(NoticeRejoining, "the folder is "+s.Meta.Name+"'s")
		v.newStore(0)
	default:
		v.meta = s.Meta
		v.meta.Starts++
		if v.meta.StoreRecords == nil {
			v.meta.StoreRecords = map[uint64]StoreRecord{}
		}
		v.hardState = s.HardState
		if err := v.load(s); err != nil {
			v.notice(NoticeRejoining, err.Error())
			v.newStore(0)
			break
		}
		v.actions = append(v.actions, Persist{Meta: v.cloneMeta()})
	}
	return v, nil
}

// renew begins a store that nobody has seen, of a group or of none yet.
func (v *Voter) newStore(group uint64) {
	token, seals := v.meta.HighestToken, v.meta.StoreRecords
	if seals == nil {
		seals = map[uint64]StoreRecord{}
	}
	v.meta = Meta{Version: 1, ID: v.rng.Uint64()>>1 | 1, Name: v.config.Self, Group: group, Starts: 1, HighestToken: token, StoreRecords: seals}
	v.raft, v.storage, v.hardState, v.confState, v.applied, v.lastEntry = nil, raft.NewMemoryStorage(), nil, nil, 0, [2]uint64{}
	v.confirmedBy, v.wasLeader = map[uint64]bool{}, false
	v.table, _ = lease.NewTable(nil, 0)
	v.actions = append(v.actions, Persist{Reset: true, Meta: v.cloneMeta()})
}

// metaNow returns a copy that may be kept.
func (v *Voter) cloneMeta() *Meta {
	m := v.meta
	m.Members, m.Voters, m.StoreRecords = slices.Clone(m.Members), slices.Clone(m.Voters), maps.Clone(m.StoreRecords)
	v.metaDirty = false
	return &m
}

func (v *Voter) notice(what NoticeKind, cause string) {
	v.actions = append(v.actions, Notice{what, cause})
}

// Step takes one event at a time that never goes back, and returns what is to be done, in order.
func (v *Voter) Step(now time.Duration, e Event) []Action {
	v.now = max(now, v.now)
	switch e := e.(type) {
	case MessageReceived:
		if m, err := decode(e.Data); err == nil && slices.Contains(v.config.Candidates, m.From.Name) && m.From.Name != v.config.Self {
			v.handleMessage(m)
		}
	case RequestReceived:
		v.handleRequest(e)
	case Membership:
		v.handleMembership(e.Alive)
	case DefineRoles:
		if v.config.Roles = e.Roles; v.isLeader() {
			v.defineRoles()
		}
	case Rebuild:
		v.rebuild(e.LostRouters)
	}
	v.runTimers()
	v.processReady()
	if v.metaDirty {
		v.actions = append(v.actions, Persist{Meta: v.cloneMeta()})
	}
	out := v.actions
	v.actions = nil
	return out
}

// due does what the time calls for.
func (v *Voter) runTimers() {
	if v.now >= v.nextHelloAt {
		v.sendHellos(v.raft == nil || v.stage() == Joining || v.Leader() == "")
	}
	if v.raft == nil {
		v.join()
	} else {
		v.runMemberTimers()
	}
	v.reportLeadership()
}

// timers are those of a member.
func (v *Voter) runMemberTimers() {
	if v.isLeader() {
		if v.now >= v.nextTickAt {
			for n := 0; v.now >= v.nextTickAt && n < 4; n++ { // after a standstill not all of them
				v.raft.Tick()
				v.nextTickAt += v.config.TickInterval
			}
			v.nextTickAt = max(v.nextTickAt, v.now+v.config.TickInterval/2)
		}
		v.processReady()
		if v.isLeader() {
			v.expireLeases()
			v.reconfigure()
		}
		return
	}
	if v.now >= v.leaderSeenAt+electionTimeoutTicks*v.config.TickInterval && v.raft.BasicStatus().Lead != raft.None {
		v.raft.ForgetLeader() // so that it may vote for another
	}
	if v.now >= v.nextElectionAt {
		if v.stage() == Voting {
			v.counters.Elections++
			v.raft.Campaign()
		}
		v.nextElectionAt = v.now + electionTimeoutTicks*v.config.TickInterval/2 + v.jitter(electionJitterTicks*v.config.TickInterval)
	}
}

func (v *Voter) jitter(d time.Duration) time.Duration { return time.Duration(v.rng.Int64N(int64(d))) }

// leaderHeard puts the next election off.
func (v *Voter) resetElectionTimer() {
	v.leaderSeenAt = v.now
	v.nextElectionAt = v.now + electionTimeoutTicks*v.config.TickInterval + v.jitter(electionJitterTicks*v.config.TickInterval)
}

func (v *Voter) isLeader() bool {
	return v.raft != nil && v.raft.BasicStatus().RaftState == raft.StateLeader
}

// tellLeader has the log know if duties stop and go on.
func (v *Voter) reportLeadership() {
	if v.Leader() != "" {
		v.leaderlessSince = v.now
		if v.leaderless {
			v.leaderless = false
			v.notice(NoticeLeaderElected, "led by "+v.Leader())
		}
		return
	}
	if !v.leaderless && v.now >= v.leaderlessSince+leaderlessNoticeDelay {
		v.leaderless = true
		cause := "no majority of the voters can be reached"
		if gone := v.votersWithLostStore(); len(gone) > 0 {
			cause = fmt.Sprintf("the disks of %v are gone", gone)
			if 2*len(gone) > len(v.meta.Voters) {
				cause += ", a majority: see fleet duties rebuild"
			}
		}
		v.notice(NoticeNoLeader, cause)
	}
}

// gone has the members that voted and have shown another store since.
func (v *Voter) votersWithLostStore() (names []string) {
	for _, n := range v.meta.Members {
		if h, ok := v.hellos[n.Name]; ok && slices.Contains(v.meta.Voters, n.ID) && h.message.From.ID != n.ID {
			names = append(names, n.Name)
		}
	}
	return names
}

// Next is when Step is to be called at the latest.
func (v *Voter) Next() time.Duration {
	next := v.nextHelloAt
	if v.raft == nil {
		return next
	}
	if v.isLeader() {
		return min(next, v.nextTickAt)
	}
	return min(next, v.nextElectionAt)
}

// Leader is the name of who leads, empty for nobody known.
func (v *Voter) Leader() string {
	if v.stage() == Joining || v.stage() == Verifying { // what others say
		for _, name := range v.config.Candidates {
			if m, ok := v.recentHello(name); ok && m.Hello.Leader != "" && m.Group == v.meta.Group {
				return m.Hello.Leader
			}
		}
		return ""
	}
	lead := v.raft.BasicStatus().Lead
	for _, n := range v.meta.Members {
		if n.ID == lead {
			return n.Name
		}
	}
	return ""
}

func (v *Voter) stage() Stage {
	switch {
	case v.raft == nil && v.meta.Group != 0 && v.meta.Starts > 1:
		return Verifying
	case v.raft == nil || v.confState == nil:
		return Joining
	case slices.Contains(v.confState.Voters, v.meta.ID):
		return Voting
	case slices.Contains(v.confState.Learners, v.meta.ID):
		return Learning
	}
	return Joining
}

// Standing is what a Voter shows of itself.
type Status struct {
	Stage           Stage
	Leader          string
	Term, Index     uint64
	Group           uint64
	Leaderless      bool
	Voters          []string // names
	Learners        []string
	HighestToken    uint64
	RemainingLeases map[uint64]time.Duration // by token, on the leader: until the lease is over
	Counters        Counters
	LogEntries      uint64 // entries kept
}

// Standing returns how things are now.
func (v *Voter) Status() Status {
	s := Status{Stage: v.stage(), Leader: v.Leader(), Group: v.meta.Group, Leaderless: v.leaderless, HighestToken: v.meta.HighestToken, Index: v.applied, Counters: v.counters}
	for _, n := range v.meta.Members {
		switch {
		case slices.Contains(v.meta.Voters, n.ID):
			s.Voters = append(s.Voters, n.Name)
		default:
			s.Learners = append(s.Learners, n.Name)
		}
	}
	if v.raft != nil {
		s.Term = v.raft.BasicStatus().GetTerm()
		first, _ := v.storage.FirstIndex()
		last, _ := v.storage.LastIndex()
		s.LogEntries = last + 1 - first
	}
	if v.isLeader() {
		s.RemainingLeases = map[uint64]time.Duration{}
		for token, at := range v.renewedAt {
			s.RemainingLeases[token] = max(at+v.config.Timing.Duration-v.now, 0)
		}
	}
	return s
}

// Table is what has been agreed on so far. It must be neither kept nor changed.
func (v *Voter) Table() *lease.Table { return v.table }
