// Package balance decides, for one router, which replica of a language-model fleet gets which
// request, and when.
//
// A Balancer is a pure state machine without I/O, clock or goroutines. Its caller passes events to
// Step and carries out the returned actions in order. The caller must not call Step concurrently,
// must pass times that never go back, and must report every event that concerns this router. The
// same configuration, seed and events always produce the same actions.
//
// Requests wait in a queue. When a replica has capacity below the concurrency limit that this
// router has learned for it, the router takes the request with the highest response ratio, 1 + wait
// / estimated run time, and sends it to the cheaper of two sampled replicas, compared by estimated
// cost. The router never recalls a request that it has sent, and no request waits while a replica
// has capacity.
//
// The following functions make exceptions to this algorithm:
//
//   - affinitySamples: the two samples are among the first few replicas in the rendezvous order of
//     the prefix;
//   - chooseReplica: replicas of the router's own zone are sampled as well where crossing zones costs
//     more than a second prefill of the prefix, or where no report says what other routers have sent;
//   - unassignedSamples: replicas that are not assigned to this router are used only if no assigned
//     replica has capacity;
//   - probeSamples: a request waits some ms for load probes of samples whose last reports are old;
//   - schedule: if the chosen replica would miss a latency target, all candidates and two replicas
//     that are not assigned are compared;
//   - missesTarget, expiresAt: a request that would miss its target is rejected, or stays queued if
//     requests of other classes yield to it;
//   - yieldsToHigherValue: a request stays queued if it would use much of the latency target of a
//     class of higher value;
//   - slowStartAdmits: a replica that has just started gets only a budget of work, and no request
//     that needs much work;
//   - hasCapacity, recordFailure: a failing replica is ejected, then gets one trial request at a time;
//   - chooseReplica: all routers avoid a replica for a short time after several routers saw it fail,
//     but they avoid no more than a third of all replicas at once.
//
// deploy/balancer.toml lists the files that make these decisions as policy.
package balance

import "time"

// State is the state of a replica as discovery reports it.
type State int

// The states.
const (
	Serving  State = iota // accepts new requests
	Draining              // completes the requests that it has and accepts no new ones
	Removed               // no longer listed
)

// Member describes a replica as discovery lists it.
type Member struct {
	Replica   string // name of the replica
	Zone      string
	Cell      int    // a failure domain within a zone
	Kind      string // hardware kind; machines of one kind are assumed to be equally fast
	State     State
	StartedAt time.Duration // when it last started, 0 for long ago
	Features  []string      // features that only some replicas have, such as a version of a model
}

// Load is a load report of a replica. Fields that the replica does not report are negative.
type Load struct {
	InFlight      float64 // requests that the replica has
	Utilization   float64 // fraction of the replica's slots in use
	PrefillTokens float64 // prompt tokens that wait for prefill on the replica
}

// Event is an input to Step: one of the types below that have an isEvent method.
type Event interface{ isEvent() }

// Members is a list of replicas from discovery, or reports that a subscription to discovery failed.
type Members struct {
	Version  int64 // updates with a lower version than the last one are ignored
	Complete bool  // the list has all replicas; replicas that it lacks are removed
	Failed   bool  // discovery did not answer; the Balancer emits Subscribe again after a delay
	Members  []Member
}

// ConfigChange replaces the configuration. The new one must be valid. Its Zone, Routers, Self and
// MustSubscribe are ignored. Requests under way keep the class definitions under which they
// arrived.
type ConfigChange struct{ Config Config }

// Arrival is a new request.
type Arrival struct {
	ID              string // unique among the requests under way
	Class           string
	Session         string        // session whose requests prefer the same replicas, empty for none
	Prefix          string        // name of the beginning of the prompt, which other prompts share; empty for none
	TimeLeft        time.Duration // time until the client gives up
	WorkEstimate    time.Duration // estimated replica time that the request takes, 0 if unknown
	PromptTokens    float64       // tokens in the prompt
	PrefixTokens    float64       // tokens of the prompt that belong to the prefix
	Resumed         bool          // the request continues one that executed in part; the caller has taken this retry from the budget
	RequiredFeature string        // feature that the replica must have, empty for none
}

// FirstToken reports that the answer of an attempt has begun. The request is not retried after
// that.
type FirstToken struct {
	ID      string
	Attempt int // number of the attempt, from 0 in the order of Send actions
}

// Result is the way in which an attempt or a load probe ended.
type Result int

