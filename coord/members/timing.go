package members

import "time"

// The protocol's timings. docs/design/members.md derives them from the detection time, the rate of
// false deaths and the bandwidth that are promised; TestGoals computes the same figures.
const (
	// protocolPeriod is the time between two probes of a healthy member. Longer periods save
	// bandwidth and delay detection by as much.
	protocolPeriod = time.Second
	// pingInterval is the time between two pings of one target, in a probe and by a witness.
	pingInterval = 200 * time.Millisecond
	// pingsPerProbe is how many direct pings a probe sends.
	pingsPerProbe = 3
	// indirectPingDelay is how long after the first ping other members are asked to ping.
	indirectPingDelay = 400 * time.Millisecond
	// indirectProbers is how many members are asked (SWIM's k).
	indirectProbers = 3
	// baseProbeTimeout is when a probe without an answer fails; slow round trips extend it.
	baseProbeTimeout = 900 * time.Millisecond
	// boostedProbeInterval replaces protocolPeriod while probes fail often or targets are urgent.
	boostedProbeInterval = 100 * time.Millisecond
	// boostDuration is how long probes stay boosted after the last failure.
	boostDuration = 5 * time.Second
	// boostMissThreshold is how many of the last missWindow probes must fail for a boost. With 20%
	// loss and stalls one probe in 40 fails, and three of eight do in 1 of 1,000.
	boostMissThreshold = 3
	// missWindow is over how many probes failures are counted.
	missWindow = 8
	// isolationTimeout is after how long without any datagram all members are suspected.
	isolationTimeout = 3 * time.Second
	// stallThreshold is from which delay of a call to Step on the owner counts as stalled.
	stallThreshold = 200 * time.Millisecond
	// maxHealthScore bounds the local health score; each step adds half a period between probes.
	maxHealthScore = 8
)

// Suspicions.
const (
	// baseSuspicionTimeout is how long a witness hears nothing before it confirms a suspicion; slow
	// round trips extend it. A shorter one detects faster and kills members that stall.
	baseSuspicionTimeout = 1500 * time.Millisecond
	// witnessCount is how many members ping a suspect, beside the one that accused it.
	witnessCount = 5
	// deathConfirmations is how many witnesses must have heard nothing for a death.
	deathConfirmations = 2
	// loneWitnessTimeout replaces the confirmations where no second witness exists.
	loneWitnessTimeout = 2 * baseSuspicionTimeout
	// undecidedTimeout is after how long a member becomes a witness of a suspicion that nobody
	// decided, whatever its rank.
	undecidedTimeout = 8 * time.Second
	// witnessRankInterval is how often a member that is no witness ranks itself again.
	witnessRankInterval = 500 * time.Millisecond
	// minGracePeriod is how long a member that returned from death is not suspected; doubled with
	// each return up to maxGracePeriod, which bounds how often it can flap.
	minGracePeriod = 5 * time.Second
	maxGracePeriod = time.Minute
	// minAccusationBackoff is how long an accuser that was wrong does not accuse the same member;
	// doubled each time up to maxGracePeriod.
	minAccusationBackoff = 2 * time.Second
	// zoneScanInterval is the shortest time between two scans of a zone in which members are
	// suspected.
	zoneScanInterval = 5 * time.Second
	// zoneScanProbers is how many members on average probe each member of a scanned zone. A third
	// of them may be lost with the zone; 8 would leave out one member in 3,000.
	zoneScanProbers = 12
	// maxPublishDelay is how long a death waits for the fate of other suspects of its zone.
	maxPublishDelay = 2500 * time.Millisecond
	// deadMemberTTL is how long a dead member is remembered.
	deadMemberTTL = 10 * time.Minute
)

// Dissemination and joining.
const (
	// gossipBatchDelay is how long an update waits for others to share its datagram.
	gossipBatchDelay = 20 * time.Millisecond
	// regossipDelay is when an update goes out a second time.
	regossipDelay = 200 * time.Millisecond
	// gossipFanout and regossipFanout are to how many members it goes first and then.
	gossipFanout   = 4
	regossipFanout = 3
	// digestSpreadDelay is how long after a change another digest is no difference yet: the change
	// spreads by gossip.
	digestSpreadDelay = 400 * time.Millisecond
	// syncInterval is the shortest time between two sync requests that this member begins.
	syncInterval = 250 * time.Millisecond
	// syncCatchUpDelay replaces syncInterval while many members are unknown.
	syncCatchUpDelay = gossipBatchDelay
	// recordRequestTTL is after how long a record that did not come may be requested again.
	recordRequestTTL = 300 * time.Millisecond
	// refutationInterval is the shortest time between two raises of the local incarnation.
	refutationInterval = 300 * time.Millisecond
	// joinInterval is the time between two rounds of join messages to seeds.
	joinInterval = 500 * time.Millisecond
	// joinTimeout is when a joining member takes itself to be the first of its fleet.
	joinTimeout = 1500 * time.Millisecond
	// reconnectInterval is the time between two contacts with a dead member, or with a seed at
	// which no live member is known.
	reconnectInterval = time.Second
)

// Bounds of memory and work.
const (
	maxSuspicions         = 1024 // followed at once
	maxDatagramsPerTarget = 4    // in one batch of updates, and in one answer
	maxReportedConflicts  = 64   // names with addresses that were rejected
	maxPendingUpdates     = 4096
	maxRecordRequests     = 512
	maxRelays             = 256 // indirect probes on behalf of others
	maxProbes             = 8   // at once, while probes are boosted
	maxJoiningPeers       = 8
	sweepBatch            = 32 // entries a period that are checked against deadMemberTTL
)
