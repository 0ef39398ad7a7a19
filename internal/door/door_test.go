package door

import (
	"net/netip"
	"testing"
	"time"

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
	d       *Door
	c       Config
	now     time.Duration
	place   map[int32]string // lobby, guest, known or step, of those that are in
	busy    map[int32]bool
	refused map[int32]bool
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

// step gives the door one event and returns the action that answers it.
func (w *world) step(e Event) (answer Action, answered int) {
	lobbies := w.count("lobby")
	for _, a := range w.d.Step(w.now, e) {
		switch a.Kind {
		case Shut:
			if w.busy[a.Conn] || w.place[a.Conn] == "" {
				w.t.Fatalf("%d was shut, busy: %v", a.Conn, w.busy[a.Conn])
			}
			delete(w.place, a.Conn)
			w.gone[a.Conn] = true
		case Hurry:
			if w.busy[a.Conn] || w.place[a.Conn] == "known" {
				w.t.Fatalf("%d, %s, was hurried", a.Conn, w.place[a.Conn])
			}
		default:
			answer, answered = a, answered+1
		}
	}
	if e.Kind == Asked && answer.Kind == Refuse && answer.Code == 503 && e.Identity != "" && lobbies > 0 {
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
		w := &world{t: t, d: New(c, 1), c: c, now: time.Second, place: map[int32]string{}, busy: map[int32]bool{}, refused: map[int32]bool{}, gone: map[int32]bool{}}
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
				got, n := w.step(Event{Kind: Opened, Addr: a})
				if n != 1 {
					t.Fatalf("%d answers to a connection", n)
				}
				if got.Kind != Admit {
					return
				}
				switch {
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
	if own, _ := keys(addr("10.0.0.9")); d.table.holders[own] == nil || len(d.table.holders) > 2*c.Addresses {
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
