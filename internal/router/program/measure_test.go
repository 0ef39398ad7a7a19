package program

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"reachspread/internal/testbed/scripted"
)

// Flags of the measurements. They run the program as a process of its own, on one core, against
// simulated hosts in the test process. They do not run in CI; docs/measurements/ has the commands and
// the results.
var (
	measure   = flag.Bool("measure", false, "run the measurements")
	seconds   = flag.Int("seconds", 10, "duration of each run of a measurement, in seconds")
	rounds    = flag.Int("rounds", 3, "rounds of runs of a measurement")
	rate      = flag.Float64("rate", 60, "requests per second")
	hostCount = flag.Int("hosts", 4, "simulated hosts of TestMeasureBinaries")
	binaries  = flag.String("binaries", "", "comma-separated programs to compare without settings")
	keep      = flag.String("keep", "", "folder in which the records of the measurement are stored")
)

// process is a router process that a test or measurement has started.
type process struct {
	t          *testing.T
	cmd        *exec.Cmd
	addr       string
	management string // the management address
	log        chan string
}

// sockets is the descriptor limit in the configuration of the next router.
var sockets = 1024

// connectTimeout is the timeout of router processes for connecting to a simulated host. The hosts
// always listen and each prompt is sent to a host at most once, so a connection should never time
// out, even on a loaded machine. With 50 ms, prompts to a single host were occasionally refused only
// because of the load.
const connectTimeout = 10 * time.Second

func buildRouter(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "reachspread")
	if out, err := exec.Command("go", "build", "-o", path, "reachspread/cmd/reachspread").CombinedOutput(); err != nil {
		t.Fatalf("building the router: %v: %s", err, out)
	}
	return path
}

// ownAddress returns a loopback address that no other test process uses. While a port there is
// closed for a restart, no other test process can take it.
func ownAddress() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+id>>16&0x3f, id>>8&0xff, id&0xff)
}

func startRouter(t *testing.T, binary string, live []*scripted.Model, args ...string) *process {
	t.Helper()
	ln, err := net.Listen("tcp", ownAddress()+":0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return startRouterAt(t, ln.Addr().String(), binary, live, args...)
}

func startRouterAt(t *testing.T, addr, binary string, live []*scripted.Model, args ...string) *process {
	t.Helper()
	var entries []string
	for i, h := range live {
		entries = append(entries, scripted.ListEntry(fmt.Sprint("s", i), h.Addr, "Ready"))
	}
	p := launchRouter(t, addr, binary, entries, args...)
	p.awaitLog("serving")
	return p
}

// launchRouter starts a router whose discovery lists the entries, and does not wait until it serves.
func launchRouter(t *testing.T, addr, binary string, entries []string, args ...string) *process {
	t.Helper()
	d := scripted.NewDiscovery(t, scripted.List(1, true, entries...))
	env := configFile(t, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets),
		`"connectTimeoutNs":50000000`, fmt.Sprintf(`"connectTimeoutNs":%d`, connectTimeout.Nanoseconds()))
	management, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, addr: addr, management: management.Addr().String(), log: make(chan string, 1000)}
	management.Close()
	p.cmd = exec.Command(binary, append([]string{"serve"}, args...)...)
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+env("ROUTER_CONFIG"), "ROUTER_LISTEN="+p.addr, "ROUTER_DISCOVERY="+d.Addr, "ROUTER_MANAGEMENT="+p.management)
	errs, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		for lines := bufio.NewScanner(errs); lines.Scan(); {
			p.log <- lines.Text()
		}
		close(p.log)
	}()
	t.Cleanup(func() { p.cmd.Process.Kill(); p.cmd.Wait() })
	return p
}

// awaitLog waits for a log line that contains words.
func (p *process) awaitLog(words string) {
	p.t.Helper()
	for {
		line := scripted.Receive(p.t, p.log, words)
		if line == "" {
			p.t.Fatalf("the router ended before it logged %q", words)
		}
		if strings.Contains(line, words) {
			return
		}
	}
}

