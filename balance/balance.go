package balance

// The interface of this module is types.go. This file holds every decision.
//
// Mechanism: a gateway holds prompts. When a replica has room under the cap that this gateway has learned
// for it, the held prompt with the highest response ratio, 1 + wait / estimated run time, leaves for the
// better of two sampled replicas with room, compared by local estimate. Nothing is recalled once sent, and
// nothing waits while a replica has room.
//
// Exceptions, each at the function named:
//   - homes: the two samples are of the first few in the rendezvous order of the prompt's prefix;
//   - choose: homes in the own zone take part where crossing costs more than reading a prefix again, and
//     where no report tells others' unread tokens; replicas beyond the own share only where that has no room;
//   - ask: a prompt is held for some ms while samples are probed whose last reports are old;
//   - weigh: where the sample would miss an aim, all of the share with room and two others are compared;
//   - hopeless, spent: a prompt that would miss its aim is refused, or held if others yield to it;
//   - yields: a prompt is held where it would take much of the time that a class of more worth has;
//   - coldRoom: a replica that has just started gets a budget, and no heavy prompt;
//   - room, fail: a failing replica is ejected, then tried with one prompt at a time.

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"reachspread/internal/decayed"
	"reachspread/internal/rendezvous"
	"reachspread/internal/shares"
)

const (
	firstCap     = 8.0   // streams a warm replica is trusted with before anything was learned
	coldCap      = 4.0   // streams likewise of a cold one, whose budget is the tighter bound
	capCut       = 0.7   // what an unclean answer leaves of a cap
	lateFloor    = 4.0   // streams: lateness alone cuts no cap below, as it may be everybody's
	capUsed      = 0.7   // of a cap must be in use for a clean answer to raise it
	slots        = 40.0  // streams that a full replica is taken to have, where only the share in use is reported
	streamShare  = 0.006 // what one stream adds to the time of the others, as a share
	spread       = 1.5   // times the homes that a prefix would need if all were alike and evenly used
	unseen       = 10.0  // prompts of other prefixes are taken as seen at the start
	mostCounted  = 1000  // prompts, before their numbers are halved
	prudent      = 0.6   // of the time left may be expected to pass before a first token: pace must hold after
	yielding     = 0.4   // of a better class's aim: a wait from which on room is left to that class
	impatience   = 0.25  // more of it once a prompt was held as long as its own aim
	crossScale   = 4.0   // a crossing counts as this many times its price in missed aims
	coldMargin   = 0.7   // of the cold budget, as the work of warm replicas is known by average only
	heavy        = 3.0   // times the mean work: heavier prompts are kept from cold replicas
	learn        = 0.1   // weight of a sample in a moving average
	awayShare    = 0.2   // of the time left to its aim a refused client stays away, as longer costs it the aim
	leastAway    = 50 * time.Millisecond
	slowRead     = 1e-4 // seconds to read a token, before any was seen
	slowFirst    = 0.05 // seconds to a first token with nothing to read, likewise
	mostKept     = 4096 // prefixes and sessions remembered for a replica, before old ones are dropped
	workSpan     = 5.0  // seconds over which sent work is averaged
	firstEject   = time.Second
	longEject    = 8 * time.Second
	forget       = 5 * time.Second        // half of what is held against a slow replica is forgotten after this
	stale        = time.Second            // a report older than this tells nothing
	askWait      = 25 * time.Millisecond  // for probes, before a prompt leaves on what is known
	askAgain     = time.Second            // between calls to a discovery that failed
	lookAgain    = 100 * time.Millisecond // at what is held: a cold or ejected replica may have room by then
	surprise     = 2.0                    // times more or less than believed, and
	offBy        = 0.2                    // seconds off: a first token worth telling
	believe      = 0.3                    // weight of an opinion that others tell
	inPart       = 0.25                   // of the shortest aim: prompts that are read sooner are not all told
	streamLife   = 3.0                    // seconds that a stream told of lasts
	mostTold     = 30.0                   // seconds of reading that are believed to be in front of a replica
	coldFleet    = 1.3                    // times the work of a warm replica, by warmth, from all gateways
	shareOf      = 7                      // replicas of a gateway's share at least, and so many more that
	leastHeld    = 3                      // gateways have each replica in theirs
	manyGateways = 8                      // from which on they tell each other
	tryAgain     = time.Second            // at the soonest, against its estimate, an idle replica
	settling     = 2 * time.Second        // a view holds so long before shares and budgets follow it
	fewHeld      = 5                      // prompts are weighed at each step
	weighAgain   = 3 * time.Millisecond   // for each one beyond, until a prompt weighed in vain is weighed again
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
	meanWork       float64        // of a request
	begun          decayed.Sum    // what cold ones did, as though warm, while no warm one was seen
	prompts        decayed.Counts // of late, by prefix
	sighted        bool           // reports tell unread tokens
	most, least    float64        // worth of any class
	fleet          *shares.Group  // the gateways, by what they say and by the view
	living         float64        // of them, in budgets
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
	unread  float64        // and their unread tokens
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
	fails   int             // in a row
	died    bool
	ejected time.Duration // until then, 0 for not
	penalty time.Duration

	cold     bool
	born     time.Duration // start as this gateway knows or presumes it
	credit   float64       // seconds of work that may be sent it while cold
	creditAt time.Duration
}

