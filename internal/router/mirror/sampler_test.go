package mirror

import (
	"testing"
	"testing/synctest"
	"time"

	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/testbed/scripted"
)

// The live path is sampled only while there are pools, whatever else the settings contain.
func TestLivePathIsSampledOnlyWhileThereArePools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{Log: make(scripted.LogLines, 100), Sample: func() shadow.Sample {
			t.Error("the live path was sampled while there are no pools")
			return shadow.Sample{}
		}})
		if err := m.Apply(settings.Shadow{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute) // on the fake clock of synctest
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
					t.Fatal("the live path was not sampled although there is a pool")
				}
			}
		}
	}
}
