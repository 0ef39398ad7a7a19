package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A first token that took longer than expected by a part of the shortest aim is told to all gateways of a fleet.
func TestSlownessIsTold(t *testing.T) {
	for _, tt := range []struct {
		took int // of 50 ms, in ms
		told bool
	}{{60, false}, {110, false}, {400, true}} {
		t.Run(fmt.Sprint(tt.took, " ms"), func(t *testing.T) {
			is := is.New(t)
			g := newGateway(t, broadcasting(), members("a")...)
			g.b.shortestTarget = 0.4
			g.step()
			g.b.recordFirstToken(g.b.replicas["a"], float64(tt.took)/1000, 0.05)
			is.Equal(len(of[SendReports](g.b.actions)) == 1, tt.told)
		})
	}
}

// A class without an aim makes no trifle a surprise: it counts as one of a second.
func TestShortestAim(t *testing.T) {
	for _, tt := range []struct {
		aims []time.Duration
		want float64
	}{
		{[]time.Duration{400 * ms, 800 * ms}, 0.4},
		{[]time.Duration{0, 800 * ms}, 0.8},
		{[]time.Duration{0}, 1},
		{[]time.Duration{2 * sec, 0}, 1},
	} {
		is := is.New(t)
		cfg := broadcasting()
		cfg.Classes = nil
		for i, aim := range tt.aims {
			cfg.Classes = append(cfg.Classes, Class{Name: fmt.Sprint(i), LatencyTarget: aim, Deadline: sec})
		}
		is.Equal(newGateway(t, cfg).b.shortestTarget, tt.want)
	}
}