// New returns a Balancer for one gateway, or an error that names the setting at fault.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if cfg.Gateways < manyGateways {
		cfg.Gateways = 0 // few hear enough of each replica by themselves
	}
	b := &Balancer{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), kinds: map[string]*fit{},
		replicas: map[string]*replica{}, tags: map[uint32]*replica{}, requests: map[string]*request{},
		begun:   decayed.Sum{Span: workSpan * time.Second, Least: time.Second},
		prompts: decayed.Counts{Most: mostCounted}, living: float64(cfg.Gateways),
		fleet: shares.New(cfg.Gateways, cfg.Me, mark(cfg.Zone), settling)}
	if cfg.AskForList {
		b.askAt = 1 // with the first Step
	}
	return b, b.tune(cfg)
}

// tune takes up settings, but for what a gateway is to others. Requests under way keep their classes.
func (b *Balancer) tune(cfg Config) error {
	if err := cfg.check(); err != nil {
		return err
	}
	classes := map[string]*class{}
	b.most, b.least, b.brief = math.Inf(-1), math.Inf(1), math.Inf(1)
	for _, c := range cfg.Classes {
		old := cmp.Or(b.classes[c.Name], &class{decode: 1})
		classes[c.Name] = &class{Class: c, decode: old.decode, seen: old.seen}
		b.most, b.least = max(b.most, c.Worth), min(b.least, c.Worth)
		b.brief = min(b.brief, max(c.Aim, time.Millisecond).Seconds())
	}
	cfg.Zone, cfg.Gateways, cfg.Me, cfg.AskForList = b.cfg.Zone, b.cfg.Gateways, b.cfg.Me, b.cfg.AskForList
	cfg.MaxAttempts = max(cfg.MaxAttempts, 1)
	b.cfg, b.classes = cfg, classes
	return nil
}

// Step takes in what has happened, then dispatches once.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now, b.out = now, nil
	for _, ev := range events {
		b.take(ev)
	}
	b.deal()
	b.countWarm()
	if len(b.held) > 0 {
		b.dispatch()
	}
	b.upkeep()
	return b.out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// take sorts events; what it doesn't know of is ignored.
func (b *Balancer) take(ev Event) {
	switch ev := ev.(type) {
	case Members:
		b.takeMembers(ev)
	case Retune:
		b.tune(ev.Config)
	case Arrival:
		b.takeArrival(ev)
	case FirstToken:
		if a := b.find(ev.ID, ev.Attempt); a != nil && !a.over && a.began == 0 {
			b.takeFirst(a)
		}
	case Outcome:
		if a := b.find(ev.ID, ev.Attempt); a != nil && !a.over {
			b.takeOutcome(a, ev)
		}
	case Aborted:
		if q := b.requests[ev.ID]; q != nil {
			b.close(q)
		}
	case Heard:
		b.takeHeard(ev)
	case Fleet:
		b.fleet.Viewed(ev.Version, peers(ev), b.now)
	case Probed:
		if r := b.replicas[ev.Replica]; r != nil {
			b.takeProbed(r, ev)
		}
	case Wake:
		if ev.Token == b.token {
			b.wakeAt = 0
		}
	}
}

func (b *Balancer) takeMembers(ev Members) {
	if len(b.order) == 0 {
		b.tell(b.fleet.Others()) // so that they know the own zone
	}
	if ev.Failed {
		b.askAt = b.now + askAgain/2 + time.Duration(b.rng.Float64()*float64(askAgain))
		return
	}
	if ev.Version < b.version {
		return
	}
	b.version, b.counted = ev.Version, false
	b.fleet.Changed()
	if ev.Whole {
		for _, r := range b.order {
			r.State = Gone
		}
	}
	for _, m := range ev.Members {
		b.takeMember(m)
	}
	maps.DeleteFunc(b.replicas, func(_ string, r *replica) bool { return r.State == Gone && r.streams == 0 })
	b.order = slices.DeleteFunc(b.order, func(r *replica) bool { return b.replicas[r.Replica] == nil })
	clear(b.tags)
	for _, r := range slices.Backward(b.order) { // the first of two of one tag has it
		b.tags[tag(r)] = r
	}
}

