package recovery

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/router/snapshot"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

// savedState returns the snapshot of router r0 with a membership of the given size and an empty list
// of the given version.
func savedState(routers int, version int64) *snapshot.State {
	b := &snapshot.State{Router: "r0", ListSource: "d:1", List: &protocol.List{Version: version}}
	for i := range routers {
		b.Routers = append(b.Routers, snapshot.Router{Name: fmt.Sprint("r", i), Addr: fmt.Sprintf("10.0.0.%d:1", i+1), Boot: uint32(100 + i)})
	}
	return b
}

// describe returns the actions of a Decider as lines of text.
func describe(all []Action) (lines []string) {
	for _, a := range all {
		switch a := a.(type) {
		case Announce:
			lines = append(lines, fmt.Sprintf("announce to %d, wants replies %v", len(a.To), a.Announcement.WantsReply))
		case UseSavedList:
			lines = append(lines, strings.TrimSpace("use saved list "+strings.Join(a.Excluded, " ")))
		case SendQuery:
			lines = append(lines, fmt.Sprintf("query %s on %d hosts", a.To[0].Name, len(a.Query.Tags)))
		case SendReply:
			lines = append(lines, fmt.Sprintf("reply to %s: %d of %d excluded", a.To.Name, len(a.Reply.Excluded), a.Reply.TagCount))
		case ExcludeHosts:
			lines = append(lines, "exclude "+strings.Join(a.Hosts, " "))
		case AdoptMeasure:
			lines = append(lines, fmt.Sprintf("adopt %v", a.Measure.HostWork))
		case MeasureMissing:
			lines = append(lines, strings.TrimSpace(fmt.Sprintf("no measure in %d rounds: %d alive, asked %s, answered %s; %s", a.Rounds, a.Alive, strings.Join(a.Asked, " "), strings.Join(a.Answered, " "), a.Ended)))
		case StageEntered:
			lines = append(lines, "enter "+a.Stage.String())
		case OutageClassified:
			lines = append(lines, fmt.Sprintf("outage of %s, %d of %d", a.Outage, a.Replied, a.Asked))
		}
	}
	return lines
}

// timedEvent is an event and the time at which a Decider gets it.
type timedEvent struct {
	at    time.Duration
	event Event
}

// announcementFrom returns an announcement of router n. A router that is up for less than 30 s has
// another boot number than the one in savedState.
func announcementFrom(n int, up time.Duration, version int64) AnnouncementReceived {
	boot := uint32(100 + n)
	if up < 30*s {
		boot = 7 // the router has restarted since the state was saved
	}
	return AnnouncementReceived{Announcement{From: fmt.Sprint("r", n), Boot: boot, Uptime: up, ListVersion: version, ListSource: Source("d:1")}}
}

