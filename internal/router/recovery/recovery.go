package recovery

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/internal/router/snapshot"
)

// Decider is a router's return.
type Decider struct {
	config        Config
	startedAt     time.Duration
	now           time.Duration
	stage         Stage
	stageSince    time.Duration // of the stage
	nextQueryAt   time.Duration
	savedPeers    []snapshot.Router // of the last view, others alone
	alive         []snapshot.Router
	announcements map[string]receivedAnnouncement
	outage        Outage
	listVersion   int64
	listReceived  bool
	votersLed     bool
	savedListUsed bool // the list of the last life
	actions       []Action

	serving         map[uint32]bool   // hosts by discovery's list, by tag
	byTag           map[uint32]string // hosts of the last life's list that got requests
	chunks          []tagChunk        // of these, as they are asked about
	nextHostQueryAt time.Duration     // when to ask next
	excluded        map[string]bool
	measure         Measure // own, of this life or the last one
	adopted         bool    // another's was taken
	warm            bool
}

// chunk is some hosts that are asked about in one question.
type tagChunk struct {
	tags     []uint32
	answered bool // by somebody, since it was asked about
}

type receivedAnnouncement struct {
	announcement Announcement
	at           time.Duration
}

// New returns a Decider that starts now. The first actions are those of the first Step.
func New(c Config, now time.Duration) (*Decider, error) {
	if c.Self == "" || len(c.Self) > MaxNameBytes {
		return nil, fmt.Errorf("router %q: a name has 1 to %d bytes", c.Self, MaxNameBytes)
	}
	for _, x := range []struct {
		of *time.Duration
		to time.Duration
	}{{&c.QueryTimeout, time.Second}, {&c.ListTimeout, 2 * time.Second}, {&c.StaleListDelay, 8 * time.Second}, {&c.WarmUpTimeout, 20 * time.Second}} {
		*x.of = cmp.Or(*x.of, x.to)
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

// Source is what stands for a discovery's address in words.
func Source(address string) uint64 { return xxhash.Sum64String(address) }

// word is what this router tells of itself.
func (d *Decider) announcement(asks bool) Announcement {
	return Announcement{WantsReply: asks, From: d.config.Self, Boot: d.config.Boot, Uptime: d.now - d.startedAt, ListVersion: d.listVersion, ListSource: Source(d.config.Discovery), Stage: d.stage, Measure: d.measure}
}

// Step takes one event, and returns what is to be done.
func (d *Decider) Step(now time.Duration, e Event) []Action {
	d.now = max(now, d.now)
	switch e := e.(type) {
	case AnnouncementReceived:
		d.handleAnnouncement(e.Announcement)
	case Membership:
		d.alive = e.Routers
	case ListReceived:
		d.listReceived, d.listVersion = true, e.Version
		d.serving = map[uint32]bool{}
		for _, id := range e.Serving[:min(len(e.Serving), MaxHosts)] {
			d.serving[Tag(id)] = true
		}
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

// hear takes a word, and answers one that asks.
func (d *Decider) handleAnnouncement(w Announcement) {
	if w.From == d.config.Self {
		return
	}
	if _, known := d.announcements[w.From]; known || len(d.announcements) < 2*MaxPeers {
		d.announcements[w.From] = receivedAnnouncement{w, d.now}
	}
	if w.WantsReply {
		d.actions = append(d.actions, Announce{[]snapshot.Router{d.locate(w.From)}, d.announcement(false)})
	}
}

// find is where a router is: as the view has it, or else as the last life had.
func (d *Decider) locate(name string) snapshot.Router {
	for _, all := range [][]snapshot.Router{d.alive, d.savedPeers} {
		for _, r := range all {
			if r.Name == name {
				return r
			}
		}
	}
	return snapshot.Router{Name: name}
}

// goOn does what is due, stage after stage.
func (d *Decider) advance() {
	for {
		before := d.stage
		switch d.stage {
		case Querying:
			d.stepQuerying()
		case Listing:
			d.stepListing()
		case Admitting:
			switch {
			case d.warm:
				d.enter(AwaitingVoters, "the hosts are warm")
			case d.now >= d.stageSince+d.config.WarmUpTimeout:
				d.enter(AwaitingVoters, fmt.Sprintf("the hosts were not warm after %v", d.config.WarmUpTimeout))
			}
		case AwaitingVoters:
			if d.votersLed || !d.config.HasRoles {
				d.enter(Recovered, "the voters have a leader")
			}
		}
		if d.stage == before {
			break
		}
	}
	d.classifyOutage()
	d.queryHosts()
	d.adoptMeasure()
}

func (d *Decider) enter(s Stage, why string) {
	d.stage, d.stageSince = s, d.now
	d.actions = append(d.actions, StageEntered{s, d.now - d.startedAt, why})
}

// asking asks the last view until half of it has answered, or the bound passes.
func (d *Decider) stepQuerying() {
	n := d.repliesReceived()
	switch {
	case len(d.savedPeers) == 0:
		d.enter(Listing, "there is nobody to ask")
	case 2*n >= len(d.savedPeers)+1 || n == len(d.savedPeers):
		d.enter(Listing, fmt.Sprintf("%d of %d have answered", n, len(d.savedPeers)))
	case d.now >= d.stageSince+d.config.QueryTimeout:
		d.enter(Listing, fmt.Sprintf("only %d of %d have answered", n, len(d.savedPeers)))
	case d.now >= d.nextQueryAt:
		d.nextQueryAt = d.now + queryInterval
		var to []snapshot.Router
		for _, r := range d.savedPeers {
			if _, has := d.announcements[r.Name]; !has {
				to = append(to, r)
			}
		}
		d.actions = append(d.actions, Announce{to, d.announcement(true)})
	}
}

// answers counts those of the last view that were heard.
func (d *Decider) repliesReceived() (n int) {
	for _, r := range d.savedPeers {
		if _, has := d.announcements[r.Name]; has {
			n++
		}
	}
	return n
}

// found says whose loss it was, once all have answered or the bound for it has passed. Later words change nothing.
func (d *Decider) classifyOutage() {
	n := d.repliesReceived()
	if d.outage != "" || n < len(d.savedPeers) && d.now < d.startedAt+d.config.QueryTimeout {
		return
	}
	old, just := 0, 0
	for _, r := range d.savedPeers {
		if h, has := d.announcements[r.Name]; has {
			if r.Boot != 0 && h.announcement.Boot == r.Boot { // the process that it was
				old++
			} else {
				just++
			}
		}
	}
	switch {
	case d.config.Saved == nil:
		d.outage = FirstStart
	case 2*n < len(d.savedPeers) || len(d.savedPeers) == 0:
		d.outage = UnknownOutage
	case old == 0:
		d.outage = AllRouters
	case just == 0:
		d.outage = ThisRouter
	default:
		d.outage = SomeRouters
	}
	d.actions = append(d.actions, OutageClassified{d.outage, n, len(d.savedPeers)})
}

// younger tells whether a router that was heard has a younger list of the same discovery than the last life had.
func (d *Decider) peerHasNewerList() bool {
	for _, h := range d.announcements {
		if h.announcement.ListSource == Source(d.config.Discovery) && h.announcement.ListVersion > d.config.Saved.List.Version {
			return true
		}
	}
	return false
}

func (d *Decider) stepListing() {
	switch {
	case d.listReceived:
		d.enter(Admitting, fmt.Sprintf("discovery has spoken, of version %d", d.listVersion))
	case d.hasSavedList() && d.now >= d.savedListDeadline():
		d.savedListUsed = true
		d.actions = append(d.actions, UseSavedList{d.excludedHosts()})
		d.enter(Admitting, fmt.Sprintf("discovery has said nothing for %v", d.savedListDeadline()-d.startedAt))
	}
}

// has tells whether the last life left a list of the discovery that is asked now.
func (d *Decider) hasSavedList() bool {
	return d.config.Saved != nil && d.config.Saved.List != nil && d.config.Saved.ListSource == d.config.Discovery
}

// listBy is when that list is used if discovery says nothing. A peer's younger one makes it doubtful until the peer has said which hosts it has.
func (d *Decider) savedListDeadline() time.Duration {
	at := d.startedAt + d.config.ListTimeout
	if d.peerHasNewerList() && slices.ContainsFunc(d.chunks, func(c tagChunk) bool { return !c.answered }) {
		at += d.config.StaleListDelay
	}
	return at
}

// Next is when Step is to be called at the latest, 0 for never.
func (d *Decider) Next() time.Duration {
	switch d.stage {
	case Querying:
		return min(d.nextQueryAt, d.stageSince+d.config.QueryTimeout)
	case Listing:
		if d.hasSavedList() {
			return earliest(d.nextClassification(), earliest(d.savedListDeadline(), d.nextHostQuery()))
		}
	case Admitting:
		return earliest(d.nextClassification(), earliest(d.stageSince+d.config.WarmUpTimeout, d.nextHostQuery()))
	}
	return earliest(d.nextClassification(), d.nextHostQuery())
}

// nextFound is when it is said whose loss it was, at the latest; 0 once it is.
func (d *Decider) nextClassification() time.Duration {
	if d.outage != "" {
		return 0
	}
	return d.startedAt + d.config.QueryTimeout
}

// soonest is the earlier of two times, of which 0 is never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Standing is what a Decider shows of itself.
type Status struct {
	Stage         Stage
	StageFor      time.Duration // in the stage
	Uptime        time.Duration
	Outage        Outage
	Heard         int
	Asked         int
	SavedListUsed bool // the list of the last life was used
	Damaged       []string
	AwaitedEvent  string
	HasSaved      bool
}

// Standing returns how things are at a time.
func (d *Decider) Status(now time.Duration) Status {
	return Status{Stage: d.stage, StageFor: now - d.stageSince, Uptime: now - d.startedAt, Outage: d.outage, Heard: d.repliesReceived(), Asked: len(d.savedPeers), SavedListUsed: d.savedListUsed,
		Damaged: slices.Clone(d.config.Damaged), AwaitedEvent: Stages[d.stage].Ends, HasSaved: d.config.Saved != nil}
}
