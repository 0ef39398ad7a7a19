package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/internal/testbed/localfleet"
	"reachspread/internal/testbed/pintest"
)

// The data directories below testdata/fleet are those of three routers on 127.82.7.1 to 127.82.7.3,
// written and stopped by the program of commit 5bfcc27:
//
//	go test ./cmd/reachspread -run TestGoldenFleet -write-golden
//
// They are never written again: a later version has to go on from them as they are. They hold
// addresses, so a fleet on them needs the same ones.
var writeGolden = flag.Bool("write-golden", false, "write testdata/fleet in place of a start on it")

const (
	goldenFleetPath    = "testdata/fleet"
	goldenFleetNetwork = "127.82.7"
	goldenRouters      = 3
	goldenTimeout      = 40 * time.Second
	goldenPollInterval = 50 * time.Millisecond
	goldenCallTimeout  = 10 * time.Second // a change of the pins waits until it is in force
)

// goldenOrder is an order to the control plane that was acknowledged.
type goldenOrder struct{ method, path, ifMatch, body string }

// The orders of the golden fleet, in their order.
var goldenOrders = []goldenOrder{
	{http.MethodPut, "/configuration", "0", `{"version":3,"services":[{"name":"s"}]}`},
	{http.MethodPut, "/configuration", "3", `{"version":7,"routes":[` +
		`{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":3000,"targetLatencyMs":500,"service":"s","maxAttempts":3},` +
		`{"name":"unsafe","host":"h.example","pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":3000,"service":"s","maxAttempts":1}],` +
		`"services":[{"name":"s"},{"name":"gone"}],` +
		`"tenants":[{"name":"x","apiKeys":["k"],"ratePerS":5,"burst":20},{"name":"y","apiKeys":["l","l2"],"priority":2}],"unknown":{"kept":[1,2.50,"as it is"]}}`},
	{http.MethodPatch, "/configuration", "7", `{"version":12,"upsert":{"routes":[{"name":"third","host":"h2.example","pathPrefix":"/","kind":"safe","timeoutMs":1500,"service":"t"}],` +
		`"services":[{"name":"t"}]},"remove":{"services":["gone"]}}`},
	{http.MethodPut, "/pins/p", "0", `{"tenant":"x","model":"m","version":1,"by":"ann","why":"a trial"}`},
	{http.MethodPut, "/pins/all", "1", `{"route":"unsafe","model":"other","version":4,"by":"bob","why":"frozen"}`},
	{http.MethodPut, "/pins/p", "2", `{"tenant":"x","route":"safe","model":"m","version":2,"by":"ann","why":"the next one"}`},
	{http.MethodDelete, "/pins/all", "3", `{"by":"bob","why":"over"}`},
}

// A fleet starts on the data directories of an earlier version: the configuration, the pins, their
// history, the hosts that were known and the identities are as they were; orders that were
// acknowledged then are known again, and new ones go on from there.
func TestGoldenFleet(t *testing.T) {
	if *writeGolden {
		writeGoldenFleet(t)
		return
	}
	g := startGoldenFleet(t)
	g.until("the configuration is read", func() bool { return g.get("/configuration") != "" })
	for file, read := range g.content() {
		g.compare(file, read)
	}
	for _, o := range goldenOrders {
		code, text := g.order(o)
		if code != http.StatusOK {
			t.Errorf("%s %s that was acknowledged before: %d %s", o.method, o.path, code, text)
		}
	}
	g.compare(historyFile, g.content()[historyFile]) // none of them was made again
	for _, o := range []struct {
		order goldenOrder
		code  int
	}{
		{goldenOrder{http.MethodPut, "/configuration", "7", `{"version":13,"services":[{"name":"s"}]}`}, http.StatusPreconditionFailed},
		{goldenOrder{http.MethodPut, "/pins/p", "3", `{"tenant":"x","model":"m","version":9,"by":"ann","why":"stale"}`}, http.StatusPreconditionFailed},
		{goldenOrder{http.MethodPatch, "/configuration", "12", `{"version":13,"remove":{"routes":["third"]}}`}, http.StatusOK},
		{goldenOrder{http.MethodDelete, "/pins/p", "4", `{"by":"ann","why":"done"}`}, http.StatusOK},
	} {
		code, text := g.order(o.order)
		if code != o.code {
			t.Errorf("%s %s: %d %s, not %d", o.order.method, o.order.path, code, text, o.code)
		}
	}
}

