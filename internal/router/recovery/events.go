package recovery

import (
	"time"

	"reachspread/internal/router/snapshot"
)

// Event is an input of Decider.Step: one of the event types below.
type Event interface{ event() }

// Tick reports only that time has passed.
type Tick struct{}

// AnnouncementReceived reports an announcement from another router.
type AnnouncementReceived struct{ Announcement Announcement }

// Membership reports the routers that are alive, with their addresses.
type Membership struct{ Routers []snapshot.Router }

// QueryReceived reports a query from another router.
type QueryReceived struct{ Query HostQuery }

// ReplyReceived reports a reply from another router.
type ReplyReceived struct{ Reply HostReply }

// ListReceived reports a list of hosts from discovery.
type ListReceived struct {
	Version int64
	Serving []string // IDs of the hosts that get requests according to the list
}

// MeasureLearned reports what this router has learned of a warm host's work so far.
type MeasureLearned struct{ Measure Measure }

// HostsWarm reports whether the listed hosts are warm.
type HostsWarm struct{ Warm bool }

// VotersLed reports whether the voters of roles have a leader.
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

// Action is an output of Decider.Step that the caller carries out: one of the action types below.
type Action interface{ action() }

// Announce sends an announcement to routers. The address of a router may be empty if the router is
// in neither the current nor the saved membership.
type Announce struct {
	To           []snapshot.Router
	Announcement Announcement
}

// SendQuery sends a query about hosts to routers.
type SendQuery struct {
	To    []snapshot.Router
	Query HostQuery
}

// SendReply sends a reply about hosts to a router.
type SendReply struct {
	To    snapshot.Router
	Reply HostReply
}

// UseSavedList starts sending requests to the hosts of the saved list except the excluded ones.
type UseSavedList struct{ Excluded []string }

// ExcludeHosts stops sending requests to more hosts of the saved list.
type ExcludeHosts struct{ Hosts []string }

// AdoptMeasure gives package balance the measure of another router because this router has none.
type AdoptMeasure struct {
	Measure Measure
	From    string // name of the router that reported the measure
	Known   int    // number of reported measures, of which Measure is the median
}

// MeasureMissing reports that this router has asked others for their measures and that no router
// that answered has one. It follows the rounds 1, 2, 4, 8 and so on while the queries continue, and
// the end of the queries unless a measure is adopted.
type MeasureMissing struct {
	Rounds   int      // rounds of queries so far
	Alive    int      // routers in the membership without this one
	Asked    []string // routers asked so far, sorted
	Answered []string // routers of Asked that have announced themselves since they were first asked
	Ended    string   // why the queries have ended, empty while they continue
}

// StageEntered reports that a stage has begun.
type StageEntered struct {
	Stage  Stage
	After  time.Duration // time since the start of the recovery
	Reason string        // why the previous stage ended
}

// OutageClassified reports how far the outage reached.
type OutageClassified struct {
	Outage  Outage
	Replied int // routers of the saved membership that have announced themselves
	Asked   int // routers of the saved membership that were asked
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