func (b *Balancer) takeMember(m Member) {
	r := b.replicas[m.Replica]
	if r == nil {
		r = &replica{name: rendezvous.Hash(m.Replica), cap: firstCap, slow: decayed.Opinion{Half: forget},
			kept: decayed.Memory{Most: mostKept, Forget: time.Minute}}
		b.replicas[m.Replica] = r
		i := sort.Search(len(b.order), func(i int) bool { return b.order[i].Replica > m.Replica })
		b.order = slices.Insert(b.order, i, r)
	}
	b.kinds[m.Kind] = cmp.Or(b.kinds[m.Kind], &fit{})
	started := m.Born > r.Born && b.now-m.Born < b.cfg.ColdTime
	r.Member, r.read = m, b.kinds[m.Kind]
	if started {
		b.makeCold(r, m.Born)
		r.fails, r.died, r.ejected = 0, false, 0
	}
}

// makeCold treats r as started at born: it keeps no prefix yet and is trusted with few streams.
func (b *Balancer) makeCold(r *replica, born time.Duration) {
	r.cold, r.born, r.lost, r.credit, r.creditAt, b.counted = true, born, b.now, 0, b.now, false
	r.cap, r.told = coldCap, 0
	r.slow.Forget()
}

func (b *Balancer) takeArrival(ev Arrival) {
	c := b.classes[ev.Class]
	if b.requests[ev.ID] != nil {
		return
	}
	if c == nil {
		b.do(Refuse{ID: ev.ID, Away: b.cfg.MaxAway}) // nothing is known of its effect, but nothing has run either
		return
	}
	aim := c.aimOf(ev.Prompt)
	q := &request{Arrival: ev, class: c, since: b.now, deadline: b.now + ev.Left, dice: b.rng.Float64(),
		aim:  aim + time.Duration(c.AimStretch*float64(ev.Hint)),
		keys: [2]uint64{rendezvous.Hash(ev.Prefix), rendezvous.Hash(cmp.Or(ev.Session, ev.ID))}}
	q.prefix = prefixKey(q.prefixTag())
	b.requests[ev.ID] = q
	b.cfg.Retries.First(ev.Again)
	b.prompts.Add(q.Prefix)
	b.hold(q)
}

func (b *Balancer) find(id string, n int) *attempt {
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) {
		return nil
	}
	return q.attempts[n]
}

func (b *Balancer) hold(q *request) {
	b.fade()
	b.held, b.asked = append(b.held, q), b.asked+b.workOf(q)
}

// close ends what is owed for q, which is forgotten once its last attempt is over.
func (b *Balancer) close(q *request) {
	q.closed = true
	if q.out == 0 {
		delete(b.requests, q.ID)
	}
}

// answer gives the final answer of a request that nobody has served.
func (b *Balancer) answer(q *request) {
	if q.mayRefuse() {
		b.do(Refuse{ID: q.ID, Away: b.away(q)})
	} else {
		b.do(Fail{ID: q.ID})
	}
	b.close(q)
}

// away is how long a refused client should stay away: queues are shorter then, and its aim is still in reach.
func (b *Balancer) away(q *request) time.Duration {
	return min(max(time.Duration(awayShare*float64(q.since+q.aim-b.now)), leastAway), b.cfg.MaxAway)
}

// firstRun returns the first attempt that may have run, or nil.
func (q *request) firstRun() *attempt {
	if i := slices.IndexFunc(q.attempts, func(a *attempt) bool { return a.ran }); i >= 0 {
		return q.attempts[i]
	}
	return nil
}

// mayRefuse: a refusal promises that a repeat is harmless.
func (q *request) mayRefuse() bool {
	return q.class.Effect == Safe || q.firstRun() == nil ||
		q.class.Effect == Keyed && q.class.Scope == ScopeAll
}

// mayUse: no replica is tried twice, and an effect that may have happened only where its repeat is discarded.
func (b *Balancer) mayUse(q *request, r *replica) bool {
	if slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.rep == r }) {
		return false
	}
	first := q.firstRun()
	if first == nil || q.class.Effect == Safe {
		return true
	}
	if q.class.Effect == Unsafe || b.now-first.sent > q.class.Window {
		return false
	}
	return (q.class.Scope != ScopeZone || r.Zone == first.rep.Zone) &&
		(q.class.Scope != ScopeCell || r.Cell == first.rep.Cell)
}

// dispatch lets held prompts leave, the highest response ratio first.
func (b *Balancer) dispatch() {
	ratio := make(map[*request]float64, len(b.held))
	for _, q := range b.held {
		ratio[q] = 1 + (b.now-q.since).Seconds()/((q.Prompt-q.Shared)*slowRead+q.class.decode)
	}
	sort.SliceStable(b.held, func(i, j int) bool { return ratio[b.held[i]] > ratio[b.held[j]] })
	keep, soonest := b.held[:0], b.soonest()
	for _, q := range b.held {
		switch r, late := b.weigh(q, soonest); {
		case q.closed:
		case b.now >= b.spent(q) || late && (q.class.Worth < b.most || b.most == b.least):
			b.answer(q) // but those to whom others yield are held, lest places left to them be free
		case r != nil:
			b.send(q, r)
		default:
			keep = append(keep, q)
		}
	}
	clear(b.held[len(keep):]) // lest answered requests stay reachable
	b.held = keep
}

