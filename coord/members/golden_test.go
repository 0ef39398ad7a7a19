package members

import (
	"encoding/binary"
	"fmt"
	"hash"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/internal/testbed/golden"
)

// tracedFleet is a set of Deciders that share a virtual clock, with a trace of all their actions.
// The network delivers a datagram after 5 ms.
type tracedFleet struct {
	t        *testing.T
	now      time.Duration
	deciders map[netip.AddrPort]*Decider
	isLost   func(from, to netip.AddrPort) bool // whether the network loses datagrams between two addresses
	queue    []tracedDatagram                   // datagrams in transit
	trace    hash.Hash64                        // hash of all datagrams sent
	samples  map[messageType][]golden.Record    // sample datagrams of each type
	changes  strings.Builder                    // one line for each action other than Send
}

// tracedDatagram is a datagram in transit.
type tracedDatagram struct {
	arrivesAt time.Duration
	from, to  netip.AddrPort
	data      []byte
}

const samplesPerType = 4 // at most, each of a different length

// newTracedFleet returns an empty fleet whose network loses no datagrams.
func newTracedFleet(t *testing.T) *tracedFleet {
	return &tracedFleet{t: t, deciders: map[netip.AddrPort]*Decider{}, isLost: func(_, _ netip.AddrPort) bool { return false }, trace: xxhash.New(), samples: map[messageType][]golden.Record{}}
}

// start starts a member and steps it once. It replaces an earlier member at the same address.
func (x *tracedFleet) start(c Config) {
	x.t.Helper()
	d, err := New(c, x.now)
	if err != nil {
		x.t.Fatal(err)
	}
	x.deciders[c.Addr] = d
	x.step(c.Addr, Tick{})
}

// step passes an event to the Decider at an address and traces its actions.
func (x *tracedFleet) step(at netip.AddrPort, e Event) {
	for _, a := range x.deciders[at].Step(x.now, e) {
		if s, ok := a.(Send); ok {
			x.sent(at, s)
			continue
		}
		fmt.Fprintf(&x.changes, "%v %v %s\n", x.now, at, actionText(a))
	}
}

// actionText describes an action in the words of the golden file, which do not depend on names in
// the code.
func actionText(a Action) string {
	switch a := a.(type) {
	case Changed:
		text := fmt.Sprintf("view %d %x:", a.Version, a.Digest)
		for _, c := range a.Changes {
			text += fmt.Sprintf(" %s %v/%d/%x %q", c.Member.Name, uint8(c.Member.State), c.Member.Incarnation, c.Member.Boot, string(c.Reason))
		}
		return text
	case NameConflict:
		return fmt.Sprintf("refused %s at %v", a.Name, a.Addr)
	case LocalNameTaken:
		return fmt.Sprintf("name taken by %v", a.By)
	}
	return fmt.Sprintf("%v", a)
}

// sent adds a datagram to the trace and the samples, and to the queue unless the network loses it.
func (x *tracedFleet) sent(from netip.AddrPort, s Send) {
	fmt.Fprintf(x.trace, "%d %v %v %x\n", x.now, from, s.To, s.Data)
	msgType := messageType(s.Data[0] & 0x0f)
	all := x.samples[msgType]
	if len(all) < samplesPerType && !slices.ContainsFunc(all, func(r golden.Record) bool { return len(r.Data) == len(s.Data) }) {
		name := fmt.Sprintf("kind-%d-sample-%d-at-%v-from-%v-to-%v", msgType, len(all), x.now, from, s.To)
		x.samples[msgType] = append(all, golden.Record{Name: name, Data: slices.Clone(s.Data)})
	}
	if x.deciders[s.To] != nil && !x.isLost(from, s.To) {
		x.queue = append(x.queue, tracedDatagram{x.now + 5*ms, from, s.To, s.Data})
	}
}

// run advances the clock by d, delivers datagrams and steps the Deciders that are due.
func (x *tracedFleet) run(d time.Duration) {
	for end := x.now + d; x.now < end; x.now += ms {
		for len(x.queue) > 0 && x.queue[0].arrivesAt <= x.now {
			m := x.queue[0]
			x.queue = x.queue[1:]
			if x.deciders[m.to] != nil {
				x.step(m.to, Received{m.from, m.data})
			}
		}
		for _, a := range slices.SortedFunc(mapKeys(x.deciders), netip.AddrPort.Compare) {
			if x.deciders[a].Next() <= x.now {
				x.step(a, Tick{})
			}
		}
	}
}

// zoned returns the Config of member n in the given zone.
func zoned(n int, zone string, seeds ...int) Config {
	c := config(n, seeds...)
	c.Zone, c.Version = zone, "1.2"
	return c
}

