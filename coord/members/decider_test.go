package members

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 7946)
}

func config(n int, seeds ...int) Config {
	c := Config{Name: fmt.Sprint("r", n), Zone: "z", Version: "1", Addr: addr(n), Boot: uint32(100 + n), RandomSeed: uint64(n)}
	for _, s := range seeds {
		c.Seeds = append(c.Seeds, addr(s))
	}
	return c
}

// fleet is deciders whose datagrams arrive at once, on one clock.
type fleet struct {
	t        *testing.T
	now      time.Duration
	deciders map[netip.AddrPort]*Decider
	actions  map[netip.AddrPort][]Action
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, deciders: map[netip.AddrPort]*Decider{}, actions: map[netip.AddrPort][]Action{}}
}

func (f *fleet) start(c Config) *Decider {
	f.t.Helper()
	d, err := New(c, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	f.deciders[c.Addr] = d
	f.step(d, Tick{})
	return d
}

func (f *fleet) step(d *Decider, e Event) {
	from := d.self.Addr
	for _, a := range slices.Clone(d.Step(f.now, e)) {
		s, ok := a.(Send)
		if !ok {
			f.actions[from] = append(f.actions[from], a)
			continue
		}
		if to := f.deciders[s.To]; to != nil && to.self.Addr == s.To {
			f.step(to, Received{from, s.Data})
		}
	}
}

// run lets time pass for all.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 10 * ms {
		for _, a := range slices.SortedFunc(mapKeys(f.deciders), netip.AddrPort.Compare) {
			if d := f.deciders[a]; d != nil && d.Next() <= f.now {
				f.step(d, Tick{})
			}
		}
	}
}

