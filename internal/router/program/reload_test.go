package program

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"reachspread/internal/testbed/scripted"
)

// secondClass is an additional class for the configuration.
const secondClass = `{"name":"chat-v2","effect":"unsafe","streaming":true,"aimNs":8000000000,"hardLimitNs":8000000000}`

// A reload refuses each of these invalid files with a one-line error that names the field and the
// cause.
func TestBrokenReloads(t *testing.T) {
	env := configFile(t, `"effect":"safe"`, `"effect":"safe"`)
	path := env("ROUTER_CONFIG")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	force := load(t, env)
	for _, tt := range []struct{ old, new, want string }{
		{string(good), "", "unexpected end of JSON input"},
		{string(good), "{}", "listen: "},
		{string(good), string(good[:len(good)-5]), "unexpected end of JSON input"},
		{`"name":"n1",`, ``, "name is missing"},
		{`"cores":1.0,`, ``, "limits.cores is 0"},
		{`"aimNs":8000000000,`, ``, "settings.services[0].aimNs is missing"},
		{`,"hardLimitNs":8000000000`, ``, "settings.services[0].hardLimitNs is missing"},
		{`"hardLimitNs":8000000000`, `"hardLimitNs":0`, "settings.services[0].hardLimitNs is 0"},
		{`"hardLimitNs":8000000000`, `"hardLimitNs":-1`, "settings: the times of Classes[0] must be 0 or more"},
		{`"hardLimitNs":8000000000`, `"hardLimitNs":null`, "settings.services[0].hardLimitNs is null; it was a number"},
		{`"hardLimitNs":8000000000`, `"hardLimitNs":"8s"`, "hardLimitNs"},
		{`"hardLimitNs":8000000000`, `"hardLimitNs":1.5`, "hardLimitNs"},
		{`"maxAttempts":3,`, ``, "settings.limits.maxAttempts is missing"},
		{`"maxAttempts":3`, `"maxAttempts":0`, "settings.limits.maxAttempts is 0"},
		{`"maxAttempts":3`, `"maxAttempts":-2`, "settings.limits.maxAttempts is -2"},
		{`"effect":"safe"`, `"effect":"odd"`, "settings.services[0].effect"},
		{`"services":[`, `"services":[{"name":"chat-v2","hardLimitNs":1},`, "settings.services[0].aimNs is missing"},
		{`"services":[`, `"services":[` + secondClass + "," + secondClass + ",", `Classes[1].Name is "chat-v2" a second time`},
		{`"streaming":true`, `"streaming":1`, "streaming"},
	} {
		write(t, path, strings.Replace(string(good), tt.old, tt.new, 1))
		_, err := Reload(env, force)
		if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("file with %.60s: got %v, want one line with %q", tt.new, err, tt.want)
		}
	}
	write(t, path, strings.Replace(string(good), `"services":[`, `"more":{},"services":[`+secondClass+",", 1))
	if _, err := Reload(env, force); err != nil {
		t.Errorf("a file with an additional class and key was refused: %v", err)
	}
}

