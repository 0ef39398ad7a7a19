package quota_test

import (
	"fmt"
	"time"

	"reachspread/coord/quota"
)

// One process owns a key and grants its units; another one asks for what it lacks and uses what it holds. Times are of any clock that
// never goes back.
func Example() {
	limit := quota.Limit{Rate: 100, Burst: 50} // units a second, and at once
	plan := quota.NewPlan(limit, 8*time.Second, 0.1, 0)
	now := time.Hour
	began := now - time.Minute
	owner := quota.NewOwner(began, plan.Window, nil, began-plan.Window) // nobody granted anything in the window before it began
	owner.Serve(began, "a tenant", plan, quota.Ask{})
	holder := quota.Holder{Plan: plan}
	granted, refused := 0, 0
	for range 300 { // one unit each, within a moment
		if !holder.Take(now, 1) {
			answer := owner.Serve(now, "a tenant", plan, holder.Missing(now, 1))
			holder.Grant(now, answer.Granted)
		}
		if holder.Take(now, 1) {
			granted++
		} else {
			refused++
		}
	}
	fmt.Println(granted >= 50, granted < 100, granted+refused)
	now += time.Second
	answer := owner.Serve(now, "a tenant", plan, holder.Missing(now, 1))
	fmt.Println(answer.Granted)
	// Output:
	// true true 300
	// 1
}
