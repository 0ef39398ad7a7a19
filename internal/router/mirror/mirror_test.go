package mirror

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// tapped is a Mirror with one pool of that share, whose host says nothing.
func tapped(t testing.TB, share float64) *Mirror {
	t.Helper()
	m, one := untapped(t, share, func() shadow.Sample { return shadow.Sample{} })
	if err := m.Apply(one); err != nil {
		t.Fatal(err)
	}
	return m
}

// untapped is a Mirror without a pool, and settings with one.
func untapped(t testing.TB, share float64, sample func() shadow.Sample) (*Mirror, settings.Shadow) {
	t.Helper()
	m := New(Options{Balance: balance.Config{Zone: "a", MaxAttempts: 3, StepInterval: time.Millisecond,
		Classes: []balance.Class{{Name: "chat", LatencyTarget: time.Second, Deadline: time.Second, Streamed: true}}},
		ConnectTimeout: time.Second, KeepAlive: time.Minute, Log: make(scripted.Lines, 100), Sample: sample})
	host := scripted.NewModel(t, scripted.Manner{Stalls: true})
	caps := shadow.Caps{PerSecond: 1000, InFlight: 4, InFlightPerHost: 4, Bytes: 1 << 20, Waiting: 4, MaxWait: time.Second, MaxDuration: time.Minute}
	one := settings.Shadow{Pools: []settings.Pool{{Choice: shadow.Choice{Pool: "next", Share: share},
		Hosts: []settings.Host{{ID: "c0", Addr: host.Addr}}, Sockets: 10, FirstEventTimeout: time.Minute, StreamIdleTimeout: time.Minute, AnswerBytes: 32 << 10,
		Decider: shadow.Config{Caps: caps, Health: shadow.Health{Failures: 5, MinBackoff: time.Second, MaxBackoff: time.Minute},
			Pressure: shadow.Pressure{Queued: 8, BodyFraction: 0.5, SocketFraction: 0.7, Delay: time.Hour, Rejections: 2, HardFactor: 2, GracePeriod: time.Second, CalmPeriod: time.Second}},
	}}}
	t.Cleanup(func() {
		ctx, stop := context.WithTimeout(context.Background(), scripted.Patience)
		defer stop()
		m.Close(ctx)
		if ctx.Err() != nil {
			t.Error("it did not close")
		}
	})
	return m, one
}

// A copier ends with its pool: where settings come without it, and where the mirror leaves. One
// whose pool is made anew goes on with that.
func TestCopierEndsWithItsPool(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		m, one := untapped(t, 1, func() shadow.Sample { return shadow.Sample{} })
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
		for end := time.Now().Add(scripted.Patience); !m.pools[0].hasLease.Load(); time.Sleep(time.Millisecond) {
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
		case <-time.After(scripted.Patience):
			t.Fatal("the copier goes on without a pool")
		}
	}
}

// The live path is looked at while there are pools, and costs nothing while there are none,
// whatever else the settings have.
func TestSampledForPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{Log: make(scripted.Lines, 100), Sample: func() shadow.Sample {
			t.Error("sampled for nobody")
			return shadow.Sample{}
		}})
		if err := m.Apply(settings.Shadow{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute) // of the bubble's clock
		m.Close(t.Context())
	})
	seen := make(chan bool, 1)
	m, one := untapped(t, 1, func() shadow.Sample {
		select {
		case seen <- true:
		default:
		}
		return shadow.Sample{}
	})
	for _, s := range []settings.Shadow{{}, one, {}, one} {
		if err := m.Apply(s); err != nil {
			t.Fatal(err)
		}
		if len(s.Pools) > 0 {
			for range 3 {
				select {
				case <-seen:
				case <-time.After(scripted.Patience):
					t.Fatal("not sampled")
				}
			}
		}
	}
}

var arrival = balance.Arrival{ID: "9b1f03aa5c7e2d41", Class: "chat", Session: "7f3a9c21e0b4d655"}

