package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"reachspread/internal/system/pinplay"
)

// asRouter has the test's own program be a router: a process of a fleet that tests start.
const asRouter = "REACHSPREAD_TEST_IS_ROUTER"

func TestMain(m *testing.M) {
	if os.Getenv(asRouter) == "" {
		os.Exit(m.Run())
	}
	if path := os.Getenv(failuresFile); path != "" {
		failAsTold(path)
	}
	main()
}

// processes is a fleet of router processes on addresses of the loopback, of which the first three have disks.
type processes struct {
	t      *testing.T
	folder string
	all    []*process
}

// process is one of them.
type process struct {
	ip    string
	disk  bool
	first bool // it was never started
	cmd   *exec.Cmd
	ended chan struct{}
}

const (
	internalPort = 7680
	frontPort    = 8662
	readyPort    = 8663
	controlPort  = 8665
	// boundMs is the bound on the age of what keys are honoured by: each change of the pins takes so long.
	boundMs      = 2000
	playPatience = 60 * time.Second
)

func startProcesses(t *testing.T, count, disks int) *processes {
	t.Helper()
	f := &processes{t: t, folder: t.TempDir()}
	for i := range count {
		f.all = append(f.all, &process{ip: fmt.Sprintf("127.78.0.%d", i+1), disk: i < disks, first: true})
	}
	t.Cleanup(func() {
		for i := range f.all {
			f.kill(i)
		}
	})
	for i := range f.all {
		f.start(i)
	}
	return f
}

