package recovery

import (
	"slices"
	"time"

	"reachspread/internal/router/snapshot"
)

// Decider is one router's recovery.
type Decider struct {
	config     Config
	startedAt  time.Duration
	now        time.Duration
	stage      Stage
	stageSince time.Duration
	actions    []Action // of the present Step

	// Other routers.
	savedPeers    []snapshot.Router // of the saved membership without this router, MaxPeers at most
	alive         []snapshot.Router
	announcements map[string]receivedAnnouncement // by router, 2*MaxPeers at most
	nextQueryAt   time.Duration
	outage        Outage // empty until it is classified

	// Hosts.
	listVersion     int64 // of discovery's
	listReceived    bool
	savedListUsed   bool
	serving         map[uint32]bool   // hosts of discovery's list, by tag
	byTag           map[uint32]string // hosts of the saved list that got requests
	chunks          []tagChunk        // of these, as queries have them
	nextHostQueryAt time.Duration
	excluded        map[string]bool // hosts of the saved list
	warm            bool
	votersLed       bool

	// What a warm host does.
	measure      Measure // own, of this process or the last one
	adopted      bool    // another router's measure was
	measureQuery measureQuery
}

// tagChunk is the hosts of one query.
type tagChunk struct {
	tags     []uint32
	answered bool // since it was sent last
}

type receivedAnnouncement struct {
	announcement Announcement
	at           time.Duration
}

// New returns a Decider that starts now. Its first actions are those of the first Step.
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

// Step takes in one event, and returns what is to be done.
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

// announcement is what this router tells of itself.
func (d *Decider) announcement(wantsReply bool) Announcement {
	return Announcement{WantsReply: wantsReply, From: d.config.Self, Boot: d.config.Boot, Uptime: d.now - d.startedAt, ListVersion: d.listVersion,
		ListSource: Source(d.config.Discovery), Stage: d.stage, Measure: d.measure}
}

// handleAnnouncement takes in an announcement, and replies to one that wants a reply.
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

// locate returns where a router is: as the membership has it, or else the saved one.
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

func (d *Decider) handleList(e ListReceived) {
	d.listReceived, d.listVersion = true, e.Version
	d.serving = map[uint32]bool{}
	for _, id := range e.Serving[:min(len(e.Serving), MaxHosts)] {
		d.serving[Tag(id)] = true
	}
}

// Status is what a Decider shows of itself.
type Status struct {
	Stage         Stage
	StageFor      time.Duration // the time in the stage so far
	Uptime        time.Duration
	Outage        Outage
	Replied       int // routers of the saved membership
	Asked         int
	SavedListUsed bool
	Damaged       []string // as in the Config
	AwaitedEvent  string   // what ends the stage
	HasSaved      bool     // a snapshot was there
}

// Status returns how things are at a time.
func (d *Decider) Status(now time.Duration) Status {
	return Status{Stage: d.stage, StageFor: now - d.stageSince, Uptime: now - d.startedAt, Outage: d.outage, Replied: d.repliesReceived(), Asked: len(d.savedPeers),
		SavedListUsed: d.savedListUsed, Damaged: slices.Clone(d.config.Damaged), AwaitedEvent: Stages[d.stage].Ends, HasSaved: d.config.Saved != nil}
}
