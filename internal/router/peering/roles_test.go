package peering

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"reachspread/coord/members"
	"reachspread/internal/durable"
	"reachspread/internal/router/lease"
	"reachspread/internal/testbed/scripted"
)

var measure = flag.Bool("measure", false, "run the measurements")

// cluster runs the Roles of several routers in one process, with real sockets and disks. The test
// sets the membership.
type cluster struct {
	t          *testing.T
	routers    []*testRouter
	candidates int
	roles      []lease.Role
	lease      time.Duration

	mu    sync.Mutex
	spans []span
	sent  atomic.Uint64
}

// span is a period in which a router ran the work of the role.
type span struct {
	who      int
	token    uint64
	from, to time.Time
}

type testRouter struct {
	n      int
	addr   netip.AddrPort
	listen string
	folder string
	boot   uint32
	roles  *Roles
	stop   context.CancelFunc
	conn   *net.UDPConn
	lines  scripted.LogLines
}

// clusters counts the clusters of this test process, to give each its own loopback address. A
// cluster closes its ports and opens them again when its routers start. On a shared address the
// kernel could assign such a port to another socket in between.
var clusters atomic.Uint32

func newCluster(t *testing.T, routers, candidates int, leaseTime time.Duration) *cluster {
	t.Helper()
	s := &cluster{t: t, candidates: candidates, lease: leaseTime, roles: []lease.Role{{Name: "work"}}}
	ip := net.IPv4(127, 79, 0, byte(clusters.Add(1)))
	for i := range routers {
		p := &testRouter{n: i, folder: filepath.Join(t.TempDir(), "disk"), lines: make(scripted.LogLines, 10_000)}
		ln, err := net.Listen("tcp4", net.JoinHostPort(ip.String(), "0"))
		if err != nil {
			t.Fatal(err)
		}
		p.listen = ln.Addr().String()
		ln.Close()
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip})
		if err != nil {
			t.Fatal(err)
		}
		p.addr = c.LocalAddr().(*net.UDPAddr).AddrPort()
		c.Close()
		s.routers = append(s.routers, p)
	}
	t.Cleanup(func() {
		for _, p := range s.routers {
			s.kill(p)
		}
	})
	return s
}

// updateViews gives all live routers a view that contains exactly the live routers.
func (s *cluster) updateViews() {
	v := &members.View{}
	for _, p := range s.routers {
		if p.roles != nil {
			v.Members = append(v.Members, members.Member{Name: fmt.Sprint("r", p.n), Addr: p.addr})
		}
	}
	for _, p := range s.routers {
		if p.roles != nil {
			p.roles.UpdateView(v)
		}
	}
}

func (s *cluster) start(p *testRouter, acquire bool) {
	s.t.Helper()
	p.boot++
	c := RolesConfig{Self: lease.Router{Name: fmt.Sprint("r", p.n), Boot: uint32(p.n)<<16 | p.boot, Zone: string(rune('a' + p.n%2))}, Timing: lease.DefaultTiming, Roles: s.roles, Voters: 3,
		ReplaceTimeout: 2 * time.Second, CandidateAddresses: map[string]string{}, Seed: uint64(p.n) + 1}
	c.Timing.Duration = s.lease
	for _, x := range s.routers[:s.candidates] {
		c.Candidates = append(c.Candidates, fmt.Sprint("r", x.n))
		c.CandidateAddresses[fmt.Sprint("r", x.n)] = x.listen
	}
	if p.n < s.candidates {
		c.Listen, c.Folder = p.listen, p.folder
	}
	var err error
	if p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.addr)); err != nil {
		s.t.Fatal(err)
	}
	conn := p.conn
	if p.roles, err = NewRoles(c, func(to netip.AddrPort, data []byte) {
		s.sent.Add(1)
		conn.WriteToUDPAddrPort(data, to)
	}, p.lines); err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	d := p.roles
	d.SetWorkContext(ctx)
	go func() {
		var buf [300]byte
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf[:])
			if err != nil {
				return
			}
			d.HandleDatagram(from, buf[:n])
		}
	}()
	s.updateViews()
	go d.Run(ctx)
	if acquire {
		d.Acquire("work", s.work(p))
	}
}

// work returns a Work that records a span for each run, from its start until its context ends.
func (s *cluster) work(p *testRouter) Work {
	return func(ctx context.Context, token uint64) error {
		from := time.Now()
		s.mu.Lock()
		at := len(s.spans)
		s.spans = append(s.spans, span{who: p.n, token: token, from: from})
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		s.spans[at].to = time.Now()
		s.mu.Unlock()
		return nil
	}
}

