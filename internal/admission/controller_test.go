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
	return Config{MaxConnections: 4, ReservedForKnown: 1, MaxOverflow: 2, RememberedAddresses: 8, MinRetryAfter: time.Second, KnownIdentities: map[string]bool{"tool": true, "noisy": true},
		PerIdentity: ClientLimit{Connections: 2}, IdleTimeout: [3]time.Duration{time.Second, 200 * ms, 100 * ms}, CloseAfterAnswer: true, EvictFromLargest: true}
}

// model plays the caller of a Controller and checks the guarantees of package admission. It keeps
// its own record of all connections to compare with the Controller's counts.
type model struct {
	t        *rapid.T
	d        *Controller
	c        Config
	now      time.Duration
	states   map[int32]string // awaiting, unknown, known or overflow, for each connection that is admitted and not evicted
	open     map[int32]bool   // connections with an open request
	rejected map[int32]bool   // connections whose request was rejected, and that are not closed yet
	ready    map[int32]bool   // the request was complete when the connection opened, and is not decided yet
	evicted  map[int32]bool   // evicted connections for which the caller has not reported Closed yet
}

func (m *model) count(state string) (n int) {
	for _, s := range m.states {
		if s == state {
			n++
		}
	}
	return n
}

// step passes one event to the Controller and returns the action that answers the event, and the
// number of such actions.
func (m *model) step(e Event) (answer Action, answered int) {
	// awaiting counts the connections that may be evicted because no request was read on them. A
	// rejected connection is about to close, and a complete request is about to be decided.
	awaiting := 0
	for id, state := range m.states {
		if state == "awaiting" && !m.rejected[id] && !m.ready[id] {
			awaiting++
		}
	}
	for _, a := range m.d.Step(m.now, e) {
		switch a.Kind {
		case Evict:
			if m.open[a.Conn] || m.ready[a.Conn] || m.states[a.Conn] == "" {
				m.t.Fatalf("connection %d was evicted, but has a request (open %v, complete %v) or was not admitted", a.Conn, m.open[a.Conn], m.ready[a.Conn])
			}
			delete(m.states, a.Conn)
			m.evicted[a.Conn] = true
		case Expire:
			if m.open[a.Conn] || m.ready[a.Conn] || m.states[a.Conn] == "known" {
				m.t.Fatalf("connection %d in the state %s was expired; want none of a known client or with a request", a.Conn, m.states[a.Conn])
			}
		default:
			answer, answered = a, answered+1
		}
	}
	if (e.Kind == RequestRead || e.Kind == Opened) && answer.Kind == Reject && answer.Code == 503 && e.Identity != "" && awaiting > 0 {
		m.t.Fatal("a known client was rejected for capacity while an unknown client had a connection without a request")
	}
	return answer, answered
}

func (m *model) check() {
	unknown, known, overflows := m.count("awaiting")+m.count("unknown"), m.count("known"), m.count("overflow")
	if unknown > m.c.MaxConnections-m.c.ReservedForKnown || unknown+known > m.c.MaxConnections || overflows > m.c.MaxOverflow {
		m.t.Fatalf("%d unknown, %d known and %d overflow connections exceed the limits", unknown, known, overflows)
	}
	c := m.d.Counts()
	if c.Unknown != unknown || c.Known != known || c.Overflow != overflows || c.Open != len(m.open) || c.AwaitingRequest != m.count("awaiting") {
		m.t.Fatalf("got counts %+v; want %d unknown, %d known, %d overflow, %d open", c, unknown, known, overflows, len(m.open))
	}
	if maxAddresses := 2*m.c.RememberedAddresses + 2*(len(m.states)+len(m.evicted)+len(m.rejected)); c.Addresses > maxAddresses+2 {
		m.t.Fatalf("%d addresses in the table; want at most %d, and 2 more", c.Addresses, maxAddresses)
	}
	if len(m.d.conns) > m.c.MaxConnections+m.c.MaxOverflow+len(m.evicted)+30 {
		m.t.Fatalf("%d connection IDs for %d connections", len(m.d.conns), len(m.states))
	}
}

func TestLimitsHoldForAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config()
		c.MaxConnections = rapid.IntRange(2, 8).Draw(t, "maxConnections")
		c.EvictFromLargest = rapid.Bool().Draw(t, "evictFromLargest")
		if !c.EvictFromLargest {
			c.IdleTimeout = [3]time.Duration{}
		}
		c.ReservedForKnown = rapid.IntRange(0, c.MaxConnections-1).Draw(t, "reserve")
		if rapid.Bool().Draw(t, "ranges") {
			c.KnownRanges = []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}
		}
		c.PerAddress.Connections = rapid.IntRange(0, 3).Draw(t, "perAddress")
		m := &model{t: t, d: New(c, 1), c: c, now: time.Second, states: map[int32]string{}, open: map[int32]bool{}, rejected: map[int32]bool{}, evicted: map[int32]bool{}, ready: map[int32]bool{}}
		drawConn := func(ok func(int32) bool) (int32, bool) {
			var ids []int32
			for id := range int32(40) {
				if m.states[id] != "" && ok(id) {
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
			"": func(*rapid.T) { m.check() },
			"open": func(t *rapid.T) {
				m.now += rapid.SampledFrom([]time.Duration{0, ms, 6 * ms, 300 * ms}).Draw(t, "after")
				a := addr(rapid.SampledFrom(addresses).Draw(t, "from"))
				before := m.count("overflow")
				e := Event{Kind: Opened, Addr: a, HeadComplete: rapid.Bool().Draw(t, "headComplete")}
				if e.HeadComplete {
					e.Identity = rapid.SampledFrom([]string{"", "tool", "noisy"}).Draw(t, "identity")
					e.RequestComplete = rapid.Bool().Draw(t, "requestComplete")
				} else {
					e.ClientLeft = rapid.Bool().Draw(t, "clientLeft")
				}
				got, n := m.step(e)
				if n != 1 {
					t.Fatalf("%d actions answer a new connection; want 1", n)
				}
				if got.Kind == Reject && (!e.HeadComplete || got.Conn != NoConnection) || got.Kind == Drop && e.HeadComplete || got.Kind == Admit && e.ClientLeft && c.EvictFromLargest && m.d.isFull() {
					t.Fatalf("action %+v does not fit the event %+v", got, e)
				}
				if got.Kind != Admit {
					return
				}
				if e.RequestComplete {
					m.ready[got.Conn] = true
				}
				switch {
				case e.Identity != "":
					m.states[got.Conn] = "known"
				case m.d.Counts().Overflow > before || m.d.conns[got.Conn].state == overflow:
					m.states[got.Conn] = "overflow"
				case len(c.KnownRanges) > 0 && c.KnownRanges[0].Contains(a.Unmap()):
					m.states[got.Conn] = "known"
				default:
					m.states[got.Conn] = "awaiting"
				}
				delete(m.evicted, got.Conn)
			},
			"many addresses": func(t *rapid.T) { // a connection from each of many addresses
				for i := range rapid.IntRange(1, 40).Draw(t, "addresses") {
					m.now += 6 * ms
					got, _ := m.step(Event{Kind: Opened, Addr: netip.AddrFrom4([4]byte{172, 16, byte(i), byte(m.now)})})
					if got.Kind == Admit {
						m.states[got.Conn] = "awaiting"
						if m.d.conns[got.Conn].state == overflow {
							m.states[got.Conn] = "overflow"
						}
						m.step(Event{Kind: Closed, Conn: got.Conn})
						delete(m.states, got.Conn)
					}
					for id := range m.evicted {
						m.step(Event{Kind: Closed, Conn: id})
						delete(m.evicted, id)
					}
				}
			},
			"began": func(t *rapid.T) {
				if id, ok := drawConn(func(id int32) bool { return !m.open[id] && !m.rejected[id] }); ok {
					m.step(Event{Kind: RequestBegan, Conn: id})
				}
			},
			"read": func(t *rapid.T) {
				id, ok := drawConn(func(id int32) bool { return !m.open[id] && !m.rejected[id] })
				if !ok {
					t.Skip()
				}
				identity := rapid.SampledFrom([]string{"", "", "tool", "noisy", "unlisted"}).Draw(t, "identity")
				e := Event{Kind: RequestRead, Conn: id, Identity: identity}
				if identity == "unlisted" {
					e.Identity = ""
				}
				got, n := m.step(e)
				delete(m.ready, id)
				if n != 1 || got.Kind != Serve && got.Kind != Reject {
					t.Fatalf("%d actions answer a request, the last one %+v; want one Serve or Reject", n, got)
				}
				if got.Kind == Reject {
					m.rejected[id] = true
					if got.Code != 429 && got.Code != 503 || got.RetryAfter < c.MinRetryAfter || got.RetryAfter > 2*c.MinRetryAfter {
						t.Fatalf("rejected with %+v; want 429 or 503 and a Retry-After from MinRetryAfter to twice that", got)
					}
					return
				}
				m.open[id] = true
				switch {
				case e.Identity != "":
					m.states[id] = "known"
				case m.states[id] == "awaiting":
					m.states[id] = "unknown"
				case m.states[id] == "overflow":
					t.Fatal("an unknown client was served on an overflow connection")
				}
			},
			"done": func(t *rapid.T) {
				if id, ok := drawConn(func(id int32) bool { return m.open[id] }); ok {
					m.step(Event{Kind: RequestDone, Conn: id})
					delete(m.open, id)
				}
			},
			"close": func(t *rapid.T) {
				if id, ok := drawConn(func(int32) bool { return true }); ok {
					delete(m.states, id)
					delete(m.open, id)
					delete(m.rejected, id)
					delete(m.ready, id)
					m.step(Event{Kind: Closed, Conn: id})
				}
			},
			"close evicted": func(t *rapid.T) {
				for id := range m.evicted {
					m.step(Event{Kind: Closed, Conn: id})
					delete(m.evicted, id)
				}
			},
		})
	})
}

