package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"reachspread/internal/system/status"
)

const (
	operators        = 3
	operatorInterval = 30 * time.Millisecond // between two calls of one operator
	orderTimeout     = 20 * time.Second      // after this time, the outcome of an order counts as unknown
	callTimeout      = 1500 * time.Millisecond
	checkTimeout     = 30 * time.Second
	manyChanges      = 80
	versionStep      = 10 // each version has room for this many successors, so that each operator writes its own
)

// configurationCall is one call of an operator, in the form that the linearizability checker needs.
type configurationCall struct {
	write              bool
	base, next         int // of a write: the version that it builds on, and the version that it writes
	began, ended       time.Duration
	version            int // of a read: the version that was read
	accepted, rejected bool
	operator           int
}

// configurationModel is the sequential specification of the configuration register. Its state is the
// version in force.
var configurationModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, _ any) (bool, any) {
		version, c := state.(int), input.(*configurationCall)
		switch {
		case !c.write:
			return c.version == version, version
		case c.accepted:
			return c.base == version, c.next
		}
		return c.base != version, version
	},
}

// configurationHistory records the calls of all operators and their outcomes.
type configurationHistory struct {
	started time.Time
	mu      sync.Mutex
	calls   []*configurationCall
	acked   int // the newest version that was acknowledged
}

func (h *configurationHistory) add(c *configurationCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
	if c.accepted {
		h.acked = max(h.acked, c.next)
	}
}

// newest returns the newest version that was acknowledged.
func (h *configurationHistory) newest() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acked
}

// linearizable checks whether the history is linearizable for a single register. A write with an
// unknown outcome counts as accepted if some call read its version or builds on it; otherwise the
// check ignores the write.
func (h *configurationHistory) linearizable() porcupine.CheckResult {
	seen := map[int]bool{}
	for _, c := range h.calls {
		if c.write {
			seen[c.base] = true
		} else {
			seen[c.version] = true
		}
	}
	var all []porcupine.Operation
	for _, c := range h.calls {
		ended := int64(c.ended)
		if c.write && !c.accepted && !c.rejected {
			if !seen[c.next] {
				continue
			}
			c.accepted, ended = true, math.MaxInt64
		}
		all = append(all, porcupine.Operation{ClientId: c.operator, Input: c, Call: int64(c.began), Return: ended})
	}
	return porcupine.CheckOperationsTimeout(configurationModel, all, checkTimeout)
}

