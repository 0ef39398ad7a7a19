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

// number is a topic that consists of one number, which only grows.
type number struct {
	value     uint64
	confirmed time.Duration // time of the last confirmation; below 0 if there was none
	merges    int
	shared    bool
	padding   int // number of bytes in the payload after the number
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

// world simulates processes with one topic, and a network whose links can be broken.
type world struct {
	now    time.Duration
	nodes  map[string]*process
	names  []string
	broken map[string]bool // broken links, by "from>to"
	queue  []delivery
	sent   int // number of messages sent
	bytes  int // number of payload bytes sent
}

type process struct {
	*Node
	topic   *number
	running bool
}

type delivery struct {
	arrivesAt time.Duration
	from      string
	send      Send
}

const (
	topic        = "t"
	linkLatency  = 2 * time.Millisecond
	tickInterval = 10 * time.Millisecond
)

func newWorld(names ...string) *world {
	w := &world{nodes: map[string]*process{}, broken: map[string]bool{}, names: names}
	for i, name := range names {
		w.start(name, uint64(i+1))
	}
	return w
}

// start starts a process, or replaces it by a new incarnation without content.
func (w *world) start(name string, incarnation uint64) {
	r := &process{Node: New(name, incarnation, w.now), topic: &number{confirmed: -1}, running: true}
	r.Add(topic, r.topic)
	w.nodes[name] = r
}

func (w *world) send(from string, all []Send) {
	for _, s := range all {
		w.sent++
		for _, delta := range s.Update.GetDeltas() {
			w.bytes += len(delta.Payload)
		}
		w.queue = append(w.queue, delivery{w.now + linkLatency, from, s})
	}
}

// run advances the time by d. While it runs, the source confirms its number at each tick, if that
// process is running.
func (w *world) run(d time.Duration, source string) {
	for until := w.now + d; w.now < until; w.now += tickInterval {
		if r := w.nodes[source]; r != nil && r.running {
			r.topic.confirmed = w.now
		}
		for _, name := range w.names {
			if r := w.nodes[name]; r.running {
				w.send(name, r.Tick(w.now))
			}
		}
		w.deliver()
	}
}

func (w *world) deliver() {
	for len(w.queue) > 0 && w.queue[0].arrivesAt <= w.now+tickInterval {
		d := w.queue[0]
		w.queue = w.queue[1:]
		to := w.nodes[d.send.To]
		if to == nil || !to.running || w.broken[d.from+">"+d.send.To] {
			continue
		}
		if d.send.Poll != nil {
			w.send(d.send.To, to.HandlePoll(w.now, d.send.Poll))
		} else {
			w.send(d.send.To, to.HandleUpdate(w.now, d.send.Update))
		}
		slices.SortStableFunc(w.queue, func(a, b delivery) int { return cmp.Compare(a.arrivesAt, b.arrivesAt) })
	}
}

func (w *world) setValue(name string, value uint64) {
	r := w.nodes[name]
	r.topic.value = value
	w.send(name, r.Publish(w.now, topic))
	w.deliver()
}

func (w *world) subscribe(name string, candidates ...string) {
	w.send(name, w.nodes[name].Subscribe(w.now, []Subscription{{Topic: topic, Candidates: candidates, RequireConfirmed: true}}))
}

func (w *world) age(name string) time.Duration {
	at, ok := w.nodes[name].topic.Confirmed()
	if !ok {
		return time.Hour
	}
	return w.now - at
}

// A change passes through a chain of two subscriptions at once, without waiting for the next poll.
// A confirmation arrives with its age.
func TestChangePassesThroughChainAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld("tail", "home", "leaf")
	w.subscribe("home", "tail")
	w.subscribe("leaf", "home")
	w.run(2*time.Second, "tail")
	w.setValue("tail", 5)
	w.send("home", w.nodes["home"].Publish(w.now, topic))
	w.run(3*tickInterval, "tail")
	w.send("home", w.nodes["home"].Publish(w.now, topic))
	w.run(3*tickInterval, "tail")
	is.Equal(w.nodes["leaf"].topic.value, uint64(5))
	w.run(2*time.Second, "tail")
	is.True(w.age("leaf") < 2*PollInterval+10*tickInterval)
	is.True(w.age("leaf") > 0) // the leaf does not take the confirmation for newer than it is
	is.Equal(w.nodes["home"].Source(topic, ""), "tail")
	is.Equal(w.nodes["tail"].Subscribers(topic), []string{"home"})
}

