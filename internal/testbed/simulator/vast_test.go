package simulator

import (
	"testing"
	"time"

	"reachspread/internal/testbed/faults"
)

// largeFleet returns the Spec of a fleet with 80 routers and 60 hosts in three zones. Each router gets less
// than one request a second, and a fifth of the messages between routers is lost.
func largeFleet(seed uint64) Spec { return fleetOf(seed, 80, 20, 38) }

// largestFleet returns the Spec of a fleet as large as that of the regular fleet test, with 300 routers, 100
// hosts and equally little traffic for each router.
func largestFleet(seed uint64) Spec { return fleetOf(seed, 300, 33, 63) }

func fleetOf(seed uint64, routers, hostsOfZone int, rate float64) Spec {
	s := small(seed)
	s.Length, s.Routers = 14*time.Second, routers
	group := s.Groups[0]
	s.Groups = nil
	for _, zone := range []string{"a", "b", "c"} {
		g := group
		g.Count, g.Zone = hostsOfZone, zone
		s.Groups = append(s.Groups, g)
	}
	for i := range s.Classes {
		s.Classes[i].Rate = rate
		s.Classes[i].New = Length{2500, 0.8} // more than the fleet can serve while hosts are cold
	}
	s.Peers = Peers{On: true, Least: 3 * ms, Most: 22 * ms, Lost: 0.2}
	return s
}

// If six in ten hosts are replaced by cold ones, or a third of the hosts dies and restarts cold, all
// routers together overload no cold host, although the load is more than the fleet can serve. A
// broken rule ends the simulation with an error.
func TestNoColdHostIsPushedOverByEightyRouters(t *testing.T) {
	for _, trouble := range []Disruption{
		{Kind: Replace, At: 4 * time.Second, Length: 5 * time.Second, Fraction: 0.6},
		{Kind: HostsDie, At: 4 * time.Second, Length: 2 * time.Second, Fraction: 0.33},
	} {
		t.Run(string(trouble.Kind), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := largeFleet(seed)
				s.Disruptions = []Disruption{trouble}
				r, _ := run(t, s)
				if r.Heard == 0 || r.Probes != 0 {
					t.Errorf("seed %d: %d peer reports received and %d probes; want some reports and no probes", seed, r.Heard, r.Probes)
				}
			}
		})
	}
}

// All routers and hosts lose power, and no router has a snapshot on its disk, so that routers know
// nothing of the hosts' capacity. They try cold hosts in turn and admit more by what these hosts
// serve. No cold host is overloaded, and hosts serve requests before they are warm.
func TestEightyRoutersBeginFromNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		s := largeFleet(seed)
		s.Gate = true
		s.Faults = []faults.Fault{{Kind: faults.Kill, At: 4 * time.Second, Length: 2 * time.Second, Routers: faults.Selection{All: true}},
			{Kind: faults.Kill, At: 4 * time.Second, Length: time.Second, Hosts: faults.Selection{All: true}}}
		r, _ := run(t, s)
		good := uint64(0)
		for _, x := range r.Seconds[6 : 5+int(s.Balance.SlowStartWindow/time.Second)] {
			good += x.Good
		}
		if t.Logf("seed %d: %d served while all hosts are cold", seed, good); good < 20 {
			t.Errorf("seed %d: %d served while all hosts are cold, want 20 or more", seed, good)
		}
	}
}

// At half the load, a large fleet loses little value through any of these: a zone that is isolated
// and reconnected; hosts that each accept no more connections than a third of the routers want; slow
// hosts to which each router has sent one request or none; and a restart of most routers at once
// with their last lists.
func TestEightyRoutersGetOver(t *testing.T) {
	for _, tt := range []struct {
		name    string
		conns   int
		trouble Disruption
		least   float64 // G
	}{
		{"a silent zone", 200, Disruption{Kind: LostZone, At: 4 * time.Second, Length: 4 * time.Second, Zone: "a"}, 0.8},
		{"few connections", 9, Disruption{Kind: SlowHosts, At: 4 * time.Second, Length: time.Second, Fraction: 0.01, Size: 1.1}, 0.8},
		{"slow hosts", 200, Disruption{Kind: SlowHosts, At: 4 * time.Second, Length: 8 * time.Second, Fraction: 0.1, Size: 6}, 0.8},
		{"a release of routers", 200, Disruption{Kind: RouterCrash, At: 4 * time.Second, Length: 2 * time.Second, Fraction: 0.7}, 0.8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := largeFleet(1)
			for i := range s.Classes {
				s.Classes[i].New = Length{200, 0.8}
			}
			for i := range s.Groups {
				s.Groups[i].Host.MaxConnections = tt.conns
			}
			s.Disruptions = []Disruption{tt.trouble}
			r, _ := run(t, s)
			t.Logf("G %.3f, %d handshakes for %d attempts, %.1f list entries for each request", r.G(), r.Handshakes, r.Attempts, float64(r.Lines)/float64(firstTries(r)))
			if g := r.G(); g < tt.least {
				t.Errorf("G %.3f, want %.2f or more", g, tt.least)
			}
		})
	}
}

// All hosts die at once and restart cold. The routers refuse all open requests within moments, and
// the clients retry after the Retry-After that they got. These retries overload no cold host, and
// from 5 s after the hosts' restart the fleet serves most of what it served before. It serves a third
// less if decayWork in package balance does not keep the last measure of a warm host.
func TestAllRefusedAtOnceComeBack(t *testing.T) {
	for seed := range uint64(3) {
		s := largeFleet(seed)
		for i := range s.Classes {
			s.Classes[i].New = Length{200, 0.8}
		}
		s.Length = 26 * time.Second
		s.Retries = Retries{Max: 3, Heed: true, After: 20 * ms}
		s.Disruptions = []Disruption{{Kind: HostsDie, At: 12 * time.Second, Length: 2 * time.Second, Fraction: 1}}
		r, _ := run(t, s)
		sum := func(from, to int) (good, asked float64) {
			for _, second := range r.Seconds[from:to] {
				good, asked = good+float64(second.Good), asked+float64(second.Asked)
			}
			return good, asked
		}
		goodBefore, askedBefore := sum(8, 12)
		goodAfter, askedAfter := sum(19, 25)
		before, after := goodBefore/askedBefore, goodAfter/askedAfter
		refused := uint64(0)
		for _, c := range r.Classes {
			refused += c.Refused
		}
		t.Logf("seed %d: %.3f served before, %.3f after, %d retries, %d refused for good", seed, before, after, r.Retries, refused)
		if after < 0.65*before || r.Retries == 0 {
			t.Errorf("seed %d: a share of %.3f served before, %.3f after, with %d retries; want at least 0.65 times as much, and retries", seed, before, after, r.Retries)
		}
	}
}