func mapKeys(m map[netip.AddrPort]*Decider) func(func(netip.AddrPort) bool) {
	return func(yield func(netip.AddrPort) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (f *fleet) names(d *Decider) (all []string) {
	for _, m := range d.View().Members {
		all = append(all, fmt.Sprintf("%s@%d", m.Name, m.Addr.Addr().As4()[3]))
	}
	return all
}

func (f *fleet) expectView(d *Decider, want ...string) {
	f.t.Helper()
	if diff := cmp.Diff(want, f.names(d)); diff != "" {
		f.t.Errorf("%s sees (-want +got):\n%s", d.config.Name, diff)
	}
}

// On a day of planned restarts a third of a fleet counted a router as crashed, 4.4 s after it had
// announced that it leaves: new members had learnt of it from one that had missed the announcement,
// and gossiped it on. Those that knew sent nothing, as anti-entropy exchanges live members only.
//
// A member that mentions as alive one that has left is told that it has left.
func TestLeaveReachesMemberThatMissedIt(t *testing.T) {
	f := newFleet(t)
	a, b, c := f.start(config(1, 2)), f.start(config(2, 1)), f.start(config(3, 1, 2))
	f.run(5 * time.Second)
	f.expectView(c, "r1@1", "r2@2", "r3@3")
	delete(f.deciders, addr(3)) // it misses the announcement
	f.step(a, Leave{})
	f.run(500 * ms)
	f.expectView(b, "r2@2", "r3@3")
	delete(f.deciders, addr(1)) // and ends
	f.deciders[addr(3)] = c
	f.step(b, Received{addr(3), appendChecksum(appendUpdate(newDatagram(updatesMsg), aliveUpdate(c.entries[slices.IndexFunc(c.entries, func(e *entry) bool { return e.Name == "r1" })])))})
	f.expectView(c, "r2@2", "r3@3")
	for _, x := range f.actions[addr(3)] {
		if ch, ok := x.(Changed); ok && slices.ContainsFunc(ch.Changes, func(y Change) bool { return y.Reason == ReasonCrashed }) {
			t.Errorf("the member that left counts as crashed: %+v", ch)
		}
	}
}

// A process that claims the name of a live member is rejected, notified, and reported once. When
// the member is dead its name is free, and its incarnation goes on.
func TestClaimOfLiveNameIsRejected(t *testing.T) {
	f := newFleet(t)
	a, b := f.start(config(1, 2)), f.start(config(2, 1))
	f.run(3 * time.Second)
	claimant := config(3, 1, 2)
	claimant.Name = "r1"
	c := f.start(claimant)
	f.run(5 * time.Second)
	f.expectView(b, "r1@1", "r2@2")
	for _, x := range f.actions[addr(3)] {
		if ch, ok := x.(Changed); ok {
			t.Errorf("a process that has not joined publishes a view: %+v", ch)
		}
	}
	if c.State() != Joining {
		t.Errorf("the twin is %v", c.State())
	}
	var rejections, taken int
	for _, x := range append(f.actions[addr(1)], f.actions[addr(2)]...) {
		if r, ok := x.(NameConflict); ok && r.Name == "r1" && r.Addr == addr(3) {
			rejections++
		}
	}
	for _, x := range f.actions[addr(3)] {
		if _, ok := x.(LocalNameTaken); ok {
			taken++
		}
	}
	if rejections == 0 || rejections > 2 || taken != 1 {
		t.Errorf("%d rejections by two members, notified %d times", rejections, taken)
	}
	before := a.Incarnation()
	f.deciders[addr(1)] = nil // dies
	f.run(12 * time.Second)
	f.expectView(b, "r1@3", "r2@2")
	if c.State() != Alive || c.Incarnation() <= before {
		t.Errorf("the successor is %v at incarnation %d; it was %d", c.State(), c.Incarnation(), before)
	}
}

// The address of a dead member is free for another name, and the member is detected as dead though
// somebody answers at its address.
func TestAddressOfDeadMemberIsReused(t *testing.T) {
	f := newFleet(t)
	b := f.start(config(2, 1))
	f.start(config(1, 2))
	f.start(config(3, 2))
	f.run(3 * time.Second)
	successor := config(1, 2)
	successor.Name, successor.Boot = "r9", 999
	f.start(successor)
	f.run(12 * time.Second)
	f.expectView(b, "r2@2", "r3@3", "r9@1")
}

// A process that restarts takes an incarnation above its earlier one, from whichever member it
// learns that. Any higher incarnation that it hears of itself is believed, except the highest
// possible.
func TestIncarnationOnlyGrows(t *testing.T) {
	f := newFleet(t)
	b := f.start(config(2, 1))
	c := config(1, 2)
	c.Incarnation = 7 // as persisted
	a := f.start(c)
	f.run(3 * time.Second)
	if a.Incarnation() != 7 {
		t.Errorf("it begins at %d", a.Incarnation())
	}
	restarted := config(1, 2) // its memory is gone
	restarted.Boot = 555
	a = f.start(restarted)
	f.run(3 * time.Second)
	if a.Incarnation() != 8 {
		t.Errorf("after a start with nothing it is at %d", a.Incarnation())
	}
	f.expectView(b, "r1@1", "r2@2")
	var reasons []Reason
	for _, x := range f.actions[addr(2)] {
		if ch, ok := x.(Changed); ok {
			for _, y := range ch.Changes {
				if y.Member.Name == "r1" {
					reasons = append(reasons, y.Reason)
				}
			}
		}
	}
	if diff := cmp.Diff([]Reason{ReasonJoined, ReasonRestarted}, reasons); diff != "" {
		t.Error(diff)
	}
	for _, u := range []update{{state: Suspected, incarnation: 8}, {state: Dead, incarnation: 20}, {state: Alive, incarnation: 30}, {state: Left, incarnation: 31}, {state: Dead, incarnation: math.MaxUint32}, {state: Dead, incarnation: 3}} {
		u.id = idOf("r1")
		before := a.Incarnation()
		f.now += time.Second
		f.step(a, Received{addr(2), appendChecksum(appendUpdate(newDatagram(updatesMsg), u))})
		want := max(before, u.incarnation+1)
		if u.incarnation == math.MaxUint32 {
			want = before
		}
		if a.Incarnation() != want || a.State() != Alive {
			t.Errorf("%+v: %v at %d, want %d", u, a.State(), a.Incarnation(), want)
		}
	}
}

// A member that leaves is removed at once, and an update from before does not bring it back. A
// replacement is no death.
func TestLeaveRemovesAtOnce(t *testing.T) {
	f := newFleet(t)
	b := f.start(config(2, 1))
	a := f.start(config(1, 2))
	f.run(3 * time.Second)
	old := appendChecksum(appendUpdate(newDatagram(updatesMsg), aliveUpdate(a.self)))
	f.step(a, Leave{})
	f.run(100 * ms)
	f.deciders[addr(1)] = nil
	f.expectView(b, "r2@2")
	f.step(b, Received{addr(1), old})
	f.run(time.Second)
	f.expectView(b, "r2@2")
	next := config(1, 2)
	next.Boot = 4711
	a = f.start(next)
	f.run(2 * time.Second)
	f.expectView(b, "r1@1", "r2@2")
	f.step(a, Leave{Replaced: true})
	next.Boot = 4712
	f.start(next)
	f.run(2 * time.Second)
	f.expectView(b, "r1@1", "r2@2")
	for _, x := range f.actions[addr(2)] {
		if ch, ok := x.(Changed); ok {
			for _, y := range ch.Changes {
				if y.Reason == ReasonCrashed {
					t.Errorf("%s crashed", y.Member.Name)
				}
			}
		}
	}
}

// With SeedsOnly nobody but the seeds joins; and the membership list stays within its bound.
func TestStrangersAndBoundOfMembers(t *testing.T) {
	f := newFleet(t)
	c := config(2, 1)
	c.SeedsOnly = true
	b := f.start(c)
	f.start(config(3, 2))
	f.run(3 * time.Second)
	f.expectView(b, "r2@2")
	if b.Stats().Dropped == 0 {
		t.Error("a stranger's datagrams are not counted")
	}
	c = config(4)
	c.MaxMembers = 10
	d := f.start(c)
	for i := range 100 {
		m := Member{Name: fmt.Sprint("s", i), Zone: "z", Version: "1", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), 1), Boot: 1, Incarnation: 1, State: Alive}
		f.step(d, Received{m.Addr, appendChecksum(appendRecord(newDatagram(joinMsg), &m))})
	}
	if got := len(d.entries); got != 10 {
		t.Errorf("%d members, 10 are allowed", got)
	}
}

