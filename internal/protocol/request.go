// Package protocol parses and formats what clients, routers, servers and discovery send each other:
// headers, durations, prompts, load reports, discovery lists, event streams and peer reports. The
// package does no I/O and has no mutable global state.
package protocol

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"reachspread/balance"
)

// The headers and paths of the Completions dialect.
const (
	HeaderID = "X-Correlation-Id"
	// HeaderFencingToken has the role under which a mirrored request is sent and the role's fencing
	// token. Other requests do not have the header. In an answer with the status 409, the header has
	// the highest token that the server has seen.
	HeaderFencingToken = "X-Duty"
	HeaderClass        = "X-Service-Class"
	HeaderSession      = "X-Session-Key"
	HeaderTimeLeft     = "X-Time-Left"
	HeaderFacts        = "X-Facts"
	HeaderHint         = "X-Weight-Hint"
	HeaderLoad         = "X-Backend-Load"
	HeaderUnprocessed  = "X-Unprocessed"

	PathCompletions = "/v1/chat/completions"
	PathReady       = "/-/ready"
	PathLoad        = "/-/load"
)

// charsPerToken is the length of a token in characters that the platform assumes. It serves to
// estimate the tokens of a prompt whose request has no prompt_len in the header HeaderFacts.
const charsPerToken = 4

// ParseArrival parses the headers of a request that routing decisions need. The function get returns
// the value of a header, or "" if it is missing. The text of the returned error is a single line for
// the client.
func ParseArrival(get func(name string) string, bodyLen int) (balance.Arrival, error) {
	a := balance.Arrival{ID: get(HeaderID), Class: get(HeaderClass), Session: get(HeaderSession)}
	switch {
	case a.ID == "":
		return a, fmt.Errorf("%s is missing", HeaderID)
	case a.Class == "":
		return a, fmt.Errorf("%s is missing", HeaderClass)
	}
	var err error
	if a.TimeLeft, err = ParseDuration(get(HeaderTimeLeft)); err != nil {
		return a, fmt.Errorf("%s: %w", HeaderTimeLeft, err)
	}
	if hint := get(HeaderHint); hint != "" {
		us, err := strconv.ParseFloat(hint, 64)
		if err != nil || !(us >= 0 && us < 1e12) {
			return a, fmt.Errorf("%s: %q is not a number of microseconds", HeaderHint, hint)
		}
		a.WorkEstimate = time.Duration(us * float64(time.Microsecond))
	}
	a.PromptTokens = float64(bodyLen / charsPerToken)
	if facts := get(HeaderFacts); facts != "" {
		if err := parseFacts(facts, &a); err != nil {
			return a, fmt.Errorf("%s: %w", HeaderFacts, err)
		}
	}
	return a, nil
}

// CheckFraming rejects a request head that does not define unambiguously where the body ends. Bytes
// that one HTTP parser takes for a body may be a second request for the next parser (request
// smuggling). CheckFraming does not check what the HTTP server rejects itself, such as repeated or
// signed lengths and codings other than chunked.
func CheckFraming(head []byte) error {
	lengths, codings := false, false
	for line := range bytes.Lines(head) {
		if line[0] == ' ' || line[0] == '\t' {
			return fmt.Errorf("a header is folded over two lines")
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		lengths = lengths || bytes.EqualFold(name, []byte("Content-Length"))
		codings = codings || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	if lengths && codings {
		return fmt.Errorf("both Content-Length and Transfer-Encoding are given")
	}
	return nil
}

// parseFacts parses the name=value pairs of the header HeaderFacts into a. It ignores unknown names.
func parseFacts(facts string, a *balance.Arrival) error {
	for _, pair := range strings.Split(facts, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return fmt.Errorf("%q is not of the form name=value", pair)
		}
		length := func(to *float64) error {
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return fmt.Errorf("%s is %q, not a length in tokens", name, value)
			}
			*to = float64(n)
			return nil
		}
		var err error
		switch name {
		case "prefix":
			a.Prefix = value
		case "prompt_len":
			err = length(&a.PromptTokens)
		case "prefix_len":
			err = length(&a.PrefixTokens)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// ParseDuration parses a number with a unit: m for milliseconds or u for microseconds. The duration
// must be below 24 hours.
func ParseDuration(s string) (time.Duration, error) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		digits, ok = strings.CutSuffix(s, "u")
	}
	n, err := strconv.ParseFloat(digits, 64)
	if !ok || err != nil || !(n >= 0 && n*float64(unit) < float64(24*time.Hour)) {
		return 0, fmt.Errorf("%q is not a time such as 4800m or 250000u", s)
	}
	return time.Duration(n * float64(unit)), nil
}

// FormatDuration formats a duration in microseconds with the unit u; a negative one becomes 0.
func FormatDuration(d time.Duration) string {
	return strconv.FormatInt(max(d.Microseconds(), 0), 10) + "u"
}

// FormatRetryAfter formats a duration in seconds with three decimals, as the header Retry-After has
// it.
func FormatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
