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
	return Config{Places: 4, Reserve: 1, Step: 2, Addresses: 8, Away: time.Second, Identities: map[string]bool{"tool": true, "mad": true},
		Identity: Cap{Conns: 2}, Patience: [3]time.Duration{time.Second, 200 * ms, 100 * ms}, Last: true, Fair: true}
}

// world plays the host and checks the promises; it counts by itself.
type world struct {
	t       *rapid.T
	d       *Controller
	c       Config
	now     time.Duration
	place   map[int32]string // lobby, guest, known or step, of those that are in
	busy    map[int32]bool
	refused map[int32]bool
	ready   map[int32]bool // the request was there as it opened
	gone    map[int32]bool // shut, to be closed by the host
}

func (w *world) count(place string) (n int) {
	for _, p := range w.place {
		if p == place {
			n++
		}
	}
	return n
}

// step gives admission one event and returns the action that answers it.
func (w *world) step(e Event) (answer Action, answered int) {
	lobbies := 0 // of whom nothing is due: a request that was refused ends its connection, one that is there is asked next
	for id, p := range w.place {
		if p == "lobby" && !w.refused[id] && !w.ready[id] {
			lobbies++
		}
	}
	for _, a := range w.d.Step(w.now, e) {
		switch a.Kind {
		case Shut:
			if w.busy[a.Conn] || w.ready[a.Conn] || w.place[a.Conn] == "" {
				w.t.Fatalf("%d was shut, busy: %v, ready: %v", a.Conn, w.busy[a.Conn], w.ready[a.Conn])
			}
			delete(w.place, a.Conn)
			w.gone[a.Conn] = true
		case Hurry:
			if w.busy[a.Conn] || w.ready[a.Conn] || w.place[a.Conn] == "known" {
				w.t.Fatalf("%d, %s, was hurried", a.Conn, w.place[a.Conn])
			}
		default:
			answer, answered = a, answered+1
		}
	}
	if (e.Kind == Asked || e.Kind == Opened) && answer.Kind == Refuse && answer.Code == 503 && e.Identity != "" && lobbies > 0 {
		w.t.Fatal("a known client was refused for capacity while somebody stood in the lobby")
	}
	return answer, answered
}

func (w *world) check() {
	unknown, known, step := w.count("lobby")+w.count("guest"), w.count("known"), w.count("step")
	if unknown > w.c.Places-w.c.Reserve || unknown+known > w.c.Places || step > w.c.Step {
		w.t.Fatalf("%d unknown, %d known, %d on the step", unknown, known, step)
	}
	c := w.d.Counts()
	if c.Unknown != unknown || c.Known != known || c.Step != step || c.Open != len(w.busy) || c.Lobby != w.count("lobby") {
		w.t.Fatalf("%+v, want %d, %d, %d, %d", c, unknown, known, step, len(w.busy))
	}
	if most := 2*w.c.Addresses + 2*(len(w.place)+len(w.gone)+len(w.refused)); c.Addresses > most+2 {
		w.t.Fatalf("%d addresses remembered, %d would do", c.Addresses, most)
	}
	if len(w.d.conns) > w.c.Places+w.c.Step+len(w.gone)+30 {
		w.t.Fatalf("%d names for %d connections", len(w.d.conns), len(w.place))
	}
}

