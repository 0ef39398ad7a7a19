// Package localfleet runs a whole router fleet as processes on addresses of the loopback, for demos and tests: each process has a settings
// file and a log in one folder, and can be killed, frozen, or have its disk taken.
package localfleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"text/template"
	"time"

	"reachspread/internal/system/settings"
)

// The ports, which are the same on all addresses.
const (
	internalPort = 7680
	frontPort    = 8662
	readyPort    = 8663
	controlPort  = 8665
)

const (
	seeds       = 3 // the first routers
	zones       = 3 // which the routers are in by turns
	readyWithin = time.Minute
	usualGraceS = 3
	readyFor    = time.Second // one call
	askAgain    = 20 * time.Millisecond
)

// Options are how a fleet is.
type Options struct {
	Folder     string   // for all files
	Network    string   // the first three bytes of all addresses, such as 127.78.0; the last one is the router's number, from 1
	Routers    int      // of which the first ones keep the register on a disk
	Disks      int      // how many do
	Executable []string // runs a router, as the settings file that the environment names says
	// Environment is what one router's process has in its environment beside this one's; nil for nothing.
	Environment func(router int) []string
	HeartbeatMs int // between two calls of a host
	// RevocationMs bounds the age of what keys are honoured by: each change of the version pins takes so long.
	RevocationMs int
	GraceS       int // that a process has to end in; 0 for 3
}

// Fleet is one. Its methods are for one goroutine, but for those that only tell addresses.
type Fleet struct {
	o   Options
	all []*process
}

// process is one router, over all its lives.
type process struct {
	Name, IP, Data string
	Zone           int
	Core, First    bool
	Seeds          []string
	Ports          struct{ Internal, Front, Ready, Control int }
	Heartbeat      int
	Revocation     int
	Grace          int

	executable []string
	cmd        *exec.Cmd // nil while it is down
	ended      chan struct{}
}

// settingsText is a router's settings file.
var settingsText = template.Must(template.New("settings").Parse(`nodeName = "{{.Name}}"
role = "router"
machineClass = "frontend"
serves = ["frontend", "control_plane"]
ipAddress = "{{.IP}}"
zone = "z{{.Zone}}"
region = "r"
internalPortRange = [{{.Ports.Internal}}, {{.Ports.Internal}}]
seedNodes = [{{range $i, $s := .Seeds}}{{if $i}}, {{end}}"{{$s}}"{{end}}]
firstStart = {{.First}}
countsForQuorum = {{.Core}}
dataDirectory = "{{.Data}}"
discovery = "registration"
heartbeatIntervalMs = {{.Heartbeat}}

[zones]
z0 = "r"
z1 = "r"
z2 = "r"

[listenAddresses]
frontend = "{{.IP}}:{{.Ports.Front}}"
readiness = "{{.IP}}:{{.Ports.Ready}}"
controlPlane = "{{.IP}}:{{.Ports.Control}}"

[limits]
cpuShare = 1.0
cpuCores = 1
memoryMb = 128
fileDescriptors = 2000
linkMbps = 1000.0

[faultTolerance]
machines = 1

[bounds]
graceS = {{.Grace}}
configurationApplyMs = 2000
revocationClosed = true
revocationMs = {{.Revocation}}
retryBudgetRatio = 1.0
retryWindowS = 10
retryBudgetSlack = 64
quotaWindowS = 8
quotaOvershoot = 0.1
`))

// New lays out a fleet of which nothing runs yet.
func New(o Options) *Fleet {
	f := &Fleet{o: o}
	var all []string
	for i := range o.Routers {
		p := &process{Name: fmt.Sprint("router-", i+1), IP: fmt.Sprintf("%s.%d", o.Network, i+1), Zone: i % zones, Core: i < o.Disks, First: true,
			Heartbeat: o.HeartbeatMs, Revocation: o.RevocationMs, Grace: cmp.Or(o.GraceS, usualGraceS), executable: o.Executable}
		p.Ports.Internal, p.Ports.Front, p.Ports.Ready, p.Ports.Control = internalPort, frontPort, readyPort, controlPort
		if p.Core {
			p.Data = filepath.Join(o.Folder, p.Name)
		}
		if i < seeds {
			all = append(all, p.address(controlPort))
		}
		f.all = append(f.all, p)
	}
	for _, p := range f.all {
		p.Seeds = all
	}
	return f
}

// Len is how many routers there are.
func (f *Fleet) Len() int { return len(f.all) }

// Name is a router's.
func (f *Fleet) Name(i int) string { return f.all[i].Name }

// IP is a router's address, without a port.
func (f *Fleet) IP(i int) string { return f.all[i].IP }

// HasDisk tells whether a router may be a machine of the register.
func (f *Fleet) HasDisk(i int) bool { return f.all[i].Core }

// Front is where clients reach a router, Control where hosts and operators do, and Readiness where it tells how it stands.
func (f *Fleet) Front(i int) string { return f.all[i].address(frontPort) }

