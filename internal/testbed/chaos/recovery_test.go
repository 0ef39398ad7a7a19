package chaos

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/history"
)

// returnCase is a fault schedule for routers with snapshots, and the phases and log lines that must
// follow from it.
type returnCase struct {
	length  string
	routers int
	rig     string
	faults  string
	within  map[string][2]float64 // by process and phase or log message: the earliest and the latest time of its first occurrence, in seconds
}

// logMessages are the texts that returnCase.within may look for in log lines.
var logMessages = []string{"saved server list used", "snapshot file damaged", "snapshot of another router ignored", "snapshot read", `whose="this router"`, `whose="some routers"`, `whose="all routers"`,
	"host measure of another router adopted", "shunned=1", "settings=same", "stage=admitting", "stage=duties", "stage=back"}

// returnCases have routers in two zones: even numbers in east, odd numbers in west.
var returnCases = map[string]returnCase{
	"drained, discovery away, a generation cut, then all": {"23s", 3, "", `
fault "withhold" {
  at = "1500ms"
  length = "12s"
  routers = [1]
}
fault "kill" {
  at = "4s"
  length = "500ms"
  routers = [1]
}
fault "cut" {
  at = "6s"
  length = "7s"
  routers = [0, 2]
  links = ["list"]
}
fault "kill" {
  at = "6500ms"
  length = "300ms"
  routers = [0]
}
fault "kill" {
  at = "6500ms"
  length = "300ms"
  routers = [2]
  disk = "cut"
  file = "router.0.snap"
  keep = 0.5
}
fault "power" {
  at = "15s"
  length = "500ms"
}
`, map[string][2]float64{
		`r1/2 whose="this router"`: {4, 7}, "r1/2 withheld": {4, 6}, "r1/2 draining": {4, 6}, "r1/2 serving": {13, 14.5}, "r1/2 settings=same": {4, 6},
		"r0/2 saved server list used": {8, 10}, "r0/2 serving": {8, 10}, "r2/2 snapshot file damaged": {6, 9},
		`r0/3 whose="all routers"`: {15, 18}, `r1/3 whose="all routers"`: {15, 18}, `r2/3 whose="all routers"`: {15, 18}, "r0/3 stage=admitting": {15, 20},
	}},
	"hosts before routers, then routers before hosts": {"22s", 3, "", `
fault "kill" {
  at = "2s"
  length = "500ms"
  hosts = "all"
}
fault "kill" {
  at = "2s"
  length = "1500ms"
  routers = [0, 2]
}
fault "kill" {
  at = "2s"
  length = "2500ms"
  routers = [1]
}
fault "kill" {
  at = "9s"
  length = "500ms"
  routers = "all"
}
fault "kill" {
  at = "9s"
  length = "2s"
  hosts = "all"
}
`, map[string][2]float64{`r1/2 whose="all routers"`: {4, 7}, `r0/3 whose="all routers"`: {9, 12}, "r0/2 stage=admitting": {3, 6}}},
	"discovery last, with an older list, then with versions from 1": {"24s", 3, "", `
fault "drain" {
  at = "1500ms"
  length = "15s"
  hosts = [0]
}
fault "cut" {
  at = "4s"
  length = "5s"
  routers = "all"
  links = ["list"]
}
fault "kill" {
  at = "4s"
  length = "500ms"
  routers = "all"
}
fault "old_list" {
  at = "8s"
  length = "3s"
}
fault "kill" {
  at = "13s"
  length = "500ms"
  routers = "all"
}
fault "renumber" {
  at = "13200ms"
  length = "1s"
}
`, map[string][2]float64{"r0/2 saved server list used": {6, 8}, "r1/2 saved server list used": {6, 8}, `r2/3 whose="all routers"`: {13, 16}}},
	"one has a list, and says what drains": {"18s", 3, "", `
fault "cut" {
  at = "2500ms"
  length = "9s"
  routers = [0, 1]
  links = ["list"]
}
fault "drain" {
  at = "3s"
  length = "9s"
  hosts = [1]
}
fault "kill" {
  at = "5s"
  length = "500ms"
  routers = [0]
}
`, map[string][2]float64{"r0/2 saved server list used": {7, 10}, "r0/2 shunned=1": {7, 10}, `r0/2 whose="this router"`: {5, 7}}},
	"half with their disks, two swapped, newer, flipped, ahead": {"26s", 6, "", `
fault "kill" {
  at = "3s"
  length = "1s"
  routers = [0]
  disk = "empty"
}
fault "kill" {
  at = "3s"
  length = "1s"
  routers = [1]
  disk = "newer"
}
fault "kill" {
  at = "3s"
  length = "1s"
  routers = [2]
  disk = "other"
}
fault "kill" {
  at = "3s"
  length = "1s"
  routers = [3]
}
fault "kill" {
  at = "3s"
  length = "1s"
  routers = [4]
  disk = "flip"
}
fault "kill" {
  at = "3s"
  length = "1s"
  routers = [5]
  disk = "ahead"
}
fault "kill" {
  at = "3s"
  length = "1s"
  hosts = "all"
}
fault "full_disk" {
  at = "12s"
  length = "5s"
  routers = [0]
}
`, map[string][2]float64{"r2/2 snapshot of another router ignored": {3, 6}, "r1/2 snapshot file damaged": {3, 6}, "r3/2 settings=same": {3, 6}, "r4/2 snapshot file damaged": {3, 6}, "r5/2 snapshot read": {3, 6}, "r0/2 host measure of another router adopted": {3, 10}}},
	"power lost five times in a row": {"24s", 3, "", strings.Join([]string{
		power("2s", "700ms", ""), power("4s", "700ms", ""), power("5500ms", "700ms", ""), power("7s", "700ms", ""), power("9s", "1s", "")}, ""),
		map[string][2]float64{`r0/6 whose="all routers"`: {9, 13}, "r1/6 stage=duties": {9, 24}}},
	"a zone of two, then a drained fleet falls": {"24s", 4, "", power("2s", "2s", "east") + `
fault "withhold" {
  at = "9s"
  length = "7s"
  routers = [0, 1]
}
` + power("11s", "1s", ""), map[string][2]float64{`r0/2 whose="some routers"`: {4, 7}, "r0/3 withheld": {11, 14}, "r0/3 draining": {11, 15}, "r0/3 serving": {15, 18}, "r1/2 withheld": {11, 14}, "r3/2 serving": {11, 15}}},
	"hosts come back under other ids": {"20s", 3, "", `
fault "rename" {
  at = "3s"
  length = "1500ms"
  hosts = "all"
}
fault "kill" {
  at = "3s"
  length = "2s"
  routers = "all"
}
`, map[string][2]float64{`r0/2 whose="all routers"`: {5, 8}}},
	"replaced while it comes back": {"22s", 3, "held = true", power("2s", "1s", "") + `
fault "replace" {
  at = "4s"
  length = "500ms"
  routers = "all"
}
` + power("11s", "1s", ""), map[string][2]float64{`r0/2 whose="all routers"`: {3, 6}, "r0/3 serving": {4, 9}, "r1/3 serving": {4, 9}}},
}

