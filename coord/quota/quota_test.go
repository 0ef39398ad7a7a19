package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const rate = 100.0

var limit = Limit{Rate: rate, Burst: rate}

// A bucket fills from the time on since when nobody else grants, gives what is needed while there is anything in it, and tells when to
// ask again.
func TestOwner(t *testing.T) {
	is := is.New(t)
	o := &Owner{Since: time.Second}
	is.Equal(o.Serve(time.Second, "k", limit, Ask{Need: 1}).Granted, 0.0)
	is.Equal(o.Serve(1100*time.Millisecond, "k", limit, Ask{Need: 30}).Granted, 30.0) // more than the 10 that are there
	late := o.Serve(1100*time.Millisecond, "k", limit, Ask{Need: 1})
	is.Equal(late.Granted, 0.0)
	is.True(late.Wait >= 200*time.Millisecond)
	is.Equal(o.Serve(10*time.Second, "k", limit, Ask{Need: 1, Want: 1000}).Granted, 1+richPart*(rate-1-richFrom*rate))
	is.Equal(o.Serve(10*time.Second, "other", limit, Ask{Need: 100}).Granted, 100.0) // full, and not more
	is.Equal(o.Serve(10*time.Second, "other", limit, Ask{Need: 1}).Granted, 0.0)
	is.Equal(o.Serve(10*time.Second, "other", limit, Ask{Need: 1, Returned: 50}).Granted, 1.0)
}

// Those that are sent away come back one after the other, within a second.
func TestSentAway(t *testing.T) {
	is := is.New(t)
	o := &Owner{}
	before := time.Duration(0)
	for range 20 {
		got := o.Serve(0, "k", limit, Ask{Need: 10})
		is.Equal(got.Granted, 0.0)
		is.True(got.Wait > before || got.Wait == mostWait)
		before = got.Wait
	}
	is.Equal(before, mostWait)
}

// What was granted is used once, and expires.
func TestHolder(t *testing.T) {
	is := is.New(t)
	h := &Holder{Life: time.Second}
	is.True(!h.Take(0, 1))
	h.Grant(0, 10)
	h.Grant(500*time.Millisecond, 5)
	is.True(h.Take(600*time.Millisecond, 12))
	is.Equal(h.Held(600*time.Millisecond), 3.0)
	is.True(!h.Take(600*time.Millisecond, 4))
	is.Equal(h.Held(1500*time.Millisecond), 0.0)
	ask, ok := h.Missing(1500*time.Millisecond, 7)
	is.True(ok)
	is.Equal(ask.Need, 7.0)
}

// Parts whose sum is what is taken, but for a rounding error, do not end the process.
func TestRounding(t *testing.T) {
	h := &Holder{Life: time.Hour}
	for range 10 {
		h.Grant(0, 0.1)
	}
	h.Take(0, h.Held(0))
	if left := h.Held(0); left > 1e-9 {
		t.Errorf("%v are left", left)
	}
}

// Without an owner, use goes on as it was for a moment, once in a window.
func TestBorrow(t *testing.T) {
	is := is.New(t)
	h := &Holder{Life: time.Second}
	h.SetSpare(2*time.Second, 8*time.Second)
	now := time.Duration(0)
	for range 100 { // 100 units a second
		now += 100 * time.Millisecond
		h.Grant(now, 10)
		is.True(h.Take(now, 10))
	}
	borrowed := 0.0
	for h.Borrow(now, 10) {
		borrowed += 10
	}
	is.True(borrowed >= 40 && borrowed <= 1.2*LendPart*2*100)
	is.True(!h.Borrow(now+time.Second, 10))
	is.True(!(&Holder{}).Borrow(0, 1)) // who has used nothing borrows nothing
}

// A limit is widened by a part of what its bound leaves spare.
func TestSpare(t *testing.T) {
	is := is.New(t)
	spare := Spare(limit, 8*time.Second, 0.1, 50)
	is.Equal(spare, 1400*time.Millisecond) // (0.1 * 900 + 50) / 100
	is.Equal(limit.Widen(spare).Burst, rate+BurstPart*140)
	is.Equal(Spare(Limit{}, time.Second, 0.1, 50), time.Duration(0))
}