// A subscriber switches from a stopped source to the next candidate, and switches back when the
// first source is running again.
func TestStoppedSourceIsReplacedUntilItReturns(t *testing.T) {
	is := is.New(t)
	w := newWorld("tail", "home", "second", "leaf")
	w.subscribe("home", "tail")
	w.subscribe("second", "tail")
	w.subscribe("leaf", "home", "second")
	w.run(2*time.Second, "tail")
	is.Equal(w.nodes["leaf"].Source(topic, ""), "home")
	w.nodes["home"].running = false
	w.run(1600*time.Millisecond, "tail")
	is.Equal(w.nodes["leaf"].Source(topic, ""), "second")
	is.True(w.age("leaf") < staleTimeout)
	w.nodes["home"].running = true
	w.run(4*time.Second, "tail")
	is.Equal(w.nodes["leaf"].Source(topic, ""), "home")
}

// A subscriber also switches away from a source that answers but has lost contact with its own
// source.
func TestIsolatedSourceIsReplaced(t *testing.T) {
	is := is.New(t)
	w := newWorld("tail", "home", "second", "leaf")
	w.subscribe("home", "tail")
	w.subscribe("second", "tail")
	w.subscribe("leaf", "home", "second")
	w.run(2*time.Second, "tail")
	w.broken["tail>home"], w.broken["home>tail"] = true, true
	w.run(2500*time.Millisecond, "tail")
	is.Equal(w.nodes["leaf"].Source(topic, ""), "second")
	is.True(w.age("leaf") < staleTimeout+PollInterval)
	is.True(w.age("home") > 2*time.Second)
}

// A restarted source counts its revisions from the start again. Its subscribers receive its whole
// content once.
func TestRestartedSourceIsReadFromStart(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "leaf")
	w.subscribe("leaf", "source")
	w.run(time.Second, "source")
	w.setValue("source", 7)
	w.run(time.Second, "source")
	is.Equal(w.nodes["leaf"].topic.value, uint64(7))
	w.start("source", 99)
	w.nodes["source"].topic.value = 7
	merges := w.nodes["leaf"].topic.merges
	w.run(time.Second, "source")
	is.True(w.nodes["leaf"].topic.merges > merges)
	merges = w.nodes["leaf"].topic.merges
	w.run(2*time.Second, "source")
	is.Equal(w.nodes["leaf"].topic.merges, merges) // no payload is sent without a change
}

// A subscriber ignores a delta that builds on a lost one, and receives both with the next poll.
func TestLostDeltaIsRecoveredByPoll(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "leaf")
	w.subscribe("leaf", "source")
	w.run(time.Second, "source")
	payload := binary.BigEndian.AppendUint64(nil, 9)
	w.nodes["leaf"].HandleUpdate(w.now, &coordpb.Update{From: "source", Deltas: []*coordpb.Delta{{Topic: topic, Life: 1, Since: 5, Revision: 9, Payload: payload, AgeUs: -1}}})
	is.Equal(w.nodes["leaf"].topic.value, uint64(0))
	w.nodes["leaf"].HandleUpdate(w.now, &coordpb.Update{From: "source", Deltas: []*coordpb.Delta{{Topic: "unknown", Life: 1, Payload: payload}}})
	w.nodes["source"].topic.value = 9
	w.run(time.Second, "source")
	is.Equal(w.nodes["leaf"].topic.value, uint64(9))
}

// An answer whose nonce belongs to no recent poll confirms nothing.
func TestUnsolicitedAnswerConfirmsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "leaf")
	w.nodes["leaf"].HandleUpdate(time.Second, &coordpb.Update{From: "source", Nonce: 12345, Deltas: []*coordpb.Delta{{Topic: topic, Life: 1, AgeUs: 0}}})
	_, ok := w.nodes["leaf"].topic.Confirmed()
	is.True(!ok)
}

// A subscriber polls faster while the topic is unconfirmed, and at the normal interval once it is
// confirmed.
func TestUnconfirmedTopicIsPolledFaster(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "leaf")
	w.subscribe("leaf", "source")
	before := w.sent
	w.run(time.Second, "") // the source has no confirmation
	fastPollSends := w.sent - before
	w.run(time.Second, "source")
	before = w.sent
	w.run(time.Second, "source")
	normalPollSends := w.sent - before
	is.True(fastPollSends >= 3*normalPollSends)
	is.True(normalPollSends <= 8)
}

// newThreeZones returns a world with 12 processes in three zones. The first process of each zone
// subscribes to the first process of all. The others subscribe to the first process of their zone,
// with two more candidates.
func newThreeZones() *world {
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
	return w
}

