package admission

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func addr(s string) netip.Addr { return netip.MustParseAddr(s) }

func config() Config {
	return Config{MaxConnections: 4, ReservedForKnown: 1, MaxOverflow: 2, RememberedAddresses: 8, MinRetryAfter: time.Second, KnownIdentities: map[string]bool{"tool": true, "mad": true},
		PerIdentity: ClientLimit{Connections: 2}, IdleTimeout: [3]time.Duration{time.Second, 200 * ms, 100 * ms}, CloseAfterAnswer: true, EvictFromLargest: true}
}

// world plays the host and checks the promises; it counts by itself.
type model struct {
	t        *rapid.T
	d        *Controller
	c        Config
	now      time.Duration
	states   map[int32]string // lobby, guest, known or step, of those that are in
	open     map[int32]bool
	rejected map[int32]bool
	ready    map[int32]bool // the request was there as it opened
	evicted  map[int32]bool // shut, to be closed by the host
}

func (w *model) count(state string) (n int) {
	for _, s := range w.states {
		if s == state {
			n++
		}
	}
	return n
}

// step gives admission one event and returns the action that answers it.
func (w *model) step(e Event) (answer Action, answered int) {
	awaiting := 0 // of whom nothing is due: a request that was refused ends its connection, one that is there is asked next
	for id, state := range w.states {
		if state == "lobby" && !w.rejected[id] && !w.ready[id] {
			awaiting++
		}
	}
	for _, a := range w.d.Step(w.now, e) {
		switch a.Kind {
		case Evict:
			if w.open[a.Conn] || w.ready[a.Conn] || w.states[a.Conn] == "" {
				w.t.Fatalf("%d was shut, busy: %v, ready: %v", a.Conn, w.open[a.Conn], w.ready[a.Conn])
			}
			delete(w.states, a.Conn)
			w.evicted[a.Conn] = true
		case Expire:
			if w.open[a.Conn] || w.ready[a.Conn] || w.states[a.Conn] == "known" {
				w.t.Fatalf("%d, %s, was hurried", a.Conn, w.states[a.Conn])
			}
		default:
			answer, answered = a, answered+1
		}
	}
	if (e.Kind == RequestRead || e.Kind == Opened) && answer.Kind == Reject && answer.Code == 503 && e.Identity != "" && awaiting > 0 {
		w.t.Fatal("a known client was refused for capacity while somebody stood in the lobby")
	}
	return answer, answered
}

func (w *model) check() {
	unknown, known, overflows := w.count("lobby")+w.count("guest"), w.count("known"), w.count("step")
	if unknown > w.c.MaxConnections-w.c.ReservedForKnown || unknown+known > w.c.MaxConnections || overflows > w.c.MaxOverflow {
		w.t.Fatalf("%d unknown, %d known, %d on the step", unknown, known, overflows)
	}
	c := w.d.Counts()
	if c.Unknown != unknown || c.Known != known || c.Overflow != overflows || c.Open != len(w.open) || c.AwaitingRequest != w.count("lobby") {
		w.t.Fatalf("%+v, want %d, %d, %d, %d", c, unknown, known, overflows, len(w.open))
	}
	if maxAddresses := 2*w.c.RememberedAddresses + 2*(len(w.states)+len(w.evicted)+len(w.rejected)); c.Addresses > maxAddresses+2 {
		w.t.Fatalf("%d addresses remembered, %d would do", c.Addresses, maxAddresses)
	}
	if len(w.d.conns) > w.c.MaxConnections+w.c.MaxOverflow+len(w.evicted)+30 {
		w.t.Fatalf("%d names for %d connections", len(w.d.conns), len(w.states))
	}
}

func TestLimitsHoldForAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config()
		c.MaxConnections = rapid.IntRange(2, 8).Draw(t, "places")
		c.EvictFromLargest = rapid.Bool().Draw(t, "fair")
		if !c.EvictFromLargest {
			c.IdleTimeout = [3]time.Duration{}
		}
		c.ReservedForKnown = rapid.IntRange(0, c.MaxConnections-1).Draw(t, "reserve")
		if rapid.Bool().Draw(t, "ranges") {
			c.KnownRanges = []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}
		}
		c.PerAddress.Connections = rapid.IntRange(0, 3).Draw(t, "perAddress")
		w := &model{t: t, d: New(c, 1), c: c, now: time.Second, states: map[int32]string{}, open: map[int32]bool{}, rejected: map[int32]bool{}, evicted: map[int32]bool{}, ready: map[int32]bool{}}
		drawConn := func(ok func(int32) bool) (int32, bool) {
			var ids []int32
			for id := range int32(40) {
				if w.states[id] != "" && ok(id) {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(ids).Draw(t, "conn"), true
		}
		addresses := []string{"10.0.0.1", "10.0.0.2", "10.0.1.1", "10.9.0.1", "10.9.0.2", "2001:db8::1", "2001:db8::2", "2001:db8:0:1::1", "::ffff:10.0.0.1"}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.check() },
			"open": func(t *rapid.T) {
				w.now += rapid.SampledFrom([]time.Duration{0, ms, 6 * ms, 300 * ms}).Draw(t, "after")
				a := addr(rapid.SampledFrom(addresses).Draw(t, "from"))
				before := w.count("step")
				e := Event{Kind: Opened, Addr: a, HeadComplete: rapid.Bool().Draw(t, "said")}
				if e.HeadComplete {
					e.Identity = rapid.SampledFrom([]string{"", "tool", "mad"}).Draw(t, "who")
					e.RequestComplete = rapid.Bool().Draw(t, "whole")
				} else {
					e.ClientLeft = rapid.Bool().Draw(t, "left")
				}
				got, n := w.step(e)
				if n != 1 {
					t.Fatalf("%d answers to a connection", n)
				}
				if got.Kind == Reject && (!e.HeadComplete || got.Conn != NoConnection) || got.Kind == Drop && e.HeadComplete || got.Kind == Admit && e.ClientLeft && c.EvictFromLargest && w.d.isFull() {
					t.Fatalf("%+v to %+v", got, e)
				}
				if got.Kind != Admit {
					return
				}
				if e.RequestComplete {
					w.ready[got.Conn] = true
				}
				switch {
				case e.Identity != "":
					w.states[got.Conn] = "known"
				case w.d.Counts().Overflow > before || w.d.conns[got.Conn].state == overflow:
					w.states[got.Conn] = "step"
				case len(c.KnownRanges) > 0 && c.KnownRanges[0].Contains(a.Unmap()):
					w.states[got.Conn] = "known"
				default:
					w.states[got.Conn] = "lobby"
				}
				delete(w.evicted, got.Conn)
			},
			"crowd": func(t *rapid.T) { // from very many addresses
				for i := range rapid.IntRange(1, 40).Draw(t, "crowd") {
					w.now += 6 * ms
					got, _ := w.step(Event{Kind: Opened, Addr: netip.AddrFrom4([4]byte{172, 16, byte(i), byte(w.now)})})
					if got.Kind == Admit {
						w.states[got.Conn] = "lobby"
						if w.d.conns[got.Conn].state == overflow {
							w.states[got.Conn] = "step"
						}
						w.step(Event{Kind: Closed, Conn: got.Conn})
						delete(w.states, got.Conn)
					}
					for id := range w.evicted {
						w.step(Event{Kind: Closed, Conn: id})
						delete(w.evicted, id)
					}
				}
			},
			"began": func(t *rapid.T) {
				if id, ok := drawConn(func(id int32) bool { return !w.open[id] && !w.rejected[id] }); ok {
					w.step(Event{Kind: RequestBegan, Conn: id})
				}
			},
			"ask": func(t *rapid.T) {
				id, ok := drawConn(func(id int32) bool { return !w.open[id] && !w.rejected[id] })
				if !ok {
					t.Skip()
				}
				identity := rapid.SampledFrom([]string{"", "", "tool", "mad", "stranger"}).Draw(t, "who")
				e := Event{Kind: RequestRead, Conn: id, Identity: identity}
				if identity == "stranger" {
					e.Identity = ""
				}
				got, n := w.step(e)
				delete(w.ready, id)
				if n != 1 || got.Kind != Serve && got.Kind != Reject {
					t.Fatalf("%d answers to a request: %+v", n, got)
				}
				if got.Kind == Reject {
					w.rejected[id] = true
					if got.Code != 429 && got.Code != 503 || got.RetryAfter < c.MinRetryAfter || got.RetryAfter > 2*c.MinRetryAfter {
						t.Fatalf("%+v", got)
					}
					return
				}
				w.open[id] = true
				switch {
				case e.Identity != "":
					w.states[id] = "known"
				case w.states[id] == "lobby":
					w.states[id] = "guest"
				case w.states[id] == "step":
					t.Fatal("an unknown client was served on the step")
				}
			},
			"done": func(t *rapid.T) {
				if id, ok := drawConn(func(id int32) bool { return w.open[id] }); ok {
					w.step(Event{Kind: RequestDone, Conn: id})
					delete(w.open, id)
				}
			},
			"close": func(t *rapid.T) {
				if id, ok := drawConn(func(int32) bool { return true }); ok {
					delete(w.states, id)
					delete(w.open, id)
					delete(w.rejected, id)
					delete(w.ready, id)
					w.step(Event{Kind: Closed, Conn: id})
				}
			},
			"host": func(t *rapid.T) {
				for id := range w.evicted {
					w.step(Event{Kind: Closed, Conn: id})
					delete(w.evicted, id)
				}
			},
		})
	})
}

