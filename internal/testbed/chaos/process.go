package chaos

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/processexit"
)

// starter starts processes from one thread, which exists until the starter is closed. The kernel
// kills each of these processes when that thread ends, even if the test process was killed.
type starter struct{ todo chan func() }

func newStarter() starter {
	s := starter{make(chan func())}
	go s.serve()
	return s
}

// serve runs the functions of todo on a thread that ends when serve returns. The program's first
// thread does not end before the program, because Go parks it. If this goroutine runs on that
// thread, it stays locked to it and lets another goroutine, which then runs on another thread, do
// the work.
func (s starter) serve() {
	runtime.LockOSThread()
	if unix.Gettid() == unix.Getpid() {
		defer runtime.UnlockOSThread()
		over := make(chan bool)
		go func() {
			defer close(over)
			s.serve()
		}()
		<-over
		return
	}
	for f := range s.todo { // the thread is never unlocked, so that it ends with the goroutine
		f()
	}
}

func (s starter) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // a group of its own, so that Ctrl-C reaches only the test process
	done := make(chan error)
	s.todo <- func() { done <- cmd.Start() }
	return <-done
}

func (s starter) close() { close(s.todo) }

// router is one router of the fleet: its folders, its listener, and its running processes. A router
// has more than one process while it is being replaced or has a twin.
type router struct {
	p        *play
	n        int
	folder   string
	held     *os.File // the clients' listener; nil if each process opens its own
	settings string   // path of the settings file that processes get; empty for none

	mu        sync.Mutex
	procs     []*process // running processes, oldest first
	count     int        // number of processes started so far
	down      int        // number of faults in force that keep the router down
	paused    int        // number of faults in force that freeze the router
	ended     bool       // the play is over
	resumedAt time.Time  // when its processes were last resumed
}

// process is one operating system process of a router.
type process struct {
	name        string
	r           *router
	cmd         *exec.Cmd
	management  string
	done        chan bool // closed once the process has exited and all its output was read
	twin        bool
	terminated  atomic.Bool // SIGTERM was sent
	loggedPhase bool        // the process has logged a phase, so its management address answers
	logFileOnly bool        // further output goes only to the log file, not to the history
}

func (r *router) name() string { return "r" + strconv.Itoa(r.n) }

func (r *router) disk() string  { return filepath.Join(r.folder, "disk") }
func (r *router) older() string { return filepath.Join(r.folder, "older") }
func (r *router) tmp() string   { return filepath.Join(r.folder, "tmp") }

// openRouters creates the folders, settings, listeners and configurations that routers need before
// they start.
func (p *play) openRouters() error {
	settings := p.settings
	for i := range p.spec.Routers {
		r := &router{p: p, n: i, folder: filepath.Join(p.folder, "r"+strconv.Itoa(i))}
		for _, dir := range []string{r.disk(), r.tmp()} {
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
		}
		if settings != "" {
			r.settings = filepath.Join(r.folder, "settings.hcl")
			if err := os.WriteFile(r.settings, []byte(strings.NewReplacer("@FLEET@", p.fleetFields(i), "@DUTIES@", expand(p.dutyFields(i), r.disk())).Replace(expand(settings, r.disk()))), 0o644); err != nil {
				return err
			}
		}
		if p.options.Experiment.Rig.Held {
			ln, err := net.Listen("tcp4", p.layout.client(i))
			if err != nil {
				return err
			}
			r.held, err = ln.(*net.TCPListener).File()
			ln.Close() // held is another descriptor of the same socket
			if err != nil {
				return err
			}
		}
		if err := r.configure(); err != nil {
			return err
		}
		p.routers = append(p.routers, r)
	}
	return nil
}

// fleetFields returns the fields of a router's block fleet. It returns none if the configuration
// names the peers.
func (p *play) fleetFields(i int) string {
	n := p.options.Experiment.Rig.Seeds
	if n == 0 {
		return ""
	}
	var seeds []string
	for _, a := range p.layout.advertisedPeers(min(n, p.spec.Routers)) {
		seeds = append(seeds, strconv.Quote(a))
	}
	return fmt.Sprintf("  listen = %q\n  address = %q\n  seeds = [%s]\n", p.layout.peer(i), p.layout.advertised(i), strings.Join(seeds, ", "))
}

