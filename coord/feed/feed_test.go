package feed

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// number is a topic that holds a number, which only grows.
type number struct {
	value     uint64
	confirmed time.Duration // below 0 for never
	merges    int
	shared    bool
	padding   int // bytes behind the number
}

func (n *number) Revision() uint64 { return n.value }

func (n *number) Shared() bool { return n.shared }

func (n *number) Delta(uint64) ([]byte, uint64) {
	return append(binary.BigEndian.AppendUint64(nil, n.value), make([]byte, n.padding)...), 0
}

func (n *number) Merge(delta *coordpb.Delta) {
	n.merges++
	n.value = max(n.value, binary.BigEndian.Uint64(delta.Payload))
}

func (n *number) Confirmed() (time.Duration, bool) { return n.confirmed, n.confirmed >= 0 }

func (n *number) Confirm(at time.Duration, delta *coordpb.Delta) {
	if n.value >= delta.Revision {
		n.confirmed = max(n.confirmed, at)
	}
}

// world is routers with one topic, on a network with cuts.
type world struct {
	now   time.Duration
	nodes map[string]*router
	names []string
	cut   map[string]bool // from>to
	queue []delivery
	sent  int
	bytes int // of payloads
}

type router struct {
	*Node
	topic *number
	up    bool
}

type delivery struct {
	at   time.Duration
	from string
	send Send
}

const (
	topic = "t"
	trip  = 2 * time.Millisecond
	step  = 10 * time.Millisecond
)

func newWorld(names ...string) *world {
	w := &world{nodes: map[string]*router{}, cut: map[string]bool{}, names: names}
	for i, name := range names {
		w.start(name, uint64(i+1))
	}
	return w
}

// start begins a life of a router.
func (w *world) start(name string, life uint64) {
	r := &router{Node: New(name, life, w.now), topic: &number{confirmed: -1}, up: true}
	r.Add(topic, r.topic)
	w.nodes[name] = r
}

func (w *world) post(from string, all []Send) {
	for _, s := range all {
		w.sent++
		for _, delta := range s.Update.GetDeltas() {
			w.bytes += len(delta.Payload)
		}
		w.queue = append(w.queue, delivery{w.now + trip, from, s})
	}
}

// run goes on for a time; the source, if there is one, confirms its number all along.
func (w *world) run(d time.Duration, source string) {
	for until := w.now + d; w.now < until; w.now += step {
		if r := w.nodes[source]; r != nil && r.up {
			r.topic.confirmed = w.now
		}
		for _, name := range w.names {
			if r := w.nodes[name]; r.up {
				w.post(name, r.Tick(w.now))
			}
		}
		w.deliver()
	}
}