// A flood of silent connections from one address makes room for others, and a known client walks
// through it into the reserve, even when all places of the unknown are busy.
func TestKnownClientsAreAdmittedInAFlood(t *testing.T) {
	d := New(config(), 1)
	now := time.Second
	do := func(e Event) Action {
		t.Helper()
		now += 6 * ms
		var answer Action
		for _, a := range d.Step(now, e) {
			if a.Kind != Evict && a.Kind != Expire {
				answer = a
			}
		}
		return answer
	}
	for range 3 { // the unknown's places, all busy
		c := do(Event{Kind: Opened, Addr: addr("10.0.0.1")})
		if got := do(Event{Kind: RequestRead, Conn: c.Conn}); got.Kind != Serve {
			t.Fatalf("%+v", got)
		}
	}
	unknown := do(Event{Kind: Opened, Addr: addr("10.0.0.3")})
	if got := do(Event{Kind: RequestRead, Conn: unknown.Conn}); got.Kind != Reject || got.Code != 503 {
		t.Errorf("a stranger on the step: %+v", got)
	}
	do(Event{Kind: Closed, Conn: unknown.Conn})
	tool := do(Event{Kind: Opened, Addr: addr("10.0.0.2")})
	if got := do(Event{Kind: RequestRead, Conn: tool.Conn, Identity: "tool"}); got.Kind != Serve || got.CloseAfterAnswer {
		t.Errorf("a known client on the step: %+v", got)
	}
	if c := d.Counts(); c.Known != 1 || c.Promoted != 1 || c.Overflow != 0 || c.Level != Critical {
		t.Errorf("%+v", c)
	}
	// The reserve is full: the next known one is refused, as nobody stands in the lobby.
	tool = do(Event{Kind: Opened, Addr: addr("10.0.0.2")})
	if got := do(Event{Kind: RequestRead, Conn: tool.Conn, Identity: "tool"}); got.Kind != Reject || got.Code != 503 || got.Cause != CapacityReached {
		t.Errorf("beyond the reserve: %+v", got)
	}
}

