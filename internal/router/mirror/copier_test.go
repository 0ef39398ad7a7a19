package mirror

import (
	"context"
	"slices"
	"testing"
	"time"

	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/testbed/scripted"
)

// A copier ends when its pool is removed and when the mirror shuts down. When new settings replace
// its pool, it continues with the new pool.
func TestCopierFollowsItsPoolAndEndsWithIt(t *testing.T) {
	for _, shutdown := range []bool{false, true} {
		m, onePool := newMirrorWithoutPool(t, 1, func() shadow.Sample { return shadow.Sample{} })
		onePool.Pools[0].SingleCopier = true
		if err := m.Apply(onePool); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- m.RunCopier(context.Background(), "next") }()
		changed := onePool
		changed.Pools = slices.Clone(onePool.Pools)
		changed.Pools[0].StreamIdleTimeout++
		if err := m.Apply(changed); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(scripted.EventTimeout); !m.pools[0].hasLease.Load(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the pool that replaced the first one has no copier")
			}
		}
		if shutdown {
			m.Shutdown()
		} else if err := m.Apply(settings.Shadow{}); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-ended:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(scripted.EventTimeout):
			t.Fatal("the copier still runs after its pool was removed")
		}
	}
}
