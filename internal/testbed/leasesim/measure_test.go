package leasesim_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/leasesim"
)

var measure = flag.Bool("measure", false, "run the measurements")

// gaps returns the longest time without a holder of a role between two times, and the number of
// changes of the holder in that time.
func gaps(w *leasesim.World, name string, from, to time.Duration) (longest time.Duration, changes int) {
	var spans []leasesim.Span
	for _, s := range w.Spans {
		if s.Role == name {
			if s.To == 0 {
				s.To = w.Now()
			}
			spans = append(spans, s)
		}
	}
	slices.SortFunc(spans, func(a, b leasesim.Span) int { return int(a.From - b.From) })
	for i := 1; i < len(spans); i++ {
		if at := spans[i].From; at > from && at <= to {
			changes++
			longest = max(longest, at-spans[i-1].To)
		}
	}
	return longest, changes
}

// histogram formats durations as a histogram, with their median, 99th percentile and maximum.
func histogram(all []time.Duration, bin time.Duration) string {
	slices.Sort(all)
	at := func(p float64) time.Duration {
		return all[min(int(p*float64(len(all))), len(all)-1)].Round(100 * time.Microsecond)
	}
	text := fmt.Sprintf("%d: p50 %v, p99 %v, most %v\n", len(all), at(0.5), at(0.99), at(1))
	counts := map[time.Duration]int{}
	for _, d := range all {
		counts[d/bin]++
	}
	for b := time.Duration(0); b <= all[len(all)-1]/bin; b++ {
		if counts[b] > 0 {
			text += fmt.Sprintf("  %8v %4d %s\n", b*bin, counts[b], bar(counts[b], len(all)))
		}
	}
	return text
}

func bar(n, of int) string {
	var b []byte
	for range 60 * n / of {
		b = append(b, '#')
	}
	return string(b)
}

// The time without a holder of a role is bounded after a requested transfer, after the holder is
// killed and after the leader of the voters is killed, with 5 ms for each write to disk.
func TestTimesWithoutHolder(t *testing.T) {
	n := 20
	if *measure {
		n = 240
	}
	base := leasesim.Spec{Routers: 9, Zones: 3, Candidates: 5, Voters: 3, Roles: roles[:1], ClockDrift: lease.MaxClockDrift, SyncDelay: 5 * time.Millisecond, Duration: 30 * time.Second}
	var planned, killed, leader []time.Duration
	for seed := range uint64(n) {
		s := base
		s.Seed = seed + 1
		w, err := leasesim.New(s)
		if err != nil {
			t.Fatal(err)
		}
		w.Run(5*time.Second + time.Duration(seed)*37*time.Millisecond)
		holder, from := w.LeaseHolder("scribe"), w.Now()
		w.SendCommand(8, lease.Command{Kind: lease.RequestTransfer, Role: "scribe", To: fmt.Sprint("r", (holder+1)%9)})
		w.Run(w.Now() + 5*time.Second)
		gap, changes := gaps(w, "scribe", from, w.Now())
		if now := w.LeaseHolder("scribe"); changes != 1 || now != (holder+1)%9 {
			t.Errorf("seed %d: handed over %d times, from %d to %d", seed, changes, holder, now)
		}
		planned = append(planned, gap)

		for _, x := range []struct {
			router func(w *leasesim.World) int
			into   *[]time.Duration
		}{{func(w *leasesim.World) int { return w.LeaseHolder("scribe") }, &killed}, {func(w *leasesim.World) int { return w.Leader() }, &leader}} {
			at := 5*time.Second + time.Duration(seed)*37*time.Millisecond
			w, err := leasesim.New(s)
			if err != nil {
				t.Fatal(err)
			}
			w.Run(at)
			target := x.router(w)
			if other := w.Leader(); x.into == &killed && target == other || x.into == &leader && target == w.LeaseHolder("scribe") {
				continue // the holder is the leader too, so that the kill would be two faults
			}
			f := s
			f.Faults = []faults.Fault{{Kind: faults.Kill, At: at, Length: 10 * time.Second, Routers: faults.Selection{Numbers: []int{target}}}}
			if w, err = leasesim.New(f); err != nil {
				t.Fatal(err)
			}
			w.Run(at + 9*time.Second)
			gap, _ := gaps(w, "scribe", at, w.Now())
			*x.into = append(*x.into, gap)
		}
	}
	t.Logf("handed over as planned, without a holder: %s", histogram(planned, 5*time.Millisecond))
	t.Logf("holder killed, without a holder: %s", histogram(killed, 100*time.Millisecond))
	t.Logf("leader of the voters killed, without a holder: %s", histogram(leader, 100*time.Millisecond))
	for _, x := range []struct {
		all  []time.Duration
		most time.Duration
	}{{planned, 100 * time.Millisecond}, {killed, lease.DefaultTiming.Duration + 500*time.Millisecond}, {leader, 0}} {
		slices.Sort(x.all)
		if p99 := x.all[len(x.all)*99/100]; p99 > x.most {
			t.Errorf("99th percentile of the time without a holder is %v, more than %v", p99, x.most)
		}
	}
}

// Many routers request a role at the same moment, and one of them gets it. Then all routers lose
// power, and the role must have a holder again after they restart. The test also measures how many
// datagrams a holder costs.
func TestManyRoutersAskAtOnce(t *testing.T) {
	n := 60
	if *measure {
		n = 300
	}
	all := []lease.Role{{Name: "one"}, {Name: "many", MaxHolders: lease.MaxHolders}}
	w, err := leasesim.New(leasesim.Spec{Seed: 1, Routers: n, Zones: 3, Candidates: 5, Voters: 3, Roles: all, ClockDrift: lease.MaxClockDrift, SyncDelay: 2 * time.Millisecond, Duration: 80 * time.Second,
		Faults: []faults.Fault{{Kind: faults.Power, At: 40 * time.Second, Length: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	first := time.Duration(0)
	for w.Now() < 10*time.Second && first == 0 {
		w.Run(w.Now() + 10*time.Millisecond)
		if w.LeaseHolder("one") >= 0 {
			first = w.Now()
		}
	}
	w.Run(20 * time.Second)
	requests, answers := w.Requests, w.Replies
	w.Run(40*time.Second - time.Millisecond)
	rate := float64(w.Requests-requests+w.Replies-answers) / 20
	t.Logf("%d routers ask for two roles at once: granted after %v; then %.1f datagrams a second of all", n, first, rate)
	w.Run(80 * time.Second)
	if w.LeaseHolder("one") < 0 {
		t.Errorf("role \"one\" has no holder after the loss of power: %v", w.Notices)
	}

	// The same without routers that wait for the role, to measure the cost of a holder.
	w, err = leasesim.New(leasesim.Spec{Seed: 1, Routers: n, Zones: 3, Candidates: 5, Voters: 3, Roles: all[1:], RolesOf: func(i int) []string {
		if i < n-lease.MaxHolders || n < 100 {
			return nil
		}
		return []string{"many"}
	}, ClockDrift: lease.MaxClockDrift, Duration: 60 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	w.Run(20 * time.Second)
	requests, answers = w.Requests, w.Replies
	w.Run(60 * time.Second)
	if n < 100 {
		return
	}
	cost := float64(w.Requests-requests+w.Replies-answers) / 40 / lease.MaxHolders
	if t.Logf("%d holders: %.3f datagrams a second for each", lease.MaxHolders, cost); cost > 2 {
		t.Errorf("%.3f datagrams a second for each holder", cost)
	}
}