// goldenFleet is a fleet of the golden directories.
type goldenFleet struct {
	*processes
	is *is.I
}

func startGoldenFleet(t *testing.T) *goldenFleet {
	t.Helper()
	is := is.New(t)
	f := &processes{t: t, folder: t.TempDir()}
	f.Fleet = localfleet.New(localfleet.Options{Folder: f.folder, Network: goldenFleetNetwork, Routers: goldenRouters, Disks: goldenRouters,
		Executable: []string{os.Args[0], "router"}, Environment: func(int) []string { return []string{asRouter + "=1"} },
		HeartbeatMs: heartbeatMs, RevocationMs: goldenRevocationMs})
	t.Cleanup(f.KillAll)
	if *writeGolden {
		is.NoErr(os.RemoveAll(goldenFleetPath))
		is.NoErr(os.MkdirAll(goldenFleetPath, 0o755))
	} else {
		is.NoErr(os.CopyFS(f.folder, os.DirFS(filepath.Join(goldenFleetPath, "data"))))
	}
	f.must(f.StartAll())
	return &goldenFleet{f, is}
}

const historyFile = "history.json"

// content is what is compared, by the golden file that has it.
func (g *goldenFleet) content() map[string]func() string {
	return map[string]func() string{
		"configuration.json": func() string { return g.get("/configuration") },
		"pins.json":          func() string { return g.get("/pins") },
		historyFile:          func() string { return g.get("/pins/history") },
		"status":             g.statuses,
	}
}

// goldenRevocationMs bounds how long a change of the pins takes.
const goldenRevocationMs = 1000

// until waits for something.
func (g *goldenFleet) until(what string, done func() bool) {
	g.t.Helper()
	for until := time.Now().Add(goldenTimeout); time.Now().Before(until); time.Sleep(goldenPollInterval) {
		if done() {
			return
		}
	}
	logs, _ := os.ReadFile(g.Log(0))
	g.t.Fatalf("never: %s; the log of the first router:\n%s", what, logs)
}

// pinHosts is how many hosts a pin has, which is counted anew in each life.
var pinHosts = regexp.MustCompile(`,"hosts":\{[^}]*\}`)

// get reads a path of the control plane, empty without an answer. Counts of hosts are left out.
func (g *goldenFleet) get(path string) string {
	code, text := g.call(goldenOrder{http.MethodGet, path, "", ""}, 0)
	if code != http.StatusOK {
		return ""
	}
	return pinHosts.ReplaceAllString(text, "")
}

// order sends an order until it has a clear answer.
func (g *goldenFleet) order(o goldenOrder) (code int, text string) {
	g.t.Helper()
	router := 0
	g.until(o.method+" "+o.path+" has a clear answer", func() bool {
		code, text = g.call(o, router%goldenRouters)
		router++
		return code != 0 && code != http.StatusAccepted && code/100 != 5
	})
	return code, text
}

// call makes one call of the control plane; the code is 0 without an answer.
func (g *goldenFleet) call(o goldenOrder, router int) (code int, text string) {
	ctx, cancel := context.WithTimeout(g.t.Context(), goldenCallTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, o.method, "http://"+g.Control(router)+o.path, strings.NewReader(o.body))
	g.is.NoErr(err)
	if o.ifMatch != "" {
		r.Header.Set("If-Match", o.ifMatch)
	}
	r.Close = true
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(body)
}

// compare reads something again and again until it is what a golden file says.
func (g *goldenFleet) compare(file string, read func() string) {
	g.t.Helper()
	want, err := os.ReadFile(filepath.Join(goldenFleetPath, file))
	g.is.NoErr(err)
	var got string
	for until := time.Now().Add(goldenTimeout); time.Now().Before(until); time.Sleep(goldenPollInterval) {
		if got = read(); got == string(want) {
			return
		}
	}
	g.t.Errorf("%s would be\n%s\nand was\n%s", file, got, want)
}

