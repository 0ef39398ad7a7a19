package chaos

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"reachspread/internal/router/program"
	"reachspread/internal/testbed/checker"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/simulator"
)

// loadBalancer distributes client requests over the routers. It polls each router's /-/ready, so it
// notices only after some time that a router has died.
type loadBalancer struct {
	p      *play
	client *http.Client

	mu    sync.Mutex
	ready []bool
}

const (
	readyPollInterval = 100 * time.Millisecond
	// readyPollTimeout is how long the load balancer waits for an answer to a poll before it treats
	// the router as not ready.
	readyPollTimeout = 2 * time.Second
)

func newLoadBalancer(p *play) *loadBalancer {
	return &loadBalancer{p: p, ready: make([]bool, p.spec.Routers),
		client: &http.Client{Timeout: readyPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// watch polls all routers until ctx ends, and records in the history when one becomes ready or
// stops being ready.
func (f *loadBalancer) watch(ctx context.Context) {
	var all sync.WaitGroup
	for i, r := range f.p.routers {
		all.Go(func() {
			for ticker := time.NewTicker(readyPollInterval); ; {
				ready := f.ask(ctx, i)
				if ctx.Err() != nil {
					ticker.Stop()
					return
				}
				f.mu.Lock()
				changed := f.ready[i] != ready
				f.ready[i] = ready
				f.mu.Unlock()
				if changed {
					what := history.Unready
					if ready {
						what = history.Ready
					}
					f.p.recorder.add(history.Event{What: what, Who: r.name()})
				}
				select {
				case <-ticker.C:
				case <-ctx.Done():
				}
			}
		})
	}
	all.Wait()
}

func (f *loadBalancer) ask(ctx context.Context, i int) bool {
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+f.p.layout.client(i)+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns the address of a ready router for a request, chosen by a hash of the request's ID. It
// returns "" if no router is ready.
func (f *loadBalancer) pick(p *simulator.Planned) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var up []int
	for i, ok := range f.ready {
		if ok {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return ""
	}
	n := uint64(1469598103934665603)
	for _, b := range []byte(p.ID) {
		n = (n ^ uint64(b)) * 1099511628211
	}
	return f.p.layout.client(up[n%uint64(len(up))])
}

// watch polls the processes of all routers: it records the resources that they use, and detects
// processes that do not answer.
type watch struct {
	p *play
}

func newWatch(p *play) *watch { return &watch{p} }

const (
	watchInterval = 500 * time.Millisecond
	// callTimeout is how long an operator's call waits for its answer. A process counts as hung after
	// maxUnansweredCalls calls without an answer in a row.
	callTimeout        = time.Second
	maxUnansweredCalls = 2
)

func (w *watch) run(ctx context.Context) {
	var all sync.WaitGroup
	for _, r := range w.p.routers {
		all.Go(func() { w.router(ctx, r) })
	}
	all.Wait()
}

func (w *watch) router(ctx context.Context, r *router) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	unanswered := map[*process]*unansweredCalls{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.mu.Lock()
		procs := slices.Clone(r.procs)
		r.mu.Unlock()
		for _, x := range procs {
			w.usage(x)
			if x.twin || x.terminated.Load() { // a terminating process closes its address, and the checker "leave" judges how long it takes
				continue
			}
			if unanswered[x] == nil {
				unanswered[x] = &unansweredCalls{}
			}
			if err := w.check(ctx, x, unanswered[x]); err != nil {
				w.p.dumpUnresponsive(x, err)
			}
		}
	}
}

// unansweredCalls counts the calls in a row that a process has not answered. It also has the stalls
// and the withheld processor time from before the first of these calls.
type unansweredCalls struct {
	count    int
	stalls   int           // stalls of the test process so far
	withheld time.Duration // how long the process had waited for a processor so far
}

// check calls a process's management address. It returns an error when maxUnansweredCalls calls in a
// row have failed although, since the first of them, no fault stopped the process and the machine
// gave processors to it and to the test.
func (w *watch) check(ctx context.Context, x *process, u *unansweredCalls) error {
	if u.count == 0 {
		u.stalls, u.withheld = w.p.stalls.count(), withheldFrom(x.pid())
	}
	_, err := x.call(ctx, "check", callTimeout)
	if x.hasEnded() {
		return nil
	}
	stalls, withheld := w.p.stalls.count()-u.stalls, withheldFrom(x.pid())-u.withheld
	stalled := stalls > 0 || withheld > minStall
	if err != nil && ctx.Err() == nil && stalled {
		w.p.recorder.add(history.Event{What: history.Note, Who: x.name, Text: fmt.Sprintf("no answer to check, not counted: %d stalls of the rig, %v withheld from the process", stalls, withheld)})
	}
	if err == nil || ctx.Err() != nil || stalled || !x.r.canRun() || !x.hasLoggedPhase() {
		u.count = 0
		return nil
	}
	if u.count++; u.count != maxUnansweredCalls {
		return nil
	}
	return err
}

func (x *process) hasEnded() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}

func (x *process) hasLoggedPhase() bool {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	return x.loggedPhase
}

// usage records in the history the resources that a process uses.
func (w *watch) usage(x *process) {
	u, err := usageOf(x.pid())
	if err != nil {
		return // the process has exited
	}
	u.What, u.Who = history.Usage, x.name
	w.p.recorder.add(u)
}

// usageOf reads a process's peak memory, its number of descriptors, its CPU time, and how long its
// threads have waited for a processor.
func usageOf(pid int) (e history.Event, err error) {
	dir := "/proc/" + strconv.Itoa(pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return e, err
	}
	if _, peak, ok := strings.Cut(string(status), "VmHWM:"); ok {
		var kb int64
		fmt.Sscan(peak, &kb)
		e.Memory = kb << 10
	}
	fds, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return e, err
	}
	e.Descriptors = len(fds)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return e, err
	}
	e.CPU = cpuOf(string(stat)).Nanoseconds()
	e.Withheld = withheldFrom(pid).Nanoseconds()
	return e, nil
}