func (w *world) deliver() {
	for len(w.queue) > 0 && w.queue[0].at <= w.now+step {
		d := w.queue[0]
		w.queue = w.queue[1:]
		to := w.nodes[d.send.To]
		if to == nil || !to.up || w.cut[d.from+">"+d.send.To] {
			continue
		}
		if d.send.Poll != nil {
			w.post(d.send.To, to.TakePoll(w.now, d.send.Poll))
		} else {
			w.post(d.send.To, to.TakeUpdate(w.now, d.send.Update))
		}
		slices.SortStableFunc(w.queue, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
	}
}

func (w *world) set(name string, value uint64) {
	r := w.nodes[name]
	r.topic.value = value
	w.post(name, r.Changed(w.now, topic))
	w.deliver()
}

func (w *world) subscribe(name string, candidates ...string) {
	w.post(name, w.nodes[name].Subscribe(w.now, []Subscription{{Topic: topic, Candidates: candidates, Confirmed: true}}))
}

func (w *world) age(name string) time.Duration {
	at, ok := w.nodes[name].topic.Confirmed()
	if !ok {
		return time.Hour
	}
	return w.now - at
}

// A change reaches a subscriber's subscriber at once, not with the next poll; what was confirmed gets there with its age.
func TestChain(t *testing.T) {
	is := is.New(t)
	w := newWorld("tail", "home", "leaf")
	w.subscribe("home", "tail")
	w.subscribe("leaf", "home")
	w.run(2*time.Second, "tail")
	w.set("tail", 5)
	w.post("home", w.nodes["home"].Changed(w.now, topic))
	w.run(3*step, "tail")
	w.post("home", w.nodes["home"].Changed(w.now, topic))
	w.run(3*step, "tail")
	is.Equal(w.nodes["leaf"].topic.value, uint64(5))
	w.run(2*time.Second, "tail")
	is.True(w.age("leaf") < 2*PollEvery+10*step)
	is.True(w.age("leaf") > 0) // never younger than it is
	is.Equal(w.nodes["home"].Source(topic, ""), "tail")
	is.Equal(w.nodes["tail"].Subscribers(topic), []string{"home"})
}

// What is not confirmed any more by its source is had from the next candidate, and from the first one again once that is back.
func TestTurn(t *testing.T) {
	is := is.New(t)
	w := newWorld("tail", "home", "second", "leaf")
	w.subscribe("home", "tail")
	w.subscribe("second", "tail")
	w.subscribe("leaf", "home", "second")
	w.run(2*time.Second, "tail")
	is.Equal(w.nodes["leaf"].Source(topic, ""), "home")
	w.nodes["home"].up = false
	w.run(1600*time.Millisecond, "tail")
	is.Equal(w.nodes["leaf"].Source(topic, ""), "second")
	is.True(w.age("leaf") < staleAfter)
	w.nodes["home"].up = true
	w.run(4*time.Second, "tail")
	is.Equal(w.nodes["leaf"].Source(topic, ""), "home")
}

// A home that answers, but is cut off from what it is the home of, is left as well.
func TestTurnFromStale(t *testing.T) {
	is := is.New(t)
	w := newWorld("tail", "home", "second", "leaf")
	w.subscribe("home", "tail")
	w.subscribe("second", "tail")
	w.subscribe("leaf", "home", "second")
	w.run(2*time.Second, "tail")
	w.cut["tail>home"], w.cut["home>tail"] = true, true
	w.run(2500*time.Millisecond, "tail")
	is.Equal(w.nodes["leaf"].Source(topic, ""), "second")
	is.True(w.age("leaf") < staleAfter+PollEvery)
	is.True(w.age("home") > 2*time.Second)
}

// A source that begins a new life counts from the beginning; its subscribers get all of what it has.
func TestNewLife(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "leaf")
	w.subscribe("leaf", "source")
	w.run(time.Second, "source")
	w.set("source", 7)
	w.run(time.Second, "source")
	is.Equal(w.nodes["leaf"].topic.value, uint64(7))
	w.start("source", 99)
	w.nodes["source"].topic.value = 7
	merges := w.nodes["leaf"].topic.merges
	w.run(time.Second, "source")
	is.True(w.nodes["leaf"].topic.merges > merges)
	merges = w.nodes["leaf"].topic.merges
	w.run(2*time.Second, "source")
	is.Equal(w.nodes["leaf"].topic.merges, merges) // nothing new, nothing sent
}

// A delta that builds on what never came is passed over; the next poll brings all of it.
func TestGap(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "leaf")
	w.subscribe("leaf", "source")
	w.run(time.Second, "source")
	payload := binary.BigEndian.AppendUint64(nil, 9)
	w.nodes["leaf"].TakeUpdate(w.now, &coordpb.Update{From: "source", Deltas: []*coordpb.Delta{{Topic: topic, Life: 1, Since: 5, Revision: 9, Payload: payload, AgeUs: -1}}})
	is.Equal(w.nodes["leaf"].topic.value, uint64(0))
	w.nodes["leaf"].TakeUpdate(w.now, &coordpb.Update{From: "source", Deltas: []*coordpb.Delta{{Topic: "unknown", Life: 1, Payload: payload}}})
	w.nodes["source"].topic.value = 9
	w.run(time.Second, "source")
	is.Equal(w.nodes["leaf"].topic.value, uint64(9))
}

// An answer to a poll that this router never sent, or long ago, confirms nothing.
func TestForeignAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "leaf")
	w.nodes["leaf"].TakeUpdate(time.Second, &coordpb.Update{From: "source", Nonce: 12345, Deltas: []*coordpb.Delta{{Topic: topic, Life: 1, AgeUs: 0}}})
	_, ok := w.nodes["leaf"].topic.Confirmed()
	is.True(!ok)
}

// While nothing is fresh, it is asked for more often; later at the usual pace.
func TestHurry(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "leaf")
	w.subscribe("leaf", "source")
	before := w.sent
	w.run(time.Second, "") // the source has nothing that is confirmed
	hurried := w.sent - before
	w.run(time.Second, "source")
	before = w.sent
	w.run(time.Second, "source")
	calm := w.sent - before
	is.True(hurried >= 3*calm)
	is.True(calm <= 8)
}