// weigh finds a replica on which q keeps all aims; late tells that it would miss its own. Where even
// the soonest is too late, none need be chosen; the more prompts are held, the rarer is each weighed again.
func (b *Balancer) weigh(q *request, soonest float64) (r *replica, late bool) {
	if q.closed || b.now < q.again || math.IsInf(soonest, 1) {
		return nil, false
	}
	if late = b.hopeless(q, soonest); late || b.yields(q, soonest) {
		return nil, late
	}
	if r = b.choose(q); r == nil || b.asking(q) {
		return nil, false
	}
	for range 2 { // the sample's best, then the best of all with room
		wait := b.wait(q, r)
		if late = b.hopeless(q, wait); !late && !b.yields(q, wait) {
			return r, false
		}
		r = b.better(q, append(b.pool, b.strangers(q)...))
	}
	q.again = b.now + time.Duration(max(len(b.held)-fewHeld, 0))*weighAgain
	return nil, late
}

// spent returns when holding a request any longer is of no use.
func (b *Balancer) spent(q *request) time.Duration {
	end := q.deadline - 2*b.cfg.Tick
	if q.class.LateWorth == 0 {
		end = min(end, q.since+q.aim)
	}
	return end
}

// hopeless tells that q would miss its aim if it waited so long for its first token: its work would be lost.
func (b *Balancer) hopeless(q *request, wait float64) bool {
	left := (q.since + q.aim - b.now).Seconds()
	return q.class.LateWorth == 0 && q.mayRefuse() && q.out == 0 && wait > prudent*left
}

// wait is what counts of the first token of q on r. An idle replica is worth a try, lest a wrong estimate
// stay; but to many gateways most are idle: it counts as far as those heard of are behind, bar rare tries.
func (b *Balancer) wait(q *request, r *replica) float64 {
	switch {
	case r.streams > 0:
		return b.firstToken(q, r)
	case b.behind == 0 || b.now >= b.tryAt:
		return 0
	}
	return b.behind * b.firstToken(q, r)
}

// soonest is at most the least wait on any replica with room. It finds how far the share is behind: the mean
// wait in front of a prompt, as a part of the shortest aim.
func (b *Balancer) soonest() float64 {
	sum, heard, least := 0.0, 0.0, math.Inf(1)
	for _, r := range b.share {
		if r.State == Serving && r.ejected == 0 && (!b.fleet.Alone() || b.now < r.heard+stale) {
			sum, heard = sum+b.firstToken(nil, r)-slowFirst, heard+1
		}
	}
	b.behind = min(max(sum/max(heard, 1)/b.brief, 0), 1)
	for i := 0; i < len(b.order) && least > 0; i++ {
		switch r := b.order[i]; {
		case !b.room(r):
		case r.mine || r.streams > 0:
			least = min(least, b.wait(nil, r))
		default: // a stranger, of whom nothing is known
			least = min(least, b.behind*slowFirst)
		}
	}
	return least
}

// countWarm counts the replicas that serve and are warm, where that may have changed.
func (b *Balancer) countWarm() {
	if b.counted {
		return
	}
	b.warm, b.counted = 0, true
	for _, r := range b.order {
		if r.State == Serving && r.ejected == 0 && b.warmth(r) == 1 {
			b.warm++
		}
		b.counted = b.counted && !r.cold // one that is cold gets warm by time alone
	}
}

// yields tells that q, waiting so long, would take much of the time that a class of more worth has: there is
// no room, as the patient and cheap would fill the queues and slip in again whenever a place gets free.
func (b *Balancer) yields(q *request, wait float64) bool {
	part := yielding + impatience*float64(b.now-q.since)/float64(max(q.aim, 1))
	return slices.ContainsFunc(b.cfg.Classes, func(c Class) bool {
		return c.Worth > q.class.Worth && wait > part*c.aimOf(q.Prompt).Seconds()
	})
}

// choose returns the better of two sampled replicas with room, or nil if none has any.
func (b *Balancer) choose(q *request) *replica {
	local := !(b.cfg.OneHome && q.Prefix != "") && !b.sighted || b.crossTime(q) > q.Shared*slowRead
	pool, near := b.pool[:0], b.near[:0]
	for _, r := range b.share {
		if b.room(r) && b.mayUse(q, r) {
			pool = append(pool, r)
			if local && r.Zone == b.cfg.Zone {
				near = append(near, r)
			}
		}
	}
	sharing := cmp.Or(len(near), len(pool))
	shut := func(r *replica) bool { return !b.coldRoom(q, r, sharing) }
	pool, near = slices.DeleteFunc(pool, shut), slices.DeleteFunc(near, shut)
	sample := append(b.homes(q, near), b.homes(q, pool)...)
	b.pool, b.near = pool, near
	if len(sample) == 0 {
		sample = b.strangers(q)
	}
	return b.better(q, b.ask(q, sample))
}

