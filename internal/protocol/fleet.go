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

// The headers and the report path of the router fleet's protocol.
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

	// PathReport is the path at which a server answers with its load report.
	PathReport = "/report"
)

// Fleet is the dialect of the router fleet. Requests may have any method and path. Servers mark
// their answers with the header Response-Seal, and the router forwards these answers unchanged.
type Fleet struct{}

// TimeLeft implements Dialect. It gives whole milliseconds, rounded down.
func (Fleet) TimeLeft(left time.Duration) Field {
	return Field{HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 0), 10)}
}

// RequestID implements Dialect.
func (Fleet) RequestID() string { return HeaderRequestID }

// Expects implements Dialect.
func (Fleet) Expects(server string) (Field, bool) { return Field{HeaderExpectedInstance, server}, true }

// AnswersOther implements Dialect. It compares the ID with the one that the answer carries; an
// answer without an ID does not count as one to another request.
func (Fleet) AnswersOther(id string, get HeaderReader) bool {
	answered := get(HeaderRequestID)
	return answered != "" && answered != id
}

// Judge implements Dialect. Only an answer with Not-Executed or the status 421 says that the server
// has not executed the request, so that even an unsafe request may be retried.
func (Fleet) Judge(status int, get HeaderReader) AttemptJudgement {
	switch {
	case status == http.StatusMisdirectedRequest:
		// The address now belongs to another server, or the server has another version of the model.
		return AttemptJudgement{Result: balance.NoConnection}
	case get(HeaderNotExecuted) != "" && status == http.StatusBadRequest:
		return AttemptJudgement{Result: balance.NotSent, RequestInvalid: true, Forwardable: true}
	case get(HeaderNotExecuted) != "":
		return AttemptJudgement{Result: balance.Full}
	case get(HeaderSeal) == "" || status/100 == 2 && get(HeaderRequestID) == "":
		return AttemptJudgement{Result: balance.Error} // no server's answer, or possibly the answer to another request
	case status/100 == 2:
		return AttemptJudgement{Result: balance.OK, Forwardable: true}
	case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		return AttemptJudgement{Result: balance.Cancelled, RequestInvalid: true, Forwardable: true}
	}
	// A client would take these statuses to mean that the request was not executed, which only
	// Not-Executed guarantees.
	impliesNotExecuted := status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	return AttemptJudgement{Result: balance.Error, Forwardable: !impliesNotExecuted}
}

// Load implements Dialect. It parses the header HeaderServerLoad.
func (Fleet) Load(get HeaderReader) (*balance.Load, error) {
	text := get(HeaderServerLoad)
	if text == "" {
		return nil, nil
	}
	return ParseServerLoad(text)
}

// ParseServerLoad parses the value of the header Server-Load: the number of running requests, of
// waiting requests and of slots, separated by commas.
func ParseServerLoad(text string) (*balance.Load, error) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return nil, fmt.Errorf("%s: %q is not of the form running,waiting,slots", HeaderServerLoad, text)
	}
	var n [3]float64
	for i, field := range fields {
		v, err := strconv.ParseUint(strings.TrimSpace(field), 10, 31)
		if err != nil {
			return nil, fmt.Errorf("%s: %q is not a number of requests", HeaderServerLoad, field)
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

// ProbeLoad implements Dialect. It parses the numbers of waiting and running requests from JSON.
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

// KeepAlive implements Dialect. It returns the timeout in the header Keep-Alive, which is in
// seconds.
func (Fleet) KeepAlive(get HeaderReader) time.Duration {
	for field := range strings.SplitSeq(get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(value, 10, 16); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// ConnectionField reports whether a header applies to a single connection (a hop-by-hop header) and
// therefore must not be forwarded.
func ConnectionField(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}
