package members

import (
	"math"
	"time"
)

// never is the time of what is not planned.
const never = time.Duration(math.MaxInt64)

// timed is something that a decider does at times of its own.
type timed struct {
	at func(*Decider) time.Duration // the next time, never for none
	do func(*Decider)               // does it if its time has come, and plans the next time
}

// The timed work of a decider by its state. Next and due go by the same list, so that no time is named that nobody takes up: a time that
// stays in the past has the owner's loop turn without pause.
var (
	whileJoining = []timed{timedJoin, timedProbes, timedSuspicions, timedQuestions, timedChallenges, timedFlush}
	whileAlive   = []timed{timedProbes, timedSuspicions, timedGreetings, timedQuestions, timedChallenges, timedFlush, timedDeaths}
	whileLeaving = []timed{timedFlush}

	timedJoin       = timed{(*Decider).joinNext, func(*Decider) {}} // due does it before all else
	timedProbes     = timed{(*Decider).probeNext, (*Decider).dueProbe}
	timedSuspicions = timed{(*Decider).suspectNext, (*Decider).dueSuspects}
	timedGreetings  = timed{func(d *Decider) time.Duration { return d.greetAt }, (*Decider).dueGreet}
	timedQuestions  = timed{func(d *Decider) time.Duration { return planned(d.wantAt) }, (*Decider).dueWants}
	timedChallenges = timed{func(d *Decider) time.Duration { return planned(d.challengeAt) }, (*Decider).dueChallenges}
	timedFlush      = timed{func(d *Decider) time.Duration { return planned(d.flushAt) }, (*Decider).dueFlush}
	timedDeaths     = timed{func(d *Decider) time.Duration { return planned(d.heldAt) }, func(*Decider) {}} // each step ends with tell
)

// planned is a time that is 0 for none.
func planned(at time.Duration) time.Duration {
	if at == 0 {
		return never
	}
	return at
}

// work is the timed work of the present state.
func (d *Decider) work() []timed {
	switch {
	case d.leaving:
		return whileLeaving
	case d.self.State == Joining:
		return whileJoining
	}
	return whileAlive
}

// Next is when the owner calls again at the latest.
func (d *Decider) Next() time.Duration {
	next := never
	for _, w := range d.work() {
		next = min(next, w.at(d))
	}
	return max(next, d.now)
}

// due does all whose time has come. Joining goes first: what follows is by the state that it leads to.
func (d *Decider) due() {
	if d.self.State == Joining && !d.leaving {
		d.dueJoin()
	}
	for _, w := range d.work() {
		w.do(d)
	}
}

// joinNext is when a joining member introduces itself again, or has waited long enough for somebody who knows better.
func (d *Decider) joinNext() time.Duration {
	if d.taken {
		return d.joinAt
	}
	return min(d.joinAt, d.joinUntil)
}

// suspectNext is when something is to be done about a suspicion.
func (d *Decider) suspectNext() time.Duration {
	next := never
	for _, s := range d.suspects {
		next = min(next, s.next())
	}
	return next
}
