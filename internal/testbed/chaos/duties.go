package chaos

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/faultproxy"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

// eligibleVoters returns how many routers may become voters: the number of voters and one spare, if
// there are that many routers. It returns 0 for an experiment without voters.
func (p *play) eligibleVoters() int {
	if n := p.options.Experiment.Rig.Voters; n > 0 {
		return min(n+1, p.spec.Routers)
	}
	return 0
}

// copiesPerSecond is the limit of copied requests per second from the whole fleet to the candidate
// host.
const copiesPerSecond = 8

// dutyFields returns the blocks duties and shadow of router i's settings. They configure a scribe
// and a single copier for a pool of one candidate host. Each router connects to the voters of other
// routers through its own proxies.
func (p *play) dutyFields(i int) string {
	x := &p.options.Experiment.Rig
	var b strings.Builder
	fmt.Fprintf(&b, "duties {\n  voters = %d\n  lease = %q\n  replace_after = \"4s\"\n", x.Voters, x.Lease)
	if x.Drains > 0 {
		fmt.Fprintf(&b, "  drains = %d\n", x.Drains)
	}
	if i < p.eligibleVoters() {
		fmt.Fprintf(&b, "  listen = %q\n  folder = \"@DISK@\"\n  scribe = true\n", p.layout.voter(i))
	}
	for j := range p.eligibleVoters() {
		addr := p.layout.voterProxy(i, j)
		if i == j {
			addr = p.layout.voter(j)
		}
		fmt.Fprintf(&b, "  router %q {\n    address = %q\n  }\n", fmt.Sprint("r", j), addr)
	}
	fmt.Fprintf(&b, "}\nshadow {\n  # Plays beside each other make a router late, which is no pressure that is looked at here.\n  pressure {\n    late = \"250ms\"\n    held = 64\n    refusals = 1000\n  }\n  pool \"candidate\" {\n    share = 1\n    one_copier = true\n    copies_per_second = %d\n    copies_out = 32\n    copies_per_host = 32\n"+
		"    host \"c0\" {\n      addr = %q\n    }\n  }\n}\n", copiesPerSecond, p.layout.copies(i))
	return b.String()
}

// openDuties starts the proxies between routers and voters, and the candidate host, which receives
// copies. The candidate checks the fencing token of every request that a duty sends. Each such
// request is recorded in the history as an act, whether it is accepted or not.
func (p *play) openDuties() (err error) {
	for i := range p.eligibleVoters() {
		row := make([]*faultproxy.ConnProxy, p.eligibleVoters())
		p.voterProxies = append(p.voterProxies, row)
		for j := range row {
			if i == j {
				continue
			}
			if row[j], err = faultproxy.NewConnProxy(p.layout.voterProxy(i, j), p.layout.voter(j), p.options.Seed, uint64(i)<<20|0xe0000|uint64(j), nil); err != nil {
				return err
			}
		}
	}
	if p.candidate, err = fakes.NewHost("c0", p.layout.candidate(), p.spec.Groups[0].Host, p.options.Seed); err != nil {
		return err
	}
	for i := range p.spec.Routers {
		c, err := faultproxy.NewConnProxy(p.layout.copies(i), p.candidate.Addr, p.options.Seed, uint64(i)<<20|0xd0000, nil)
		if err != nil {
			return err
		}
		p.copyProxies = append(p.copyProxies, c)
	}
	var mu sync.Mutex
	var guard lease.TokenGuard
	p.candidate.CheckFencingTokens(func(name string, token uint64, conn string) (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		pass := guard.Accept(name, token)
		status := 200
		if !pass {
			status = 409
		}
		p.recorder.add(history.Event{What: history.Act, Who: "c0", From: p.layout.routerAt(conn), Text: name, Token: token, Status: status})
		return guard.Highest(name), pass
	})
	return nil
}

func (p *play) closeDuties(all *sync.WaitGroup) {
	for _, row := range append(p.voterProxies, p.copyProxies) {
		for _, c := range row {
			if c != nil {
				all.Go(c.Close)
			}
		}
	}
	if p.candidate != nil {
		p.candidate.Close()
	}
}

// eachDutyProxy calls do for each proxy to a voter or to the candidate host. near is the number of
// the router at its near end.
func (p *play) eachDutyProxy(do func(c *faultproxy.ConnProxy, near int, far faults.End)) {
	for i, row := range p.voterProxies {
		for j, c := range row {
			if c != nil {
				do(c, i, faults.End{Kind: faults.AtRouter, N: j})
			}
		}
	}
	for i, c := range p.copyProxies {
		do(c, i, faults.End{Kind: faults.AtHost, N: len(p.fleet.Hosts)})
	}
}

// copier is the name of the duty that copies requests to the pool in dutyFields.
const copier = "copier/candidate"

// handOver hands the copier duty to the next router in order, once per interval, until ctx ends.
func (p *play) handOver(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		call := fmt.Sprintf("duty-give %s r%d", copier, n%len(p.routers))
		if x := p.routers[n%len(p.routers)].newest(); x != nil {
			p.recorder.add(history.Event{What: history.Call, Who: x.name, ID: call})
			text, _ := x.call(ctx, call, callTimeout)
			p.recorder.add(history.Event{What: history.Return, Who: x.name, ID: call, Text: strings.TrimSpace(text)})
		}
	}
}