// The results. Full, NoConnection and NotSent prove that the attempt did not execute, so a request
// of any class may be retried after them.
const (
	OK           Result = iota // the answer is complete
	Error                      // the replica answered with an error other than Full
	Full                       // the replica rejected the request before executing it
	TimedOut                   // no answer arrived in time
	NoConnection               // the caller could not connect to the replica
	Reset                      // the connection broke after the attempt was sent
	Cancelled                  // the client or this router cancelled the attempt
	NotSent                    // the caller decided not to send the attempt
)

// Outcome reports that an attempt has ended.
type Outcome struct {
	ID           string
	Attempt      int
	Result       Result
	Final        bool    // the client has its final answer, from this attempt or from an earlier event
	CachedTokens float64 // prompt tokens that the replica had cached; set if Result is OK
	Load         *Load   // nil for no report
}

// Aborted reports that no client waits for a request any more.
type Aborted struct{ ID string }

// TimerExpired reports that the delay of a SetTimer action has passed. The Balancer ignores all
// tokens but that of the last SetTimer.
type TimerExpired struct{ Token int64 }

// ProbeResult reports how a Probe ended.
type ProbeResult struct {
	Replica string
	Result  Result
	Load    *Load // nil for no report
}

// PeerReport is one router's report on a replica to other routers. Exactly one of PrefillTokens,
// LatencyRatio and Failed is set.
type PeerReport struct {
	ReplicaTag    uint32  // tag of the replica, 24 bits
	PrefillTokens float64 // tokens to prefill of a prompt that the sender has just sent to the replica
	PrefixTag     uint16  // tag of that prompt's prefix, which the replica has cached from then on; 0 for none
	LatencyRatio  float64 // observed time to a first token divided by the expected time
	Failed        bool    // the sender saw an attempt on the replica fail
}

// ReportsReceived is a message with reports from another router.
type ReportsReceived struct {
	From    int   // number of the sender; with Config.Broadcast, any number that no other sender uses
	Zone    uint8 // tag of the sender's zone
	Reports []PeerReport
}

// LivenessView lists the routers that are alive, including this one. A view may be late or wrong,
// and may differ from the views of other routers. Until the first view arrives, all of
// Config.Routers are assumed to be alive.
type LivenessView struct {
	Version uint64 // from 1 on; views whose version is not above the last one are ignored
	Live    []Peer
}

// Peer is a live router of a LivenessView.
type Peer struct {
	Number int // number of the router, as in Config.Self; peers with a number outside Config.Routers are ignored
	Zone   string
}

func (Members) isEvent()         {}
func (ConfigChange) isEvent()    {}
func (Arrival) isEvent()         {}
func (FirstToken) isEvent()      {}
func (Outcome) isEvent()         {}
func (Aborted) isEvent()         {}
func (TimerExpired) isEvent()    {}
func (ProbeResult) isEvent()     {}
func (ReportsReceived) isEvent() {}
func (LivenessView) isEvent()    {}

// Action is an output of Step that the caller carries out: one of the types below that have an
// isAction method.
type Action interface{ isAction() }

// Send starts an attempt, which may last until the client gives up. The attempts of a request are
// numbered from 0 in the order of their Send actions. The caller must report one Outcome for each.
type Send struct {
	ID      string
	Replica string
}

// Reject is a final answer that rejects a request and tells the client that sending the request
// again does no harm.
type Reject struct {
	ID         string
	RetryAfter time.Duration // shortest time until the client should retry, 0 for no advice
}

// Fail is a final answer that leaves open whether the request has executed.
type Fail struct{ ID string }

// Probe asks a replica for its load. The caller must report one ProbeResult for each.
type Probe struct{ Replica string }

// SendReports sends a message with reports to other routers. The message may arrive late, out of
// order, more than once or never.
type SendReports struct {
	To      []int // numbers of the receivers; empty with Config.Broadcast, which sends to all routers
	Zone    uint8 // tag of the sender's zone
	Reports []PeerReport
}

// SetTimer asks for a TimerExpired with Token after Delay. It replaces the previous timer.
type SetTimer struct {
	Token int64
	Delay time.Duration
}

// Subscribe asks discovery to send updates.
type Subscribe struct{}

// Log is a log line for on-call staff in the form "event: replica".
type Log struct{ Text string }

func (Send) isAction()        {}
func (Reject) isAction()      {}
func (Fail) isAction()        {}
func (Probe) isAction()       {}
func (SendReports) isAction() {}
func (SetTimer) isAction()    {}
func (Subscribe) isAction()   {}
func (Log) isAction()         {}