// resourceUse returns the CPU time and the peak memory that the process has used so far.
func (p *process) resourceUse() (cpu time.Duration, peakKB int) {
	p.t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	for _, field := range fields[11:13] { // user and system time, in hundredths of a second
		n, _ := strconv.Atoi(field)
		cpu += time.Duration(n) * 10 * time.Millisecond
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	if _, err := fmt.Sscanf(string(status[strings.Index(string(status), "VmHWM:"):]), "VmHWM: %d kB", &peakKB); err != nil {
		p.t.Fatal(err)
	}
	return cpu, peakKB
}

// residentMemory returns how much of the resident memory is anonymous, and how much is pages of
// files.
func (p *process) residentMemory() string {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	var found []string
	for line := range strings.Lines(string(status)) {
		if strings.HasPrefix(line, "RssAnon") || strings.HasPrefix(line, "RssFile") {
			found = append(found, strings.Join(strings.Fields(line), " "))
		}
	}
	return strings.Join(found, ", ")
}

// openLoopLoad sends requests in an open loop with Poisson arrivals. It returns a histogram of the
// times from when each request was due to its first event, in microseconds, and the number of
// requests that were not answered completely with status 200.
func openLoopLoad(t *testing.T, client *http.Client, addr, name string, forSeconds int, perSecond float64) (first *hdrhistogram.Histogram, failed int) {
	t.Helper()
	first = hdrhistogram.New(1, 60e6, 3)
	rng := rand.New(rand.NewPCG(1, uint64(len(name))))
	var mu sync.Mutex
	var all sync.WaitGroup
	start := time.Now()
	for i, at := 0, 0.0; at < float64(forSeconds); i, at = i+1, at+rng.ExpFloat64()/perSecond {
		due := start.Add(time.Duration(at * float64(time.Second)))
		time.Sleep(time.Until(due))
		all.Go(func() {
			r := scripted.NewRequest(t, addr, fmt.Sprint(name, i), map[string]string{"X-Session-Key": fmt.Sprint(name, i/3)})
			body := strings.Repeat("order ", 300) + fmt.Sprint(i)
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
			resp, err := client.Do(r)
			took := time.Since(due)
			ok := err == nil && resp.StatusCode == 200
			if err == nil {
				var one [1]byte
				if _, e := resp.Body.Read(one[:]); e != nil {
					ok = false
				}
				took = time.Since(due)
				if _, e := io.Copy(io.Discard, resp.Body); e != nil {
					ok = false
				}
				resp.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
				return
			}
			first.RecordValue(min(took.Microseconds(), 60e6))
		})
	}
	all.Wait()
	return first, failed
}

func models(t *testing.T, n int, m scripted.ModelBehavior) (hosts []*scripted.Model) {
	for range n {
		hosts = append(hosts, scripted.NewModel(t, m))
	}
	return hosts
}

// TestMeasureShadow measures how shadow pools affect live clients. It compares first-event times with
// a share of 0 and with half of all conversations copied to a pool that is healthy, killed and
// revived, slow, or silent. All runs alternate in one router process.
func TestMeasureShadow(t *testing.T) {
	if !*measure {
		t.Skip("a measurement that needs -measure; see docs/measurements/")
	}
	behavior := scripted.ModelBehavior{FirstDelay: 10 * time.Millisecond, EventInterval: 3 * time.Millisecond, Events: 20}
	slow := scripted.ModelBehavior{FirstDelay: 200 * time.Millisecond, EventInterval: 60 * time.Millisecond, Events: 20}
	live, candidates := models(t, 4, behavior), models(t, 2, behavior)
	dir := t.TempDir()
	records := filepath.Join(dir, "records")
	if *keep != "" {
		records = *keep
	}
	path := filepath.Join(dir, "settings.hcl")
	share := func(s string) {
		write(t, path, fmt.Sprintf(`status { folder = %q }
shadow {
  records {
    folder = %q
  }
  pool "next" {
    share = %s
    copies_per_second = 100
    copies_out = 16
    copies_per_host = 8
    patience = "5s"
    longest = "20s"
    host "c0" { 
      addr = %q
    }
    host "c1" { 
      addr = %q
    }
  }
}
`, dir, records, s, candidates[0].Addr, candidates[1].Addr))
	}
	share("0")
	p := startRouter(t, buildRouter(t), live, "--settings", path)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	openLoopLoad(t, client, p.addr, "warm-up", 3, *rate)
	turn := func(name, s string, behavior scripted.ModelBehavior) *hdrhistogram.Histogram {
		share(s)
		for _, c := range candidates {
			c.Set(behavior)
		}
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.awaitLog("reloaded")
		stop := make(chan bool)
		var killer sync.WaitGroup
		if strings.HasPrefix(name, "killed") {
			killer.Go(func() {
				for {
					for _, c := range candidates {
						c.Kill()
					}
					select {
					case <-time.After(2 * time.Second):
					case <-stop:
					}
					for _, c := range candidates {
						c.Revive(t)
					}
					select {
					case <-time.After(2 * time.Second):
					case <-stop:
						return
					}
				}
			})
		}
		before, _ := p.resourceUse()
		h, failed := openLoopLoad(t, client, p.addr, name, *seconds, *rate)
		after, _ := p.resourceUse()
		close(stop)
		killer.Wait()
		t.Logf("%-22s %5d requests, %d failed, p50 %6.2f ms, p99 %6.2f ms, CPU %5.2f ms a request", name, h.TotalCount(), failed,
			float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64((after-before).Milliseconds())/float64(h.TotalCount()))
		return h
	}
	kinds := []string{"on", "killed and revived", "slow", "silent"}
	behaviors := map[string]scripted.ModelBehavior{"on": behavior, "killed and revived": behavior, "slow": slow, "silent": {Stalls: true}}
	sums := map[string]*hdrhistogram.Histogram{}
	sum := func(kind string, h *hdrhistogram.Histogram) {
		if sums[kind] == nil {
			sums[kind] = hdrhistogram.New(1, 60e6, 3)
		}
		sums[kind].Merge(h)
	}
	var offs []*hdrhistogram.Histogram
	for round := range *rounds {
		for _, kind := range kinds {
			h := turn(fmt.Sprintf("off %d", len(offs)), "0", behavior)
			offs = append(offs, h)
			sum("off", h)
			sum(kind, turn(fmt.Sprintf("%s %d", kind, round), "0.5", behaviors[kind]))
		}
	}
	out, err := exec.Command(p.cmd.Path, "shadow", "status", "--settings", path).CombinedOutput()
	t.Logf("%v\n%s", err, out)
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	var table strings.Builder
	fmt.Fprintf(&table, "\n| shadow | answers | p50 ms | p99 ms | p50 less off | p99 less off |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, kind := range append([]string{"off"}, kinds...) {
		h := sums[kind]
		fmt.Fprintf(&table, "| %s | %d | %.2f | %.2f | %+.2f | %+.2f |\n", kind, h.TotalCount(), at(h, 50), at(h, 99),
			at(h, 50)-at(sums["off"], 50), at(h, 99)-at(sums["off"], 99))
	}
	for _, q := range []float64{50, 99} {
		var each, steps []float64
		for i, h := range offs {
			each = append(each, at(h, q))
			if i > 0 {
				steps = append(steps, max(each[i]-each[i-1], each[i-1]-each[i]))
			}
		}
		slices.Sort(steps)
		fmt.Fprintf(&table, "\np%.0f of the %d runs with it off: from %.2f to %.2f ms; two that follow one another differ by %.2f in the median, by %.2f at most.\n",
			q, len(each), slices.Min(each), slices.Max(each), steps[len(steps)/2], steps[len(steps)-1])
	}
	t.Log(table.String())
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// TestMeasureBinaries compares the CPU time per request and the peak memory of programs that run
// without settings. The runs of the programs alternate.
func TestMeasureBinaries(t *testing.T) {
	if !*measure || *binaries == "" {
		t.Skip("a measurement; see docs/measurements/")
	}
	live := models(t, *hostCount, scripted.ModelBehavior{FirstDelay: 10 * time.Millisecond, EventInterval: 3 * time.Millisecond, Events: 20})
	for range *rounds {
		for _, binary := range strings.Split(*binaries, ",") {
			p := startRouter(t, binary, live)
			begun, idle := p.resourceUse()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
			h, failed := openLoopLoad(t, client, p.addr, "q", *seconds, *rate)
			cpu, peak := p.resourceUse()
			cpu -= begun
			t.Logf("%s: %d requests, %d failed, p50 %.2f ms, p99 %.2f ms, CPU %.3f ms a request, memory %d kB at the start and %d at most, %s", binary,
				h.TotalCount(), failed, float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
				float64(cpu.Microseconds())/1000/float64(h.TotalCount()), idle, peak, p.residentMemory())
			client.CloseIdleConnections()
			p.cmd.Process.Signal(syscall.SIGTERM)
			p.cmd.Wait()
		}
	}
}

// floods are the floods that TestMeasureAdmission runs: the number of misbehaving clients, their
// behavior and their addresses.
var floods = []struct {
	name     string
	clients  int
	behavior scripted.Misbehavior
	from     func(i int) string
}{
	{"no flood", 0, scripted.SendNothing, nil},
	{"500 silent, one address", 500, scripted.SendNothing, oneAddress},
	{"500 asking, one address", 500, scripted.SendRequests, oneAddress},
	{"500 asking, 500 addresses", 500, scripted.SendRequests, manyAddresses},
	{"2000 silent, 2000 addresses", 2000, scripted.SendNothing, manyAddresses},
	{"50 connect and close", 50, scripted.CloseAtOnce, manyAddresses},
	{"200 trickling", 200, scripted.TrickleRequest, manyAddresses},
}

func oneAddress(int) string      { return "127.0.0.2" }
func manyAddresses(i int) string { return fmt.Sprintf("127.1.%d.%d", i/250, 1+i%250) }

// TestMeasureAdmission measures how floods affect known clients. These open 40 connections per
// second and send one request on each. The router has 256 descriptors, and its hosts answer in
// 30 ms. The flag -door names a settings file, and -binaries other programs.
func TestMeasureAdmission(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; see docs/measurements/")
	}
	programs := []string{""}
	if *binaries != "" {
		programs = strings.Split(*binaries, ",")
	} else {
		programs[0] = buildRouter(t)
	}
	t.Logf("| %s | served | p50 ms | p99 ms | p99 ms without the router | refused | no answer | CPU ms a second | flood |", "flood")
	for _, binary := range programs {
		for i, fl := range floods {
			if !strings.Contains(fl.name, *floodName) {
				continue
			}
			live := models(t, 4, scripted.ModelBehavior{FirstDelay: 30 * time.Millisecond, Events: 2})
			var args []string
			if *admissionFile != "" {
				args = []string{"--settings", *admissionFile}
			}
			sockets = 256
			p := startRouter(t, binary, live, args...)
			sockets = 1024
			stop := func() string { return "-" }
			if fl.clients > 0 {
				stop = floodProcess(t, p.addr, i)
				time.Sleep(500 * time.Millisecond)
			}
			before, _ := p.resourceUse()
			// The flood also slows down the machine. Requests sent directly to a host, without the
			// router, show how much.
			var direct *hdrhistogram.Histogram
			var beside sync.WaitGroup
			beside.Go(func() { direct, _, _ = knownClientLoad(t, live[0].Addr, *seconds, 40) })
			h, refused, silent := knownClientLoad(t, p.addr, *seconds, 40)
			beside.Wait()
			after, _ := p.resourceUse()
			summary := stop()
			all := int(h.TotalCount()) + refused + silent
			t.Logf("| %s | %.2f of %d | %.1f | %.1f | %.1f | %d | %d | %.0f | %s |", fl.name, float64(h.TotalCount())/float64(all), all,
				float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
				float64(direct.ValueAtQuantile(99))/1000, refused, silent, float64((after-before).Milliseconds())/float64(*seconds), summary)
			p.cmd.Process.Signal(syscall.SIGTERM)
			p.cmd.Wait()
		}
	}
}

// floodProcess runs one of the floods in a separate process, because in this process it would slow
// down the known clients. The function stop ends the flood and returns its summary.
func floodProcess(t *testing.T, addr string, which int) (stop func() string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run", "^TestFloodProcess$", "-test.v")
	cmd.Env = append(os.Environ(), fmt.Sprintf("FLOOD=%s %d", addr, which), "GOMAXPROCS=2")
	end, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	cmd.Stdout = &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return func() string {
		end.Close()
		if err := cmd.Wait(); err != nil {
			t.Errorf("the flood: %v, %s", err, out.String())
		}
		_, summary, _ := strings.Cut(out.String(), "flood: ")
		summary, _, _ = strings.Cut(summary, "\n")
		return summary
	}
}

// TestFloodProcess runs a flood in the process that floodProcess starts.
func TestFloodProcess(t *testing.T) {
	words := strings.Fields(os.Getenv("FLOOD"))
	if len(words) != 2 {
		t.Skip("only TestMeasureAdmission runs this test, with the environment variable FLOOD")
	}
	which, err := strconv.Atoi(words[1])
	if err != nil {
		t.Fatal(err)
	}
	f := floods[which]
	flood := scripted.NewFlood(words[0], f.clients, f.behavior, f.from, time.Minute)
	io.Copy(io.Discard, os.Stdin) // blocks until floodProcess closes the pipe
	flood.Stop()
	fmt.Println("flood:", flood.Summary())
}

// TestMeasureRefusal compares the CPU time of the router for a refused and for a served request.
// Each request has a connection of its own, and the hosts answer at once with two events.
func TestMeasureRefusal(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; see docs/measurements/")
	}
	live := models(t, 4, scripted.ModelBehavior{Events: 2})
	p := startRouter(t, buildRouter(t), live, "--settings", *admissionFile)
	ask := func(times int, more string, want int) time.Duration {
		before, _ := p.resourceUse()
		var all sync.WaitGroup
		var odd atomic.Int64
		for worker := range 8 {
			all.Go(func() {
				for i := range times / 8 {
					if status := askFrom(p.addr, fmt.Sprint(want, "-", worker, "-", i), more); status != want {
						odd.Add(1)
					}
				}
			})
		}
		all.Wait()
		after, _ := p.resourceUse()
		if odd := odd.Load(); odd > int64(times/100) {
			t.Errorf("%d of %d requests were not answered with status %d", odd, times, want)
		}
		return (after - before) / time.Duration(times)
	}
	for range *rounds {
		served := ask(4000, "X-Client: tool-1\r\n", 200)
		refused := ask(80000, "", 429)
		t.Logf("CPU of a served request %.1f us, of a refusal %.1f us: one in %.0f", float64(served.Nanoseconds())/1000,
			float64(refused.Nanoseconds())/1000, float64(served)/float64(refused))
	}
}

