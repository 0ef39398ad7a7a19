package recovery

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/balance"
	"reachspread/internal/router/snapshot"
)

// restartingRouter is a router that restarts together with its fleet, and the times of its events.
type restartingRouter struct {
	startsAt     time.Duration
	saved        *snapshot.State // state saved by its previous process, nil for none
	membershipAt time.Duration   // time when it gets to know which routers are alive
	learnsAt     time.Duration   // time when it learns a measure of its own, 0 for never
}

// datagram is an announcement in flight.
type datagram struct {
	at           time.Duration // time of arrival
	to           string
	announcement Announcement
}

// restartingFleet runs the deciders of restarting routers in virtual time. A datagram is lost if it
// has no address or arrives before its receiver has started.
type restartingFleet struct {
	routers  map[string]restartingRouter
	latency  time.Duration // time that a datagram takes
	warmAt   time.Duration // time when the hosts are warm, the same for all routers
	deciders map[string]*Decider
	inFlight []datagram
	lines    map[string][]string // decisions of each router about measures, with their times
}

const fleetStep = 10 * ms

// run plays the restart until a second after the hosts are warm. It returns what each router has
// decided about measures.
func (f *restartingFleet) run(t *testing.T) map[string][]string {
	f.deciders, f.lines = map[string]*Decider{}, map[string][]string{}
	members := Membership{savedState(len(f.routers), 0).Routers}
	for now := time.Duration(0); now <= f.warmAt+s; now += fleetStep {
		for _, name := range slices.Sorted(maps.Keys(f.routers)) {
			r := f.routers[name]
			switch now {
			case r.startsAt:
				d, err := New(Config{Self: name, Discovery: "d:1", Saved: r.saved}, now)
				if err != nil {
					t.Fatal(err)
				}
				f.deciders[name] = d
				f.step(name, now, ListReceived{Version: 1})
			case r.membershipAt:
				f.step(name, now, members)
			case r.learnsAt:
				f.step(name, now, MeasureLearned{Measure{5 * s, s}})
			case f.warmAt:
				f.step(name, now, HostsWarm{true})
			}
			f.receive(name, now)
			if d := f.deciders[name]; d != nil && d.Next() != 0 && d.Next() <= now {
				f.step(name, now, Tick{})
			}
		}
	}
	return f.lines
}

// receive delivers to a router the datagrams that have arrived for it by now.
func (f *restartingFleet) receive(name string, now time.Duration) {
	var arrived, later []datagram
	for _, x := range f.inFlight {
		if x.to == name && x.at <= now {
			arrived = append(arrived, x)
		} else {
			later = append(later, x)
		}
	}
	f.inFlight = later
	for _, x := range arrived {
		f.step(name, now, AnnouncementReceived{x.announcement})
	}
}

// step passes an event to a router that has started, and sends the datagrams of its actions.
func (f *restartingFleet) step(name string, now time.Duration, e Event) {
	if f.deciders[name] == nil {
		return
	}
	for _, a := range f.deciders[name].Step(now, e) {
		switch a := a.(type) {
		case Announce:
			for _, to := range a.To {
				if to.Addr != "" {
					f.inFlight = append(f.inFlight, datagram{now + f.latency, to.Name, a.Announcement})
				}
			}
		case AdoptMeasure:
			f.lines[name] = append(f.lines[name], fmt.Sprintf("%v: adopts that of %s", now, a.From))
		case MeasureMissing:
			if a.Ended != "" {
				f.lines[name] = append(f.lines[name], fmt.Sprintf("%v: none in %d rounds, asked %s, answered %s; %s", now, a.Rounds, strings.Join(a.Asked, " "),
					strings.Join(a.Answered, " "), a.Ended))
			}
		}
	}
}

// A fleet of six routers loses power, and two routers have a readable snapshot, as in TestRecovery's
// "half with their disks". Guards against a router that stays without a measure because datagrams or
// its membership arrive late. The router must adopt a measure within a second after it knows the
// membership and another router has a measure. If no router has one, it asks all and all answer.
func TestMeasureComesFromWhoeverHasOne(t *testing.T) {
	withMeasure := func(n int) *snapshot.State {
		b := savedState(6, 1)
		b.Router, b.Learned = fmt.Sprint("r", n), &balance.Learned{CompletedWork: 7, MeanWork: 1}
		return b
	}
	// The routers with a snapshot ask all others before these can receive anything, and then stop
	// asking.
	restart := func(r3, r5 *snapshot.State) map[string]restartingRouter {
		return map[string]restartingRouter{
			"r0": {startsAt: 4700 * ms, membershipAt: 4930 * ms}, "r1": {startsAt: 4600 * ms, membershipAt: 4900 * ms}, "r2": {startsAt: 4650 * ms, membershipAt: 4900 * ms},
			"r3": {startsAt: 3400 * ms, saved: r3, membershipAt: 4900 * ms}, "r4": {startsAt: 4700 * ms, membershipAt: 4950 * ms}, "r5": {startsAt: 3500 * ms, saved: r5, membershipAt: 5 * s},
		}
	}
	for name, x := range map[string]struct {
		fleet  restartingFleet
		change func(map[string]restartingRouter)
		want   string // the decision of r0
	}{
		"no router has saved a measure": {restartingFleet{routers: restart(savedState(6, 1), savedState(6, 1)), latency: 10 * ms, warmAt: 8330 * ms}, nil,
			"8.33s: none in 7 rounds, asked r1 r2 r3 r4 r5, answered r1 r2 r3 r4 r5; hosts no longer wait for one"},
		"one router has saved a measure":           {restartingFleet{routers: restart(withMeasure(3), savedState(6, 1)), latency: 10 * ms, warmAt: 8330 * ms}, nil, "4.95s: adopts that of r3"},
		"answers arrive after the round has ended": {restartingFleet{routers: restart(withMeasure(3), savedState(6, 1)), latency: 400 * ms, warmAt: 8330 * ms}, nil, "5.73s: adopts that of r3"},
		"the membership arrives late": {restartingFleet{routers: restart(withMeasure(3), savedState(6, 1)), latency: 10 * ms, warmAt: 8330 * ms}, func(all map[string]restartingRouter) {
			for name, r := range all {
				r.membershipAt += 2500 * ms
				all[name] = r
			}
		}, "7.45s: adopts that of r3"},
		"a peer learns a measure later": {restartingFleet{routers: restart(savedState(6, 1), savedState(6, 1)), latency: 10 * ms, warmAt: 8330 * ms}, func(all map[string]restartingRouter) {
			r := all["r4"]
			r.learnsAt = 6500 * ms
			all["r4"] = r
		}, "6.95s: adopts that of r4"},
	} {
		if x.change != nil {
			x.change(x.fleet.routers)
		}
		if diff := cmp.Diff([]string{x.want}, x.fleet.run(t)["r0"]); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
