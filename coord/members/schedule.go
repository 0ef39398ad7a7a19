package members

import (
	"math"
	"time"
)

// never is the next time of a task that is not scheduled.
const never = time.Duration(math.MaxInt64)

// task is an activity that a Decider performs at times that it schedules itself.
type task struct {
	next func(*Decider) time.Duration // returns the next time, or never if the task is not scheduled
	run  func(*Decider)               // runs the task if it is due, and schedules the next time
}

// The tasks of each state. Next and runDue use the same lists. Otherwise Next could return the time
// of a task that runDue does not run; that time would remain in the past, and the owner's loop
// would spin.
var (
	joiningTasks  = []task{joinTask, probeTask, suspicionTask, recordRequestTask, disputeTask, flushTask}
	aliveTasks    = []task{probeTask, suspicionTask, reconnectTask, recordRequestTask, disputeTask, flushTask, publishTask}
	shutdownTasks = []task{flushTask}
)

// joinTask and publishTask only provide a time; their run functions do nothing. runDue calls
// runJoin before it runs the tasks, and every Step ends with a call of publish.
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

// zeroAsNever converts a time that is 0 if nothing is scheduled: it returns never for 0.
func zeroAsNever(at time.Duration) time.Duration {
	if at == 0 {
		return never
	}
	return at
}

// tasks returns the tasks of the current state.
func (d *Decider) tasks() []task {
	switch {
	case d.shuttingDown:
		return shutdownTasks
	case d.self.State == Joining:
		return joiningTasks
	}
	return aliveTasks
}

// Next returns the latest time at which the owner must call Step again.
func (d *Decider) Next() time.Duration {
	next := never
	for _, t := range d.tasks() {
		next = min(next, t.next(d))
	}
	return max(next, d.now)
}

// runDue runs the tasks that are due. It calls runJoin first, because the list of tasks depends on
// the state that runJoin sets.
func (d *Decider) runDue() {
	if d.self.State == Joining && !d.shuttingDown {
		d.runJoin()
	}
	for _, t := range d.tasks() {
		t.run(d)
	}
}
