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

// testdata/fleet contains the data directories of three routers on 127.82.7.1 to 127.82.7.3. The
// program of commit 5bfcc27 wrote them and was then stopped:
//
//	go test ./cmd/reachspread -run TestGoldenFleet -write-golden
//
// The directories are never written again, because every later version must be able to start on them
// unchanged. They contain addresses, so a fleet that starts on them needs the same addresses.
var writeGolden = flag.Bool("write-golden", false, "write testdata/fleet instead of starting a fleet on it")

const (
	goldenFleetPath    = "testdata/fleet"
	goldenFleetNetwork = "127.82.7"
	goldenRouters      = 3
	goldenTimeout      = 40 * time.Second
	goldenPollInterval = 50 * time.Millisecond
	goldenCallTimeout  = 10 * time.Second // long, because a change of the pins is answered only once it is in force
)

// goldenOrder is a call to the control plane, mostly an order that the golden fleet acknowledged.
type goldenOrder struct{ method, path, ifMatch, body string }

// goldenOrders are the orders that the golden fleet acknowledged, in the sequence in which they were
// sent.
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

// A fleet can start on the data directories of an earlier version. The configuration, the pins and
// their history, the known hosts and the identities are unchanged. The fleet acknowledges again each
// order that it acknowledged before, without executing it twice. New orders build on the old state.
func TestGoldenFleet(t *testing.T) {
	if *writeGolden {
		writeGoldenFleet(t)
		return
	}
	g := startGoldenFleet(t)
	g.until("the configuration can be read", func() bool { return g.get("/configuration") != "" })
	for file, read := range g.content() {
		g.compare(file, read)
	}
	for _, o := range goldenOrders {
		code, text := g.order(o)
		if code != http.StatusOK {
			t.Errorf("%s %s, which was acknowledged before, is answered with %d %s", o.method, o.path, code, text)
		}
	}
	g.compare(historyFile, g.content()[historyFile]) // no order was executed a second time
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
			t.Errorf("%s %s: got %d %s, want %d", o.order.method, o.order.path, code, text, o.code)
		}
	}
}

// goldenFleet is a fleet that runs on a copy of the golden directories, or that writes them.
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

// content returns, for each golden file, the function that reads its content from the fleet.
func (g *goldenFleet) content() map[string]func() string {
	return map[string]func() string{
		"configuration.json": func() string { return g.get("/configuration") },
		"pins.json":          func() string { return g.get("/pins") },
		historyFile:          func() string { return g.get("/pins/history") },
		"status":             g.statuses,
	}
}

// goldenRevocationMs is the setting that bounds how long a change of the pins takes, in milliseconds.
const goldenRevocationMs = 1000

// until waits until done reports true. It fails the test after goldenTimeout.
func (g *goldenFleet) until(what string, done func() bool) {
	g.t.Helper()
	for until := time.Now().Add(goldenTimeout); time.Now().Before(until); time.Sleep(goldenPollInterval) {
		if done() {
			return
		}
	}
	logs, _ := os.ReadFile(g.Log(0))
	g.t.Fatalf("condition never reached: %s; the log of the first router:\n%s", what, logs)
}

// pinHosts matches the number of hosts of a pin, which a router counts anew after each start.
var pinHosts = regexp.MustCompile(`,"hosts":\{[^}]*\}`)

// get reads a path of the control plane, without the host counts of pins. It returns an empty string
// unless the router answers with 200.
func (g *goldenFleet) get(path string) string {
	code, text := g.call(goldenOrder{http.MethodGet, path, "", ""}, 0)
	if code != http.StatusOK {
		return ""
	}
	return pinHosts.ReplaceAllString(text, "")
}

// order sends an order to one router after the other until its outcome is known.
func (g *goldenFleet) order(o goldenOrder) (code int, text string) {
	g.t.Helper()
	router := 0
	g.until(o.method+" "+o.path+" has a known outcome", func() bool {
		code, text = g.call(o, router%goldenRouters)
		router++
		return code != 0 && code != http.StatusAccepted && code/100 != 5
	})
	return code, text
}

// call makes one call to a router's control plane. The code is 0 if there is no complete answer.
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

// compare calls read repeatedly until it returns the content of a golden file. It reports an error
// after goldenTimeout.
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
	g.t.Errorf("%s: the fleet returns\n%s\nthe golden file has\n%s", file, got, want)
}

// goldenStatus is the part of a router's status that must equal the golden file.
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

// statuses returns one line for each router, with its identity as a machine of the register and the
// hosts that it knows.
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

// startHosts starts two hosts that serve model m, and waits until all routers know both.
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
	g.until("all routers know the hosts", func() bool { return strings.Count(g.statuses(), "i-1") == goldenRouters })
}

// writeGoldenFleet writes the golden directories. It sends the orders, starts hosts, sends requests
// under a tenant's limit and then terminates all routers.
func writeGoldenFleet(t *testing.T) {
	g := startGoldenFleet(t)
	g.until("the control plane answers", func() bool { code, _ := g.call(goldenOrders[0], 0); return code == http.StatusOK })
	for _, o := range goldenOrders {
		code, text := g.order(o)
		t.Log(o.method, o.path, code, text)
		g.is.Equal(code, http.StatusOK)
	}
	g.must(g.Wipe(goldenRouters - 1)) // this router then receives the complete state at once and answers reads from it
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
	g.until("a router has stored the tenant's usage", kept)
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
	t.Log("tenant usage still stored at the end:", kept())
	for i := range goldenRouters {
		g.is.NoErr(os.CopyFS(filepath.Join(goldenFleetPath, "data", g.Name(i)), os.DirFS(filepath.Join(g.folder, g.Name(i)))))
	}
}
