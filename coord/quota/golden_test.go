package quota

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"reachspread/internal/testbed/golden"
)

// All numbers that other processes receive, or that are persisted, are the same as at commit
// 5bfcc27: the plan of a bound, the persisted counts, the updates to standbys with their sequence
// numbers, requests and responses.
func TestFiguresOfMessagesStay(t *testing.T) {
	var out strings.Builder
	plan := NewPlan(Limit{Rate: 15, Burst: 20}, 10*time.Second, 0.05, 10)
	fmt.Fprintf(&out, "plan %v %v %v %v %v %v\n", plan.MaxPerWindow, plan.BucketDepth, plan.MaxUnacknowledged, plan.GrantTTL, plan.LearningDelay, plan.Window)
	fmt.Fprintf(&out, "unknown %v\n", plan.UnknownUsage(2, time.Second))
	now := time.Minute
	owner := NewOwner(now, plan.Window, nil, now-plan.Window)
	lessee := Lessee{Plan: plan}
	outstanding := Outstanding{}
	outstanding.SetStandbys([]uint64{7, 8})
	tracker := Tracker{Window: plan.Window}
	usage := &Usage{Window: plan.Window}
	for i := range 40 {
		now += 333 * time.Millisecond
		request := lessee.Request(now, float64(1+i*i%17))
		fmt.Fprintf(&out, "%d: asks for %v, borrowed %v", i, request.Need, request.Borrowed)
		if i > 20 && i%7 == 0 {
			fmt.Fprintf(&out, ", borrows %v", lessee.Borrow(now, 3))
		}
		response := owner.Serve(now, "key", plan, request)
		fmt.Fprintf(&out, ", is granted %v, waits %v", response.Granted, response.RetryAfter)
		lessee.ReportedBorrowed(request.Borrowed)
		lessee.AddGrant(now, response.Granted)
		usage.Add(now, response.Granted)
		mayGrant := outstanding.MayGrant("key", plan, response.Granted)
		fmt.Fprintf(&out, ", room %v, tells now %v", mayGrant, outstanding.AddGranted("key", plan, response.Granted))
		if i%3 == 0 {
			sequence, units := outstanding.NextUpdate()
			fmt.Fprintf(&out, ", word %d of %v", sequence, units["key"])
			tracker.Update(now, 9, sequence, units, 0)
			outstanding.Acknowledge(7, sequence)
			if i%2 == 0 {
				outstanding.Acknowledge(8, sequence)
			}
		}
		fmt.Fprintf(&out, ", holds %v, takes %v, waits for standbys %v\n", lessee.Available(now), lessee.Take(now, 1), outstanding.HasPending())
	}
	buckets := usage.Buckets(now)
	fmt.Fprintf(&out, "parts %v\n", buckets)
	fmt.Fprintf(&out, "read again %v\n", UsageFromBuckets(plan.Window, now, buckets).Buckets(now))
	known, complete := tracker.Usage(now, 9)
	fmt.Fprintf(&out, "known %v, complete from %v\n", known["key"].Sum(now), complete)
	golden.CheckText(t, "sent", out.String())
}