// strangers returns two replicas with room beyond the own share.
func (b *Balancer) strangers(q *request) (sample []*replica) {
	for _, r := range b.order {
		if !r.mine && b.room(r) && b.mayUse(q, r) && b.coldRoom(q, r, 0) {
			sample = append(sample, r)
		}
	}
	return ranked(q.keys[1], sample, 2)
}

// better returns the one of a sample with the lowest estimate, or nil.
func (b *Balancer) better(q *request, sample []*replica) *replica {
	if len(sample) == 0 {
		return nil
	}
	return slices.MinFunc(sample, func(r, o *replica) int {
		return cmp.Compare(b.estimate(q, r), b.estimate(q, o))
	})
}

// homes returns two samples of pool, alike for all gateways. The homes of a prefix are the first in its
// rendezvous order, as many as its share of the prompts asks for, so it is kept in few places yet overruns
// none. Of these a session has two; without a prefix it has two of all.
func (b *Balancer) homes(q *request, pool []*replica) []*replica {
	sample := pool
	if q.Prefix != "" && b.cfg.OneHome {
		sample = ranked(q.keys[0], pool, 2)
		if len(sample) > 0 {
			q.home = sample[0]
		}
		return sample
	}
	if q.Prefix != "" {
		part := b.prompts.Share(q.Prefix, unseen)
		sample = ranked(q.keys[0], pool, max(int(math.Ceil(spread*part*float64(len(pool)))), 2))
	}
	return ranked(q.keys[1], sample, 2)
}

// ask probes the replicas of a sample whose last report is old: of many gateways each hears of a replica too
// seldom to compare two. The prompt waits for the answers, but not for long.
func (b *Balancer) ask(q *request, sample []*replica) []*replica {
	for _, r := range sample {
		if b.cfg.MayProbe && b.fleet.Alone() && !r.probing && b.now >= r.heard+stale {
			r.probing = true
			b.do(Probe{r.Replica})
		}
		if r.probing && q.askedTo == 0 {
			q.askedTo = b.now + askWait
		}
	}
	q.asked = sample
	return sample
}

// asking tells that q waits for the answers of its samples.
func (b *Balancer) asking(q *request) bool {
	return b.now < q.askedTo && slices.ContainsFunc(q.asked, func(r *replica) bool { return r.probing })
}

// ranked returns the first n of pool in the rendezvous order of key.
func ranked(key uint64, pool []*replica, n int) []*replica {
	return rendezvous.First(key, pool, n, func(r *replica) uint64 { return r.name })
}

func (b *Balancer) send(q *request, r *replica) {
	a := &attempt{req: q, rep: r, sent: b.now, ran: true}
	a.unread = b.unreadOn(q, r)
	a.ahead = b.backlog(r) + a.unread
	a.expected = b.firstToken(q, r)
	q.attempts = append(q.attempts, a)
	if r.streams == 0 { // the next try against an estimate comes the later the more gateways may make one
		b.tryAt = b.now + max(tryAgain, longEject*time.Duration(b.living)/time.Duration(max(b.warm, 1)))
	}
	q.out++
	r.streams++
	r.waiting = append(r.waiting, a)
	r.credit -= b.workOn(q, r)
	r.kept.Put(q.prefix, b.now, q.Shared)
	r.kept.Put(q.Session, b.now, q.Prompt)
	b.do(Send{ID: q.ID, Replica: r.Replica})
	told := a.unread
	if least := inPart * b.brief / r.read.slope(); told < least && !r.cold {
		if told < least*b.rng.Float64() {
			return
		}
		told = least // now and then, for all the small ones: the sum stays right
	}
	to := r.hearers
	if r.cold {
		to = r.sharers // a view may be wrong, and a budget that is spent unheard is spent twice
	}
	b.tell(to, News{Tag: tag(r), Tokens: told, Prefix: q.prefixTag()})
}

// tell gives news to other gateways.
func (b *Balancer) tell(to []int, news ...News) {
	if to = slices.DeleteFunc(slices.Clone(to), func(i int) bool { return i == b.cfg.Me }); len(to) > 0 {
		b.do(Tell{To: to, Zone: mark(b.cfg.Zone), News: news})
	}
}