// Whatever is drawn of cuts, ends and new lives among 12 routers in three zones: once it is over, all have the number within 3 s, nobody's
// went back, and nobody held it to be confirmed at a time when the tail had a greater one.
func TestDrawn(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var names []string
		for i := range 12 {
			names = append(names, fmt.Sprintf("r%02d", i))
		}
		w := newWorld(names...)
		for i, name := range names[1:] {
			zone := (i + 1) % 3
			switch first := names[zone]; {
			case zone == i+1 || first == name:
				w.subscribe(name, names[0])
			default:
				w.subscribe(name, first, names[zone+3], names[0])
			}
		}
		value, history := uint64(0), []time.Duration{0}
		last := map[string]uint64{}
		look := func() {
			for _, name := range names {
				r := w.nodes[name]
				if r.topic.value < last[name] {
					t.Fatalf("seed %d: the number of %s went back", seed, name)
				}
				last[name] = r.topic.value
				at, ok := r.topic.Confirmed()
				if next := r.topic.value + 1; ok && next < uint64(len(history)) && at > history[next] {
					t.Fatalf("seed %d: %s has %d confirmed at %v; %d was there at %v", seed, name, r.topic.value, at, next, history[next])
				}
			}
		}
		for w.now < 20*time.Second {
			if rng.IntN(5) == 0 {
				value++
				history = append(history, w.now)
				w.set(names[0], value)
			}
			a, b := names[rng.IntN(12)], names[rng.IntN(12)]
			switch rng.IntN(8) {
			case 0:
				w.cut[a+">"+b] = true
			case 1:
				clear(w.cut)
			case 2:
				if a != names[0] {
					w.nodes[a].up = !w.nodes[a].up
				}
			}
			for range 10 {
				w.run(step, names[0])
				look()
			}
		}
		clear(w.cut)
		for _, r := range w.nodes {
			r.up = true
		}
		w.run(3*time.Second, names[0])
		for _, name := range names {
			if got := w.nodes[name].topic.value; got != value {
				t.Errorf("seed %d: %s has %d of %d", seed, name, got, value)
			}
			if age := w.age(name); age > 2*staleAfter {
				t.Errorf("seed %d: what %s has was confirmed %v ago", seed, name, age)
			}
		}
	}
}

// Where revisions mean the same everywhere, a new source, or a new life of one, is not asked for what is here already.
func TestShared(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "second", "leaf")
	for _, r := range w.nodes {
		r.topic.shared, r.topic.value = true, 7
	}
	w.subscribe("second", "source")
	w.subscribe("leaf", "source", "second")
	w.run(time.Second, "source")
	w.cut["source>leaf"] = true
	w.run(2*time.Second, "source")
	is.Equal(w.nodes["leaf"].Source(topic, ""), "second")
	is.True(w.age("leaf") < 2*staleAfter)
	is.Equal(w.bytes, 0)
	w.nodes["second"].topic.value = 8
	w.run(time.Second, "source")
	is.Equal(w.nodes["leaf"].topic.value, uint64(8))
}

// A long payload is sent once while it may be on its way, however often it is asked for, and again once it should have come.
func TestLongPayload(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "leaf")
	source := w.nodes["source"].topic
	source.padding = 100_000
	w.subscribe("leaf", "source")
	w.run(time.Second, "source")
	w.cut["source>leaf"] = true
	source.value = 5
	w.bytes = 0
	w.run(resendAfter, "source")
	is.True(w.bytes > source.padding)
	is.True(w.bytes < 2*source.padding)
	delete(w.cut, "source>leaf")
	w.run(time.Second, "source")
	is.Equal(w.nodes["leaf"].topic.value, uint64(5))
	is.True(w.age("leaf") < staleAfter)
}

// A router that lacks a confirmation asks for it in a hurry, but not once more for each word on a topic that needs none.
func TestNoPollForPlainTopics(t *testing.T) {
	is := is.New(t)
	n := New("a", 1, 0)
	n.Add("confirmed", &number{confirmed: -1, shared: true})
	n.Add("plain", &number{confirmed: -1})
	n.Subscribe(0, []Subscription{{Topic: "confirmed", Candidates: []string{"b"}, Confirmed: true}, {Topic: "plain", Candidates: []string{"b"}}})
	polls := func(topic string) (count int) {
		from := n.now
		for i := range 100 {
			value := uint64(i + 1)
			u := &coordpb.Update{From: "b", Deltas: []*coordpb.Delta{{Topic: topic, Life: 9, Revision: value, Payload: binary.BigEndian.AppendUint64(nil, value), AgeUs: -1}}}
			for _, s := range n.TakeUpdate(from+time.Duration(i)*time.Millisecond, u) {
				if s.Poll != nil {
					count++
				}
			}
		}
		return count
	}
	is.True(polls("plain") <= 2)
	is.True(polls("confirmed") >= 90)
}
