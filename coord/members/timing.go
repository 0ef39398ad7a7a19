package members

import "time"

// The timings of the protocol. docs/design/members.md derives them from the guaranteed detection
// time, rate of false deaths and bandwidth. TestTimingsMeetGoals computes the same figures.
const (
	// protocolPeriod is the time between the starts of two probes by a member whose health score is
	// 0. A longer period saves bandwidth but delays the detection of a failure by the same amount.
	protocolPeriod = time.Second
	// pingInterval is the time between two pings of the same target, both in a probe and by a
	// witness.
	pingInterval = 200 * time.Millisecond
	// pingsPerProbe is how many direct pings a probe sends.
	pingsPerProbe = 3
	// indirectPingDelay is the time from the first ping of a probe until the prober asks other
	// members to ping the target.
	indirectPingDelay = 400 * time.Millisecond
	// indirectProbers is how many members a prober asks to ping its target (k in the SWIM paper).
	indirectProbers = 3
	// baseProbeTimeout is the time after which a probe without an answer fails. Slow round trips
	// extend this time.
	baseProbeTimeout = 900 * time.Millisecond
	// boostedProbeInterval replaces protocolPeriod while probes fail often or urgent targets are
	// queued.
	boostedProbeInterval = 100 * time.Millisecond
	// boostDuration is how long boostedProbeInterval applies after the last failed probe that
	// reached boostMissThreshold.
	boostDuration = 5 * time.Second
	// boostMissThreshold is how many of the last missWindow probes must fail to start a boost. With
	// 20% packet loss and stalls, one probe in 40 fails, and at least three of eight probes fail in
	// 1 of 1,000 cases.
	boostMissThreshold = 3
	// missWindow is the number of recent probes among which failures are counted.
	missWindow = 8
	// isolationTimeout is the time without any received datagram after which the local member
	// suspects all other members.
	isolationTimeout = 3 * time.Second
	// stallThreshold is the smallest delay of a call of Step that counts as a stall of the owner.
	stallThreshold = 200 * time.Millisecond
	// maxHealthScore is the highest local health score. Each point adds half a protocolPeriod to
	// the time between two probes.
	maxHealthScore = 8
)

// Timings and counts for suspicions, deaths and zone scans.
const (
	// baseSuspicionTimeout is how long a witness waits for an answer from the suspect before the
	// witness confirms the suspicion. Slow round trips extend this time. A shorter timeout would
	// detect failures faster, but members that only stall would be declared dead.
	baseSuspicionTimeout = 1500 * time.Millisecond
	// witnessCount is how many members ping a suspect as witnesses, in addition to the accuser.
	witnessCount = 5
	// deathConfirmations is how many witnesses must confirm a suspicion to declare the suspect
	// dead.
	deathConfirmations = 2
	// loneWitnessTimeout is the time without an answer after which the only possible witness of a
	// suspect declares the suspect dead by itself.
	loneWitnessTimeout = 2 * baseSuspicionTimeout
	// undecidedTimeout is the time after which every member becomes a witness of an unresolved
	// suspicion, whatever the rank of the member.
	undecidedTimeout = 8 * time.Second
	// witnessRankInterval is the time after which a member that is not a witness of a suspicion
	// computes its rank again.
	witnessRankInterval = 500 * time.Millisecond
	// minGracePeriod is how long a member that returned from death is not suspected. The period
	// doubles with each return up to maxGracePeriod, which limits how often the member can flap.
	minGracePeriod = 5 * time.Second
	maxGracePeriod = time.Minute
	// minAccusationBackoff is how long a member that accused another member wrongly does not accuse
	// it again. The backoff doubles with each wrong accusation up to maxGracePeriod.
	minAccusationBackoff = 2 * time.Second
	// zoneScanInterval is the shortest time between two scans of the same zone.
	zoneScanInterval = 5 * time.Second
	// zoneScanProbers is how many members on average probe each member of a scanned zone. Up to a
	// third of these probers may be lost together with the zone. With 8 probers, one member in
	// 3,000 would not be probed.
	zoneScanProbers = 12
	// maxPublishDelay is how long the publication of a death waits at most until the suspicions of
	// other members of its zone are resolved.
	maxPublishDelay = 2500 * time.Millisecond
	// deadMemberTTL is how long the list keeps a member that died or left.
	deadMemberTTL = 10 * time.Minute
)

// Timings and fan-outs for dissemination and joining.
const (
	// gossipBatchDelay is how long an update waits for other updates that can share its datagram.
	gossipBatchDelay = 20 * time.Millisecond
	// regossipDelay is the time between the first and the second sending of an update.
	regossipDelay = 200 * time.Millisecond
	// gossipFanout is how many members receive the first sending of an update, and regossipFanout
	// is how many receive the second.
	gossipFanout   = 4
	regossipFanout = 3
	// digestSpreadDelay is the time after a change of the local list during which a different
	// digest of another member does not start anti-entropy, because the change is still spreading
	// by gossip.
	digestSpreadDelay = 400 * time.Millisecond
	// syncInterval is the shortest time between two exchanges of anti-entropy that the local member
	// starts.
	syncInterval = 250 * time.Millisecond
	// syncCatchUpDelay replaces syncInterval after an exchange that revealed unknown members.
	syncCatchUpDelay = gossipBatchDelay
	// recordRequestTTL is the time after which an unanswered record request expires and a new
	// request for the same record is allowed.
	recordRequestTTL = 300 * time.Millisecond
	// refutationInterval is the shortest time between two increases of the local incarnation.
	refutationInterval = 300 * time.Millisecond
	// joinInterval is the time between two rounds of join messages to seeds.
	joinInterval = 500 * time.Millisecond
	// joinTimeout is the time after which a joining member that got no answer from an alive member
	// concludes that it is the first member of its fleet.
	joinTimeout = 1500 * time.Millisecond
	// reconnectInterval is the time between two attempts to contact a dead member, or a seed whose
	// address belongs to no known live member.
	reconnectInterval = time.Second
)

// Limits of memory use and work.
const (
	maxSuspicions         = 1024 // suspicions at the same time
	maxDatagramsPerTarget = 4    // datagrams to one member in one batch of updates, or in one answer
	maxReportedConflicts  = 64   // rejected pairs of name and address that are remembered
	maxPendingUpdates     = 4096
	maxRecordRequests     = 512
	maxRelays             = 256 // indirect probes on behalf of other members at the same time
	maxProbes             = 8   // probes in progress at the same time, while probes are boosted
	maxJoiningPeers       = 8
	sweepBatch            = 32 // entries that are checked against deadMemberTTL before each probe
)
