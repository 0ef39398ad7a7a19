package mirror

import (
	"testing"
	"testing/synctest"
	"time"

	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/testbed/scripted"
)

// The live path is sampled while there are pools, and not while there are none, whatever else the
// settings have.
func TestLivePathIsSampledOnlyWhileThereArePools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{Log: make(scripted.LogLines, 100), Sample: func() shadow.Sample {
			t.Error("sampled for nobody")
			return shadow.Sample{}
		}})
		if err := m.Apply(settings.Shadow{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute) // of the bubble's clock
		m.Close(t.Context())
	})
	sampled := make(chan bool, 1)
	m, onePool := newMirrorWithoutPool(t, 1, func() shadow.Sample {
		select {
		case sampled <- true:
		default:
		}
		return shadow.Sample{}
	})
	for _, s := range []settings.Shadow{{}, onePool, {}, onePool} {
		if err := m.Apply(s); err != nil {
			t.Fatal(err)
		}
		if len(s.Pools) > 0 {
			for range 3 {
				select {
				case <-sampled:
				case <-time.After(scripted.EventTimeout):
					t.Fatal("not sampled")
				}
			}
		}
	}
}
