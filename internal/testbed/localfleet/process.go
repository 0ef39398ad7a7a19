package localfleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"

	"reachspread/internal/system/settings"
)

// ErrRouterDown says that a router has no process.
var ErrRouterDown = errors.New("the router is down; start it first")

// process is one router, over all its incarnations. The exported fields are those of its settings.
type process struct {
	Name, IP      string
	DataDirectory string // empty for a router without a disk
	Zone          int
	Eligible      bool // for the register
	FirstStart    bool
	SeedNodes     []string
	Ports         ports
	HeartbeatMs   int
	RevocationMs  int
	GraceS        int

	executable []string
	cmd        *exec.Cmd // nil while it is down
	exited     chan struct{}
}

// ports are those of a router's addresses.
type ports struct{ Internal, Front, Ready, Control int }

// routerPorts are the ports of all routers, which differ in their IP addresses.
var routerPorts = ports{Internal: 7680, Front: 8662, Ready: 8663, Control: 8665}

func (p *process) address(port int) string { return net.JoinHostPort(p.IP, fmt.Sprint(port)) }

func (p *process) signal(s syscall.Signal) error {
	if p.cmd == nil {
		return ErrRouterDown
	}
	return p.cmd.Process.Signal(s)
}

// SetExecutable changes the program, with its arguments, that a router runs from its next start on.
func (f *Fleet) SetExecutable(i int, executable []string) { f.routers[i].executable = executable }

// Start starts a router's process. The error is that of writing its settings, of its log file or of
// the program.
func (f *Fleet) Start(i int) error {
	p := f.routers[i]
	if err := f.writeSettings(p); err != nil {
		return err
	}
	p.FirstStart = false
	log, err := os.OpenFile(f.Log(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.executable[0], p.executable[1:]...)
	cmd.Env = append(os.Environ(), settings.PathVariable+"="+f.settingsPath(p))
	if f.options.Environment != nil {
		cmd.Env = append(cmd.Env, f.options.Environment(i)...)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.cmd = nil
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() { // until the process exits
		cmd.Wait()
		close(exited)
	}()
	return nil
}

// StartAll starts the process of each router.
func (f *Fleet) StartAll() error {
	for i := range f.routers {
		if err := f.Start(i); err != nil {
			return err
		}
	}
	return nil
}

// Reload rewrites a router's settings, with its seed nodes in another order, and signals the
// process to read them. It returns ErrRouterDown for a router without a process.
func (f *Fleet) Reload(i int) error {
	p := f.routers[i]
	p.SeedNodes = append(p.SeedNodes[1:len(p.SeedNodes):len(p.SeedNodes)], p.SeedNodes[0])
	if err := f.writeSettings(p); err != nil {
		return err
	}
	return p.signal(syscall.SIGHUP)
}

// Terminate signals a router to shut down gracefully, and does not wait for it. It returns
// ErrRouterDown for a router without a process.
func (f *Fleet) Terminate(i int) error { return f.routers[i].signal(syscall.SIGTERM) }

// Exit is how a process ended.
type Exit struct {
	Status int           // -1 where a signal ended it
	CPU    time.Duration // processor time that it used
}

// AwaitExit waits until a router's process has exited; ok is false if ctx ended first. The router
// is down then.
func (f *Fleet) AwaitExit(ctx context.Context, i int) (e Exit, ok bool) {
	p := f.routers[i]
	select {
	case <-p.exited:
	case <-ctx.Done():
		return Exit{}, false
	}
	state := p.cmd.ProcessState
	p.cmd = nil
	return Exit{Status: state.ExitCode(), CPU: state.UserTime() + state.SystemTime()}, true
}

// Process is the id of a router's process, 0 while it is down.
func (f *Fleet) Process(i int) int {
	if cmd := f.routers[i].cmd; cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// Kill kills a router's process and waits for its exit; a router that is down stays so.
func (f *Fleet) Kill(i int) {
	p := f.routers[i]
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Kill()
	<-p.exited
	p.cmd = nil
}

// KillAll kills all routers.
func (f *Fleet) KillAll() {
	for i := range f.routers {
		f.Kill(i)
	}
}

// Wipe kills a router and removes the data on its disk.
func (f *Fleet) Wipe(i int) error {
	f.Kill(i)
	return os.RemoveAll(f.routers[i].DataDirectory)
}

// Freeze stops a router's process (SIGSTOP) until Thaw.
func (f *Fleet) Freeze(i int) { f.routers[i].cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw continues a router's process (SIGCONT).
func (f *Fleet) Thaw(i int) { f.routers[i].cmd.Process.Signal(syscall.SIGCONT) }

const (
	readyTimeout      = time.Minute // for a router to become ready
	readyCallTimeout  = time.Second // for one call
	readyPollInterval = 20 * time.Millisecond
)

// Ready reports whether a router's readiness call says that clients may come.
func (f *Fleet) Ready(i int) bool {
	client := http.Client{Timeout: readyCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + f.Readiness(i) + "/readiness")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// AwaitReady waits until routers are ready, for readyTimeout at most. The error wraps that of the
// context and has the log of a router that is not.
func (f *Fleet) AwaitReady(ctx context.Context, routers ...int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range routers {
		for !f.Ready(i) {
			select {
			case <-ctx.Done():
				text, _ := os.ReadFile(f.Log(i))
				return fmt.Errorf("%s is never ready: %w; its log:\n%s", f.Name(i), ctx.Err(), text)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}