// New rejects an invalid Config and names the field.
func TestNewRejectsInvalidConfig(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.Name = "" }, func(c *Config) { c.Name = "a b" }, func(c *Config) { c.Name = string(make([]byte, 40)) },
		func(c *Config) { c.Zone = "a zone that is too long" }, func(c *Config) { c.Boot = 0 }, func(c *Config) { c.Addr = netip.AddrPort{} },
		func(c *Config) { c.Addr = netip.MustParseAddrPort("[::1]:1") },
	} {
		c := config(1)
		change(&c)
		var invalid *ConfigError
		if _, err := New(c, 0); !errors.As(err, &invalid) || !strings.Contains(err.Error(), invalid.Field) {
			t.Errorf("%+v: error %v", c, err)
		}
	}
}

// Whatever datagrams arrive from wherever: the decider does not panic, sends none that is too long,
// its incarnation does not fall, and its digest is that of its live members.
func TestAnyDatagramKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, err := New(config(1, 2, 3), 0)
		if err != nil {
			t.Fatal(err)
		}
		now, inc := time.Duration(0), uint32(0)
		for range rapid.IntRange(1, 40).Draw(t, "datagrams") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * ms
			b := rapid.SliceOfN(rapid.Byte(), 0, 250).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "how") {
			case 0:
			case 1:
				b = appendChecksum(append(newDatagram(messageType(rapid.IntRange(0, 15).Draw(t, "kind"))), b...))
			default: // well-formed updates and records
				out := newDatagram(rapid.SampledFrom([]messageType{updatesMsg, recordsMsg, joinMsg, wrongProcessMsg, syncChunkMsg}).Draw(t, "kind"))
				if messageType(out[0]&15) == syncChunkMsg {
					out = append(out, 1, byte(rapid.IntRange(0, 15).Draw(t, "nibble")), 1)
				}
				name := rapid.SampledFrom([]string{"r1", "r2", "r3", "x"}).Draw(t, "name")
				if msgType := messageType(out[0] & 15); msgType == updatesMsg || msgType == syncChunkMsg {
					out = appendUpdate(out, update{id: idOf(name), state: State(rapid.IntRange(1, 4).Draw(t, "state")), incarnation: rapid.Uint32().Draw(t, "inc"), reporter: idOf("r3")})
				} else {
					out = appendRecord(out, &Member{Name: name, Addr: addr(rapid.IntRange(1, 4).Draw(t, "addr")), Incarnation: rapid.Uint32Min(1).Draw(t, "inc"),
						Boot: rapid.Uint32Min(1).Draw(t, "boot"), State: State(rapid.IntRange(0, 4).Draw(t, "state"))})
				}
				b = appendChecksum(out)
			}
			for _, a := range d.Step(now, Received{addr(rapid.IntRange(1, 4).Draw(t, "from")), b}) {
				if s, ok := a.(Send); ok && len(s.Data) > MaxDatagramLen {
					t.Fatalf("%d bytes", len(s.Data))
				}
			}
			if d.Incarnation() < inc || d.State() != Joining && d.State() != Alive {
				t.Fatalf("%v at %d, after %d", d.State(), d.Incarnation(), inc)
			}
			inc = d.Incarnation()
			if d.Next() < now {
				t.Fatalf("Next is %v at %v", d.Next(), now)
			}
			sum := uint64(0)
			for _, e := range d.entries {
				if e.isLive() {
					sum ^= digestOf(e)
				}
			}
			if sum != d.digest {
				t.Fatal("the digest is not that of the living")
			}
		}
	})
}

