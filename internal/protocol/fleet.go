package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"reachspread/balance"
)

// The headers of the router fleet's wire.
const (
	HeaderRequestID        = "Request-Id"
	HeaderDeadline         = "Request-Deadline"
	HeaderSeal             = "Response-Seal"
	HeaderNotExecuted      = "Not-Executed"
	HeaderExpectedInstance = "Expected-Instance"
	HeaderExpectVersion    = "Expect-Version"
	HeaderInstanceID       = "Instance-Id"
	HeaderServerLoad       = "Server-Load"
	HeaderTenant           = "Tenant"
	HeaderModel            = "Model"
	HeaderTokenUsage       = "Token-Usage"
	HeaderPromptPrefix     = "Prompt-Prefix"
	HeaderPriority         = "Priority"
	HeaderVersions         = "Versions"
	HeaderLastEventID      = "Last-Event-Id"

	// PathReport is where a server tells how it stands.
	PathReport = "/report"
)

// Fleet is the dialect of the router fleet: any method and path, answers under a seal that are passed on as they are.
type Fleet struct{}

// TimeLeft implements Dialect: whole milliseconds, rounded down.
func (Fleet) TimeLeft(left time.Duration) Field {
	return Field{HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 0), 10)}
}

// RequestID implements Dialect.
func (Fleet) RequestID() string { return HeaderRequestID }

// Expects implements Dialect.
func (Fleet) Expects(server string) (Field, bool) { return Field{HeaderExpectedInstance, server}, true }

// Foreign implements Dialect: an answer carries the id of its request.
func (Fleet) Foreign(id string, get Header) bool {
	answered := get(HeaderRequestID)
	return answered != "" && answered != id
}

// Judge implements Dialect. Only an answer with Not-Executed, or a 421, says that nothing ran.
func (Fleet) Judge(status int, get Header) Judgement {
	switch {
	case status == http.StatusMisdirectedRequest:
		// Another server has the address by now, or its weights have another version.
		return Judgement{Result: balance.NoConnection}
	case get(HeaderNotExecuted) != "" && status == http.StatusBadRequest:
		return Judgement{Result: balance.NotSent, Unfit: true, Final: true}
	case get(HeaderNotExecuted) != "":
		return Judgement{Result: balance.Full}
	case get(HeaderSeal) == "" || status/100 == 2 && get(HeaderRequestID) == "":
		return Judgement{Result: balance.Error} // no answer of a host's, or not known to be this request's
	case status/100 == 2:
		return Judgement{Result: balance.OK, Final: true}
	case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		return Judgement{Result: balance.Cancelled, Unfit: true, Final: true}
	}
	// To a client these would promise that the request has not run, which only Not-Executed says.
	promise := status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	return Judgement{Result: balance.Error, Final: !promise}
}

// Load implements Dialect.
func (Fleet) Load(get Header) (*balance.Load, error) {
	text := get(HeaderServerLoad)
	if text == "" {
		return nil, nil
	}
	return ParseServerLoad(text)
}

// ParseServerLoad reads requests running, requests waiting and slots, separated by commas.
func ParseServerLoad(text string) (*balance.Load, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return nil, fmt.Errorf("%s: %q is not of the form running,waiting,slots", HeaderServerLoad, text)
	}
	var n [3]float64
	for i, part := range parts {
		v, err := strconv.ParseUint(strings.TrimSpace(part), 10, 31)
		if err != nil {
			return nil, fmt.Errorf("%s: %q is not a number of requests", HeaderServerLoad, part)
		}
		n[i] = float64(v)
	}
	load := &balance.Load{InFlight: n[0] + n[1], Utilization: -1, PrefillTokens: -1}
	if n[2] > 0 {
		load.Utilization = n[0] / n[2]
	}
	return load, nil
}

// ProbePath implements Dialect.
func (Fleet) ProbePath() string { return PathReport }

// ProbeLoad implements Dialect.
func (Fleet) ProbeLoad(text []byte) (*balance.Load, error) {
	var report struct {
		Waiting *float64 `json:"waiting"`
		Running *float64 `json:"running"`
	}
	if err := json.Unmarshal(text, &report); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if report.Waiting == nil || report.Running == nil {
		return nil, errors.New("report: waiting or running is missing")
	}
	return &balance.Load{InFlight: *report.Running + *report.Waiting, Utilization: -1, PrefillTokens: -1}, nil
}

// KeepAlive implements Dialect: the timeout in Keep-Alive, in whole seconds.
func (Fleet) KeepAlive(get Header) time.Duration {
	for part := range strings.SplitSeq(get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(value, 10, 16); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// ConnectionField tells whether a header concerns one connection only, and is not passed along.
func ConnectionField(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}
