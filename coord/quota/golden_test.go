package quota

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"reachspread/internal/testbed/golden"
)

// What owners put into messages has the figures that it had at commit 5bfcc27: the division of a bound, the counts of a window that one
// owner hands to the next, what standbys are told and under which numbers, and what a process asks for and is answered.
func TestWhatIsSentStays(t *testing.T) {
	var out strings.Builder
	plan := NewPlan(Limit{Rate: 15, Burst: 20}, 10*time.Second, 0.05, 10)
	fmt.Fprintf(&out, "plan %v %v %v %v %v %v\n", plan.Most, plan.Depth, plan.Ahead, plan.Life, plan.BlindGap, plan.Window)
	fmt.Fprintf(&out, "unknown %v\n", plan.Unknown(2, time.Second))
	now := time.Minute
	owner := NewOwner(now, plan.Window, nil, now-plan.Window)
	holder := Holder{Plan: plan}
	outstanding := Outstanding{}
	outstanding.StandBy([]uint64{7, 8})
	tracker := Tracker{Window: plan.Window}
	usage := &Usage{Span: plan.Window}
	for i := range 40 {
		now += 333 * time.Millisecond
		ask := holder.Missing(now, float64(1+i*i%17))
		fmt.Fprintf(&out, "%d: asks for %v, borrowed %v", i, ask.Need, ask.Borrowed)
		if i > 20 && i%7 == 0 {
			fmt.Fprintf(&out, ", borrows %v", holder.Borrow(now, 3))
		}
		answer := owner.Serve(now, "key", plan, ask)
		fmt.Fprintf(&out, ", is granted %v, waits %v", answer.Granted, answer.Wait)
		holder.Reported(ask.Borrowed)
		holder.Grant(now, answer.Granted)
		usage.Add(now, answer.Granted)
		room := outstanding.Room("key", plan, answer.Granted)
		fmt.Fprintf(&out, ", room %v, tells now %v", room, outstanding.Granted("key", plan, answer.Granted))
		if i%3 == 0 {
			number, units := outstanding.Tell()
			fmt.Fprintf(&out, ", word %d of %v", number, units["key"])
			tracker.Told(now, 9, number, units, 0)
			outstanding.Acknowledged(7, number)
			if i%2 == 0 {
				outstanding.Acknowledged(8, number)
			}
		}
		fmt.Fprintf(&out, ", holds %v, takes %v, waits for standbys %v\n", holder.Held(now), holder.Take(now, 1), outstanding.Waits())
	}
	parts := usage.Parts(now)
	fmt.Fprintf(&out, "parts %v\n", parts)
	fmt.Fprintf(&out, "read again %v\n", FromParts(plan.Window, now, parts).Parts(now))
	known, complete := tracker.Known(now, 9)
	fmt.Fprintf(&out, "known %v, complete from %v\n", known["key"].Sum(now), complete)
	golden.CheckText(t, "sent", out.String())
}