func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config()
		c.Places = rapid.IntRange(2, 8).Draw(t, "places")
		c.Fair = rapid.Bool().Draw(t, "fair")
		if !c.Fair {
			c.Patience = [3]time.Duration{}
		}
		c.Reserve = rapid.IntRange(0, c.Places-1).Draw(t, "reserve")
		if rapid.Bool().Draw(t, "ranges") {
			c.Ranges = []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}
		}
		c.Address.Conns = rapid.IntRange(0, 3).Draw(t, "perAddress")
		w := &world{t: t, d: New(c, 1), c: c, now: time.Second, place: map[int32]string{}, busy: map[int32]bool{}, refused: map[int32]bool{}, gone: map[int32]bool{}, ready: map[int32]bool{}}
		some := func(ok func(int32) bool) (int32, bool) {
			var ids []int32
			for id := range int32(40) {
				if w.place[id] != "" && ok(id) {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(ids).Draw(t, "conn"), true
		}
		from := []string{"10.0.0.1", "10.0.0.2", "10.0.1.1", "10.9.0.1", "10.9.0.2", "2001:db8::1", "2001:db8::2", "2001:db8:0:1::1", "::ffff:10.0.0.1"}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.check() },
			"open": func(t *rapid.T) {
				w.now += rapid.SampledFrom([]time.Duration{0, ms, 6 * ms, 300 * ms}).Draw(t, "after")
				a := addr(rapid.SampledFrom(from).Draw(t, "from"))
				before := w.count("step")
				e := Event{Kind: Opened, Addr: a, Said: rapid.Bool().Draw(t, "said")}
				if e.Said {
					e.Identity = rapid.SampledFrom([]string{"", "tool", "mad"}).Draw(t, "who")
					e.Whole = rapid.Bool().Draw(t, "whole")
				} else {
					e.Left = rapid.Bool().Draw(t, "left")
				}
				got, n := w.step(e)
				if n != 1 {
					t.Fatalf("%d answers to a connection", n)
				}
				if got.Kind == Refuse && (!e.Said || got.Conn != Nobody) || got.Kind == Turn && e.Said || got.Kind == Admit && e.Left && c.Fair && w.d.full() {
					t.Fatalf("%+v to %+v", got, e)
				}
				if got.Kind != Admit {
					return
				}
				if e.Whole {
					w.ready[got.Conn] = true
				}
				switch {
				case e.Identity != "":
					w.place[got.Conn] = "known"
				case w.d.Counts().Step > before || w.d.conns[got.Conn].place == step:
					w.place[got.Conn] = "step"
				case len(c.Ranges) > 0 && c.Ranges[0].Contains(a.Unmap()):
					w.place[got.Conn] = "known"
				default:
					w.place[got.Conn] = "lobby"
				}
				delete(w.gone, got.Conn)
			},
			"crowd": func(t *rapid.T) { // from very many addresses
				for i := range rapid.IntRange(1, 40).Draw(t, "crowd") {
					w.now += 6 * ms
					got, _ := w.step(Event{Kind: Opened, Addr: netip.AddrFrom4([4]byte{172, 16, byte(i), byte(w.now)})})
					if got.Kind == Admit {
						w.place[got.Conn] = "lobby"
						if w.d.conns[got.Conn].place == step {
							w.place[got.Conn] = "step"
						}
						w.step(Event{Kind: Closed, Conn: got.Conn})
						delete(w.place, got.Conn)
					}
					for id := range w.gone {
						w.step(Event{Kind: Closed, Conn: id})
						delete(w.gone, id)
					}
				}
			},
			"began": func(t *rapid.T) {
				if id, ok := some(func(id int32) bool { return !w.busy[id] && !w.refused[id] }); ok {
					w.step(Event{Kind: Began, Conn: id})
				}
			},
			"ask": func(t *rapid.T) {
				id, ok := some(func(id int32) bool { return !w.busy[id] && !w.refused[id] })
				if !ok {
					t.Skip()
				}
				who := rapid.SampledFrom([]string{"", "", "tool", "mad", "stranger"}).Draw(t, "who")
				e := Event{Kind: Asked, Conn: id, Identity: who}
				if who == "stranger" {
					e.Identity = ""
				}
				got, n := w.step(e)
				delete(w.ready, id)
				if n != 1 || got.Kind != Serve && got.Kind != Refuse {
					t.Fatalf("%d answers to a request: %+v", n, got)
				}
				if got.Kind == Refuse {
					w.refused[id] = true
					if got.Code != 429 && got.Code != 503 || got.Away < c.Away || got.Away > 2*c.Away {
						t.Fatalf("%+v", got)
					}
					return
				}
				w.busy[id] = true
				switch {
				case e.Identity != "":
					w.place[id] = "known"
				case w.place[id] == "lobby":
					w.place[id] = "guest"
				case w.place[id] == "step":
					t.Fatal("an unknown client was served on the step")
				}
			},
			"done": func(t *rapid.T) {
				if id, ok := some(func(id int32) bool { return w.busy[id] }); ok {
					w.step(Event{Kind: Done, Conn: id})
					delete(w.busy, id)
				}
			},
			"close": func(t *rapid.T) {
				if id, ok := some(func(int32) bool { return true }); ok {
					delete(w.place, id)
					delete(w.busy, id)
					delete(w.refused, id)
					delete(w.ready, id)
					w.step(Event{Kind: Closed, Conn: id})
				}
			},
			"host": func(t *rapid.T) {
				for id := range w.gone {
					w.step(Event{Kind: Closed, Conn: id})
					delete(w.gone, id)
				}
			},
		})
	})
}

