package fleetdemo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"text/template"
	"time"

	"reachspread/internal/system/settings"
)

const (
	internalPort = 7680
	frontPort    = 8662
	readyPort    = 8663
	controlPort  = 8665
	coreMachines = 3
	readyWithin  = 30 * time.Second
	askAgain     = 50 * time.Millisecond
)

// router is one process of the fleet.
type router struct {
	Name, IP   string
	Zone       int
	Core       bool // it has a disk, and counts
	Data       string
	First      bool
	Seeds      []string
	Ports      ports
	process    *exec.Cmd
	ended      chan error
	settings   string // its file
	executable []string
}

type ports struct{ Internal, Front, Ready, Control int }

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
heartbeatIntervalMs = 1000

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
fileDescriptors = 1000
linkMbps = 1000.0

[faultTolerance]
machines = 1

[bounds]
graceS = 3
revocationClosed = true
revocationMs = 2000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetSlack = 64
quotaWindowS = 8
quotaOvershoot = 0.1
`))

// newRouters lays out a fleet of which the first ones are the core. Network is the third byte of their loopback addresses.
func newRouters(folder string, network byte, count int, executable []string) (all []*router) {
	var seeds []string
	for i := range count {
		r := &router{Name: fmt.Sprint("router-", i+1), IP: fmt.Sprintf("127.79.%d.%d", network, i+1), Zone: i % coreMachines, Core: i < coreMachines, First: true,
			Ports: ports{internalPort, frontPort, readyPort, controlPort}, executable: executable}
		r.settings = filepath.Join(folder, r.Name+".toml")
		if r.Core {
			r.Data = filepath.Join(folder, r.Name)
			seeds = append(seeds, r.address(controlPort))
		}
		all = append(all, r)
	}
	for _, r := range all {
		r.Seeds = seeds
	}
	return all
}

func (r *router) address(port int) string { return net.JoinHostPort(r.IP, fmt.Sprint(port)) }

// start begins a life of a router.
func (r *router) start() error {
	file, err := os.Create(r.settings)
	if err != nil {
		return err
	}
	if err := errors.Join(settingsText.Execute(file, r), file.Close()); err != nil {
		return err
	}
	r.First = false
	log, err := os.OpenFile(r.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.process = exec.Command(r.executable[0], r.executable[1:]...)
	r.process.Env = append(os.Environ(), settings.PathVariable+"="+r.settings)
	r.process.Stderr = log
	if err := r.process.Start(); err != nil {
		return err
	}
	ended, process := make(chan error, 1), r.process
	r.ended = ended
	go func() { ended <- process.Wait() }()
	return nil
}

// kill ends a router at once.
func (r *router) kill() {
	if r.process == nil {
		return
	}
	r.process.Process.Kill()
	<-r.ended
	r.process = nil
}

// untilReady waits until a router says that clients may come.
func (r *router) untilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address(readyPort)+"/readiness", nil)
		if err != nil {
			return err
		}
		request.Close = true
		if answer, err := http.DefaultClient.Do(request); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is never ready; its log is %s.log", r.Name, r.settings)
		case <-time.After(askAgain):
		}
	}
}
