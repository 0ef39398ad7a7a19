package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/protocol"
	"reachspread/internal/testbed/hostmodel"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/testbed/simulator"
)

const ms = time.Millisecond

func config() hostmodel.Config {
	return hostmodel.Config{Slots: 2, Queue: 1, Memory: 10000, Chunk: 1000, Block: 10, Base: 2 * ms, ReadPerS: 1e6, MaxConnections: 20, CachesAnswers: true}
}

func startHost(t *testing.T, c hostmodel.Config) *Host {
	t.Helper()
	h, err := NewHost("h1", "127.0.0.1:0", c, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

func ask(t *testing.T, h *Host, id string, out int) (*http.Response, error) {
	t.Helper()
	r := scripted.NewRequest(t, h.Addr, id, nil)
	body := fmt.Sprintf(`{"stream":true,"lab_out":%d,"lab_prompt":100,"lab_session":"s"}`, out)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	return http.DefaultTransport.RoundTrip(r)
}

// An answer is a stream of events in the platform's format. The stream ends with the usage, which
// states the cached tokens of the prompt, and the load report.
func TestAnswerIsStreamOfPlatform(t *testing.T) {
	h := startHost(t, config())
	for i, want := range []string{`"completion_tokens":9,"prompt_tokens_details":{"cached_tokens":0}`, `"cached_tokens":90}`} {
		resp, err := ask(t, h, fmt.Sprint("q", i), 9)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != 200 || !strings.Contains(string(body), want) || !strings.HasSuffix(string(body), "data: [DONE]\n\n") ||
			!strings.Contains(string(body), ": X-Backend-Load: {") || !strings.Contains(string(body), `"t5 t6 t7 t8 "`) {
			t.Errorf("unexpected answer %d: read error %v, body %s", i, err, body)
		}
	}
	resp, err := http.Get("http://" + h.Addr + protocol.PathLoad)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var load map[string]float64
	if err := json.NewDecoder(resp.Body).Decode(&load); err != nil || resp.StatusCode != 200 || load["inflight"] != 0 {
		t.Errorf("load report of an idle host: %v, decoding error %v", load, err)
	}
}

// A host whose slots and queue are full rejects a request and marks it as unprocessed. A killed host
// resets its connections and refuses new ones, and serves again after a restart. A client that
// departs frees its slot.
func TestFullHostRejectsDepartureFreesSlotAndKillResets(t *testing.T) {
	h := startHost(t, config())
	ends := make(chan error, 3)
	for i := range 3 {
		go func() {
			resp, err := ask(t, h, fmt.Sprint("q", i), 500)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			ends <- err
		}()
	}
	awaitCondition(t, "three requests", func() bool { s := h.Stats(); return s.Running == 2 && s.Waiting == 1 })
	resp, err := ask(t, h, "over", 1)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 503 || resp.Header.Get(protocol.HeaderUnprocessed) != "1" || !strings.Contains(resp.Header.Get(protocol.HeaderLoad), `"queue":1`) {
		t.Errorf("answer of a full host: status %d, header %v; want a 503 marked as unprocessed", resp.StatusCode, resp.Header)
	}
	h.Kill()
	for range 3 {
		if err := scripted.Receive(t, ends, "the end of an attempt"); err == nil {
			t.Error("a stream of a killed host ended without an error")
		}
	}
	if _, err := ask(t, h, "dead", 1); err == nil {
		t.Error("a killed host answers")
	}
	if err := h.Start(); err != nil {
		t.Fatal(err)
	}
	resp, err = ask(t, h, "again", 500)
	if err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, "a request after the start", func() bool { return h.Stats().Running == 1 })
	resp.Body.Close() // the client leaves
	awaitCondition(t, "a free slot", func() bool { return h.Stats().Running == 0 })
}

func awaitCondition(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(scripted.EventTimeout); !ok(); time.Sleep(ms) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// A read returns the full list. A watch returns the changes since its version. No change between two
// calls is lost.
func TestListAnswersFullyOrByChange(t *testing.T) {
	l, err := NewList("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	get := func(query string) (a listAnswer, ids []string) {
		t.Helper()
		resp, err := http.Get("http://" + l.Addr + "/api/targets" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
		for _, e := range a.Servers {
			ids = append(ids, e.ID+" "+e.State)
		}
		return a, ids
	}
	l.Set(Entry{ID: "b", State: "Ready"})
	l.Set(Entry{ID: "a", State: "Ready"})
	full, ids := get("")
	if diff := cmp.Diff([]string{"a Ready", "b Ready"}, ids); diff != "" || !full.Full || full.Version != 3 {
		t.Errorf("full list %+v, hosts: %s", full, diff)
	}
	if none, ids := get("?index=3&wait=1"); len(ids) > 0 || none.Full || none.Version != 3 {
		t.Errorf("watch without a change returned %+v", none)
	}
	go l.Set(Entry{ID: "b", State: "Terminating"})
	if more, ids := get("?index=3&wait=20000"); len(ids) != 1 || ids[0] != "b Terminating" || more.Full {
		t.Errorf("watch after a change returned %+v", more)
	}
	l.Set(Entry{ID: "b", State: "Gone"})
	if _, ids := get(""); len(ids) != 1 {
		t.Errorf("the full list names a removed host: %v", ids)
	}
	if _, ids := get("?index=3"); len(ids) != 1 || ids[0] != "b Gone" {
		t.Errorf("the watch does not report the removed host: %v", ids)
	}
	resp, err := http.Get("http://" + l.Addr + "/api/targets?index=x")
	if err != nil || resp.StatusCode != 400 {
		t.Errorf("answer to an invalid index: %v, error %v; want status 400", resp, err)
	}
}

// Clients count each request of the plan under exactly one outcome, with its time measured from its
// due time.
func TestClientsCountEachRequestOnce(t *testing.T) {
	h := startHost(t, config())
	spec := &simulator.Spec{Classes: []simulator.Class{{}}}
	spec.Classes[0].Class.Name, spec.Classes[0].Class.LatencyTarget, spec.Classes[0].Class.Deadline = "chat", time.Minute, time.Minute
	c := NewClients(h.Addr, spec)
	plan := []simulator.Planned{{ID: "a", Prompt: 10, Out: 3, MaxOut: 5}, {ID: "b", At: 5 * ms, Prompt: 10, Out: 3, MaxOut: 5},
		{ID: "c", At: 10 * ms, Prompt: 20000, Out: 3, MaxOut: 5}} // the last one is too long for the host
	c.Run(t.Context(), plan)
	got := c.Tallies()[0]
	if got.Asked != 3 || got.Good != 2 || got.Refused != 1 || got.Tokens != 6 || got.FirstToken.TotalCount() != 2 {
		t.Errorf("tally of the plan: %+v", got)
	}
	h.Kill()
	c.Run(t.Context(), plan[:1])
	if got := c.Tallies()[0]; got.Failed != 1 {
		t.Errorf("tally after a request to a killed host: %+v, want one failed", got)
	}
}