// While unknown clients have open requests on all connections that they may use, another unknown
// client is rejected with 503, and a known client is admitted from the overflow to the reserve.
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
	for range 3 { // all connections that unknown clients may use, each with an open request
		c := do(Event{Kind: Opened, Addr: addr("10.0.0.1")})
		if got := do(Event{Kind: RequestRead, Conn: c.Conn}); got.Kind != Serve {
			t.Fatalf("request of an unknown client: got %+v; want it served", got)
		}
	}
	unknown := do(Event{Kind: Opened, Addr: addr("10.0.0.3")})
	if got := do(Event{Kind: RequestRead, Conn: unknown.Conn}); got.Kind != Reject || got.Code != 503 {
		t.Errorf("request of an unknown client in the overflow: got %+v; want a rejection with 503", got)
	}
	do(Event{Kind: Closed, Conn: unknown.Conn})
	tool := do(Event{Kind: Opened, Addr: addr("10.0.0.2")})
	if got := do(Event{Kind: RequestRead, Conn: tool.Conn, Identity: "tool"}); got.Kind != Serve || got.CloseAfterAnswer {
		t.Errorf("request of a known client in the overflow: got %+v; want it served", got)
	}
	if c := d.Counts(); c.Known != 1 || c.Promoted != 1 || c.Overflow != 0 || c.Level != Critical {
		t.Errorf("got counts %+v; want 1 known, 1 promoted, no overflow, level critical", c)
	}
	// The reserve is full. The next known client is rejected, because no connection can be evicted.
	tool = do(Event{Kind: Opened, Addr: addr("10.0.0.2")})
	if got := do(Event{Kind: RequestRead, Conn: tool.Conn, Identity: "tool"}); got.Kind != Reject || got.Code != 503 || got.Cause != CapacityReached {
		t.Errorf("request of a known client beyond the reserve: got %+v; want a rejection with 503", got)
	}
}

