package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func livePeers(numbers ...int) (all []Peer) {
	for _, n := range numbers {
		all = append(all, Peer{n, "here"})
	}
	return all
}

// Once a liveness view has been stable, routers that it lacks get no more reports. A view that is
// wrong for one second changes nothing. A router that returns to the view, or appears in it for the
// first time, gets reports at once.
func TestLivenessViewSelectsWhoGetsReports(t *testing.T) {
	g := newRouterWithPeers(t, members("a")...)
	reported := func(want ...int) {
		t.Helper()
		q := longPrompt(g.request("safe"))
		var to []int
		for _, message := range actionsOf[SendReports](g.after(ms, q)) {
			to = append(to, message.To...)
		}
		g.after(450*ms, FirstToken{ID: q.ID})
		g.after(50*ms, Outcome{ID: q.ID, Result: OK, Final: true})
		if diff := cmp.Diff(want, to); diff != "" {
			t.Error(diff)
		}
	}
	reported(1, 2)
	g.step(LivenessView{Version: 5, Live: livePeers(0, 1)})
	reported(1, 2)
	g.after(sec, LivenessView{Version: 6, Live: livePeers(0, 1, 2)})
	g.after(2 * viewStabilityTime)
	reported(1, 2)
	g.step(LivenessView{Version: 7, Live: livePeers(0, 1)})
	g.after(viewStabilityTime)
	reported(1)
	g.step(LivenessView{Version: 6, Live: livePeers(0, 1, 2)}) // older than the last view, so ignored
	reported(1)
	g.step(LivenessView{Version: 8, Live: livePeers(0, 1, 2, 3, 99, -1)})
	reported(1, 2, 3)
}

// The slow-start budget is computed with the number of live routers. A lower number takes effect at
// once, a higher one after the view has been stable.
func TestSlowStartBudgetFollowsTheView(t *testing.T) {
	g := newRouterWithPeers(t, append(members("warm"), Member{Replica: "cold", Zone: "here", Kind: "k", StartedAt: 99 * sec})...)
	g.serve(g.request("safe"), 50*ms, 0)
	cold := g.b.replicas["cold"]
	ratio := func(want float64) {
		t.Helper()
		budget, full := g.b.spendCredit(cold, 0), g.b.cfg.OverloadFactor/2*g.b.capacityFraction(cold)*g.b.completedWork
		if got := budget / full; full == 0 || got < want-0.01 || got > want+0.01 {
			t.Errorf("slow-start budget is computed for %.2f routers, want %v", got, want)
		}
	}
	ratio(minReportingRouters)
	g.step(LivenessView{Version: 1, Live: livePeers(0, 1, 2)})
	ratio(3)
	g.after(sec, LivenessView{Version: 2, Live: livePeers(0, 1, 2, 3, 4, 5)})
	ratio(3)
	g.after(viewStabilityTime)
	ratio(6)
}

// One of many routers has no attempts on most replicas. While the assigned replicas have a backlog,
// it sends to such an idle replica against its estimate only once in a while; without a backlog, at
// once.
func TestIdleReplicaIsTriedAsFarAsOthersHaveNoBacklog(t *testing.T) {
	for _, backlogged := range []bool{false, true} {
		g := newRouterWithPeers(t, members("a", "b", "c")...)
		for _, r := range g.b.sorted {
			r.prefill.Add(1000, 0.5) // so that 1,000 tokens take half of the latency target
		}
		var reports []PeerReport
		for _, r := range g.b.sorted {
			reports = append(reports, PeerReport{ReplicaTag: replicaTag(r), PrefillTokens: 4000})
		}
		sent := 0
		for range 20 {
			if backlogged {
				g.step(ReportsReceived{From: 1, Zone: zoneTag("here"), Reports: reports})
			}
			q := g.request("safe")
			q.PromptTokens = 1500
			if n := len(actionsOf[Send](g.after(ms, q))); n > 0 {
				sent++
				g.after(20*ms, Aborted{ID: q.ID}, Outcome{ID: q.ID, Result: Cancelled, Final: true}) // a cancelled attempt changes no estimate
			}
		}
		if backlogged && sent != 1 || !backlogged && sent < 15 {
			t.Errorf("backlog %v: %d of 20 prompts were sent to idle replicas, want 1 with a backlog and at least 15 without", backlogged, sent)
		}
	}
}

