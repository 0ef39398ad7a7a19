package recovery

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/internal/router/snapshot"
)

// Decider is a router's return.
type Decider struct {
	c      Config
	began  time.Duration
	now    time.Duration
	stage  Stage
	since  time.Duration // of the stage
	askAt  time.Duration
	asked  []snapshot.Router // of the last view, others alone
	lives  []snapshot.Router
	heard  map[string]heard
	loss   Loss
	listed int64
	spoke  bool
	led    bool
	used   bool // the list of the last life
	out    []Action

	serving  map[uint32]bool   // hosts by discovery's list, by tag
	byTag    map[uint32]string // hosts of the last life's list that got requests
	chunks   []chunk           // of these, as they are asked about
	hostsAt  time.Duration     // when to ask next
	shunned  map[string]bool
	measure  Measure // own, of this life or the last one
	recalled bool    // another's was taken
	warm     bool
}

// chunk is some hosts that are asked about in one question.
type chunk struct {
	tags []uint32
	told bool // by somebody, since it was asked about
}

type heard struct {
	word Word
	at   time.Duration
}

// New returns a Decider that starts now. The first actions are those of the first Step.
func New(c Config, now time.Duration) (*Decider, error) {
	if c.Self == "" || len(c.Self) > MostName {
		return nil, fmt.Errorf("router %q: a name has 1 to %d bytes", c.Self, MostName)
	}
	for _, x := range []struct {
		of *time.Duration
		to time.Duration
	}{{&c.AskWithin, time.Second}, {&c.ListWithin, 2 * time.Second}, {&c.DoubtFor, 8 * time.Second}, {&c.WarmWithin, 20 * time.Second}} {
		*x.of = cmp.Or(*x.of, x.to)
	}
	d := &Decider{c: c, began: now, now: now, since: now, askAt: now, heard: map[string]heard{}}
	if c.Before != nil {
		for _, r := range c.Before.View {
			if r.Name != c.Self && len(d.asked) < MostAsked {
				d.asked = append(d.asked, r)
			}
		}
		if l := c.Before.Learned; l != nil {
			d.measure = MeasureOf(*l)
		}
	}
	d.hosts()
	return d, nil
}

// Source is what stands for a discovery's address in words.
func Source(address string) uint64 { return xxhash.Sum64String(address) }

// word is what this router tells of itself.
func (d *Decider) word(asks bool) Word {
	return Word{Asks: asks, From: d.c.Self, Boot: d.c.Boot, Up: d.now - d.began, Version: d.listed, Source: Source(d.c.Discovery), Stage: d.stage, Measure: d.measure}
}

// Step takes one event, and returns what is to be done.
func (d *Decider) Step(now time.Duration, e Event) []Action {
	d.now = max(now, d.now)
	switch e := e.(type) {
	case Heard:
		d.hear(e.Word)
	case Lives:
		d.lives = e.Routers
	case Spoke:
		d.spoke, d.listed = true, e.Version
		d.serving = map[uint32]bool{}
		for _, id := range e.Serving[:min(len(e.Serving), MostHosts)] {
			d.serving[Tag(id)] = true
		}
	case Asked:
		d.reply(e.Question)
	case Replied:
		d.replied(e.Reply)
	case Measured:
		d.measure = e.Measure
	case Warm:
		d.warm = e.Is
	case Led:
		d.led = e.Is
	}
	d.goOn()
	out := d.out
	d.out = nil
	return out
}

// hear takes a word, and answers one that asks.
func (d *Decider) hear(w Word) {
	if w.From == d.c.Self {
		return
	}
	if _, known := d.heard[w.From]; known || len(d.heard) < 2*MostAsked {
		d.heard[w.From] = heard{w, d.now}
	}
	if w.Asks {
		d.out = append(d.out, Tell{[]snapshot.Router{d.find(w.From)}, d.word(false)})
	}
}

// find is where a router is: as the view has it, or else as the last life had.
func (d *Decider) find(name string) snapshot.Router {
	for _, all := range [][]snapshot.Router{d.lives, d.asked} {
		for _, r := range all {
			if r.Name == name {
				return r
			}
		}
	}
	return snapshot.Router{Name: name}
}

// goOn does what is due, stage after stage.
func (d *Decider) goOn() {
	for {
		before := d.stage
		switch d.stage {
		case Asking:
			d.asking()
		case Listing:
			d.listing()
		case Admitting:
			switch {
			case d.warm:
				d.enter(Duties, "the hosts are warm")
			case d.now >= d.since+d.c.WarmWithin:
				d.enter(Duties, fmt.Sprintf("the hosts were not warm after %v", d.c.WarmWithin))
			}
		case Duties:
			if d.led || !d.c.Duties {
				d.enter(Back, "the voters have a leader")
			}
		}
		if d.stage == before {
			break
		}
	}
	d.found()
	d.askHosts()
	d.recall()
}

