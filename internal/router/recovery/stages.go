package recovery

import (
	"fmt"
	"slices"
	"time"

	"reachspread/internal/router/snapshot"
)

// Stage is a stage of the recovery. Its number is sent to other routers and exported as a metric.
type Stage uint8

// The stages, in their order.
const (
	Querying       Stage = iota // asking other routers for their announcements
	Listing                     // waiting for discovery's list
	Admitting                   // hosts are warming up; classes are admitted as far as capacity allows
	AwaitingVoters              // waiting until the voters of roles have a leader
	Recovered                   // waiting for nothing more
)

// Stages contains, for each stage, its name, the event that ends it, its time limit, and what
// happens after that limit. The status and the operators' page show these texts.
var Stages = []struct{ Name, Ends, Bound, Past string }{
	{"asking", "half of the last view has answered", "1 s", "goes on with what is known"},
	{"listing", "discovery has spoken", "2 s; 10 s while a peer has a younger list and has not said which hosts it has", "the list of the last life is used, if there is one, but for hosts that get nothing by a peer's"},
	{"admitting", "the listed hosts have 0.95 of their warm capacity", "twice the hosts' warm-up, 20 s where that is not known", "the return goes on; classes are still admitted as hosts go"},
	{"duties", "the voters have a leader", "none; where there is a block duties", "everything else goes on"},
	{"back", "", "", "copies to shadow pools and captures begin with it"},
}

func (s Stage) String() string { return Stages[s].Name }

// advance steps the current stage until no further stage begins. Then it classifies the outage,
// queries other routers about hosts, and adopts or queries a measure, as far as each of these is due.
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

// enter starts a stage. The reason says why the previous one ended.
func (d *Decider) enter(s Stage, reason string) {
	d.stage, d.stageSince = s, d.now
	d.actions = append(d.actions, StageEntered{s, d.now - d.startedAt, reason})
}

// stepQuerying asks the routers of the saved membership for their announcements. The stage ends when
// the number of replies is at least half the size of the membership, which includes this router, when
// all others have replied, or when QueryTimeout has passed.
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

// peersWithoutReply returns the routers of the saved membership that have not announced themselves.
func (d *Decider) peersWithoutReply() (all []snapshot.Router) {
	for _, r := range d.savedPeers {
		if _, announced := d.announcements[r.Name]; !announced {
			all = append(all, r)
		}
	}
	return all
}

// repliesReceived returns how many routers of the saved membership have announced themselves.
func (d *Decider) repliesReceived() int { return len(d.savedPeers) - len(d.peersWithoutReply()) }

// stepListing ends the stage when discovery has sent a list, or when the saved list is due for use.
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

// hasSavedList reports whether there is a saved list that came from the configured discovery.
func (d *Decider) hasSavedList() bool {
	s := d.config.Saved
	return s != nil && s.List != nil && s.ListSource == d.config.Discovery
}

// savedListDeadline returns when the router starts to use the saved list if discovery sends none.
func (d *Decider) savedListDeadline() time.Duration {
	at := d.startedAt + d.config.ListTimeout
	if d.peerHasNewerList() && slices.ContainsFunc(d.chunks, func(c tagChunk) bool { return !c.answered }) {
		at += d.config.StaleListDelay
	}
	return at
}

// peerHasNewerList reports whether another router has announced a newer list from the same discovery
// than the saved one.
func (d *Decider) peerHasNewerList() bool {
	for _, r := range d.announcements {
		if r.announcement.ListSource == Source(d.config.Discovery) && r.announcement.ListVersion > d.config.Saved.List.Version {
			return true
		}
	}
	return false
}

// stepAdmitting ends the stage when the hosts are warm or WarmUpTimeout has passed.
func (d *Decider) stepAdmitting() {
	switch {
	case d.warm:
		d.enter(AwaitingVoters, "the hosts are warm")
	case d.now >= d.stageSince+d.config.WarmUpTimeout:
		d.enter(AwaitingVoters, fmt.Sprintf("the hosts were not warm after %v", d.config.WarmUpTimeout))
	}
}

// Next returns the latest time for the next call of Step, or 0 if only an event needs a call.
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

// earliest returns the earlier of two times; 0 means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