// The outage is classified by which routers reply and whether they have restarted. The router uses
// the list from discovery, or the saved list if discovery sends none in time.
func TestStagesAndOutageByWhoReplies(t *testing.T) {
	for name, x := range map[string]struct {
		c      Config
		events []timedEvent
		want   []string
	}{
		"first start": {Config{Self: "r0", Discovery: "d:1"}, []timedEvent{{0, Tick{}}, {s, ListReceived{Version: 3}}, {s, HostsWarm{true}}}, []string{"enter listing", "outage of first start, 0 of 0", "enter admitting", "enter duties", "enter back"}},
		"only this router restarts": {Config{Self: "r0", Discovery: "d:1", Saved: savedState(4, 5)}, []timedEvent{{0, Tick{}}, {10 * ms, announcementFrom(1, 90*s, 6)}, {20 * ms, announcementFrom(2, 80*s, 6)}, {30 * ms, ListReceived{Version: 6}}, {40 * ms, HostsWarm{true}}, {s, Tick{}}},
			[]string{"announce to 3, wants replies true", "enter listing", "enter admitting", "enter duties", "enter back", "outage of this router, 2 of 3"}},
		"some routers restart": {Config{Self: "r0", Discovery: "d:1", Saved: savedState(4, 5)}, []timedEvent{{0, Tick{}}, {10 * ms, announcementFrom(1, 90*s, 6)}, {15 * ms, announcementFrom(2, 90*s, 0)}, {20 * ms, announcementFrom(3, s, 0)}},
			[]string{"announce to 3, wants replies true", "enter listing", "outage of some routers, 3 of 3"}},
		"all routers restart and discovery is silent": {Config{Self: "r0", Discovery: "d:1", Saved: savedState(4, 5)}, []timedEvent{{0, Tick{}}, {10 * ms, announcementFrom(1, s, 0)}, {20 * ms, announcementFrom(2, 2*s, 0)}, {s, Tick{}}, {1999 * ms, Tick{}}, {2 * s, Tick{}}, {22 * s, Tick{}}},
			[]string{"announce to 3, wants replies true", "enter listing", "outage of all routers, 2 of 3", "use saved list", "enter admitting", "enter duties", "enter back"}},
		"no router replies": {Config{Self: "r0", Discovery: "d:1", Saved: savedState(4, 5)}, []timedEvent{{0, Tick{}}, {300 * ms, Tick{}}, {s, Tick{}}, {2 * s, Tick{}}, {3 * s, HostsWarm{true}}},
			[]string{"announce to 3, wants replies true", "announce to 3, wants replies true", "enter listing", "outage of unknown, 0 of 3", "use saved list", "enter admitting", "enter duties", "enter back"}},
		"a peer has a newer list": {Config{Self: "r0", Discovery: "d:1", Saved: savedState(3, 5), HasRoles: true}, []timedEvent{{0, Tick{}}, {10 * ms, announcementFrom(1, 90*s, 6)}, {20 * ms, announcementFrom(2, 90*s, 5)}, {9 * s, Tick{}}, {10 * s, Tick{}}, {10 * s, HostsWarm{true}}, {11 * s, VotersLed{true}}},
			[]string{"announce to 2, wants replies true", "enter listing", "outage of this router, 2 of 2", "use saved list", "enter admitting", "enter duties", "enter back"}},
		"the address of discovery has changed": {Config{Self: "r0", Discovery: "d:2", Saved: savedState(1, 5)}, []timedEvent{{0, Tick{}}, {60 * s, Tick{}}, {61 * s, ListReceived{Version: 1}}, {62 * s, HostsWarm{true}}},
			[]string{"enter listing", "outage of unknown, 0 of 0", "enter admitting", "enter duties", "enter back"}},
		"another router asks for an announcement": {Config{Self: "r0", Discovery: "d:1"}, []timedEvent{{0, Tick{}}, {s, AnnouncementReceived{Announcement{From: "r9", WantsReply: true}}}}, []string{"enter listing", "outage of first start, 0 of 0", "announce to 1, wants replies false"}},
	} {
		d, err := New(x.c, 0)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, e := range x.events {
			got = append(got, describe(d.Step(e.at, e.event))...)
		}
		if diff := cmp.Diff(x.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// For any events in any order, stages only advance, the saved list is used at most once and never
// after discovery has sent a list, and Next is never in the past.
func TestStagesOnlyAdvanceAndTheSavedListIsUsedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, _ := New(Config{Self: "r0", Discovery: "d:1", Saved: savedState(rapid.IntRange(0, 5).Draw(t, "view"), 5), HasRoles: rapid.Bool().Draw(t, "duties")}, 0)
		now, last, uses, listReceived := time.Duration(0), Querying, 0, false
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * ms
			var e Event = Tick{}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				e = announcementFrom(rapid.IntRange(0, 5).Draw(t, "who"), time.Duration(rapid.IntRange(0, 60).Draw(t, "up"))*s, int64(rapid.IntRange(0, 8).Draw(t, "version")))
			case 1:
				e, listReceived = ListReceived{Version: int64(rapid.IntRange(0, 8).Draw(t, "version"))}, true
			case 2:
				e = VotersLed{rapid.Bool().Draw(t, "led")}
			case 3:
				e = Membership{savedState(rapid.IntRange(0, 5).Draw(t, "alive"), 5).Routers}
			}
			for _, a := range d.Step(now, e) {
				switch a := a.(type) {
				case StageEntered:
					if a.Stage <= last {
						t.Fatalf("stage %v begins after stage %v", a.Stage, last)
					}
					last = a.Stage
				case UseSavedList:
					if uses++; uses > 1 || listReceived {
						t.Fatal("the saved list is used again, or after discovery has sent one")
					}
				}
			}
			if next := d.Next(); next != 0 && next <= now {
				t.Fatalf("Next is %v at %v", next, now)
			}
		}
	})
}

