package balance

import (
	"cmp"
	"math"
	"time"

	"reachspread/internal/decayed"
)

// Learned is what a gateway has learned of its fleet that may outlive it: without it, one that starts before hosts that are all cold has no
// measure of what a warm one does, and sends them nothing until they are warm by their age.
type Learned struct {
	Work, MeanWork float64            // seconds: what a warm replica did of late, and a request's mean
	Decode         map[string]float64 // by class, mean seconds from the first token to the end
	Kinds          map[string]Pace    // by kind of machine
	Replicas       []Known            // mostKnown at most
}

// Pace is a decayed line of the seconds to a first token by the tokens before it.
type Pace struct{ XX, XY float64 }

// Known is what a gateway has learned of one replica. It holds for as long as that has not started anew.
type Known struct {
	Replica string
	Born    time.Duration // as listed
	Cap     float64       // streams
	Slow    float64       // observed over expected time to the first token
}

const (
	mostKnown = 4096
	mostCap   = 1000 // streams, of what is believed
)

// Learned returns what has been learned by now. It decides nothing.
func (b *Balancer) Learned() Learned {
	l := Learned{Work: b.done, MeanWork: b.meanWork, Decode: map[string]float64{}, Kinds: map[string]Pace{}}
	for kind, f := range b.kinds {
		if f.XX > 0 {
			l.Kinds[kind] = Pace(f.Line)
		}
	}
	for _, r := range b.order {
		if r.State == Serving && r.ejected == 0 && r.Born > 0 && b.warmth(r) == 1 && len(l.Replicas) < mostKnown {
			l.Replicas = append(l.Replicas, Known{r.Replica, r.Born, r.cap, b.slowness(r)})
		}
	}
	for name, c := range b.classes {
		if c.seen > 0 {
			l.Decode[name] = c.decode
		}
	}
	return l
}

// mostLearned bounds what is believed, in seconds.
const mostLearned = 1000

// Recall takes up what another process of this gateway had learned, or what another gateway has, as far as nothing better is known yet.
func (b *Balancer) Recall(l Learned) {
	sound := func(x float64) bool { return x > 0 && x <= mostLearned && !math.IsNaN(x) }
	if sound(l.Work) && sound(l.MeanWork) && b.done == 0 {
		b.done, b.meanWork = l.Work, l.MeanWork
	}
	for kind, p := range l.Kinds {
		f := cmp.Or(b.kinds[kind], &fit{})
		if b.kinds[kind] = f; f.XX == 0 && p.XX > 0 && !math.IsInf(p.XX, 1) && math.Abs(p.XY) <= mostLearned*p.XX {
			f.Line = decayed.Line(p)
		}
	}
	for _, k := range l.Replicas[:min(len(l.Replicas), mostKnown)] {
		if b.known == nil {
			b.known = map[string]Known{}
		}
		b.known[k.Replica] = k
	}
	for name, decode := range l.Decode {
		if c := b.classes[name]; c != nil && sound(decode) {
			c.decode, c.seen = decode, 1
		}
	}
}

// Recollect gives replicas that are listed by now what Recall knew of them, if they have not started since. The host calls it after a Step.
func (b *Balancer) Recollect() {
	if len(b.known) == 0 {
		return
	}
	for _, r := range b.order {
		k, is := b.known[r.Replica]
		if delete(b.known, r.Replica); !is || k.Born != r.Born || k.Born <= 0 || b.warmth(r) < 1 || r.kept.Len() > 0 {
			continue
		}
		if k.Cap >= 1 && k.Cap <= mostCap {
			r.cap = k.Cap
		}
		if k.Slow >= 0.2 && k.Slow <= 20 {
			r.slow.See(b.now, k.Slow, 1)
		}
	}
}

// fit is the seconds of reading by tokens.
type fit struct{ decayed.Line }

// slope returns the seconds to read a token.
func (f *fit) slope() float64 { return f.Slope(slowRead) }

// at returns the seconds to a first token behind so many unread tokens.
func (f *fit) at(tokens float64) float64 { return slowFirst + tokens*f.slope() }

// took takes in how long an answer took from its first token to its end.
func (c *class) took(d time.Duration) {
	if decode := min(d.Seconds(), 5*c.decode); decode > 0 {
		c.seen++
		c.decode += (decode - c.decode) * max(learn/4, 1/c.seen)
	}
}
