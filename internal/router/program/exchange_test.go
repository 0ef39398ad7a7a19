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

// platformOf is what starts and ends processes of one router: it holds the clients' listener, and
// the folder and the configuration that they share.
type supervisor struct {
	t      *testing.T
	binary string
	ln     *os.File
	addr   string
	folder string
	config string
}

// one is a process of the router.
type routerProcess struct {
	t          *testing.T
	cmd        *exec.Cmd
	management string
	log        chan string
	ended      chan bool // closed once the kernel has ended it; it may be reaped later
	status     int       // with which it ended, -1 for a signal; known once ended is closed
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

// start starts a process with the listener as descriptor 5, and does not wait for it.
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

// awaitEnd notes the process's end, which its reaping tells late on a busy machine.
func (o *routerProcess) recordExit() {
	status, _, err := processexit.Await(o.cmd.Process.Pid)
	if err != nil {
		o.t.Error(err)
	}
	o.status = status
	close(o.ended)
}

// yes waits until the process takes clients.
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
	o.t.Fatal("no yes")
	return nil
}

// leaves sends SIGTERM and waits for the exit with status 0.
func (o *routerProcess) terminateCleanly() {
	o.t.Helper()
	o.cmd.Process.Signal(syscall.SIGTERM)
	o.awaitExit(true)
}

func (o *routerProcess) awaitExit(well bool) {
	o.t.Helper()
	select {
	case <-o.ended:
	case <-time.After(scripted.EventTimeout):
		o.t.Fatalf("waited %v in vain: the exit; its threads are %s", scripted.EventTimeout, threadStates(o.cmd.Process.Pid))
	}
	if (o.status == 0) != well {
		o.t.Errorf("the process ended with status %d", o.status)
	}
}

// crowd are clients that ask all the time on connections that they keep, until stopped; what went
// wrong is returned.
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

// Processes take over from each other under load, two in a row, past one that dies before its yes
// and leftovers in the folder that they share. No request is refused, closed on or answered twice,
// and each process ends well.
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
	time.Sleep(50 * time.Millisecond) // of load on the last one
	asked, wrong := stop()
	if len(wrong) > 0 || asked < 50 {
		t.Errorf("of %d requests these went wrong: %s", asked, strings.Join(wrong, "\n"))
	}
	for _, h := range hosts {
		if counts := h.Counts(); counts.Duplicated != nil {
			t.Errorf("%v had two attempts out", counts.Duplicated)
		}
	}
	fourth.terminateCleanly()
}

// A descriptor that is no listener is one line and no start.
func TestNoListenerInherited(t *testing.T) {
	p := newSupervisor(t)
	for fd, want := range map[string]string{"3": "ROUTER_ACCEPT_FD: descriptor 3 is no listening socket", "77": "ROUTER_ACCEPT_FD: descriptor 77 is no listening socket", "five": `ROUTER_ACCEPT_FD is "five"`} {
		o := p.start("ROUTER_ACCEPT_FD=" + fd)
		if line := scripted.Receive(t, o.log, "a line"); !strings.Contains(line, want) {
			t.Errorf("%s: got %q, want %q", fd, line, want)
		}
		o.awaitExit(false)
	}
}