// transfer requests, through one router, that the role be transferred to router to.
func (s *cluster) transfer(at *testRouter, to int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), scripted.EventTimeout)
	defer cancel()
	if err := at.roles.RequestTransfer(ctx, "work", fmt.Sprint("r", to), 0); err != nil {
		s.t.Error(err)
	}
}

// awaitOpenSpans waits until exactly n spans are open and accept returns true for them. It returns
// them in the order of their tokens.
func (s *cluster) awaitOpenSpans(n int, accept func([]span) bool) []span {
	s.t.Helper()
	for end := time.Now().Add(4 * scripted.EventTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		all := slices.DeleteFunc(slices.Clone(s.spans), func(x span) bool { return !x.to.IsZero() })
		s.mu.Unlock()
		if slices.SortFunc(all, func(a, b span) int { return int(a.token - b.token) }); len(all) == n && accept(all) {
			return all
		}
	}
	s.t.Fatal("the role is not held by the expected routers")
	return nil
}

// A transfer request with a token affects only the holder with that token; the other holder keeps
// its work. The voters also accept a role that is defined while all routers run.
func TestTransferByToken(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 4, 3, 2*time.Second)
	s.roles = []lease.Role{{Name: "work", MaxHolders: 2}}
	for _, p := range s.routers {
		s.start(p, true)
	}
	held := s.awaitOpenSpans(2, func([]span) bool { return true })
	to := 0
	for to == held[0].who || to == held[1].who {
		to++
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*scripted.EventTimeout)
	defer cancel()
	if err := s.routers[0].roles.RequestTransfer(ctx, "work", fmt.Sprint("r", to), held[1].token); err != nil {
		t.Fatal(err)
	}
	s.awaitOpenSpans(2, func(now []span) bool { return now[0] == held[0] && now[1].who == to })
	if err := s.routers[0].roles.RequestTransfer(ctx, "work", fmt.Sprint("r", to), 1); err == nil || !strings.Contains(err.Error(), "nobody holds it") {
		t.Errorf("transfer request with a token that no router holds: %v", err)
	}

	last := s.routers[3].roles
	if err := last.RequestTransfer(ctx, "later", "r0", 0); err == nil || !strings.Contains(err.Error(), "no such duty") {
		t.Errorf("transfer request for a role that is not defined yet: %v", err)
	}
	started := make(chan uint64, 8)
	last.Acquire("later", func(ctx context.Context, token uint64) error {
		started <- token
		<-ctx.Done()
		return nil
	})
	for _, p := range s.routers {
		if err := p.roles.Define(append(slices.Clone(s.roles), lease.Role{Name: "later"})); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case token := <-started:
		if token <= held[1].token {
			t.Errorf("the new role got token %d, want more than %d", token, held[1].token)
		}
	case <-ctx.Done():
		t.Error("no work was started for the role that was defined later")
	}
	if err := last.Define([]lease.Role{{Name: "a b"}}); err == nil {
		t.Error("Define accepted a role whose name contains a space")
	}
}

// kill stops a router abruptly: its socket is closed before its work ends.
func (s *cluster) kill(p *testRouter) {
	if p.roles == nil {
		return
	}
	p.conn.Close() // first, so that the router can't release its roles
	p.stop()
	d := p.roles
	p.roles = nil
	d.running.Wait()
	if d.isCandidate {
		for end := time.Now().Add(scripted.EventTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if f, err := durable.Lock(p.folder, storeLockName); err == nil { // the voter has ended and released its store
				f.Close()
				break
			}
		}
	}
}

// awaitHolder waits until exactly one live router other than except runs the work of the role. It
// returns that router's number and its span. An except of -1 excludes no router.
func (s *cluster) awaitHolder(except int) (int, span) {
	s.t.Helper()
	for end := time.Now().Add(4 * scripted.EventTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		n, at := 0, span{}
		for _, x := range s.spans {
			if x.to.IsZero() && s.routers[x.who].roles != nil && x.who != except {
				n, at = n+1, x
			}
		}
		s.mu.Unlock()
		if n == 1 {
			return at.who, at
		}
	}
	for _, p := range s.routers {
		if p.roles != nil {
			if st := p.roles.VoterStatus(); st != nil {
				s.t.Logf("r%d: %+v", p.n, st.Roles)
			}
			s.t.Logf("r%d: %+v", p.n, p.roles.LocalRoles())
		}
	}
	s.t.Fatal("no router, or more than one, has the role")
	return 0, span{}
}

