package program

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"reachspread/internal/testbed/processexit"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// supervisor starts processes of one router, as the platform does. It holds the clients' listener,
// and the folder and the configuration that the processes share.
type supervisor struct {
	t      *testing.T
	binary string
	ln     *os.File
	addr   string
	folder string
	config string
}

// routerProcess is one process of the router that a supervisor has started.
type routerProcess struct {
	t          *testing.T
	cmd        *exec.Cmd
	management string
	log        chan string
	ended      chan bool // closed after the kernel has ended the process, which may be before it is reaped
	status     int       // the exit status, -1 after a signal; set before ended is closed
}

func newSupervisor(t *testing.T, hosts ...*scripted.Model) *supervisor {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	p := &supervisor{t: t, binary: buildRouter(t), ln: f, addr: ln.Addr().String(), folder: t.TempDir()}
	ln.Close()
	t.Cleanup(func() { f.Close() })
	var entries []string
	for i, h := range hosts {
		entries = append(entries, scripted.ListEntry(fmt.Sprint("s", i), h.Addr, "Ready"))
	}
	d := scripted.NewDiscovery(t, scripted.List(1, true, entries...))
	p.config = configFile(t, "127.0.0.1:1", d.Addr)("ROUTER_CONFIG")
	return p
}

// start starts a process with the listener as descriptor 5, and does not wait until it is ready.
func (p *supervisor) start(env ...string) *routerProcess {
	p.t.Helper()
	management, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	o := &routerProcess{t: p.t, management: management.Addr().String(), log: make(chan string, 1000), ended: make(chan bool)}
	management.Close()
	o.cmd = exec.Command(p.binary, "serve")
	o.cmd.Env = append(append(os.Environ(), "ROUTER_CONFIG="+p.config, "ROUTER_LISTEN="+p.addr, "ROUTER_ACCEPT_FD=5",
		"ROUTER_MANAGEMENT="+o.management, "TMPDIR="+p.folder), env...)
	null, err := os.Open(os.DevNull)
	if err != nil {
		p.t.Fatal(err)
	}
	defer null.Close()
	o.cmd.ExtraFiles = []*os.File{null, null, p.ln}
	errs, err := o.cmd.StderrPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := o.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	reaped := make(chan bool)
	go o.recordExit()
	go func() {
		for lines := bufio.NewScanner(errs); lines.Scan(); {
			o.log <- lines.Text()
		}
		close(o.log)
		<-o.ended
		o.cmd.Wait()
		close(reaped)
	}()
	p.t.Cleanup(func() { o.cmd.Process.Kill(); <-reaped })
	return o
}

// recordExit records the end of the process. It does not rely on reaping, which is late on a busy
// machine.
func (o *routerProcess) recordExit() {
	status, _, err := processexit.Await(o.cmd.Process.Pid)
	if err != nil {
		o.t.Error(err)
	}
	o.status = status
	close(o.ended)
}

// awaitReady waits until the process reports at its management address that it is ready.
func (o *routerProcess) awaitReady() *routerProcess {
	o.t.Helper()
	for end := time.Now().Add(scripted.EventTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", o.management)
		if err != nil {
			continue
		}
		io.WriteString(c, "check\n")
		text, _ := io.ReadAll(c)
		c.Close()
		if strings.HasPrefix(string(text), "+OK") {
			return o
		}
	}
	o.t.Fatal("the process did not report ready in time")
	return nil
}

// terminateCleanly sends SIGTERM and expects the process to exit with status 0.
func (o *routerProcess) terminateCleanly() {
	o.t.Helper()
	o.cmd.Process.Signal(syscall.SIGTERM)
	o.awaitExit(true)
}

// awaitExit waits until the process ends. If well is true, it expects status 0, otherwise another
// status.
func (o *routerProcess) awaitExit(well bool) {
	o.t.Helper()
	select {
	case <-o.ended:
	case <-time.After(scripted.EventTimeout):
		o.t.Fatalf("the process has not exited after %v; the states of its threads are %s", scripted.EventTimeout, threadStates(o.cmd.Process.Pid))
	}
	if (o.status == 0) != well {
		o.t.Errorf("the process ended with unexpected status %d", o.status)
	}
}