// The prompts that a dead router reported no longer count. Because reports are summed over routers,
// the sum is reduced in proportion once the view has been stable.
func TestReportsOfRemovedRoutersAreDropped(t *testing.T) {
	for _, dead := range []bool{false, true} {
		g := newRouterWithPeers(t, members("a")...)
		a := g.b.replicas["a"]
		tokens := 0.5 * maxPeerPrefill / a.prefill.perToken()
		g.step(ReportsReceived{From: 1, Zone: zoneTag("here"), Reports: []PeerReport{{ReplicaTag: replicaTag(a), PrefillTokens: tokens}}}, LivenessView{Version: 1, Live: livePeers(0, 1, 2)})
		want := tokens
		if dead {
			g.step(LivenessView{Version: 2, Live: livePeers(0, 2)})
			want *= 2.0 / 3
		}
		want -= viewStabilityTime.Seconds() / a.prefill.perToken() // prefilled while the view was stable
		g.after(viewStabilityTime)
		if got := g.b.tokensQueuedOn(a); got < 0.99*want || got > 1.01*want {
			t.Errorf("reporting router dead %v: %.0f tokens counted as queued, want %.0f", dead, got, want)
		}
	}
}

// With few routers and many replicas, enough replicas are assigned to each router that nearly every
// replica is assigned to some router. A replica assigned to no router is used only if others have
// no capacity.
func TestAssignmentsCoverTheReplicas(t *testing.T) {
	const routers, hosts = 10, 80
	cfg := testConfig()
	cfg.Routers = routers
	g := newTestRouter(t, cfg, members(numberedNames("r", hosts)...)...)
	for from := 1; from < routers; from++ {
		g.step(ReportsReceived{From: from, Zone: zoneTag("here")})
	}
	covered := 0
	for _, r := range g.b.sorted {
		if len(r.liveAssignees) > 0 {
			covered++
		}
	}
	want := minAssignees * hosts / routers
	if len(g.b.assigned) != want || covered < hosts*9/10 {
		t.Errorf("router has %d assigned replicas, want %d; %d of %d replicas are assigned to some router", len(g.b.assigned), want, covered, hosts)
	}
	assigned := g.b.assigned // a view that lacks half of the routers changes no assignment until it has been stable
	g.step(LivenessView{Version: 1, Live: livePeers(0, 1, 2, 3, 4)})
	if g.after(viewStabilityTime / 2); !slices.Equal(assigned, g.b.assigned) {
		t.Error("assignments changed before the view was stable")
	}
	if g.after(viewStabilityTime / 2); len(g.b.assigned) != 2*want {
		t.Errorf("router has %d assigned replicas after half of the routers died, want %d", len(g.b.assigned), 2*want)
	}
}

