package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"reachspread/internal/router/lease"
)

// Voter is a candidate: a router that may vote.
type Voter struct {
	config    Config
	rng       *rand.Rand
	now       time.Duration
	actions   []Action // of the present Step
	startedAt time.Duration

	// What is stored.
	meta      Meta
	metaDirty bool // meta is to be persisted with the next write
	hardState *raftpb.HardState
	lastEntry entryID // of the log, as found at the start

	// The engine, and what it has committed.
	raft          *raft.RawNode // nil until this candidate takes part
	storage       *raft.MemoryStorage
	confState     *raftpb.ConfState
	table         *lease.Table
	applied       uint64 // index
	snapshotIndex uint64

	// What is known of the others.
	alive       map[string]bool          // nil until the first Membership
	lostSince   map[string]time.Duration // candidates that are not alive
	hellos      map[string]receivedHello // by candidate, the last one
	confirmedBy map[uint64]bool          // stores that found nothing newer of the own store
	storeIDs    map[string]uint64        // by candidate, as shown last

	// Timers.
	nextHelloAt       time.Duration
	nextReconfigureAt time.Duration
	nextTickAt        time.Duration
	nextQueueCheckAt  time.Duration
	leaderSeenAt      time.Duration
	nextElectionAt    time.Duration

	// Leadership.
	allEmptySince   time.Duration // since when all candidates' logs are known to be empty
	leaderlessSince time.Duration
	leaderless      bool // operators have been told
	wasLeader       bool

	// The leader's, and cleared when leadership changes; renewedAt is also kept by followers.
	proposals     uint64                    // made so far
	pending       map[uint64]pendingRequest // by proposal
	renewedAt     map[uint64]time.Duration  // by token
	notifications map[uint64]grantNotification
	reservedAt    map[uint64]time.Duration // by token of the grant that was given back

	counters Counters
}

// entryID is the term and the index of a log entry.
type entryID struct{ term, index uint64 }

// pendingRequest is a request whose command is not committed yet.
type pendingRequest struct {
	router string
	id     uint32
	boot   uint32
}

// grantNotification is a grant whose holder is told of it until it renews.
type grantNotification struct{ since, nextAt time.Duration }

type receivedHello struct {
	at      time.Duration
	message *message
}

// New returns a Voter that starts now with what its disk has, nil for an empty one. Its first
// actions are those of the first Step.
func New(c Config, s *StoredState, now time.Duration) (*Voter, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	v := &Voter{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, uint64(c.Boot))),
		now: now, startedAt: now, leaderlessSince: now, allEmptySince: now,
		hellos: map[string]receivedHello{}, lostSince: map[string]time.Duration{},
		confirmedBy: map[uint64]bool{}, storeIDs: map[string]uint64{},
	}
	v.openStore(s)
	return v, nil
}

// openStore takes over what the disk has, or begins a new store where that can't be used.
func (v *Voter) openStore(s *StoredState) {
	if s == nil {
		v.newStore(0)
		return
	}
	if s.Meta.Name != v.config.Self {
		v.notice(NoticeRejoining, "the folder is "+s.Meta.Name+"'s")
		v.newStore(0)
		return
	}
	v.meta = s.Meta
	v.meta.Starts++
	if v.meta.StoreRecords == nil {
		v.meta.StoreRecords = map[uint64]StoreRecord{}
	}
	v.hardState = s.HardState
	if err := v.load(s); err != nil {
		v.notice(NoticeRejoining, err.Error())
		v.newStore(0)
		return
	}
	v.actions = append(v.actions, Persist{Meta: v.cloneMeta()})
}

// newStore begins a store that nobody has seen, of a group or, with 0, of none yet.
func (v *Voter) newStore(group uint64) { v.resetStore(group, v.rng.Uint64()>>1|1) }

// resetStore drops all that was stored of a group, and begins a store of another with an ID.
func (v *Voter) resetStore(group, id uint64) {
	token, records := v.meta.HighestToken, v.meta.StoreRecords
	if records == nil {
		records = map[uint64]StoreRecord{}
	}
	v.meta = Meta{Version: storeFormat, ID: id, Name: v.config.Self, Group: group, Starts: firstStart, HighestToken: token, StoreRecords: records}
	v.raft, v.storage, v.hardState, v.confState = nil, raft.NewMemoryStorage(), nil, nil
	v.applied, v.lastEntry = 0, entryID{}
	v.confirmedBy, v.wasLeader = map[uint64]bool{}, false
	v.table, _ = lease.NewTable(nil, 0) // without roles it can't fail
	v.actions = append(v.actions, Persist{Reset: true, Meta: v.cloneMeta()})
}

// cloneMeta returns a copy of meta that may be persisted.
func (v *Voter) cloneMeta() *Meta {
	m := v.meta.clone()
	v.metaDirty = false
	return &m
}

func (v *Voter) notice(kind NoticeKind, cause string) {
	v.actions = append(v.actions, Notice{kind, cause})
}

// Step takes in one event at a time, and returns what is to be done, in order. Now must not go
// back.
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

// Next returns when Step is to be called at the latest.
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

// runTimers does what the time calls for.
func (v *Voter) runTimers() {
	if v.now >= v.nextHelloAt {
		v.sendHellos(v.raft == nil || v.stage() == Joining || v.Leader() == "")
	}
	v.foundGroupAgain()
	switch {
	case v.raft == nil:
		v.join()
	case v.isLeader():
		v.runLeaderTimers()
	default:
		v.runFollowerTimers()
	}
	v.reportLeadership()
}

func (v *Voter) runLeaderTimers() {
	if v.now >= v.nextTickAt {
		for n := 0; v.now >= v.nextTickAt && n < maxTicksAtOnce; n++ {
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
}

func (v *Voter) runFollowerTimers() {
	if v.now >= v.leaderSeenAt+v.config.electionTimeout() && v.raft.BasicStatus().Lead != raft.None {
		v.raft.ForgetLeader() // so that it may vote for another
	}
	if v.now >= v.nextElectionAt {
		if v.stage() == Voting {
			v.counters.Elections++
			v.raft.Campaign()
		}
		v.nextElectionAt = v.now + v.config.electionTimeout()/2 + v.electionJitter()
	}
}

// resetElectionTimer puts the next election off, as the leader was heard.
func (v *Voter) resetElectionTimer() {
	v.leaderSeenAt = v.now
	v.nextElectionAt = v.now + v.config.electionTimeout() + v.electionJitter()
}

func (v *Voter) electionJitter() time.Duration {
	return time.Duration(v.rng.Int64N(int64(electionJitterTicks * v.config.TickInterval)))
}