// settings writes a process's settings file.
func (f *processes) settings(i int) (path string) {
	f.t.Helper()
	p := f.all[i]
	text := fmt.Sprintf(`nodeName = "n%d"
role = "router"
machineClass = "frontend"
serves = ["frontend","control_plane"]
ipAddress = "%s"
zone = "z%d"
region = "r"
internalPortRange = [%d,%d]
seedNodes = ["127.78.0.1:%d","127.78.0.2:%d","127.78.0.3:%d"]
firstStart = %v
countsForQuorum = %v
dataDirectory = "%s"
discovery = "registration"
heartbeatIntervalMs = 60000
[zones]
z0 = "r"
z1 = "r"
z2 = "r"
[listenAddresses]
frontend = "%s:%d"
readiness = "%s:%d"
controlPlane = "%s:%d"
[limits]
cpuShare = 1.0
cpuCores = 1
memoryMb = 128
fileDescriptors = 2000
linkMbps = 1000.0
[faultTolerance]
machines = 1
[bounds]
graceS = 3
revocationClosed = true
revocationMs = %d
retryBudgetRatio = 1.0
retryWindowS = 10
retryBudgetSlack = 64
quotaWindowS = 8
quotaOvershoot = 0.1
`, i, p.ip, i%3, internalPort, internalPort, controlPort, controlPort, controlPort, p.first, p.disk, f.data(i),
		p.ip, frontPort, p.ip, readyPort, p.ip, controlPort, boundMs)
	path = filepath.Join(f.folder, fmt.Sprintf("settings-%d.toml", i))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// data is the folder of a process's disk, empty for none.
func (f *processes) data(i int) string {
	if !f.all[i].disk {
		return ""
	}
	return filepath.Join(f.folder, fmt.Sprint("data-", i))
}

// start begins a life of a process.
func (f *processes) start(i int) {
	f.t.Helper()
	p := f.all[i]
	p.cmd = exec.Command(os.Args[0], "router")
	p.cmd.Env = append(os.Environ(), asRouter+"=1", "REACHSPREAD_CONFIG="+f.settings(i), failuresFile+"="+f.failuresPath(i))
	p.first = false
	log, err := os.OpenFile(filepath.Join(f.folder, fmt.Sprintf("log-%d", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	p.cmd.Stderr, p.cmd.Stdout = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	ended, cmd := make(chan struct{}), p.cmd
	p.ended = ended
	go func() {
		cmd.Wait()
		log.Close()
		close(ended)
	}()
}

// kill ends a process at once.
func (f *processes) kill(i int) {
	p := f.all[i]
	p.cmd.Process.Kill()
	<-p.ended
}

// wipe ends a process and takes its disk.
func (f *processes) wipe(i int) {
	f.t.Helper()
	f.kill(i)
	if err := os.RemoveAll(f.data(i)); err != nil {
		f.t.Fatal(err)
	}
}

// freeze has a process stand still until thaw.
func (f *processes) freeze(i int) { f.all[i].cmd.Process.Signal(syscall.SIGSTOP) }

func (f *processes) thaw(i int) { f.all[i].cmd.Process.Signal(syscall.SIGCONT) }

// ready tells whether a process says that clients may come.
func (f *processes) ready(i int) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", f.all[i].ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// untilReady waits until processes say that clients may come.
func (f *processes) untilReady(which ...int) {
	f.t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	until := time.Now().Add(playPatience)
	for _, i := range which {
		for !f.ready(i) {
			if time.Now().After(until) {
				text, _ := os.ReadFile(filepath.Join(f.folder, fmt.Sprintf("log-%d", i)))
				f.t.Fatalf("process %d is never ready; its log:\n%s", i, text)
			}
			<-tick.C
		}
	}
}

// story is clients on the processes, and hosts of two versions.
func (f *processes) story(ctx context.Context) *pinplay.Story {
	f.t.Helper()
	var fronts, controls []string
	for _, p := range f.all {
		fronts = append(fronts, net.JoinHostPort(p.ip, fmt.Sprint(frontPort)))
		controls = append(controls, net.JoinHostPort(p.ip, fmt.Sprint(controlPort)))
	}
	var hosts []*pinplay.Host
	for i, version := range []int64{1, 1, 2, 2} {
		h, err := pinplay.NewHost(fmt.Sprint("i-", i), version)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(h.Close)
		hosts = append(hosts, h)
	}
	s := pinplay.NewStory(fronts, controls, hosts)
	for _, step := range []func(context.Context) error{s.Configure, s.Register} {
		if err := step(ctx); err != nil {
			f.t.Fatal(err)
		}
	}
	return s
}

// Real processes: pins are honoured on live traffic while processes are killed, stand still for longer than a change of the pins takes, lose
// their disks, are cut off, have a disk that stalls, and all lose their lives at once.
func TestPinsOnProcesses(t *testing.T) {
	f := startProcesses(t, 5, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 3*playPatience)
	defer cancel()
	s := f.story(ctx)
	f.untilReady(0, 1, 2, 3, 4)
	change := func(version int64) {
		t.Helper()
		if err := s.Change(ctx, version); err != nil {
			t.Fatal(err)
		}
	}
	s.Traffic()
	change(1)
	f.freeze(3) // without a disk: it learns of nothing
	change(2)
	change(1)
	f.thaw(3)
	f.kill(4)
	change(2)
	f.start(4)
	f.freeze(1) // of the register
	change(1)
	change(2)
	f.thaw(1)
	f.untilReady(1, 3, 4)
	f.wipe(2)
	f.start(2)
	change(1)
	f.untilReady(2)
	f.cutOff(4, true) // without a disk: it refuses what it can't know
	change(2)
	change(1)
	f.heal()
	f.untilReady(4)
	f.untilWhole(3)
	f.cutOff(0, true) // of the register
	change(2)
	f.heal()
	f.untilWhole(3)
	f.fail(1, processFailures{stall: true})
	change(1)
	f.heal()
	f.untilWhole(3)
	for i := range f.all {
		f.kill(i)
	}
	for i := range f.all {
		f.start(i)
	}
	f.untilReady(0, 1, 2, 3, 4)
	change(2)
	change(0)
	report := s.End()
	t.Logf("%d requests, %d served, %d changes of the pin", report.Requests, report.Served, report.Changes)
	for _, wrong := range report.Wrong {
		t.Error(wrong)
	}
	if report.Served < report.Requests/4 {
		t.Error("too few were served to tell")
	}
}
