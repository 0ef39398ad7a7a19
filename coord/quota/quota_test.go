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
	maxNeed   = 8.0
)

var (
	limit   = Limit{Rate: rate, Burst: rate}
	plan    = NewPlan(limit, window, overshoot, slack)
	allowed = (limit.Rate*window.Seconds()+limit.Burst)*(1+overshoot) + slack
)

// NewPlan divides the bound by the configured fractions.
func TestPlanDividesBound(t *testing.T) {
	is := is.New(t)
	is.Equal(plan.MaxPerWindow, 900+maxPerWindowFraction*150)
	is.Equal(plan.BucketDepth, 100+bucketDepthFraction*150)
	is.Equal(plan.GrantTTL, grantTTL)
}

// An owner grants at most MaxPerWindow units in a window and at most the tokens of the bucket at
// once. If it rejects a request, it returns when to ask again.
func TestOwnerGrantsWithinBound(t *testing.T) {
	is := is.New(t)
	o := NewOwner(0, window, nil, -window)
	is.Equal(o.Serve(0, "k", plan, Request{Need: 1}).Granted, 0.0) // the bucket is empty
	is.Equal(o.Serve(10*time.Second, "k", plan, Request{Need: plan.BucketDepth}).Granted, plan.BucketDepth)
	is.Equal(o.Serve(10*time.Second, "k", plan, Request{Need: 1}).Granted, 0.0)
	is.Equal(o.Serve(10*time.Second+100*time.Millisecond, "k", plan, Request{Need: 30}).Granted, 30.0) // more than the refill of the last 100 ms
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

// Rejected lessees are told to ask again one after the other, within maxRetryAfter.
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

// An owner in learning mode starts without any capacity and stays within the limit's rate for one
// window.
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

// A new owner continues the counts that the previous owner published.
func TestTakeOverContinuesCounts(t *testing.T) {
	is := is.New(t)
	tracker := Tracker{Window: window}
	first := NewOwner(-20*time.Second, window, nil, -20*time.Second)
	now, sequence, granted := time.Duration(0), uint64(0), 0.0
	for ; now < 6*time.Second; now += 100 * time.Millisecond {
		got := first.Serve(now, "k", plan, Request{Need: 20}).Granted
		granted += got
		tracker.Update(now, 1, sequence, map[string]float64{"k": got}, 0)
		sequence++
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

// The known grants of an owner are complete only since the last gap in its updates. While the owner
// is in learning mode, this time is later.
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

// A unit counts for the duration of the window and at most one bucket longer.
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

// The units of a grant can be used once, and until the grant expires.
func TestGrantIsUsedOnceAndExpires(t *testing.T) {
	is := is.New(t)
	lessee := &Lessee{Plan: Plan{GrantTTL: time.Second}}
	is.True(!lessee.Take(0, 1))
	lessee.AddGrant(0, 10)
	lessee.AddGrant(500*time.Millisecond, 5)
	is.True(lessee.Take(600*time.Millisecond, 12))
	is.Equal(lessee.Available(600*time.Millisecond), 3.0)
	is.True(!lessee.Take(600*time.Millisecond, 4))
	is.Equal(lessee.Available(1500*time.Millisecond), 0.0)
	is.Equal(lessee.Request(1500*time.Millisecond, 7).Need, 7.0)
}

// If the sum of the grants has a rounding error, taking all units leaves none and does not panic.
func TestTakeAllDespiteRounding(t *testing.T) {
	lessee := &Lessee{Plan: Plan{GrantTTL: time.Hour}}
	for range 10 {
		lessee.AddGrant(0, 0.1)
	}
	lessee.Take(0, lessee.Available(0))
	if left := lessee.Available(0); left > 1e-9 {
		t.Errorf("%v units are available after all were taken", left)
	}
}

// Without an owner a lessee can use units at the same rate as before for maxBorrowTime, and then not
// again for a window. It reports the borrowed units to the next owner.
func TestBorrowIsBoundedAndReported(t *testing.T) {
	is := is.New(t)
	lessee := &Lessee{Plan: plan}
	now := time.Duration(0)
	for range 100 { // use 100 units per second
		now += 100 * time.Millisecond
		lessee.AddGrant(now, 10)
		is.True(lessee.Take(now, 10))
	}
	borrowed, from := 0.0, now
	for ; now < from+2*maxBorrowTime; now += 10 * time.Millisecond {
		if lessee.Borrow(now, 2) {
			borrowed += 2
		}
	}
	is.True(borrowed >= 0.8*rate*maxBorrowTime.Seconds() && borrowed <= rate*maxBorrowTime.Seconds()+rate*window.Seconds()/usageBuckets)
	is.Equal(lessee.Request(now, 1).Borrowed, borrowed)
	lessee.ReportedBorrowed(borrowed)
	is.Equal(lessee.Request(now, 1).Borrowed, 0.0)
	is.True(!(&Lessee{Plan: plan}).Borrow(0, 1)) // a lessee that has used no units may not borrow
}

// fleet simulates the lessees of one key, and a sequence of owners that start and end at random
// times.
type fleet struct {
	rng             *rand.Rand
	now             time.Duration
	owners          []*owner // the last one is active; with the injected fault twoOwners the previous one is too
	tracker         Tracker  // shared by all standbys
	lessees         []*Lessee
	used            []use
	noOwnerUntil    time.Duration // no owner is active until this time
	isolatedUntil   time.Duration // updates or acknowledgements are lost until this time; 0 if none are
	updatesLost     bool          // while isolated, updates are lost; otherwise acknowledgements
	ignoresStandbys bool          // injected fault: an owner does not wait for acknowledgements
	plan            Plan
}

// owner is an Owner with the grants that it has to publish.
type owner struct {
	*Owner
	Outstanding
	name        uint64
	publishedAt time.Duration
	endedAt     time.Duration // time after which the owner grants nothing; 0 while it is active
}

// standby is the identity that represents all standbys. They share one Tracker.
const standby = 1

func newOwner(name uint64, begin time.Duration, known map[string]*Usage, complete time.Duration) *owner {
	o := &owner{Owner: NewOwner(begin, window, known, complete), name: name, publishedAt: begin}
	o.SetStandbys([]uint64{standby})
	return o
}

// use records that a lessee used units at a time.
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
	if isolated && f.updatesLost || f.rng.IntN(400) == 0 { // the update is lost
		return
	}
	f.tracker.Update(f.now, o.name, sequence, grants, o.LearningUntil-f.now)
	if !isolated && f.rng.IntN(400) > 0 { // otherwise the acknowledgement is lost
		o.Acknowledge(standby, sequence)
	}
}

// request simulates one request at a random lessee. The lessee uses its grants, or asks an owner for
// units, or borrows them. The owner's response may be lost. With twoOwners the previous owner also
// answers.
func (f *fleet) request(twoOwners bool) {
	lessee, units := f.lessees[f.rng.IntN(len(f.lessees))], 1+f.rng.Float64()*(maxNeed-1)
	switch {
	case lessee.Take(f.now, units):
	case f.now < f.noOwnerUntil:
		if !lessee.Borrow(f.now, units) {
			return
		}
	default:
		o := f.owners[len(f.owners)-1]
		if twoOwners && len(f.owners) > 1 && f.rng.IntN(2) == 0 {
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

// isolate starts a period in which the owner's updates or their acknowledgements are lost.
func (f *fleet) isolate() {
	f.isolatedUntil = f.now + time.Duration(f.rng.IntN(700))*time.Millisecond
	f.updatesLost = f.rng.IntN(3) > 0
}

// endIsolation ends the period that isolate started, when it is over. In two cases out of three
// another owner takes over.
func (f *fleet) endIsolation(twoOwners bool) {
	if f.isolatedUntil == 0 || f.now < f.isolatedUntil {
		return
	}
	if f.rng.IntN(3) > 0 {
		f.takeOver(twoOwners)
	}
	f.isolatedUntil = 0
}

// takeOver ends the active owner and starts another one. The new owner either knows the published
// grants, or has lost its state. With twoOwners it starts without a gap, and the previous owner
// continues to answer requests.
func (f *fleet) takeOver(twoOwners bool) {
	before := f.owners[len(f.owners)-1]
	gap := time.Duration(f.rng.IntN(2000)) * time.Millisecond
	keepsMemory := f.rng.IntN(3) > 0
	if !keepsMemory {
		gap = max(gap, 500*time.Millisecond) // the new owner's process has to restart
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
	if !keepsMemory {
		complete = f.now + gap
	}
	if twoOwners {
		gap = 0
	}
	f.noOwnerUntil = f.now + gap
	f.owners = append(f.owners, newOwner(before.name+1, f.noOwnerUntil, keys, complete))
}

// maxUse returns the largest number of units used in any window.
func (f *fleet) maxUse() float64 { return f.maxUseSince(0) }

// maxUseSince returns the largest number of units used in any window, without the units used before
// begin.
func (f *fleet) maxUseSince(begin time.Duration) float64 {
	largest, sum, from := 0.0, 0.0, 0
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
		largest = max(largest, sum)
	}
	return largest
}

// runMinute simulates one minute of random traffic far above the limit. It includes take-overs,
// restarts of lessees, idle periods, periods without an owner, and owners that are isolated from the
// standbys until their lease ends.
func (f *fleet) runMinute(twoOwners bool) { f.runUntil(time.Minute, twoOwners) }

func (f *fleet) runUntil(end time.Duration, twoOwners bool) {
	for f.now < end {
		f.now += time.Duration(f.rng.ExpFloat64() * float64(8*time.Millisecond))
		switch f.rng.IntN(2500) {
		case 0, 1:
			f.takeOver(twoOwners)
		case 2:
			f.lessees[f.rng.IntN(len(f.lessees))] = &Lessee{Plan: plan}
		case 3:
			f.now += time.Duration(f.rng.IntN(10)) * time.Second
		case 4, 5:
			f.isolate()
		}
		f.endIsolation(twoOwners)
		f.request(twoOwners)
	}
}

// The use in any window stays within the bound, under any random sequence of take-overs with and
// without lost state, lost updates and responses, restarted lessees and idle periods.
func TestUseStaysWithinBound(t *testing.T) {
	largest := 0.0
	for seed := range uint64(400) {
		f := newFleet(seed)
		f.runMinute(false)
		largest = max(largest, f.maxUse())
		if f.maxUse() > allowed {
			t.Errorf("seed %d: %.0f units in a window; %.0f are allowed", seed, f.maxUse(), allowed)
		}
	}
	t.Logf("at most %.0f units used in a window; %.0f are allowed", largest, allowed)
}

// A lowered limit takes effect within maxBorrowTime, when the lessees stop borrowing based on their
// earlier use. This holds under the same random faults as above.
func TestLoweredLimitBinds(t *testing.T) {
	const change = 30 * time.Second
	lower := Limit{Rate: rate / 2, Burst: rate / 4}
	allowed := (lower.Rate*window.Seconds()+lower.Burst)*(1+overshoot) + slack
	for seed := range uint64(400) {
		f := newFleet(seed)
		f.runUntil(change, false)
		f.plan = NewPlan(lower, window, overshoot, slack)
		for _, lessee := range f.lessees {
			lessee.Plan = f.plan
		}
		f.runUntil(time.Minute, false)
		if largest := f.maxUseSince(change + maxBorrowTime); largest > allowed {
			t.Errorf("seed %d: %.0f units in a window; %.0f are allowed", seed, largest, allowed)
		}
	}
}

// The simulation detects an owner that continues to grant units while no standby acknowledges its
// updates.
func TestUnacknowledgedOwnerIsDetected(t *testing.T) {
	for seed := range uint64(400) {
		f := newFleet(seed)
		f.ignoresStandbys = true
		f.runMinute(false)
		if f.maxUse() > allowed {
			return
		}
	}
	t.Error("owners that ignore missing acknowledgements exceeded the bound with none of the seeds")
}

// The units that not all standbys have acknowledged are bounded for each key. The first grant is
// allowed even if it exceeds this bound.
func TestUnacknowledgedGrantsAreBounded(t *testing.T) {
	is := is.New(t)
	p := Plan{Limit: Limit{Rate: 1000}, MaxUnacknowledged: 30}
	o := &Outstanding{}
	o.SetStandbys([]uint64{1, 2})
	is.True(o.MayGrant("k", p, 50)) // nothing is unacknowledged yet
	is.True(!o.AddGranted("k", p, 9))
	is.True(!o.MayGrant("k", p, 22))
	is.True(o.MayGrant("other", p, 22))
	is.True(o.AddGranted("k", p, 9)) // more than a third of MaxUnacknowledged is unpublished
	sequence, units := o.NextUpdate()
	is.Equal(units["k"], 18.0)
	is.True(!o.MayGrant("k", p, 13))
	o.Acknowledge(1, sequence)
	is.True(!o.MayGrant("k", p, 13)) // not all standbys have acknowledged
	o.Acknowledge(2, sequence+1)
	is.True(!o.MayGrant("k", p, 13)) // the acknowledged update was never sent
	o.Acknowledge(3, sequence)       // process 3 is not a standby
	is.True(o.HasPending())
	o.Acknowledge(2, sequence)
	is.True(o.MayGrant("k", p, 30))
	is.True(!o.HasPending())
}

// After SetStandbys an owner ignores missing acknowledgements of a removed standby, and requires
// those of a new standby for the updates that follow.
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
	is.True(o.MayGrant("k", p, 1)) // standby 2, which had not acknowledged, was removed
	o.AddGranted("k", p, 30)
	second, _ := o.NextUpdate()
	o.Acknowledge(1, second)
	is.True(!o.MayGrant("k", p, 1))
	o.Acknowledge(3, second)
	is.True(o.MayGrant("k", p, 1))
	o.AddGranted("k", p, 30)
	o.NextUpdate()
	o.SetStandbys(nil)
	is.True(!o.HasPending()) // no standby has to acknowledge
}

// The learning delay is long enough for any burst. The previous owner may have granted its whole
// bucket, and then all refilled tokens until it ended.
func TestLearningDelayCoversBurst(t *testing.T) {
	for _, burst := range []float64{0, rate / 4, rate, 2 * rate, 4 * rate, 8 * rate} {
		l := Limit{Rate: rate, Burst: burst}
		p := NewPlan(l, window, overshoot, slack)
		refillTime := time.Duration(p.BucketDepth / p.MaxPerWindow * float64(window)) // time in which a bucket is refilled
		end := 2 * window
		f := &fleet{plan: p}
		f.useAll(NewOwner(window, window, nil, 0), window+refillTime, end)
		f.useAll(NewOwner(end, window, nil, end), end, end+window)
		nominal := l.Rate*window.Seconds() + l.Burst
		if allowed := nominal + overshoot*nominal + slack; f.maxUse() > allowed {
			t.Errorf("burst %v: %.0f units in a window; %.0f are allowed", burst, f.maxUse(), allowed)
		}
	}
}

// useAll uses all units that an owner grants between two times.
func (f *fleet) useAll(o *Owner, from, to time.Duration) {
	for now := from; now < to; now += 5 * time.Millisecond {
		for o.Serve(now, "k", f.plan, Request{Need: 1}).Granted > 0 {
			f.used = append(f.used, use{now, 1})
		}
	}
}

// The simulation detects two owners that are active at the same time and grant the same units twice.
func TestDoubleGrantIsDetected(t *testing.T) {
	for seed := range uint64(400) {
		f := newFleet(seed)
		f.runMinute(true)
		if f.maxUse() > allowed {
			return
		}
	}
	t.Error("two owners at the same time exceeded the bound with none of the seeds")
}

// BenchmarkServe measures a request at an owner of 5,000 keys, which are a third of the planned
// 15,000 tenants.
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
