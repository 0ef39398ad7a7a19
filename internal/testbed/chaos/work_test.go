package chaos

import (
	"testing"

	"reachspread/internal/testbed/history"
)

// Tests the view on real processes. A partition makes two halves of the fleet disagree on which
// routers are alive; then one half is killed while hosts restart cold. Each router's module uses its
// own view to compute its budgets and to choose the routers it reports to. All routers together
// overload no host, and no checker finds a violation.
func TestViewAtWork(t *testing.T) {
	t.Parallel()
	binary := routerBinary(t)
	x := coldFleet(t, "15s", 8, "view = true", `
fault "partition" {
  at = "1s"
  length = "6s"
  groups = [[0, 1, 2, 3], [4, 5, 6, 7]]
}
fault "kill" {
  at = "4s"
  length = "700ms"
  hosts = "all"
}
fault "kill" {
  at = "8s"
  length = "3s"
  routers = [0, 1, 2, 3]
}
fault "kill" {
  at = "9s"
  length = "700ms"
  hosts = [0, 1]
}
`)
	r := playOnce(t, Options{Experiment: x, Seed: 1, Program: binary})
	for _, v := range r.Verdicts {
		t.Error(v.String())
	}
	views := map[string]int{}
	for _, e := range r.Events {
		if e.What == history.View {
			views[e.Who]++
		}
	}
	if len(views) < 8 || r.Datagrams[1] == 0 || r.Datagrams[2] == 0 {
		t.Errorf("views of %d routers in the history, %v datagrams by kind: want those of the view and of peer reports", len(views), r.Datagrams)
	}
}