// Streams under way, of any class and half read, move to the process that takes over, past a second
// replacement, and the process that left has ended long before they have. The client's next request
// goes to the new one without a new connection; whatever has no one to go to ends where it is.
func TestStreamsMove(t *testing.T) {
	hold := make(chan bool)
	// A server says something at each stage: one that is silent for longer than 4.5 s is given up,
	// and on a busy machine all of this takes longer.
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
			t.Errorf("q%d: %q, %v; want it whole", i, text, err)
		}
	}
	conns := host.Accepted()
	host.Set(scripted.ModelBehavior{Events: 5})
	for i := range streams {
		if resp := open(fmt.Sprint("next", i)); resp.StatusCode != 200 {
			t.Errorf("the next request: %d", resp.StatusCode)
		} else {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	if got := host.Accepted() - conns; got > 0 {
		t.Errorf("%d new connections to the server; those of the streams were there", got)
	}
	if counts := host.Counts(); counts.Duplicated != nil {
		t.Errorf("%v had two attempts out", counts.Duplicated)
	}
	host.Set(scripted.ModelBehavior{Events: 5, Gate: hold})
	last := open("last")
	third.cmd.Process.Signal(syscall.SIGTERM)
	third.awaitLog("phase name=finishing")
	scripted.Send(t, hold, true)
	if text, err := io.ReadAll(last.Body); err != nil || string(text) != whole {
		t.Errorf("with nobody to go to: %q, %v", text, err)
	}
	third.awaitExit(true)
}

// answerOf returns what a server's answer to the clients' usual prompt is.
func answerOf(t *testing.T, p *supervisor, host *scripted.Model) string {
	t.Helper()
	r := scripted.NewRequest(t, host.Addr, "as it is", nil)
	_, text, err := scripted.Do(t, r)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func (o *routerProcess) awaitLog(words string) {
	o.t.Helper()
	for !strings.Contains(scripted.Receive(o.t, o.log, words), words) {
	}
}

// limit has the next processes keep to small limits, and the system hold them to the descriptors.
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

// uses returns the descriptors and the kilobytes of memory that processes have together, and for how
// long it held them still; pages that they share count once. The processes stand still while their descriptors are counted: one after
// the other, a connection that moves from the first to the second between the two counts would be
// in both (242 were counted so where 227 were open).
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
		o.cmd.Process.Signal(syscall.SIGCONT) // one that has ended needs none
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

// pause has a process stand still, and returns once it does or has ended.
func (o *routerProcess) pause() {
	if o.cmd.Process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	for !allThreadsStopped(o.cmd.Process.Pid) {
		runtime.Gosched()
	}
}

// stands tells that every thread of a process is stopped, or has ended.
func allThreadsStopped(pid int) bool { return strings.Trim(threadStates(pid), "TZX") == "" }

// threadStates has a letter for each thread of a process, as the kernel names states: R runs or
// would, S and D wait, T is stopped, Z has ended.
func threadStates(pid int) string {
	var states []byte
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, path := range threads {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended
		}
		behindName := strings.LastIndexByte(string(text), ')')
		states = append(states, text[behindName+2])
	}
	return string(states)
}

// With 256 descriptors and 32 MB, in a crowd of silent and asking connections and of callers that
// say nothing or read nothing, the management address answers each call in time, and a replacement
// keeps both limits for the two together.
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
			t.Errorf("after %v: %q, %v", took, text, err)
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
			t.Logf("since the second process's start the looks held both still for %v of %v", time.Duration(heldFor.Load()-heldAlone), time.Since(begun))
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
				time.Sleep(time.Since(begun)) // the processes run for as long as they stood still
			}
		}
	}()
	second.awaitReady()
	scrape(second)
	first.terminateCleanly()
	<-sampled
	scrape(second)
	if most > 256 || memory > 32<<10 {
		t.Errorf("the two together had %d descriptors of 256, and %d kB of 32 MB", most, memory)
	}
	t.Logf("%d descriptors, %d kB at the most", most, memory)
	second.terminateCleanly()
}

// A replacement during a drain serves though the old process sends clients away. One that is killed
// after its yes takes nothing with it that it was not given: streams end where they are, and a
// third process serves.
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
		t.Errorf("the new process while the old one drains: %q", got)
	}
	second.cmd.Process.Kill()
	second.awaitExit(false)
	first.cmd.Process.Signal(syscall.SIGTERM)
	first.awaitLog("phase name=finishing")
	third := p.start().awaitReady()
	host.Set(scripted.ModelBehavior{Events: 5})
	if status, _, err := scripted.Do(t, scripted.NewRequest(t, p.addr, "next", nil)); status != 200 || err != nil {
		t.Errorf("the third process: %d, %v", status, err)
	}
	scripted.Send(t, hold, true)
	if text, err := io.ReadAll(resp.Body); err != nil || !strings.Contains(string(text), "[DONE]") {
		t.Errorf("the stream that was out: %q, %v", text, err)
	}
	first.awaitExit(true)
	third.terminateCleanly()
}

// call makes one call at the process's management address.
func (o *routerProcess) call(line string) string {
	o.t.Helper()
	return callManagement(o.t, o.management, line)
}

// callManagement makes one call at an management address and returns the whole answer.
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
		t.Fatalf("%q: %v", line, err)
	}
	return string(text)
}