// awaitLeader waits until at least two voters name the same live router as their leader, and
// returns its number.
func (s *cluster) awaitLeader() int {
	s.t.Helper()
	for end := time.Now().Add(4 * scripted.EventTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		votes := map[string]int{}
		for _, p := range s.routers[:s.candidates] {
			if p.roles == nil {
				continue
			}
			if st := p.roles.VoterStatus(); st != nil && st.Leader != "" {
				votes[st.Leader]++
			}
		}
		for name, n := range votes {
			var i int
			if fmt.Sscanf(name, "r%d", &i); n >= 2 && s.routers[i].roles != nil {
				return i
			}
		}
	}
	s.t.Fatal("the voters have not agreed on a leader in time")
	return -1
}

// checkOrder checks that the spans of live routers did not overlap and that their tokens increased.
func (s *cluster) checkOrder() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(s.spans)
	slices.SortFunc(all, func(a, b span) int { return a.from.Compare(b.from) })
	for i := 1; i < len(all); i++ {
		if all[i].token <= all[i-1].token {
			s.t.Errorf("a span with token %d follows one with token %d", all[i].token, all[i-1].token)
		}
		if to := all[i-1].to; !to.IsZero() && to.After(all[i].from) && s.routers[all[i-1].who].roles != nil {
			s.t.Errorf("r%d worked until %v after r%d had started", all[i-1].who, to.Sub(all[i].from), all[i].who)
		}
	}
}

// A role, on sockets and disks, is transferred on request and taken over when its holder dies. Its
// holder keeps it when the leader of the voters dies. The voters' tables survive a restart of all
// routers.
func TestRolesOnSockets(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 5, 4, 2*time.Second)
	for _, p := range s.routers {
		s.start(p, true)
	}
	first, _ := s.awaitHolder(-1)
	to := (first + 2) % 5
	s.transfer(s.routers[(first+1)%5], to)
	if got, _ := s.awaitHolder(first); got != to {
		t.Errorf("r%d holds the role, want r%d", got, to)
	}
	s.kill(s.routers[to])
	s.updateViews()
	next, at := s.awaitHolder(to)
	s.start(s.routers[to], true)
	if lead := s.awaitLeader(); lead != next {
		s.kill(s.routers[lead])
		s.updateViews()
		s.awaitLeader()
		time.Sleep(s.lease) // if the holder had not renewed its lease, its work would have ended by now
		if now, same := s.awaitHolder(-1); now != next || same.token != at.token {
			t.Errorf("r%d lost the role when the leader died", next)
		}
		s.start(s.routers[lead], true)
	}
	_, before := s.awaitHolder(-1)
	for _, p := range s.routers {
		s.kill(p)
	}
	for _, p := range s.routers {
		s.start(p, true)
	}
	if _, after := s.awaitHolder(-1); after.token <= before.token {
		t.Errorf("after a restart of all routers token %d follows %d, want a larger one", after.token, before.token)
	}
	s.checkOrder()
}

// After a majority of the disks is lost, the voters have no leader, and a log line says so. Rebuild
// founds a new group only if no majority of the voters may still have their disks.
func TestRebuildAfterALostMajority(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 4, 3, 500*time.Millisecond)
	for _, p := range s.routers {
		s.start(p, p.n == 3)
	}
	_, before := s.awaitHolder(-1)
	s.awaitLeader()
	rebuild := func(n int, lost ...string) error {
		ctx, cancel := context.WithTimeout(context.Background(), scripted.EventTimeout) // Rebuild waits until its context ends
		defer cancel()
		return s.routers[n].roles.Rebuild(ctx, lost)
	}
	if err := rebuild(0); err == nil || !strings.Contains(err.Error(), "leader") {
		t.Errorf("Rebuild while the voters have a leader: %v", err)
	}
	for _, p := range s.routers[:2] {
		s.kill(p)
		os.RemoveAll(p.folder)
	}
	s.updateViews()
	for line := ""; !strings.HasPrefix(line, "voters without leader"); line = scripted.Receive(t, s.routers[2].lines, "the log line that the voters have no leader") {
	}
	// Rebuild may first be refused for another reason: a dead voter may have named a leader a moment
	// ago.
	for end := time.Now().Add(scripted.EventTimeout); ; time.Sleep(20 * time.Millisecond) {
		err := rebuild(2)
		if err != nil && strings.Contains(err.Error(), "may live") {
			break
		}
		if err == nil || time.Now().After(end) {
			t.Fatalf("Rebuild while two voters may still have their disks: %v", err)
		}
	}
	s.start(s.routers[0], false) // with an empty disk, which the other voters detect
	var err error
	for end := time.Now().Add(scripted.EventTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = rebuild(2, "r1"); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	s.start(s.routers[1], false)
	for end := time.Now().Add(4 * scripted.EventTimeout); ; time.Sleep(10 * time.Millisecond) {
		if s.mu.Lock(); len(s.spans) > 1 && s.spans[len(s.spans)-1].token > before.token {
			s.mu.Unlock()
			break
		}
		s.mu.Unlock()
		if time.Now().After(end) {
			t.Fatal("no router got the role from the new group")
		}
	}
	s.checkOrder()
}