// fleet is routers that use one key's units, and owners that come and go, as the drawn schedules have them.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	spare   time.Duration
	owner   *Owner
	second  *Owner // acts at the same time, which must never be; nil for none
	holders []*Holder
	used    []use
}

type use struct {
	at    time.Duration
	units float64
}

const (
	window    = 8 * time.Second
	overshoot = 0.1
	slack     = 60.0
	biggest   = 8.0
)

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), spare: Spare(limit, window, overshoot, slack), owner: &Owner{}}
	for range 10 {
		f.holders = append(f.holders, f.holder())
	}
	return f
}

func (f *fleet) holder() *Holder {
	h := &Holder{}
	h.SetSpare(f.spare, window)
	return h
}

// request is one of a router: it takes what it holds, or asks; the answer may be lost, and the router may then go on without.
func (f *fleet) request(reach bool) {
	h, units := f.holders[f.rng.IntN(len(f.holders))], 1+f.rng.Float64()*(biggest-1)
	if !h.Take(f.now, units) {
		if !reach {
			if !h.Borrow(f.now, units) {
				return
			}
			f.used = append(f.used, use{f.now, units})
			return
		}
		owner := f.owner
		if f.second != nil && f.rng.IntN(2) == 0 {
			owner = f.second
		}
		ask, _ := h.Missing(f.now, units)
		got := owner.Serve(f.now, "k", limit.Widen(f.spare), ask)
		if f.rng.IntN(20) == 0 {
			return // the answer is lost
		}
		h.Grant(f.now, got.Granted)
		if !h.Take(f.now, units) {
			return
		}
	}
	f.used = append(f.used, use{f.now, units})
}

// most is the greatest use in any window.
func (f *fleet) most() float64 {
	most, sum, from := 0.0, 0.0, 0
	for _, u := range f.used {
		sum += u.units
		for f.used[from].at <= u.at-window {
			sum -= f.used[from].units
			from++
		}
		most = max(most, sum)
	}
	return most
}

// play draws a minute of traffic far beyond the limit, with owners that end and come, routers that are replaced, and spans in which no
// owner is reached.
func (f *fleet) play(overlap bool) {
	without := time.Duration(0) // no owner acts until then
	for f.now < time.Minute {
		f.now += time.Duration(f.rng.ExpFloat64() * float64(8*time.Millisecond))
		switch f.rng.IntN(1500) {
		case 0: // the owner ends, and another one comes once nobody acts
			if overlap {
				f.second = &Owner{Since: f.now - time.Second}
				continue
			}
			without = f.now + time.Duration(f.rng.IntN(2000))*time.Millisecond
			f.owner = &Owner{Since: f.now}
		case 1:
			f.holders[f.rng.IntN(len(f.holders))] = f.holder()
		case 2: // a calm time, in which buckets fill
			f.now += time.Duration(f.rng.IntN(10)) * time.Second
		}
		f.request(f.now >= without)
	}
}

// Whatever is drawn of owners that end, lost answers, new routers and calm times, in no window is more used than the bound allows.
func TestBound(t *testing.T) {
	allowed := (limit.Rate*window.Seconds()+limit.Burst)*(1+overshoot) + slack
	top := 0.0
	for seed := range uint64(150) {
		f := newFleet(seed)
		f.play(false)
		top = max(top, f.most())
		if f.most() > allowed {
			t.Errorf("seed %d: %.0f units in a window; %.0f are allowed", seed, f.most(), allowed)
		}
	}
	t.Logf("at most %.0f of %.0f", top, allowed)
}

// Two owners at once, the same share granted twice, are found.
func TestGrantedTwice(t *testing.T) {
	allowed := (limit.Rate*window.Seconds()+limit.Burst)*(1+overshoot) + slack
	for seed := range uint64(150) {
		f := newFleet(seed)
		f.play(true)
		if f.most() > allowed {
			return
		}
	}
	t.Error("not found")
}
