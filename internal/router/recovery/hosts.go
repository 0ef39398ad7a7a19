package recovery

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/internal/router/snapshot"
)

// While discovery is silent, what hosts of the last life's list still get requests is asked of routers that have a list of the same discovery: one datagram for
// MostTags hosts, to the one with the youngest list, by turns with the next ones.

// Tag is the short name of a host in questions and replies.
func Tag(id string) uint32 { return uint32(xxhash.Sum64String(id) >> 32) }

// hosts prepares what there is to ask.
func (d *Decider) prepareHostQueries() {
	d.byTag, d.excluded = map[uint32]string{}, map[string]bool{}
	if !d.hasSavedList() {
		return
	}
	for _, e := range d.config.Saved.List.Servers {
		if e.State == "Ready" && len(d.byTag) < MaxHosts {
			d.byTag[Tag(e.ID)] = e.ID
		}
	}
	tags := make([]uint32, 0, len(d.byTag))
	for t := range d.byTag {
		tags = append(tags, t)
	}
	slices.Sort(tags)
	for some := range slices.Chunk(tags, MaxTags) {
		d.chunks = append(d.chunks, tagChunk{tags: some})
	}
}

// knowing are the routers that have a list of the same discovery, the youngest first.
func (d *Decider) informedPeers() (all []string) {
	for name, h := range d.announcements {
		if h.announcement.ListVersion > 0 && h.announcement.ListSource == Source(d.config.Discovery) {
			all = append(all, name)
		}
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.announcements[b].announcement.ListVersion, d.announcements[a].announcement.ListVersion), cmp.Compare(a, b))
	})
	return all[:min(len(all), maxQueriedPeers)]
}

// asksHosts tells whether there is anybody to ask about hosts, and anything.
func (d *Decider) mayQueryHosts() bool {
	return !d.listReceived && d.stage >= Listing && len(d.chunks) > 0 && len(d.informedPeers()) > 0
}

// askHosts asks what is not answered yet, and all again once in a while for as long as discovery is silent.
func (d *Decider) queryHosts() {
	if !d.mayQueryHosts() || d.now < d.nextHostQueryAt {
		return
	}
	if d.savedListUsed && !slices.ContainsFunc(d.chunks, func(c tagChunk) bool { return !c.answered }) {
		for i := range d.chunks {
			d.chunks[i].answered = false
		}
	}
	all := d.informedPeers()
	to := d.locate(all[int(d.now/queryInterval)%len(all)])
	open := false
	for _, c := range d.chunks {
		if !c.answered {
			open = true
			d.actions = append(d.actions, SendQuery{[]snapshot.Router{to}, HostQuery{d.config.Self, c.tags}})
		}
	}
	d.nextHostQueryAt = d.now + queryInterval
	if !open || d.savedListUsed {
		d.nextHostQueryAt = d.now + savedListQueryInterval
	}
}

// nextHosts is when hosts are asked about again, 0 for never.
func (d *Decider) nextHostQuery() time.Duration {
	if !d.mayQueryHosts() {
		return 0
	}
	return max(d.nextHostQueryAt, d.now+time.Millisecond)
}

// reply answers a question, if discovery has told this router of hosts.
func (d *Decider) answerQuery(q HostQuery) {
	if !d.listReceived || len(q.Tags) == 0 || len(q.Tags) > MaxTags || q.From == d.config.Self {
		return
	}
	r := HostReply{From: d.config.Self, ListVersion: d.listVersion, ListSource: Source(d.config.Discovery), FirstTag: q.Tags[0], TagCount: len(q.Tags)}
	for _, t := range q.Tags {
		if !d.serving[t] {
			r.Excluded = append(r.Excluded, t)
		}
	}
	d.actions = append(d.actions, SendReply{d.locate(q.From), r})
}

// replied takes a reply to a question of this router's. Whoever says that a host gets nothing is believed, if its list is of the same discovery and not
// older than the own one.
func (d *Decider) handleReply(r HostReply) {
	if d.listReceived || !d.hasSavedList() || r.ListSource != Source(d.config.Discovery) || r.ListVersion < d.config.Saved.List.Version {
		return
	}
	i := slices.IndexFunc(d.chunks, func(c tagChunk) bool { return c.tags[0] == r.FirstTag && len(c.tags) == r.TagCount })
	if i < 0 {
		return
	}
	d.chunks[i].answered = true
	var more []string
	for _, t := range r.Excluded {
		if id, is := d.byTag[t]; is && slices.Contains(d.chunks[i].tags, t) && !d.excluded[id] {
			d.excluded[id] = true
			more = append(more, id)
		}
	}
	if d.savedListUsed && len(more) > 0 {
		slices.Sort(more)
		d.actions = append(d.actions, ExcludeHosts{more})
	}
}

// shuns are the hosts of the last life's list that get nothing.
func (d *Decider) excludedHosts() (all []string) {
	for id := range d.excluded {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// recall takes the middle one of others' measures, if this router has none of its own.
func (d *Decider) adoptMeasure() {
	if d.adopted || d.measure.HostWork > 0 {
		return
	}
	var all []Measure
	for _, h := range d.announcements {
		if m := h.announcement.Measure; m.HostWork > 0 && m.RequestWork > 0 {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return
	}
	slices.SortFunc(all, func(a, b Measure) int {
		return cmp.Or(cmp.Compare(a.HostWork, b.HostWork), cmp.Compare(a.RequestWork, b.RequestWork))
	})
	d.adopted = true
	d.actions = append(d.actions, AdoptMeasure{all[(len(all)-1)/2]})
}
