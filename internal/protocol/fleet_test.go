package protocol

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/balance"
)

// headers returns a HeaderReader that reads from a map.
func headers(m map[string]string) HeaderReader { return func(name string) string { return m[name] } }

// Only Not-Executed and the status 421 say that a request was not executed, and only an answer with
// a seal comes from the host itself.
func TestFleetJudge(t *testing.T) {
	seal := map[string]string{HeaderSeal: "s", HeaderRequestID: "r"}
	withoutID := map[string]string{HeaderSeal: "s"}
	notExecuted := map[string]string{HeaderNotExecuted: "1"}
	for _, c := range []struct {
		status int
		head   map[string]string
		want   AttemptJudgement
	}{
		{200, seal, AttemptJudgement{Result: balance.OK, Forwardable: true}},
		{204, seal, AttemptJudgement{Result: balance.OK, Forwardable: true}},
		{200, nil, AttemptJudgement{Result: balance.Error}},
		{200, withoutID, AttemptJudgement{Result: balance.Error}}, // possibly the answer to another request
		{500, withoutID, AttemptJudgement{Result: balance.Error, Forwardable: true}},
		{500, seal, AttemptJudgement{Result: balance.Error, Forwardable: true}},
		{504, seal, AttemptJudgement{Result: balance.Error, Forwardable: true}},
		{429, seal, AttemptJudgement{Result: balance.Error}}, // executed, so this status and the next two, which say that it was not, are not forwarded
		{503, seal, AttemptJudgement{Result: balance.Error}},
		{408, seal, AttemptJudgement{Result: balance.Error}},
		{404, seal, AttemptJudgement{Result: balance.Cancelled, RequestInvalid: true, Forwardable: true}},
		{500, nil, AttemptJudgement{Result: balance.Error}},
		{503, notExecuted, AttemptJudgement{Result: balance.Full}},
		{504, notExecuted, AttemptJudgement{Result: balance.Full}},
		{429, notExecuted, AttemptJudgement{Result: balance.Full}},
		{400, notExecuted, AttemptJudgement{Result: balance.NotSent, RequestInvalid: true, Forwardable: true}},
		{503, nil, AttemptJudgement{Result: balance.Error}},
		{421, nil, AttemptJudgement{Result: balance.NoConnection}},
	} {
		if got := (Fleet{}).Judge(c.status, headers(c.head)); got != c.want {
			t.Errorf("%d %v: got %+v, want %+v", c.status, c.head, got, c.want)
		}
	}
}

// The headers of the Fleet dialect have the expected names and forms, and are parsed correctly.
func TestFleetHeaders(t *testing.T) {
	is := is.New(t)
	f := Fleet{}
	is.Equal(f.TimeLeft(1500*time.Microsecond), Field{HeaderDeadline, "1"})
	is.Equal(f.TimeLeft(-time.Second), Field{HeaderDeadline, "0"})
	expects, ok := f.Expects("i-1")
	is.True(ok && expects == Field{HeaderExpectedInstance, "i-1"})
	is.True(f.AnswersOther("a", headers(map[string]string{HeaderRequestID: "b"})))
	is.True(!f.AnswersOther("a", headers(map[string]string{HeaderRequestID: "a"})))
	is.True(!f.AnswersOther("a", headers(nil)))
	is.Equal(f.KeepAlive(headers(map[string]string{"Keep-Alive": "timeout=5, max=100"})), 5*time.Second)
	is.Equal(f.KeepAlive(headers(map[string]string{"Keep-Alive": "max=100"})), time.Duration(0))
	is.Equal(f.KeepAlive(headers(map[string]string{"Keep-Alive": "timeout=soon"})), time.Duration(0))
	is.True(ConnectionField("keep-alive") && ConnectionField("Transfer-Encoding") && !ConnectionField("Content-Type"))
	is.Equal(BearerKey("Bearer k"), "k")
	is.Equal(BearerKey("bearer k"), "k")
	is.Equal(BearerKey("Basic k"), "")
	is.Equal(BearerKey("k"), "")
}

// Load reports in headers and in answers to probes are parsed; malformed ones are rejected.
func TestFleetLoad(t *testing.T) {
	is := is.New(t)
	load, err := ParseServerLoad("3, 1,8")
	is.NoErr(err)
	is.Equal(*load, balance.Load{InFlight: 4, Utilization: 0.375, PrefillTokens: -1})
	for _, text := range []string{"3,1", "3,1,8,9", "a,1,8", "-1,0,8", ""} {
		if _, err := ParseServerLoad(text); err == nil {
			t.Errorf("malformed load %q was accepted", text)
		}
	}
	load, err = (Fleet{}).ProbeLoad([]byte(`{"waiting":1,"running":12}`))
	is.NoErr(err)
	is.Equal(load.InFlight, 13.0)
	_, err = (Fleet{}).ProbeLoad([]byte(`{"waiting":1}`))
	is.True(err != nil)
	none, err := (Fleet{}).Load(headers(nil))
	is.True(none == nil && err == nil)
}

// The headers with a prompt's segments, token usage and deadline are parsed; malformed ones are
// rejected.
func TestParsePrompt(t *testing.T) {
	is := is.New(t)
	parts, err := ParsePrompt("5c1e:800, 91bd:410,e440:250")
	is.NoErr(err)
	is.Equal(parts, []PromptSegment{{"5c1e", 800}, {"91bd", 410}, {"e440", 250}})
	for _, text := range []string{"5c1e", "5c1e:", ":5", "5c1e:-1", "5c1e:1,", strings.Repeat("a:1,", maxPromptSegments) + "a:1"} {
		if _, err := ParsePrompt(text); err == nil {
			t.Errorf("malformed prompt %q was accepted", text)
		}
	}
	usage, ok, err := ParseUsage("1460,80")
	is.True(ok && err == nil && usage == TokenUsage{1460, 80})
	_, ok, err = ParseUsage("")
	is.True(!ok && err == nil)
	for _, text := range []string{"1460", "a,1", "1,a"} {
		if _, _, err := ParseUsage(text); err == nil {
			t.Errorf("malformed usage %q was accepted", text)
		}
	}
	left, ok, err := ParseDeadline("1500.5")
	is.True(ok && err == nil && left == 1500500*time.Microsecond)
	for _, text := range []string{"soon", "-1", "1e12", "NaN"} {
		if _, _, err := ParseDeadline(text); err == nil {
			t.Errorf("malformed deadline %q was accepted", text)
		}
	}
}

// Header values are either parsed to valid values or rejected, whatever they contain.
func FuzzFleetHeads(f *testing.F) {
	f.Add("5c1e:800,91bd:410", "1460,80", "1500", "3,0,8", "timeout=5")
	f.Fuzz(func(t *testing.T, prompt, usage, deadline, load, keep string) {
		if parts, err := ParsePrompt(prompt); err == nil && len(parts) > maxPromptSegments {
			t.Error("a prompt with more segments than maxPromptSegments was accepted")
		}
		ParseUsage(usage)
		if left, _, err := ParseDeadline(deadline); err == nil && left < 0 {
			t.Error("a deadline below 0 was accepted")
		}
		if l, err := ParseServerLoad(load); err == nil && l.InFlight < 0 {
			t.Error("a load below 0 was accepted")
		}
		(Fleet{}).KeepAlive(headers(map[string]string{"Keep-Alive": keep}))
	})
}
