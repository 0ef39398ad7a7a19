// Package balance decides for one gateway which replica of a language-model fleet gets which prompt, and when.
//
// This file is the whole interface; deploy/balancer.toml lists the files that decide. A Balancer is a pure state machine: the
// host calls Step with what has happened and carries out the actions that come back, in order. The host owes
// it one caller at a time, a clock that never goes back, and every event that concerns this gateway. It may
// expect that the same seed, settings and events always give the same actions.
//
// Mechanism: a gateway holds prompts. When a replica has room under the cap that this gateway has learned
// for it, the held prompt with the highest response ratio, 1 + wait / estimated run time, leaves for the
// better of two sampled replicas with room, compared by local estimate. Nothing is recalled once sent, and
// nothing waits while a replica has room.
//
// Exceptions, each at the function named:
//
//   - homes: the two samples are of the first few in the rendezvous order of the prompt's prefix;
//   - choose: homes in the own zone take part where crossing costs more than reading a prefix again, and
//     where no report tells others' unread tokens; replicas beyond the own share only where that has no room;
//   - ask: a prompt is held for some ms while samples are probed whose last reports are old;
//   - weigh: where the sample would miss an aim, all of the share with room and two others are compared;
//   - hopeless, spent: a prompt that would miss its aim is refused, or held if others yield to it;
//   - yields: a prompt is held where it would take much of the time that a class of more worth has;
//   - coldRoom: a replica that has just started gets a budget, and no heavy prompt;
//   - room, fail: a failing replica is ejected, then tried with one prompt at a time;
//   - choose, doubts: one that several gateways of a fleet saw fail is avoided by all for a moment, but for
//     a third of all at most.
package balance

import (
	"time"

	"reachspread/internal/assignment"
	"reachspread/internal/rendezvous"
	"reachspread/internal/retrybudget"
)

// Effect tells what repeating a request of a class does.
type Effect int

// The effects. A Keyed request may be repeated only where its duplicates are discarded.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Scope names the replicas that discard duplicates of one keyed request.
type Scope int

// The scopes: every replica, those of the first replica's zone, or those of its cell.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	Name       string
	Effect     Effect
	Scope      Scope         // for Keyed: who discards duplicates
	Window     time.Duration // for Keyed: how long they do, from the first attempt that may have run
	Aim        time.Duration // full worth until here: the first token if Streamed, else the answer
	AimPer1000 time.Duration // added to Aim for each 1,000 prompt tokens; Deadline grows twice as much
	AimStretch float64       // adds this multiple of the request's own work to Aim
	TokenAim   time.Duration // mean time between tokens, 0 if any will do
	Deadline   time.Duration // how long a client waits, over all its tries
	Worth      float64       // of a request, against other classes
	LateWorth  float64       // share of the worth kept between aim and deadline
	Streamed   bool
	Runs       int // attempts of a request that may have run, 0 for no bound
}

// aimOf is the aim for a prompt of so many tokens.
func (c *Class) aimOf(prompt float64) time.Duration {
	return c.Aim + time.Duration(float64(c.AimPer1000)*prompt/1000)
}

// Config is what a gateway is told at its start.
type Config struct {
	Zone    string
	Classes []Class

	AskForList     bool                // discovery sends nothing unless asked
	MayProbe       bool                // Probe is allowed
	MaxAttempts    int                 // for each request; 0 counts as 1
	StartCapacity  float64             // a replica starts at this share of its capacity or more
	ColdTime       time.Duration       // and is warm after this
	OverloadFactor float64             // a cold replica sent more than this multiple of its capacity
	OverloadWindow time.Duration       // for this long falls over
	Tick           time.Duration       // the host calls Step at most this often
	CrossZonePrice float64             // points lost when every request crosses zones once
	MaxAway        time.Duration       // the longest that a refusal may tell a client to stay away, 0 for not at all
	OneHome        bool                // a prefix is kept by one replica, alike for all gateways, as far as that has room
	Retries        *retrybudget.Bucket // of further attempts, nil for no bound
	Gateways       int                 // how many there are, this one included, where they may Tell; 0 where not
	Me             int                 // the own number among them, from 0
	Broadcast      bool                // what this one tells reaches others that have no numbers, and theirs reaches this one
}

// State is what discovery says of a replica.
type State int

// The states.
const (
	Serving State = iota
	Draining
	Gone
)

// Member is a replica as listed by discovery.
type Member struct {
	Replica string
	Zone    string
	Cell    int
	Kind    string // machines of one kind are alike
	State   State
	Born    time.Duration // clock time of its last start, 0 for long ago
	Has     []string      // what not all replicas have, such as a version of a model
}

// Load is what a replica reports of itself; a field that is not reported is negative.
type Load struct {
	Streams float64 // requests it holds
	Busy    float64 // share of its slots in use
	Unread  float64 // prompt tokens waiting to be read
}

// Event is something that happened to this gateway: one of the types below.
type Event interface{ isEvent() }

// Members is an update from discovery. Failed means that an asked-for list did not come.
type Members struct {
	Version int64
	Whole   bool // replaces the list held; what is not in it is gone
	Failed  bool
	Members []Member
}

// Retune is settings that replace those of New, or of the last Retune. New must take them for good. Zone, Gateways, Me
// and AskForList stay as they were; requests that arrived before keep their classes, whose values they have by then.
type Retune struct{ Config Config }