// Under random broken links and stopped processes, among 12 processes in three zones, the following
// holds: 3 s after the last fault all processes have the newest number. No number ever decreases. No
// number is confirmed as the newest at a time at which the first process has a greater one.
func TestRandomFaultsConverge(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 0))
		w := newThreeZones()
		names := w.names
		value, history := uint64(0), []time.Duration{0}
		last := map[string]uint64{}
		checkInvariants := func() {
			for _, name := range names {
				r := w.nodes[name]
				if r.topic.value < last[name] {
					t.Fatalf("seed %d: the number of %s decreased", seed, name)
				}
				last[name] = r.topic.value
				at, ok := r.topic.Confirmed()
				if next := r.topic.value + 1; ok && next < uint64(len(history)) && at > history[next] {
					t.Fatalf("seed %d: %s has %d confirmed as the newest at %v, but %d existed since %v", seed, name, r.topic.value, at, next, history[next])
				}
			}
		}
		for w.now < 20*time.Second {
			if rng.IntN(5) == 0 {
				value++
				history = append(history, w.now)
				w.setValue(names[0], value)
			}
			a, b := names[rng.IntN(12)], names[rng.IntN(12)]
			switch rng.IntN(8) {
			case 0:
				w.broken[a+">"+b] = true
			case 1:
				clear(w.broken)
			case 2:
				if a != names[0] {
					w.nodes[a].running = !w.nodes[a].running
				}
			}
			for range 10 {
				w.run(tickInterval, names[0])
				checkInvariants()
			}
		}
		clear(w.broken)
		for _, r := range w.nodes {
			r.running = true
		}
		w.run(3*time.Second, names[0])
		for _, name := range names {
			if got := w.nodes[name].topic.value; got != value {
				t.Errorf("seed %d: 3 s after the last fault %s has %d, want %d", seed, name, got, value)
			}
			if age := w.age(name); age > 2*staleTimeout {
				t.Errorf("seed %d: 3 s after the last fault the number of %s was last confirmed %v ago, longer than 2 * staleTimeout", seed, name, age)
			}
		}
	}
}

// If revisions are shared, a subscriber does not request content from a new source that it already
// has.
func TestSharedRevisionsAreNotSentAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "second", "leaf")
	for _, r := range w.nodes {
		r.topic.shared, r.topic.value = true, 7
	}
	w.subscribe("second", "source")
	w.subscribe("leaf", "source", "second")
	w.run(time.Second, "source")
	w.broken["source>leaf"] = true
	w.run(2*time.Second, "source")
	is.Equal(w.nodes["leaf"].Source(topic, ""), "second")
	is.True(w.age("leaf") < 2*staleTimeout)
	is.Equal(w.bytes, 0)
	w.nodes["second"].topic.value = 8
	w.run(time.Second, "source")
	is.Equal(w.nodes["leaf"].topic.value, uint64(8))
}

// While a long payload may be in flight, the source does not send it again, however often the
// subscriber polls. It sends the payload again after the time by which it should have arrived.
func TestLongPayloadIsSentOnceWhileInFlight(t *testing.T) {
	is := is.New(t)
	w := newWorld("source", "leaf")
	source := w.nodes["source"].topic
	source.padding = 100_000
	w.subscribe("leaf", "source")
	w.run(time.Second, "source")
	w.broken["source>leaf"] = true
	source.value = 5
	w.bytes = 0
	w.run(resendDelay, "source")
	is.True(w.bytes > source.padding)
	is.True(w.bytes < 2*source.padding)
	delete(w.broken, "source>leaf")
	w.run(time.Second, "source")
	is.Equal(w.nodes["leaf"].topic.value, uint64(5))
	is.True(w.age("leaf") < staleTimeout)
}

// A process that lacks a required confirmation polls at once after each update of that topic, but
// not after updates of a topic that requires no confirmation.
func TestNoExtraPollForPlainTopics(t *testing.T) {
	is := is.New(t)
	n := New("a", 1, 0)
	n.Add("confirmed", &number{confirmed: -1, shared: true})
	n.Add("plain", &number{confirmed: -1})
	n.Subscribe(0, []Subscription{{Topic: "confirmed", Candidates: []string{"b"}, RequireConfirmed: true}, {Topic: "plain", Candidates: []string{"b"}}})
	polls := func(topic string) (count int) {
		from := n.now
		for i := range 100 {
			value := uint64(i + 1)
			u := &coordpb.Update{From: "b", Deltas: []*coordpb.Delta{{Topic: topic, Life: 9, Revision: value, Payload: binary.BigEndian.AppendUint64(nil, value), AgeUs: -1}}}
			for _, s := range n.HandleUpdate(from+time.Duration(i)*time.Millisecond, u) {
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
