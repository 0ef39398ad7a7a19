package quorum

import (
	"fmt"
	"slices"
	"time"

	"reachspread/internal/router/lease"
)

// Timing of elections and hellos.
const (
	// TickInterval is the leader's; it sends heartbeats each heartbeatTicks.
	TickInterval         = 50 * time.Millisecond
	heartbeatTicks       = 2
	electionTimeoutTicks = 8 // without the leader, after which a voter campaigns
	electionJitterTicks  = 4 // over which the campaigns of several voters are spread
	maxTicksAtOnce       = 4 // after a pause of the process

	// helloInterval is that of a candidate that is no member, or knows no leader.
	helloInterval       = 200 * time.Millisecond
	memberHelloInterval = 2 * time.Second // of a member
	helloTTL            = 3 * time.Second // for how long a hello counts

	// storeCheckTimeout bounds the wait for all that are alive to say what they know of the own
	// store. A voter whose peers are down must not wait for them for ever.
	storeCheckTimeout = 2 * time.Second
	// leaderlessNoticeDelay is the time without a leader after which operators are told.
	leaderlessNoticeDelay = 5 * time.Second
)

// Timing of the leader's work on leases and on the group.
const (
	reconfigureInterval = 300 * time.Millisecond
	notifyInterval      = 50 * time.Millisecond // between two notifications of one grant
	// confirmTimeout is after what a grant made in turn is taken back unless its holder renews it.
	confirmTimeout = 300 * time.Millisecond
	// queueCheckInterval is between two looks for queued routers that are dead.
	queueCheckInterval    = time.Second
	proposalRetryInterval = 200 * time.Millisecond // until a proposal that was lost is made again
	learnerTimeout        = 10 * time.Second       // a learner that is lost for so long is removed
)

// Bounds.
const (
	MaxCandidates      = lease.MaxVoters
	MaxMessageBytes    = 4 << 20
	maxPendingRequests = 4096              // that wait for agreement
	entriesPerSnapshot = 1000              // log entries after which a snapshot is taken
	retainedEntries    = 200               // that stay in the log behind a snapshot
	maxLearnerBacklog  = 64                // entries that a learner may lack when it is promoted
	maxDequeues        = 16                // proposed at a time
	maxStoreRecords    = 4 * MaxCandidates // beyond that those of former members are dropped
	firstGroupRange    = 1 << 20           // of which the first group's number is drawn
)

// Bounds of the engine.
const (
	maxEngineMessageBytes = 256 << 10
	maxInflightMessages   = 64
	maxUncommittedBytes   = 1 << 20
)

const (
	storeFormat = 1 // of Meta
	firstStart  = 1 // of a store that no process has begun with before
)

// Config is what a Voter is told at its start.
type Config struct {
	Self, Zone string
	// Candidates are the names of those that may vote, the same at all of them; the first Voters of
	// them found the group.
	Candidates []string
	Voters     int // 1, 3, 5 or 7
	Roles      []lease.Role
	Timing     lease.Timing
	// ReplaceTimeout is for how long a voter must have been lost until another takes its place.
	// Shorter replaces a restarting router for nothing, longer leaves the group with less to spare.
	ReplaceTimeout time.Duration
	Boot           uint32 // of this process
	Seed           uint64
	// TickInterval is the leader's, 0 counts as the constant. Election time-outs are multiples of
	// it.
	TickInterval time.Duration
	// SkipLeaseWait has a new leader not wait a whole lease. It is a fault planted for checkers.
	SkipLeaseWait bool
	// TrustStore has the store be believed without asking others. It is for explorers, whose depth
	// is short.
	TrustStore bool
}

// validate returns what is wrong with a configuration, and fills in defaults.
func (c *Config) validate() error {
	switch {
	case len(c.Candidates) == 0 || len(c.Candidates) > MaxCandidates:
		return fmt.Errorf("%d routers may vote; there must be from 1 to %d", len(c.Candidates), MaxCandidates)
	case !slices.Contains([]int{1, 3, 5, 7}, c.Voters):
		return fmt.Errorf("%d voters; there must be 1, 3, 5 or 7", c.Voters)
	case c.Voters > len(c.Candidates):
		return fmt.Errorf("%d voters of %d routers that may vote", c.Voters, len(c.Candidates))
	case !slices.Contains(c.Candidates, c.Self):
		return fmt.Errorf("%s is not among those that may vote", c.Self)
	}
	if err := c.Timing.Validate(); err != nil {
		return err
	}
	if _, err := lease.NewTable(c.Roles, 0); err != nil {
		return err
	}
	if c.TickInterval == 0 {
		c.TickInterval = TickInterval
	}
	return nil
}

// electionTimeout is the time without the leader after which a voter campaigns, at the least.
func (c *Config) electionTimeout() time.Duration { return electionTimeoutTicks * c.TickInterval }