// deal gives each gateway its share of its zone's replicas, alike wherever it is worked out: so few that it
// hears of each often, keeps a connection and need not hear of all.
func (b *Balancer) deal() {
	if !b.fleet.Due(b.now) {
		return
	}
	b.living = float64(b.fleet.Sure(b.now))
	all := slices.DeleteFunc(slices.Clone(b.order), func(r *replica) bool { return r.State != Serving })
	n := max(shareOf, leastHeld*len(all)/max(b.fleet.Left(b.now), 1))
	sharers := map[*replica][]int{}
	for i, who := range shares.Deal(b.fleet, b.now, all, n, place) {
		sharers[all[i]] = who
	}
	gone := func(i int) bool { return b.fleet.Gone(i, b.now) }
	b.share = nil
	for _, r := range b.order {
		had := len(r.hearers)
		r.sharers = sharers[r]
		r.hearers = slices.DeleteFunc(slices.Clone(r.sharers), gone)
		if r.mine = b.fleet.Alone() || slices.Contains(r.hearers, b.cfg.Me); r.mine {
			b.share = append(b.share, r)
			if n := len(r.hearers); n < had { // prompts of those that are gone are, too
				r.told *= float64(n) / float64(had)
			}
		}
	}
}

// takeHeard takes in what another gateway tells: a prompt in front of the own ones, or an opinion.
func (b *Balancer) takeHeard(ev Heard) {
	if !b.fleet.Heard(ev.From, ev.Zone) {
		return
	}
	for _, n := range ev.News {
		switch r := b.tags[n.Tag]; {
		case r == nil:
		case n.Tokens > 0:
			b.backlog(r) // of before
			r.told, r.others = min(r.told+n.Tokens, mostTold/r.read.slope()), r.others+1
			r.kept.Put(prefixKey(n.Prefix), b.now, math.Inf(1))
			b.spend(r, b.meanWork)
		case n.Slow > 0:
			r.slow.Hear(b.now, min(max(n.Slow, 0.2), 20), believe)
		}
	}
}

// backlog is the unread tokens in front of a new prompt. What others told of is taken to be read steadily.
func (b *Balancer) backlog(r *replica) float64 {
	if passed := (b.now - r.toldAt).Seconds(); passed > 0 && !b.fleet.Alone() {
		r.told = max(r.told-passed/(r.read.slope()*b.slowness(r)), 0)
		r.others *= math.Exp(-passed / streamLife)
		r.toldAt = b.now
	}
	sum := r.unread + r.told
	for _, a := range r.waiting {
		sum += a.unread
	}
	return sum
}

// observe takes in that a first token took so long, of what was expected. What surprises is told.
func (b *Balancer) observe(r *replica, took, expected float64) {
	usual, ratio := b.slowness(r)*expected, took/expected
	if math.Abs(took-usual) > offBy && (took > surprise*usual || took*surprise < usual) {
		b.tell(r.hearers, News{Tag: tag(r), Slow: ratio})
	}
	r.slow.See(b.now, min(max(ratio, 0.2), 20), 2*learn)
}

// unreadOn returns the tokens of q that r would have to read.
func (b *Balancer) unreadOn(q *request, r *replica) float64 {
	if q == nil {
		return 0
	}
	kept := max(min(r.kept.Get(q.prefix, r.lost), q.Shared), r.kept.Get(q.Session, r.lost))
	if q.home == r {
		kept = max(kept, q.Shared)
	}
	return max(q.Prompt-kept, 1)
}

// firstToken estimates the seconds to the first token of q on r, or of a prompt with nothing to read for nil.
func (b *Balancer) firstToken(q *request, r *replica) float64 {
	slow := b.slowness(r)
	if left := b.warmth(r); r.cold && !b.fleet.Alone() {
		slow = max(slow, 1/left)
	}
	t := r.read.at(b.backlog(r)+b.unreadOn(q, r)) * slow
	// A replica that accepts and never answers looks idle: what is overdue there counts in full.
	if len(r.waiting) > 0 {
		a := r.waiting[0]
		t += max((b.now-a.sent).Seconds()-a.expected, 0)
	}
	return t
}

// estimate, in seconds, adds to the first token the streams that share the steps and the price of crossing.
func (b *Balancer) estimate(q *request, r *replica) float64 {
	t := b.firstToken(q, r) + q.class.decode*streamShare*(float64(r.streams)+r.others)*b.slowness(r)
	if r.Zone != b.cfg.Zone {
		t += b.crossTime(q)
	}
	return t
}

// crossTime is the price of crossing zones in seconds of q's aim.
func (b *Balancer) crossTime(q *request) float64 {
	return b.cfg.CrossZonePrice * crossScale * q.aim.Seconds()
}

// room tells whether this gateway lets r have one more stream.
func (b *Balancer) room(r *replica) bool {
	trial := r.ejected > 0 && b.now >= r.ejected && r.streams == 0
	return r.State == Serving && (trial || r.ejected == 0 && float64(r.streams) < math.Floor(r.cap))
}

// judge raises the cap on a clean answer and cuts it on one that took longer than its aim.
func (b *Balancer) judge(a *attempt) {
	r := a.rep
	switch {
	case b.now-a.sent > a.req.aim:
		b.cutCap(a, min(lateFloor, r.cap))
	case float64(r.streams) >= r.cap*capUsed:
		r.cap++
	}
}

