package scoreanalysis

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// A build of the trial (docs/measurements/deciding-trace.diff) has every router print a line for
// each request that it decided on, when it is done with it:
//
//	TRACE <arrived, ms> <prefix> aim=<ms> left=<ms> prompt=<tokens> shared=<tokens> how=<end|none> runs=<n> safe=<bool>|<attempt>|...
//
// with an attempt as host, sent, first token, end (ms after the arrival, the last two after the
// sending; a first token of -1 never came), expected first token (ms), result (a balance.Result),
// tokens ahead, tokens to read, and more that is not read here, joined by commas.

// tracePrefix begins what a router printed of a request, behind the bench's time and machine.
const tracePrefix = "TRACE "

// Mechanism is why a request was late or not served, as its router saw it.
type Mechanism string

// The mechanisms.
const (
	InTime            Mechanism = ""
	TooLarge          Mechanism = "late: too large for its aim"
	BehindKnown       Mechanism = "late: behind prompts that its router knew of"
	BehindUnknown     Mechanism = "late: behind prompts that its router did not know of, or at a slow host"
	LateAgain         Mechanism = "late after an attempt that came to nothing"
	NoConnection      Mechanism = "refused: no host took a connection, and budget or attempts were spent"
	TurnedAway        Mechanism = "refused: its hosts were full"
	BrokenBefore      Mechanism = "broken by its host before the first event"
	BrokenAfter       Mechanism = "broken by its host within the stream"
	Unanswered        Mechanism = "no answer until the client left"
	LeftBehind        Mechanism = "given up by the client within the stream"
	NeverSent         Mechanism = "never sent"
	foreseen                    = 0.8 // of the time left: an expected first token from which on a lateness was foreseen
	surprised                   = 1.5 // times the expected: a first token that came of what was not known
	largePromptTokens           = 20_000
	resultOK                    = 0
	resultFull                  = 2
	resultTimedOut              = 3
	resultNoConn                = 4
	resultReset                 = 5
	resultCancelled             = 6
	resultNotSent               = 7
	fieldsOfAttempt             = 8
)

// request is one line.
type request struct {
	aim, prompt float64
	attempts    []attempt
}

type attempt struct {
	sent, first, expected float64 // ms; a first token below 0 never came
	result                int
	unread                float64 // tokens
}

// mechanism is why the request was late or not served.
func (r *request) mechanism() Mechanism {
	if len(r.attempts) == 0 {
		return NeverSent
	}
	last := r.attempts[len(r.attempts)-1]
	switch {
	case last.first < 0:
		return last.withoutAnswer()
	case last.result == resultCancelled:
		return LeftBehind
	case last.result != resultOK:
		return BrokenAfter
	case last.sent+last.first <= r.aim:
		return InTime
	case len(r.attempts) > 1:
		return LateAgain
	}
	return last.lateness(r.aim)
}

// withoutAnswer is why an attempt had no first token.
func (a *attempt) withoutAnswer() Mechanism {
	switch a.result {
	case resultNoConn, resultNotSent:
		return NoConnection
	case resultFull:
		return TurnedAway
	case resultCancelled, resultTimedOut:
		return Unanswered
	}
	return BrokenBefore
}

// lateness is why a first token came too late.
func (a *attempt) lateness(aim float64) Mechanism {
	switch {
	case a.expected > foreseen*(aim-a.sent) && a.unread > largePromptTokens:
		return TooLarge
	case a.expected > foreseen*(aim-a.sent), a.first <= surprised*a.expected:
		return BehindKnown
	}
	return BehindUnknown
}

// MechanismLoss is what one mechanism took.
type MechanismLoss struct {
	Mechanism Mechanism
	Requests  int
	Lost      float64 // share of the worth of all requests
}

// Requests is the account of a log by mechanisms, the greatest first, and how many requests it has.
// Worths are by the rules: by the size of the prompt against the mean of its kind, four times its
// kind's at most. A kind is known by its aim, and a late answer keeps a tenth.
type Requests struct {
	All    int
	Losses []MechanismLoss
}

