package members

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// WriteState writes all that this decider's behaviour from now on depends on, but for the present time: the explorer tells
// states apart by it.
func (d *Decider) WriteState(w io.Writer) {
	chance, _ := d.src.MarshalBinary()
	fmt.Fprintf(w, "%x|%v %v %v %v %v %v %v %v|", chance, d.joinAt, d.joinUntil, d.greetAt, d.leaving, d.heard, d.changed, d.swept, d.met)
	for _, e := range d.list {
		fmt.Fprintf(w, "%v %v %v %v %v %x %v;", *e.member(), e.has().calm, e.has().calms, e.has().spare, e.has().spares, uint64(e.has().through), e.told)
	}
	p := &d.probe
	fmt.Fprintf(w, "|%v %x %v %d %v %v %x|", p.at, p.round, p.runs, p.seq, p.boost, p.misses, p.whom[p.seq%lastPings])
	for _, s := range d.ordered() {
		fmt.Fprintf(w, "%x %v %v %v %v %v %v %v %v %x;", uint64(s.e.ref), s.inc, s.began, s.mine, s.follow, s.own, s.pinged, s.ranked, s.said, s.by)
	}
	fmt.Fprintf(w, "|%v %v %v %v %x %v|", d.rtt, d.fresh, d.flushAt, d.wantAt, d.doubted, d.challengeAt)
	for _, r := range slices.SortedFunc(maps.Keys(d.wants), cmp.Compare[ref]) {
		fmt.Fprintf(w, "%x %v;", uint64(r), d.wants[r])
	}
	for _, z := range slices.Sorted(maps.Keys(d.doubtful)) {
		fmt.Fprintf(w, "%s %v;", z, d.doubtful[z])
	}
	fmt.Fprintf(w, "|%d %v %v %v %d %v %v %v", d.relay, d.relays[d.relay%mostRelays], d.syncAt, d.heldAt, d.views, d.taken, d.expect, d.mute)
	fmt.Fprintf(w, " %v %d %d %d", d.past, d.figures.Health, len(d.touched), len(d.refusal))
}