// cutCap lowers a cap once for all attempts that were out together, and not below floor.
func (b *Balancer) cutCap(a *attempt, floor float64) {
	if r := a.rep; a.sent >= r.cutAt {
		r.cap, r.cutAt = max(r.cap*capCut, floor, 1), b.now
	}
}

// coldRoom keeps what all gateways together send a cold replica under the multiple of what it can do, by a
// credit that is not saved up. Those that hear of each other spend from one, two halves that do not from one
// each, any other its own part. One far below a prompt is a chance that one may go: lower the more is asked,
// higher the more replicas share it.
func (b *Balancer) coldRoom(q *request, r *replica, sharing int) bool {
	if b.warmth(r) == 1 {
		return true
	}
	seen := b.begun.At(b.now)*float64(len(b.order)) > b.meanWork
	if !seen && b.warm == 0 && b.done == 0 && !b.fleet.Alone() {
		return b.begins(r) && b.workOf(q) <= heavy*cmp.Or(b.meanWork, b.workOf(q))
	}
	part := b.spend(r, 0)
	chance := part * float64(sharing) / (2 * b.asked) * b.workOf(q) / b.workOn(q, r) // one of two samples wins
	may := q.dice < chance
	if !b.fleet.Alone() {
		may = slices.Contains(r.hearers, b.cfg.Me)
	}
	return may && r.credit >= 0 && b.workOf(q) <= heavy*b.meanWork
}

// begins tells that it is this gateway's turn to try r while none was ever seen at work: one prompt in each
// window of the settings, by turns of those that share r, can't push it over. What comes of it is the measure
// of more.
func (b *Balancer) begins(r *replica) bool {
	window := max(b.cfg.OverloadWindow, time.Second)
	at := slices.Index(r.hearers, b.cfg.Me)
	mine := at >= 0 && int(b.now/window)%len(r.hearers) == at
	return mine && (r.credit == 0 || b.now >= r.creditAt+window)
}

// spend takes work from the credit of a replica and returns what it grows by in a span.
func (b *Balancer) spend(r *replica, work float64) float64 {
	b.fade()
	part := coldMargin * b.cfg.OverloadFactor * b.warmth(r) * b.done
	if !b.fleet.Alone() {
		part = min(coldFleet, b.cfg.OverloadFactor/2) * b.warmth(r) * cmp.Or(b.done, b.begun.At(b.now)) * b.living
	}
	r.credit = min(r.credit+part/workSpan*(b.now-r.creditAt).Seconds(), 0) - work
	r.creditAt = b.now
	return part
}

// warmth is the share of its capacity that a replica has by now, at least.
func (b *Balancer) warmth(r *replica) float64 {
	if r.cold = r.cold && b.now-r.born < b.cfg.ColdTime; !r.cold {
		return 1
	}
	return b.cfg.StartCapacity + (1-b.cfg.StartCapacity)*float64(b.now-r.born)/float64(b.cfg.ColdTime)
}

// workOf is the cost of a request in seconds of a replica's time.
func (b *Balancer) workOf(q *request) float64 {
	if q.Hint > 0 {
		return q.Hint.Seconds()
	}
	return q.Prompt*slowRead + q.class.decode*streamShare
}

// workOn adds the reading of a prefix that r isn't known to keep, as one fresh from its start seldom does.
func (b *Balancer) workOn(q *request, r *replica) float64 {
	return b.workOf(q) + max(b.unreadOn(q, r)-(q.Prompt-q.Shared), 0)*r.read.slope()
}

// fade takes from the work counted what is long ago. With no warm replica, what one did stays the measure.
func (b *Balancer) fade() {
	left := math.Exp(-(b.now - b.workAt).Seconds() / workSpan)
	if b.asked, b.workAt = b.asked*left, b.now; b.warm > 0 {
		b.done *= left
	}
}

// countWork takes in work that was done. What is only sent tells nothing of what a replica can do: in a storm
// of failing attempts it would open cold replicas wide.
func (b *Balancer) countWork(q *request, r *replica) {
	b.meanWork = cmp.Or(b.meanWork, b.workOf(q))
	b.meanWork += (b.workOf(q) - b.meanWork) * learn
	if b.warm == 0 && b.done == 0 {
		b.begun.Add(b.now, b.workOf(q)/b.warmth(r)/float64(len(b.order)))
	}
	if !r.cold {
		b.fade()
		b.done += b.workOf(q) / max(b.warm, 1)
	}
}

func (b *Balancer) takeFirst(a *attempt) {
	q, r := a.req, a.rep
	a.began = b.now
	r.stopWaiting(a)
	b.close(q)
	b.well(r)
	took := (b.now - a.sent).Seconds()
	b.observe(r, took, r.read.at(a.ahead))
	r.read.Add(a.ahead, took-slowFirst) // a start fitted as well takes the blame for tokens seen late
	if q.class.Streamed {
		b.judge(a)
	}
}

