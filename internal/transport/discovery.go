package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

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
type Pace struct {
	StartSpread    time.Duration // the first call goes out within this, if a list is known
	First, Longest time.Duration
	// Answer is the timeout of a connection attempt, and of an answer that waits for nothing to
	// begin; 0 counts as answerTimeout. After maxHastyFailures in a row it is answerTimeout:
	// otherwise a slower discovery would never be heard.
	Answer time.Duration
}

// Pushed is the pace for a discovery that pushes: an agent on this machine, which costs nothing to
// ask and answers at once. While discovery is down the agent does not answer. A router must apply
// what it has after that within 500 ms: an attempt that began before, the wait after it and the
// next attempt have to end within that.
var Pushed = Pace{First: 20 * time.Millisecond, Longest: 80 * time.Millisecond, Answer: 250 * time.Millisecond}

const maxHastyFailures = 100 // failures in a row, over half a minute

// within returns how long a call that waits for nothing may take after so many failures in a row.
func (p Pace) within(failed int) time.Duration {
	if p.Answer == 0 || failed >= maxHastyFailures {
		return answerTimeout
	}
	return p.Answer
}

// callCost is the time of a discovery that one call is assumed to take.
const callCost = 100 * time.Millisecond

// Asked returns the pace for a discovery that must be asked: one service for so many routers. Each
// call takes some of its time, also one that is queued for too long and fails; if calls come as
// fast as it can answer, a queue that once was too long stays so, and no router gets an answer. So
// the calls of all routers are spread over the time that they take together, or most of that within
// which each must have asked.
func Asked(routers int, within time.Duration) Pace {
	spread := time.Duration(max(routers, 1)) * callCost
	if within > 0 {
		spread = min(spread, within*4/5)
	}
	return Pace{StartSpread: spread, First: min(spread, maxRetryDelay), Longest: min(3*spread, maxRetryDelay)}
}

// maxRetryDelay bounds the usual wait after a failure. A router must have a change 6 s after
// discovery had it and could be reached, whatever call failed: the longest wait, which is half as
// much again, and the call after it have to end within that.
const maxRetryDelay = 3 * time.Second

// Discovery watches the list of servers.
type Discovery struct {
	addr   string
	pace   Pace
	log    routing.Logger
	onList func(*protocol.List)
	down   bool  // the loss was logged
	since  int64 // version of the last list, below 0 if only a full list will do
}

// Wait returns how long to wait after a failure that so many came before, one after the other.
func (p Pace) Wait(before int) time.Duration {
	usual := p.Longest
	if doubled := p.First << min(before, 20); doubled < usual {
		usual = doubled
	}
	return usual/2 + rand.N(usual)
}

// WaitAfterTimeout returns how long to wait after a watch has timed out. A router must have what it
// missed 2 s after the time that its call could wait, and the time-out was noticed answerTimeout
// after that. When watches time out together, their calls still began at different times, so the
// next ones are spread.
func (p Pace) WaitAfterTimeout() time.Duration {
	usual := min(p.First, maxTimeoutRetryDelay)
	return usual/2 + rand.N(usual)
}

// maxTimeoutRetryDelay bounds the usual wait after a watch that timed out.
const maxTimeoutRetryDelay = 800 * time.Millisecond

// FullList is the version to start from if no list of this discovery is known.
const FullList = -1

// NewDiscovery returns a watch that gives each list to onList. The next call goes out when onList
// returns. The first call asks for what is newer than the version since: full lists for all routers
// at once would overload a discovery.
func NewDiscovery(addr string, pace Pace, since int64, log routing.Logger, onList func(*protocol.List)) *Discovery {
	return &Discovery{addr: addr, pace: pace, since: since, log: log, onList: onList}
}

// Run watches until ctx ends. Whatever fails, the last good list stays in force and a new watch
// begins.
func (d *Discovery) Run(ctx context.Context) {
	if d.since >= 0 && d.pace.StartSpread > 0 {
		select {
		case <-time.After(rand.N(d.pace.StartSpread)):
		case <-ctx.Done():
		}
	}
	failed := 0
	for ctx.Err() == nil {
		good, err := d.watch(ctx, d.pace.within(failed))
		if ctx.Err() != nil {
			return
		}
		if !d.down {
			d.down = true
			d.log.Warn("discovery lost", "cause", err)
		}
		if good {
			failed = 0
		}
		wait := d.pace.Wait(failed)
		if good && errors.Is(err, os.ErrDeadlineExceeded) {
			wait = d.pace.WaitAfterTimeout()
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		failed++
	}
}

// watch asks for the full list, then again and again for what is newer, on one connection. It
// returns the first error, and whether any list came before.
func (d *Discovery) watch(ctx context.Context, within time.Duration) (good bool, err error) {
	dialer := net.Dialer{Timeout: within}
	c, err := dialer.DialContext(ctx, "tcp", d.addr)
	if err != nil {
		return false, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	in := bufio.NewReader(c)
	path, wait := protocol.ListPath, time.Duration(0)
	if d.since >= 0 {
		path, wait = protocol.WatchPath(d.since, watchTimeout), watchTimeout
	}
	for ; ; wait = watchTimeout {
		if wait > 0 {
			within = wait + answerTimeout
		}
		list, err := d.call(c, in, path, within)
		if err != nil {
			return good, err
		}
		d.onList(list)
		good = true
		if d.since >= 0 {
			d.since = list.Version
		}
		if d.down {
			d.down = false
			d.log.Info("discovery back", "version", list.Version)
		}
		path = protocol.WatchPath(list.Version, watchTimeout)
	}
}

// call makes one call, whose answer must begin within a time.
func (d *Discovery) call(c net.Conn, in *bufio.Reader, path string, within time.Duration) (*protocol.List, error) {
	if err := c.SetDeadline(time.Now().Add(within)); err != nil {
		return nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(d.addr)
	if _, err := req.WriteTo(c); err != nil {
		return nil, err
	}
	if _, err := in.Peek(1); err != nil { // an answer that has begun may take longer
		return nil, err
	}
	if err := c.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return nil, err
	}
	if err := resp.ReadLimitBody(in, maxList); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode())
	}
	return protocol.ParseList(resp.Body())
}
