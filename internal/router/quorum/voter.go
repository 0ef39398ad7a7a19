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
	c    Config
	rng  *rand.Rand
	now  time.Duration
	out  []Action
	meta Meta
	hard *raftpb.HardState // as last kept; for seals
	last [2]uint64         // the log's last term and index, as found

	node    *raft.RawNode // nil until it takes part
	store   *raft.MemoryStorage
	table   *lease.Table
	applied uint64
	conf    *raftpb.ConfState
	snapped uint64
	dirty   bool // meta is to be kept with the next write

	living map[string]bool // nil until the view has spoken
	lost   map[string]time.Duration
	heard  map[string]heard
	okay   map[uint64]bool   // stores that found the own one whole
	stores map[string]uint64 // by name, as shown last

	began, helloAt, planAt, tickAt, lineAt time.Duration
	leaderAt, electAt                      time.Duration
	leaderless                             time.Duration // since when there has been none
	stopped                                bool
	led                                    bool

	nth     uint64
	pending map[uint64]waiting
	since   map[uint64]time.Duration // by token, of the last renewal
	pushed  map[uint64]push
	kept    map[uint64]time.Duration

	figures Figures
}

type waiting struct {
	from string
	id   uint32
	boot uint32
}

type push struct{ since, at time.Duration }

type heard struct {
	at time.Duration
	m  *message
}

// Figures are counters of a Voter.
type Figures struct {
	Commands, Elections, Snapshots, Refused uint64
}

// New returns a Voter that starts now, with what its folder has: nil for an empty one. The first actions are those of the first Step.
func New(c Config, s *Stored, now time.Duration) (*Voter, error) {
	switch {
	case len(c.Names) == 0 || len(c.Names) > MostNames:
		return nil, fmt.Errorf("%d routers may vote; there must be from 1 to %d", len(c.Names), MostNames)
	case !slices.Contains([]int{1, 3, 5, 7}, c.Voters):
		return nil, fmt.Errorf("%d voters; there must be 1, 3, 5 or 7", c.Voters)
	case c.Voters > len(c.Names):
		return nil, fmt.Errorf("%d voters of %d routers that may vote", c.Voters, len(c.Names))
	case !slices.Contains(c.Names, c.Self):
		return nil, fmt.Errorf("%s is not among those that may vote", c.Self)
	}
	if err := c.Times.Check(); err != nil {
		return nil, err
	}
	if _, err := lease.NewTable(c.Duties, 0); err != nil {
		return nil, err
	}
	if c.Beat == 0 {
		c.Beat = Beat
	}
	v := &Voter{c: c, now: now, began: now, leaderless: now, rng: rand.New(rand.NewPCG(c.Seed, uint64(c.Boot))), heard: map[string]heard{},
		lost: map[string]time.Duration{}, okay: map[uint64]bool{}, stores: map[string]uint64{}}
	switch {
	case s == nil:
		v.renew(0)
	case s.Meta.Name != c.Self:
		v.say(Rejoins, "the folder is "+s.Meta.Name+"'s")
		v.renew(0)
	default:
		v.meta = s.Meta
		v.meta.Start++
		if v.meta.Seals == nil {
			v.meta.Seals = map[uint64]Seal{}
		}
		v.hard = s.Hard
		if err := v.load(s); err != nil {
			v.say(Rejoins, err.Error())
			v.renew(0)
			break
		}
		v.out = append(v.out, Keep{Meta: v.metaNow()})
	}
	return v, nil
}

// renew begins a store that nobody has seen, of a group or of none yet.
func (v *Voter) renew(group uint64) {
	token, seals := v.meta.Token, v.meta.Seals
	if seals == nil {
		seals = map[uint64]Seal{}
	}
	v.meta = Meta{Version: 1, ID: v.rng.Uint64()>>1 | 1, Name: v.c.Self, Group: group, Start: 1, Token: token, Seals: seals}
	v.node, v.store, v.hard, v.conf, v.applied, v.last = nil, raft.NewMemoryStorage(), nil, nil, 0, [2]uint64{}
	v.okay, v.led = map[uint64]bool{}, false
	v.table, _ = lease.NewTable(nil, 0)
	v.out = append(v.out, Keep{Reset: true, Meta: v.metaNow()})
}

// metaNow returns a copy that may be kept.
func (v *Voter) metaNow() *Meta {
	m := v.meta
	m.Nodes, m.Voters, m.Seals = slices.Clone(m.Nodes), slices.Clone(m.Voters), maps.Clone(m.Seals)
	v.dirty = false
	return &m
}

func (v *Voter) say(what Telling, cause string) { v.out = append(v.out, Told{what, cause}) }

// Step takes one event at a time that never goes back, and returns what is to be done, in order.
func (v *Voter) Step(now time.Duration, e Event) []Action {
	v.now = max(now, v.now)
	switch e := e.(type) {
	case Received:
		if m, err := decode(e.Data); err == nil && slices.Contains(v.c.Names, m.From.Name) && m.From.Name != v.c.Self {
			v.receive(m)
		}
	case Asked:
		v.asked(e)
	case View:
		v.viewed(e.Living)
	case Define:
		if v.c.Duties = e.Duties; v.leads() {
			v.define()
		}
	case Rebuild:
		v.rebuild(e.Gone)
	}
	v.due()
	v.drain()
	if v.dirty {
		v.out = append(v.out, Keep{Meta: v.metaNow()})
	}
	out := v.out
	v.out = nil
	return out
}

