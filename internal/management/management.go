// Package management is the operators' door without its socket: the calls that it knows, the figures that it tells, and
// the answer to one line. Its two tables are the only place where calls and figures are named; the output and the
// operators' page are made from them. It is pure, and imports nothing of ours.
package management

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// MostLine is the longest line that is a call.
const MostLine = 256

// Router is what the door asks and tells. No method may wait for anything: a caller has a second, however busy the
// router is.
type Router interface {
	// Takes tells whether this process takes clients, and names the phase that it is in.
	Takes() (takes bool, phase string)
	Values() Values
	// Drain sends clients away, or takes them again. It names the phase that this led to.
	Drain(on bool) (phase string, err error)
}

// Values is what the figures tell.
type Values struct {
	Classes           []Class
	Relayed           uint64
	Open              int64
	Entries           int64
	Avoided           int64
	Accepted, Invalid uint64
}

// Class is how the requests of one class ended.
type Class struct {
	Name                          string
	Fulfilled, Throttled, Faulted uint64
}

// Call is one line that the door answers.
type Call struct {
	Name, Meaning string
	answer        func(Router) string
}

// Calls has every call.
var Calls = []Call{
	{"check", "whether this process takes clients: `+OK`, or `-ERR` with the phase that it is in", check},
	{"vars", "the figures, a line each, and a line `.` at the end", vars},
	{"drain-on", "sends clients away: not ready, answers end their connections, silent ones are closed", drain(true)},
	{"drain-off", "takes clients again", drain(false)},
}

// Figure is one thing that is told under a name; one that counts by class has a line for each class.
type Figure struct {
	Name, Meaning string
	class         func(*Class) uint64
	whole         func(*Values) int64
}

const (
	prefix = "edge_router_"
	label  = "priority"
)

// Figures has every figure, in the order in which they are told.
var Figures = []Figure{
	{Name: "fulfilled_total", Meaning: "requests served to their end", class: func(c *Class) uint64 { return c.Fulfilled }},
	{Name: "throttled_total", Meaning: "requests refused; repeating them is harmless", class: func(c *Class) uint64 { return c.Throttled }},
	{Name: "faulted_total", Meaning: "requests that failed, or whose stream broke", class: func(c *Class) uint64 { return c.Faulted }},
	{Name: "relayed_total", Meaning: "attempts written whole to model hosts", whole: func(v *Values) int64 { return int64(v.Relayed) }},
	{Name: "open_requests", Meaning: "requests taken and not ended by now", whole: func(v *Values) int64 { return v.Open }},
	{Name: "registry_entries", Meaning: "model hosts in the list by now", whole: func(v *Values) int64 { return v.Entries }},
	{Name: "out_of_rotation", Meaning: "of these, the ones that get nothing new: they drain, or failed of late", whole: func(v *Values) int64 { return v.Avoided }},
	{Name: "cfg_accepted_total", Meaning: "configuration files taken at SIGHUP", whole: func(v *Values) int64 { return int64(v.Accepted) }},
	{Name: "cfg_invalid_total", Meaning: "configuration files turned down at SIGHUP", whole: func(v *Values) int64 { return int64(v.Invalid) }},
}

// Answer returns the answer to a line, which comes without its end.
func Answer(line string, r Router) string {
	word := strings.TrimSpace(line)
	i := slices.IndexFunc(Calls, func(c Call) bool { return c.Name == word })
	switch {
	case i >= 0:
		return Calls[i].answer(r)
	case word == "":
		return Refusal("the line is empty; say " + names())
	}
	return Refusal(fmt.Sprintf("%q is no call; say %s", word, names()))
}

// Refusal is the answer to what is no call.
func Refusal(why string) string { return "-ERR " + why + "\n" }

// names lists the calls in words.
func names() string {
	var all []string
	for _, c := range Calls {
		all = append(all, c.Name)
	}
	last := len(all) - 1
	return strings.Join(all[:last], ", ") + " or " + all[last]
}

func check(r Router) string {
	if takes, phase := r.Takes(); !takes {
		return Refusal(phase)
	}
	return "+OK\n"
}

func drain(on bool) func(Router) string {
	return func(r Router) string {
		phase, err := r.Drain(on)
		if err != nil {
			return Refusal(err.Error())
		}
		return "+OK " + phase + "\n"
	}
}

func vars(r Router) string {
	v := r.Values()
	slices.SortFunc(v.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	text := []byte("+OK\n")
	for _, f := range Figures {
		if f.whole != nil {
			text = fmt.Appendf(text, "%s%s %d\n", prefix, f.Name, f.whole(&v))
			continue
		}
		for i := range v.Classes {
			c := &v.Classes[i]
			text = fmt.Appendf(text, "%s%s{%s=%s} %d\n", prefix, f.Name, label, quote(c.Name), f.class(c))
		}
	}
	return string(append(text, ".\n"...))
}

// quote writes the value of a label.
func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(s) + `"`
}

// Page returns the two tables as they stand on the operators' page.
func Page() string {
	var b strings.Builder
	b.WriteString("| call | answer |\n| --- | --- |\n")
	for _, c := range Calls {
		b.WriteString("| `" + c.Name + "` | " + c.Meaning + " |\n")
	}
	b.WriteString("\n| figure | by class | what it tells |\n| --- | --- | --- |\n")
	for _, f := range Figures {
		b.WriteString("| `" + prefix + f.Name + "` | " + strconv.FormatBool(f.class != nil) + " | " + f.Meaning + " |\n")
	}
	return b.String()
}