// configure writes the configuration file that the router's processes read.
func (r *router) configure() error {
	p, x := r.p, &r.p.options.Experiment.Rig
	peers := p.layout.advertisedPeers(p.spec.Routers)
	if x.Seeds > 0 {
		peers = nil
	}
	text := p.fleet.RouterConfig(fakes.RouterSite{Name: r.name(), Listen: p.layout.client(r.n), Discovery: p.layout.list(r.n), Seed: p.options.Seed<<16 | uint64(r.n+1),
		Zone: p.spec.Topology().Routers[r.n], Memory: x.MemoryMB, Sockets: x.Sockets, Cores: x.Cores,
		Index: r.n, PeerListen: p.layout.peer(r.n).String(), Peers: peers})
	return os.WriteFile(filepath.Join(r.folder, "config.json"), text, 0o644)
}

// begin starts a process. why is the reason for the start, empty for a router's first process.
func (r *router) begin(why string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := r.beginLocked(why)
	return err
}

// beginLocked is begin for callers that hold mu. It returns errEnded once the play is over.
func (r *router) beginLocked(why string) (*process, error) {
	if r.ended {
		return nil, errEnded
	}
	r.count++
	if r.p.eligibleVoters() > 0 && len(r.procs) == 0 { // keep a copy for faults that restore an older disk
		if err := errors.Join(os.RemoveAll(r.older()), copyFolder(r.disk(), r.older())); err != nil {
			return nil, err
		}
	}
	x := &process{name: r.name(), r: r, done: make(chan bool), management: r.p.layout.management(r.n, (r.count-1)%10), twin: why == twinStart}
	if r.count > 1 {
		x.name += "/" + strconv.Itoa(r.count)
	}
	args := []string{"serve"}
	if r.settings != "" {
		args = append(args, "--settings", r.settings)
	}
	if r.p.options.Profile {
		args = append(args, "--profile", r.folder)
	}
	x.cmd = exec.Command(r.p.options.Program, args...)
	x.cmd.Dir = r.folder
	x.cmd.Env = []string{"ROUTER_CONFIG=" + filepath.Join(r.folder, "config.json"), "ROUTER_MANAGEMENT=" + x.management, "TMPDIR=" + r.tmp(),
		"PATH=" + os.Getenv("PATH"), "GOTRACEBACK=all"}
	if r.held != nil {
		x.cmd.ExtraFiles = []*os.File{r.held}
		x.cmd.Env = append(x.cmd.Env, "ROUTER_ACCEPT_FD=3")
	}
	out, err := x.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(r.folder, "log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	if err := r.p.starter.start(x.cmd); err != nil {
		file.Close()
		return nil, err
	}
	r.procs = append(r.procs, x)
	r.p.recorder.add(history.Event{What: history.Start, Who: x.name, PID: x.cmd.Process.Pid, Text: why})
	go x.follow(out, file)
	return x, nil
}

// The reasons for which processes are started after a router's first one.
const (
	twinStart    = "twin"
	againStart   = "again"
	replaceStart = "replace"
)

var errEnded = errors.New("the play is over")

// follow copies a process's output to its log file and to the history until the process exits, and
// then records the exit.
func (x *process) follow(out io.Reader, file *os.File) {
	defer close(x.done)
	defer file.Close()
	for lines := bufio.NewReaderSize(out, 64<<10); ; {
		line, err := lines.ReadString('\n')
		if line != "" {
			file.WriteString(line)
			x.recordLogLine(strings.TrimSpace(line))
		}
		if err != nil {
			break
		}
	}
	e := x.awaitExit()
	go x.cmd.Wait() // reaps it
	x.r.mu.Lock()
	for i, other := range x.r.procs {
		if other == x {
			x.r.procs = append(x.r.procs[:i:i], x.r.procs[i+1:]...)
			break
		}
	}
	x.r.mu.Unlock()
	x.r.p.recorder.add(e)
}

// awaitExit waits until the process has exited and returns the event that records it.
func (x *process) awaitExit() history.Event {
	e := history.Event{What: history.Exit, Who: x.name}
	status, signal, err := processexit.Await(x.pid())
	e.Status = status
	switch {
	case err != nil:
		e.Status, e.Text = -1, err.Error()
	case signal != 0:
		e.Text = signal.String()
	}
	return e
}

