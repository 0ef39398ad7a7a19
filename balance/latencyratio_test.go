package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A first token is reported to all routers if it took longer than expected by both a factor and a
// fraction of the shortest latency target.
func TestLatencyRatioIsReported(t *testing.T) {
	for _, tt := range []struct {
		took     int // actual time in ms where 50 ms are expected
		reported bool
	}{{60, false}, {110, false}, {400, true}} {
		t.Run(fmt.Sprint(tt.took, " ms"), func(t *testing.T) {
			is := is.New(t)
			g := newTestRouter(t, broadcastConfig(), members("a")...)
			g.b.shortestTarget = 0.4
			g.step()
			g.b.recordFirstToken(g.b.replicas["a"], float64(tt.took)/1000, 0.05)
			is.Equal(len(actionsOf[SendReports](g.b.actions)) == 1, tt.reported)
		})
	}
}

// A class without a latency target counts as one with a target of a second. Counted as 0, it would
// make every small deviation worth a report.
func TestShortestLatencyTarget(t *testing.T) {
	for _, tt := range []struct {
		targets []time.Duration
		want    float64
	}{
		{[]time.Duration{400 * ms, 800 * ms}, 0.4},
		{[]time.Duration{0, 800 * ms}, 0.8},
		{[]time.Duration{0}, 1},
		{[]time.Duration{2 * sec, 0}, 1},
	} {
		is := is.New(t)
		cfg := broadcastConfig()
		cfg.Classes = nil
		for i, target := range tt.targets {
			cfg.Classes = append(cfg.Classes, Class{Name: fmt.Sprint(i), LatencyTarget: target, Deadline: sec})
		}
		is.Equal(newTestRouter(t, cfg).b.shortestTarget, tt.want)
	}
}
