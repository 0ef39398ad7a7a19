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
func (d *Decider) hosts() {
	d.byTag, d.shunned = map[uint32]string{}, map[string]bool{}
	if !d.has() {
		return
	}
	for _, e := range d.c.Before.List.Servers {
		if e.State == "Ready" && len(d.byTag) < MostHosts {
			d.byTag[Tag(e.ID)] = e.ID
		}
	}
	tags := make([]uint32, 0, len(d.byTag))
	for t := range d.byTag {
		tags = append(tags, t)
	}
	slices.Sort(tags)
	for some := range slices.Chunk(tags, MostTags) {
		d.chunks = append(d.chunks, chunk{tags: some})
	}
}

// knowing are the routers that have a list of the same discovery, the youngest first.
func (d *Decider) knowing() (all []string) {
	for name, h := range d.heard {
		if h.word.Version > 0 && h.word.Source == Source(d.c.Discovery) {
			all = append(all, name)
		}
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.heard[b].word.Version, d.heard[a].word.Version), cmp.Compare(a, b))
	})
	return all[:min(len(all), mostAskers)]
}

// asksHosts tells whether there is anybody to ask about hosts, and anything.
func (d *Decider) asksHosts() bool {
	return !d.spoke && d.stage >= Listing && len(d.chunks) > 0 && len(d.knowing()) > 0
}

// askHosts asks what is not answered yet, and all again once in a while for as long as discovery is silent.
func (d *Decider) askHosts() {
	if !d.asksHosts() || d.now < d.hostsAt {
		return
	}
	if d.used && !slices.ContainsFunc(d.chunks, func(c chunk) bool { return !c.told }) {
		for i := range d.chunks {
			d.chunks[i].told = false
		}
	}
	all := d.knowing()
	to := d.find(all[int(d.now/askEvery)%len(all)])
	open := false
	for _, c := range d.chunks {
		if !c.told {
			open = true
			d.out = append(d.out, Ask{[]snapshot.Router{to}, Question{d.c.Self, c.tags}})
		}
	}
	d.hostsAt = d.now + askEvery
	if !open || d.used {
		d.hostsAt = d.now + askOn
	}
}

// nextHosts is when hosts are asked about again, 0 for never.
func (d *Decider) nextHosts() time.Duration {
	if !d.asksHosts() {
		return 0
	}
	return max(d.hostsAt, d.now+time.Millisecond)
}

// reply answers a question, if discovery has told this router of hosts.
func (d *Decider) reply(q Question) {
	if !d.spoke || len(q.Tags) == 0 || len(q.Tags) > MostTags || q.From == d.c.Self {
		return
	}
	r := Reply{From: d.c.Self, Version: d.listed, Source: Source(d.c.Discovery), First: q.Tags[0], Of: len(q.Tags)}
	for _, t := range q.Tags {
		if !d.serving[t] {
			r.Not = append(r.Not, t)
		}
	}
	d.out = append(d.out, Answer{d.find(q.From), r})
}

// replied takes a reply to a question of this router's. Whoever says that a host gets nothing is believed, if its list is of the same discovery and not
// older than the own one.
func (d *Decider) replied(r Reply) {
	if d.spoke || !d.has() || r.Source != Source(d.c.Discovery) || r.Version < d.c.Before.List.Version {
		return
	}
	i := slices.IndexFunc(d.chunks, func(c chunk) bool { return c.tags[0] == r.First && len(c.tags) == r.Of })
	if i < 0 {
		return
	}
	d.chunks[i].told = true
	var more []string
	for _, t := range r.Not {
		if id, is := d.byTag[t]; is && slices.Contains(d.chunks[i].tags, t) && !d.shunned[id] {
			d.shunned[id] = true
			more = append(more, id)
		}
	}
	if d.used && len(more) > 0 {
		slices.Sort(more)
		d.out = append(d.out, Shun{more})
	}
}

// shuns are the hosts of the last life's list that get nothing.
func (d *Decider) shuns() (all []string) {
	for id := range d.shunned {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// recall takes the middle one of others' measures, if this router has none of its own.
func (d *Decider) recall() {
	if d.recalled || d.measure.Work > 0 {
		return
	}
	var all []Measure
	for _, h := range d.heard {
		if m := h.word.Measure; m.Work > 0 && m.MeanWork > 0 {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return
	}
	slices.SortFunc(all, func(a, b Measure) int {
		return cmp.Or(cmp.Compare(a.Work, b.Work), cmp.Compare(a.MeanWork, b.MeanWork))
	})
	d.recalled = true
	d.out = append(d.out, Recall{all[(len(all)-1)/2]})
}
