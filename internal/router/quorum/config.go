package quorum

import (
	"fmt"
	"slices"
	"time"

	"reachspread/internal/router/lease"
)

// Timing of elections and hellos.
const (
	// TickInterval is the default time between two ticks of the leader's engine. The leader sends a
	// heartbeat every heartbeatTicks ticks.
	TickInterval         = 50 * time.Millisecond
	heartbeatTicks       = 2
	electionTimeoutTicks = 8 // minimum time without messages of the leader before a voter campaigns
	electionJitterTicks  = 4 // range of the random time that separates the campaigns of several voters
	maxTicksAtOnce       = 4 // limit on the ticks that the leader makes up for after a pause of the process

	// helloInterval is the time between hellos of a candidate that is not a member or knows no
	// leader.
	helloInterval       = 200 * time.Millisecond
	memberHelloInterval = 2 * time.Second // time between hellos of a member that knows the leader
	helloTTL            = 3 * time.Second // time after which a received hello is ignored

	// storeCheckTimeout limits how long a starting voter waits until all live members have said what
	// they know of its store. Without the limit it would wait forever for members that are down.
	storeCheckTimeout = 2 * time.Second
	// leaderlessNoticeDelay is the time without a leader after which the voter notifies operators.
	leaderlessNoticeDelay = 5 * time.Second
)

// Timing of the leader's work on leases and on the group.
const (
	reconfigureInterval = 300 * time.Millisecond
	notifyInterval      = 50 * time.Millisecond // between two notifications of one unconfirmed grant
	// confirmTimeout is the time within which the holder of a grant from the queue must renew it.
	// After that the leader expires the grant.
	confirmTimeout = 300 * time.Millisecond
	// queueCheckInterval is the time between two checks of the queues and reservations.
	queueCheckInterval    = time.Second
	proposalRetryInterval = 200 * time.Millisecond // until the leader repeats a proposal that may be lost, or a notification of a requested transfer
	learnerTimeout        = 10 * time.Second       // the leader removes a learner that has been lost for this long
)

// Limits.
const (
	MaxCandidates      = lease.MaxVoters
	MaxMessageBytes    = 4 << 20           // of an encoded message between candidates
	maxPendingRequests = 4096              // requests whose commands are proposed and not committed yet
	entriesPerSnapshot = 1000              // applied log entries after which a voter takes a snapshot
	retainedEntries    = 200               // applied log entries that are kept when the log is compacted
	maxLearnerBacklog  = 64                // log entries that a learner may still lack when it is promoted
	maxDequeues        = 16                // dead routers that one check removes from the queues
	maxStoreRecords    = 4 * MaxCandidates // number of store records from which the records of former members are dropped
	firstGroupRange    = 1 << 20           // the first group's number is drawn from 1 to this
)

// Limits of the engine.
const (
	maxEngineMessageBytes = 256 << 10
	maxInflightMessages   = 64
	maxUncommittedBytes   = 1 << 20
)

const (
	storeFormat = 1 // Meta.Version of the stores that this code writes
	firstStart  = 1 // Meta.Starts of a new store
)

// Config is the configuration of a Voter.
type Config struct {
	Self, Zone string // names of this router and of its zone
	// Candidates are the names of the routers that may vote, in the same order at all candidates.
	// The first Voters of them are the founders of the group.
	Candidates []string
	Voters     int // number of voters in the group: 1, 3, 5 or 7
	Roles      []lease.Role
	Timing     lease.Timing
	// ReplaceTimeout is how long a voter must have been lost before the leader replaces it by
	// another candidate. A shorter time replaces restarting routers unnecessarily. During a longer
	// time the group tolerates fewer further failures.
	ReplaceTimeout time.Duration
	Boot           uint32 // boot number of this process
	Seed           uint64 // of the random numbers, together with Boot
	// TickInterval is the time between two ticks of the leader's engine; 0 means the constant
	// TickInterval. Election time-outs are multiples of it.
	TickInterval time.Duration
	// SkipLeaseWait makes a new leader expire leases without the wait of a whole lease duration. It
	// is a planted fault: tests check that their checkers find it.
	SkipLeaseWait bool
	// TrustStore makes the voter use its store without asking others about it. State space explorers
	// set it because they explore only a few steps.
	TrustStore bool
}

// validate returns an error if the configuration is invalid, and sets defaults.
func (c *Config) validate() error {
	switch {
	case len(c.Candidates) == 0 || len(c.Candidates) > MaxCandidates:
		return fmt.Errorf("%d routers may vote; there must be from 1 to %d", len(c.Candidates), MaxCandidates)
	case !slices.Contains([]int{1, 3, 5, 7}, c.Voters):
		return fmt.Errorf("%d voters; there must be 1, 3, 5 or 7", c.Voters)
	case c.Voters > len(c.Candidates):
		return fmt.Errorf("%d voters; there must be at most %d, the number of routers that may vote", c.Voters, len(c.Candidates))
	case !slices.Contains(c.Candidates, c.Self):
		return fmt.Errorf("router %s is not among the routers that may vote", c.Self)
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

// electionTimeout returns the minimum time without messages of the leader before a voter campaigns.
func (c *Config) electionTimeout() time.Duration { return electionTimeoutTicks * c.TickInterval }
