package chaos

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

var (
	measure = flag.Bool("measure", false, "run the measurements")
	rounds  = flag.Int("rounds", 1, "number of plays of a test whose verdict must be the same each time")
)

func TestMain(m *testing.M) {
	// The chaos test starts a misbehaving router as a program of its own. A file beside that program
	// names the misbehavior.
	if how, err := os.ReadFile(os.Args[0] + ".how"); err == nil {
		misbehave(string(how))
	}
	flag.Parse()
	if order, ok := os.LookupEnv(playEnvironment); ok {
		go func() {
			if err := playOrdered(order); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			os.Exit(0)
		}()
		runOnFirstThread()
	}
	// Plays spend most of their time waiting. Running 1.5 plays per core at once keeps these tests
	// under two minutes in CI.
	if f := flag.Lookup("test.parallel"); f.Value.String() == f.DefValue {
		flag.Set(f.Name, strconv.Itoa(runtime.GOMAXPROCS(0)*3/2))
	}
	plays, err := inMemory()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	go func() {
		code := m.Run()
		if plays != "" {
			os.RemoveAll(plays)
		}
		os.Exit(code)
	}()
	runOnFirstThread()
}

// runOnFirstThread runs the functions sent to onFirstThread, and never returns. It must be called on
// the program's first thread.
func runOnFirstThread() {
	for f := range onFirstThread {
		f()
	}
}

// inMemory puts all temporary folders into a new folder in memory and returns its path. It returns
// "" if the machine has no room there. On a disk that other programs keep busy, a write by a router
// or by the test may wait for seconds, and the checkers judge plays by their times.
func inMemory() (string, error) {
	const memory, room = "/dev/shm", 1 << 30
	var fs unix.Statfs_t
	if err := unix.Statfs(memory, &fs); err != nil || fs.Type != unix.TMPFS_MAGIC || fs.Flags&unix.ST_NOEXEC != 0 || fs.Bavail*uint64(fs.Bsize) < room {
		return "", nil
	}
	dir, err := os.MkdirTemp(memory, "rig-test-")
	if err != nil {
		return "", nil
	}
	return dir, os.Setenv("TMPDIR", dir)
}

// onFirstThread receives the functions to run on the program's first thread.
var onFirstThread = make(chan func())

func init() { runtime.LockOSThread() } // keeps the goroutine of main and TestMain on the first thread

var (
	buildOnce sync.Once
	built     string
	buildErr  error
)

// routerBinary builds the real router once for all tests, and returns the path of its binary.
func routerBinary(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		var dir string
		if dir, buildErr = os.MkdirTemp("", "rig-test-"); buildErr != nil {
			return
		}
		built = filepath.Join(dir, "reachspread")
		out, err := exec.Command("go", "build", "-o", built, "reachspread/cmd/reachspread").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("%w: %s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return built
}

const fleetFormat = `seeds = 1
length = "%s"
routers = %d
group "a" {
  hosts = 2
  zone  = "east"
}
group "b" {
  hosts = 2
  zone  = "west"
}
class "chat" {
  aim        = "1s"
  deadline   = "4s"
  rate       = 30
  turns      = 3
  think      = "500ms"
  out_median = 10
}
rig {
  settle = "2s"
%s
}
`

func parse(t testing.TB, length string, routers int, rig, faults string) *experiment.Experiment {
	t.Helper()
	x, err := experiment.Parse(fmt.Appendf(nil, fleetFormat+faults, length, routers, rig), "x.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// playOnce runs one play in a process of its own. It fails the test if the play can't be run, or if
// a process of the play still runs afterwards.
func playOnce(t *testing.T, o Options, edits ...settingsEdit) *Result {
	t.Helper()
	o.Folder = filepath.Join(t.TempDir(), "play")
	r, err := playInProcess(t.Context(), o, edits...)
	if err != nil {
		t.Fatal(err)
	}
	checkNoProcesses(t, r.Events)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(stallsAndNotes(r.Events))
		}
	})
	return r
}