// A reload refuses a valid file that is truncated at any byte or lacks any one of its keys.
func TestCutReloads(t *testing.T) {
	env := configFile(t, `"services":[`, `"services":[`+secondClass+",")
	path := env("ROUTER_CONFIG")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	force := load(t, env)
	rapid.Check(t, func(t *rapid.T) {
		text := good[:rapid.IntRange(0, len(good)-1).Draw(t, "cut")]
		without := ""
		if rapid.Bool().Draw(t, "or a key") {
			var tree any
			if err := json.Unmarshal(good, &tree); err != nil {
				t.Fatal(err)
			}
			without = dropKey(t, tree)
			if text, err = json.Marshal(tree); err != nil {
				t.Fatal(err)
			}
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Reload(env, force); err == nil {
			t.Errorf("the file without key %q was accepted: %s", without, text)
		}
	})
}

// dropKey removes one key at any depth from a JSON tree and returns its path.
func dropKey(t *rapid.T, tree any) string {
	object, ok := tree.(map[string]any)
	if !ok {
		if list, ok := tree.([]any); ok && len(list) > 0 {
			return dropKey(t, list[rapid.IntRange(0, len(list)-1).Draw(t, "part")])
		}
		return ""
	}
	var keys []string
	for key := range object {
		keys = append(keys, key)
	}
	key := rapid.SampledFrom(keys).Draw(t, "key")
	if _, deep := object[key].(string); !deep && rapid.Bool().Draw(t, "deeper") {
		if below := dropKey(t, object[key]); below != "" {
			return key + "." + below
		}
	}
	delete(object, key)
	return key
}

// An open request keeps the settings of its class, even if a reload changes or removes the class. The
// next request has the new settings. An invalid file changes nothing. Each reload is counted once.
func TestSettingsChangeUnderWay(t *testing.T) {
	hold := make(chan bool)
	host := scripted.NewModel(t, scripted.ModelBehavior{Events: 2, Gate: hold})
	s := startServed(t, []string{scripted.ListEntry("s0", host.Addr, "Ready")})
	s.awaitLog("phase name=serving")
	ends := make(chan string, 1)
	go func() {
		status, body, err := scripted.Do(t, scripted.NewRequest(t, s.addr(), "before", nil))
		ends <- fmt.Sprintln(status, strings.Contains(body, "[DONE]"), err)
	}()
	scripted.Receive(t, host.Started, "an attempt")
	ask := func(id, class string) int {
		status, _, _ := scripted.Do(t, scripted.NewRequest(t, s.addr(), id, map[string]string{"X-Service-Class": class}))
		return status
	}
	reload := func(want string, changes ...string) {
		s.write(changes...)
		s.reload <- syscall.SIGHUP
		s.awaitLog(want)
	}
	for i, broken := range [][]string{{`"maxAttempts":3`, `"maxAttempts":0`}, {`"effect":"safe"`, `"effect":""`, `"aimNs":8000000000,`, ``}} {
		reload("configuration reload refused cause=", broken...)
		s.awaitMetrics(map[string]string{"cfg_invalid_total": fmt.Sprint(i + 1), "cfg_accepted_total": "0"})
	}
	if got := ask("early", "chat-v2"); got != 503 {
		t.Errorf("a request of a class that does not exist yet: got status %d, want 503", got)
	}
	reload("reloaded", `"services":[`, `"services":[`+secondClass+`,`)
	host.Set(scripted.ModelBehavior{Events: 2})
	if got := ask("new", "chat-v2"); got != 200 {
		t.Errorf("a request of an added class: got status %d, want 200", got)
	}
	host.Set(scripted.ModelBehavior{Status: 500})
	if got := ask("unsafe", "chat-v2"); got != 502 {
		t.Errorf("a failed request of an unsafe class: got status %d, want 502, because the server may have run it", got)
	}
	host.Set(scripted.ModelBehavior{Events: 2})
	reload("reloaded", `"name":"chat"`, `"name":"chat-v3"`)
	if got := ask("old", "chat"); got != 503 {
		t.Errorf("a request of a removed class: got status %d, want 503", got)
	}
	scripted.Send(t, hold, true)
	if got := scripted.Receive(t, ends, "the answer under way"); got != fmt.Sprintln(200, true, nil) {
		t.Errorf("the request from before the reloads ended with %s, want status 200 and a complete answer", got)
	}
	reload("reloaded")
	if got := ask("again", "chat"); got != 200 {
		t.Errorf("a request of a class that was added again: got status %d, want 200", got)
	}
	s.awaitMetrics(map[string]string{`fulfilled_total{priority="chat"}`: "2", `fulfilled_total{priority="chat-v2"}`: "1", `faulted_total{priority="chat-v2"}`: "1",
		`throttled_total{priority="chat"}`: "1", `fulfilled_total{priority="chat-v3"}`: "0", "cfg_invalid_total": "2", "cfg_accepted_total": "3"})
	if diff := cmp.Diff(0, len(s.reload)); diff != "" {
		t.Error(diff)
	}
}