// A flood of silent connections from one address makes room for others, and a known client walks through it into the
// reserve, even when all places of the unknown are busy.
func TestKnownClientsGetIn(t *testing.T) {
	d := New(config(), 1)
	now := time.Second
	do := func(e Event) Action {
		t.Helper()
		now += 6 * ms
		var answer Action
		for _, a := range d.Step(now, e) {
			if a.Kind != Shut && a.Kind != Hurry {
				answer = a
			}
		}
		return answer
	}
	for range 3 { // the unknown's places, all busy
		c := do(Event{Kind: Opened, Addr: addr("10.0.0.1")})
		if got := do(Event{Kind: Asked, Conn: c.Conn}); got.Kind != Serve {
			t.Fatalf("%+v", got)
		}
	}
	stranger := do(Event{Kind: Opened, Addr: addr("10.0.0.3")})
	if got := do(Event{Kind: Asked, Conn: stranger.Conn}); got.Kind != Refuse || got.Code != 503 {
		t.Errorf("a stranger on the step: %+v", got)
	}
	do(Event{Kind: Closed, Conn: stranger.Conn})
	tool := do(Event{Kind: Opened, Addr: addr("10.0.0.2")})
	if got := do(Event{Kind: Asked, Conn: tool.Conn, Identity: "tool"}); got.Kind != Serve || got.Last {
		t.Errorf("a known client on the step: %+v", got)
	}
	if c := d.Counts(); c.Known != 1 || c.Promoted != 1 || c.Step != 0 || c.Level != Critical {
		t.Errorf("%+v", c)
	}
	// The reserve is full: the next known one is refused, as nobody stands in the lobby.
	tool = do(Event{Kind: Opened, Addr: addr("10.0.0.2")})
	if got := do(Event{Kind: Asked, Conn: tool.Conn, Identity: "tool"}); got.Kind != Refuse || got.Code != 503 || got.Cause != FullHouse {
		t.Errorf("beyond the reserve: %+v", got)
	}
}

// A known client gone mad is held by its own cap, and an address by its rate.
func TestOwnCaps(t *testing.T) {
	c := config()
	c.Places, c.Address.PerSecond = 20, 2
	d := New(c, 1)
	now := time.Second
	for i, want := range []ActionKind{Admit, Admit, Turn, Turn} {
		if got := d.Step(now, Event{Kind: Opened, Addr: addr("10.0.0.1")}); got[0].Kind != want {
			t.Errorf("connection %d: %+v", i, got)
		}
	}
	if got := d.Step(now+500*ms, Event{Kind: Opened, Addr: addr("10.0.0.1")}); got[0].Kind != Admit {
		t.Errorf("half a second later: %+v", got)
	}
	for i := range 3 {
		open := d.Step(now, Event{Kind: Opened, Addr: netip.AddrFrom4([4]byte{10, 1, byte(i), 1})})[0]
		got := d.Step(now, Event{Kind: Asked, Conn: open.Conn, Identity: "mad"})[0]
		if want := i < 2; (got.Kind == Serve) != want || !want && (got.Code != 429 || got.Cause != OverConns) {
			t.Errorf("connection %d of one identity: %+v", i, got)
		}
	}
}