const (
	fixedValue, sizedValue, maxValue = 0.3, 0.7, 4.0
	lateKeeps                        = 0.1
)

// ReadRequests reads what `fleetbench run --log all` printed of a build of the trial.
func ReadRequests(from io.Reader) (*Requests, error) {
	var all []request
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, text, ok := strings.Cut(lines.Text(), tracePrefix)
		if !ok {
			continue
		}
		r, err := parseRequest(text)
		if err != nil {
			return nil, fmt.Errorf("%q: %w", text, err)
		}
		if r.prompt > 0 { // others only test which configuration is in force
			all = append(all, r)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(all) == 0 {
		return nil, errNoTrace
	}
	return accountOf(all), nil
}

var errNoTrace = fmt.Errorf("it has no line with %q: it is not of a build of the trial", strings.TrimSpace(tracePrefix))

// accountOf sums up requests.
func accountOf(all []request) *Requests {
	sum, n := map[float64]float64{}, map[float64]float64{}
	for _, r := range all {
		sum[r.aim] += r.prompt
		n[r.aim]++
	}
	value := func(r request) float64 {
		return min(fixedValue+sizedValue*r.prompt*n[r.aim]/sum[r.aim], maxValue)
	}
	total := 0.0
	by := map[Mechanism]*MechanismLoss{}
	for _, r := range all {
		total += value(r)
		m := r.mechanism()
		if m == InTime {
			continue
		}
		if by[m] == nil {
			by[m] = &MechanismLoss{Mechanism: m}
		}
		by[m].Requests++
		by[m].Lost += value(r) * (1 - m.keeps())
	}
	out := &Requests{All: len(all)}
	for _, l := range by {
		l.Lost /= total
		out.Losses = append(out.Losses, *l)
	}
	slices.SortFunc(out.Losses, func(a, b MechanismLoss) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Mechanism, b.Mechanism))
	})
	return out
}

// keeps is the part of its worth that a request keeps.
func (m Mechanism) keeps() float64 {
	if strings.HasPrefix(string(m), "late") {
		return lateKeeps
	}
	return 0
}

// parseRequest reads what follows the mark.
func parseRequest(text string) (r request, err error) {
	fields := strings.Split(text, "|")
	for _, field := range strings.Fields(fields[0]) {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "aim":
			r.aim, err = strconv.ParseFloat(value, 64)
		case "prompt":
			r.prompt, err = strconv.ParseFloat(value, 64)
		}
		if err != nil {
			return r, err
		}
	}
	for _, part := range fields[1:] {
		a, err := parseAttempt(part)
		if err != nil {
			return r, err
		}
		r.attempts = append(r.attempts, a)
	}
	return r, nil
}

func parseAttempt(text string) (a attempt, err error) {
	fields := strings.Split(text, ",")
	if len(fields) < fieldsOfAttempt {
		return a, fmt.Errorf("an attempt of %d fields, not %d", len(fields), fieldsOfAttempt)
	}
	if a.result, err = strconv.Atoi(fields[5]); err != nil {
		return a, err
	}
	for i, into := range map[int]*float64{1: &a.sent, 2: &a.first, 4: &a.expected, 7: &a.unread} {
		if *into, err = strconv.ParseFloat(fields[i], 64); err != nil {
			return a, err
		}
	}
	return a, nil
}

// Print writes a row for each mechanism, and their sum.
func (r *Requests) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "mechanism\trequests\tshare of the worth lost")
	sum, n := 0.0, 0
	for _, l := range r.Losses {
		fmt.Fprintf(t, "%s\t%d\t%.4f\n", l.Mechanism, l.Requests, l.Lost)
		sum, n = sum+l.Lost, n+l.Requests
	}
	fmt.Fprintf(t, "all, of %d requests\t%d\t%.4f\n", r.All, n, sum)
	return t.Flush()
}
