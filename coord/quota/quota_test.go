package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	rate      = 100.0
	window    = 8 * time.Second
	overshoot = 0.1
	slack     = 60.0
	biggest   = 8.0
)

var (
	limit   = Limit{Rate: rate, Burst: rate}
	plan    = NewPlan(limit, window, overshoot, slack)
	allowed = (limit.Rate*window.Seconds()+limit.Burst)*(1+overshoot) + slack
)

// A plan has the fractions of its bound.
func TestPlanDividesBound(t *testing.T) {
	is := is.New(t)
	is.Equal(plan.MaxPerWindow, 900+maxPerWindowFraction*150)
	is.Equal(plan.BucketDepth, 100+bucketDepthFraction*150)
	is.Equal(plan.GrantTTL, grantTTL)
}

// An owner grants up to the bound in a window, no more at once than the bucket has, and says when
// to ask again.
func TestOwnerGrantsWithinBound(t *testing.T) {
	is := is.New(t)
	o := NewOwner(0, window, nil, -window)
	is.Equal(o.Serve(0, "k", plan, Request{Need: 1}).Granted, 0.0) // the bucket is empty
	is.Equal(o.Serve(10*time.Second, "k", plan, Request{Need: plan.BucketDepth}).Granted, plan.BucketDepth)
	is.Equal(o.Serve(10*time.Second, "k", plan, Request{Need: 1}).Granted, 0.0)
	is.Equal(o.Serve(10*time.Second+100*time.Millisecond, "k", plan, Request{Need: 30}).Granted, 30.0) // more than was refilled since
	late := o.Serve(10*time.Second+100*time.Millisecond, "k", plan, Request{Need: 1})
	is.Equal(late.Granted, 0.0)
	is.True(late.RetryAfter >= minRetryAfter)
	granted := plan.BucketDepth + 30
	for now := 11 * time.Second; now < 17*time.Second; now += 10 * time.Millisecond {
		granted += o.Serve(now, "k", plan, Request{Need: 5}).Granted
	}
	is.True(granted <= plan.MaxPerWindow)
	is.True(granted > 0.8*plan.MaxPerWindow)
}

// Rejected lessees return one after the other, within maxRetryAfter.
func TestRejectedLesseesReturnOneByOne(t *testing.T) {
	is := is.New(t)
	o := &Owner{}
	before := time.Duration(0)
	for range 20 {
		got := o.Serve(0, "k", plan, Request{Need: 10})
		is.Equal(got.Granted, 0.0)
		is.True(got.RetryAfter > before || got.RetryAfter == maxRetryAfter)
		before = got.RetryAfter
	}
	is.Equal(before, maxRetryAfter)
}

// An owner in learning mode begins at nothing and keeps to the limit's rate for a window.
func TestLearningModeGrantsAtRate(t *testing.T) {
	is := is.New(t)
	o := NewOwner(0, window, nil, 0)
	granted := 0.0
	for now := time.Duration(0); now < window; now += 10 * time.Millisecond {
		granted += o.Serve(now, "k", plan, Request{Need: 3}).Granted
	}
	is.True(granted <= rate*window.Seconds()+3)
	is.True(granted > 0.95*learningRateFraction*rate*(window-plan.LearningDelay).Seconds())
}

// An owner that takes over continues the counts that the one before published.
func TestTakeOverContinuesCounts(t *testing.T) {
	is := is.New(t)
	tracker := Tracker{Window: window}
	first := NewOwner(-20*time.Second, window, nil, -20*time.Second)
	now, number, granted := time.Duration(0), uint64(0), 0.0
	for ; now < 6*time.Second; now += 100 * time.Millisecond {
		got := first.Serve(now, "k", plan, Request{Need: 20}).Granted
		granted += got
		tracker.Update(now, 1, number, map[string]float64{"k": got}, 0)
		number++
	}
	keys, complete := tracker.Usage(now, 1)
	is.True(complete <= 0)
	second := NewOwner(now, window, keys, complete)
	for ; now < 7500*time.Millisecond; now += 10 * time.Millisecond {
		granted += second.Serve(now, "k", plan, Request{Need: 20}).Granted
	}
	is.True(granted <= plan.MaxPerWindow)
	is.True(granted > 0.9*plan.MaxPerWindow)
}

