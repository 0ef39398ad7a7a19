// Package protocol parses and writes what clients, routers, servers and discovery send each other:
// headers, durations, prompts, load reports, discovery lists, event streams and peer reports. Its
// functions are pure.
package protocol

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"reachspread/balance"
)

// The headers and paths of the platform.
const (
	HeaderID = "X-Correlation-Id"
	// HeaderFencingToken is on mirrored requests alone: the role under which one is sent, and its
	// fencing token. A 409 has the highest token that was seen.
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

// charsPerToken is the platform's length of a token, for a prompt that comes without facts.
const charsPerToken = 4

// ParseArrival parses what the decisions need of a request from its headers; get returns a header's
// value or "". The error is one line for the client.
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

// CheckFraming rejects a head that is ambiguous on where its body ends: what one reader takes for a
// body may be a second request to the next (request smuggling). What the HTTP server rejects by
// itself, such as repeated or signed lengths and other codings, is not checked.
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

// parseFacts parses name=value pairs; unknown names are ignored.
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

// ParseDuration parses a number with its unit, m for milliseconds or u for microseconds.
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

// FormatDuration formats a time left in microseconds.
func FormatDuration(d time.Duration) string {
	return strconv.FormatInt(max(d.Microseconds(), 0), 10) + "u"
}

// FormatRetryAfter formats a time in decimal seconds.
func FormatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
