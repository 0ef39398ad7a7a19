package mirror

import (
	"context"
	"testing"
	"time"

	"reachspread/balance"
	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/testbed/scripted"
)

// newMirror returns a Mirror with one pool that gets the given share of the conversations. The
// pool's host never answers.
func newMirror(t testing.TB, share float64) *Mirror {
	t.Helper()
	m, onePool := newMirrorWithoutPool(t, share, func() shadow.Sample { return shadow.Sample{} })
	if err := m.Apply(onePool); err != nil {
		t.Fatal(err)
	}
	return m
}

// newMirrorWithoutPool returns a Mirror without a pool, and settings with one pool to be applied.
func newMirrorWithoutPool(t testing.TB, share float64, sample func() shadow.Sample) (*Mirror, settings.Shadow) {
	t.Helper()
	m := New(Options{Balance: balance.Config{Zone: "a", MaxAttempts: 3, StepInterval: time.Millisecond,
		Classes: []balance.Class{{Name: "chat", LatencyTarget: time.Second, Deadline: time.Second, Streamed: true}}},
		ConnectTimeout: time.Second, KeepAlive: time.Minute, Log: make(scripted.LogLines, 100), Sample: sample})
	host := scripted.NewModel(t, scripted.ModelBehavior{Stalls: true})
	caps := shadow.Caps{PerSecond: 1000, InFlight: 4, InFlightPerHost: 4, Bytes: 1 << 20, Waiting: 4, MaxWait: time.Second, MaxDuration: time.Minute}
	onePool := settings.Shadow{Pools: []settings.Pool{{Choice: shadow.Choice{Pool: "next", Share: share},
		Hosts: []settings.Host{{ID: "c0", Addr: host.Addr}}, Sockets: 10, FirstEventTimeout: time.Minute, StreamIdleTimeout: time.Minute, AnswerBytes: 32 << 10,
		Decider: shadow.Config{Caps: caps, Health: shadow.Health{Failures: 5, MinBackoff: time.Second, MaxBackoff: time.Minute},
			Pressure: shadow.Pressure{Queued: 8, BodyFraction: 0.5, SocketFraction: 0.7, Delay: time.Hour, Rejections: 2, HardFactor: 2, GracePeriod: time.Second, CalmPeriod: time.Second}},
	}}}
	t.Cleanup(func() {
		ctx, stop := context.WithTimeout(context.Background(), scripted.EventTimeout)
		defer stop()
		m.Close(ctx)
		if ctx.Err() != nil {
			t.Error("Close of the mirror timed out")
		}
	})
	return m, onePool
}