// A known client gone mad is held by its own cap, and an address by its rate.
func TestKnownClientsKeepTheirLimits(t *testing.T) {
	c := config()
	c.MaxConnections, c.PerAddress.ConnectionsPerSecond = 20, 2
	d := New(c, 1)
	now := time.Second
	for i, want := range []ActionKind{Admit, Admit, Drop, Drop} {
		if got := d.Step(now, Event{Kind: Opened, Addr: addr("10.0.0.1")}); got[0].Kind != want {
			t.Errorf("connection %d: %+v", i, got)
		}
	}
	if got := d.Step(now+500*ms, Event{Kind: Opened, Addr: addr("10.0.0.1")}); got[0].Kind != Admit {
		t.Errorf("half a second later: %+v", got)
	}
	for i := range 3 {
		open := d.Step(now, Event{Kind: Opened, Addr: netip.AddrFrom4([4]byte{10, 1, byte(i), 1})})[0]
		got := d.Step(now, Event{Kind: RequestRead, Conn: open.Conn, Identity: "mad"})[0]
		if want := i < 2; (got.Kind == Serve) != want || !want && (got.Code != 429 || got.Cause != TooManyConnections) {
			t.Errorf("connection %d of one identity: %+v", i, got)
		}
	}
}

// A known client whose request is there as it connects is let in past its own address's bounds; one
// that is not known is answered without a place, and with the word that fits.
func TestRequestReadBeforeAdmission(t *testing.T) {
	c := config()
	c.PerAddress = ClientLimit{Connections: 1, OpenRequests: 1, ConnectionsPerSecond: 4}
	c.PerIdentity = ClientLimit{Connections: 3, ConnectionsPerSecond: 2}
	d := New(c, 1)
	from := addr("10.0.0.1")
	now := time.Second
	for i, tt := range []struct {
		e     Event
		kind  ActionKind
		code  int
		cause Cause
	}{
		{Event{HeadComplete: true}, Admit, 0, NoCause},
		{Event{HeadComplete: true}, Reject, 429, TooManyConnections},
		{Event{}, Admit, 0, NoCause}, // on the step: it has said nothing that could be answered
		{Event{ClientLeft: true}, Drop, 0, ClientLeft},
		{Event{HeadComplete: true}, Reject, 429, RateExceeded},
		{Event{}, Drop, 0, RateExceeded},
		{Event{HeadComplete: true, Identity: "tool"}, Admit, 0, NoCause},
		{Event{HeadComplete: true, Identity: "tool"}, Admit, 0, NoCause},
		{Event{HeadComplete: true, Identity: "tool"}, Reject, 429, RateExceeded},
		{Event{HeadComplete: true, Identity: "stranger"}, Admit, 0, NoCause}, // from an address of known clients by now
	} {
		tt.e.Kind, tt.e.Addr = Opened, from
		got := d.Step(now, tt.e)
		if len(got) != 1 || got[0].Kind != tt.kind || got[0].Code != tt.code || got[0].Cause != tt.cause {
			t.Errorf("%d: %+v, want %v %d %v", i, got, tt.kind, tt.code, tt.cause)
		}
	}
	if c := d.Counts(); c.Known != 2 || c.Unknown != 2 || c.Overflow != 1 || c.Rejected[RateExceeded] != 2 || c.Dropped[RateExceeded] != 1 {
		t.Errorf("%+v", c)
	}
}

