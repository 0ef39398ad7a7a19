package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"reachspread/internal/system/settings"
)

// testTimeout is the longest wait of a test for one condition. It does not elapse in a successful
// test.
const testTimeout = 30 * time.Second

// discardLog discards all log lines.
type discardLog struct{}

func (discardLog) Info(string, ...any) {}
func (discardLog) Warn(string, ...any) {}

// testFleet is a fleet of routers on loopback addresses, for tests. The first routers have disks.
type testFleet struct {
	t      *testing.T
	subnet byte // the third byte of all addresses
	ports  struct{ internal, front, ready, control int }
	nodes  []*runningNode

	disks           int     // number of routers with a disk; these may be members of the register
	disklessMembers int     // number of further routers that may be members without a disk
	revocationMs    float64 // bounds.revocationMs of all routers
}

// runningNode is a router of a testFleet in its current incarnation.
type runningNode struct {
	*Node
	ip      string
	ended   chan error         // receives the result of Run
	cancel  context.CancelFunc // makes the router drain
	reloads chan *settings.Settings
}

// nextSubnet is a counter from which reserveSubnet derives the next subnet to try: the third byte
// of the addresses of a fleet.
var nextSubnet atomic.Uint32

// reserveSubnet returns a subnet that no other fleet uses, in this process or in another one that
// runs these tests at the same time. It reserves the subnet by a listener on an address in it that
// no router uses.
func reserveSubnet(t *testing.T) byte {
	t.Helper()
	const subnets, reservation = 256, 250
	for range subnets {
		number := byte(nextSubnet.Add(1))
		held, err := net.Listen("tcp4", fmt.Sprintf("127.77.%d.%d:7680", number, reservation))
		if err == nil {
			t.Cleanup(func() { held.Close() })
			return number
		}
	}
	t.Fatal("no free subnet of 127.77.0.0/16 for the fleet")
	return 0
}

func newFleet(t *testing.T, routers, disks int) *testFleet {
	t.Helper()
	return startFleet(t, routers, disks, 0)
}

func startFleet(t *testing.T, routers, disks, disklessMembers int) *testFleet {
	t.Helper()
	return startFleetOf(t, &testFleet{disks: disks, disklessMembers: disklessMembers, revocationMs: 5000}, routers)
}

// startWithRevocation starts a fleet with the given bounds.revocationMs: its routers honour keys
// only while their configuration was confirmed within that time.
func startWithRevocation(t *testing.T, routers, disks int, revocationMs float64) *testFleet {
	t.Helper()
	return startFleetOf(t, &testFleet{disks: disks, revocationMs: revocationMs}, routers)
}

func startFleetOf(t *testing.T, f *testFleet, routers int) *testFleet {
	t.Helper()
	f.t, f.subnet = t, reserveSubnet(t)
	f.ports.internal, f.ports.front, f.ports.ready, f.ports.control = 7680, 8662, 8663, 8665
	for i := range routers {
		f.nodes = append(f.nodes, &runningNode{ip: fmt.Sprintf("127.77.%d.%d", f.subnet, i+1)})
	}
	folder := t.TempDir()
	for i := range f.nodes {
		f.start(i, folder, true)
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.crash()
			<-n.ended
		}
	})
	return f
}

// applyMs is bounds.configurationApplyMs of all routers: the time, in ms, within which a change
// must be in force on all of them.
const applyMs = 2000

// seeds is how many of the first routers are seeds.
const seeds = 3

// settingsOf returns the settings of a router. The folder argument is the parent of the routers'
// data directories.
func (f *testFleet) settingsOf(i int, folder string, firstStart bool) *settings.Settings {
	ip := f.nodes[i].ip
	s := &settings.Settings{
		NodeName:            fmt.Sprint("n", i),
		Serves:              []string{settings.ServesClients, settings.ServesControl},
		IPAddress:           ip,
		Zone:                fmt.Sprint("z", i%3),
		InternalPortRange:   []int{f.ports.internal, f.ports.internal},
		FirstStart:          firstStart,
		CountsForQuorum:     i < f.disks+f.disklessMembers,
		HeartbeatIntervalMs: 60_000,
		Zones:               map[string]string{"z0": "r", "z1": "r", "z2": "r"},
		Limits:              settings.Limits{CPUCores: 1, MemoryMb: 64, FileDescriptors: 2000},
		FaultTolerance:      settings.FaultTolerance{Machines: 1},
		Bounds: settings.Bounds{
			GraceS:               3,
			ConfigurationApplyMs: applyMs,
			RevocationClosed:     true,
			RevocationMs:         f.revocationMs,
			RetryBudgetRatio:     1,
			RetryBudgetSlack:     64,
			QuotaWindowS:         8,
			QuotaOvershoot:       0.1,
		},
		ListenAddresses: settings.ListenAddresses{
			Frontend:     fmt.Sprintf("%s:%d", ip, f.ports.front),
			Readiness:    fmt.Sprintf("%s:%d", ip, f.ports.ready),
			ControlPlane: fmt.Sprintf("%s:%d", ip, f.ports.control),
		},
	}
	for _, seed := range f.nodes[:min(seeds, len(f.nodes))] {
		s.SeedNodes = append(s.SeedNodes, fmt.Sprintf("%s:%d", seed.ip, f.ports.control))
	}
	if i < f.disks {
		s.DataDirectory = filepath.Join(folder, s.NodeName)
	}
	return s
}