// What is known of an owner is complete only after the last gap in its updates, and not while it is
// in learning mode.
func TestTrackerIsCompleteAfterGap(t *testing.T) {
	is := is.New(t)
	tracker := Tracker{Window: window}
	_, complete := tracker.Usage(time.Second, 1)
	is.Equal(complete, time.Second)
	tracker.Update(time.Second, 1, 0, nil, 0)
	_, complete = tracker.Usage(2*time.Second, 1)
	is.Equal(complete, time.Second-window)
	tracker.Update(2*time.Second, 1, 1, map[string]float64{"k": 5}, 3*time.Second)
	keys, complete := tracker.Usage(2*time.Second, 1)
	is.Equal(complete, 5*time.Second-window)
	is.Equal(keys["k"].Sum(3*time.Second), 5.0)
	tracker.Update(4*time.Second, 1, 3, nil, 0)
	keys, complete = tracker.Usage(4*time.Second, 1)
	is.Equal(complete, 4*time.Second)
	is.Equal(len(keys), 0)
}

// A unit counts for the window and at most one bucket longer.
func TestUsageCountsSlidingWindow(t *testing.T) {
	is := is.New(t)
	u := &Usage{Window: window}
	u.Add(0, 3)
	u.Add(4*time.Second, 4)
	is.Equal(u.Sum(7900*time.Millisecond), 7.0)
	is.Equal(u.Sum(8500*time.Millisecond), 4.0)
	is.Equal(u.Sum(time.Hour), 0.0)
	other := &Usage{Window: window}
	other.Add(time.Hour, 2)
	u.Add(time.Hour, 1)
	is.Equal(u.Merge(time.Hour, other).Sum(time.Hour), 3.0)
	is.Equal(u.Merge(time.Hour, nil).Sum(time.Hour), 1.0)
}

// A grant is used once, and expires.
func TestGrantIsUsedOnceAndExpires(t *testing.T) {
	is := is.New(t)
	h := &Lessee{Plan: Plan{GrantTTL: time.Second}}
	is.True(!h.Take(0, 1))
	h.AddGrant(0, 10)
	h.AddGrant(500*time.Millisecond, 5)
	is.True(h.Take(600*time.Millisecond, 12))
	is.Equal(h.Available(600*time.Millisecond), 3.0)
	is.True(!h.Take(600*time.Millisecond, 4))
	is.Equal(h.Available(1500*time.Millisecond), 0.0)
	is.Equal(h.Request(1500*time.Millisecond, 7).Need, 7.0)
}

// Taking all grants whose sum has a rounding error leaves nothing and does not panic.
func TestTakeAllDespiteRounding(t *testing.T) {
	h := &Lessee{Plan: Plan{GrantTTL: time.Hour}}
	for range 10 {
		h.AddGrant(0, 0.1)
	}
	h.Take(0, h.Available(0))
	if left := h.Available(0); left > 1e-9 {
		t.Errorf("%v are left", left)
	}
}

// Without an owner use goes on as it was for maxBorrowTime, once in a window, and is reported.
func TestBorrowIsBoundedAndReported(t *testing.T) {
	is := is.New(t)
	h := &Lessee{Plan: plan}
	now := time.Duration(0)
	for range 100 { // 100 units a second
		now += 100 * time.Millisecond
		h.AddGrant(now, 10)
		is.True(h.Take(now, 10))
	}
	borrowed, from := 0.0, now
	for ; now < from+2*maxBorrowTime; now += 10 * time.Millisecond {
		if h.Borrow(now, 2) {
			borrowed += 2
		}
	}
	is.True(borrowed >= 0.8*rate*maxBorrowTime.Seconds() && borrowed <= rate*maxBorrowTime.Seconds()+rate*window.Seconds()/usageBuckets)
	is.Equal(h.Request(now, 1).Borrowed, borrowed)
	h.ReportedBorrowed(borrowed)
	is.Equal(h.Request(now, 1).Borrowed, 0.0)
	is.True(!(&Lessee{Plan: plan}).Borrow(0, 1)) // without use before nothing is borrowed
}