// An IPv6 client with a new address each time is one client, and its whole net is one, too.
func TestNewAddressesOfOneNetAreOneClient(t *testing.T) {
	c := config()
	c.MaxConnections, c.MaxOverflow, c.PerAddress.Connections, c.PerNetwork.Connections = 50, 5, 3, 7
	d := New(c, 1)
	admitted := map[byte]int{}
	for i := range 60 {
		a := addr("2001:db8::").As16()
		a[7], a[8], a[15] = byte(i%4), byte(i), byte(i) // 4 networks of one /48
		for _, got := range d.Step(time.Second, Event{Kind: Opened, Addr: netip.AddrFrom16(a), HeadComplete: true}) {
			if got.Kind == Admit {
				admitted[a[7]]++
			} else if got.Code != 429 || got.Cause != TooManyConnections {
				t.Fatalf("%+v", got)
			}
		}
	}
	if diff := cmp.Diff(map[byte]int{0: 2, 1: 2, 2: 2, 3: 1}, admitted); diff != "" {
		t.Error(diff)
	}
	if n := d.Counts().Addresses; n > 5+2*c.RememberedAddresses {
		t.Errorf("%d addresses remembered", n)
	}
	// Where the settings have it so, a /128 is a client.
	c.Prefixes, c.PerNetwork = PrefixLengths{Address6: 128, Network6: 64}, ClientLimit{}
	d = New(c, 1)
	for i := range 10 {
		a := addr("2001:db8::").As16()
		a[15] = byte(i)
		if got := d.Step(time.Second, Event{Kind: Opened, Addr: netip.AddrFrom16(a)}); got[0].Kind != Admit || d.Counts().Overflow > 0 {
			t.Fatalf("address %d: %+v", i, got)
		}
	}
}

// Who is silent and who sends too slowly has a bound of its own at each level; who waits for an
// answer has none.
func TestTimeoutsByLevel(t *testing.T) {
	c := config()
	c.MaxConnections, c.ReservedForKnown = 20, 0
	c.IdleTimeout, c.RequestTimeout = [3]time.Duration{500 * ms, 300 * ms, 100 * ms}, [3]time.Duration{400 * ms, 200 * ms, 50 * ms}
	for level, busy := range []int{5, 13, 17} {
		d := New(c, 1)
		now := time.Second
		open := func() int32 { return d.Step(now, Event{Kind: Opened, Addr: addr("10.0.0.1")})[0].Conn }
		for range busy {
			d.Step(now, Event{Kind: RequestRead, Conn: open()})
		}
		idle, sending := open(), open()
		d.Step(now, Event{Kind: RequestBegan, Conn: sending})
		if d.Level() != Level(level) {
			t.Fatalf("%v, want %v", d.Level(), Level(level))
		}
		expired := map[int32]time.Duration{}
		for end := now + time.Second; now < end; now += 10 * ms {
			for _, a := range d.Step(now, Event{Kind: TimePassed}) {
				if a.Kind != Expire || a.Cause != TimedOut || expired[a.Conn] != 0 {
					t.Fatalf("%+v", a)
				}
				expired[a.Conn] = now - time.Second
			}
		}
		if diff := cmp.Diff(map[int32]time.Duration{idle: c.IdleTimeout[level], sending: c.RequestTimeout[level]}, expired); diff != "" {
			t.Errorf("%v: %s", Level(level), diff)
		}
	}
}

// Bounds lowered below what is in use: silent ones go at once, the reserve opens as the rest is
// answered, and nobody is let in before.
func TestLoweredLimits(t *testing.T) {
	c := config()
	c.MaxConnections, c.ReservedForKnown = 10, 0
	d := New(c, 1)
	now := time.Second
	open := func(a string) int32 {
		now += 6 * ms
		return d.Step(now, Event{Kind: Opened, Addr: addr(a)})[0].Conn
	}
	for range 5 {
		d.Step(now, Event{Kind: RequestRead, Conn: open("10.0.0.1")})
	}
	for range 5 {
		open("10.0.0.2")
	}
	c.MaxConnections, c.ReservedForKnown = 6, 3
	evicted := 0
	for _, a := range d.Step(now, Event{Kind: ConfigChanged, Config: &c}) {
		if a.Kind == Evict {
			evicted++
		}
	}
	if got := d.Counts(); evicted != 5 || got.Unknown != 5 || got.Open != 5 {
		t.Errorf("%d shut, %+v", evicted, got)
	}
	rejects := func(e Event) bool {
		e.Kind, e.Addr, e.HeadComplete = Opened, addr("10.0.0.3"), true
		got := d.Step(now, e)
		return got[0].Kind == Reject && got[0].Code == 503
	}
	for conn := range int32(3) {
		if !rejects(Event{}) {
			t.Error("a stranger was let in over the bound")
		}
		d.Step(now, Event{Kind: Closed, Conn: conn})
	}
	if rejects(Event{}) || rejects(Event{Identity: "tool"}) {
		t.Error("nobody is let in under the bound")
	}
}