// A known client can't exceed its own limit of connections, and an address can't exceed its rate of
// new connections.
func TestKnownClientsKeepTheirLimits(t *testing.T) {
	c := config()
	c.MaxConnections, c.PerAddress.ConnectionsPerSecond = 20, 2
	d := New(c, 1)
	now := time.Second
	for i, want := range []ActionKind{Admit, Admit, Drop, Drop} {
		if got := d.Step(now, Event{Kind: Opened, Addr: addr("10.0.0.1")}); got[0].Kind != want {
			t.Errorf("connection %d: got actions %+v; want 2 connections admitted, the others dropped", i, got)
		}
	}
	if got := d.Step(now+500*ms, Event{Kind: Opened, Addr: addr("10.0.0.1")}); got[0].Kind != Admit {
		t.Errorf("connection half a second later: got actions %+v; want it admitted", got)
	}
	for i := range 3 {
		open := d.Step(now, Event{Kind: Opened, Addr: netip.AddrFrom4([4]byte{10, 1, byte(i), 1})})[0]
		got := d.Step(now, Event{Kind: RequestRead, Conn: open.Conn, Identity: "noisy"})[0]
		if want := i < 2; (got.Kind == Serve) != want || !want && (got.Code != 429 || got.Cause != TooManyConnections) {
			t.Errorf("connection %d of one identity: got %+v; want 2 requests served, the third rejected with 429", i, got)
		}
	}
}

// If a known client's request is read before its connection is admitted, the connection is admitted
// regardless of the limits of its address. A request of an unknown client over a limit is rejected
// without an admitted connection, with the status and the cause of that limit.
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
		{Event{}, Admit, 0, NoCause}, // in the overflow, because there is no request to reject yet
		{Event{ClientLeft: true}, Drop, 0, ClientLeft},
		{Event{HeadComplete: true}, Reject, 429, RateExceeded},
		{Event{}, Drop, 0, RateExceeded},
		{Event{HeadComplete: true, Identity: "tool"}, Admit, 0, NoCause},
		{Event{HeadComplete: true, Identity: "tool"}, Admit, 0, NoCause},
		{Event{HeadComplete: true, Identity: "tool"}, Reject, 429, RateExceeded},
		{Event{HeadComplete: true, Identity: "unlisted"}, Admit, 0, NoCause}, // the address counts as one of known clients now
	} {
		tt.e.Kind, tt.e.Addr = Opened, from
		got := d.Step(now, tt.e)
		if len(got) != 1 || got[0].Kind != tt.kind || got[0].Code != tt.code || got[0].Cause != tt.cause {
			t.Errorf("event %d: got %+v; want kind %v, code %d, cause %v", i, got, tt.kind, tt.code, tt.cause)
		}
	}
	if c := d.Counts(); c.Known != 2 || c.Unknown != 2 || c.Overflow != 1 || c.Rejected[RateExceeded] != 2 || c.Dropped[RateExceeded] != 1 {
		t.Errorf("got counts %+v; want 2 known, 2 unknown, 1 overflow, 2 rejected and 1 dropped for the rate", c)
	}
}

// Connections from different addresses of an IPv6 /64 count as one client, and all clients of a /48
// count towards the limits of one network.
func TestNewAddressesOfOneNetAreOneClient(t *testing.T) {
	c := config()
	c.MaxConnections, c.MaxOverflow, c.PerAddress.Connections, c.PerNetwork.Connections = 50, 5, 3, 7
	d := New(c, 1)
	admitted := map[byte]int{}
	for i := range 60 {
		a := addr("2001:db8::").As16()
		a[7], a[8], a[15] = byte(i%4), byte(i), byte(i) // 4 prefixes of /64 in one /48
		for _, got := range d.Step(time.Second, Event{Kind: Opened, Addr: netip.AddrFrom16(a), HeadComplete: true}) {
			if got.Kind == Admit {
				admitted[a[7]]++
			} else if got.Code != 429 || got.Cause != TooManyConnections {
				t.Fatalf("got %+v; want Admit, or a rejection with 429 for too many connections", got)
			}
		}
	}
	if diff := cmp.Diff(map[byte]int{0: 2, 1: 2, 2: 2, 3: 1}, admitted); diff != "" {
		t.Error(diff)
	}
	if n := d.Counts().Addresses; n > 5+2*c.RememberedAddresses {
		t.Errorf("the table has %d addresses, more than are remembered and in use", n)
	}
	// With an address length of 128 bits, each single IPv6 address is a client.
	c.Prefixes, c.PerNetwork = PrefixLengths{Address6: 128, Network6: 64}, ClientLimit{}
	d = New(c, 1)
	for i := range 10 {
		a := addr("2001:db8::").As16()
		a[15] = byte(i)
		if got := d.Step(time.Second, Event{Kind: Opened, Addr: netip.AddrFrom16(a)}); got[0].Kind != Admit || d.Counts().Overflow > 0 {
			t.Fatalf("address %d: got actions %+v; want it admitted outside the overflow", i, got)
		}
	}
}

