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
	watchFor = 5 * time.Second // one call that waits
	answerIn = time.Second     // beyond that wait; longer means that discovery is down
	mostList = 4 << 20
)

// Pace is when a watch is begun, and begun anew once it failed: after a time that doubles from First to Longest, and
// varies by half of it either way, lest routers that failed together come back together.
type Pace struct {
	Start          time.Duration // the first call goes out within this, where a list is held
	First, Longest time.Duration
	// Answer is how long a connection may take to come up, and an answer that waits for nothing to begin; 0 counts as answerIn. After mostHasty failures in a
	// row it is answerIn: a discovery that needs longer would never be heard.
	Answer time.Duration
}

// Pushed is the pace for a discovery that pushes: an agent on this machine, which costs nothing to ask and answers at once. While discovery is down it says
// nothing, and what it has been sent once that is over counts as told, of which a router must make use within 500 ms: a try that began
// before, the wait after it and the next one have to end within that.
var Pushed = Pace{First: 20 * time.Millisecond, Longest: 80 * time.Millisecond, Answer: 250 * time.Millisecond}

const mostHasty = 100 // failures in a row, over half a minute

// within is how long a call that waits for nothing may take after so many failures in a row.
func (p Pace) within(failed int) time.Duration {
	if p.Answer == 0 || failed >= mostHasty {
		return answerIn
	}
	return p.Answer
}

// perRouter is what of a discovery's time one call is reckoned to take.
const perRouter = 100 * time.Millisecond

// Asked is the pace for a discovery that must be asked: one service for so many routers. Each call takes some of its
// time, also one that waits in turn for too long and fails; where calls come as fast as it can answer, a queue that
// once was too long stays so, and nobody gets an answer. So all the routers' calls are spread over the time that they
// take together, or most of that within which each must have asked.
func Asked(routers int, within time.Duration) Pace {
	spread := time.Duration(max(routers, 1)) * perRouter
	if within > 0 {
		spread = min(spread, within*4/5)
	}
	return Pace{Start: spread, First: min(spread, mostWait), Longest: min(3*spread, mostWait)}
}

// mostWait bounds the usual wait after a failure. A change counts as told 6 s after discovery had it and could be reached,
// whatever call failed: the longest wait, which is half as much again, and the call after it have to end within that.
const mostWait = 3 * time.Second

// Discovery watches the list of listed servers.
type Discovery struct {
	addr  string
	pace  Pace
	log   routing.Logger
	tell  func(*protocol.List)
	down  bool  // the loss was logged
	since int64 // version of the list held, below 0 where only a whole list will do
}

// Wait returns how long to wait after a failure that so many came before, one after the other.
func (p Pace) Wait(before int) time.Duration {
	usual := p.Longest
	if doubled := p.First << min(before, 20); doubled < usual {
		usual = doubled
	}
	return usual/2 + rand.N(usual)
}

// AfterSilence returns how long to wait after a watch has fallen silent. What it missed counts as told 2 s after the time
// that its call could wait, and its silence was noticed answerIn after that. When watches fall silent together, their calls
// still began at different times, so the next ones are spread.
func (p Pace) AfterSilence() time.Duration {
	usual := min(p.First, mostSilence)
	return usual/2 + rand.N(usual)
}

// mostSilence bounds the usual wait after a silent watch.
const mostSilence = 800 * time.Millisecond

// WholeList is the version to start from where no list of this discovery is held.
const WholeList = -1

// NewDiscovery returns a watch that gives each list to tell. The next call goes out when tell returns. Where it is asked
// at a price, it begins with what is newer than the version since: whole lists for all routers at once overbook it.
func NewDiscovery(addr string, pace Pace, since int64, log routing.Logger, tell func(*protocol.List)) *Discovery {
	return &Discovery{addr: addr, pace: pace, since: since, log: log, tell: tell}
}

// Run watches until ctx ends. Whatever fails, the last good list stays in force and a new watch is begun.
func (d *Discovery) Run(ctx context.Context) {
	if d.since >= 0 && d.pace.Start > 0 {
		select {
		case <-time.After(rand.N(d.pace.Start)):
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
			wait = d.pace.AfterSilence()
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		failed++
	}
}

// watch asks for the whole list, then for what is newer, again and again on one connection. It returns the first
// error, and whether any list came before.
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
		path, wait = protocol.WatchPath(d.since, watchFor), watchFor
	}
	for ; ; wait = watchFor {
		if wait > 0 {
			within = wait + answerIn
		}
		list, err := d.call(c, in, path, within)
		if err != nil {
			return good, err
		}
		d.tell(list)
		good = true
		if d.since >= 0 {
			d.since = list.Version
		}
		if d.down {
			d.down = false
			d.log.Info("discovery back", "version", list.Version)
		}
		path = protocol.WatchPath(list.Version, watchFor)
	}
}

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
	if _, err := in.Peek(1); err != nil { // what has begun to come may take its time
		return nil, err
	}
	if err := c.SetDeadline(time.Now().Add(answerIn)); err != nil {
		return nil, err
	}
	if err := resp.ReadLimitBody(in, mostList); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode())
	}
	return protocol.ParseList(resp.Body())
}
