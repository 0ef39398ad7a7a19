package recovery

import (
	"slices"
	"time"

	"reachspread/internal/router/snapshot"
)

// Decider is the state machine for the recovery of one router after its start.
type Decider struct {
	config     Config
	startedAt  time.Duration
	now        time.Duration
	stage      Stage
	stageSince time.Duration
	actions    []Action // actions of the current Step so far

	// Other routers.
	savedPeers    []snapshot.Router               // saved membership without this router, at most MaxPeers
	alive         []snapshot.Router               // latest Membership event
	announcements map[string]receivedAnnouncement // latest of each router, at most 2*MaxPeers routers
	nextQueryAt   time.Duration
	outage        Outage // empty until it is classified

	// Hosts.
	listVersion     int64 // version of the list from discovery
	listReceived    bool  // discovery has sent a list
	savedListUsed   bool
	serving         map[uint32]bool   // hosts that get requests according to discovery's list, by tag
	byTag           map[uint32]string // ready hosts of the saved list: IDs by tag
	chunks          []tagChunk        // the tags of byTag, divided among queries
	nextHostQueryAt time.Duration
	excluded        map[string]bool // hosts of the saved list that get no requests, by ID
	warm            bool            // the listed hosts are warm
	votersLed       bool            // the voters of roles have a leader

	// Measures of a warm host's work.
	measure      Measure // measured by this process or the previous one
	adopted      bool    // the measure of another router was adopted
	measureQuery measureQuery
}

// tagChunk contains the tags of the hosts in one query.
type tagChunk struct {
	tags     []uint32
	answered bool // a router has replied to the query; reset when all chunks are queried again
}

// receivedAnnouncement is an announcement of another router and the time of its receipt.
type receivedAnnouncement struct {
	announcement Announcement
	at           time.Duration
}

// New returns a Decider whose recovery starts now. The first Step returns its first actions.
func New(c Config, now time.Duration) (*Decider, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	d := &Decider{config: c, startedAt: now, now: now, stageSince: now, nextQueryAt: now, announcements: map[string]receivedAnnouncement{}}
	if c.Saved != nil {
		for _, r := range c.Saved.Routers {
			if r.Name != c.Self && len(d.savedPeers) < MaxPeers {
				d.savedPeers = append(d.savedPeers, r)
			}
		}
		if l := c.Saved.Learned; l != nil {
			d.measure = MeasureOf(*l)
		}
	}
	d.prepareHostQueries()
	return d, nil
}

// Step processes one event and returns the actions that the caller must carry out.
func (d *Decider) Step(now time.Duration, e Event) []Action {
	d.now = max(now, d.now)
	switch e := e.(type) {
	case AnnouncementReceived:
		d.handleAnnouncement(e.Announcement)
	case Membership:
		d.alive = e.Routers
	case ListReceived:
		d.handleList(e)
	case QueryReceived:
		d.answerQuery(e.Query)
	case ReplyReceived:
		d.handleReply(e.Reply)
	case MeasureLearned:
		d.measure = e.Measure
	case HostsWarm:
		d.warm = e.Warm
	case VotersLed:
		d.votersLed = e.Led
	}
	d.advance()
	out := d.actions
	d.actions = nil
	return out
}

// announcement returns the announcement of this router's current state.
func (d *Decider) announcement(wantsReply bool) Announcement {
	return Announcement{WantsReply: wantsReply, From: d.config.Self, Boot: d.config.Boot, Uptime: d.now - d.startedAt, ListVersion: d.listVersion,
		ListSource: Source(d.config.Discovery), Stage: d.stage, Measure: d.measure}
}

// handleAnnouncement stores the announcement of another router and replies if it wants a reply.
func (d *Decider) handleAnnouncement(a Announcement) {
	if a.From == d.config.Self {
		return
	}
	if _, known := d.announcements[a.From]; known || len(d.announcements) < 2*MaxPeers {
		d.announcements[a.From] = receivedAnnouncement{a, d.now}
	}
	if a.WantsReply {
		d.actions = append(d.actions, Announce{[]snapshot.Router{d.locate(a.From)}, d.announcement(false)})
	}
}

// locate returns a router with its address from the current membership, or else from the saved one.
// The address is empty for a router in neither.
func (d *Decider) locate(name string) snapshot.Router {
	for _, routers := range [][]snapshot.Router{d.alive, d.savedPeers} {
		for _, r := range routers {
			if r.Name == name {
				return r
			}
		}
	}
	return snapshot.Router{Name: name}
}

// handleList stores which hosts get requests according to discovery's list.
func (d *Decider) handleList(e ListReceived) {
	d.listReceived, d.listVersion = true, e.Version
	d.serving = map[uint32]bool{}
	for _, id := range e.Serving[:min(len(e.Serving), MaxHosts)] {
		d.serving[Tag(id)] = true
	}
}

// Status is the state of a Decider for operators.
type Status struct {
	Stage         Stage
	StageFor      time.Duration // time spent in the stage so far
	Uptime        time.Duration
	Outage        Outage
	Replied       int // routers of the saved membership that have announced themselves
	Asked         int // routers of the saved membership that are asked
	SavedListUsed bool
	Damaged       []string // as in Config
	AwaitedEvent  string   // event that ends the stage
	HasSaved      bool     // the previous process left a readable snapshot
}

// Status returns the state of the recovery at the given time.
func (d *Decider) Status(now time.Duration) Status {
	return Status{Stage: d.stage, StageFor: now - d.stageSince, Uptime: now - d.startedAt, Outage: d.outage, Replied: d.repliesReceived(), Asked: len(d.savedPeers),
		SavedListUsed: d.savedListUsed, Damaged: slices.Clone(d.config.Damaged), AwaitedEvent: Stages[d.stage].Ends, HasSaved: d.config.Saved != nil}
}