// The history of a small fleet has the same datagrams and views as at commit 5bfcc27. It contains a
// broken link, a network partition, a crash, restarts, a name conflict and a leave, and covers
// every type of datagram. A different decision or a different random draw changes the history.
func TestHistoryKeepsItsDatagrams(t *testing.T) {
	x := newTracedFleet(t)
	for n := 1; n <= 7; n++ {
		x.start(zoned(n, []string{"north", "south"}[n%2], 1, 2, 3))
		x.run(100 * ms)
	}
	x.run(5 * time.Second)
	x.isLost = func(from, to netip.AddrPort) bool {
		return from == addr(7) && to == addr(1) || from == addr(1) && to == addr(7)
	}
	x.run(8 * time.Second)
	inMinority := func(a netip.AddrPort) bool { return a.Addr().As4()[3] > 4 }
	x.isLost = func(from, to netip.AddrPort) bool { return inMinority(from) != inMinority(to) }
	x.run(10 * time.Second)
	x.isLost = func(_, _ netip.AddrPort) bool { return false }
	x.run(10 * time.Second)
	delete(x.deciders, addr(5))
	x.run(10 * time.Second)
	restarted := zoned(5, "south", 1, 2)
	restarted.Boot = 1005
	x.start(restarted)
	restarted = zoned(4, "north", 1, 2)
	restarted.Boot = 1004
	x.start(restarted)
	claimant := zoned(9, "north", 1, 2, 3)
	claimant.Name = "r1"
	x.start(claimant)
	successor := zoned(4, "north", 1)
	successor.Name, successor.Boot = "r8", 1008
	x.run(3 * time.Second)
	x.start(successor)
	x.run(5 * time.Second)
	x.step(addr(3), Leave{})
	x.run(time.Second)
	delete(x.deciders, addr(3))
	x.step(addr(6), Leave{Replaced: true})
	x.run(5 * time.Second)
	var records []golden.Record
	for msgType := range messageTypes {
		if len(x.samples[msgType]) == 0 {
			t.Errorf("the history contains no datagram of message type %d", msgType)
		}
		records = append(records, x.samples[msgType]...)
	}
	records = append(records, golden.Record{Name: "hash-of-all", Data: x.trace.Sum(nil)})
	golden.Check(t, "history", records)
	golden.CheckText(t, "history.views", x.changes.String())
}

// goldenUpdates returns updates of every state that an update can have.
func goldenUpdates() []update {
	return []update{
		{id: idOf("router-1"), state: Alive, incarnation: 1, bootLow: 0xfedc},
		{id: idOf("router-2"), state: Suspected, incarnation: 300, reporter: idOf("router-1")},
		{id: idOf("router-2"), state: Suspected, incarnation: 1<<32 - 1, reporter: idOf("router-3"), confirms: true},
		{id: idOf("router-4"), state: Dead, incarnation: 70_000},
		{id: idOf("router-5"), state: Left, incarnation: 2},
	}
}

// goldenRecords returns members whose records the golden file contains.
func goldenRecords() []Member {
	return []Member{
		{Name: "router-1", Zone: "north", Version: "1.2", Addr: netip.MustParseAddrPort("10.1.2.3:7946"), Incarnation: 1 << 20, Boot: 0xfedcba98, State: Alive},
		{Name: "r", Addr: netip.MustParseAddrPort("127.0.0.1:65535"), Incarnation: 1, Boot: 1, State: Joining},
	}
}

// Updates, records and the elements of other datagrams are encoded to the same bytes as at commit
// 5bfcc27, and those bytes are decoded to the original values.
func TestUpdatesAndRecordsKeepTheirBytes(t *testing.T) {
	updates, records := newDatagram(updatesMsg), newDatagram(recordsMsg)
	for _, u := range goldenUpdates() {
		updates = appendUpdate(updates, u)
	}
	members := goldenRecords()
	for i := range members {
		records = appendRecord(records, &members[i])
	}
	indirectPing := binary.BigEndian.AppendUint16(newDatagram(indirectPingMsg), 0xfedc)
	indirectPing = binary.BigEndian.AppendUint32(appendAddr(indirectPing, members[0].Addr), members[0].Boot)
	data := golden.Check(t, "wordsandcards", []golden.Record{
		{Name: "words", Data: appendChecksum(updates)},
		{Name: "cards", Data: appendChecksum(records)},
		{Name: "ask", Data: appendChecksum(indirectPing)},
		{Name: "refused", Data: appendChecksum(appendText(newDatagram(nameTakenMsg), "router-1"))},
		{Name: "path", Data: appendChecksum(appendPath(newDatagram(syncRequestMsg), []byte{1, 15, 0}))},
	})
	read := func(name string, want messageType) *reader {
		t.Helper()
		msgType, body, err := parseDatagram(data[name])
		if err != nil || msgType != want {
			t.Errorf("golden datagram %s has message type %d, want %d (error %v)", name, msgType, want, err)
		}
		return &reader{rest: body}
	}
	if got := read("words", updatesMsg).updates(); !reflect.DeepEqual(got, goldenUpdates()) {
		t.Errorf("decoded updates are %+v, want %+v", got, goldenUpdates())
	}
	r := read("cards", recordsMsg)
	for _, want := range members {
		if got := r.record(); !reflect.DeepEqual(got, want) || r.err != nil {
			t.Errorf("decoded record is %+v, want %+v (error %v)", got, want, r.err)
		}
	}
	r = read("ask", indirectPingMsg)
	if seq, target, boot := r.u16(), r.addr(), r.u32(); seq != 0xfedc || target != members[0].Addr || boot != members[0].Boot || r.err != nil || r.hasMore() {
		t.Errorf("decoded indirect ping has sequence number %x, target %v, boot number %x (error %v), or bytes are left", seq, target, boot, r.err)
	}
	if name := read("refused", nameTakenMsg).text(MaxNameLen); name != "router-1" {
		t.Errorf("decoded taken name is %q, want router-1", name)
	}
	if path := read("path", syncRequestMsg).path(); !slices.Equal(path, []byte{1, 15, 0}) {
		t.Errorf("decoded path is %v, want [1 15 0]", path)
	}
}
