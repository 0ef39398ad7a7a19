package recovery

import (
	"time"

	"reachspread/internal/router/snapshot"
)

// Event is one of the following.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// AnnouncementReceived is another router's.
type AnnouncementReceived struct{ Announcement Announcement }

// Membership is the routers that are alive, with their addresses.
type Membership struct{ Routers []snapshot.Router }

// QueryReceived is another router's.
type QueryReceived struct{ Query HostQuery }

// ReplyReceived is another router's.
type ReplyReceived struct{ Reply HostReply }

// ListReceived says that discovery has sent a list. Serving are the hosts that get requests by it.
type ListReceived struct {
	Version int64
	Serving []string
}

// MeasureLearned is what a warm host does for this router by now.
type MeasureLearned struct{ Measure Measure }

// HostsWarm says whether the listed hosts are warm.
type HostsWarm struct{ Warm bool }

// VotersLed says whether the voters of roles have a leader.
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

// Announce sends an announcement to routers. An address may be empty where a router is not known to
// be alive.
type Announce struct {
	To           []snapshot.Router
	Announcement Announcement
}

// SendQuery sends a query to routers.
type SendQuery struct {
	To    []snapshot.Router
	Query HostQuery
}

// SendReply sends a reply to a router.
type SendReply struct {
	To    snapshot.Router
	Reply HostReply
}

// UseSavedList has requests go to the hosts of the saved list, without those that are excluded.
type UseSavedList struct{ Excluded []string }

// ExcludeHosts has further hosts of the saved list get no requests.
type ExcludeHosts struct{ Hosts []string }

// AdoptMeasure gives package balance the measure of another router, as this one has none.
type AdoptMeasure struct {
	Measure Measure
	From    string // the router whose it is
	Known   int    // measures that it is the median of
}

// MeasureMissing says that routers were asked for their measures, and none of those that answered
// has any. After the rounds 1, 2, 4, 8 and so on there is one, and another at the end.
type MeasureMissing struct {
	Rounds   int      // of queries so far
	Alive    int      // routers by the membership, without this one
	Asked    []string // routers so far, sorted,
	Answered []string // and those of them that have announced themselves since
	Ended    string   // why nobody is asked any more, empty while the queries go on
}

// StageEntered says that a stage has begun.
type StageEntered struct {
	Stage  Stage
	After  time.Duration // since the start
	Reason string        // what ended the stage before
}

// OutageClassified says how far the outage reached.
type OutageClassified struct {
	Outage  Outage
	Replied int // routers that have announced themselves,
	Asked   int // of so many that were asked
}

func (Announce) action()         {}
func (UseSavedList) action()     {}
func (SendQuery) action()        {}
func (SendReply) action()        {}
func (ExcludeHosts) action()     {}
func (AdoptMeasure) action()     {}
func (MeasureMissing) action()   {}
func (StageEntered) action()     {}
func (OutageClassified) action() {}