// A request that is not copied costs the live path no allocation, whether nothing is chosen or
// nothing of it.
func TestWhatIsNotCopiedAllocatesNothing(t *testing.T) {
	for _, share := range []float64{0, 1e-9} {
		var tap transport.Tap = tapped(t, share)
		if n := testing.AllocsPerRun(1000, func() {
			if c, _ := tap.Choose(arrival.Class, arrival.Session, arrival.ID, nil); c != nil || tap.TenantHeader() != "" {
				t.Fatal("chosen")
			}
		}); n != 0 {
			t.Errorf("a share of %v: %v allocations", share, n)
		}
	}
}

// What is not kept of an answer still counts in its length and its digest.
func TestCapture(t *testing.T) {
	take := func(most int, pieces ...string) shadow.Answer {
		c := &capture{maxPrefix: most, since: time.Now()}
		for _, p := range pieces {
			c.feed([]byte(p))
		}
		c.finish(outcomeComplete)
		return c.answer([]byte("key"))
	}
	long := strings.Repeat(scripted.Event, 3)
	kept, cut := take(1<<10, long), take(len(scripted.Event), long)
	if kept.Truncated || kept.Text != "oqvhoqvhoqvh" || !cut.Truncated || cut.Text != "oqvh" || cut.Bytes != int64(len(long)) {
		t.Errorf("%+v\n%+v", kept, cut)
	}
	if again := take(len(scripted.Event), scripted.Event, scripted.Event[:3], scripted.Event[3:], scripted.Event); again.Digest != cut.Digest {
		t.Error("the digest depends on how the answer came")
	}
	if other := take(len(scripted.Event), scripted.Event+strings.ToUpper(scripted.Event)+scripted.Event); other.Digest == cut.Digest {
		t.Error("what was not kept is not in the digest")
	}
}

// A pool that has ended takes nothing more: seats are denied at once, and nothing piles up.
func TestAfterTheEnd(t *testing.T) {
	m := tapped(t, 1)
	p := m.pools[0]
	m.Shutdown()
	scripted.Next(t, p.done, "its end")
	granted := make(chan bool, 1)
	p.post(message{event: shadow.AttemptRequest{Copy: 1, Host: "c0"}, grantReply: granted})
	if scripted.Next(t, granted, "an answer") || len(p.pending) > 0 {
		t.Error("a seat was granted, or waits")
	}
	if c, _ := m.Choose("chat", "s", "q", nil); c != nil {
		t.Error("a copy was chosen")
	}
	if m.Apply(settings.Shadow{}) == nil {
		t.Error("settings were taken up")
	}
}

// offered is what the front does for a request that may be copied.
func offered(tap transport.Tap, header *fasthttp.RequestHeader, m *transport.Message) transport.AnswerObserver {
	var tenant []byte
	if name := tap.TenantHeader(); name != "" {
		tenant = header.Peek(name)
	}
	copier, pools := tap.Choose(arrival.Class, arrival.Session, arrival.ID, tenant)
	if copier == nil {
		return nil
	}
	return copier.Copy(pools, transport.AcceptedRequest{Arrival: arrival, Tenant: string(tenant), ArrivedAt: time.Now(), Message: m})
}

func BenchmarkTapNothingChosen(b *testing.B) { benchmarkTap(b, 0) }
func BenchmarkTapNotCopied(b *testing.B)     { benchmarkTap(b, 1e-9) }

// BenchmarkTapCopied is the whole of what a copied request costs its client's path: the offer, the
// watch of an answer of 20 pieces, and its end. The pool is full most of the time, as a cap is for.
func BenchmarkTapCopied(b *testing.B) { benchmarkTap(b, 1) }

func benchmarkTap(b *testing.B, share float64) {
	tap := tapped(b, share)
	var header fasthttp.RequestHeader
	message := new(transport.Message)
	piece := []byte(scripted.Event)
	b.ReportAllocs()
	for b.Loop() {
		w := offered(tap, &header, message)
		if w == nil {
			continue
		}
		w.Begun(routing.Source{Server: "s0"})
		for range 20 {
			w.Feed(piece)
		}
		w.Ended(io.EOF)
	}
}
