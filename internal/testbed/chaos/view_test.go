package chaos

import (
	"fmt"
	"strings"
	"testing"

	"reachspread/internal/testbed/history"
)

// hardCases are schedules for routers that maintain a view of the fleet. All faults end by 8 s.
// Package viewlab runs the same cases with many sizes and seeds; these tests run them on real
// processes and sockets. In two of the cases, datagrams are also lost, delayed, duplicated or
// corrupted.
var hardCases = map[string]struct {
	routers int
	faults  string
}{
	"restarts while a zone is cut off": {8, `
fault "cut" {
  at = "1s"
  length = "5s"
  routers = "west"
  peers = "east"
}
` + steps("restart", "500ms", 0, 2, 4, 1, 3)},
	"seven in ten killed, back after 2 to 6 s": {9, `
fault "kill" {
  at = "1s"
  length = "2s"
  routers = [0, 3, 5]
}
fault "kill" {
  at = "1s"
  length = "4s"
  routers = [1, 6]
}
fault "kill" {
  at = "1s"
  length = "6s"
  routers = [2]
}
`},
	"stand still, one for too long": {6, `
fault "pause" {
  at = "1s"
  length = "1s"
  routers = [2]
}
fault "pause" {
  at = "1500ms"
  length = "6s"
  routers = [4]
}
`},
	"a bridge, loss, late and old": {7, `
fault "partition" {
  at = "1s"
  length = "6s"
  groups = [[0, 1, 2], [3, 4, 5]]
  bridge = [6]
}
fault "loss" {
  at = "1s"
  length = "7s"
  share = 0.2
  routers = "all"
}
fault "delay" {
  at = "1s"
  length = "7s"
  delay = "1ms"
  jitter = "1s"
  routers = [1]
}
fault "duplicate" {
  at = "1s"
  length = "7s"
  share = 0.3
  delay = "2s"
  routers = "all"
}
`},
	"replaced, and flipped bits": {6, `
fault "replace" {
  at = "1s"
  length = "500ms"
  routers = [0, 3]
}
fault "replace" {
  at = "4s"
  length = "500ms"
  routers = "all"
}
fault "flip" {
  at = "1s"
  length = "7s"
  share = 0.2
  routers = "all"
}
fault "clip" {
  at = "1s"
  length = "7s"
  share = 0.1
  routers = "all"
}
`},
	"a zone without power, then all": {6, `
fault "power" {
  at = "1s"
  length = "2s"
  zone = "east"
}
fault "power" {
  at = "6s"
  length = "2s"
}
`},
	"two, apart, and a start that comes twice": {2, `
fault "partition" {
  at = "1s"
  length = "6s"
  groups = [[0], [1]]
}
fault "twin" {
  at = "2s"
  length = "2s"
  routers = [0]
}
`},
	"strangers, from two seeds that go": {6, `
fault "kill" {
  at = "2s"
  length = "2s"
  routers = [0, 1]
}
fault "kill" {
  at = "3s"
  length = "4s"
  routers = [4]
}
`},
	"one alone": {1, `
fault "kill" {
  at = "2s"
  length = "1s"
  routers = [0]
}
`},
}

// steps returns faults of one kind, one for each router, that begin 900 ms apart.
func steps(kind, length string, routers ...int) string {
	var b strings.Builder
	for i, n := range routers {
		fmt.Fprintf(&b, "fault %q {\n at = \"%dms\"\n length = %q\n routers = [%d]\n}\n", kind, 1500+900*i, length, n)
	}
	return b.String()
}

// Runs each hard case on real processes. No checker finds a violation, and all views are identical
// within the bound after the last fault.
func TestViewHardCases(t *testing.T) {
	t.Parallel()
	binary := routerBinary(t)
	for name, x := range hardCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := ""
			if strings.Contains(x.faults, "replace") {
				held = "held = true"
			}
			if strings.HasPrefix(name, "strangers") {
				held = "seeds = 2"
			}
			r := playOnce(t, Options{Experiment: parse(t, "17s", x.routers, "view = true\n"+held, x.faults), Seed: 1, Program: binary})
			for _, v := range r.Verdicts {
				t.Error(v.String())
			}
			views := 0
			for _, e := range r.Events {
				if e.What == history.View {
					views++
				}
			}
			if views < x.routers || r.Events[0].Play.Views == 0 {
				t.Errorf("the history has %d views", views)
			}
		})
	}
}

// Without the fleet block, nine routers send each other load reports and no datagrams of the view.
// With the block they send both kinds.
func TestViewOff(t *testing.T) {
	t.Parallel()
	binary := routerBinary(t)
	for _, on := range []bool{false, true} {
		t.Run(fmt.Sprint(on), func(t *testing.T) {
			t.Parallel()
			r := playOnce(t, Options{Experiment: parse(t, "3s", 9, fmt.Sprintf("view = %v", on), ""), Seed: 1, Program: binary})
			for kind, n := range r.Datagrams {
				if want := kind == 1 || kind == 2 && on; (n > 0) != want {
					t.Errorf("view %v: %d datagrams of kind %d", on, n, kind)
				}
			}
		})
	}
}
