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

	"reachspread/internal/golden"
)

// traced is deciders on one clock, with a trace of all that they send and tell. What is sent comes 5 ms later.
type traced struct {
	t       *testing.T
	now     time.Duration
	at      map[netip.AddrPort]*Decider
	lost    func(from, to netip.AddrPort) bool
	queue   []tracedDatagram
	trace   hash.Hash64
	samples map[kind][]golden.Record
	changes strings.Builder
}

type tracedDatagram struct {
	at       time.Duration
	from, to netip.AddrPort
	data     []byte
}

const samplesOfKind = 4

func newTraced(t *testing.T) *traced {
	return &traced{t: t, at: map[netip.AddrPort]*Decider{}, lost: func(_, _ netip.AddrPort) bool { return false }, trace: xxhash.New(), samples: map[kind][]golden.Record{}}
}

func (x *traced) start(c Config) {
	x.t.Helper()
	d, err := New(c, x.now)
	if err != nil {
		x.t.Fatal(err)
	}
	x.at[c.Addr] = d
	x.step(c.Addr, Passed{})
}

func (x *traced) step(at netip.AddrPort, e Event) {
	for _, a := range x.at[at].Step(x.now, e) {
		if s, ok := a.(Send); ok {
			x.sent(at, s)
			continue
		}
		fmt.Fprintf(&x.changes, "%v %v %s\n", x.now, at, actionText(a))
	}
}

// actionText is an action in words that do not change with names in the code.
func actionText(a Action) string {
	switch a := a.(type) {
	case Changed:
		text := fmt.Sprintf("view %d %x:", a.Version, a.Digest)
		for _, c := range a.Changes {
			text += fmt.Sprintf(" %s %v/%d/%x %q", c.Member.Name, uint8(c.Member.State), c.Member.Incarnation, c.Member.Boot, string(c.Why))
		}
		return text
	case Refused:
		return fmt.Sprintf("refused %s at %v", a.Name, a.Addr)
	case Taken:
		return fmt.Sprintf("name taken by %v", a.By)
	}
	return fmt.Sprintf("%v", a)
}

func (x *traced) sent(from netip.AddrPort, s Send) {
	fmt.Fprintf(x.trace, "%d %v %v %x\n", x.now, from, s.To, s.Data)
	k := kind(s.Data[0] & 0x0f)
	all := x.samples[k]
	if len(all) < samplesOfKind && !slices.ContainsFunc(all, func(r golden.Record) bool { return len(r.Data) == len(s.Data) }) {
		name := fmt.Sprintf("kind-%d-sample-%d-at-%v-from-%v-to-%v", k, len(all), x.now, from, s.To)
		x.samples[k] = append(all, golden.Record{Name: name, Data: slices.Clone(s.Data)})
	}
	if x.at[s.To] != nil && !x.lost(from, s.To) {
		x.queue = append(x.queue, tracedDatagram{x.now + 5*ms, from, s.To, s.Data})
	}
}

// run lets time pass for all.
func (x *traced) run(d time.Duration) {
	for end := x.now + d; x.now < end; x.now += ms {
		for len(x.queue) > 0 && x.queue[0].at <= x.now {
			m := x.queue[0]
			x.queue = x.queue[1:]
			if x.at[m.to] != nil {
				x.step(m.to, Received{m.from, m.data})
			}
		}
		for _, a := range slices.SortedFunc(mapKeys(x.at), netip.AddrPort.Compare) {
			if x.at[a].Next() <= x.now {
				x.step(a, Passed{})
			}
		}
	}
}

func zoned(n int, zone string, seeds ...int) Config {
	c := config(n, seeds...)
	c.Zone, c.Version = zone, "1.2"
	return c
}

