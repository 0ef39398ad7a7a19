// Package lease is work that only so many routers may do at a time: the table of grants that voters agree on, and the holder's
// side of a lease. docs/design/duties.md has the why.
//
// This file is the interface; table.go has the table, holder.go the lease, agent.go a
// router's side with all that it sends. All are state machines without I/O, clock or
// goroutine. The table's owner applies the same commands in the same order at each voter; it looks at no time at all. The
// holder's owner gives it the time of one monotonic clock that never goes back.
//
// What its users may rely on: tokens only grow, over all duties; at most as many grants of a duty stand as it allows; and as long
// as clocks' rates differ by no more than the allowance says, nobody begins work under a grant that has been given to
// another. Whatever leaves the process under a duty carries its token, and whoever receives it refuses lower ones: that holds
// whatever the clocks do.
package lease

import (
	"fmt"
	"time"
)

// Bounds of what comes from outside.
const (
	MaxRoles     = 64   // with each zone of such as are held by zone
	MaxHolders   = 64   // of one duty at a time
	MaxVoters    = 16   // routers that may vote
	MaxQueued    = 1024 // for one duty
	MaxNameBytes = 48   // bytes of a duty's, a router's or a zone's name
)

// Anybody is a wish that a holder may give a grant to whoever waits.
const AnyRouter = "*"

// Duty is one kind of work.
type Role struct {
	Name           string
	MaxHolders     int      `json:"Holders"` // at a time; 0 counts as 1
	PreferredZones []string `json:"Zones"`   // whose routers are preferred among those who wait, in this order
	ByZone         bool     // each zone has its own holders: what is asked for is "name@zone"
}

// Of returns what a router of a zone asks for.
func (d *Role) NameIn(zone string) string {
	if d.ByZone {
		return d.Name + "@" + zone
	}
	return d.Name
}

// Router is who asks: its name, and the process, so that what an earlier life asked for is not this one's.
type Router struct {
	Name string
	Boot uint32
	Zone string
}

// Grant is a duty in somebody's hands.
type Grant struct {
	Role        string `json:"Duty"`
	Holder      Router
	Token       uint64
	Renewals    uint64 // so far
	TransferTo  string `json:"Wish"`   // a router that operators want it to go to, or Anybody
	Reason      Reason `json:"Why"`    // it was granted
	Unconfirmed bool   `json:"Pushed"` // it came by itself and is not renewed yet: its holder may not know of it
}

// Kind is what a command does.
type CommandKind uint8

// The kinds.
const (
	Acquire         CommandKind = iota // for Who: a grant if a slot is free, otherwise a place in the line
	Renew                              // Who still holds Token
	Release                            // Who gives Token back
	Transfer                           // Who gives Token back, and its slot is To's for as long as that one is expected
	Expire                             // Token has had no renewal beyond Renewals for a whole lease, by the leader's clock
	Dequeue                            // Who waits no more, or To's slot is kept no more
	RequestTransfer                    // operators want Token's holder to give it to To
	DefineRole                         // the duty With is known from here on, as it says
	RaiseToken                         // tokens begin above Token
)

// Command is one step of the agreed sequence.
type Command struct {
	Kind       CommandKind
	Role       string `json:"Duty"`
	Router     Router `json:"Who"`
	Token      uint64
	Renewals   uint64
	To         string
	Definition *Role `json:"With"` // of Define
}

// Why is the reason for a change.
type Reason string

// The reasons.
const (
	ReasonAvailable   Reason = "asked"       // a slot was free
	ReasonQueued      Reason = "in turn"     // one became free, and this router had waited
	ReasonReleased    Reason = "yielded"     // given back
	ReasonTransferred Reason = "handed over" // given back for a router that was named
	ReasonExpired     Reason = "expired"     // not renewed
	ReasonRestarted   Reason = "again"       // the same router, another process
	ReasonFailed      Reason = "dropped"     // given back because the work failed
)

// Change is what became of a grant.
type Change struct {
	Grant   Grant
	Granted bool // or taken back
	Reason  Reason
}

// Answer is what a command's sender is told.
type Result struct {
	OK      bool
	Queued  bool   // of Acquire, if not OK: the router stands in line
	Grant   Grant  // of Acquire and Renew, if OK
	Refusal string // if not
}

// Times are a lease's.
type Timing struct {
	Duration       time.Duration // on the voters' side
	ClockAllowance time.Duration // for clocks whose rates differ, and rounding
	Margin         time.Duration // before the end, in which no work is begun and what is under way ends
}

// Rates is the most by which the rates of two clocks may differ.
const MaxClockDrift = 0.001

// Usual is a lease of 2 s. Rates makes 2 ms of it, and five times that is allowed for.
var DefaultTiming = Timing{Duration: 2 * time.Second, ClockAllowance: 10 * time.Millisecond, Margin: 100 * time.Millisecond}

// Check tells what is wrong with times.
func (t *Timing) Validate() error {
	switch {
	case t.Duration < 500*time.Millisecond || t.Duration > time.Minute:
		return fmt.Errorf("a lease of %v; it must be from 500ms to 1m", t.Duration)
	case float64(t.ClockAllowance) < 2*MaxClockDrift*float64(t.Duration):
		return fmt.Errorf("an allowance of %v is less than twice what clocks may differ by in a lease", t.ClockAllowance)
	case t.Margin <= 0 || t.Margin > t.Duration/4:
		return fmt.Errorf("a margin of %v; it must be more than nothing and at most a quarter of the lease", t.Margin)
	}
	return nil
}
