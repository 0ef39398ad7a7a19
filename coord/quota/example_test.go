package quota_test

import (
	"fmt"
	"time"

	"reachspread/coord/quota"
)

// One process owns a key and grants its units; another one requests what it lacks and uses it.
// Times are of any clock that never goes back.
func Example() {
	limit := quota.Limit{Rate: 100, Burst: 50} // units a second, and at once
	plan := quota.NewPlan(limit, 8*time.Second, 0.1, 0)
	now := time.Hour
	began := now - time.Minute
	owner := quota.NewOwner(began, plan.Window, nil, began-plan.Window) // nobody granted anything in the window before it began
	owner.Serve(began, "a tenant", plan, quota.Request{})
	lessee := quota.Lessee{Plan: plan}
	granted, rejected := 0, 0
	for range 300 { // one unit each, within a moment
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
