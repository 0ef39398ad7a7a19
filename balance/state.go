package balance

// What a Balancer remembers. Nothing here decides.

import (
	"math/rand/v2"
	"time"

	"reachspread/internal/assignment"
	"reachspread/internal/decayed"
	"reachspread/internal/outlier"
)

// Balancer holds what one gateway knows. It is not safe for concurrent use.
type Balancer struct {
	cfg            Config
	rng            *rand.Rand
	now            time.Duration
	out            []Action
	classes        map[string]*class
	kinds          map[string]*fit // seconds to the first token by tokens ahead, alike for machines of one kind
	replicas       map[string]*replica
	pool, near     []*replica // of choose, kept for their room
	order          []*replica // by name: no result may depend on map order
	tags           map[uint32]*replica
	share          []*replica    // of these, the own ones
	behind, brief  float64       // how far they are; the shortest aim, in seconds
	tryAt          time.Duration // when one may be tried against its estimate
	requests       map[string]*request
	held           []*request
	version, token int64            // of the list, and of the last timer
	known          map[string]Known // of another life, of replicas that are not listed yet
	askAt, wakeAt  time.Duration    // when to ask discovery again, and the timer that is out; 0 for none
	done           float64          // decayed sum of the work that a warm replica did, in seconds
	asked          float64          // likewise of the work asked for, each attempt anew
	warm           float64          // replicas that serve and are
	counted        bool             // these, and nothing of it has changed since
	workAt         time.Duration
	meanWork       float64           // of a request
	begun          decayed.Sum       // what cold ones did, as though warm, while no warm one was seen
	prompts        decayed.Counts    // of late, by prefix
	sighted        bool              // reports tell unread tokens
	most, least    float64           // worth of any class
	fleet          *assignment.Group // the gateways, by what they say and by the view
	living         float64           // of them, in budgets
}

type class struct {
	Class
	decode float64 // mean seconds from first token to end
	seen   float64 // answers in it
}

type request struct {
	Arrival
	class    *class
	since    time.Duration // arrival here
	aim      time.Duration // how long it may take
	deadline time.Duration
	keys     [2]uint64  // hashes of the names by which it is sent to the same few replicas: prefix, session
	prefix   string     // by which its prefix is known to be kept, empty for none
	dice     float64    // drawn at arrival, between 0 and 1: the chance of a cold replica must be higher
	asked    []*replica // samples, whose probes it waits for
	askedTo  time.Duration
	again    time.Duration // not weighed before
	attempts []*attempt
	home     *replica
	out      int  // attempts without outcome
	closed   bool // nothing is owed any more
}

type attempt struct {
	req      *request
	rep      *replica
	sent     time.Duration
	began    time.Duration // first token seen, 0 for not yet
	unread   float64       // tokens that it was expected to read
	ahead    float64       // unread tokens in front of its first token, its own included
	expected float64       // seconds to the first token
	over     bool
	ran      bool // may have run
	arrived  bool // at the replica, which may have turned it away
}

type replica struct {
	Member
	read    *fit           // of its kind
	kept    decayed.Memory // tokens, by prefix and by session
	name    uint64         // hash of its name
	lost    time.Duration  // what was last used until then is no longer kept
	streams int            // own
	waiting []*attempt     // own, without first token
	others  float64        // streams of other gateways, by its last report
	probing bool
	heard   time.Duration // last report

	cap   float64
	cutAt time.Duration // attempts sent earlier cut no more

	slow    decayed.Opinion // observed over expected time to the first token, fading to 1
	toldAt  time.Duration   // when others' prompts were last reckoned off
	sharers []int           // gateways that have it in their shares
	hearers []int           // of these, those that are not gone by the view
	mine    bool            // in the own one
	told    float64         // tokens of others' prompts that they told of, not yet read
	doubts  outlier.Server  // of this and other gateways
	fails   int             // in a row
	died    bool
	ejected time.Duration // until then, 0 for not
	penalty time.Duration

	cold     bool
	born     time.Duration // start as this gateway knows or presumes it
	credit   float64       // seconds of work that may be sent it while cold
	creditAt time.Duration
}
