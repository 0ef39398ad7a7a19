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

// addr returns the address of member n.
func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 7946)
}

// config returns the Config of member n, whose seeds are the members with the given numbers.
func config(n int, seeds ...int) Config {
	c := Config{Name: fmt.Sprint("r", n), Zone: "z", Version: "1", Addr: addr(n), Boot: uint32(100 + n), RandomSeed: uint64(n)}
	for _, s := range seeds {
		c.Seeds = append(c.Seeds, addr(s))
	}
	return c
}

// fleet is a set of Deciders that share a virtual clock. Datagrams between them arrive immediately.
type fleet struct {
	t        *testing.T
	now      time.Duration
	deciders map[netip.AddrPort]*Decider // nil for a member that crashed
	actions  map[netip.AddrPort][]Action // all actions of each member except Send
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, deciders: map[netip.AddrPort]*Decider{}, actions: map[netip.AddrPort][]Action{}}
}

// start starts a member and steps it once. It replaces an earlier member at the same address.
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

// step passes an event to a Decider, records its actions and delivers the datagrams that it sends.
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

// run advances the clock by d and steps each member when it is due.
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

// names returns the members in the view of d, each as its name and the last byte of its address.
func (f *fleet) names(d *Decider) (all []string) {
	for _, m := range d.View().Members {
		all = append(all, fmt.Sprintf("%s@%d", m.Name, m.Addr.Addr().As4()[3]))
	}
	return all
}

// expectView checks that the view of d has exactly the given members.
func (f *fleet) expectView(d *Decider, want ...string) {
	f.t.Helper()
	if diff := cmp.Diff(want, f.names(d)); diff != "" {
		f.t.Errorf("view of %s differs (-want +got):\n%s", d.config.Name, diff)
	}
}

// If a member gossips that another member is alive and the receiver knows that the other member has
// left, the receiver sends the sender an update about the leave.
//
// Without this update, a third of a fleet reported a router as crashed during planned restarts,
// 4.4 s after the router had announced its leave. New members had learnt about the router from a
// member that had missed the announcement, and gossiped that the router was alive. The members that
// knew about the leave did not correct them, because anti-entropy exchanges live members only.
func TestLeaveReachesMemberThatMissedIt(t *testing.T) {
	f := newFleet(t)
	a, b, c := f.start(config(1, 2)), f.start(config(2, 1)), f.start(config(3, 1, 2))
	f.run(5 * time.Second)
	f.expectView(c, "r1@1", "r2@2", "r3@3")
	delete(f.deciders, addr(3)) // r3 misses the announcement of r1
	f.step(a, Leave{})
	f.run(500 * ms)
	f.expectView(b, "r2@2", "r3@3")
	delete(f.deciders, addr(1)) // the process of r1 ends
	f.deciders[addr(3)] = c
	f.step(b, Received{addr(3), appendChecksum(appendUpdate(newDatagram(updatesMsg), aliveUpdate(c.entries[slices.IndexFunc(c.entries, func(e *entry) bool { return e.Name == "r1" })])))})
	f.expectView(c, "r2@2", "r3@3")
	for _, x := range f.actions[addr(3)] {
		if ch, ok := x.(Changed); ok && slices.ContainsFunc(ch.Changes, func(y Change) bool { return y.Reason == ReasonCrashed }) {
			t.Errorf("r3 reports the member that left as crashed: %+v", ch)
		}
	}
}

// A process that claims the name of a live member is rejected and notified, and the conflict is
// reported once. After the member is dead, the process gets the name, with a higher incarnation
// than the dead member had.
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
			t.Errorf("the process that claims a taken name published a view before it joined: %+v", ch)
		}
	}
	if c.State() != Joining {
		t.Errorf("the process that claims a taken name is %v, want joining", c.State())
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
		t.Errorf("two members reported %d name conflicts, want 1 or 2; the claimant reported %d times that its name is taken, want 1", rejections, taken)
	}
	before := a.Incarnation()
	f.deciders[addr(1)] = nil // r1 crashes
	f.run(12 * time.Second)
	f.expectView(b, "r1@3", "r2@2")
	if c.State() != Alive || c.Incarnation() <= before {
		t.Errorf("the successor is %v at incarnation %d, want alive at an incarnation above %d", c.State(), c.Incarnation(), before)
	}
}

// A new member can use the address of a dead member. The dead member is detected as dead although
// the new member answers pings at the same address.
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

// A restarted process chooses an incarnation above its earlier one, which it learns from any other
// member. If a process receives an update about itself with a higher incarnation, it raises its own
// incarnation above the received one, unless the received one is the highest possible.
func TestIncarnationOnlyGrows(t *testing.T) {
	f := newFleet(t)
	b := f.start(config(2, 1))
	c := config(1, 2)
	c.Incarnation = 7 // as persisted
	a := f.start(c)
	f.run(3 * time.Second)
	if a.Incarnation() != 7 {
		t.Errorf("r1 started at incarnation %d, want 7 as configured", a.Incarnation())
	}
	restarted := config(1, 2) // without a persisted incarnation
	restarted.Boot = 555
	a = f.start(restarted)
	f.run(3 * time.Second)
	if a.Incarnation() != 8 {
		t.Errorf("after a restart without a persisted incarnation, r1 is at incarnation %d, want 8", a.Incarnation())
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
			t.Errorf("after update %+v, r1 is %v at incarnation %d, want alive at %d", u, a.State(), a.Incarnation(), want)
		}
	}
}

// A member that leaves is removed from the view immediately, and an earlier update does not add it
// again. A process that is replaced by another process with the same name does not count as
// crashed.
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
					t.Errorf("r2 reports %s as crashed, but no member crashed", y.Member.Name)
				}
			}
		}
	}
}