// startClients starts clients that send one request after another on keep-alive connections until
// stop is called. The function stop returns the number of requests and descriptions of those that
// were not served.
func startClients(addr string, clients int) (stop func() (asked int, wrong []string)) {
	var mu sync.Mutex
	var all sync.WaitGroup
	asked, wrong, end := 0, []string(nil), make(chan bool)
	for i := range clients {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: scripted.EventTimeout}
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
				}
				r, _ := http.NewRequest("POST", "http://"+addr+"/v1/chat/completions", strings.NewReader("{}"))
				for name, value := range map[string]string{"X-Correlation-Id": fmt.Sprintf("c%d-%d", i, n), "X-Service-Class": "chat", "X-Time-Left": "8000m"} {
					r.Header.Set(name, value)
				}
				resp, err := client.Do(r)
				text := []byte(nil)
				if err == nil {
					text, err = io.ReadAll(resp.Body)
					resp.Body.Close()
				}
				mu.Lock()
				asked++
				if err != nil || resp.StatusCode != 200 || !strings.Contains(string(text), "[DONE]") {
					wrong = append(wrong, fmt.Sprintf("c%d-%d: %v %s", i, n, err, text))
				}
				mu.Unlock()
			}
		})
	}
	return func() (int, []string) {
		close(end)
		all.Wait()
		return asked, wrong
	}
}

// Processes replace each other under load. Two replacements end before they are ready, two others
// follow directly on each other, and the shared folder has a truncated file from an earlier process.
// Every request is served, none has two attempts at the same time, and each process that is
// terminated exits with status 0.
func TestProcessIsReplaced(t *testing.T) {
	hosts := []*scripted.Model{scripted.NewModel(t, scripted.ModelBehavior{Events: 3, EventInterval: 5 * time.Millisecond}), scripted.NewModel(t, scripted.ModelBehavior{Events: 3, EventInterval: 5 * time.Millisecond})}
	p := newSupervisor(t, hosts...)
	write(t, filepath.Join(p.folder, "reachspread.beside"), "cut off leftov")
	first := p.start().awaitReady()
	stop := startClients(p.addr, 8)
	p.start("ROUTER_DISCOVERY=nowhere").awaitExit(false)
	dying := p.start()
	dying.cmd.Process.Kill()
	dying.awaitExit(false)
	second := p.start().awaitReady()
	first.terminateCleanly()
	third := p.start().awaitReady()
	fourth := p.start().awaitReady()
	second.terminateCleanly()
	third.terminateCleanly()
	time.Sleep(50 * time.Millisecond) // load on the last process
	asked, wrong := stop()
	if len(wrong) > 0 || asked < 50 {
		t.Errorf("%d requests sent, want at least 50; not served: %s", asked, strings.Join(wrong, "\n"))
	}
	for _, h := range hosts {
		if counts := h.Counts(); counts.Duplicated != nil {
			t.Errorf("requests with two attempts at once: %v", counts.Duplicated)
		}
	}
	fourth.terminateCleanly()
}

// If ROUTER_ACCEPT_FD does not name a listening socket, the process logs one line and exits.
func TestNoListenerInherited(t *testing.T) {
	p := newSupervisor(t)
	for fd, want := range map[string]string{"3": "ROUTER_ACCEPT_FD: descriptor 3 is not a listening socket", "77": "ROUTER_ACCEPT_FD: descriptor 77 is not a listening socket", "five": `ROUTER_ACCEPT_FD is "five"`} {
		o := p.start("ROUTER_ACCEPT_FD=" + fd)
		if line := scripted.Receive(t, o.log, "a line"); !strings.Contains(line, want) {
			t.Errorf("ROUTER_ACCEPT_FD=%s: got the log line %q, want %q", fd, line, want)
		}
		o.awaitExit(false)
	}
}

