package scaletest

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	viewPollInterval = 50 * time.Millisecond
	callTimeout      = time.Second
)

// process is a real router process. It has no hosts and no clients, so that the membership protocol
// accounts for its resource usage.
type process struct {
	name, zone string
	addr       netip.AddrPort // sends and receives membership datagrams
	management string         // address of the management interface
	cmd        *exec.Cmd
	done       chan struct{} // closed after the process has exited
	polled     *atomic.Bool  // whether poll reads the view; answering costs the process more than the membership protocol
	living     atomic.Int64  // number of members in the view when poll last read it
	polling    sync.WaitGroup
}

// configuration is the format of a minimal router configuration. Its arguments are the router's
// name, the address for clients, the address of a discovery service that does not exist, and the
// zone.
const configuration = `{"name": %q, "listen": %q, "discovery": %q, "seed": "1",
 "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
 "settings": {"az": %q, "discovery": "push", "quantumNs": 5000000,
  "services": [{"name": "chat", "effect": "safe", "group": "all", "aimNs": 1000000000, "hardLimitNs": 5000000000, "gain": 1, "streaming": true}],
  "limits": {"maxAttempts": 3, "connectTimeoutNs": 50000000, "keepaliveNs": 15000000000},
  "rules": {"coldNs": 8000000000, "overloadFactor": 2.5, "startCapacity": 0.3, "tipAfterNs": 3000000000}}}
`

// start starts the process. The process is killed when ctx ends.
func (x *process) start(ctx context.Context, program, folder string, seeds []netip.AddrPort) error {
	folder = filepath.Join(folder, x.name)
	if err := os.Mkdir(folder, 0o755); err != nil {
		return err
	}
	var quoted []string
	for _, s := range seeds {
		quoted = append(quoted, strconv.Quote(s.String()))
	}
	files := map[string]string{
		"config.json":  fmt.Sprintf(configuration, x.name, "127.0.0.1:0", "127.0.0.1:1", x.zone),
		"settings.hcl": fmt.Sprintf("fleet {\n  listen = %q\n  address = %q\n  seeds = [%s]\n}\n", x.addr, x.addr, strings.Join(quoted, ", ")),
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644); err != nil {
			return err
		}
	}
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own file descriptor
	x.cmd = exec.CommandContext(ctx, program, "serve", "--settings", filepath.Join(folder, "settings.hcl"))
	x.cmd.Env = []string{"ROUTER_CONFIG=" + filepath.Join(folder, "config.json"), "ROUTER_MANAGEMENT=" + x.management, "TMPDIR=" + folder, "PATH=" + os.Getenv("PATH")}
	x.cmd.Stderr = log
	if err := x.cmd.Start(); err != nil {
		return err
	}
	x.done = make(chan struct{})
	go func() { // ends when the process exits
		x.cmd.Wait()
		close(x.done)
	}()
	x.polling.Go(x.poll)
	return nil
}

// poll reads the size of the view once per viewPollInterval while polled is set. It returns when the
// process exits.
func (x *process) poll() {
	for {
		if x.polled.Load() {
			if figures, err := x.figures(); err == nil {
				x.living.Store(int64(figures["fleet_members"]))
			}
		}
		select {
		case <-x.done:
			x.living.Store(0)
			return
		case <-time.After(viewPollInterval):
		}
	}
}

// stop kills the process and waits for its exit.
func (x *process) stop() {
	if x.cmd == nil || x.cmd.Process == nil {
		return
	}
	x.cmd.Process.Kill()
	<-x.done
	x.polling.Wait()
}

// figures reads the metrics that have no labels from the management address. The keys are the names
// of the metrics without the prefix.
func (x *process) figures() (map[string]float64, error) {
	conn, err := net.DialTimeout("tcp", x.management, callTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(callTimeout))
	if _, err := fmt.Fprintln(conn, "vars"); err != nil {
		return nil, err
	}
	all := map[string]float64{}
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		if lines.Text() == "." {
			return all, nil
		}
		name, text, _ := strings.Cut(strings.TrimPrefix(lines.Text(), "edge_router_"), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			all[name] = value
		}
	}
	return nil, fmt.Errorf("%s: the answer to the management command vars ended before its last line \".\"", x.name)
}

// usage is the processor time that a process has used so far, and its resident memory.
type usage struct {
	cpu      time.Duration
	memoryMB float64
}

// usage reads the processor time of all threads and the resident memory from /proc.
func (x *process) usage() (u usage, err error) {
	root := fmt.Sprintf("/proc/%d", x.cmd.Process.Pid)
	tasks, err := filepath.Glob(root + "/task/*/schedstat")
	if err != nil {
		return u, err
	}
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if err != nil {
			continue // the thread has ended since the files were listed
		}
		var ran int64
		fmt.Sscan(string(text), &ran)
		u.cpu += time.Duration(ran)
	}
	status, err := os.ReadFile(root + "/status")
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kB float64
			fmt.Sscan(rest, &kB)
			u.memoryMB = kB / 1024
		}
	}
	return u, nil
}
