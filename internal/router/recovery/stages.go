package recovery

import (
	"fmt"
	"slices"
	"time"

	"reachspread/internal/router/snapshot"
)

// Stage is how far the recovery is. It is on the wire and in figures.
type Stage uint8

// The stages, in their order.
const (
	Querying       Stage = iota // other routers, for what they know
	Listing                     // waiting for discovery's list
	Admitting                   // hosts are warming up: classes are admitted as far as they go
	AwaitingVoters              // for a leader of the voters
	Recovered                   // nothing more is waited for
)

// Stages has each stage's name, what ends it, the bound, and what happens when that passes, as the
// operators' page and figures have them.
var Stages = []struct{ Name, Ends, Bound, Past string }{
	{"asking", "half of the last view has answered", "1 s", "goes on with what is known"},
	{"listing", "discovery has spoken", "2 s; 10 s while a peer has a younger list and has not said which hosts it has", "the list of the last life is used, if there is one, but for hosts that get nothing by a peer's"},
	{"admitting", "the listed hosts have 0.95 of their warm capacity", "twice the hosts' warm-up, 20 s where that is not known", "the return goes on; classes are still admitted as hosts go"},
	{"duties", "the voters have a leader", "none; where there is a block duties", "everything else goes on"},
	{"back", "", "", "copies to shadow pools and captures begin with it"},
}

func (s Stage) String() string { return Stages[s].Name }

// advance does what is due, stage after stage.
func (d *Decider) advance() {
	for {
		before := d.stage
		switch d.stage {
		case Querying:
			d.stepQuerying()
		case Listing:
			d.stepListing()
		case Admitting:
			d.stepAdmitting()
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
	d.queryMeasure()
}

func (d *Decider) enter(s Stage, reason string) {
	d.stage, d.stageSince = s, d.now
	d.actions = append(d.actions, StageEntered{s, d.now - d.startedAt, reason})
}

// stepQuerying asks the saved membership until half of it has replied, this router included, or the
// time-out passes.
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
		d.actions = append(d.actions, Announce{d.peersWithoutReply(), d.announcement(true)})
	}
}

// unheardPeers are the routers of the saved membership that have not announced themselves.
func (d *Decider) peersWithoutReply() (all []snapshot.Router) {
	for _, r := range d.savedPeers {
		if _, announced := d.announcements[r.Name]; !announced {
			all = append(all, r)
		}
	}
	return all
}

// repliesReceived counts the routers of the saved membership that have announced themselves.
func (d *Decider) repliesReceived() int { return len(d.savedPeers) - len(d.peersWithoutReply()) }

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

// hasSavedList reports whether there is a saved list of the discovery that is asked now.
func (d *Decider) hasSavedList() bool {
	s := d.config.Saved
	return s != nil && s.List != nil && s.ListSource == d.config.Discovery
}

// savedListDeadline is when the saved list is used if discovery sends none.
func (d *Decider) savedListDeadline() time.Duration {
	at := d.startedAt + d.config.ListTimeout
	if d.peerHasNewerList() && slices.ContainsFunc(d.chunks, func(c tagChunk) bool { return !c.answered }) {
		at += d.config.StaleListDelay
	}
	return at
}

// peerHasNewerList reports whether a router has a newer list of the same discovery than the saved
// one.
func (d *Decider) peerHasNewerList() bool {
	for _, r := range d.announcements {
		if r.announcement.ListSource == Source(d.config.Discovery) && r.announcement.ListVersion > d.config.Saved.List.Version {
			return true
		}
	}
	return false
}

func (d *Decider) stepAdmitting() {
	switch {
	case d.warm:
		d.enter(AwaitingVoters, "the hosts are warm")
	case d.now >= d.stageSince+d.config.WarmUpTimeout:
		d.enter(AwaitingVoters, fmt.Sprintf("the hosts were not warm after %v", d.config.WarmUpTimeout))
	}
}

// Next returns when Step is to be called at the latest, 0 for never.
func (d *Decider) Next() time.Duration {
	next := earliest(d.nextClassification(), earliest(d.nextHostQuery(), d.nextMeasureQuery()))
	switch d.stage {
	case Querying:
		return min(d.nextQueryAt, d.stageSince+d.config.QueryTimeout)
	case Listing:
		if d.hasSavedList() {
			return earliest(next, d.savedListDeadline())
		}
	case Admitting:
		return earliest(next, d.stageSince+d.config.WarmUpTimeout)
	}
	return next
}

// earliest is the earlier of two times, of which 0 is never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
