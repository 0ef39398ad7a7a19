// Package recovery decides how a router comes back: what of its last life it goes by, whom it asks, whether it alone, some or all have lost
// power, and which stage of the return it is in. docs/design/recovery.md has the why.
//
// This file is the interface; items.go has the table of what is trusted, recovery.go the step, wire.go the datagrams. A Decider is a state machine
// without I/O, clock or goroutine: its owner calls Step with the time of one monotonic clock and one event, carries out the actions, and
// calls again at Next. No time but spans on that clock, and spans that others measured on theirs, are ever looked at.
package recovery

import (
	"time"

	"reachspread/internal/router/snapshot"
)

// Bounds.
const (
	MaxDatagramBytes       = 256 // bytes
	MaxPeers               = 512 // routers
	MaxNameBytes           = 32  // bytes
	MaxHosts               = 4096
	MaxTags                = 40 // in a datagram
	queryInterval          = 250 * time.Millisecond
	savedListQueryInterval = 2 * time.Second // about hosts, once the list of the last life is in use
	maxQueriedPeers        = 3               // routers that are asked about hosts at a time
)

// Config is what a Decider is told at its start.
type Config struct {
	Self           string
	Boot           uint32
	Saved          *snapshot.State // of the last life, nil for none
	Damaged        []string        // what is wrong with what was kept
	Discovery      string          // address
	QueryTimeout   time.Duration   // for others' word; 0 counts as 1 s
	ListTimeout    time.Duration   // for discovery's; 0 counts as 2 s
	StaleListDelay time.Duration   // more, while a peer has a younger list and has not said which hosts it has; 0 counts as 8 s
	WarmUpTimeout  time.Duration   // for hosts to be warm; 0 counts as 20 s
	HasRoles       bool            // there are some to wait for
}

// Word is what routers tell each other of themselves.
type Announcement struct {
	WantsReply  bool
	From        string
	Boot        uint32
	Uptime      time.Duration
	ListVersion int64  // of the list in force, 0 for none
	ListSource  uint64 // hash of the address that it came from
	Stage       Stage
	Measure     Measure // zero for none
}

// Measure is what a warm host does for one router, as package balance has it.
type Measure struct{ HostWork, RequestWork time.Duration }

// Question asks which of some hosts get requests.
type HostQuery struct {
	From string
	Tags []uint32 // of hosts
}

// Reply says of the hosts of a question which of them get nothing: they drain, or are not listed.
type HostReply struct {
	From        string
	ListVersion int64 // of the list that it is by
	ListSource  uint64
	FirstTag    uint32 // of the question, whose tags it answers
	TagCount    int
	Excluded    []uint32
}

// Event is one of the following.
type Event interface{ event() }

// Passed says that time has.
type Tick struct{}

// Heard is a word of another router.
type AnnouncementReceived struct{ Announcement Announcement }

// Lives are the routers that the fleet view has, by name with their addresses.
type Membership struct{ Routers []snapshot.Router }

// Asked is a question of another router.
type QueryReceived struct{ Query HostQuery }

// Replied is what another router says of hosts.
type ReplyReceived struct{ Reply HostReply }

// Spoke says that discovery has. Serving are the hosts that get requests by its list.
type ListReceived struct {
	Version int64
	Serving []string
}

// Measured says what a warm host does for this router, by what the module has learned.
type MeasureLearned struct{ Measure Measure }

// Warm says whether the listed hosts are.
type HostsWarm struct{ Warm bool }

// Led says whether the voters of duties have a leader.
type VotersLed struct{ Led bool }

func (Tick) event()                 {}
func (AnnouncementReceived) event() {}
func (Membership) event()           {}
func (ListReceived) event()         {}
func (VotersLed) event()            {}
func (QueryReceived) event()        {}
func (ReplyReceived) event()        {}
func (MeasureLearned) event()       {}
func (HostsWarm) event()            {}

// Action is one of the following.
type Action interface{ action() }

// Tell sends a word to routers, by their addresses where the name is not known to live.
type Announce struct {
	To           []snapshot.Router
	Announcement Announcement
}

// Ask sends a question to routers, as Tell does.
type SendQuery struct {
	To    []snapshot.Router
	Query HostQuery
}

// Answer sends a reply.
type SendReply struct {
	To    snapshot.Router
	Reply HostReply
}

// UseList says that the list of the last life is to be served from, but for hosts that get nothing by another's.
type UseSavedList struct{ Excluded []string }

// Shun says that further ones of it get nothing.
type ExcludeHosts struct{ Hosts []string }

// Recall gives the module the measure of others, as this router has none.
type AdoptMeasure struct{ Measure Measure }

// Entered says that a stage has begun.
type StageEntered struct {
	Stage  Stage
	After  time.Duration // since the start
	Reason string        // what ended the one before
}

// Found says whose loss it was.
type OutageClassified struct {
	Outage Outage
	Heard  int // routers
	Asked  int
}

func (Announce) action()         {}
func (UseSavedList) action()     {}
func (SendQuery) action()        {}
func (SendReply) action()        {}
func (ExcludeHosts) action()     {}
func (AdoptMeasure) action()     {}
func (StageEntered) action()     {}
func (OutageClassified) action() {}

// Stage is how far the return is.
type Stage uint8

// The stages, in their order.
const (
	Querying       Stage = iota // others, what they know
	Listing                     // discovery, or the list of the last life
	Admitting                   // hosts are cold: classes are admitted as far as they go
	AwaitingVoters              // the voters, for a leader
	Recovered                   // nothing more is waited for; copies and captures begin
)

// Stages has each stage's name, what ends it, the bound, and what happens when that passes.
var Stages = []struct{ Name, Ends, Bound, Past string }{
	{"asking", "half of the last view has answered", "1 s", "goes on with what is known"},
	{"listing", "discovery has spoken", "2 s; 10 s while a peer has a younger list and has not said which hosts it has", "the list of the last life is used, if there is one, but for hosts that get nothing by a peer's"},
	{"admitting", "the listed hosts have 0.95 of their warm capacity", "twice the hosts' warm-up, 20 s where that is not known", "the return goes on; classes are still admitted as hosts go"},
	{"duties", "the voters have a leader", "none; where there is a block duties", "everything else goes on"},
	{"back", "", "", "copies to shadow pools and captures begin with it"},
}

func (s Stage) String() string { return Stages[s].Name }

// Loss is whose power was lost.
type Outage string

// The losses.
const (
	FirstStart    Outage = "first start"  // nothing is known of a life before
	ThisRouter    Outage = "this router"  // all others that are heard have been up for long
	SomeRouters   Outage = "some routers" // some of them
	AllRouters    Outage = "all routers"  // none of them, and most are heard
	UnknownOutage Outage = "unknown"      // fewer than half of the last view are heard
)