// Decode rejects a datagram of any kind that is truncated or has a bit flipped.
func TestDamagedDatagramsAreRejected(t *testing.T) {
	name := strings.Repeat("n", MaxNameBytes)
	announcement := Announcement{WantsReply: true, From: name, Boot: 1<<32 - 1, Uptime: 99 * s, ListVersion: 1 << 50, ListSource: 1<<64 - 1, Stage: Recovered, Measure: Measure{40 * s, 300 * ms}}
	query := HostQuery{From: name}
	for i := range uint32(MaxTags) {
		query.Tags = append(query.Tags, 1<<32-1-i)
	}
	reply := HostReply{From: name, ListVersion: 1 << 50, ListSource: 1<<64 - 1, FirstTag: 7, TagCount: MaxTags, Excluded: query.Tags}
	for _, x := range []struct {
		b    []byte
		want Event
	}{{announcement.Encode(), AnnouncementReceived{announcement}}, {query.Encode(), QueryReceived{query}}, {reply.Encode(), ReplyReceived{reply}}} {
		b := x.b
		if len(b) > MaxDatagramBytes {
			t.Errorf("the datagram of %T has %d bytes, more than MaxDatagramBytes", x.want, len(b))
		}
		if got, err := Decode(b); err != nil || !cmp.Equal(got, x.want) {
			t.Errorf("an intact datagram is decoded as %+v with error %v", got, err)
		}
		for at := range b {
			for bit := range 8 {
				x := append([]byte(nil), b...)
				x[at] ^= 1 << bit
				if _, err := Decode(x); err == nil {
					t.Errorf("Decode accepts a datagram with bit %d of byte %d flipped", bit, at)
				}
			}
			if _, err := Decode(b[:at]); err == nil {
				t.Errorf("Decode accepts a datagram that is truncated to %d bytes", at)
			}
		}
	}
}

// withHosts adds the hosts h0 to hn-1 to the list of a snapshot. The last one is terminating.
func withHosts(b *snapshot.State, n int) *snapshot.State {
	for i := range n {
		e := protocol.ListedServer{ID: fmt.Sprint("h", i), State: "Ready", Addr: "a"}
		if i == n-1 {
			e.State = "Terminating"
		}
		b.List.Servers = append(b.List.Servers, e)
	}
	return b
}