// fleet is lessees of one key, and owners that start and end by random schedules.
type fleet struct {
	rng             *rand.Rand
	now             time.Duration
	owners          []*owner // the last one acts; with a planted fault the one before, too
	tracker         Tracker  // of the standbys
	lessees         []*Lessee
	used            []use
	noOwnerUntil    time.Duration // no owner acts until then
	isolatedUntil   time.Duration // updates or acknowledgements are lost until then; 0 for none
	updatesLost     bool          // it is the updates that are lost
	ignoresStandbys bool          // planted fault: an owner does not wait for acknowledgements
	plan            Plan
}

// owner is an owner with what it has to publish.
type owner struct {
	*Owner
	Outstanding
	name        uint64
	publishedAt time.Duration
	endedAt     time.Duration // it granted nothing after that; 0 while it acts
}

// standby is the identity of the standbys, which know the same.
const standby = 1

func newOwner(name uint64, begin time.Duration, known map[string]*Usage, complete time.Duration) *owner {
	o := &owner{Owner: NewOwner(begin, window, known, complete), name: name, publishedAt: begin}
	o.SetStandbys([]uint64{standby})
	return o
}

type use struct {
	at    time.Duration
	units float64
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), tracker: Tracker{Window: window}, plan: plan}
	f.owners = []*owner{newOwner(0, 0, nil, -window)}
	for range 10 {
		f.lessees = append(f.lessees, &Lessee{Plan: plan})
	}
	return f
}

// publish sends an owner's next update to the standbys.
func (f *fleet) publish(o *owner) {
	sequence, grants := o.NextUpdate()
	o.publishedAt = f.now
	isolated := f.now < f.isolatedUntil
	if isolated && f.updatesLost || f.rng.IntN(400) == 0 { // an update may be lost
		return
	}
	f.tracker.Update(f.now, o.name, sequence, grants, o.LearningUntil-f.now)
	if !isolated && f.rng.IntN(400) > 0 { // as may its acknowledgement
		o.Acknowledge(standby, sequence)
	}
}

// request is one request of a lessee: it takes what it has or asks; the response may be lost.
func (f *fleet) request(double bool) {
	lessee, units := f.lessees[f.rng.IntN(len(f.lessees))], 1+f.rng.Float64()*(biggest-1)
	switch {
	case lessee.Take(f.now, units):
	case f.now < f.noOwnerUntil:
		if !lessee.Borrow(f.now, units) {
			return
		}
	default:
		o := f.owners[len(f.owners)-1]
		if double && len(f.owners) > 1 && f.rng.IntN(2) == 0 {
			o = f.owners[len(f.owners)-2]
		}
		request := lessee.Request(f.now, units)
		if !f.ignoresStandbys && !o.MayGrant("k", f.plan, request.Need) {
			if lessee.Borrow(f.now, units) {
				f.used = append(f.used, use{f.now, units})
			}
			return
		}
		got := o.Serve(f.now, "k", f.plan, request)
		lessee.ReportedBorrowed(request.Borrowed)
		if o.AddGranted("k", f.plan, got.Granted+request.Borrowed) || f.now-o.publishedAt >= 100*time.Millisecond {
			f.publish(o)
		}
		if f.rng.IntN(20) == 0 {
			return // the response is lost
		}
		lessee.AddGrant(f.now, got.Granted)
		if !lessee.Take(f.now, units) {
			return
		}
	}
	f.used = append(f.used, use{f.now, units})
}

// isolate begins a time in which the owner's updates or their acknowledgements are lost.
func (f *fleet) isolate() {
	f.isolatedUntil = f.now + time.Duration(f.rng.IntN(700))*time.Millisecond
	f.updatesLost = f.rng.IntN(3) > 0
}

// endIsolation has another owner take over from an isolated one, two times out of three.
func (f *fleet) endIsolation(double bool) {
	if f.isolatedUntil == 0 || f.now < f.isolatedUntil {
		return
	}
	if f.rng.IntN(3) > 0 {
		f.takeOver(double)
	}
	f.isolatedUntil = 0
}