func (r *replica) stopWaiting(a *attempt) {
	r.waiting = slices.DeleteFunc(r.waiting, func(o *attempt) bool { return o == a })
}

func (b *Balancer) takeOutcome(a *attempt, ev Outcome) {
	q, r := a.req, a.rep
	a.over = true
	a.ran = ev.Result != Full && ev.Result != NoConnection && ev.Result != NotSent
	q.out--
	r.streams--
	r.stopWaiting(a)
	b.report(r, ev.Load)
	switch ev.Result {
	case OK:
		b.well(r)
		b.takeServed(a)
	case Full:
		b.cutCap(a, 1)
	case NoConnection, Reset, TimedOut, Error:
		b.cutCap(a, 1)
		if took := (b.now - a.sent).Seconds(); ev.Result == TimedOut && a.began == 0 && !b.fleet.Alone() {
			b.observe(r, max(took, r.read.at(a.ahead)), r.read.at(a.ahead))
		}
		b.fail(r, ev.Result)
	}
	if !a.ran {
		r.kept.Drop(q.prefix, q.Session)
	}
	switch {
	case ev.Final || q.closed:
		b.close(q)
	case q.out > 0:
	case b.now < b.spent(q) && b.anyUse(q) && b.mayRepeat(q):
		b.hold(q)
	default:
		b.answer(q)
	}
}

// mayRepeat tells whether the settings and the budget leave q a further attempt. It spends from the budget.
func (b *Balancer) mayRepeat(q *request) bool {
	return len(q.attempts) < b.cfg.MaxAttempts && q.mayRun() && b.cfg.Retries.Take()
}

// anyUse tells whether a further attempt may go anywhere.
func (b *Balancer) anyUse(q *request) bool {
	return slices.ContainsFunc(b.order, func(r *replica) bool {
		return r.State == Serving && b.mayUse(q, r)
	})
}

func (b *Balancer) takeServed(a *attempt) {
	c := a.req.class
	b.countWork(a.req, a.rep)
	if !c.Streamed {
		b.judge(a)
	}
	if decode := min((b.now - max(a.began, a.sent)).Seconds(), 5*c.decode); decode > 0 {
		c.seen++
		c.decode += (decode - c.decode) * max(learn/4, 1/c.seen)
	}
}

// report takes in what a replica says of its load; what is not this gateway's own is the others'.
func (b *Balancer) report(r *replica, l *Load) {
	if l == nil {
		return
	}
	r.heard = b.now
	if l.Streams >= 0 {
		r.others = max(l.Streams-float64(r.streams), 0)
	} else if l.Busy >= 0 {
		r.others = max(l.Busy*slots-float64(r.streams), 0)
	}
	if l.Unread >= 0 {
		b.sighted = true
		r.unread = max(l.Unread-(b.backlog(r)-r.unread), 0)
	}
}

// well notes that r works. One that comes back after dying is cold.
func (b *Balancer) well(r *replica) {
	if r.ejected > 0 {
		b.do(Log{"back: " + r.Replica})
		if r.died && !r.cold {
			b.makeCold(r, b.now)
		}
	}
	b.counted = b.counted && r.ejected == 0
	r.fails, r.died, r.ejected, r.penalty = 0, false, 0, 0
}

// fail counts a failure of r. A refused connection ejects at once, others from the second in a row on: single
// ones break under processes that go on. Each further one doubles the time until the next trial.
func (b *Balancer) fail(r *replica, how Result) {
	r.fails++
	refused := how == NoConnection
	r.died = r.died || refused && r.fails > 1
	if b.now < r.ejected || !refused && r.fails < 2 {
		return
	}
	if r.ejected == 0 {
		b.do(Log{"ejected: " + r.Replica})
	}
	r.penalty = min(max(2*r.penalty, firstEject), longEject)
	r.ejected, b.counted = b.now+r.penalty, false
}

func (b *Balancer) takeProbed(r *replica, ev Probed) {
	r.probing, r.heard = false, b.now
	b.report(r, ev.Load)
	if ev.Result == NoConnection || ev.Result == TimedOut {
		b.fail(r, ev.Result)
	}
}

// upkeep asks discovery again and sets the one timer.
func (b *Balancer) upkeep() {
	next := time.Duration(math.MaxInt64)
	if b.askAt > 0 && b.now >= b.askAt {
		b.askAt = 0
		b.do(Subscribe{})
	} else if b.askAt > 0 {
		next = b.askAt
	}
	for _, q := range b.held {
		next = min(next, b.spent(q), max(q.again, b.now+lookAgain))
		if b.asking(q) {
			next = min(next, q.askedTo)
		}
	}
	next = max(next, b.now+max(b.cfg.Tick, time.Millisecond))
	if next < math.MaxInt64 && (b.wakeAt == 0 || next < b.wakeAt) {
		b.token, b.wakeAt = b.token+1, next
		b.do(SetTimer{Token: b.token, After: next - b.now})
	}
}
