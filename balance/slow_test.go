package balance

import (
	"fmt"
	"testing"

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
			g.b.brief = 0.4
			g.step()
			g.b.observe(g.b.replicas["a"], float64(tt.took)/1000, 0.05)
			is.Equal(len(of[Tell](g.b.out)) == 1, tt.told)
		})
	}
}
