package view

import (
	"time"
)

// HeartbeatInterval is the time between two heartbeats to the same process.
const HeartbeatInterval = 200 * time.Millisecond

// Limits of the failure detection. A shorter timeout removes a dead member from the chain sooner,
// but a process that pauses briefly then counts as dead, which costs a view change.
const (
	// suspectTimeout is how long a peer may send no heartbeat before it counts as dead. It
	// tolerates a few lost or late heartbeats.
	suspectTimeout = 900 * time.Millisecond
	// replaceTimeout is how long a member must be silent before a standby may replace it. It is
	// longer than suspectTimeout because a member that restarts is back in the chain sooner than a
	// standby catches up.
	replaceTimeout = 1500 * time.Millisecond
	// replaceUnhealthyTimeout is how long the writes of a member must fail before a standby may
	// replace the member.
	replaceUnhealthyTimeout = 3 * time.Second
	// stabilityDelay is how long a process must send heartbeats without a gap before it may join
	// the chain or become a member.
	stabilityDelay = 500 * time.Millisecond
	// maxPeers limits the number of processes whose heartbeats this process accepts.
	maxPeers = 256
)

// Limits for the first view.
const (
	// foundingDelay is how long no new process may have appeared before the first view is proposed,
	// so that the view includes all processes that start at the same time.
	foundingDelay = 400 * time.Millisecond
	// foundingTimeout is how long after its start a process proposes the first view with the
	// processes that are up.
	foundingTimeout = 3 * time.Second
	// minMembers is the minimum number of members that a view should have if that many processes
	// are eligible.
	minMembers = 3
)

// Limits for proposals. TestFailoverIsBounded derives the longest duration of a failover from the
// timeouts here and above.
const (
	// evaluationInterval is the minimum time between two checks whether another view is needed.
	evaluationInterval = 20 * time.Millisecond
	// proposalStagger is how much later a member proposes for each live member that precedes it in
	// the view, so that usually only one member proposes.
	proposalStagger = 250 * time.Millisecond
	// promiseTimeout is how long a proposer waits for further promises after a majority has
	// promised. livePromiseTimeout is how long it waits if a member that seems alive hasn't
	// promised. A member whose promise arrives too late is left out of the next chain.
	promiseTimeout     = 80 * time.Millisecond
	livePromiseTimeout = 140 * time.Millisecond
	// proposalTimeout is how long each phase of a proposal may take. It doubles after each proposal
	// that times out, up to maxProposalTimeout.
	proposalTimeout    = 600 * time.Millisecond
	maxProposalTimeout = 2400 * time.Millisecond
	// maxBackoff limits the random part of the wait after a failed proposal. A quarter of
	// maxBackoff is added to that part.
	maxBackoff = 400 * time.Millisecond
	// sealedTimeout is how long a sealed member waits after its last promise before it proposes a
	// view itself, because the proposer may have died.
	sealedTimeout = 700 * time.Millisecond
	// minViewInterval is the minimum time from a view to the next proposal. By then the positions
	// that peers report belong to the new epoch.
	minViewInterval = 100 * time.Millisecond
	// joinRetryDelay is how long a healthy member that the last view left out of the chain waits
	// until another view may add it. It doubles with each further view that leaves the chain
	// unchanged, up to maxJoinRetryDelay.
	joinRetryDelay    = 500 * time.Millisecond
	maxJoinRetryDelay = 16 * time.Second
)
