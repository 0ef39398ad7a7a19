package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/status"
)

const inForceConfiguration = `{"version":5,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe","timeoutMs":1000,"service":"s"}],"services":[{"name":"s"},{"name":"t"}]}`

// configurationServer starts a control plane stand-in. It returns the same configuration to each read
// and answers the nth order with the nth of the given answers, or with the last one if there are
// fewer. It records the orders.
func configurationServer(t *testing.T, answers ...func(w http.ResponseWriter)) (at string, orders *[]order) {
	t.Helper()
	orders = &[]order{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			io.WriteString(w, inForceConfiguration)
			return
		}
		text, _ := io.ReadAll(r.Body)
		*orders = append(*orders, order{r.Method, r.URL.Path, r.Header.Get("If-Match"), string(text)})
		answers[min(len(*orders), len(answers))-1](w)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), orders
}

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "order.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// An order builds on the newest version unless --if-match gives another one. The command retries the
// unchanged order until its outcome is known.
func TestConfigurationOrderIsAcknowledged(t *testing.T) {
	is := is.New(t)
	at, orders := configurationServer(t, answers(503, ""), answers(200, `{"version":9}`))
	text, err := run("fleet", "configuration", "put", file(t, `{"version":9,"services":[{"name":"s"}]}`), "--control", at)
	is.NoErr(err)
	is.Equal(text, "version 9 is acknowledged, on top of version 5")
	want := order{"PUT", "/configuration", "5", `{"version":9,"services":[{"name":"s"}]}`}
	is.Equal(*orders, []order{want, want})
	_, err = run("fleet", "configuration", "patch", file(t, `{"version":7,"remove":{"services":["t"]}}`), "--control", at, "--if-match", "6")
	is.NoErr(err)
	is.Equal((*orders)[2], order{"PATCH", "/configuration", "6", `{"version":7,"remove":{"services":["t"]}}`})
}

// The command rejects an invalid order with a one-line error and does not call the control plane. If
// the control plane itself rejects an order, the command returns the reason.
func TestRejectedConfigurationNamesTheReason(t *testing.T) {
	is := is.New(t)
	at, orders := configurationServer(t, answers(412, `{"version":5,"text":"version 5 is in force, not 4"}`))
	for _, text := range []string{`{"version":9,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe","timeoutMs":0,"service":"s"}],"services":[{"name":"s"}]}`, `{"version":`} {
		_, err := run("fleet", "configuration", "put", file(t, text), "--control", at)
		is.True(err != nil && !strings.Contains(err.Error(), "\n"))
	}
	is.Equal(len(*orders), 0)
	_, err := run("fleet", "configuration", "put", file(t, `{"version":9}`), "--control", at, "--if-match", "4")
	is.True(err != nil && strings.Contains(err.Error(), "version 5 is in force"))
}

// The diff command prints the names of the items that a file would change, or with --patch a patch
// that makes the same change.
func TestConfigurationDiffPrintsChanges(t *testing.T) {
	is := is.New(t)
	at, _ := configurationServer(t)
	next := file(t, strings.Replace(strings.Replace(inForceConfiguration, `"version":5`, `"version":6`, 1), `,{"name":"t"}`, `,{"name":"u"}`, 1))
	text, err := run("fleet", "configuration", "diff", next, "--control", at)
	is.NoErr(err)
	is.True(strings.Contains(text, "version 5 to version 6"))
	is.True(strings.Contains(text, "services u added"))
	is.True(strings.Contains(text, "services t removed"))
	text, err = run("fleet", "configuration", "diff", next, "--control", at, "--patch")
	is.NoErr(err)
	is.Equal(text, `{"version":6,"upsert":{"services":[{"name":"u"}]},"remove":{"services":["t"]}}`)
	text, err = run("fleet", "configuration", "get", "--control", at)
	is.NoErr(err)
	is.True(strings.HasPrefix(text, `{ "version": 5,`))
}

func TestHistoryNamesChangesOfEachVersion(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	printHistory(&out, []routerAnswer{{At: "a:1", Status: &status.Router{Name: "n0", Configuration: status.Configuration{History: []status.Revision{
		{Version: 7, ActiveSeconds: 2, Changes: []configuration.ListChange{{List: "routes", Added: []string{"a", "b", "c", "d", "e", "f"}, Removed: []string{"z"}}}},
		{Version: 5, ActiveSeconds: 60},
	}}}}})
	is.Equal(out.String(), "n0 at a:1\nversion  came in force  changes\n7        2s ago         routes: +a,b,c,d,e and 1 more -z\n5        1m0s ago       -\n")
}