// stallsAndNotes describes how often the machine stalled a play's process, the longest stall, and the
// notes that the play recorded.
func stallsAndNotes(events []history.Event) string {
	var notes strings.Builder
	stalls, longest := 0, time.Duration(0)
	for i := range events {
		switch e := &events[i]; {
		case e.What == history.Fault && e.N > firstStallNumber:
			length, _ := time.ParseDuration(e.ID)
			stalls, longest = stalls+1, max(longest, length)
		case e.What == history.Note:
			fmt.Fprintf(&notes, "\n%s", e.String())
		}
	}
	return fmt.Sprintf("the play's process had %d stalls, the longest of %v%s", stalls, longest, notes.String())
}

// checkNoProcesses checks that every router process of a history has exited.
func checkNoProcesses(t *testing.T, events []history.Event) {
	t.Helper()
	for _, e := range events {
		if e.What == history.Start && alive(e.PID) {
			t.Errorf("process %d of %s still runs after the play", e.PID, e.Who)
		}
	}
}

// alive reports whether a process exists and is not a zombie.
func alive(pid int) bool {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	return !strings.HasPrefix(rest, "Z")
}

// Six routers go through overlapping faults: a kill, a freeze, cut links, a partition, a reload,
// replacements, packet loss and a zone without power. No checker finds a violation, the fleet serves
// again, and every process has exited at the end.
func TestFleetThroughFaults(t *testing.T) {
	t.Parallel()
	x := parse(t, "9s", 6, "held = true\nscrape = \"500ms\"", `
fault "kill" {
  at = "1s"
  length = "1s"
  routers = [1]
  disk = "empty"
}
fault "pause" {
  at = "1500ms"
  length = "1200ms"
  routers = [2]
}
fault "cut" {
  at = "1s"
  length = "1500ms"
  routers = [3]
  links = ["peers", "hosts"]
  direction = "out"
}
fault "partition" {
  at = "2s"
  length = "1s"
  groups = "zones"
  links = ["peers", "hosts"]
  bridge = [0]
}
fault "replace" {
  at = "2500ms"
  length = "500ms"
  routers = [0, 4]
}
fault "reload" {
  length = "300ms"
  routers = [5]
  when {
    what = "phase"
    who = "r1/2"
    text = "serving"
    after = "100ms"
  }
}
fault "loss" {
  at = "500ms"
  length = "4s"
  share = 0.3
  routers = "all"
}
fault "power" {
  at = "3500ms"
  length = "1s"
  zone = "east"
}
`)
	for round := range *rounds {
		r := playOnce(t, Options{Experiment: x, Seed: uint64(round + 1), Program: routerBinary(t)})
		for _, v := range r.Verdicts {
			t.Errorf("round %d: %s", round, v.String())
		}
		var kinds []string
		for _, e := range r.faults() {
			kinds = append(kinds, e.Text)
		}
		slices.Sort(kinds)
		if got := strings.Join(kinds, " "); got != "cut kill loss partition pause power reload replace" {
			t.Errorf("the injected faults were: %s", got)
		}
		serving := map[string]int{}
		for _, e := range r.Events {
			if e.What == history.Phase && e.Text == "serving" {
				serving[strings.SplitN(e.Who, "/", 2)[0]]++
			}
		}
		// The power failure restarts the three routers of one zone, the kill restarts one router, and
		// the replacements start one more process of two routers.
		for who, want := range map[string]int{"r0": 3, "r1": 2, "r2": 2, "r3": 1, "r4": 3, "r5": 1} {
			if serving[who] != want {
				t.Errorf("%s served %d times, want %d", who, serving[who], want)
			}
		}
		var page bytes.Buffer
		if err := WritePage(&page, r.Events, r.Verdicts); err != nil || strings.Count(page.String(), "<rect") < 50 {
			t.Errorf("the page has too few bars or an error: %v, %d bytes", err, page.Len())
		}
	}
}