// due does what the time calls for.
func (v *Voter) due() {
	if v.now >= v.helloAt {
		v.greet(v.node == nil || v.stage() == Joining || v.Leader() == "")
	}
	if v.node == nil {
		v.enter()
	} else {
		v.timers()
	}
	v.tellLeader()
}

// timers are those of a member.
func (v *Voter) timers() {
	if v.leads() {
		if v.now >= v.tickAt {
			for n := 0; v.now >= v.tickAt && n < 4; n++ { // after a standstill not all of them
				v.node.Tick()
				v.tickAt += v.c.Beat
			}
			v.tickAt = max(v.tickAt, v.now+v.c.Beat/2)
		}
		v.drain()
		if v.leads() {
			v.leases()
			v.plan()
		}
		return
	}
	if v.now >= v.leaderAt+silence*v.c.Beat && v.node.BasicStatus().Lead != raft.None {
		v.node.ForgetLeader() // so that it may vote for another
	}
	if v.now >= v.electAt {
		if v.stage() == Voting {
			v.figures.Elections++
			v.node.Campaign()
		}
		v.electAt = v.now + silence*v.c.Beat/2 + v.chance(spread*v.c.Beat)
	}
}

func (v *Voter) chance(d time.Duration) time.Duration { return time.Duration(v.rng.Int64N(int64(d))) }

// leaderHeard puts the next election off.
func (v *Voter) leaderHeard() {
	v.leaderAt = v.now
	v.electAt = v.now + silence*v.c.Beat + v.chance(spread*v.c.Beat)
}

func (v *Voter) leads() bool {
	return v.node != nil && v.node.BasicStatus().RaftState == raft.StateLeader
}

// tellLeader has the log know if duties stop and go on.
func (v *Voter) tellLeader() {
	if v.Leader() != "" {
		v.leaderless = v.now
		if v.stopped {
			v.stopped = false
			v.say(GoesOn, "led by "+v.Leader())
		}
		return
	}
	if !v.stopped && v.now >= v.leaderless+stoppedAfter {
		v.stopped = true
		cause := "no majority of the voters can be reached"
		if gone := v.gone(); len(gone) > 0 {
			cause = fmt.Sprintf("the disks of %v are gone", gone)
			if 2*len(gone) > len(v.meta.Voters) {
				cause += ", a majority: see fleet duties rebuild"
			}
		}
		v.say(Stopped, cause)
	}
}

// gone has the members that voted and have shown another store since.
func (v *Voter) gone() (names []string) {
	for _, n := range v.meta.Nodes {
		if h, ok := v.heard[n.Name]; ok && slices.Contains(v.meta.Voters, n.ID) && h.m.From.ID != n.ID {
			names = append(names, n.Name)
		}
	}
	return names
}

// Next is when Step is to be called at the latest.
func (v *Voter) Next() time.Duration {
	next := v.helloAt
	if v.node == nil {
		return next
	}
	if v.leads() {
		return min(next, v.tickAt)
	}
	return min(next, v.electAt)
}

// Leader is the name of who leads, empty for nobody known.
func (v *Voter) Leader() string {
	if v.stage() == Joining || v.stage() == Asking { // what others say
		for _, name := range v.c.Names {
			if m, ok := v.recent(name); ok && m.Hello.Leader != "" && m.Group == v.meta.Group {
				return m.Hello.Leader
			}
		}
		return ""
	}
	lead := v.node.BasicStatus().Lead
	for _, n := range v.meta.Nodes {
		if n.ID == lead {
			return n.Name
		}
	}
	return ""
}

func (v *Voter) stage() Stage {
	switch {
	case v.node == nil && v.meta.Group != 0 && v.meta.Start > 1:
		return Asking
	case v.node == nil || v.conf == nil:
		return Joining
	case slices.Contains(v.conf.Voters, v.meta.ID):
		return Voting
	case slices.Contains(v.conf.Learners, v.meta.ID):
		return Learning
	}
	return Joining
}

// Standing is what a Voter shows of itself.
type Standing struct {
	Stage       Stage
	Leader      string
	Term, Index uint64
	Group       uint64
	Stopped     bool
	Voters      []string // names
	Learners    []string
	Token       uint64
	Left        map[uint64]time.Duration // by token, on the leader: until the lease is over
	Figures     Figures
	Log         uint64 // entries kept
}

// Standing returns how things are now.
func (v *Voter) Standing() Standing {
	s := Standing{Stage: v.stage(), Leader: v.Leader(), Group: v.meta.Group, Stopped: v.stopped, Token: v.meta.Token, Index: v.applied, Figures: v.figures}
	for _, n := range v.meta.Nodes {
		switch {
		case slices.Contains(v.meta.Voters, n.ID):
			s.Voters = append(s.Voters, n.Name)
		default:
			s.Learners = append(s.Learners, n.Name)
		}
	}
	if v.node != nil {
		s.Term = v.node.BasicStatus().GetTerm()
		first, _ := v.store.FirstIndex()
		last, _ := v.store.LastIndex()
		s.Log = last + 1 - first
	}
	if v.leads() {
		s.Left = map[uint64]time.Duration{}
		for token, at := range v.since {
			s.Left[token] = max(at+v.c.Times.Lease-v.now, 0)
		}
	}
	return s
}

// Table is what has been agreed on so far. It must be neither kept nor changed.
func (v *Voter) Table() *lease.Table { return v.table }