// Open streams move to the process that takes over, and move again at a second replacement. The old
// process exits before the streams end. The new process serves the clients' next requests without new
// connections to the server. A stream that no other process can take over ends in its own process.
func TestStreamsMove(t *testing.T) {
	hold := make(chan bool)
	// The server sends an event at each stage, because the router gives up a server that is silent
	// for longer than 4.5 s, and on a busy machine the whole test takes longer than that.
	var stages []chan bool
	var waits []<-chan bool
	for range 4 {
		c := make(chan bool)
		stages, waits = append(stages, c), append(waits, c)
	}
	nextStage := func() {
		close(stages[0])
		stages = stages[1:]
	}
	host := scripted.NewModel(t, scripted.ModelBehavior{Events: 5, Stages: waits})
	p := newSupervisor(t, host)
	first := p.start().awaitReady()
	client := &http.Client{Transport: &http.Transport{}, Timeout: scripted.EventTimeout}
	open := func(id string) *http.Response {
		t.Helper()
		resp, err := client.Do(scripted.NewRequest(t, p.addr, id, nil))
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	var streams []*http.Response
	for i := range 5 {
		streams = append(streams, open(fmt.Sprint("q", i)))
	}
	second := p.start().awaitReady()
	nextStage()
	first.terminateCleanly()
	nextStage()
	third := p.start().awaitReady()
	nextStage()
	second.terminateCleanly()
	nextStage()
	want := scripted.NewModel(t, scripted.ModelBehavior{Events: 5})
	whole := answerOf(t, p, want)
	for i, resp := range streams {
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || string(text) != whole {
			t.Errorf("stream q%d: got %q, %v; want the complete answer", i, text, err)
		}
	}
	conns := host.Accepted()
	host.Set(scripted.ModelBehavior{Events: 5})
	for i := range streams {
		if resp := open(fmt.Sprint("next", i)); resp.StatusCode != 200 {
			t.Errorf("a next request got status %d, want 200", resp.StatusCode)
		} else {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	if got := host.Accepted() - conns; got > 0 {
		t.Errorf("%d new connections to the server, want the connections of the streams to be reused", got)
	}
	if counts := host.Counts(); counts.Duplicated != nil {
		t.Errorf("requests with two attempts at once: %v", counts.Duplicated)
	}
	host.Set(scripted.ModelBehavior{Events: 5, Gate: hold})
	last := open("last")
	third.cmd.Process.Signal(syscall.SIGTERM)
	third.awaitLog("phase name=finishing")
	scripted.Send(t, hold, true)
	if text, err := io.ReadAll(last.Body); err != nil || string(text) != whole {
		t.Errorf("stream without another process to take it over: got %q, %v; want the complete answer", text, err)
	}
	third.awaitExit(true)
}

// answerOf returns the answer that a server gives to the prompt of scripted.NewRequest.
func answerOf(t *testing.T, p *supervisor, host *scripted.Model) string {
	t.Helper()
	r := scripted.NewRequest(t, host.Addr, "as it is", nil)
	_, text, err := scripted.Do(t, r)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// awaitLog waits for a log line that contains words.
func (o *routerProcess) awaitLog(words string) {
	o.t.Helper()
	for !strings.Contains(scripted.Receive(o.t, o.log, words), words) {
	}
}

// setLimits sets the memory and descriptor limits in the configuration of the next processes. The
// system enforces the descriptor limit.
func (p *supervisor) setLimits(memory, sockets int) {
	p.t.Helper()
	text, err := os.ReadFile(p.config)
	if err != nil {
		p.t.Fatal(err)
	}
	write(p.t, p.config, strings.Replace(string(text), `"memory_mb":192,"sockets":1024`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, memory, sockets), 1))
	script := filepath.Join(p.folder, "limited")
	if err := os.WriteFile(script, fmt.Appendf(nil, "#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", sockets, p.binary), 0o700); err != nil {
		p.t.Fatal(err)
	}
	p.binary = script
}

// resourceUse returns how many descriptors and kilobytes of memory the processes use together, and
// for how long it had stopped them. Pages that processes share count once. It stops all processes
// before it counts their descriptors. Otherwise a connection that moves from one process to another
// between the two counts would be counted twice; 242 descriptors were once counted where 227 were
// open.
func resourceUse(t *testing.T, all ...*routerProcess) (descriptors, kilobytes int, held time.Duration) {
	t.Helper()
	begun := time.Now()
	for _, o := range all {
		o.pause()
	}
	for _, o := range all {
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", o.cmd.Process.Pid))
		descriptors += len(open)
	}
	for _, o := range all {
		o.cmd.Process.Signal(syscall.SIGCONT) // fails for a process that has ended, which does not matter
	}
	held = time.Since(begun)
	for _, o := range all {
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", o.cmd.Process.Pid))
		if _, pss, ok := strings.Cut(string(status), "\nPss:"); ok {
			var n int
			fmt.Sscan(pss, &n)
			kilobytes += n
		}
	}
	return descriptors, kilobytes, held
}

// pause stops the process and returns when all its threads are stopped or have ended.
func (o *routerProcess) pause() {
	if o.cmd.Process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	for !allThreadsStopped(o.cmd.Process.Pid) {
		runtime.Gosched()
	}
}

// allThreadsStopped reports whether every thread of a process is stopped or has ended.
func allThreadsStopped(pid int) bool { return strings.Trim(threadStates(pid), "TZX") == "" }

// threadStates returns the state of each thread of a process, as one of the kernel's letters: R for
// running or runnable, S and D for waiting, T for stopped, Z and X for ended.
func threadStates(pid int) string {
	var states []byte
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, path := range threads {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		behindName := strings.LastIndexByte(string(text), ')')
		states = append(states, text[behindName+2])
	}
	return string(states)
}

// The router runs with limits of 256 descriptors and 32 MB, under many silent connections and
// connections with requests, and with callers of the management address that send nothing or read
// nothing. The management address answers each call in time. During a replacement, both processes
// together stay within both limits.
func TestCrowdsAtSmallLimits(t *testing.T) {
	host := scripted.NewModel(t, scripted.ModelBehavior{Events: 3})
	p := newSupervisor(t, host)
	p.setLimits(32, 256)
	first := p.start().awaitReady()
	from := func(int) string { return "127.0.0.1" }
	silent := scripted.NewFlood(p.addr, 200, scripted.SendNothing, from, time.Minute)
	defer silent.Stop()
	asking := scripted.NewFlood(p.addr, 20, scripted.SendRequests, from, time.Minute)
	defer asking.Stop()
	for i := range 2 * transport.MaxCallers {
		c, err := net.Dial("tcp", first.management)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, []string{"", "var", "vars\nvars\n"}[i%3])
	}
	scrape := func(o *routerProcess) {
		t.Helper()
		begun := time.Now()
		c, err := net.Dial("tcp", o.management)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(begun.Add(scripted.EventTimeout))
		io.WriteString(c, "vars\n")
		text, err := io.ReadAll(c)
		if took := time.Since(begun); err != nil || !strings.HasPrefix(string(text), "+OK\n") || !strings.HasSuffix(string(text), "\n.\n") || took > time.Second {
			t.Errorf("call vars after %v: got %q, %v; want the metrics within 1 s", took, text, err)
		}
	}
	most, memory := 0, 0
	var heldFor atomic.Int64 // nanoseconds
	sample := func(all ...*routerProcess) {
		descriptors, kilobytes, held := resourceUse(t, all...)
		most, memory = max(most, descriptors), max(memory, kilobytes)
		heldFor.Add(held.Nanoseconds())
	}
	for range 50 {
		scrape(first)
		sample(first)
	}
	second := p.start()
	begun, heldAlone := time.Now(), heldFor.Load()
	defer func() {
		if t.Failed() {
			t.Logf("since the start of the second process, the samples stopped both processes for %v of %v", time.Duration(heldFor.Load()-heldAlone), time.Since(begun))
		}
	}()
	sampled := make(chan bool)
	go func() {
		defer close(sampled)
		for {
			select {
			case <-first.ended:
				return
			default:
				begun := time.Now()
				sample(first, second)
				time.Sleep(time.Since(begun)) // let the processes run for as long as they were stopped
			}
		}
	}()
	second.awaitReady()
	scrape(second)
	first.terminateCleanly()
	<-sampled
	scrape(second)
	if most > 256 || memory > 32<<10 {
		t.Errorf("both processes together used %d of 256 descriptors, and %d kB of 32 MB", most, memory)
	}
	t.Logf("at most %d descriptors and %d kB used", most, memory)
	second.terminateCleanly()
}

// A process that replaces a draining one is ready and serves although the old process drains. If the
// replacement is killed before the old process hands over its streams, the streams end in the old
// process, and a third process serves new requests.
func TestReplacementThatDies(t *testing.T) {
	hold := make(chan bool)
	host := scripted.NewModel(t, scripted.ModelBehavior{Events: 5, Gate: hold})
	p := newSupervisor(t, host)
	first := p.start().awaitReady()
	resp, err := http.DefaultClient.Do(scripted.NewRequest(t, p.addr, "q", nil))
	if err != nil {
		t.Fatal(err)
	}
	if got := first.call("drain-on"); got != "+OK draining\n" {
		t.Errorf("drain-on: %q", got)
	}
	second := p.start().awaitReady()
	if got := second.call("check"); got != "+OK\n" {
		t.Errorf("check of the new process while the old one drains: %q", got)
	}
	second.cmd.Process.Kill()
	second.awaitExit(false)
	first.cmd.Process.Signal(syscall.SIGTERM)
	first.awaitLog("phase name=finishing")
	third := p.start().awaitReady()
	host.Set(scripted.ModelBehavior{Events: 5})
	if status, _, err := scripted.Do(t, scripted.NewRequest(t, p.addr, "next", nil)); status != 200 || err != nil {
		t.Errorf("the third process answered %d, %v; want status 200", status, err)
	}
	scripted.Send(t, hold, true)
	if text, err := io.ReadAll(resp.Body); err != nil || !strings.Contains(string(text), "[DONE]") {
		t.Errorf("the open stream got %q, %v; want the complete answer", text, err)
	}
	first.awaitExit(true)
	third.terminateCleanly()
}

// call makes one call at the process's management address.
func (o *routerProcess) call(line string) string {
	o.t.Helper()
	return callManagement(o.t, o.management, line)
}

// callManagement makes one call at a management address and returns the whole answer.
func callManagement(t *testing.T, addr, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(scripted.EventTimeout))
	io.WriteString(c, line+"\n")
	text, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("management call %q: %v", line, err)
	}
	return string(text)
}
