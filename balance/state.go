package balance

// The state of a Balancer. This file makes no decisions.

import (
	"math/rand/v2"
	"time"

	"reachspread/internal/assignment"
	"reachspread/internal/decayed"
	"reachspread/internal/outlier"
)

// Balancer holds the state from which one router makes its decisions. It is not safe for concurrent
// use.
type Balancer struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration // time of the current Step
	actions []Action      // result of the current Step

	// Classes by name, and the extremes of their values and latency targets.
	classes            map[string]*class
	maxValue, minValue float64
	shortestTarget     float64 // seconds

	// Requests. Their number is bounded by what the caller admits: each gets a final answer by its
	// deadline.
	requests map[string]*request
	queue    []*request // requests that wait to be sent

	// Replicas by name, by the tag in peer reports, and sorted by name. Results come from the
	// sorted list, because they must not depend on the iteration order of a map.
	replicas       map[string]*replica
	byTag          map[uint32]*replica
	sorted         []*replica
	membersVersion int64                     // version of the last update from discovery
	prefillByKind  map[string]*prefillModel  // by kind of machine, shared by its replicas
	restored       map[string]LearnedReplica // state restored from an earlier process, for replicas that are not listed yet

	// The assignment of replicas to this router.
	routers      *assignment.Group // all routers, known from their reports and the liveness view
	liveRouters  float64           // number of live routers that budgets are computed with
	assigned     []*replica        // replicas that are assigned to this router
	backlogRatio float64           // backlog of the assigned replicas, from 0 to 1; see updateBacklogRatio
	exploreAt    time.Duration     // earliest time to send to an idle replica although its estimate is too high

	// Scratch slices that chooseReplica fills. schedule reads candidates.
	candidates, zoneCandidates []*replica

	// Slow start.
	completedWork  float64 // work that one warm replica completed, a decayed sum in seconds
	offeredWork    float64 // work of all requested attempts, a decayed sum in seconds
	workDecayedAt  time.Duration
	meanWork       float64     // mean work of a request, in seconds
	bootstrapWork  decayed.Sum // work of replicas in slow start, scaled to warm ones; counted until a warm one completes work
	warmReplicas   float64     // number of replicas that serve at full capacity
	warmCountValid bool        // warmReplicas is up to date

	prefixCounts    decayed.Counts // number of prompts by prefix
	prefillReported bool           // load reports say how many tokens wait for prefill

	// Times at which something is due, 0 for none.
	subscribeAt time.Duration // when to subscribe to discovery again
	timerAt     time.Duration // when the timer that is set expires; timerToken is its token
	timerToken  int64
}

// class is a class of requests with the decode times that were learned for it.
type class struct {
	Class
	decodeTime    float64 // mean seconds from the first token to the end of an answer
	decodeSamples float64 // number of answers that were observed
}

// request is a request that is queued or has attempts in flight.
type request struct {
	Arrival
	class         *class
	arrivedAt     time.Duration
	latencyTarget time.Duration // measured from arrivedAt
	deadline      time.Duration // when the client gives up
	prefixHash    uint64        // selects the affinity hosts of the prefix
	sessionHash   uint64        // selects the replicas of the session, or of the request if it has no session
	prefixKey     string        // key of the prefix in prefix caches and counts, empty for none
	draw          float64       // random, from 0 to 1; compared with the admission probability of slow start
	affinityHost  *replica      // affinity host of the prefix if Config.SingleAffinityHost is set
	samples       []*replica    // replicas that were sampled last
	probesUntil   time.Duration // when the request stops waiting for load probes, 0 before the first probe
	rescheduleAt  time.Duration // earliest time at which the request is scheduled again
	attempts      []*attempt    // at most one per replica
	inFlight      int           // number of attempts without an outcome
	closed        bool          // the client is owed no further answer
}

// attempt is one transmission of a request to a replica.
type attempt struct {
	request            *request
	replica            *replica
	sentAt             time.Duration
	firstTokenAt       time.Duration // 0 before the first token
	prefillTokens      float64       // tokens that the replica was expected to prefill for the attempt
	tokensAhead        float64       // tokens that the replica prefills before the first token, including prefillTokens
	expectedFirstToken float64       // seconds
	ended              bool          // the outcome is known
	delivered          bool          // the attempt reached the replica, which may have rejected it
	mayHaveExecuted    bool          // a retry may be a duplicate; see retry.go
}

// replica is a replica that is listed, or that was removed and still has requests in flight.
type replica struct {
	Member
	hash        uint64         // hash of its name
	prefill     *prefillModel  // prefill model of its kind
	prefixCache decayed.Memory // number of tokens assumed to be cached, by prefix and by session
	cacheLostAt time.Duration  // entries last used at or before this time are lost

	// Load.
	inFlight     int           // number of this router's attempts
	prefilling   []*attempt    // this router's attempts without a first token, the oldest first
	peerStreams  float64       // number of other routers' requests, as last reported
	peerTokens   float64       // tokens of other routers' reported prompts that are not prefilled yet
	peerTokensAt time.Duration // when peerTokens and peerStreams were last decayed
	probing      bool          // a load probe awaits its result
	reportedAt   time.Duration // time of the last load report or probe result

	// Health.
	limit          float64 // limit of this router's concurrent requests
	limitReducedAt time.Duration
	latencyRatio   decayed.Estimate // observed over expected time to the first token
	outlier        outlier.State    // ejection by failures that this and other routers saw
	failures       int              // consecutive failures
	crashed        bool             // a refused connection was the second or a later failure in a row
	ejectedUntil   time.Duration    // 0 if not ejected
	ejectionTime   time.Duration    // duration of the last ejection

	// Assignment.
	assignees     []int // numbers of the routers that the replica is assigned to
	liveAssignees []int // the assignees that the liveness view does not count as dead
	assigned      bool  // assigned to this router

	// Slow start.
	warmingUp bool
	startedAt time.Duration // when the replica started, as far as this router knows or assumes
	credit    float64       // slow-start credit in seconds of work, at most 0
	creditAt  time.Duration // when credit was last updated
}
