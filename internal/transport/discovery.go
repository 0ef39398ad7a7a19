package transport

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"time"

	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

const (
	watchTimeout  = 5 * time.Second // how long discovery may hold one call while it waits for changes
	answerTimeout = time.Second     // on top of that; if an answer takes longer, discovery counts as down
	maxList       = 4 << 20
)

// RetrySchedule says when a watch starts and when it restarts after a failure. The backoff doubles
// from FirstDelay to MaxDelay. A jitter of half the delay either way keeps routers that failed
// together from retrying together.
type RetrySchedule struct {
	StartSpread          time.Duration // the first call starts within this time, if a list is known
	FirstDelay, MaxDelay time.Duration
	// AnswerTimeout bounds a connection attempt and the wait for an answer that discovery does not
	// hold; 0 means answerTimeout. A discovery that answers more slowly is reached by the first
	// attempt, which has the timeout longAttemptTimeout and runs in parallel with the others.
	AnswerTimeout time.Duration
}

// PushSchedule is the schedule for a discovery that pushes changes: an agent on this machine, which
// is cheap to ask and answers at once. While discovery is down, the agent does not answer. Once it
// answers again, a router must apply the agent's list within 500 ms. An attempt that began before,
// the delay after it and the next attempt must all fit into that time.
var PushSchedule = RetrySchedule{FirstDelay: 20 * time.Millisecond, MaxDelay: 80 * time.Millisecond, AnswerTimeout: 250 * time.Millisecond}

// longAttemptTimeout is the timeout of the attempt that runs in parallel with the short attempts.
const longAttemptTimeout = 3 * time.Second

// answerTimeout returns how long discovery may take to answer a call that it does not hold.
func (s RetrySchedule) answerTimeout() time.Duration { return cmp.Or(s.AnswerTimeout, answerTimeout) }

// assumedCallDuration is how long discovery is assumed to be busy with one call.
const assumedCallDuration = 100 * time.Millisecond

// PollSchedule returns the schedule for a discovery that must be polled: one service for the given
// number of routers. Each call takes some of the service's time, even a call that waits in its
// queue for too long and fails. If calls arrive as fast as the service can answer them, a queue
// that was once too long stays too long, and no router gets an answer. PollSchedule therefore
// spreads the calls of all routers over the time that they take in total, or over 4/5 of within,
// the time by which each router must have called, if that is shorter.
func PollSchedule(routers int, within time.Duration) RetrySchedule {
	spread := time.Duration(max(routers, 1)) * assumedCallDuration
	if within > 0 {
		spread = min(spread, within*4/5)
	}
	return RetrySchedule{StartSpread: spread, FirstDelay: min(spread, maxRetryDelay), MaxDelay: min(3*spread, maxRetryDelay)}
}

// maxRetryDelay bounds the delay after a failure, before jitter. A router must have a change 6 s
// after discovery had it and was reachable, whichever call failed. The longest delay, which is 1.5
// times maxRetryDelay, and the call after it must fit into that time.
const maxRetryDelay = 3 * time.Second

// Discovery watches the list of servers.
type Discovery struct {
	addr     string
	schedule RetrySchedule
	log      routing.Logger
	onList   func(*protocol.List)
	down     bool  // the loss is already logged
	since    int64 // version of the last list; below 0, only a full list will do
	failures int   // failed attempts since the last list
}

// Wait returns the delay after a failure that follows previousFailures failures in a row.
func (s RetrySchedule) Wait(previousFailures int) time.Duration {
	base := s.MaxDelay
	if doubled := s.FirstDelay << min(previousFailures, 20); doubled < base {
		base = doubled
	}
	return base/2 + rand.N(base)
}

// WaitAfterTimeout returns the delay after a watch has timed out. A router must have a change that
// it missed 2 s after the time for which its call could be held, and it notices the timeout
// answerTimeout after that time. The calls of watches that time out together still started at
// different times, so their next calls are spread as well.
func (s RetrySchedule) WaitAfterTimeout() time.Duration {
	base := min(s.FirstDelay, maxTimeoutRetryDelay)
	return base/2 + rand.N(base)
}

// maxTimeoutRetryDelay bounds the delay after a watch that timed out, before jitter.
const maxTimeoutRetryDelay = 800 * time.Millisecond

// FullList is the version to start from if no list of this discovery is known.
const FullList = -1

// NewDiscovery returns a watch that passes each list to onList and makes the next call when onList
// returns. The first call asks only for changes since the version since, because sending full lists
// to all routers at once would overload discovery.
func NewDiscovery(addr string, schedule RetrySchedule, since int64, log routing.Logger, onList func(*protocol.List)) *Discovery {
	return &Discovery{addr: addr, schedule: schedule, since: since, log: log, onList: onList}
}

// Run watches until ctx ends. After any failure, the last good list stays in force and Run starts a
// new watch.
func (d *Discovery) Run(ctx context.Context) {
	wait := time.Duration(0)
	if d.since >= 0 && d.schedule.StartSpread > 0 {
		wait = rand.N(d.schedule.StartSpread)
	}
	for {
		w, ok := d.connect(ctx, wait)
		if !ok {
			return
		}
		err := d.follow(ctx, w)
		if ctx.Err() != nil {
			return
		}
		d.recordLoss(err)
		wait = d.schedule.Wait(0)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			wait = d.schedule.WaitAfterTimeout()
		}
		d.failures = 1
	}
}

// recordLoss logs that discovery is lost, unless it has logged that already.
func (d *Discovery) recordLoss(cause error) {
	if !d.down {
		d.down = true
		d.log.Warn("discovery lost", "cause", cause)
	}
}

// apply passes a list to onList, and logs that discovery is reachable again if it was lost.
func (d *Discovery) apply(list *protocol.List) {
	d.onList(list)
	if d.since >= 0 {
		d.since = list.Version
	}
	if d.down {
		d.down = false
		d.log.Info("discovery reachable again", "version", list.Version)
	}
}

// follow repeatedly asks for changes since the last list on the watch's connection, and returns the
// first error. It applies the watch's first list before that.
func (d *Discovery) follow(ctx context.Context, w *watch) error {
	defer w.conn.Close()
	defer context.AfterFunc(ctx, func() { w.conn.Close() })()
	for list := w.first; ; {
		d.apply(list)
		next, err := w.call(protocol.WatchPath(list.Version, watchTimeout), watchTimeout+answerTimeout)
		if err != nil {
			return err
		}
		list = next
	}
}
