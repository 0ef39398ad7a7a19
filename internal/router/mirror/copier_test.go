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

// A copier ends where its pool is removed and where the mirror shuts down. Where settings replace
// its pool, it goes on with the new one.
func TestCopierFollowsItsPoolAndEndsWithIt(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		m, one := newMirrorWithoutPool(t, 1, func() shadow.Sample { return shadow.Sample{} })
		one.Pools[0].SingleCopier = true
		if err := m.Apply(one); err != nil {
			t.Fatal(err)
		}
		over := make(chan error, 1)
		go func() { over <- m.RunCopier(context.Background(), "next") }()
		again := one
		again.Pools = slices.Clone(one.Pools)
		again.Pools[0].StreamIdleTimeout++
		if err := m.Apply(again); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(scripted.EventTimeout); !m.pools[0].hasLease.Load(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the pool that was made anew has no copier")
			}
		}
		if leaves {
			m.Shutdown()
		} else if err := m.Apply(settings.Shadow{}); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-over:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(scripted.EventTimeout):
			t.Fatal("the copier goes on without a pool")
		}
	}
}