// With SeedsOnly, only seeds can join. The membership list does not exceed Config.MaxMembers.
func TestStrangersAndBoundOfMembers(t *testing.T) {
	f := newFleet(t)
	c := config(2, 1)
	c.SeedsOnly = true
	b := f.start(c)
	f.start(config(3, 2))
	f.run(3 * time.Second)
	f.expectView(b, "r2@2")
	if b.Stats().Dropped == 0 {
		t.Error("r2 did not count the rejected datagrams of r3 as dropped")
	}
	c = config(4)
	c.MaxMembers = 10
	d := f.start(c)
	for i := range 100 {
		m := Member{Name: fmt.Sprint("s", i), Zone: "z", Version: "1", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), 1), Boot: 1, Incarnation: 1, State: Alive}
		f.step(d, Received{m.Addr, appendChecksum(appendRecord(newDatagram(joinMsg), &m))})
	}
	if got := len(d.entries); got != 10 {
		t.Errorf("the membership list has %d entries, want 10", got)
	}
}

// New rejects an invalid Config with an error that names the field.
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
			t.Errorf("New(%+v) returned error %v, want a *ConfigError that names the field", c, err)
		}
	}
}

// Whatever datagrams arrive from any address, a Decider does not panic, does not send a datagram
// longer than MaxDatagramLen, and does not lower its incarnation; its digest matches its live
// members.
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
					t.Fatalf("sent a datagram of %d bytes, which is longer than MaxDatagramLen", len(s.Data))
				}
			}
			if d.Incarnation() < inc || d.State() != Joining && d.State() != Alive {
				t.Fatalf("the local member is %v at incarnation %d, want joining or alive at %d or above", d.State(), d.Incarnation(), inc)
			}
			inc = d.Incarnation()
			if d.Next() < now {
				t.Fatalf("Next() = %v, which is before the current time %v", d.Next(), now)
			}
			sum := uint64(0)
			for _, e := range d.entries {
				if e.isLive() {
					sum ^= digestOf(e)
				}
			}
			if sum != d.digest {
				t.Fatal("the digest does not match the live members")
			}
		}
	})
}

// Decoding an encoded record and update returns the original values. A datagram with one flipped
// bit and a truncated datagram are rejected.
func TestCorruptionIsDetected(t *testing.T) {
	m := Member{Name: "router-7", Zone: "east", Version: "1.4", Addr: addr(9), Incarnation: 1 << 20, Boot: 5, State: Suspected}
	u := update{id: idOf("a"), state: Suspected, incarnation: 300, confirms: true, reporter: idOf("b")}
	b := appendChecksum(appendUpdate(appendRecord(newDatagram(recordsMsg), &m), u))
	msgType, body, err := parseDatagram(b)
	r := &reader{rest: body}
	got, gotUpdate := r.record(), r.update()
	if diff := cmp.Diff(m, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" || err != nil || msgType != recordsMsg || r.err != nil || gotUpdate != u || r.hasMore() {
		t.Errorf("decoded datagram differs: parse error %v, read error %v, update %+v, record (-want +got):\n%s", err, r.err, gotUpdate, diff)
	}
	for i := range 8 * len(b) {
		x := bytes.Clone(b)
		x[i/8] ^= 1 << (i % 8)
		if _, _, err := parseDatagram(x); err == nil {
			t.Errorf("a datagram with bit %d flipped was accepted", i)
		}
	}
	for n := range b {
		if _, _, err := parseDatagram(b[:n]); err == nil {
			t.Errorf("a datagram truncated to %d bytes was accepted", n)
		}
	}
}

// The timings meet the goals in docs/design/members.md.
func TestTimingsMeetGoals(t *testing.T) {
	const loss = 0.2
	pingFailure := 1 - (1-loss)*(1-loss)
	indirectFailure := 1 - math.Pow(1-loss, 4)
	probeFailure := math.Pow(pingFailure, pingsPerProbe) * math.Pow(indirectFailure, indirectProbers)
	if probeFailure > 0.011 {
		t.Errorf("a probe of a live member fails with probability %.3f, want at most 0.011", probeFailure)
	}
	if detectionTime := baseProbeTimeout + baseSuspicionTimeout + 2*(5*gossipBatchDelay+regossipDelay); detectionTime > 3*time.Second {
		t.Errorf("a crash is known to all members after %v, want at most 3 s", detectionTime)
	}
	remaining := baseProbeTimeout + baseSuspicionTimeout - time.Second // after a stall of 1 s
	if n := int(remaining / pingInterval); n < 7 || math.Pow(pingFailure, 7) > 0.0009 {
		t.Errorf("after a stall of 1 s, a suspect receives %d more pings from a witness, want at least 7", n)
	}
	if missed := math.Exp(-float64(gossipFanout+regossipFanout) * (1 - loss)); missed > 0.004 {
		t.Errorf("gossip of an update misses %.4f of the members, want at most 0.004", missed)
	}
	if bytes := float64(pingLen+ackLen+2*checksumLen) / protocolPeriod.Seconds(); bytes > 64 {
		t.Errorf("probes of a member take %.0f bytes a second, want at most 64", bytes)
	}
	if baseProbeTimeout >= protocolPeriod || indirectPingDelay < (pingsPerProbe-1)*pingInterval || deathConfirmations > witnessCount {
		t.Error("want baseProbeTimeout < protocolPeriod, indirectPingDelay >= (pingsPerProbe-1)*pingInterval and deathConfirmations <= witnessCount")
	}
}