// Records and updates are decoded as they were encoded; one flipped bit and any truncation is
// detected.
func TestCorruptionIsDetected(t *testing.T) {
	m := Member{Name: "router-7", Zone: "east", Version: "1.4", Addr: addr(9), Incarnation: 1 << 20, Boot: 5, State: Suspected}
	u := update{id: idOf("a"), state: Suspected, incarnation: 300, confirms: true, reporter: idOf("b")}
	b := appendChecksum(appendUpdate(appendRecord(newDatagram(recordsMsg), &m), u))
	msgType, body, err := parseDatagram(b)
	r := &reader{rest: body}
	got, gotUpdate := r.record(), r.update()
	if diff := cmp.Diff(m, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" || err != nil || msgType != recordsMsg || r.err != nil || gotUpdate != u || r.hasMore() {
		t.Errorf("%v %v %+v %s", err, r.err, gotUpdate, diff)
	}
	for i := range 8 * len(b) {
		x := bytes.Clone(b)
		x[i/8] ^= 1 << (i % 8)
		if _, _, err := parseDatagram(x); err == nil {
			t.Errorf("bit %d flipped: taken", i)
		}
	}
	for n := range b {
		if _, _, err := parseDatagram(b[:n]); err == nil {
			t.Errorf("truncated at %d: taken", n)
		}
	}
}

// The timings meet the goals of the design note.
func TestTimingsMeetGoals(t *testing.T) {
	const loss = 0.2
	pingFailure := 1 - (1-loss)*(1-loss)
	indirectFailure := 1 - math.Pow(1-loss, 4)
	probeFailure := math.Pow(pingFailure, pingsPerProbe) * math.Pow(indirectFailure, indirectProbers)
	if probeFailure > 0.011 {
		t.Errorf("a probe of a living member fails with %.3f", probeFailure)
	}
	if detectionTime := baseProbeTimeout + baseSuspicionTimeout + 2*(5*gossipBatchDelay+regossipDelay); detectionTime > 3*time.Second {
		t.Errorf("a crash is known after %v", detectionTime)
	}
	remaining := baseProbeTimeout + baseSuspicionTimeout - time.Second // after a stall of 1 s
	if n := int(remaining / pingInterval); n < 7 || math.Pow(pingFailure, 7) > 0.0009 {
		t.Errorf("a witness has %d pings left", n)
	}
	if missed := math.Exp(-float64(gossipFanout+regossipFanout) * (1 - loss)); missed > 0.004 {
		t.Errorf("an update does not reach %.4f", missed)
	}
	if bytes := float64(pingLen+ackLen+2*checksumLen) / protocolPeriod.Seconds(); bytes > 64 {
		t.Errorf("%.0f bytes a second", bytes)
	}
	if baseProbeTimeout >= protocolPeriod || indirectPingDelay < (pingsPerProbe-1)*pingInterval || deathConfirmations > witnessCount {
		t.Error("the timings do not fit one another")
	}
}
