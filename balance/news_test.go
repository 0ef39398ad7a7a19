package balance

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// talking is the configuration of the first of three gateways, all of one zone, with marks to be heard first.
func talking(t *testing.T, replicas ...Member) *gateway {
	t.Helper()
	cfg := testConfig()
	cfg.Gateways, cfg.MayProbe = 3, true
	g := newGateway(t, cfg, replicas...)
	for from := 1; from < 3; from++ {
		g.step(Heard{From: from, Zone: mark("here")})
	}
	return g
}

// Many gateways each see few of a replica's prompts: what one sends, those that share the replica are told.
func TestPromptSentIsTold(t *testing.T) {
	g := talking(t, members("a")...)
	out := g.step(g.request("safe"))
	want := []Tell{{To: []int{1, 2}, Zone: mark("here"), News: []News{{Tag: tag(g.b.replicas["a"]), Tokens: 1000}}}}
	if diff := cmp.Diff(want, of[Tell](out)); diff != "" {
		t.Error(diff)
	}
	if n := len(of[Probe](out)); n != 0 {
		t.Errorf("%d probes; where gateways tell each other, none is worth its price", n)
	}
}

// Who has not been heard of, or is of another zone, is told nothing of a prompt; the greeting goes to everybody.
func TestOnlyGatewaysOfTheZoneAreTold(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways, cfg.Me = 4, 1
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	g := &gateway{t: t, b: b, now: 100 * sec}
	greeting := []Tell{{To: []int{0, 2, 3}, Zone: mark("here")}}
	if diff := cmp.Diff(greeting, of[Tell](g.step(Members{Version: 1, Whole: true, Members: members("a")}))); diff != "" {
		t.Error(diff)
	}
	g.step(Heard{From: 0, Zone: mark("there")}, Heard{From: 3, Zone: mark("here")}, Heard{From: 9}, Heard{From: -1})
	if tells := of[Tell](g.step(g.request("safe"))); len(tells) != 1 || !cmp.Equal(tells[0].To, []int{3}) {
		t.Errorf("want the prompt told to gateway 3 alone, got %v", tells)
	}
}

// A replica that others have just filled must not look idle, and looks idle again once it has read what they sent.
func TestHeardPromptsCount(t *testing.T) {
	for _, test := range []struct {
		name  string
		after int // s since the others sent
		fresh bool
	}{{"just now", 0, false}, {"long ago", 60, true}} {
		g := talking(t, members("a", "b")...)
		best := sentTo(t, g.step(g.request("safe")))
		g.after(50*ms, FirstToken{ID: "q1"})
		g.step(Outcome{ID: "q1", Result: OK, Final: true})
		q := g.request("safe")
		q.ID, q.Session = "q1", "" // the same homes in the same order
		g.step(Heard{From: 1, Zone: mark("here"), News: []News{{Tag: tag(g.b.replicas[best]), Tokens: 20000}}})
		for range test.after {
			g.after(sec)
		}
		if got := sentTo(t, g.step(q)) == best; got != test.fresh {
			t.Errorf("%s: sent to the one that others filled: %v, want %v", test.name, got, test.fresh)
		}
	}
}

// A slow replica is known to all from the first that met it, until that is old.
func TestSlownessIsToldAndBelieved(t *testing.T) {
	g := talking(t, members("a")...)
	a := g.b.replicas["a"]
	g.step(g.request("safe"))
	tells := of[Tell](g.after(900*ms, FirstToken{ID: "q1"}))
	if len(tells) != 1 || tells[0].News[0].Slow < surprise {
		t.Fatalf("want the slow first token told, got %v", tells)
	}

	h := talking(t, members("a", "b")...)
	a = h.b.replicas["a"]
	for range 3 {
		h.step(Heard{From: 1, Zone: mark("here"), News: tells[0].News})
	}
	if s := h.b.slowness(a); s < surprise {
		t.Errorf("slowness %.2f after three words of it", s)
	}
	h.after(60 * sec)
	if s := h.b.slowness(a); s > 1.1 {
		t.Errorf("slowness %.2f a minute later", s)
	}
}

// What was seen here a moment ago stands, however many say otherwise.
func TestHearsayNeverOutweighsOwnEvidence(t *testing.T) {
	g := talking(t, members("a")...)
	a := g.b.replicas["a"]
	g.serve(g.request("safe"), 60*ms, 0)
	own := g.b.slowness(a)
	for range 100 {
		g.step(Heard{From: 1, Zone: mark("here"), News: []News{{Tag: tag(a), Slow: 20}}})
	}
	if s := g.b.slowness(a); s > own*1.01 {
		t.Errorf("slowness %.2f where %.2f was just seen", s, own)
	}
}

// Words on a replica that no list has named do nothing, and none makes it one to send to.
func TestUnlistedReplicaIsNeverSentTo(t *testing.T) {
	g := talking(t, members("a")...)
	g.step(Heard{From: 1, News: []News{{Tag: tag(&replica{name: hash("elsewhere")}), Tokens: 1}}})
	if len(g.b.replicas) != 1 || len(g.b.tags) != 1 {
		t.Errorf("%d replicas and %d tags, want one each", len(g.b.replicas), len(g.b.tags))
	}
	g.step(Members{Version: 2, Whole: true, Members: members("b")})
	if len(g.b.tags) != 1 || g.b.tags[tag(g.b.replicas["b"])] == nil {
		t.Errorf("tags are %v, want that of b alone", g.b.tags)
	}
}