// Arrival is a request taken by this gateway.
type Arrival struct {
	ID      string
	Class   string
	Session string
	Prefix  string        // names the beginning shared with other prompts
	Left    time.Duration // until the client gives this try up
	Hint    time.Duration // a guess of its work, 0 for none
	Prompt  float64       // tokens
	Shared  float64       // of these, tokens of the shared prefix
	Again   bool          // goes on with a request that ran in part; its sender has taken it from Config.Retries
	Needs   string        // only replicas that have this may serve it, empty for all
}

// FirstToken says that an attempt's answer has begun; the request now belongs to its client.
type FirstToken struct {
	ID      string
	Attempt int
}

// Result is how an attempt ended.
type Result int

// The results. Full, NoConnection and NotSent prove that the attempt never ran.
const (
	OK Result = iota
	Error
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	NotSent
)

// Outcome ends an attempt.
type Outcome struct {
	ID      string
	Attempt int
	Result  Result
	Final   bool    // the request is closed, now or earlier; otherwise an answer is still owed
	Kept    float64 // prompt tokens that the replica still held, on OK
	Load    *Load
}

// Aborted says that nobody waits for a request any more.
type Aborted struct{ ID string }

// Wake answers the SetTimer of the same Token.
type Wake struct{ Token int64 }

// Probed is the result of a Probe.
type Probed struct {
	Replica string
	Result  Result
	Load    *Load
}

// PeerReport is a word on a replica, from one gateway to others. One of its figures is set.
type PeerReport struct {
	Tag    uint32  // the replica's, of 24 bits
	Tokens float64 // to be read of a prompt just sent to it
	Prefix uint16  // of that prompt: a mark of its prefix, which the replica keeps from then on; 0 for none
	Slow   float64 // times the expected that a first token took
	Failed bool    // the replica was seen to fail
}

// Heard is what another gateway told.
type Heard struct {
	From    int   // its number; where Config.Broadcast is set, any that tells it from the others
	Zone    uint8 // a mark of its zone
	Reports []PeerReport
}

// Fleet is which gateways live, in the view of this one, which is among them. Until the first, all of Config.Gateways do. It may be
// late, wrong, or differ from others' views.
type Fleet struct {
	Version uint64 // from 1 on; what is not newer than the last is ignored
	Living  []Peer
}

// Peer is a gateway that lives.
type Peer struct {
	Number int // as in Config.Me; others than there are Gateways are ignored
	Zone   string
}

func (Members) isEvent()    {}
func (Retune) isEvent()     {}
func (Arrival) isEvent()    {}
func (FirstToken) isEvent() {}
func (Outcome) isEvent()    {}
func (Aborted) isEvent()    {}
func (Wake) isEvent()       {}
func (Probed) isEvent()     {}
func (Heard) isEvent()      {}
func (Fleet) isEvent()      {}

// Action is something for the host to do: one of the types below.
type Action interface{ isAction() }

// Send starts an attempt, for as long as the client waits; attempts of a request are numbered from 0 in the order sent.
type Send struct {
	ID      string
	Replica string
}

// Refuse is the final answer that repeating the request is harmless.
type Refuse struct {
	ID   string
	Away time.Duration // the client should not come back before, 0 for no advice
}

// Fail is the final answer that promises nothing.
type Fail struct{ ID string }

// Probe asks a replica for its load.
type Probe struct{ Replica string }

// Tell has other gateways hear reports. It may come late, out of order, twice or not at all.
type Tell struct {
	To      []int // their numbers; none where Config.Broadcast is set, for all that there are
	Zone    uint8 // a mark of the own zone
	Reports []PeerReport
}

// SetTimer asks for a Wake.
type SetTimer struct {
	Token int64
	After time.Duration
}

// Subscribe asks discovery for its changes.
type Subscribe struct{}

// Log is a line for on-call staff.
type Log struct{ Text string }

func (Send) isAction()      {}
func (Refuse) isAction()    {}
func (Fail) isAction()      {}
func (Probe) isAction()     {}
func (Tell) isAction()      {}
func (SetTimer) isAction()  {}
func (Subscribe) isAction() {}
func (Log) isAction()       {}

// tag is the short name by which gateways tell each other of a replica.
func tag(r *replica) uint32 { return uint32(r.name >> 40) }

// prefixTag is the short name by which gateways tell each other of a prefix, 0 for none.
func (q *request) prefixTag() uint16 {
	if q.Prefix == "" {
		return 0
	}
	return max(uint16(q.keys[0]>>48), 1)
}

// prefixKey is the name of a prefix in what is kept.
func prefixKey(tag uint16) string {
	if tag == 0 {
		return ""
	}
	return string([]byte{0, byte(tag >> 8), byte(tag)})
}

// mark is the short name of a zone.
func mark(zone string) uint8 { return uint8(rendezvous.Hash(zone)) }

// ranked returns the first n of pool in the rendezvous order of key.
func ranked(key uint64, pool []*replica, n int) []*replica {
	return rendezvous.First(key, pool, n, func(r *replica) uint64 { return r.name })
}

// place is what shares are dealt by.
func place(r *replica) (name uint64, zone uint8) { return r.name, mark(r.Zone) }

// peers are those that live, by their marks.
func peers(f Fleet) (all []assignment.Peer) {
	for _, p := range f.Living {
		all = append(all, assignment.Peer{Number: p.Number, Zone: mark(p.Zone)})
	}
	return all
}
