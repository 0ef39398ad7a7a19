package quota_test

import (
	"fmt"
	"time"

	"reachspread/coord/quota"
)

// One process owns a key and grants units of it. Another process requests the units that it lacks
// and uses them. The times can come from any monotonic clock.
func Example() {
	limit := quota.Limit{Rate: 100, Burst: 50} // 100 units per second, 50 units at once
	plan := quota.NewPlan(limit, 8*time.Second, 0.1, 0)
	now := time.Hour
	began := now - time.Minute
	owner := quota.NewOwner(began, plan.Window, nil, began-plan.Window) // there were no grants in the window before
	owner.Serve(began, "a tenant", plan, quota.Request{})
	lessee := quota.Lessee{Plan: plan}
	granted, rejected := 0, 0
	for range 300 { // requests for one unit each, all at the same time
		if !lessee.Take(now, 1) {
			response := owner.Serve(now, "a tenant", plan, lessee.Request(now, 1))
			lessee.AddGrant(now, response.Granted)
		}
		if lessee.Take(now, 1) {
			granted++
		} else {
			rejected++
		}
	}
	fmt.Println(granted >= 50, granted < 100, granted+rejected)
	now += time.Second
	response := owner.Serve(now, "a tenant", plan, lessee.Request(now, 1))
	fmt.Println(response.Granted)
	// Output:
	// true true 300
	// 1
}