// coldFleet returns an experiment whose hosts start cold and fail if they are overloaded while cold.
// Of its two classes of requests, "chat" has the lower worth and yields to "fill" while hosts are
// cold.
func coldFleet(t testing.TB, length string, routers int, rig, faults string) *experiment.Experiment {
	t.Helper()
	const cold = `  zone  = %q
  cold {
    share     = 0.3
    time      = "4s"
    factor    = 2.5
    window    = "2s"
    per_token = "50us"
    per_made  = "600us"
  }
}`
	text := fleetFormat
	for _, zone := range []string{"east", "west"} {
		text = strings.Replace(text, fmt.Sprintf("  zone  = %q\n}", zone), fmt.Sprintf(cold, zone), 1)
	}
	text = strings.Replace(text, "class \"chat\"", `module {
  start_capacity  = 0.3
  cold_time       = "4s"
  overload_factor = 2.5
  overload_window = "2s"
  max_away        = "1s"
}
class "fill" {
  aim        = "800ms"
  deadline   = "2s"
  rate       = 20
  turns      = 2
  think      = "500ms"
  out_median = 10
  worth      = 5
}
class "chat"`, 1)
	text = strings.Replace(text, `settle = "2s"`, `settle = "5s"`, 1) // the hosts' warm-up of 4 s and 1 s more
	x, err := experiment.Parse(fmt.Appendf(nil, text+faults, length, routers, rig), "x.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return x
}

func power(at, length, zone string) string {
	if zone != "" {
		zone = "  zone = \"" + zone + "\"\n"
	}
	return fmt.Sprintf("fault \"power\" {\n  at = %q\n  length = %q\n%s}\n", at, length, zone)
}

// Runs each case on real processes. No checker finds a violation, all routers serve again, and each
// expected phase and log line of a recovery occurs within its time.
func TestRecovery(t *testing.T) {
	t.Parallel()
	binary := routerBinary(t)
	for name, x := range returnCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := playOnce(t, Options{Experiment: coldFleet(t, x.length, x.routers, "view = true\nrecovery = true\n"+x.rig, x.faults), Seed: 1, Program: binary})
			for _, v := range r.Verdicts {
				t.Error(v.String())
			}
			at := map[string]float64{}
			for _, e := range r.Events {
				var keys []string
				switch e.What {
				case history.Phase:
					keys = append(keys, e.Who+" "+e.Text)
				case history.Log:
					for _, verdict := range logMessages {
						if strings.Contains(e.Text, verdict) {
							keys = append(keys, e.Who+" "+verdict)
						}
					}
				}
				for _, key := range keys {
					if _, known := at[key]; !known {
						at[key] = time.Duration(e.T).Seconds()
					}
				}
			}
			for what, between := range x.within {
				if got, is := at[what]; !is || got < between[0] || got > between[1] {
					t.Errorf("%s at %.1f s (seen: %v), not between %v and %v", what, got, is, between[0], between[1])
				}
			}
			if t.Failed() {
				t.Log(at)
			}
		})
	}
}