// The history of a small fleet, with a loss, a division, a crash, a restart, a name that is taken and a leave, has the datagrams and the
// views that it had at commit 5bfcc27: every kind of datagram, each decision and each draw of chance.
func TestHistoryKeepsItsDatagrams(t *testing.T) {
	x := newTraced(t)
	for n := 1; n <= 7; n++ {
		x.start(zoned(n, []string{"north", "south"}[n%2], 1, 2, 3))
		x.run(100 * ms)
	}
	x.run(5 * time.Second)
	x.lost = func(from, to netip.AddrPort) bool {
		return from == addr(7) && to == addr(1) || from == addr(1) && to == addr(7)
	}
	x.run(8 * time.Second)
	divided := func(a netip.AddrPort) bool { return a.Addr().As4()[3] > 4 }
	x.lost = func(from, to netip.AddrPort) bool { return divided(from) != divided(to) }
	x.run(10 * time.Second)
	x.lost = func(_, _ netip.AddrPort) bool { return false }
	x.run(10 * time.Second)
	delete(x.at, addr(5))
	x.run(10 * time.Second)
	again := zoned(5, "south", 1, 2)
	again.Boot = 1005
	x.start(again)
	again = zoned(4, "north", 1, 2)
	again.Boot = 1004
	x.start(again)
	twin := zoned(9, "north", 1, 2, 3)
	twin.Name = "r1"
	x.start(twin)
	newcomer := zoned(4, "north", 1)
	newcomer.Name, newcomer.Boot = "r8", 1008
	x.run(3 * time.Second)
	x.start(newcomer)
	x.run(5 * time.Second)
	x.step(addr(3), Leave{})
	x.run(time.Second)
	delete(x.at, addr(3))
	x.step(addr(6), Leave{Replaced: true})
	x.run(5 * time.Second)
	var records []golden.Record
	for k := range kinds {
		if len(x.samples[k]) == 0 {
			t.Errorf("no datagram of kind %d was sent", k)
		}
		records = append(records, x.samples[k]...)
	}
	records = append(records, golden.Record{Name: "hash-of-all", Data: x.trace.Sum(nil)})
	golden.Check(t, "history", records)
	golden.CheckText(t, "history.views", x.changes.String())
}

// goldenWords are words of each state.
func goldenWords() []word {
	return []word{
		{ref: refOf("router-1"), state: Alive, inc: 1, boot: 0xfedc},
		{ref: refOf("router-2"), state: Suspected, inc: 300, by: refOf("router-1")},
		{ref: refOf("router-2"), state: Suspected, inc: 1<<32 - 1, by: refOf("router-3"), witness: true},
		{ref: refOf("router-4"), state: Dead, inc: 70_000},
		{ref: refOf("router-5"), state: Left, inc: 2},
	}
}

func goldenCards() []Member {
	return []Member{
		{Name: "router-1", Zone: "north", Version: "1.2", Addr: netip.MustParseAddrPort("10.1.2.3:7946"), Incarnation: 1 << 20, Boot: 0xfedcba98, State: Alive},
		{Name: "r", Addr: netip.MustParseAddrPort("127.0.0.1:65535"), Incarnation: 1, Boot: 1, State: Joining},
	}
}

// Words, cards and the parts of other datagrams have the bytes that they had at commit 5bfcc27, and are read from them.
func TestWordsAndCardsKeepTheirBytes(t *testing.T) {
	words, whole := begin(wordOnly), begin(cards)
	for _, w := range goldenWords() {
		words = appendWord(words, w)
	}
	members := goldenCards()
	for i := range members {
		whole = appendCard(whole, &members[i])
	}
	asks := binary.BigEndian.AppendUint16(begin(ask), 0xfedc)
	asks = binary.BigEndian.AppendUint32(appendAddr(asks, members[0].Addr), members[0].Boot)
	data := golden.Check(t, "wordsandcards", []golden.Record{
		{Name: "words", Data: seal(words)},
		{Name: "cards", Data: seal(whole)},
		{Name: "ask", Data: seal(asks)},
		{Name: "refused", Data: seal(appendText(begin(refused), "router-1"))},
		{Name: "path", Data: seal(appendPath(begin(syncAsk), []byte{1, 15, 0}))},
	})
	read := func(name string, want kind) *reader {
		t.Helper()
		k, body, err := open(data[name])
		if err != nil || k != want {
			t.Errorf("%s is read as kind %d, not %d (%v)", name, k, want, err)
		}
		return &reader{b: body}
	}
	if got := read("words", wordOnly).words(); !reflect.DeepEqual(got, goldenWords()) {
		t.Errorf("the words are read as %+v, not %+v", got, goldenWords())
	}
	r := read("cards", cards)
	for _, want := range members {
		if got := r.card(); !reflect.DeepEqual(got, want) || r.err != nil {
			t.Errorf("a card is read as %+v, not %+v (%v)", got, want, r.err)
		}
	}
	r = read("ask", ask)
	if seq, at, boot := r.u16(), r.addr(), r.u32(); seq != 0xfedc || at != members[0].Addr || boot != members[0].Boot || r.err != nil || r.more() {
		t.Errorf("what is asked for is read as %x, %v, %x (%v)", seq, at, boot, r.err)
	}
	if name := read("refused", refused).text(MostName); name != "router-1" {
		t.Errorf("the name that is refused is read as %q", name)
	}
	if path := read("path", syncAsk).path(); !slices.Equal(path, []byte{1, 15, 0}) {
		t.Errorf("the path is read as %v", path)
	}
}
