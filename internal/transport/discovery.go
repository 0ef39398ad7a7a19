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
	watchTimeout  = 5 * time.Second // of one call for changes
	answerTimeout = time.Second     // beyond that; longer means that discovery is down
	maxList       = 4 << 20
)

// Pace says when a watch is begun, and begun again after a failure: with a backoff that doubles
// from First to Longest, and varies by half of it either way, so that routers which failed together
// do not come back together.
type RetrySchedule struct {
	StartSpread          time.Duration // the first call goes out within this, if a list is known
	FirstDelay, MaxDelay time.Duration
	// Answer is the timeout of a connection attempt, and of an answer that waits for nothing to
	// begin; 0 counts as answerTimeout. A slower discovery is heard by the first
	// attempt, which has patientTimeout and goes on beside the others.
	AnswerTimeout time.Duration
}

// Pushed is the pace for a discovery that pushes: an agent on this machine, which costs nothing to
// ask and answers at once. While discovery is down the agent does not answer. A router must apply
// what it has after that within 500 ms: an attempt that began before, the wait after it and the
// next attempt have to end within that.
var PushSchedule = RetrySchedule{FirstDelay: 20 * time.Millisecond, MaxDelay: 80 * time.Millisecond, AnswerTimeout: 250 * time.Millisecond}

// patientTimeout is the timeout of the attempt that goes on beside hasty ones.
const longAttemptTimeout = 3 * time.Second

// answerTimeout returns how long a call that waits for nothing may take.
func (s RetrySchedule) answerTimeout() time.Duration { return cmp.Or(s.AnswerTimeout, answerTimeout) }

// callCost is the time of a discovery that one call is assumed to take.
const assumedCallDuration = 100 * time.Millisecond

// Asked returns the pace for a discovery that must be asked: one service for so many routers. Each
// call takes some of its time, also one that is queued for too long and fails; if calls come as
// fast as it can answer, a queue that once was too long stays so, and no router gets an answer. So
// the calls of all routers are spread over the time that they take together, or most of that within
// which each must have asked.
func PollSchedule(routers int, within time.Duration) RetrySchedule {
	spread := time.Duration(max(routers, 1)) * assumedCallDuration
	if within > 0 {
		spread = min(spread, within*4/5)
	}
	return RetrySchedule{StartSpread: spread, FirstDelay: min(spread, maxRetryDelay), MaxDelay: min(3*spread, maxRetryDelay)}
}

// maxRetryDelay bounds the usual wait after a failure. A router must have a change 6 s after
// discovery had it and could be reached, whatever call failed: the longest wait, which is half as
// much again, and the call after it have to end within that.
const maxRetryDelay = 3 * time.Second

// Discovery watches the list of servers.
type Discovery struct {
	addr     string
	schedule RetrySchedule
	log      routing.Logger
	onList   func(*protocol.List)
	down     bool  // the loss was logged
	since    int64 // version of the last list, below 0 if only a full list will do
	failures int   // attempts since the last list
}

// Wait returns how long to wait after a failure that so many came before, one after the other.
func (s RetrySchedule) Wait(previousFailures int) time.Duration {
	base := s.MaxDelay
	if doubled := s.FirstDelay << min(previousFailures, 20); doubled < base {
		base = doubled
	}
	return base/2 + rand.N(base)
}

// WaitAfterTimeout returns how long to wait after a watch has timed out. A router must have what it
// missed 2 s after the time that its call could wait, and the time-out was noticed answerTimeout
// after that. When watches time out together, their calls still began at different times, so the
// next ones are spread.
func (s RetrySchedule) WaitAfterTimeout() time.Duration {
	base := min(s.FirstDelay, maxTimeoutRetryDelay)
	return base/2 + rand.N(base)
}

// maxTimeoutRetryDelay bounds the usual wait after a watch that timed out.
const maxTimeoutRetryDelay = 800 * time.Millisecond

// FullList is the version to start from if no list of this discovery is known.
const FullList = -1

// NewDiscovery returns a watch that gives each list to onList. The next call goes out when onList
// returns. The first call asks for what is newer than the version since: full lists for all routers
// at once would overload a discovery.
func NewDiscovery(addr string, schedule RetrySchedule, since int64, log routing.Logger, onList func(*protocol.List)) *Discovery {
	return &Discovery{addr: addr, schedule: schedule, since: since, log: log, onList: onList}
}

// Run watches until ctx ends. Whatever fails, the last good list stays in force and a new watch
// begins.
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

// recordLoss logs once that discovery is lost.
func (d *Discovery) recordLoss(cause error) {
	if !d.down {
		d.down = true
		d.log.Warn("discovery lost", "cause", cause)
	}
}

// apply hands on a list, and logs that discovery is back if it was lost.
func (d *Discovery) apply(list *protocol.List) {
	d.onList(list)
	if d.since >= 0 {
		d.since = list.Version
	}
	if d.down {
		d.down = false
		d.log.Info("discovery back", "version", list.Version)
	}
}

// follow asks for what is newer than the first list of a watch, again and again on its connection,
// and returns the first error.
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
