package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"reachspread/internal/router/lease"
)

// Voter is the state machine of a candidate, a router that may vote.
type Voter struct {
	config    Config
	rng       *rand.Rand
	now       time.Duration
	actions   []Action // actions that the present Step will return
	startedAt time.Duration

	// State of the store.
	meta      Meta
	metaDirty bool // meta has changed and must be persisted by the end of the Step
	hardState *raftpb.HardState
	lastEntry entryID // last log entry when the store was opened

	// The engine and the state that it has committed.
	raft          *raft.RawNode // nil until this candidate takes part in the group
	storage       *raft.MemoryStorage
	confState     *raftpb.ConfState
	table         *lease.Table
	applied       uint64 // index of the last applied entry
	snapshotIndex uint64 // index of the last snapshot

	// State of the other routers.
	alive       map[string]bool          // nil until the first Membership
	lostSince   map[string]time.Duration // for candidates that are not alive
	hellos      map[string]receivedHello // last hello by candidate
	confirmedBy map[uint64]bool          // IDs of the stores whose routers know of no newer state of this store
	storeIDs    map[string]uint64        // last store ID by candidate

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
	leaderless      bool // NoticeNoLeader has been sent since the last leader
	wasLeader       bool // leadership as of the last checkLeadership

	// State of the leader, which is cleared when leadership changes. Followers also update renewedAt.
	proposals     uint64                       // number of proposals so far; never cleared
	pending       map[uint64]pendingRequest    // by number of the proposal
	renewedAt     map[uint64]time.Duration     // time of the grant or its last renewal, by token
	notifications map[uint64]grantNotification // by token
	reservedAt    map[uint64]time.Duration     // time of the reservation, by token of the released grant

	counters Counters
}

// entryID identifies a log entry by its term and index.
type entryID struct{ term, index uint64 }

// pendingRequest is a request whose command has been proposed and is not committed yet.
type pendingRequest struct {
	router string
	id     uint32
	boot   uint32
}

// grantNotification is the schedule of notifications of a grant, which are repeated until the holder
// renews the grant.
type grantNotification struct{ since, nextAt time.Duration }

// receivedHello is the last message with a hello of a candidate, and the time of its arrival.
type receivedHello struct {
	at      time.Duration
	message *message
}

// New returns a Voter that starts at the time now with the stored state s. A nil s is an empty disk.
// The first call of Step also returns the actions of the start.
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

// openStore loads the stored state, or begins a new store if the stored state cannot be used.
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

// newStore begins an empty store with a new random ID, for a group or, with 0, for no group yet.
func (v *Voter) newStore(group uint64) { v.resetStore(group, v.rng.Uint64()>>1|1) }

// resetStore begins an empty store with an ID for a group. It keeps the highest token and the store
// records, and drops everything else that was stored.
func (v *Voter) resetStore(group, id uint64) {
	token, records := v.meta.HighestToken, v.meta.StoreRecords
	if records == nil {
		records = map[uint64]StoreRecord{}
	}
	v.meta = Meta{Version: storeFormat, ID: id, Name: v.config.Self, Group: group, Starts: firstStart, HighestToken: token, StoreRecords: records}
	v.raft, v.storage, v.hardState, v.confState = nil, raft.NewMemoryStorage(), nil, nil
	v.applied, v.lastEntry = 0, entryID{}
	v.confirmedBy, v.wasLeader = map[uint64]bool{}, false
	v.table, _ = lease.NewTable(nil, 0) // cannot fail without roles
	v.actions = append(v.actions, Persist{Reset: true, Meta: v.cloneMeta()})
}

// cloneMeta returns a copy of meta for a Persist, and clears metaDirty.
func (v *Voter) cloneMeta() *Meta {
	m := v.meta.clone()
	v.metaDirty = false
	return &m
}

func (v *Voter) notice(kind NoticeKind, cause string) {
	v.actions = append(v.actions, Notice{kind, cause})
}

// Step processes one event and the timers that are due. It returns the actions that the owner must
// carry out, in order. Now must not go back from call to call.
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

// Next returns the time by which the owner must call Step again.
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

// runTimers does the work that is due at the present time.
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
		v.raft.ForgetLeader() // while the engine knows a leader, it does not vote for another voter
	}
	if v.now >= v.nextElectionAt {
		if v.stage() == Voting {
			v.counters.Elections++
			v.raft.Campaign()
		}
		v.nextElectionAt = v.now + v.config.electionTimeout()/2 + v.electionJitter()
	}
}

// resetElectionTimer restarts the election time-out. It is called when a message of the leader has
// arrived, and when this voter starts its engine or loses leadership.
func (v *Voter) resetElectionTimer() {
	v.leaderSeenAt = v.now
	v.nextElectionAt = v.now + v.config.electionTimeout() + v.electionJitter()
}

func (v *Voter) electionJitter() time.Duration {
	return time.Duration(v.rng.Int64N(int64(electionJitterTicks * v.config.TickInterval)))
}