// A restarted process finds the durable folder that the fault left: another router's, truncated
// files, or an empty folder. After a no_write fault the folder has its files again.
func TestDisks(t *testing.T) {
	t.Parallel()
	x := parse(t, "2500ms", 3, "", "")
	seen := map[string]string{}
	var mu sync.Mutex
	var folder string
	o := Options{Experiment: x, Seed: 1, Program: routerBinary(t), Drawn: true, Faults: []faults.Fault{
		{Kind: faults.Kill, At: time.Second, Length: 200 * time.Millisecond, Routers: faults.Selection{Numbers: []int{0}}, Disk: faults.DiskOther},
		{Kind: faults.Kill, At: time.Second, Length: 1400 * time.Millisecond, Routers: faults.Selection{Numbers: []int{1}}, Disk: faults.DiskTruncated, RemainingFraction: 0.5, File: "*.x"},
		{Kind: faults.Kill, At: time.Second, Length: 600 * time.Millisecond, Routers: faults.Selection{Numbers: []int{2}}, Disk: faults.DiskEmpty},
		{Kind: faults.NoWrite, At: 500 * time.Millisecond, Length: 300 * time.Millisecond, Routers: faults.Selection{Numbers: []int{2}}},
		{Kind: faults.FullDisk, At: 500 * time.Millisecond, Length: 300 * time.Millisecond, Routers: faults.Selection{Numbers: []int{1}}}}}
	folder = filepath.Join(t.TempDir(), "play")
	o.Folder = folder
	o.Observe = func(e *history.Event) {
		mu.Lock()
		defer mu.Unlock()
		n := strings.TrimPrefix(strings.SplitN(e.Who, "/", 2)[0], "r")
		disk := filepath.Join(folder, "r"+n, "disk")
		switch {
		case e.What == history.Start && !strings.Contains(e.Who, "/"):
			os.WriteFile(filepath.Join(disk, "a.x"), []byte("of router "+n), 0o644)
			os.WriteFile(filepath.Join(disk, "b"), []byte("whole"), 0o644)
		case e.What == history.Start:
			a, _ := os.ReadFile(filepath.Join(disk, "a.x"))
			b, _ := os.ReadFile(filepath.Join(disk, "b"))
			seen["r"+n] = string(a) + "|" + string(b)
		case e.What == history.Fault && e.Text == "no_write":
			seen["at the fault"] = e.ID
		case e.What == history.Heal && e.Text == "no_write":
			b, err := os.ReadFile(filepath.Join(folder, "r2", "disk", "b"))
			seen["after no_write"] = fmt.Sprint(string(b), err)
		}
	}
	r, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Verdicts {
		t.Error(v.String())
	}
	for who, want := range map[string]string{"r0": "of router 1|whole", "r1": "of ro|whole", "r2": "|", "at the fault": "r2", "after no_write": "whole<nil>"} {
		if seen[who] != want {
			t.Errorf("%s: %q, want %q", who, seen[who], want)
		}
	}
}

// misbehave runs as a router with a planted fault, which how names. It never returns.
func misbehave(how string) {
	config, _ := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	field := func(name string) string {
		_, rest, _ := strings.Cut(string(config), `"`+name+`":"`)
		value, _, _ := strings.Cut(rest, `"`)
		return value
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	if how == "never starts" {
		fmt.Fprintln(os.Stderr, "no")
		os.Exit(1)
	}
	ln, err := net.Listen("tcp", field("listen"))
	if err != nil {
		os.Exit(1)
	}
	management, err := net.Listen("tcp", os.Getenv("ROUTER_MANAGEMENT"))
	if err != nil {
		os.Exit(1)
	}
	answers := make(chan bool)
	go func() {
		for {
			c, err := management.Accept()
			if err != nil {
				return
			}
			if how == "hangs" {
				continue
			}
			bufio.NewReader(c).ReadString('\n') // closing the connection with the command unread would reset it and lose the answer
			io.WriteString(c, "+OK\n")
			c.Close()
		}
	}()
	fmt.Fprintln(os.Stderr, "INF phase name=serving")
	var asked sync.Once
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/ready" {
			return
		}
		io.Copy(io.Discard, r.Body)
		asked.Do(func() { close(answers) })
		switch how {
		case "answers nobody":
			time.Sleep(time.Hour)
		case "answers late":
			time.Sleep(5500 * time.Millisecond)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	if how == "ends by itself" || how == "panics" {
		<-answers
		if how == "panics" {
			panic("planted")
		}
		os.Exit(3)
	}
	if how == "wide datagrams" {
		to, _ := net.ResolveUDPAddr("udp4", strings.Split(strings.SplitN(string(config), `"peers":["`, 2)[1], `"`)[2])
		from, _ := net.ResolveUDPAddr("udp4", field("peer_listen"))
		if c, err := net.ListenUDP("udp4", from); err == nil {
			c.WriteToUDP(make([]byte, 300), to)
		}
	}
	if how == "ends at SIGHUP" {
		hup := make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP)
		go func() {
			<-hup
			os.Exit(4)
		}()
	}
	<-term
	switch how {
	case "ends with a fault":
		os.Exit(7)
	case "ignores SIGTERM":
		time.Sleep(time.Hour)
	}
	os.Exit(0)
}