// takeOver ends the owner and starts another one, which knows its grants or has lost all memory.
func (f *fleet) takeOver(double bool) {
	before := f.owners[len(f.owners)-1]
	gap := time.Duration(f.rng.IntN(2000)) * time.Millisecond
	memory := f.rng.IntN(3) > 0
	if !memory {
		gap = max(gap, 500*time.Millisecond) // its process has to restart
		f.tracker = Tracker{Window: window}
	}
	keys, complete := map[string]*Usage{}, f.now-window
	for _, o := range f.owners {
		if o.endedAt > 0 && f.now-o.endedAt > window {
			continue
		}
		known, from := f.tracker.Usage(f.now, o.name)
		complete = max(complete, from)
		for key, usage := range known {
			keys[key] = usage.Merge(f.now, keys[key])
		}
	}
	before.endedAt = f.now
	if !memory {
		complete = f.now + gap
	}
	if double {
		gap = 0
	}
	f.noOwnerUntil = f.now + gap
	f.owners = append(f.owners, newOwner(before.name+1, f.noOwnerUntil, keys, complete))
}

// maxUse is the largest use in any window.
func (f *fleet) maxUse() float64 { return f.maxUseSince(0) }

// maxUseSince is the largest use in any window that begins at a time or later.
func (f *fleet) maxUseSince(begin time.Duration) float64 {
	most, sum, from := 0.0, 0.0, 0
	for _, u := range f.used {
		if u.at < begin {
			from++
			continue
		}
		sum += u.units
		for f.used[from].at <= u.at-window {
			sum -= f.used[from].units
			from++
		}
		most = max(most, sum)
	}
	return most
}

// play draws a minute of traffic far above the limit, with take-overs, lessees that restart, idle
// times, times without an owner, and owners that are isolated from the standbys until their lease
// ends.
func (f *fleet) play(double bool) { f.playUntil(time.Minute, double) }

func (f *fleet) playUntil(end time.Duration, double bool) {
	for f.now < end {
		f.now += time.Duration(f.rng.ExpFloat64() * float64(8*time.Millisecond))
		switch f.rng.IntN(2500) {
		case 0, 1:
			f.takeOver(double)
		case 2:
			f.lessees[f.rng.IntN(len(f.lessees))] = &Lessee{Plan: plan}
		case 3:
			f.now += time.Duration(f.rng.IntN(10)) * time.Second
		case 4, 5:
			f.isolate()
		}
		f.endIsolation(double)
		f.request(double)
	}
}

// Whatever is drawn of take-overs, with and without memory, lost updates and responses, new lessees
// and idle times, in no window is more used than the bound allows.
func TestUseStaysWithinBound(t *testing.T) {
	top := 0.0
	for seed := range uint64(400) {
		f := newFleet(seed)
		f.play(false)
		top = max(top, f.maxUse())
		if f.maxUse() > allowed {
			t.Errorf("seed %d: %.0f units in a window; %.0f are allowed", seed, f.maxUse(), allowed)
		}
	}
	t.Logf("at most %.0f of %.0f", top, allowed)
}

// A lowered limit binds as soon as nobody borrows by what was used before, whatever else is drawn.
func TestLoweredLimitBinds(t *testing.T) {
	const change = 30 * time.Second
	lower := Limit{Rate: rate / 2, Burst: rate / 4}
	allowed := (lower.Rate*window.Seconds()+lower.Burst)*(1+overshoot) + slack
	for seed := range uint64(400) {
		f := newFleet(seed)
		f.playUntil(change, false)
		f.plan = NewPlan(lower, window, overshoot, slack)
		for _, h := range f.lessees {
			h.Plan = f.plan
		}
		f.playUntil(time.Minute, false)
		if most := f.maxUseSince(change + maxBorrowTime); most > allowed {
			t.Errorf("seed %d: %.0f units in a window; %.0f are allowed", seed, most, allowed)
		}
	}
}

// An owner that goes on while nobody receives its updates is detected.
func TestUnacknowledgedOwnerIsDetected(t *testing.T) {
	for seed := range uint64(400) {
		f := newFleet(seed)
		f.ignoresStandbys = true
		f.play(false)
		if f.maxUse() > allowed {
			return
		}
	}
	t.Error("not detected")
}