// operate acts as one operator until ctx ends: it repeatedly reads the configuration and then writes
// a configuration that builds on the version that it read.
func (f *processes) operate(ctx context.Context, h *configurationHistory, operator int) {
	rng := rand.New(rand.NewPCG(uint64(operator), 1))
	for {
		read := f.read(ctx, h, operator, rng)
		if read != nil {
			h.add(read)
			if write := f.write(ctx, h, operator, read.version, rng); write != nil {
				h.add(write)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(operatorInterval):
		}
	}
}

// read reads the version in force. It returns nil if the read fails.
func (f *processes) read(ctx context.Context, h *configurationHistory, operator int, rng *rand.Rand) *configurationCall {
	c := &configurationCall{operator: operator, began: time.Since(h.started)}
	code, text := f.callControl(ctx, rng.IntN(f.Len()), http.MethodGet, "", -1)
	c.ended = time.Since(h.started)
	if code != http.StatusOK {
		return nil
	}
	var in struct {
		Version int `json:"version"`
	}
	if json.Unmarshal(text, &in) != nil {
		return nil
	}
	c.version = in.Version
	return c
}

// write sends one order repeatedly until its outcome is known, or until orderTimeout has passed or ctx
// ends.
func (f *processes) write(ctx context.Context, h *configurationHistory, operator, base int, rng *rand.Rand) *configurationCall {
	next := (base/versionStep+1)*versionStep + operator
	body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","pathPrefix":"/","kind":"safe","timeoutMs":%d,"service":"s"}],"services":[{"name":"s"}]}`, next, 1000+next)
	c := &configurationCall{write: true, operator: operator, base: base, next: next, began: time.Since(h.started)}
	for until := time.Now().Add(orderTimeout); time.Now().Before(until) && ctx.Err() == nil; {
		code, _ := f.callControl(ctx, rng.IntN(f.Len()), http.MethodPut, body, base)
		switch code {
		case http.StatusOK:
			c.accepted = true
		case http.StatusPreconditionFailed:
			c.rejected = true
		default:
			continue
		}
		break
	}
	c.ended = time.Since(h.started)
	return c
}

// callControl makes one call to a router's control plane. The code is 0 if there is no complete
// answer.
func (f *processes) callControl(ctx context.Context, i int, method, body string, base int) (code int, text []byte) {
	within, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(within, method, "http://"+f.Control(i)+"/configuration", strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if base >= 0 {
		r.Header.Set("If-Match", strconv.Itoa(base))
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if text, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

// untilChainHealthy waits until a process that may act for the register reports exactly the given
// number of healthy and complete machines in the chain.
func (f *processes) untilChainHealthy(machines int) {
	f.t.Helper()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(scenarioTimeout); time.Now().Before(until); <-tick.C {
		for i := range f.Len() {
			if f.HasDisk(i) && f.healthyChainLength(i) == machines {
				return
			}
		}
	}
	f.t.Fatalf("the chain never had %d healthy machines; the register as its machines report it:\n%s", machines, f.registerStatus())
}

// registerStatus returns one line for each machine of the register, with the register's state as this
// machine reports it.
func (f *processes) registerStatus() string {
	var all strings.Builder
	for i := range f.Len() {
		if !f.HasDisk(i) {
			continue
		}
		text, err := json.Marshal(f.register(i))
		fmt.Fprintln(&all, i, string(text), err)
	}
	return all.String()
}

// register returns the register's state as a process reports it, or nil if the process does not
// answer.
func (f *processes) register(i int) *status.Register {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + f.Readiness(i) + status.Path)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	s, err := status.Read(resp.Body)
	if err != nil {
		return nil
	}
	return &s.Register
}

// healthyChainLength returns how many healthy and complete machines the chain has according to a
// process. It returns 0 if no majority has recently confirmed the process's epoch, because its report
// may then be stale.
func (f *processes) healthyChainLength(i int) (healthy int) {
	r := f.register(i)
	if r == nil || r.Replica == nil || r.Replica.ConfirmedAgeSeconds == nil {
		return 0
	}
	for _, m := range r.Machines {
		if m.ChainPosition > 0 && m.Healthy && m.Complete {
			healthy++
		}
	}
	return healthy
}

// The control plane stays linearizable on router processes with faults. One process at a time is
// killed, frozen, wiped, partitioned in one or both directions, or has a stalled or full disk. At the
// end, all processes are killed at once. Operators read and write meanwhile. Their history must be
// linearizable, and the final read must return no version older than the last acknowledged one.
func TestControlPlaneOnProcesses(t *testing.T) {
	f := startProcesses(t, 5, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := &configurationHistory{started: time.Now()}
	f.untilChainHealthy(3)
	first := &configurationCall{write: true, next: 1, ended: time.Since(h.started), accepted: true}
	f.putFirstConfiguration(ctx, first)
	h.add(first)
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() { f.operate(ctx, h, operator+1) })
	}
	for _, current := range f.faults() {
		before := h.newest()
		t.Logf("%v %s, version %d", time.Since(h.started).Round(time.Millisecond), current.name, before)
		current.begin()
		f.untilChainHealthy(current.healthyMachines)
		f.untilAcknowledged(h, h.newest()+current.minChanges*versionStep)
		current.end()
		f.untilChainHealthy(3)
		f.untilAcknowledged(h, before)
	}
	f.KillAll()
	f.must(f.StartAll())
	f.untilChainHealthy(3)
	f.untilAcknowledged(h, h.newest())
	cancel()
	group.Wait()
	f.checkHistory(h)
}

// fault is a temporary failure of one process.
type fault struct {
	name            string
	healthyMachines int // the number of healthy machines in the chain during the fault
	begin, end      func()
	minChanges      int // the versions advance by at least this many steps during the fault; 0 stands for one change
}

// faults returns faults of all kinds, on each machine of the register in turn and on the routers that
// are not part of the register.
func (f *processes) faults() []fault {
	return []fault{
		{"machine 0 is killed", 2, func() { f.Kill(0) }, func() { f.start(0) }, 0},
		{"machine 1 is frozen", 2, func() { f.Freeze(1) }, func() { f.Thaw(1) }, 0},
		{"machine 2 loses its disk", 2, func() { f.wipe(2) }, func() { f.start(2) }, 0},
		{"machine 0 is cut off", 2, func() { f.cutOff(0, true) }, f.heal, 0},
		{"machine 1 is cut off during many changes", 2, func() { f.cutOff(1, true) }, f.heal, manyChanges},
		{"all messages from machine 1 are lost", 2, func() { f.cutOff(1, false) }, f.heal, 0},
		{"machine 2 is cut off", 2, func() { f.cutOff(2, true) }, f.heal, 0},
		{"the disk of machine 0 stalls", 2, func() { f.fail(0, processFailures{stall: true}) }, f.heal, 0},
		{"the disk of machine 1 is full", 2, func() { f.fail(1, processFailures{full: true}) }, f.heal, 0},
		{"router 3 is cut off", 3, func() { f.cutOff(3, true) }, f.heal, 0},
		{"router 4 is killed", 3, func() { f.Kill(4) }, func() { f.start(4) }, 0},
	}
}

// putFirstConfiguration sends the first configuration until the control plane accepts it.
func (f *processes) putFirstConfiguration(ctx context.Context, first *configurationCall) {
	f.t.Helper()
	body := fmt.Sprintf(`{"version":%d,"services":[{"name":"s"}]}`, first.next)
	for until := time.Now().Add(scenarioTimeout); time.Now().Before(until); {
		if code, _ := f.callControl(ctx, 0, http.MethodPut, body, 0); code == http.StatusOK {
			return
		}
	}
	f.t.Fatal("the control plane never accepted the first configuration")
}

// untilAcknowledged waits until a version newer than after is acknowledged.
func (f *processes) untilAcknowledged(h *configurationHistory, after int) {
	f.t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(scenarioTimeout); time.Now().Before(until); <-tick.C {
		if h.newest() > after {
			return
		}
	}
	f.t.Fatalf("no version newer than %d was acknowledged", after)
}

// checkHistory reads the final version, and fails the test if the version is older than the newest
// acknowledged one, if the history is not linearizable, or if too few writes were accepted.
func (f *processes) checkHistory(h *configurationHistory) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	rng := rand.New(rand.NewPCG(0, 1))
	var last *configurationCall
	for last == nil && ctx.Err() == nil {
		last = f.read(ctx, h, 0, rng)
	}
	if last == nil {
		f.t.Fatal("the configuration can't be read at the end")
	}
	h.add(last)
	if last.version < h.newest() {
		f.t.Errorf("the final read returned version %d, but version %d was acknowledged", last.version, h.newest())
	}
	if result := h.linearizable(); result != porcupine.Ok {
		f.t.Errorf("the history of %d calls is not linearizable: %s", len(h.calls), result)
	}
	accepted, rejected, unknown := 0, 0, 0
	for _, c := range h.calls {
		switch {
		case c.accepted && c.ended > 0:
			accepted++
		case c.rejected:
			rejected++
		case c.write:
			unknown++
		}
	}
	f.t.Logf("%d calls: %d writes accepted, %d rejected, %d with an unknown outcome", len(h.calls), accepted, rejected, unknown)
	if accepted < len(f.faults()) {
		f.t.Error("too few writes were accepted for a verdict")
	}
}

// The checker detects histories that are not linearizable, and accepts linearizable ones.
func TestConfigurationChecker(t *testing.T) {
	write := func(base, next int, began, ended time.Duration, accepted bool) *configurationCall {
		return &configurationCall{write: true, base: base, next: next, began: began, ended: ended, accepted: accepted, rejected: !accepted}
	}
	read := func(version int, began, ended time.Duration) *configurationCall {
		return &configurationCall{version: version, began: began, ended: ended}
	}
	for _, c := range []struct {
		name  string
		calls []*configurationCall
		right bool
	}{
		{"sequential calls", []*configurationCall{write(0, 1, 1, 2, true), read(1, 3, 4), write(1, 10, 5, 6, true)}, true},
		{"a stale read", []*configurationCall{write(0, 1, 1, 2, true), read(0, 3, 4)}, false},
		{"two writes accepted on one version", []*configurationCall{write(0, 1, 1, 2, true), write(0, 2, 1, 2, true)}, false},
		{"write rejected although it builds on the version in force", []*configurationCall{write(0, 1, 1, 2, false)}, false},
		{"read of a version that was never written", []*configurationCall{write(0, 1, 1, 2, true), write(1, 10, 3, 4, true), read(1, 5, 6)}, false},
		{"write with an unknown outcome that a later read returns", []*configurationCall{{write: true, base: 0, next: 1, began: 1}, read(0, 2, 3), read(1, 4, 5)}, true},
		{"write with an unknown outcome that disappears after a read returned it", []*configurationCall{{write: true, base: 0, next: 1, began: 1}, read(1, 2, 3), read(0, 4, 5)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &configurationHistory{calls: c.calls}
			if got := h.linearizable() == porcupine.Ok; got != c.right {
				t.Errorf("linearizable reports %v for this history", got)
			}
		})
	}
}
