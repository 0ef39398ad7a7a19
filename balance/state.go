package balance

// What a Balancer remembers. Nothing here decides.

import (
	"math/rand/v2"
	"time"

	"reachspread/internal/assignment"
	"reachspread/internal/decayed"
	"reachspread/internal/outlier"
)

// Balancer holds what one router knows. It is not safe for concurrent use.
type Balancer struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration // of the current Step
	actions []Action      // that the current Step returns

	// Classes, by name, and the extremes over them.
	classes            map[string]*class
	maxValue, minValue float64
	shortestTarget     float64 // seconds

	// Requests. The bound is what the caller admits: each gets a final answer by its deadline.
	requests map[string]*request
	queue    []*request // not in flight, to be sent

	// Replicas, by name, by the tag of peer reports, and sorted by name: no result may depend on
	// the order of a map.
	replicas       map[string]*replica
	byTag          map[uint32]*replica
	sorted         []*replica
	membersVersion int64                     // of the last update from discovery
	prefillByKind  map[string]*prefillModel  // shared by the replicas of one kind of machine
	restored       map[string]LearnedReplica // of an earlier process, for replicas that are not listed yet

	// The assignment of replicas to this router.
	routers      *assignment.Group // all routers, by their reports and the liveness view
	liveRouters  float64           // of them, as budgets count
	assigned     []*replica        // to this router
	backlogRatio float64           // how far these are behind, from 0 to 1; see updateBacklogRatio
	exploreAt    time.Duration     // when an idle one may be tried against its estimate

	// Scratch space of chooseReplica, which schedule reads.
	candidates, zoneCandidates []*replica

	// LatencyRatio start.
	completedWork  float64 // decayed sum of the work that one warm replica completed, in seconds
	offeredWork    float64 // decayed sum of the work of all attempts that were asked for, in seconds
	workDecayedAt  time.Duration
	meanWork       float64     // of a request, in seconds
	bootstrapWork  decayed.Sum // of replicas in slow start, as though warm, while no warm one was seen
	warmReplicas   float64     // that serve at full capacity
	warmCountValid bool        // warmReplicas is up to date

	prefixCounts    decayed.Counts // of prompts, by prefix
	prefillReported bool           // load reports say how many tokens wait for prefill

	// Times at which something is due, 0 for none.
	subscribeAt time.Duration // discovery is asked again
	timerAt     time.Duration // the timer that is set, and its token
	timerToken  int64
}

// class is a class of requests with what was learned of it.
type class struct {
	Class
	decodeTime    float64 // mean seconds from the first token to the end of an answer
	decodeSamples float64 // answers that were observed
}

// request is a request that is queued or has attempts in flight.
type request struct {
	Arrival
	class         *class
	arrivedAt     time.Duration
	latencyTarget time.Duration // from arrivedAt on
	deadline      time.Duration // when its client gives up
	prefixHash    uint64        // selects the affinity hosts of its prefix
	sessionHash   uint64        // selects the replicas of its session, or of itself if it has none
	prefixKey     string        // of its prefix in prefix caches and counts, empty for none
	draw          float64       // random, from 0 to 1: compared with the chance of slow start
	affinityHost  *replica      // of its prefix, where Config.SingleAffinityHost is set
	samples       []*replica    // that were sampled last
	probesUntil   time.Duration // when it waits no longer for load probes, 0 for no probe yet
	rescheduleAt  time.Duration // when it is scheduled again at the earliest
	attempts      []*attempt    // at most one for each replica
	inFlight      int           // attempts without an outcome
	closed        bool          // nothing is owed to its client any more
}

// attempt is one sending of a request to a replica.
type attempt struct {
	request            *request
	replica            *replica
	sentAt             time.Duration
	firstTokenAt       time.Duration // 0 for not yet
	prefillTokens      float64       // that the replica was expected to prefill for it
	tokensAhead        float64       // to prefill until its first token, its own included
	expectedFirstToken float64       // seconds
	ended              bool          // its outcome is known
	delivered          bool          // it reached the replica, which may have rejected it
	mayHaveExecuted    bool          // a retry may be a duplicate; see retry.go
}

// replica is a listed replica, or one that is gone and has requests in flight.
type replica struct {
	Member
	hash        uint64         // of its name
	prefill     *prefillModel  // of its kind
	prefixCache decayed.Memory // tokens that it is taken to have cached, by prefix and by session
	cacheLostAt time.Duration  // entries that were last used until then are lost

	// Load.
	inFlight     int           // attempts of this router
	prefilling   []*attempt    // of these, those without a first token, the oldest first
	peerStreams  float64       // requests of other routers, as last reported
	peerTokens   float64       // tokens of other routers' prompts, reported and not prefilled yet
	peerTokensAt time.Duration // when these were last decayed
	probing      bool          // a load probe is out
	reportedAt   time.Duration // its last load report

	// Trust.
	limit          float64 // of concurrent requests of this router
	limitReducedAt time.Duration
	latencyRatio   decayed.Estimate // observed over expected time to the first token
	outlier        outlier.State    // failures that this and other routers saw
	failures       int              // in a row
	crashed        bool             // connections were refused more than once in a row
	ejectedUntil   time.Duration    // 0 for not ejected
	ejectionTime   time.Duration    // of the last ejection

	// Assignment.
	assignees     []int // routers that it is assigned to
	liveAssignees []int // of these, those that are not gone by the liveness view
	assigned      bool  // to this router

	// LatencyRatio start.
	warmingUp bool
	startedAt time.Duration // as this router knows or presumes it
	credit    float64       // seconds of work that may be sent to it, at most 0
	creditAt  time.Duration // when credit was last updated
}
