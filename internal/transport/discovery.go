package transport

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

const (
	watchFor     = 5 * time.Second // one call that waits
	answerIn     = time.Second     // beyond that wait; longer means that discovery is down
	mostList     = 4 << 20
	firstBackoff = 20 * time.Millisecond
	longBackoff  = time.Second
)

// Discovery watches the list of service entries.
type Discovery struct {
	addr string
	log  routing.Logger
	tell func(*protocol.List)
	down bool // the loss was logged
}

// NewDiscovery returns a watch that gives each list to tell. The next call goes out when tell returns.
func NewDiscovery(addr string, log routing.Logger, tell func(*protocol.List)) *Discovery {
	return &Discovery{addr: addr, log: log, tell: tell}
}

// Run watches until ctx ends. Whatever fails, the last good list stays in force and a new watch is begun.
func (d *Discovery) Run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		good, err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if !d.down {
			d.down = true
			d.log.Warn("discovery lost", "cause", err)
		}
		if good {
			backoff = firstBackoff
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, longBackoff)
	}
}

// watch asks for the whole list, then for what is newer, again and again on one connection. It returns the first
// error, and whether any list came before.
func (d *Discovery) watch(ctx context.Context) (good bool, err error) {
	dialer := net.Dialer{Timeout: answerIn}
	c, err := dialer.DialContext(ctx, "tcp", d.addr)
	if err != nil {
		return false, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	in := bufio.NewReader(c)
	for path, wait := protocol.ListPath, time.Duration(0); ; wait = watchFor {
		list, err := d.call(c, in, path, wait+answerIn)
		if err != nil {
			return good, err
		}
		d.tell(list)
		good = true
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
	if err := resp.ReadLimitBody(in, mostList); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode())
	}
	return protocol.ParseList(resp.Body())
}