// While discovery is silent, the router asks a router that has a list which hosts of the saved list
// get requests, both before and after the saved list is used. The reply ends the delay before its
// use. The router ignores a reply that is based on an older list, comes from a router with another
// discovery, matches no query, or arrives after discovery's list.
func TestPeersExcludeHostsWhileDiscoveryIsSilent(t *testing.T) {
	replyExcluding := func(version int64, discovery string, chunk []string, ids ...string) ReplyReceived {
		r := HostReply{From: "r1", ListVersion: version, ListSource: Source(discovery), TagCount: len(chunk)}
		tags := []uint32{}
		for _, id := range chunk {
			tags = append(tags, Tag(id))
		}
		r.FirstTag = slices.Min(tags)
		for _, id := range ids {
			r.Excluded = append(r.Excluded, Tag(id))
		}
		return ReplyReceived{r}
	}
	ready := []string{"h0", "h1", "h2"}
	d, err := New(Config{Self: "r0", Discovery: "d:1", Saved: withHosts(savedState(3, 5), 4)}, 0)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, x := range []timedEvent{
		{0, Tick{}}, {10 * ms, announcementFrom(1, 90*s, 6)}, {s, Tick{}}, {1020 * ms, replyExcluding(4, "d:1", ready, "h0")}, {1030 * ms, replyExcluding(6, "d:2", ready, "h0")},
		{1040 * ms, replyExcluding(6, "d:1", ready[:2], "h0")}, {1050 * ms, replyExcluding(6, "d:1", ready, "h1", "h3", "hx")}, {1999 * ms, Tick{}}, {2 * s, Tick{}},
		{3 * s, HostsWarm{true}}, {4 * s, Tick{}}, {4100 * ms, replyExcluding(7, "d:1", ready, "h1", "h2")}, {5 * s, ListReceived{Version: 8, Serving: []string{"h0"}}},
		{6 * s, replyExcluding(9, "d:1", ready, "h0")}, {7 * s, QueryReceived{HostQuery{"r2", []uint32{Tag("h0"), Tag("h1")}}}}, {8 * s, QueryReceived{HostQuery{"r2", nil}}}, {60 * s, Tick{}},
	} {
		got = append(got, describe(d.Step(x.at, x.event))...)
	}
	want := []string{"announce to 2, wants replies true", "enter listing", "outage of this router, 1 of 2", "query r1 on 3 hosts", "use saved list h1", "enter admitting", "enter duties", "enter back",
		"query r1 on 3 hosts", "exclude h2", "reply to r2: 1 of 2 excluded"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A router without a measure adopts the median of other routers' measures once. A router with a
// measure adopts none.
func TestMedianMeasureIsAdoptedOnce(t *testing.T) {
	withMeasure := func(n int, work time.Duration) AnnouncementReceived {
		w := announcementFrom(n, 90*s, 0).Announcement
		w.Measure = Measure{work, s}
		return AnnouncementReceived{w}
	}
	d, _ := New(Config{Self: "r0", Discovery: "d:1", Saved: savedState(5, 5)}, 0)
	var got []string
	for i, x := range []Event{Tick{}, withMeasure(1, 0), withMeasure(2, 7*s), withMeasure(3, 9*s)} {
		got = append(got, describe(d.Step(time.Duration(i)*ms, x))...)
	}
	if !slices.Contains(got, "adopt 7s") || slices.Contains(got, "adopt 9s") {
		t.Error(got)
	}
	withLearned := savedState(5, 5)
	withLearned.Learned = &balance.Learned{CompletedWork: 1, MeanWork: 1}
	for _, c := range []Config{{Self: "r0", Saved: withLearned}, {Self: "r0"}} {
		d, _ := New(c, 0)
		if c.Saved == nil {
			d.Step(0, MeasureLearned{Measure{s, s}})
		}
		if got := describe(d.Step(0, withMeasure(1, 7*s))); slices.Contains(got, "adopt 7s") {
			t.Error(got)
		}
	}
	d, _ = New(Config{Self: "r0", Saved: withLearned}, 0) // it announces its saved measure from the start
	for _, a := range d.Step(0, Tick{}) {
		if x, ok := a.(Announce); ok && x.Announcement.Measure != (Measure{s, s}) {
			t.Errorf("the router announces the measure %+v, not its saved one", x.Announcement.Measure)
		}
	}
}

// Guards against a router that has lost its folder and never gets a measure. It knows no other
// routers when it starts, and their announcements may have arrived before it could receive them. It
// must ask all routers that are alive, a few at a time, until one of them has a measure.
func TestRouterWithoutMeasureAsksLivingRouters(t *testing.T) {
	const routers = 6
	membership := Membership{savedState(routers, 0).Routers}
	asked := map[string]int{}
	d, _ := New(Config{Self: "r0", Discovery: "d:1"}, 0)
	now, queries := time.Duration(0), 0
	step := func(e Event) (adopted bool) {
		for _, a := range d.Step(now, e) {
			switch a := a.(type) {
			case Announce:
				queries++
				if !a.Announcement.WantsReply || len(a.To) > maxQueriedPeers {
					t.Errorf("the router announces itself to %d routers and wants replies: %v; want at most maxQueriedPeers, true", len(a.To), a.Announcement.WantsReply)
				}
				for _, r := range a.To {
					asked[r.Name]++
				}
			case AdoptMeasure:
				adopted = true
			}
		}
		return adopted
	}
	step(Tick{})
	step(ListReceived{Version: 1})
	if queries > 0 {
		t.Errorf("the router sends %d queries before it knows any living router", queries)
	}
	step(membership)
	for now < 2*s {
		now = d.Next()
		step(Tick{})
	}
	if len(asked) != routers-1 || asked["r0"] > 0 || queries > 6 {
		t.Errorf("%d queries in 2 s ask these routers (with counts): %v; want at most 6 queries that ask all others", queries, asked)
	}
	reply := announcementFrom(3, 90*s, 0).Announcement
	if step(AnnouncementReceived{reply}) {
		t.Error("the router adopts a measure although no router has one")
	}
	reply.Measure = Measure{7 * s, s}
	if !step(AnnouncementReceived{reply}) {
		t.Error("the router does not adopt the measure in an announcement")
	}
	sent := queries
	for range 5 {
		now += s
		step(Tick{})
	}
	if queries != sent {
		t.Errorf("the router sends more queries after it has adopted a measure")
	}
}

// While no router has a measure, a report follows the rounds 1, 2, 4 and 8 and the end of the
// queries. It names the routers that were asked and those that have answered, however late. If a
// measure is adopted at the end, the adoption takes the place of the last report.
func TestMissingMeasureIsReported(t *testing.T) {
	answer := func(n int, work time.Duration) AnnouncementReceived {
		a := announcementFrom(n, s, 0).Announcement
		a.Measure = Measure{work, s}
		return AnnouncementReceived{a}
	}
	const first, second, fourth = "no measure in 1 rounds: 5 alive, asked r1 r2 r3, answered r1;", "no measure in 2 rounds: 5 alive, asked r1 r2 r3 r4 r5, answered r1 r2;",
		"no measure in 4 rounds: 5 alive, asked r1 r2 r3 r4 r5, answered r1 r2 r4;"
	for name, x := range map[string]struct {
		ending timedEvent
		want   string
	}{
		"hosts are warm":     {timedEvent{3100 * ms, HostsWarm{true}}, "no measure in 7 rounds: 5 alive, asked r1 r2 r3 r4 r5, answered r1 r2 r4; hosts no longer wait for one"},
		"own measure":        {timedEvent{3100 * ms, MeasureLearned{Measure{s, s}}}, "no measure in 7 rounds: 5 alive, asked r1 r2 r3 r4 r5, answered r1 r2 r4; this router has its own"},
		"measure of another": {timedEvent{3100 * ms, answer(4, 9*s)}, "adopt 9s"},
	} {
		d, _ := New(Config{Self: "r0", Discovery: "d:1"}, 0)
		var got []string
		step := func(at time.Duration, e Event) {
			for _, line := range describe(d.Step(at, e)) {
				if strings.HasPrefix(line, "no measure") || strings.HasPrefix(line, "adopt") {
					got = append(got, line)
				}
			}
		}
		for _, e := range []timedEvent{{0, ListReceived{Version: 1}}, {0, Membership{savedState(6, 0).Routers}}, {100 * ms, answer(1, 0)}, {500 * ms, Tick{}}, {700 * ms, answer(2, 0)},
			{s, Tick{}}, {1500 * ms, Tick{}}, {1600 * ms, answer(4, 0)}, {2 * s, Tick{}}, {2500 * ms, Tick{}}, {3 * s, Tick{}}, x.ending, {4 * s, Tick{}}, {5 * s, HostsWarm{true}}} {
			step(e.at, e.event)
		}
		if diff := cmp.Diff([]string{first, second, fourth, x.want}, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// The operators' page contains the tables that Table returns.
func TestOperatorsPageHasTheTables(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/recovery.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Table()) {
		t.Errorf("docs/operators/recovery.md does not contain these tables:\n%s", Table())
	}
}

// Decode returns an event or an error for any input. An event that is encoded again is decoded as the
// same event.
func FuzzDecode(f *testing.F) {
	announcement, query, reply := Announcement{From: "r1", Boot: 3, ListVersion: 7, Measure: Measure{s, ms}}, HostQuery{"r1", []uint32{1, 2}}, HostReply{From: "r2", ListVersion: 9, FirstTag: 1, TagCount: 2, Excluded: []uint32{2}}
	for _, b := range [][]byte{announcement.Encode(), query.Encode(), reply.Encode(), nil, {wireVersion << 4}} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := Decode(b)
		if err != nil {
			return
		}
		var encoded []byte
		switch e := e.(type) {
		case AnnouncementReceived:
			encoded = e.Announcement.Encode()
		case QueryReceived:
			encoded = e.Query.Encode()
		case ReplyReceived:
			encoded = e.Reply.Encode()
		}
		if got, err := Decode(encoded); err != nil || !cmp.Equal(got, e) {
			t.Fatalf("%+v is encoded and decoded as %+v with error %v", e, got, err)
		}
	})
}