// start starts a new incarnation of a router and waits until it serves.
func (f *testFleet) start(i int, folder string, firstStart bool) {
	n := f.nodes[i]
	ctx, cancel := context.WithCancel(context.Background())
	n.Node, n.cancel, n.ended = New(f.settingsOf(i, folder, firstStart), discardLog{}), cancel, make(chan error, 1)
	n.reloads = make(chan *settings.Settings)
	node, reloads := n.Node, n.reloads
	go func() { n.ended <- node.Run(ctx, reloads) }()
	select {
	case <-node.started:
	case err := <-n.ended:
		n.ended <- err // the cleanup of the fleet reads it again
		f.t.Fatal(err)
	}
}

// crash ends a router at once, without draining.
func (f *testFleet) crash(i int) {
	f.nodes[i].crash()
	err := <-f.nodes[i].ended
	f.nodes[i].ended <- err // the cleanup of the fleet reads it again
}

func (f *testFleet) control(i int) string {
	return fmt.Sprintf("http://%s:%d", f.nodes[i].ip, f.ports.control)
}

// call calls the control plane of a router with a timeout of 2 s.
func (f *testFleet) call(i int, method, path, body string, header map[string]string) (int, string) {
	f.t.Helper()
	return f.callFor(2*time.Second, i, method, path, body, header)
}

// callFor calls the control plane of a router with a timeout. The status is 0 if the call fails.
func (f *testFleet) callFor(timeout time.Duration, i int, method, path, body string, header map[string]string) (int, string) {
	f.t.Helper()
	r, err := http.NewRequest(method, f.control(i)+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// changeConfiguration sends a configuration change to the given routers in turn until one of them
// gives a definite answer (no 5xx), as operators do. It returns the status of that answer.
func (f *testFleet) changeConfiguration(method, body string, on int64, routers ...int) int {
	f.t.Helper()
	until := time.Now().Add(testTimeout)
	for try := 0; time.Now().Before(until); try++ {
		status, _ := f.call(routers[try%len(routers)], method, "/configuration", body, map[string]string{"If-Match": fmt.Sprint(on)})
		if status != 0 && status/100 != 5 {
			return status
		}
	}
	f.t.Fatal("no answer to an order: no router gave a definite answer to the configuration change")
	return 0
}

// eventually waits until a condition holds, at most for testTimeout.
func (f *testFleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); <-tick.C {
		if holds() {
			return
		}
	}
	f.t.Fatalf("condition not met within %v: %s", testTimeout, what)
}

func (f *testFleet) ready(i int) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", f.nodes[i].ip, f.ports.ready))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// request sends a client's request through a router. The status is 0 if there is no complete
// answer.
func (f *testFleet) request(i int, path, id, key string) (status int, body string) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", f.nodes[i].ip, f.ports.front), time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx", path, id, key)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// host starts a model host that answers each request with its own name, and returns its address.
func (f *testFleet) host(name string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Response-Seal", "seal")
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Write([]byte(name))
	})}
	go server.Serve(ln)
	f.t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

func (f *testFleet) heartbeat(router int, id, service, address, state string, sequence int) (int, string) {
	body, _ := json.Marshal(map[string]any{"service": service, "address": address, "zone": "z0", "state": state, "sequence": sequence})
	return f.call(router, http.MethodPut, "/instances/"+id, string(body), nil)
}

const firstConfiguration = `{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/","kind":"safe","timeoutMs":3000,"targetLatencyMs":500,"service":"s","maxAttempts":2}],` +
	`"services":[{"name":"s"},{"name":"t"}],"tenants":[{"name":"x","apiKeys":["k"],"ratePerS":1000,"burst":1000}]}`

// knowsHost reports whether a router knows a host.
func (f *testFleet) knowsHost(i int, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	h := f.nodes[i].hub
	known, _ := query(ctx, h, func() bool { return h.registry.Get(id) != nil })
	return known
}

// liveRouters returns how many live routers a router sees, itself included.
func (f *testFleet) liveRouters(i int) int {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	h := f.nodes[i].hub
	n, _ := query(ctx, h, func() int { return len(h.members.routers) })
	return n
}