// What not all standbys have acknowledged is bounded for each key; a first grant is never rejected
// for it.
func TestUnacknowledgedGrantsAreBounded(t *testing.T) {
	is := is.New(t)
	p := Plan{Limit: Limit{Rate: 1000}, MaxUnacknowledged: 30}
	o := &Outstanding{}
	o.SetStandbys([]uint64{1, 2})
	is.True(o.MayGrant("k", p, 50)) // nothing is unacknowledged yet
	is.True(!o.AddGranted("k", p, 9))
	is.True(!o.MayGrant("k", p, 22))
	is.True(o.MayGrant("other", p, 22))
	is.True(o.AddGranted("k", p, 9)) // a third of MaxUnacknowledged
	number, units := o.NextUpdate()
	is.Equal(units["k"], 18.0)
	is.True(!o.MayGrant("k", p, 13))
	o.Acknowledge(1, number)
	is.True(!o.MayGrant("k", p, 13)) // not all have
	o.Acknowledge(2, number+1)
	is.True(!o.MayGrant("k", p, 13)) // of an update that was never sent
	o.Acknowledge(3, number)         // of a process that is no standby
	is.True(o.HasPending())
	o.Acknowledge(2, number)
	is.True(o.MayGrant("k", p, 30))
	is.True(!o.HasPending())
}

// A removed standby is not waited for, and a new one is from then on.
func TestStandbysChange(t *testing.T) {
	is := is.New(t)
	p := Plan{Limit: Limit{Rate: 1000}, MaxUnacknowledged: 30}
	o := &Outstanding{}
	o.SetStandbys([]uint64{1, 2})
	o.AddGranted("k", p, 30)
	first, _ := o.NextUpdate()
	o.Acknowledge(1, first)
	is.True(!o.MayGrant("k", p, 1))
	o.SetStandbys([]uint64{1, 3})
	is.True(o.MayGrant("k", p, 1)) // the one that had not acknowledged was removed
	o.AddGranted("k", p, 30)
	second, _ := o.NextUpdate()
	o.Acknowledge(1, second)
	is.True(!o.MayGrant("k", p, 1))
	o.Acknowledge(3, second)
	is.True(o.MayGrant("k", p, 1))
	o.AddGranted("k", p, 30)
	o.NextUpdate()
	o.SetStandbys(nil)
	is.True(!o.HasPending()) // nobody is to be waited for
}

// The learning delay grows with the burst: the owner before may have granted its whole bucket and
// then all that was refilled, until its end.
func TestLearningDelayCoversBurst(t *testing.T) {
	for _, burst := range []float64{0, rate / 4, rate, 2 * rate, 4 * rate, 8 * rate} {
		l := Limit{Rate: rate, Burst: burst}
		p := NewPlan(l, window, overshoot, slack)
		full := time.Duration(p.BucketDepth / p.MaxPerWindow * float64(window)) // in which a burst is refilled
		end := 2 * window
		f := &fleet{plan: p}
		f.useAll(NewOwner(window, window, nil, 0), window+full, end)
		f.useAll(NewOwner(end, window, nil, end), end, end+window)
		nominal := l.Rate*window.Seconds() + l.Burst
		if allowed := nominal + overshoot*nominal + slack; f.maxUse() > allowed {
			t.Errorf("burst %v: %.0f units in a window; %.0f are allowed", burst, f.maxUse(), allowed)
		}
	}
}

// useAll uses all that an owner grants from a time to another.
func (f *fleet) useAll(o *Owner, from, to time.Duration) {
	for now := from; now < to; now += 5 * time.Millisecond {
		for o.Serve(now, "k", f.plan, Request{Need: 1}).Granted > 0 {
			f.used = append(f.used, use{now, 1})
		}
	}
}

// Two owners at once, which grant the same units twice, are detected.
func TestDoubleGrantIsDetected(t *testing.T) {
	for seed := range uint64(400) {
		f := newFleet(seed)
		f.play(true)
		if f.maxUse() > allowed {
			return
		}
	}
	t.Error("not detected")
}

// BenchmarkServe is what a request costs the owner of a third of the planned 15,000 tenants.
func BenchmarkServe(b *testing.B) {
	const tenants = 5000
	o := NewOwner(0, 8*time.Second, nil, -8*time.Second)
	plan := NewPlan(Limit{Rate: 1000, Burst: 1000}, 8*time.Second, 0.1, 0)
	keys := make([]string, tenants)
	for i := range keys {
		keys[i] = fmt.Sprint("tenant-", i)
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 300 * time.Microsecond
		o.Serve(now, keys[i%tenants], plan, Request{Need: 1})
	}
}