// The memory and the store of a voter stay within bounds during many changes: 300, or 10,000 with
// -measure.
func TestVoterStaysInBounds(t *testing.T) {
	n := 300
	if *measure {
		n = 10_000
	} else {
		t.Parallel()
	}
	s := newCluster(t, 3, 3, 2*time.Second)
	s.roles = nil
	for i := range 16 {
		s.roles = append(s.roles, lease.Role{Name: fmt.Sprint("work-", i)})
	}
	for _, p := range s.routers {
		s.start(p, false)
	}
	for _, p := range s.routers {
		go func() { // drain the bounded channel of log lines, which this test does not read
			for range p.lines {
			}
		}()
	}
	s.awaitLeader()
	d, begun := s.routers[0].roles, time.Now()
	for i := range n {
		name := fmt.Sprint("work-", i%16) // 16 roles in turn, because a released role is not acquired again at once
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if err := d.AcquireAndWait(ctx, name); err != nil {
			t.Fatalf("change %d: %v", i, err)
		}
		cancel()
		d.Release(name)
	}
	took := time.Since(begun)
	lead := s.routers[s.awaitLeader()]
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	info, err := os.Stat(filepath.Join(lead.folder, storeFileName))
	if err != nil {
		t.Fatal(err)
	}
	st := lead.roles.VoterStatus()
	t.Logf("%d times acquired and released in %v: three voters in one process use %d kB, the leader's file has %d kB, %d entries in its log, %d snapshots", n,
		took.Round(time.Millisecond), m.HeapAlloc>>10, info.Size()>>10, st.LogEntries, st.Counters.Snapshots)
	if st.LogEntries > 2500 || info.Size() > 4<<20 || m.HeapAlloc > 32<<20 {
		t.Error("the log has more than 2500 entries, the file more than 4 MiB, or the heap more than 32 MiB")
	}
}

// Measures how long the role has no holder, on sockets and disks: 200 times after a requested
// transfer, and 200 times after its holder was killed.
func TestTimesWithoutHolder(t *testing.T) {
	if !*measure {
		t.Skip("this measurement runs only with -measure")
	}
	var planned, killed []time.Duration
	var mu sync.Mutex
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			s := newCluster(t, 5, 3, 2*time.Second)
			for _, p := range s.routers {
				s.start(p, p.n >= 3) // candidates do not request the role, so that killing its holder never kills a voter
			}
			s.awaitHolder(-1)
			for range 50 {
				who, _ := s.awaitHolder(-1)
				to := 7 - who
				s.awaitQueued(to) // a transfer to a router that has not requested the role would wait for its request
				s.transfer(s.routers[0], to)
				_, at := s.awaitHolder(who)
				gap := s.gap(who, at)
				mu.Lock()
				planned = append(planned, gap)
				mu.Unlock()
			}
			for i := range 50 {
				if os.Getenv("DUTY_PLANNED") != "" {
					break
				}
				who, _ := s.awaitHolder(-1)
				time.Sleep(time.Duration(37*i%1000) * time.Millisecond)
				died := time.Now()
				s.kill(s.routers[who])
				s.updateViews()
				_, at := s.awaitHolder(who)
				mu.Lock()
				killed = append(killed, at.from.Sub(died))
				mu.Unlock()
				s.start(s.routers[who], true)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	all.Wait()
	for name, x := range map[string][]time.Duration{"transferred on request": planned, "holder killed": killed} {
		if len(x) == 0 {
			continue
		}
		slices.Sort(x)
		at := func(p float64) time.Duration {
			return x[min(int(p*float64(len(x))), len(x)-1)].Round(100 * time.Microsecond)
		}
		t.Logf("%s, %d times, time without a holder: p50 %v, p90 %v, p99 %v, maximum %v", name, len(x), at(0.5), at(0.9), at(0.99), at(1))
	}
}

// awaitQueued waits until router n is in the role's queue.
func (s *cluster) awaitQueued(n int) {
	s.t.Helper()
	for end := time.Now().Add(4 * scripted.EventTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if roles := s.routers[n].roles.LocalRoles(); len(roles) > 0 && roles[0].Queued {
			return
		}
	}
	s.t.Fatalf("r%d is not queued for the role", n)
}

// gap returns the time between the end of router who's last span and the start of the span next.
func (s *cluster) gap(who int, next span) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var end time.Time
	for _, x := range s.spans {
		if x.who == who && x.to.After(end) && !x.from.After(next.from) {
			end = x.to
		}
	}
	return next.from.Sub(end)
}
