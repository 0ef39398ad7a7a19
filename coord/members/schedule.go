package members

import (
	"math"
	"time"
)

// never is the time of a task that is not planned.
const never = time.Duration(math.MaxInt64)

// task is something that a decider does at times of its own.
type task struct {
	next func(*Decider) time.Duration // the next time, never for none
	run  func(*Decider)               // does it if its time has come, and plans the next time
}

// The tasks by state. Next and runDue go by the same lists, so that Next names no time at which
// nothing is done: such a time would stay in the past and have the owner's loop spin.
var (
	joiningTasks  = []task{joinTask, probeTask, suspicionTask, recordRequestTask, disputeTask, flushTask}
	aliveTasks    = []task{probeTask, suspicionTask, reconnectTask, recordRequestTask, disputeTask, flushTask, publishTask}
	shutdownTasks = []task{flushTask}
)

// Two tasks do nothing themselves: runDue runs runJoin before all others, and each Step ends with
// publish.
var (
	joinTask          = task{(*Decider).nextJoinEvent, func(*Decider) {}}
	probeTask         = task{(*Decider).nextProbeEvent, (*Decider).runProbes}
	suspicionTask     = task{(*Decider).nextSuspicionEvent, (*Decider).runSuspicions}
	reconnectTask     = task{func(d *Decider) time.Duration { return d.nextReconnectAt }, (*Decider).reconnect}
	recordRequestTask = task{
		func(d *Decider) time.Duration { return zeroAsNever(d.nextRecordRequestAt) },
		(*Decider).sendRecordRequests,
	}
	disputeTask = task{func(d *Decider) time.Duration { return zeroAsNever(d.nextDisputeAt) }, (*Decider).pingDisputed}
	flushTask   = task{func(d *Decider) time.Duration { return zeroAsNever(d.nextFlushAt) }, (*Decider).flushUpdates}
	publishTask = task{func(d *Decider) time.Duration { return zeroAsNever(d.deathsDelayedUntil) }, func(*Decider) {}}
)

// zeroAsNever is a time that is 0 for none.
func zeroAsNever(at time.Duration) time.Duration {
	if at == 0 {
		return never
	}
	return at
}

// tasks returns the tasks of the present state.
func (d *Decider) tasks() []task {
	switch {
	case d.shuttingDown:
		return shutdownTasks
	case d.self.State == Joining:
		return joiningTasks
	}
	return aliveTasks
}

// Next returns the time at which the owner calls Step again at the latest.
func (d *Decider) Next() time.Duration {
	next := never
	for _, t := range d.tasks() {
		next = min(next, t.next(d))
	}
	return max(next, d.now)
}

// runDue runs the tasks whose time has come. Joining goes first: the others depend on the state
// that it leads to.
func (d *Decider) runDue() {
	if d.self.State == Joining && !d.shuttingDown {
		d.runJoin()
	}
	for _, t := range d.tasks() {
		t.run(d)
	}
}