// withheldFrom returns how long the threads of a process, in total, have been ready to run but had
// no processor. It returns 0 if the system does not report this time.
func withheldFrom(pid int) (total time.Duration) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited int64 // nanoseconds
		if _, err := fmt.Sscan(string(text), &ran, &waited); err == nil {
			total += time.Duration(waited)
		}
	}
	return total
}

// cpuOf returns the sum of user and system time from a line of /proc/PID/stat, which has both in
// hundredths of a second.
func cpuOf(stat string) (cpu time.Duration) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	for _, i := range []int{11, 12} {
		if i < len(fields) {
			n, _ := strconv.Atoi(fields[i])
			cpu += time.Duration(n) * 10 * time.Millisecond
		}
	}
	return cpu
}

// foundUnresponsive reports whether any process was found unresponsive.
func (p *play) foundUnresponsive() bool {
	return slices.ContainsFunc(p.recorder.events(), func(e history.Event) bool { return e.What == history.Unresponsive })
}

// dumpUnresponsive writes the evidence on a process that does not answer, before the process can be
// restarted: the state of its threads, twice; a CPU profile, if the process can still write one; and
// the stacks of all its goroutines. SIGQUIT, which prints the stacks, also ends the process.
func (p *play) dumpUnresponsive(x *process, why error) {
	path := filepath.Join(x.r.folder, "caught")
	f, err := os.Create(path)
	if err != nil {
		return
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	defer w.Flush()
	p.recorder.add(history.Event{What: history.Unresponsive, Who: x.name, Text: fmt.Sprintf("answers nobody: %v; see %s", why, path)})
	fmt.Fprintf(w, "%s: %v\n", x.name, why)
	for range 2 {
		threads(w, x.pid())
		time.Sleep(200 * time.Millisecond) // between the two readings of CPU time
	}
	x.r.mu.Lock()
	x.logFileOnly = true // its goroutine stacks go only to its log file
	x.r.mu.Unlock()
	if p.options.Profile {
		x.cmd.Process.Signal(syscall.SIGUSR1)
		select {
		case <-x.done:
		case <-time.After(2 * time.Second): // recording a profile takes one second
		}
	}
	x.cmd.Process.Signal(syscall.SIGQUIT)
}

// threads writes the state and CPU time of each thread of a process.
func threads(w *bufio.Writer, pid int) {
	dir := fmt.Sprintf("/proc/%d/task", pid)
	tasks, err := os.ReadDir(dir)
	if err != nil {
		fmt.Fprintln(w, err)
		return
	}
	for _, t := range tasks {
		fmt.Fprintf(w, "thread %s:", t.Name())
		for _, name := range []string{"stat", "wchan", "syscall"} {
			text, _ := os.ReadFile(filepath.Join(dir, t.Name(), name))
			if name == "stat" {
				fmt.Fprintf(w, " cpu %v,", cpuOf(string(text)))
			}
			fmt.Fprintf(w, " %s %s", name, strings.TrimSpace(string(text)))
		}
		fmt.Fprintln(w)
	}
}

// viewPollInterval is the time between two requests for a router's view of the fleet.
const viewPollInterval = 250 * time.Millisecond

// viewsWithin returns how long after the last fault all views must be identical. The design note of
// the view derives the value. It returns 0 if routers maintain no view.
func (p *play) viewsWithin() time.Duration {
	if !p.hasViews {
		return 0
	}
	return 8*time.Second + time.Duration(p.spec.Routers)*30*time.Millisecond
}

// watchViews polls the routers' views until ctx ends, and records each change in the history.
func (p *play) watchViews(ctx context.Context) {
	var all sync.WaitGroup
	for _, r := range p.routers {
		all.Go(func() {
			ticker := time.NewTicker(viewPollInterval)
			defer ticker.Stop()
			last := ""
			for {
				select {
				case <-ticker.C:
				case <-ctx.Done():
					return
				}
				x := r.newest()
				if x == nil {
					continue
				}
				answer, err := x.call(ctx, "view", callTimeout)
				if err != nil || ctx.Err() != nil {
					continue
				}
				e, ok := viewOf(r.name(), answer)
				if !ok || x != r.newest() {
					continue
				}
				if key := fmt.Sprint(x.name, e.Text, e.N, e.Incarnation); key != last {
					last = key
					p.recorder.add(e)
				}
			}
		})
	}
	all.Wait()
}

// viewOf parses the answer to the call "view". It returns false if the answer is malformed or the
// version of the view is 0, as in a process that has not joined yet.
func viewOf(who, answer string) (e history.Event, ok bool) {
	lines, err := program.ParseLines(answer, "view")
	if err != nil {
		return e, false
	}
	e = history.Event{What: history.View, Who: who}
	for _, l := range lines {
		if l.What == "view" {
			e.Text = l.Fields["digest"]
			e.N, _ = strconv.Atoi(l.Fields["version"])
			continue
		}
		name := l.Fields["name"]
		if name == who {
			inc, _ := strconv.ParseUint(l.Fields["incarnation"], 10, 32)
			e.Incarnation = uint32(inc)
		}
		if n := checker.NumberOf(name); n >= 0 {
			e.Routers = append(e.Routers, n)
		}
	}
	return e, e.N > 0
}

// scrape reads the metrics of every router's newest process once per interval, as the platform does.
func (p *play) scrape(ctx context.Context, every time.Duration) {
	for ticker := time.NewTicker(every); ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			ticker.Stop()
			return
		}
		for _, r := range p.routers {
			if x := r.newest(); x != nil {
				x.call(ctx, "vars", callTimeout)
			}
		}
	}
}