// Routers together must not send a replica in slow start more than the configuration allows in any
// window, apart from one request in flight from each side of a partition. This holds for views that
// wrongly lack up to half of the other routers, and in a network partition whose two sides exchange
// no reports. The test must detect the overload by four such sides that still count all routers as
// live.
func TestNoViewOverloadsAReplicaInSlowStart(t *testing.T) {
	const (
		routers  = 12
		duration = 5 * sec
		mean     = 0.02 // seconds of work
		warmWork = 0.6  // seconds of work that a warm replica completed for each router within workWindow
	)
	sends := func(tick time.Duration, partitions int, view func(i int) []Peer, seed uint64) (worst float64) {
		cfg := testConfig()
		cfg.Routers, cfg.SlowStartWindow, cfg.OverloadWindow = routers, 60*sec, 3*sec
		now := 100 * sec
		cold := Member{Replica: "cold", Zone: "here", Kind: "k", StartedAt: now}
		var all []*Balancer
		for i := range routers {
			cfg.Self = i
			b, err := New(cfg, seed+uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Restore(Learned{CompletedWork: warmWork, MeanWork: mean})
			b.Step(now, []Event{Members{Version: 1, Complete: true, Members: []Member{cold}}})
			for j := range routers {
				b.Step(now, []Event{ReportsReceived{From: j, Zone: zoneTag("here")}})
			}
			all = append(all, b)
		}
		type sending struct {
			at   time.Duration
			work float64
		}
		var sent []sending
		rng := rand.New(rand.NewPCG(seed, 1))
		for n := 0; now < 100*sec+duration; now += tick {
			for _, i := range rng.Perm(routers) {
				b := all[i]
				n++
				q := Arrival{ID: fmt.Sprint("q", n), Class: "safe", TimeLeft: 4 * sec, PromptTokens: 100,
					WorkEstimate: time.Duration(mean * 1e9)}
				for _, action := range b.Step(now, []Event{LivenessView{Version: uint64(n), Live: view(i)}, q}) {
					switch a := action.(type) {
					case Send:
						work := b.workOn(b.requests[a.ID], b.replicas["cold"])
						sent = append(sent, sending{now, work})
						b.Step(now, []Event{FirstToken{ID: a.ID}, Outcome{ID: a.ID, Result: OK, Final: true}})
					case SendReports:
						for _, to := range a.To {
							if to%partitions == i%partitions {
								all[to].Step(now, []Event{ReportsReceived{From: i, Zone: a.Zone, Reports: a.Reports}})
							}
						}
					}
				}
				for _, x := range b.queue { // clients abort at once
					b.Step(now, []Event{Aborted{ID: x.ID}})
				}
			}
		}
		// The largest ratio, over all windows, of the work sent in the window to the work that the
		// settings allow at its end, with a tolerance of two requests in transit.
		for i := range sent {
			sum := 0.0
			for j := i; j >= 0 && sent[i].at-sent[j].at < cfg.OverloadWindow; j-- {
				sum += sent[j].work
			}
			fraction := cfg.SlowStartMinCapacity + (1-cfg.SlowStartMinCapacity)*float64(sent[i].at-100*sec)/float64(cfg.SlowStartWindow)
			allowed := cfg.OverloadFactor * fraction * warmWork * routers / workWindow * cfg.OverloadWindow.Seconds()
			worst = max(worst, sum/(allowed+2*mean))
		}
		return worst
	}
	for n := range uint64(16) {
		missing, partitions := int(n/2)%(routers/2+1), 1+int(n%2)
		view := func(i int) (all []Peer) { // each router gets the same view every time
			rng := rand.New(rand.NewPCG(n, uint64(i)))
			for k, j := range rng.Perm(routers) {
				if k >= missing || j == i {
					all = append(all, livePeers(j)...)
				}
			}
			return all
		}
		tick := 10 * ms
		if n == 1 { // no router is missing, and each side of the partition sends requests more often
			tick = 2 * ms
		}
		worst := sends(tick, partitions, view, n)
		t.Logf("%d routers missing in each view, %d partitions: sent %.2f times what the settings allow", missing, partitions, worst)
		if worst > 1 {
			t.Errorf("%d of %d routers missing in each view, %d partitions: sent %.2f times what the settings allow", missing, routers, partitions, worst)
		}
	}
	worstOfFour := 0.0
	for n := range uint64(4) {
		rng := rand.New(rand.NewPCG(n, 2))
		worstOfFour = max(worstOfFour, sends(10*ms, 4, func(int) []Peer { return livePeers(rng.Perm(routers)...) }, n))
	}
	if worstOfFour <= 1 {
		t.Errorf("four partitions without reports between them sent %.2f times what the settings allow; the test must detect more than 1", worstOfFour)
	}
}

// No replica has ever completed work, the only replica is in slow start, and routers with unrelated
// clocks send requests all the time. The replica must get requests, and more of them as it answers,
// but in no window more than the configuration allows for its actual capacity, plus the slack for
// random variation that the platform grants.
func TestBootstrapOverloadsNoReplica(t *testing.T) {
	const (
		routers = 12
		mean    = 0.02 // seconds of work
		tick    = 10 * ms
		length  = 20 * sec
	)
	for n := range uint64(24) {
		warmRate := []float64{1, 3, 10, 40}[n%4] // requests that the warm replica completes per second
		rng := rand.New(rand.NewPCG(n, 3))
		cfg := testConfig()
		cfg.Routers, cfg.SlowStartMinCapacity, cfg.SlowStartWindow, cfg.OverloadFactor, cfg.OverloadWindow = routers, 0.3, 40*sec, 2.5, 3*sec
		type clockedRouter struct {
			*Balancer
			clock time.Duration // how far the router's clock is ahead of the test's
		}
		var all []clockedRouter
		for i := range routers {
			cfg.Self = i
			b, err := New(cfg, n<<8+uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			clock := 100*sec + time.Duration(rng.Int64N(int64(100*sec)))
			b.Step(clock, []Event{Members{Version: 1, Complete: true, Members: []Member{{Replica: "cold", Zone: "here", Kind: "k", StartedAt: clock}}}})
			for j := range routers {
				b.Step(clock, []Event{ReportsReceived{From: j, Zone: zoneTag("here")}})
			}
			all = append(all, clockedRouter{b, clock})
		}
		type execution struct {
			router int
			id     string
			left   float64 // remaining part of the request, 1 at the start
		}
		var queue []execution
		var sent []time.Duration
		var pendingReports []func()
		worst, arrivals := 0.0, 0
		for now := time.Duration(0); now < length; now += tick {
			fraction := cfg.SlowStartMinCapacity + (1-cfg.SlowStartMinCapacity)*float64(now)/float64(cfg.SlowStartWindow)
			dueReports := pendingReports
			pendingReports = nil
			for _, deliver := range dueReports {
				deliver()
			}
			for work := warmRate * tick.Seconds() * fraction; work > 0 && len(queue) > 0; {
				w := &queue[0]
				done := min(work, w.left)
				if work, w.left = work-done, w.left-done; w.left <= 0 {
					all[w.router].Step(all[w.router].clock+now, []Event{FirstToken{ID: w.id}, Outcome{ID: w.id, Result: OK, Final: true}})
					queue = queue[1:]
				}
			}
			for _, i := range rng.Perm(routers) {
				b := all[i]
				arrivals++
				q := Arrival{ID: fmt.Sprint("q", arrivals), Class: "safe", TimeLeft: 4 * sec, PromptTokens: 100, WorkEstimate: time.Duration(mean * 1e9)}
				for _, action := range b.Step(b.clock+now, []Event{q}) {
					switch a := action.(type) {
					case Send:
						queue, sent = append(queue, execution{i, a.ID, 1}), append(sent, now)
						inWindow := 0
						for j := len(sent) - 1; j >= 0 && now-sent[j] < cfg.OverloadWindow; j-- {
							inWindow++
						}
						allowed := cfg.OverloadFactor * fraction * warmRate * cfg.OverloadWindow.Seconds()
						worst = max(worst, float64(inWindow)/(allowed+2*math.Sqrt(allowed)+2))
					case SendReports:
						for _, to := range a.To {
							if to != i {
								pendingReports = append(pendingReports, func() {
									all[to].Step(all[to].clock+now+tick, []Event{ReportsReceived{From: i, Zone: a.Zone, Reports: a.Reports}})
								})
							}
						}
					}
				}
				for _, x := range slices.Clone(b.queue) {
					b.Step(b.clock+now, []Event{Aborted{ID: x.ID}})
				}
			}
		}
		t.Logf("replica of %v requests/s: %d sent in %v, %.2f times what is allowed in the worst window", warmRate, len(sent), length, worst)
		if worst > 1 || len(sent) < 4 {
			t.Errorf("seed %d, replica of %v requests/s: %d sent, want at least 4; %.2f times what is allowed, want at most 1", n, warmRate, len(sent), worst)
		}
	}
}