// Control is where hosts and operators reach a router.
func (f *Fleet) Control(i int) string { return f.all[i].address(controlPort) }

// Readiness is where a router tells how it stands.
func (f *Fleet) Readiness(i int) string { return f.all[i].address(readyPort) }

// Log is the file that a router's processes log to.
func (f *Fleet) Log(i int) string { return filepath.Join(f.o.Folder, f.all[i].Name+".log") }

func (p *process) address(port int) string { return net.JoinHostPort(p.IP, fmt.Sprint(port)) }

// SetExecutable changes the program, with its arguments, that a router runs from its next start on.
func (f *Fleet) SetExecutable(i int, executable []string) { f.all[i].executable = executable }

// Start begins a life of a router.
func (f *Fleet) Start(i int) error {
	p := f.all[i]
	if err := f.writeSettings(p); err != nil {
		return err
	}
	p.First = false
	log, err := os.OpenFile(f.Log(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.executable[0], p.executable[1:]...)
	p.cmd.Env = append(os.Environ(), settings.PathVariable+"="+f.settingsPath(p))
	if f.o.Environment != nil {
		p.cmd.Env = append(p.cmd.Env, f.o.Environment(i)...)
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		p.cmd = nil
		return err
	}
	ended, cmd := make(chan struct{}), p.cmd
	p.ended = ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
	return nil
}

func (f *Fleet) settingsPath(p *process) string { return filepath.Join(f.o.Folder, p.Name+".toml") }

func (f *Fleet) writeSettings(p *process) error {
	file, err := os.Create(f.settingsPath(p))
	if err != nil {
		return err
	}
	return errors.Join(settingsText.Execute(file, p), file.Close())
}

// Reload writes a router's settings anew, with its seeds in another order, and tells the process.
func (f *Fleet) Reload(i int) error {
	p := f.all[i]
	p.Seeds = append(p.Seeds[1:len(p.Seeds):len(p.Seeds)], p.Seeds[0])
	if err := f.writeSettings(p); err != nil {
		return err
	}
	return p.signal(syscall.SIGHUP)
}

// Terminate tells a router to end, and does not wait for it.
func (f *Fleet) Terminate(i int) error { return f.all[i].signal(syscall.SIGTERM) }

func (p *process) signal(s syscall.Signal) error {
	if p.cmd == nil {
		return errDown
	}
	return p.cmd.Process.Signal(s)
}

// errDown says that a router has no process.
var errDown = errors.New("the router is down")

// Ended is how a process's life ended.
type Ended struct {
	Status int           // -1 where a signal ended it
	CPU    time.Duration // that it used
}

// AwaitEnd waits until a router's process has ended; ok is false where ctx ended first. The router is down then.
func (f *Fleet) AwaitEnd(ctx context.Context, i int) (e Ended, ok bool) {
	p := f.all[i]
	select {
	case <-p.ended:
	case <-ctx.Done():
		return Ended{}, false
	}
	state := p.cmd.ProcessState
	p.cmd = nil
	return Ended{Status: state.ExitCode(), CPU: state.UserTime() + state.SystemTime()}, true
}

// Process is the id of a router's process, 0 while it is down.
func (f *Fleet) Process(i int) int {
	if cmd := f.all[i].cmd; cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// StartAll begins a life of each router.
func (f *Fleet) StartAll() error {
	for i := range f.all {
		if err := f.Start(i); err != nil {
			return err
		}
	}
	return nil
}

// Kill ends a router at once; one that is down stays so.
func (f *Fleet) Kill(i int) {
	p := f.all[i]
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Kill()
	<-p.ended
	p.cmd = nil
}

// End ends all routers at once.
func (f *Fleet) End() {
	for i := range f.all {
		f.Kill(i)
	}
}

// Wipe ends a router and takes its disk.
func (f *Fleet) Wipe(i int) error {
	f.Kill(i)
	return os.RemoveAll(f.all[i].Data)
}

// Freeze has a router stand still until Thaw.
func (f *Fleet) Freeze(i int) { f.all[i].cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw ends a standstill.
func (f *Fleet) Thaw(i int) { f.all[i].cmd.Process.Signal(syscall.SIGCONT) }

// Ready tells whether a router says that clients may come.
func (f *Fleet) Ready(i int) bool {
	client := http.Client{Timeout: readyFor, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + f.Readiness(i) + "/readiness")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// UntilReady waits until routers say that clients may come. The error has the log of one that does not.
func (f *Fleet) UntilReady(ctx context.Context, which ...int) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for _, i := range which {
		for !f.Ready(i) {
			select {
			case <-ctx.Done():
				text, _ := os.ReadFile(f.Log(i))
				return fmt.Errorf("%s is never ready: %w; its log:\n%s", f.Name(i), ctx.Err(), text)
			case <-time.After(askAgain):
			}
		}
	}
	return nil
}
