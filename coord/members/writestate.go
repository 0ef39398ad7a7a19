package members

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// WriteState writes all the state on which the future behaviour of the Decider depends, except the
// current time. A model checker (internal/testbed/explorer) uses the output to compare states.
func (d *Decider) WriteState(w io.Writer) {
	random, _ := d.randSource.MarshalBinary()
	fmt.Fprintf(w, "%x|", random)
	d.writeMembers(w)
	d.writeDetection(w)
	d.writeDissemination(w)
	fmt.Fprintf(w, "|%v %v %v %v", d.nextJoinAt, d.joinDeadline, d.nextReconnectAt, d.joiningPeers)
	fmt.Fprintf(w, " %v %v %x %v", d.nameTaken, len(d.reportedConflicts), d.disputed, d.nextDisputeAt)
	fmt.Fprintf(w, " %v %v %v %v", d.shuttingDown, len(d.unpublished), d.deathsDelayedUntil, d.viewVersion)
}

func (d *Decider) writeMembers(w io.Writer) {
	for _, e := range d.entries {
		fmt.Fprintf(w, "%v %v %v;", *e.toMember(), e.readHistory(), e.published)
	}
	fmt.Fprintf(w, "|%v %v", d.sweepIndex, d.digestChangedAt)
}

func (d *Decider) writeDetection(w io.Writer) {
	p := &d.prober
	fmt.Fprintf(w, "|%v %x %v %d %v %v", p.nextAt, p.queue, p.active, p.lastSeq, p.boostUntil, p.missBits)
	fmt.Fprintf(w, " %x %v", p.sentTo[p.lastSeq%pingRingSize], d.recentRTT)
	fmt.Fprintf(w, " %d %v|", d.lastRelay, d.relays[d.lastRelay%maxRelays])
	for _, s := range d.sortedSuspicions() {
		fmt.Fprintf(w, "%x %v %v %v %v", uint64(s.entry.id), s.incarnation, s.startedAt, s.watchedFromStart, s.watching)
		fmt.Fprintf(w, " %v %v %v %v %x;", s.watchingSince, s.lastPingAt, s.rankedAt, s.confirmed, s.confirmations)
	}
	for _, zone := range slices.Sorted(maps.Keys(d.zoneScannedAt)) {
		fmt.Fprintf(w, "%s %v;", zone, d.zoneScannedAt[zone])
	}
	fmt.Fprintf(w, "|%v %v %v %v", d.lastReceivedAt, d.expectedStepAt, d.noAccusationUntil, d.stats.HealthScore)
}

func (d *Decider) writeDissemination(w io.Writer) {
	fmt.Fprintf(w, "|%v %v %v %v", d.pendingUpdates, d.nextFlushAt, d.nextRecordRequestAt, d.nextSyncAt)
	fmt.Fprintf(w, " %v|", d.incarnationRaisedAt)
	for _, id := range slices.SortedFunc(maps.Keys(d.recordRequests), cmp.Compare[memberID]) {
		fmt.Fprintf(w, "%x %v;", uint64(id), d.recordRequests[id])
	}
}