// The checker that is meant for a planted fault finds each program that has one.
func TestPlantedPrograms(t *testing.T) {
	t.Parallel()
	var all sync.WaitGroup
	for how, want := range map[string]string{
		"well": "", "ends by itself": "crash: r0", "panics": "crash: r0", "never starts": "router r0 ended before it was ready", "hangs": "hang: r0",
		"answers nobody": "answer: r0", "answers late": "answer: r0", "wide datagrams": "limits: r0",
		"ends with a fault": "leave: r0", "ignores SIGTERM": "leave: r0",
	} {
		bad := badProgram(t, how)
		all.Go(func() {
			length := "1s"
			if how == "hangs" {
				length = "5s"
			}
			x := parse(t, length, 2, "slack = \"500ms\"", "")
			ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
			defer cancel()
			r, err := playInProcess(ctx, Options{Experiment: x, Seed: 1, Program: bad, Folder: filepath.Join(filepath.Dir(bad), "play")})
			if err != nil {
				if want == "" || !strings.Contains(err.Error(), want) {
					t.Errorf("%s: %v", how, err)
				}
				return
			}
			checkNoProcesses(t, r.Events)
			found := false
			for _, v := range r.Verdicts {
				found = found || strings.HasPrefix(v.String(), want) && want != ""
			}
			if want == "" && len(r.Verdicts) > 0 || want != "" && !found {
				t.Errorf("%s: found %v, want %q; %s", how, r.Verdicts, want, stallsAndNotes(r.Events))
			}
		})
	}
	all.Wait()
}

// A schedule under which a planted program fails is shrunk to the one fault that causes the failure,
// and to one router. The result equals the schedule stored in testdata, and fails again each time.
func TestShrunkOnProcesses(t *testing.T) {
	t.Parallel()
	bad := badProgram(t, "ends at SIGHUP")
	kept := filepath.Join("testdata", "ends-at-sighup.hcl")
	x, err := experiment.Read(kept)
	if err != nil {
		t.Fatal(err)
	}
	want := faults.Text(x.Faults)
	x = parse(t, "1s", 3, "", `
fault "loss" {
  at = "100ms"
  length = "300ms"
  share = 0.3
  routers = "all"
}
fault "reload" {
  at = "300ms"
  length = "100ms"
  routers = [0]
}
fault "flip" {
  at = "200ms"
  length = "300ms"
  share = 0.1
  routers = "all"
}
fault "refuse" {
  at = "500ms"
  length = "200ms"
  hosts = [1]
}
`)
	s := Series{Experiment: x, Program: bad, Shrink: 30}
	var got *Played
	if err := s.Run(t.Context(), func(p *Played) { got = p }); err != nil || got.Err != nil {
		t.Fatal(err, got.Err)
	}
	if got.Small == nil || got.Small.Routers != 1 || faults.Text(got.Small.Faults) != want || got.Again != got.Tries {
		t.Errorf("shrunk to %+v, fails in %d of %d; want %s", got.Small, got.Again, got.Tries, want)
	}
	if got.Result.Folder != "" {
		os.RemoveAll(got.Result.Folder)
	}
}

