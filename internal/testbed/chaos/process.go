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

// starter starts processes from one thread that lives as long as it does. The kernel kills each of
// them when that thread ends, in whatever way the rig did.
type starter struct{ todo chan func() }

func newStarter() starter {
	s := starter{make(chan func())}
	go s.serve()
	return s
}

// serve does what there is to do on a thread that ends with it. The program's first thread never
// ends before the program does: Go parks it. Where this goroutine was given that one it keeps it,
// so that the next can't be, until that has ended.
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
	for f := range s.todo { // and never unlocked
		f()
	}
}

func (s starter) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // Ctrl-C is the rig's to hear
	done := make(chan error)
	s.todo <- func() { done <- cmd.Start() }
	return <-done
}

func (s starter) close() { close(s.todo) }

// router is one router's place: its folders, its listener, and the processes that have it by now.
type router struct {
	p        *play
	n        int
	folder   string
	held     *os.File // the clients' listener, nil where processes open their own
	settings string   // the file that processes are told of, empty for none

	mu        sync.Mutex
	procs     []*process // that live, the oldest first
	count     int        // started so far
	down      int        // faults that keep it from running
	paused    int        // faults that have it stand still
	ended     bool       // the play is over
	resumedAt time.Time  // when it was last made to go on
}

// process is one process of a router.
type process struct {
	name        string
	r           *router
	cmd         *exec.Cmd
	management  string
	done        chan bool // closed once it has ended and all it wrote is read
	twin        bool
	terminated  atomic.Bool // it was sent SIGTERM
	loggedPhase bool        // it has named a phase: its management address answers
	logFileOnly bool        // what it writes from now on goes to its file alone
}

func (r *router) name() string { return "r" + strconv.Itoa(r.n) }

func (r *router) disk() string  { return filepath.Join(r.folder, "disk") }
func (r *router) older() string { return filepath.Join(r.folder, "older") }
func (r *router) tmp() string   { return filepath.Join(r.folder, "tmp") }

// openRouters makes what routers need before they start.
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
			ln.Close() // the file is another descriptor of the same socket
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

// fleetFields are those of a router's block fleet: none where the configuration names its peers.
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

// configure writes the configuration that processes read.
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

// begin starts a process. Why is empty for the first one.
func (r *router) begin(why string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := r.beginLocked(why)
	return err
}

func (r *router) beginLocked(why string) (*process, error) {
	if r.ended {
		return nil, errEnded
	}
	r.count++
	if r.p.eligibleVoters() > 0 && len(r.procs) == 0 { // for a disk that is older
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

// Why processes start.
const (
	twinStart    = "twin"
	againStart   = "again"
	replaceStart = "replace"
)

var errEnded = errors.New("the play is over")

// follow reads what a process writes until it ends.
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

// awaitExit waits until the process has ended, and returns the event that says so.
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

// wrote puts a line of its log into the history.
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

// term tells a process to end.
func (x *process) term() {
	x.terminated.Store(true)
	x.r.p.recorder.add(history.Event{What: history.Term, Who: x.name})
	x.cmd.Process.Signal(syscall.SIGTERM)
}

// call makes a call at a process's management address.
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

// newest is the process that takes clients last, nil for none.
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

// kill ends all processes of a router at once, and keeps it from starting until as many revives.
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

// revive takes one kill back, and starts a process if it was the last, after prepare has seen to
// the folder.
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

// still has all processes of a router stand still, or go on once nothing has them stand still any
// more.
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

// fileLimit has no file of the router's processes grow, or lets them.
func (r *router) fileLimit(none bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if none {
		limit.Cur = 0
	}
	for _, x := range r.procs {
		if err := unix.Prlimit(x.pid(), unix.RLIMIT_FSIZE, &limit, nil); err != nil && !errors.Is(err, unix.ESRCH) {
			return fmt.Errorf("%s: a limit on files: %w", x.name, err)
		}
	}
	return nil
}

// endRouters tells all processes to end, and kills what has not in time.
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

// clearFolder empties a folder.
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