func (d *Decider) enter(s Stage, why string) {
	d.stage, d.since = s, d.now
	d.out = append(d.out, Entered{s, d.now - d.began, why})
}

// asking asks the last view until half of it has answered, or the bound passes.
func (d *Decider) asking() {
	n := d.answers()
	switch {
	case len(d.asked) == 0:
		d.enter(Listing, "there is nobody to ask")
	case 2*n >= len(d.asked)+1 || n == len(d.asked):
		d.enter(Listing, fmt.Sprintf("%d of %d have answered", n, len(d.asked)))
	case d.now >= d.since+d.c.AskWithin:
		d.enter(Listing, fmt.Sprintf("only %d of %d have answered", n, len(d.asked)))
	case d.now >= d.askAt:
		d.askAt = d.now + askEvery
		var to []snapshot.Router
		for _, r := range d.asked {
			if _, has := d.heard[r.Name]; !has {
				to = append(to, r)
			}
		}
		d.out = append(d.out, Tell{to, d.word(true)})
	}
}

// answers counts those of the last view that were heard.
func (d *Decider) answers() (n int) {
	for _, r := range d.asked {
		if _, has := d.heard[r.Name]; has {
			n++
		}
	}
	return n
}

// found says whose loss it was, once all have answered or the bound for it has passed. Later words change nothing.
func (d *Decider) found() {
	n := d.answers()
	if d.loss != "" || n < len(d.asked) && d.now < d.began+d.c.AskWithin {
		return
	}
	old, just := 0, 0
	for _, r := range d.asked {
		if h, has := d.heard[r.Name]; has {
			if r.Boot != 0 && h.word.Boot == r.Boot { // the process that it was
				old++
			} else {
				just++
			}
		}
	}
	switch {
	case d.c.Before == nil:
		d.loss = First
	case 2*n < len(d.asked) || len(d.asked) == 0:
		d.loss = Unknown
	case old == 0:
		d.loss = All
	case just == 0:
		d.loss = Own
	default:
		d.loss = Some
	}
	d.out = append(d.out, Found{d.loss, n, len(d.asked)})
}

// younger tells whether a router that was heard has a younger list of the same discovery than the last life had.
func (d *Decider) younger() bool {
	for _, h := range d.heard {
		if h.word.Source == Source(d.c.Discovery) && h.word.Version > d.c.Before.List.Version {
			return true
		}
	}
	return false
}

func (d *Decider) listing() {
	switch {
	case d.spoke:
		d.enter(Admitting, fmt.Sprintf("discovery has spoken, of version %d", d.listed))
	case d.has() && d.now >= d.listBy():
		d.used = true
		d.out = append(d.out, UseList{d.shuns()})
		d.enter(Admitting, fmt.Sprintf("discovery has said nothing for %v", d.listBy()-d.began))
	}
}

// has tells whether the last life left a list of the discovery that is asked now.
func (d *Decider) has() bool {
	return d.c.Before != nil && d.c.Before.List != nil && d.c.Before.ListFrom == d.c.Discovery
}

// listBy is when that list is used if discovery says nothing. A peer's younger one makes it doubtful until the peer has said which hosts it has.
func (d *Decider) listBy() time.Duration {
	at := d.began + d.c.ListWithin
	if d.younger() && slices.ContainsFunc(d.chunks, func(c chunk) bool { return !c.told }) {
		at += d.c.DoubtFor
	}
	return at
}

// Next is when Step is to be called at the latest, 0 for never.
func (d *Decider) Next() time.Duration {
	switch d.stage {
	case Asking:
		return min(d.askAt, d.since+d.c.AskWithin)
	case Listing:
		if d.has() {
			return soonest(d.nextFound(), soonest(d.listBy(), d.nextHosts()))
		}
	case Admitting:
		return soonest(d.nextFound(), soonest(d.since+d.c.WarmWithin, d.nextHosts()))
	}
	return soonest(d.nextFound(), d.nextHosts())
}

// nextFound is when it is said whose loss it was, at the latest; 0 once it is.
func (d *Decider) nextFound() time.Duration {
	if d.loss != "" {
		return 0
	}
	return d.began + d.c.AskWithin
}

// soonest is the earlier of two times, of which 0 is never.
func soonest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Standing is what a Decider shows of itself.
type Standing struct {
	Stage  Stage
	For    time.Duration // in the stage
	Up     time.Duration
	Loss   Loss
	Heard  int
	Asked  int
	Old    bool // the list of the last life was used
	Wrong  []string
	Waits  string
	Before bool
}

// Standing returns how things are at a time.
func (d *Decider) Standing(now time.Duration) Standing {
	return Standing{Stage: d.stage, For: now - d.since, Up: now - d.began, Loss: d.loss, Heard: d.answers(), Asked: len(d.asked), Old: d.used,
		Wrong: slices.Clone(d.c.Wrong), Waits: Stages[d.stage].Ends, Before: d.c.Before != nil}
}