// Each level has its own timeouts for idle connections and for connections that are sending a
// request. A connection that waits for its answer has no timeout.
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
			t.Fatalf("level is %v; want %v", d.Level(), Level(level))
		}
		expired := map[int32]time.Duration{}
		for end := now + time.Second; now < end; now += 10 * ms {
			for _, a := range d.Step(now, Event{Kind: TimePassed}) {
				if a.Kind != Expire || a.Cause != TimedOut || expired[a.Conn] != 0 {
					t.Fatalf("got %+v; want one Expire for each connection, caused by its timeout", a)
				}
				expired[a.Conn] = now - time.Second
			}
		}
		if diff := cmp.Diff(map[int32]time.Duration{idle: c.IdleTimeout[level], sending: c.RequestTimeout[level]}, expired); diff != "" {
			t.Errorf("expired connections at the level %v: %s", Level(level), diff)
		}
	}
}

// If the limits are lowered below the number of connections in use, idle connections are evicted at
// once. The reserve becomes available as connections with an open request are closed, and no client
// is admitted before enough of them are.
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
		t.Errorf("%d connections evicted, counts %+v; want 5 evicted, 5 unknown, 5 open", evicted, got)
	}
	rejects := func(e Event) bool {
		e.Kind, e.Addr, e.HeadComplete = Opened, addr("10.0.0.3"), true
		got := d.Step(now, e)
		return got[0].Kind == Reject && got[0].Code == 503
	}
	for conn := range int32(3) {
		if !rejects(Event{}) {
			t.Error("an unknown client was admitted over the lowered limit")
		}
		d.Step(now, Event{Kind: Closed, Conn: conn})
	}
	if rejects(Event{}) || rejects(Event{Identity: "tool"}) {
		t.Error("a client was rejected under the lowered limit")
	}
}

// A connection from the address of a known client causes no allocation, and connections from many
// other addresses do not evict that address from the table.
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
		t.Errorf("%d addresses in the table, the known one among them: %v", len(d.table.clients), d.table.clients[key] != nil)
	}
	if n := testing.AllocsPerRun(1000, connectOnce); n != 0 {
		t.Errorf("%v allocations for a connection from a known address; want 0", n)
	}
}

// BenchmarkStep measures Step for a flood of connections without requests from 4,096 addresses while
// all connections are in use, with three events for each connection.
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

// A draining router closes a used connection as soon as it is idle for long enough, and leaves a new
// connection open for at least firstRequestTime.
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
		{"new, with an idle time longer than firstRequestTime", false, 2 * firstRequestTime, firstRequestTime, false},
		{"used", true, 0, 0, true},
		{"used, not idle for long enough", true, 100 * ms, 99 * ms, false},
		{"used, idle for long enough", true, 100 * ms, 100 * ms, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(config(), 1)
			opened := d.Step(time.Second, Event{Kind: Opened, Addr: addr("10.0.0.1")})
			if len(opened) != 1 || opened[0].Kind != Admit {
				t.Fatalf("new connection: got actions %+v; want one Admit", opened)
			}
			id := opened[0].Conn
			if c.used {
				d.Step(time.Second, Event{Kind: RequestBegan, Conn: id})
				d.Step(time.Second, Event{Kind: RequestRead, Conn: id})
				d.Step(time.Second, Event{Kind: RequestDone, Conn: id})
			}
			got := d.Step(time.Second+c.age, Event{Kind: CloseIdle, IdleTime: c.idleTime})
			if closed := len(got) == 1 && got[0].Kind == Expire && got[0].Cause == RouterDraining; closed != c.closed {
				t.Errorf("got actions %+v; want an Expire by the draining router only if the connection is to be closed", got)
			}
		})
	}
}
