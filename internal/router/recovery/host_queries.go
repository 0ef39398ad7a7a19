package recovery

import (
	"cmp"
	"slices"
	"time"

	"reachspread/internal/router/snapshot"
)

// Until discovery sends a list, a router asks others that have a list from the same discovery which
// hosts of the saved list still get requests. A query has at most MaxTags hosts. The queries go in
// turn to the maxQueriedPeers routers with the newest lists.

// prepareHostQueries divides the ready hosts of the saved list into chunks.
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
	for chunk := range slices.Chunk(tags, MaxTags) {
		d.chunks = append(d.chunks, tagChunk{tags: chunk})
	}
}

// informedPeers returns the names of the routers that have a list from the same discovery: at most
// maxQueriedPeers, the one with the newest list first.
func (d *Decider) informedPeers() (names []string) {
	for name, r := range d.announcements {
		if r.announcement.ListVersion > 0 && r.announcement.ListSource == Source(d.config.Discovery) {
			names = append(names, name)
		}
	}
	version := func(name string) int64 { return d.announcements[name].announcement.ListVersion }
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(version(b), version(a)), cmp.Compare(a, b)) })
	return names[:min(len(names), maxQueriedPeers)]
}

// mayQueryHosts reports whether queries about hosts are possible and needed: the stage Querying is
// over, discovery has not sent a list, and there are both saved hosts to ask about and a router to
// ask.
func (d *Decider) mayQueryHosts() bool {
	return !d.listReceived && d.stage >= Listing && len(d.chunks) > 0 && len(d.informedPeers()) > 0
}

// queryHosts sends a query for each chunk of hosts without a reply. While the saved list is in use,
// it queries all chunks again once all have a reply, until discovery sends a list.
func (d *Decider) queryHosts() {
	if !d.mayQueryHosts() || d.now < d.nextHostQueryAt {
		return
	}
	isOpen := func(c tagChunk) bool { return !c.answered }
	if d.savedListUsed && !slices.ContainsFunc(d.chunks, isOpen) {
		for i := range d.chunks {
			d.chunks[i].answered = false
		}
	}
	peers := d.informedPeers()
	to := d.locate(peers[int(d.now/queryInterval)%len(peers)])
	for _, c := range d.chunks {
		if !c.answered {
			d.actions = append(d.actions, SendQuery{[]snapshot.Router{to}, HostQuery{d.config.Self, c.tags}})
		}
	}
	d.nextHostQueryAt = d.now + queryInterval
	if d.savedListUsed || !slices.ContainsFunc(d.chunks, isOpen) {
		d.nextHostQueryAt = d.now + savedListQueryInterval
	}
}

// nextHostQuery returns when the next queries about hosts are due, 0 for never.
func (d *Decider) nextHostQuery() time.Duration {
	if !d.mayQueryHosts() {
		return 0
	}
	return max(d.nextHostQueryAt, d.now+time.Millisecond)
}

// answerQuery replies to a query of another router if discovery has sent this router a list.
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

// handleReply excludes the hosts that the reply to a query of this router names. It ignores a reply
// whose list came from another discovery or is older than the saved one.
func (d *Decider) handleReply(r HostReply) {
	if d.listReceived || !d.hasSavedList() || r.ListSource != Source(d.config.Discovery) || r.ListVersion < d.config.Saved.List.Version {
		return
	}
	i := slices.IndexFunc(d.chunks, func(c tagChunk) bool { return c.tags[0] == r.FirstTag && len(c.tags) == r.TagCount })
	if i < 0 {
		return
	}
	d.chunks[i].answered = true
	var added []string
	for _, t := range r.Excluded {
		if id, known := d.byTag[t]; known && slices.Contains(d.chunks[i].tags, t) && !d.excluded[id] {
			d.excluded[id] = true
			added = append(added, id)
		}
	}
	if d.savedListUsed && len(added) > 0 {
		slices.Sort(added)
		d.actions = append(d.actions, ExcludeHosts{added})
	}
}

// excludedHosts returns the sorted IDs of the hosts of the saved list that other routers exclude.
func (d *Decider) excludedHosts() (ids []string) {
	for id := range d.excluded {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
