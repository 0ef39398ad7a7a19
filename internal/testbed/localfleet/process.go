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

// ErrRouterDown means that a router has no running process.
var ErrRouterDown = errors.New("the router is down; start it first")

// process is one router across all its incarnations. The template of its settings file uses the
// exported fields.
type process struct {
	Name, IP      string
	DataDirectory string // empty for a router without a disk
	Zone          int
	Eligible      bool // whether the router is eligible for the register
	FirstStart    bool
	SeedNodes     []string
	Ports         ports
	HeartbeatMs   int
	RevocationMs  int
	GraceS        int

	executable []string
	cmd        *exec.Cmd     // nil while the router is down
	exited     chan struct{} // closed when the process of cmd has exited
}

// ports has the port numbers of a router's addresses.
type ports struct{ Internal, Front, Ready, Control int }

// routerPorts has the ports that all routers use. Routers differ only in their IP addresses.
var routerPorts = ports{Internal: 7680, Front: 8662, Ready: 8663, Control: 8665}

func (p *process) address(port int) string { return net.JoinHostPort(p.IP, fmt.Sprint(port)) }

func (p *process) signal(s syscall.Signal) error {
	if p.cmd == nil {
		return ErrRouterDown
	}
	return p.cmd.Process.Signal(s)
}

// SetExecutable changes the program and arguments that a router runs, beginning with its next start.
func (f *Fleet) SetExecutable(i int, executable []string) { f.routers[i].executable = executable }

// Start starts a router's process. It returns an error if it can't write the settings file, open the
// log file or start the program.
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
	go func() { // ends when the process exits
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

// Reload rewrites a router's settings file with its seed nodes in another order, and sends the
// process SIGHUP so that it reads the file. It returns ErrRouterDown for a router without a process.
func (f *Fleet) Reload(i int) error {
	p := f.routers[i]
	p.SeedNodes = append(p.SeedNodes[1:len(p.SeedNodes):len(p.SeedNodes)], p.SeedNodes[0])
	if err := f.writeSettings(p); err != nil {
		return err
	}
	return p.signal(syscall.SIGHUP)
}

// Terminate sends a router SIGTERM, so that it shuts down gracefully, and does not wait for its exit.
// It returns ErrRouterDown for a router without a process.
func (f *Fleet) Terminate(i int) error { return f.routers[i].signal(syscall.SIGTERM) }

// Exit describes how a process ended.
type Exit struct {
	Status int           // exit status; -1 if a signal ended the process
	CPU    time.Duration // processor time that the process used
}

// AwaitExit waits until a router's process has exited and marks the router as down. ok is false if ctx
// ends first.
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

// Process returns the process id of a router, or 0 while the router is down.
func (f *Fleet) Process(i int) int {
	if cmd := f.routers[i].cmd; cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// Kill kills a router's process and waits for its exit. It does nothing if the router is down.
func (f *Fleet) Kill(i int) {
	p := f.routers[i]
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Kill()
	<-p.exited
	p.cmd = nil
}

// KillAll kills the processes of all routers and waits for their exit.
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
	readyTimeout      = time.Minute           // timeout of AwaitReady, for all its routers together
	readyCallTimeout  = time.Second           // timeout of one readiness check
	readyPollInterval = 20 * time.Millisecond // interval between two readiness checks
)

// Ready reports whether a router's readiness check says that the router accepts clients.
func (f *Fleet) Ready(i int) bool {
	client := http.Client{Timeout: readyCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + f.Readiness(i) + "/readiness")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// AwaitReady waits until routers are ready, but at most readyTimeout. Its error wraps the context's
// error and contains the log of the first router that is not ready.
func (f *Fleet) AwaitReady(ctx context.Context, routers ...int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range routers {
		for !f.Ready(i) {
			select {
			case <-ctx.Done():
				text, _ := os.ReadFile(f.Log(i))
				return fmt.Errorf("%s did not become ready: %w; its log:\n%s", f.Name(i), ctx.Err(), text)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}