// askFrom sends one request and returns the status, 0 without an answer. The string more contains
// additional header lines. If it is empty, the request comes from another address than that of known
// clients.
func askFrom(addr, id, more string) (status int) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(oneAddress(0))}, Timeout: 3 * time.Second, Control: scripted.DeferPortChoice}
	if more != "" {
		dialer = net.Dialer{Timeout: 3 * time.Second}
	}
	c, err := dialer.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, scripted.RequestText(id, more))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// knownClientLoad sends requests of a known client in an open loop, each on a connection of its own.
// It returns the first-event times in microseconds, and how many requests were refused and how many
// had no answer.
func knownClientLoad(t *testing.T, addr string, forSeconds int, perSecond float64) (first *hdrhistogram.Histogram, refused, silent int) {
	first = hdrhistogram.New(1, 60e6, 3)
	rng := rand.New(rand.NewPCG(2, 2))
	var mu sync.Mutex
	var all sync.WaitGroup
	start := time.Now()
	for i, at := 0, 0.0; at < float64(forSeconds); i, at = i+1, at+rng.ExpFloat64()/perSecond {
		due := start.Add(time.Duration(at * float64(time.Second)))
		time.Sleep(time.Until(due))
		all.Go(func() {
			status, took := askOnce(addr, fmt.Sprint("known", i), due)
			mu.Lock()
			defer mu.Unlock()
			switch status {
			case 200:
				first.RecordValue(min(took.Microseconds(), 60e6))
			case 0:
				silent++
			default:
				refused++
			}
		})
	}
	all.Wait()
	return first, refused, silent
}

// askOnce sends one request as a known client. It returns the status, 0 without an answer, and the
// time from due to the first event.
func askOnce(addr, id string, due time.Time) (status int, took time.Duration) {
	c, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		return 0, 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, scripted.RequestText(id, "X-Client: tool-1\r\n")); err != nil {
		return 0, 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return resp.StatusCode, 0
	}
	var one [1]byte
	if _, err := resp.Body.Read(one[:]); err != nil {
		return 0, 0
	}
	took = time.Since(due)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0
	}
	return 200, took
}

var floodName = flag.String("flood", "", "part of the names of the floods that TestMeasureAdmission runs")

var admissionFile = flag.String("door", "", "settings file of TestMeasureAdmission and TestMeasureRefusal")
