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

// With the patch docs/measurements/deciding-trace.diff (the trial build), every router prints a line
// for each request that it decided on, once the request is finished:
//
//	TRACE <arrived, ms> <prefix> aim=<ms> left=<ms> prompt=<tokens> shared=<tokens> how=<end|none> runs=<n> safe=<bool>|<attempt>|...
//
// An attempt is a list of fields that are separated by commas: host, sending time (ms after the
// arrival), first token and end (ms after the sending time; the first token is -1 if there was none),
// expected first token (ms), result (a balance.Result), tokens ahead, tokens to read, and further
// fields that this package ignores.

// tracePrefix is the start of a router's text about a request. On each line, the bench prints a time
// and a machine before it.
const tracePrefix = "TRACE "

// Mechanism is the reason why a request was late or not served, from the point of view of its
// router.
type Mechanism string

// Mechanisms, limits for their choice, and results of attempts as numbers of balance.Result.
const (
	InTime             Mechanism = ""
	TooLarge           Mechanism = "late: too large for its aim"
	BehindKnown        Mechanism = "late: behind prompts that its router knew of"
	BehindUnknown      Mechanism = "late: behind prompts that its router did not know of, or at a slow host"
	LateAfterRetry     Mechanism = "late after an attempt that came to nothing"
	NoConnection       Mechanism = "refused: no host took a connection, and budget or attempts were spent"
	HostsFull          Mechanism = "refused: its hosts were full"
	BrokenBeforeStream Mechanism = "broken by its host before the first event"
	BrokenInStream     Mechanism = "broken by its host within the stream"
	Unanswered         Mechanism = "no answer until the client left"
	CancelledInStream  Mechanism = "given up by the client within the stream"
	NeverSent          Mechanism = "never sent"
	foreseenFraction             = 0.8 // fraction of the time left; if the expected first token is later, the router expected the request to be late
	surpriseFactor               = 1.5 // multiple of the expected first token; if the first token is later, the router did not know the cause
	largePromptTokens            = 20_000
	resultOK                     = 0
	resultFull                   = 2
	resultTimedOut               = 3
	resultNoConn                 = 4
	resultReset                  = 5
	resultCancelled              = 6
	resultNotSent                = 7
	minAttemptFields             = 8
)

// request is one parsed line: the aim in ms, the prompt in tokens and the attempts.
type request struct {
	aim, prompt float64
	attempts    []attempt
}

type attempt struct {
	sent, first, expected float64 // ms; first is below 0 if there was no first token
	result                int
	unread                float64 // tokens that the host had to read
}

// mechanism returns why the request was late or not served, or InTime.
func (r *request) mechanism() Mechanism {
	if len(r.attempts) == 0 {
		return NeverSent
	}
	last := r.attempts[len(r.attempts)-1]
	switch {
	case last.first < 0:
		return last.withoutAnswer()
	case last.result == resultCancelled:
		return CancelledInStream
	case last.result != resultOK:
		return BrokenInStream
	case last.sent+last.first <= r.aim:
		return InTime
	case len(r.attempts) > 1:
		return LateAfterRetry
	}
	return last.lateness(r.aim)
}

// withoutAnswer returns why an attempt had no first token.
func (a *attempt) withoutAnswer() Mechanism {
	switch a.result {
	case resultNoConn, resultNotSent:
		return NoConnection
	case resultFull:
		return HostsFull
	case resultCancelled, resultTimedOut:
		return Unanswered
	}
	return BrokenBeforeStream
}

// lateness returns why the first token was later than the aim.
func (a *attempt) lateness(aim float64) Mechanism {
	switch {
	case a.expected > foreseenFraction*(aim-a.sent) && a.unread > largePromptTokens:
		return TooLarge
	case a.expected > foreseenFraction*(aim-a.sent), a.first <= surpriseFactor*a.expected:
		return BehindKnown
	}
	return BehindUnknown
}

// MechanismLoss is the number of requests with one mechanism and the worth that they lost.
type MechanismLoss struct {
	Mechanism Mechanism
	Requests  int
	Lost      float64 // share of the worth of all requests
}

// Requests holds the number of requests in a log and the losses by mechanism, largest first. The
// worth of a request follows the rules of the bench: it grows with the size of the prompt relative
// to the mean of its kind, up to four times the worth of an average request of that kind. Requests
// with the same aim are of the same kind. A late answer keeps a tenth of its worth.
type Requests struct {
	All    int
	Losses []MechanismLoss
}

const (
	fixedValue, sizedValue, maxValue = 0.3, 0.7, 4.0
	lateFraction                     = 0.1
)

// ReadRequests reads the output of `fleetbench run --log all` for the trial build.
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
		if r.prompt > 0 { // requests without a prompt only test which configuration is in force
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

var errNoTrace = fmt.Errorf("the log has no line with %q: it does not come from the trial build", strings.TrimSpace(tracePrefix))

// accountOf sums the losses of requests by mechanism.
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
		by[m].Lost += value(r) * (1 - m.retainedFraction())
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

// retainedFraction returns the fraction of its worth that a request with this mechanism keeps.
func (m Mechanism) retainedFraction() float64 {
	if strings.HasPrefix(string(m), "late") {
		return lateFraction
	}
	return 0
}

// parseRequest parses the text after tracePrefix.
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
	if len(fields) < minAttemptFields {
		return a, fmt.Errorf("an attempt has %d fields; it must have at least %d", len(fields), minAttemptFields)
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

// Print writes a row for each mechanism and a row with their sum.
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