// recordLogLine adds a line of the process's log to the history, as a phase or as another line.
func (x *process) recordLogLine(line string) {
	x.r.mu.Lock()
	quiet := x.logFileOnly
	x.r.mu.Unlock()
	if quiet || line == "" {
		return
	}
	if _, phase, ok := strings.Cut(line, "phase name="); ok {
		x.r.mu.Lock()
		x.loggedPhase = true
		x.r.mu.Unlock()
		x.r.p.recorder.add(history.Event{What: history.Phase, Who: x.name, Text: phase})
		return
	}
	x.r.p.recorder.add(history.Event{What: history.Log, Who: x.name, Text: line})
}

func (x *process) pid() int { return x.cmd.Process.Pid }

// term records a termination and sends SIGTERM to the process.
func (x *process) term() {
	x.terminated.Store(true)
	x.r.p.recorder.add(history.Event{What: history.Term, Who: x.name})
	x.cmd.Process.Signal(syscall.SIGTERM)
}

// call sends a command to a process's management address and returns the answer.
func (x *process) call(ctx context.Context, what string, within time.Duration) (string, error) {
	d := net.Dialer{Timeout: within}
	c, err := d.DialContext(ctx, "tcp4", x.management)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, what+"\n"); err != nil {
		return "", err
	}
	text, err := io.ReadAll(io.LimitReader(c, 1<<20))
	return string(text), err
}

// newest returns the process that was started last, twins aside; nil if none runs.
func (r *router) newest() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.procs) - 1; i >= 0; i-- {
		if !r.procs[i].twin {
			return r.procs[i]
		}
	}
	return nil
}

// kill kills all processes of a router at once. The router stays down until revive was called as
// often as kill.
func (r *router) kill() {
	r.mu.Lock()
	r.down++
	procs := r.procs
	for _, x := range procs {
		x.cmd.Process.Kill()
	}
	r.mu.Unlock()
	for _, x := range procs {
		<-x.done
	}
}

// revive undoes one kill. If no other kill is in force, it calls prepare, which may change the
// durable folder, and starts a process.
func (r *router) revive(prepare func() error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down--; r.down > 0 || r.ended {
		return nil
	}
	if err := prepare(); err != nil {
		return err
	}
	if err := clearFolder(r.tmp()); err != nil {
		return err
	}
	_, err := r.beginLocked(againStart)
	return err
}

// setFrozen freezes all processes of a router, or ends one freeze. The processes resume once no
// freeze is in force.
func (r *router) setFrozen(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	signal := syscall.SIGSTOP
	if on {
		r.paused++
	} else if r.paused--; r.paused == 0 {
		signal, r.resumedAt = syscall.SIGCONT, time.Now()
	}
	if on == (r.paused > 0) {
		for _, x := range r.procs {
			x.cmd.Process.Signal(signal)
		}
	}
}

// fileLimit sets the limit on file sizes of the router's processes to 0, so that no file can grow, or
// removes the limit.
func (r *router) fileLimit(none bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if none {
		limit.Cur = 0
	}
	for _, x := range r.procs {
		if err := unix.Prlimit(x.pid(), unix.RLIMIT_FSIZE, &limit, nil); err != nil && !errors.Is(err, unix.ESRCH) {
			return fmt.Errorf("%s: can't set the limit on file sizes: %w", x.name, err)
		}
	}
	return nil
}

// endRouters resumes and terminates all processes, and kills those that do not exit within
// exitTimeout.
func (p *play) endRouters() {
	var all []*process
	for _, r := range p.routers {
		r.mu.Lock()
		if !r.ended {
			r.ended = true
			for _, x := range r.procs {
				x.cmd.Process.Signal(syscall.SIGCONT)
				x.term()
				all = append(all, x)
			}
		}
		r.mu.Unlock()
	}
	late := time.NewTimer(exitTimeout)
	defer late.Stop()
	for _, x := range all {
		select {
		case <-x.done:
		case <-late.C:
			for _, x := range all {
				x.cmd.Process.Kill()
			}
			<-x.done
		}
	}
	for _, r := range p.routers {
		if r.held != nil {
			r.held.Close()
			r.held = nil
		}
	}
}

// clearFolder removes everything in a folder.
func clearFolder(path string) error {
	all, err := os.ReadDir(path)
	if err != nil {
		return err
	}
	for _, e := range all {
		if err := os.RemoveAll(filepath.Join(path, e.Name())); err != nil {
			return err
		}
	}
	return nil
}