// badProgram returns the path of a copy of this test's binary that runs as a misbehaving router.
func badProgram(t *testing.T, how string) string {
	t.Helper()
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "bad")
	if err := os.Link(own, bad); err != nil {
		text, err := os.ReadFile(own)
		if err == nil {
			err = os.WriteFile(bad, text, 0o755)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(bad+".how", []byte(how), 0o644); err != nil {
		t.Fatal(err)
	}
	return bad
}

// Invalid input returns an error that names what is wrong, before anything is started.
func TestRefused(t *testing.T) {
	for want, o := range map[string]Options{
		"x.hcl:24: replace needs held = true":           {Experiment: parse(t, "1s", 2, "", "fault \"replace\" {\n at=\"0s\"\n length=\"1s\"\n routers=[0]\n}")},
		"x.hcl:24: restart needs held = false":          {Experiment: parse(t, "1s", 2, "held = true", "fault \"restart\" {\n at=\"0s\"\n length=\"1s\"\n routers=[0]\n}")},
		"x.hcl:24: routers has 2; there are 2":          {Experiment: parse(t, "1s", 2, "", "fault \"kill\" {\n at=\"0s\"\n length=\"1s\"\n routers=[2]\n}")},
		"routers is 101; the rig has addresses for 100": {Experiment: parse(t, "1s", 101, "", "")},
		"the router's program: stat /nowhere":           {Experiment: parse(t, "1s", 2, "", ""), Program: "/nowhere"},
	} {
		if o.Program == "" {
			o.Program = os.Args[0]
		}
		dir := filepath.Join(t.TempDir(), "play")
		o.Folder = dir
		if _, err := Run(t.Context(), o); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
		if _, err := os.Stat(dir); err == nil {
			t.Errorf("%s: the play's folder was created", want)
		}
	}
	if err := enoughDescriptors(100, 1000); err == nil || !strings.Contains(err.Error(), "100 routers and 1000 hosts may need") {
		t.Errorf("descriptors: %v", err)
	}
}

// An interrupted play ends its processes. If the test process is killed, the kernel ends the
// processes that it started.
func TestNothingLeft(t *testing.T) {
	t.Parallel()
	x := parse(t, "30s", 3, "", "")
	ctx, interrupt := context.WithCancel(t.Context())
	pids := make(chan int, 100)
	served := make(chan bool, 100)
	over := make(chan error, 1)
	go func() {
		_, err := Run(ctx, Options{Experiment: x, Seed: 1, Program: routerBinary(t), Folder: filepath.Join(t.TempDir(), "play"), Observe: func(e *history.Event) {
			switch e.What {
			case history.Start:
				pids <- e.PID
			case history.Answer:
				select {
				case served <- true:
				default:
				}
			}
		}})
		over <- err
	}()
	<-served
	interrupt()
	if err := <-over; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	close(pids)
	n := 0
	for pid := range pids {
		n++
		if alive(pid) {
			t.Errorf("process %d still runs after the interrupted play", pid)
		}
	}
	if n != 3 {
		t.Errorf("%d processes were started, want 3", n)
	}

	// The kernel kills the processes that a thread has started once the thread has ended, as it does
	// when its process is killed. The program's first thread ends only with the program. A goroutine
	// may run on that thread, so no process may be started from it.
	first := starter{make(chan func())}
	done := make(chan bool)
	onFirstThread <- func() {
		defer close(done)
		first.serve()
	}
	first.todo <- func() {
		if unix.Gettid() == unix.Getpid() {
			t.Error("processes would be started from the first thread")
		}
	}
	first.close()
	<-done
	s := newStarter()
	cmd := exec.Command(routerBinary(t), "serve")
	cmd.Env = []string{"ROUTER_CONFIG=/dev/stdin"} // the router waits for its configuration
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	if err := s.start(cmd); err != nil {
		t.Fatal(err)
	}
	s.close()
	err = cmd.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
		t.Errorf("the router's process ended with %v, want SIGKILL", err)
	}
}
