package view

import (
	"time"
)

// HeartbeatInterval is the time between two heartbeats to the same process.
const HeartbeatInterval = 200 * time.Millisecond

// Failure detection. A shorter time-out gets a dead member out of the chain sooner, but takes a
// process that pauses for a moment for dead, which costs a change of the view.
const (
	// suspectTimeout is how long nothing may be heard of a peer before it counts as dead. A few
	// heartbeats may be lost or late before that.
	suspectTimeout = 900 * time.Millisecond
	// replaceTimeout is how long a member has to be silent before a standby may take its place. It
	// is longer than suspectTimeout, as a member that restarts is back in the chain sooner than a
	// standby has caught up.
	replaceTimeout = 1500 * time.Millisecond
	// replaceUnhealthyTimeout is how long the writes of a member have to fail before a standby may
	// take its place.
	replaceUnhealthyTimeout = 3 * time.Second
	// stabilityDelay is how long a process has to be heard of without a gap before it may be taken
	// into the chain, or become a member.
	stabilityDelay = 500 * time.Millisecond
	// maxPeers bounds the processes that heartbeats are taken from.
	maxPeers = 256
)

// The first view.
const (
	// foundingDelay is how long no new process may have appeared before the first view is proposed,
	// so that it has all that start at the same time.
	foundingDelay = 400 * time.Millisecond
	// foundingTimeout is after how long the first view is proposed with the processes that are up.
	foundingTimeout = 3 * time.Second
	// minMembers is how many members a view has where that many processes are eligible.
	minMembers = 3
)

// Proposals. TestFailoverIsBounded derives a bound on a failover from the time-outs here and above.
const (
	// evaluationInterval is the least time between two looks at whether another view is needed.
	evaluationInterval = 20 * time.Millisecond
	// proposalStagger is how much later a member proposes for each live member before it, so that
	// usually there is one proposer.
	proposalStagger = 250 * time.Millisecond
	// promiseTimeout is how long promises beyond a majority are waited for, and livePromiseTimeout
	// how long those of members that seem to live: a member that isn't waited for is left out of
	// the next chain.
	promiseTimeout     = 80 * time.Millisecond
	livePromiseTimeout = 140 * time.Millisecond
	// proposalTimeout is how long each phase of a proposal may take. It doubles after each failure,
	// up to maxProposalTimeout.
	proposalTimeout    = 600 * time.Millisecond
	maxProposalTimeout = 2400 * time.Millisecond
	// maxBackoff bounds the random wait after a proposal that failed.
	maxBackoff = 400 * time.Millisecond
	// sealedTimeout is after how long a sealed member proposes a view itself, as the proposer that
	// it promised to may have died.
	sealedTimeout = 700 * time.Millisecond
	// minViewInterval is the least time from a view to the next proposal: the positions that peers
	// report are of the new epoch by then.
	minViewInterval = 100 * time.Millisecond
	// joinRetryDelay is how long a healthy member that missed the last view waits until another
	// view may take it into the chain. It doubles with each view that didn't, up to
	// maxJoinRetryDelay.
	joinRetryDelay    = 500 * time.Millisecond
	maxJoinRetryDelay = 16 * time.Second
)