// goldenStatus is the part of a router's status that has to be as it was.
type goldenStatus struct {
	Register struct {
		Replica struct {
			Identity string `json:"identity"`
		} `json:"replica"`
	} `json:"register"`
	Services []goldenService `json:"services"`
}

type goldenService struct {
	Name  string `json:"name"`
	Hosts []struct {
		ID      string `json:"id"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Models  []struct {
			Name    string `json:"name"`
			Version int64  `json:"version"`
		} `json:"models"`
	} `json:"hosts"`
}

// statuses is a line for each router: its identity as a machine of the register, and the hosts that
// it knows.
func (g *goldenFleet) statuses() string {
	var all strings.Builder
	for i := range goldenRouters {
		answer, err := http.Get("http://" + g.Readiness(i) + "/status")
		if err != nil {
			return err.Error()
		}
		var s goldenStatus
		err = json.NewDecoder(answer.Body).Decode(&s)
		answer.Body.Close()
		if err != nil {
			return err.Error()
		}
		fmt.Fprintf(&all, "%s %s %v\n", g.Name(i), s.Register.Replica.Identity, s.Services)
	}
	return all.String()
}

// startHosts starts two hosts of model m, and waits until all routers know them.
func (g *goldenFleet) startHosts() {
	for i, version := range []int64{1, 2} {
		h, err := pintest.NewHost(fmt.Sprint("i-", i), version)
		g.is.NoErr(err)
		g.t.Cleanup(h.Close)
		address := fmt.Sprintf("%s.%d:9000", goldenFleetNetwork, 11+i)
		listener, err := net.Listen("tcp", address)
		g.is.NoErr(err)
		server := &http.Server{Handler: h}
		go server.Serve(listener)
		g.t.Cleanup(func() { server.Close() })
		body := fmt.Sprintf(`{"service":"s","address":"%s","zone":"z%d","state":"ready","sequence":1,"models":[{"name":"m","version":%d}]}`, address, i, version)
		code, text := g.order(goldenOrder{http.MethodPut, "/instances/" + h.ID, "", body})
		if code != http.StatusOK {
			g.t.Fatal(code, text)
		}
	}
	g.until("all know the hosts", func() bool { return strings.Count(g.statuses(), "i-1") == goldenRouters })
}

// writeGoldenFleet makes the golden directories: orders, hosts, requests under a tenant's limit,
// and a stop of all routers.
func writeGoldenFleet(t *testing.T) {
	g := startGoldenFleet(t)
	g.until("the control plane answers", func() bool { code, _ := g.call(goldenOrders[0], 0); return code == http.StatusOK })
	for _, o := range goldenOrders {
		code, text := g.order(o)
		t.Log(o.method, o.path, code, text)
		g.is.Equal(code, http.StatusOK)
	}
	g.must(g.Wipe(goldenRouters - 1)) // it gets all of the state in one piece, and reads are answered from that
	g.start(goldenRouters - 1)
	g.untilChainHealthy(goldenRouters)
	g.startHosts()
	s := pintest.NewScenario([]string{g.Front(0), g.Front(1), g.Front(2)}, nil, nil)
	for n := range 12 {
		router := n % goldenRouters
		g.until("a request is served", func() bool { return s.Send(router, pintest.SafePath).Status == http.StatusOK })
	}
	kept := func() (usage bool) {
		for i := range goldenRouters {
			text, _ := os.ReadFile(filepath.Join(g.folder, g.Name(i), "kept"))
			usage = usage || bytes.Contains(text, []byte("\n\x01x"))
		}
		return usage
	}
	g.until("the use is kept", kept)
	for file, read := range g.content() {
		g.is.NoErr(os.WriteFile(filepath.Join(goldenFleetPath, file), []byte(read()), 0o644))
	}
	for i := range goldenRouters {
		g.is.NoErr(g.Terminate(i))
	}
	for i := range goldenRouters {
		e, ok := g.AwaitExit(t.Context(), i)
		t.Log(e, ok)
	}
	t.Log("kept at the end:", kept())
	for i := range goldenRouters {
		g.is.NoErr(os.CopyFS(filepath.Join(goldenFleetPath, "data", g.Name(i)), os.DirFS(filepath.Join(g.folder, g.Name(i)))))
	}
}