// An address of the known costs no allocation, and no crowd pushes it out.
func TestKnownAddressAllocatesNothing(t *testing.T) {
	c := config()
	c.MaxConnections = 100
	d := New(c, 1)
	now := time.Second
	connectOnce := func() {
		now += 10 * ms
		open := d.Step(now, Event{Kind: Opened, Addr: addr("10.0.0.9")})[0].Conn
		d.Step(now, Event{Kind: RequestRead, Conn: open, Identity: "tool"})
		d.Step(now, Event{Kind: RequestDone, Conn: open})
		d.Step(now, Event{Kind: Closed, Conn: open})
	}
	connectOnce()
	for i := range 1000 {
		open := d.Step(now, Event{Kind: Opened, Addr: netip.AddrFrom4([4]byte{172, byte(i >> 8), byte(i), 1})})[0].Conn
		d.Step(now, Event{Kind: Closed, Conn: open})
	}
	if key, _ := d.config.Prefixes.keys(addr("10.0.0.9")); d.table.clients[key] == nil || len(d.table.clients) > 2*c.RememberedAddresses {
		t.Errorf("%d addresses, the known one among them: %v", len(d.table.clients), d.table.clients[key] != nil)
	}
	if n := testing.AllocsPerRun(1000, connectOnce); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// BenchmarkStep is a flood of silent connections from 4,096 addresses at a full house, three events
// a connection.
func BenchmarkStep(b *testing.B) {
	c := config()
	c.MaxConnections, c.MaxOverflow, c.RememberedAddresses = 500, 16, 4096
	d := New(c, 1)
	now := time.Second
	b.ReportAllocs()
	events := 0
	for i := 0; b.Loop(); i++ {
		now += 10 * time.Microsecond
		for _, a := range d.Step(now, Event{Kind: Opened, Addr: netip.AddrFrom4([4]byte{10, byte(i >> 4 & 15), byte(i & 255), 1})}) {
			if a.Kind == Evict {
				events++
				d.Step(now, Event{Kind: Closed, Conn: a.Conn})
				break
			}
		}
		events++
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}

// A router that is draining closes connections that were used as soon as they are idle, and gives a
// new one the time for its first request.
func TestDrainingLeavesTimeForFirstRequest(t *testing.T) {
	for _, c := range []struct {
		name     string
		used     bool
		idleTime time.Duration
		age      time.Duration
		closed   bool
	}{
		{"new", false, 0, firstRequestTime - 1, false},
		{"new for long enough", false, 0, firstRequestTime, true},
		{"new, where others must be idle for longer", false, 2 * firstRequestTime, firstRequestTime, false},
		{"used", true, 0, 0, true},
		{"used, not idle for long enough", true, 100 * ms, 99 * ms, false},
		{"used, idle for long enough", true, 100 * ms, 100 * ms, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(config(), 1)
			opened := d.Step(time.Second, Event{Kind: Opened, Addr: addr("10.0.0.1")})
			if len(opened) != 1 || opened[0].Kind != Admit {
				t.Fatalf("%+v", opened)
			}
			id := opened[0].Conn
			if c.used {
				d.Step(time.Second, Event{Kind: RequestBegan, Conn: id})
				d.Step(time.Second, Event{Kind: RequestRead, Conn: id})
				d.Step(time.Second, Event{Kind: RequestDone, Conn: id})
			}
			got := d.Step(time.Second+c.age, Event{Kind: CloseIdle, IdleTime: c.idleTime})
			if closed := len(got) == 1 && got[0].Kind == Expire && got[0].Cause == RouterDraining; closed != c.closed {
				t.Errorf("%+v", got)
			}
		})
	}
}