// A known client whose request is there as it connects is let in past its own address's bounds; one that is not known
// is answered without a place, and with the word that fits.
func TestWordsAtTheDoor(t *testing.T) {
	c := config()
	c.Address = Cap{Conns: 1, Open: 1, PerSecond: 4}
	c.Identity = Cap{Conns: 3, PerSecond: 2}
	d := New(c, 1)
	from := addr("10.0.0.1")
	now := time.Second
	for i, tt := range []struct {
		e     Event
		kind  ActionKind
		code  int
		cause Cause
	}{
		{Event{Said: true}, Admit, 0, NoCause},
		{Event{Said: true}, Refuse, 429, OverConns},
		{Event{}, Admit, 0, NoCause}, // on the step: it has said nothing that could be answered
		{Event{Left: true}, Turn, 0, Left},
		{Event{Said: true}, Refuse, 429, OverRate},
		{Event{}, Turn, 0, OverRate},
		{Event{Said: true, Identity: "tool"}, Admit, 0, NoCause},
		{Event{Said: true, Identity: "tool"}, Admit, 0, NoCause},
		{Event{Said: true, Identity: "tool"}, Refuse, 429, OverRate},
		{Event{Said: true, Identity: "stranger"}, Admit, 0, NoCause}, // from an address of known clients by now
	} {
		tt.e.Kind, tt.e.Addr = Opened, from
		got := d.Step(now, tt.e)
		if len(got) != 1 || got[0].Kind != tt.kind || got[0].Code != tt.code || got[0].Cause != tt.cause {
			t.Errorf("%d: %+v, want %v %d %v", i, got, tt.kind, tt.code, tt.cause)
		}
	}
	if c := d.Counts(); c.Known != 2 || c.Unknown != 2 || c.Step != 1 || c.Refused[OverRate] != 2 || c.Turned[OverRate] != 1 {
		t.Errorf("%+v", c)
	}
}

// An IPv6 client with a new address each time is one client, and its whole net is one, too.
func TestNewAddressEachTime(t *testing.T) {
	c := config()
	c.Places, c.Step, c.Address.Conns, c.Net.Conns = 50, 5, 3, 7
	d := New(c, 1)
	admitted := map[byte]int{}
	for i := range 60 {
		a := addr("2001:db8::").As16()
		a[7], a[8], a[15] = byte(i%4), byte(i), byte(i) // 4 networks of one /48
		for _, got := range d.Step(time.Second, Event{Kind: Opened, Addr: netip.AddrFrom16(a), Said: true}) {
			if got.Kind == Admit {
				admitted[a[7]]++
			} else if got.Code != 429 || got.Cause != OverConns {
				t.Fatalf("%+v", got)
			}
		}
	}
	if diff := cmp.Diff(map[byte]int{0: 2, 1: 2, 2: 2, 3: 1}, admitted); diff != "" {
		t.Error(diff)
	}
	if n := d.Counts().Addresses; n > 5+2*c.Addresses {
		t.Errorf("%d addresses remembered", n)
	}
	// Where the settings have it so, a /128 is a client.
	c.Lengths, c.Net = Lengths{Address6: 128, Net6: 64}, Cap{}
	d = New(c, 1)
	for i := range 10 {
		a := addr("2001:db8::").As16()
		a[15] = byte(i)
		if got := d.Step(time.Second, Event{Kind: Opened, Addr: netip.AddrFrom16(a)}); got[0].Kind != Admit || d.Counts().Step > 0 {
			t.Fatalf("address %d: %+v", i, got)
		}
	}
}

// Who is silent and who sends too slowly has a bound of its own at each level; who waits for an answer has none.
func TestPatienceByLevel(t *testing.T) {
	c := config()
	c.Places, c.Reserve = 20, 0
	c.Patience, c.Sending = [3]time.Duration{500 * ms, 300 * ms, 100 * ms}, [3]time.Duration{400 * ms, 200 * ms, 50 * ms}
	for level, busy := range []int{5, 13, 17} {
		d := New(c, 1)
		now := time.Second
		open := func() int32 { return d.Step(now, Event{Kind: Opened, Addr: addr("10.0.0.1")})[0].Conn }
		for range busy {
			d.Step(now, Event{Kind: Asked, Conn: open()})
		}
		silent, sending := open(), open()
		d.Step(now, Event{Kind: Began, Conn: sending})
		if d.Level() != Level(level) {
			t.Fatalf("%v, want %v", d.Level(), Level(level))
		}
		hurried := map[int32]time.Duration{}
		for end := now + time.Second; now < end; now += 10 * ms {
			for _, a := range d.Step(now, Event{Kind: Passed}) {
				if a.Kind != Hurry || a.Cause != TooSlow || hurried[a.Conn] != 0 {
					t.Fatalf("%+v", a)
				}
				hurried[a.Conn] = now - time.Second
			}
		}
		if diff := cmp.Diff(map[int32]time.Duration{silent: c.Patience[level], sending: c.Sending[level]}, hurried); diff != "" {
			t.Errorf("%v: %s", Level(level), diff)
		}
	}
}

// Bounds lowered below what is in use: silent ones go at once, the reserve opens as the rest is answered, and nobody is
// let in before.
func TestLoweredBounds(t *testing.T) {
	c := config()
	c.Places, c.Reserve = 10, 0
	d := New(c, 1)
	now := time.Second
	open := func(a string) int32 {
		now += 6 * ms
		return d.Step(now, Event{Kind: Opened, Addr: addr(a)})[0].Conn
	}
	for range 5 {
		d.Step(now, Event{Kind: Asked, Conn: open("10.0.0.1")})
	}
	for range 5 {
		open("10.0.0.2")
	}
	c.Places, c.Reserve = 6, 3
	shut := 0
	for _, a := range d.Step(now, Event{Kind: Retune, Config: &c}) {
		if a.Kind == Shut {
			shut++
		}
	}
	if got := d.Counts(); shut != 5 || got.Unknown != 5 || got.Open != 5 {
		t.Errorf("%d shut, %+v", shut, got)
	}
	refuse := func(e Event) bool {
		e.Kind, e.Addr, e.Said = Opened, addr("10.0.0.3"), true
		got := d.Step(now, e)
		return got[0].Kind == Refuse && got[0].Code == 503
	}
	for conn := range int32(3) {
		if !refuse(Event{}) {
			t.Error("a stranger was let in over the bound")
		}
		d.Step(now, Event{Kind: Closed, Conn: conn})
	}
	if refuse(Event{}) || refuse(Event{Identity: "tool"}) {
		t.Error("nobody is let in under the bound")
	}
}

// An address of the known costs no allocation, and no crowd pushes it out.
func TestKnownAddressAllocatesNothing(t *testing.T) {
	c := config()
	c.Places = 100
	d := New(c, 1)
	now := time.Second
	visit := func() {
		now += 10 * ms
		open := d.Step(now, Event{Kind: Opened, Addr: addr("10.0.0.9")})[0].Conn
		d.Step(now, Event{Kind: Asked, Conn: open, Identity: "tool"})
		d.Step(now, Event{Kind: Done, Conn: open})
		d.Step(now, Event{Kind: Closed, Conn: open})
	}
	visit()
	for i := range 1000 {
		open := d.Step(now, Event{Kind: Opened, Addr: netip.AddrFrom4([4]byte{172, byte(i >> 8), byte(i), 1})})[0].Conn
		d.Step(now, Event{Kind: Closed, Conn: open})
	}
	if own, _ := d.c.Lengths.keys(addr("10.0.0.9")); d.table.holders[own] == nil || len(d.table.holders) > 2*c.Addresses {
		t.Errorf("%d addresses, the known one among them: %v", len(d.table.holders), d.table.holders[own] != nil)
	}
	if n := testing.AllocsPerRun(1000, visit); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// BenchmarkStep is a flood of silent connections from 4,096 addresses at a full house, three events a connection.
func BenchmarkStep(b *testing.B) {
	c := config()
	c.Places, c.Step, c.Addresses = 500, 16, 4096
	d := New(c, 1)
	now := time.Second
	b.ReportAllocs()
	events := 0
	for i := 0; b.Loop(); i++ {
		now += 10 * time.Microsecond
		for _, a := range d.Step(now, Event{Kind: Opened, Addr: netip.AddrFrom4([4]byte{10, byte(i >> 4 & 15), byte(i & 255), 1})}) {
			if a.Kind == Shut {
				events++
				d.Step(now, Event{Kind: Closed, Conn: a.Conn})
				break
			}
		}
		events++
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
