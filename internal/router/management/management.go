// Package management is the operators' management API without its socket: the calls that it knows,
// the figures that it tells, and the answer to one line. Its two tables are the only place where
// calls and figures are named; the output and the operators' page are made from them. It is pure,
// and imports nothing of ours.
package management

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// MaxLineBytes is the longest line that is a call.
const MaxLineBytes = 256

// Router is what the management API asks and tells. No method may wait for anything: a caller has a
// second, however busy the router is.
type Router interface {
	// Accepting tells whether this process takes clients, and names the phase that it is in.
	Accepting() (takes bool, phase string)
	Values() Values
	// View is the fleet's routers as this one sees them, a line each; on is false where it keeps no
	// view.
	View() (lines []string, on bool)
	// Drain sends clients away, or takes them again. It names the phase that this led to.
	Drain(on bool) (phase string, err error)
	// Recovery is how this process comes back, a line and one for each thing of its last life that
	// was thrown away; on is false where nothing is kept.
	Recovery() (lines []string, on bool)
	// Roles are what only so many routers may do, a line each; on is false where there are none.
	Roles() (lines []string, on bool)
	// TransferRole has the holder of a duty give it to a router, or to whoever waits. Of several
	// holders the one with that token, 0 for the first.
	TransferRole(name, to string, token uint64) error
	// RebuildRoles founds duties anew, where routers that are named will not come back with their
	// disks.
	RebuildRoles(lost []string) error
}

// Values is what the figures tell.
type Values struct {
	Classes                         []Class
	AttemptsWritten                 uint64
	OpenRequests                    int64
	ListedHosts                     int64
	ExcludedHosts                   int64
	ConfigsAccepted, ConfigsInvalid uint64
	Fleet                           *Fleet    // nil where the router keeps no view of the fleet
	Roles                           *Roles    // nil where it has none
	Recovery                        *Recovery // nil where nothing is kept for the next life
}

// Recovery is the figures of how a router comes back.
type Recovery struct {
	Stage                                      int     // from 0 on
	WarmFraction                               float64 // of the listed hosts' warm capacity
	RejectedRequests, Snapshots, ExcludedHosts uint64
}

// Roles is the figures of duties.
type Roles struct {
	Leases, Requested                  int
	Begun, Ended, TokensRejected, Sent uint64
	NoLeader                           bool
	Commands, Elections, LogEntries    uint64
	Token                              uint64
}

// Fleet is the figures of the view of the fleet.
type Fleet struct {
	Members, Suspected, Dead            int
	View                                uint64 // the number of the view that the core has by now
	Deaths, Suspicions, Refuted, Pauses uint64
	Sent, SentBytes, Dropped            uint64
}

// Class is how the requests of one class ended.
type Class struct {
	Name                          string
	Accepted                      uint64 // the sum of all others and of those that are open
	Fulfilled, Throttled, Faulted uint64
	Abandoned, Moved              uint64
}

// Call is one line that the management API answers.
type Call struct {
	Name, Meaning string
	answer        func(Router) string
	withArguments func(Router, []string) string // of a call that has words behind its name
}

// Calls has every call.
var Calls = []Call{
	{"check", "whether this process takes clients: `+OK`, or `-ERR` with the phase that it is in", check, nil},
	{"vars", "the figures, a line each, and a line `.` at the end", vars, nil},
	{"drain-on", "sends clients away: not ready, answers end their connections, silent ones are closed", drain(true), nil},
	{"drain-off", "takes clients again", drain(false), nil},
	{"view", "the fleet's routers as this one sees them, a line each, and a line `.` at the end; `-ERR` where no block `fleet` is set", fleetView, nil},
	{"recovery", "how this process came back: its stage, since when, what it waits for, whose loss it was, what of its last life was thrown away; a line `.` at the end", recoveryStatus, nil},
	{"duties", "what only so many routers may do at a time: how the voters are, each duty with its holder, and this router's own; a line `.` at the end", rolesStatus, nil},
	{"duty-give DUTY ROUTER [TOKEN]", "has the holder of a duty give it to a router, `*` for whoever waits; of several holders the one with that token, or else the first; `+OK` once the voters have agreed on it", nil, transferRole},
	{"duties-rebuild [ROUTER...]", "founds duties anew where a majority of the voters' disks is gone; the routers that are named will not come back with theirs. `-ERR` while a majority may live", nil, rebuildRoles},
}

// Figure is one thing that is told under a name; one that counts by class has a line for each
// class.
type Figure struct {
	Name, Meaning string
	class         func(*Class) uint64
	value         func(*Values) int64
	fleet         func(*Fleet) uint64    // told only while the router keeps a view of the fleet
	duties        func(*Roles) uint64    // told only where it has duties
	recovery      func(*Recovery) uint64 // told only where it keeps something for its next life
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
	{Name: "taken_total", Meaning: "requests read whole: those of the three figures above and of the two below, and those still open", class: func(c *Class) uint64 { return c.Accepted }},
	{Name: "abandoned_total", Meaning: "requests whose clients left before the end of their answers", class: func(c *Class) uint64 { return c.Abandoned }},
	{Name: "moved_total", Meaning: "requests with whose streams another process of this router goes on", class: func(c *Class) uint64 { return c.Moved }},
	{Name: "relayed_total", Meaning: "attempts written whole to model hosts", value: func(v *Values) int64 { return int64(v.AttemptsWritten) }},
	{Name: "open_requests", Meaning: "requests taken and not ended by now", value: func(v *Values) int64 { return v.OpenRequests }},
	{Name: "registry_entries", Meaning: "model hosts in the list by now", value: func(v *Values) int64 { return v.ListedHosts }},
	{Name: "out_of_rotation", Meaning: "of these, the ones that get nothing new: they drain, or failed of late", value: func(v *Values) int64 { return v.ExcludedHosts }},
	{Name: "cfg_accepted_total", Meaning: "configuration files taken at SIGHUP", value: func(v *Values) int64 { return int64(v.ConfigsAccepted) }},
	{Name: "cfg_invalid_total", Meaning: "configuration files turned down at SIGHUP", value: func(v *Values) int64 { return int64(v.ConfigsInvalid) }},
	{Name: "fleet_members", Meaning: "routers alive in this one's view, itself among them", fleet: func(f *Fleet) uint64 { return uint64(f.Members) }},
	{Name: "fleet_suspected", Meaning: "of these, the ones that missed a probe and may still answer", fleet: func(f *Fleet) uint64 { return uint64(f.Suspected) }},
	{Name: "fleet_dead", Meaning: "routers that are held to be dead, and greeted from time to time", fleet: func(f *Fleet) uint64 { return uint64(f.Dead) }},
	{Name: "fleet_view", Meaning: "the number of the view that the core has taken up", fleet: func(f *Fleet) uint64 { return f.View }},
	{Name: "fleet_deaths_total", Meaning: "deaths in this one's view", fleet: func(f *Fleet) uint64 { return f.Deaths }},
	{Name: "fleet_suspicions_total", Meaning: "suspicions", fleet: func(f *Fleet) uint64 { return f.Suspicions }},
	{Name: "fleet_refuted_total", Meaning: "of these, the ones that the suspect refuted", fleet: func(f *Fleet) uint64 { return f.Refuted }},
	{Name: "fleet_stood_total", Meaning: "times that this router found that it had stood still", fleet: func(f *Fleet) uint64 { return f.Pauses }},
	{Name: "fleet_sent_total", Meaning: "datagrams sent for the view", fleet: func(f *Fleet) uint64 { return f.Sent }},
	{Name: "fleet_sent_bytes_total", Meaning: "bytes in them", fleet: func(f *Fleet) uint64 { return f.SentBytes }},
	{Name: "fleet_dropped_total", Meaning: "datagrams for the view that were broken or from a stranger", fleet: func(f *Fleet) uint64 { return f.Dropped }},
	{Name: "duties_held", Meaning: "duties that this router holds", duties: func(d *Roles) uint64 { return uint64(d.Leases) }},
	{Name: "duties_wanted", Meaning: "duties that it holds or waits for", duties: func(d *Roles) uint64 { return uint64(d.Requested) }},
	{Name: "duties_begun_total", Meaning: "times that it took up a duty", duties: func(d *Roles) uint64 { return d.Begun }},
	{Name: "duties_ended_total", Meaning: "times that it stopped one", duties: func(d *Roles) uint64 { return d.Ended }},
	{Name: "duties_refused_total", Meaning: "acts of its that were refused for a higher token", duties: func(d *Roles) uint64 { return d.TokensRejected }},
	{Name: "duties_sent_total", Meaning: "requests to voters", duties: func(d *Roles) uint64 { return d.Sent }},
	{Name: "duties_stopped", Meaning: "1 while this router may vote and knows no leader of the voters for more than 5 s", duties: func(d *Roles) uint64 { return boolFigure(d.NoLeader) }},
	{Name: "duties_commands_total", Meaning: "commands that were agreed on and applied at this voter", duties: func(d *Roles) uint64 { return d.Commands }},
	{Name: "duties_elections_total", Meaning: "elections that it stood for", duties: func(d *Roles) uint64 { return d.Elections }},
	{Name: "duties_log_entries", Meaning: "commands that it keeps behind its last snapshot", duties: func(d *Roles) uint64 { return d.LogEntries }},
	{Name: "duties_token", Meaning: "the largest token that it knows of", duties: func(d *Roles) uint64 { return d.Token }},
	{Name: "recovery_stage", Meaning: "how far this process has come back: 0 asking, 1 listing, 2 admitting, 3 duties, 4 back", recovery: func(r *Recovery) uint64 { return uint64(r.Stage) }},
	{Name: "recovery_warm_percent", Meaning: "what the listed hosts can do by their starts, of what they do when warm", recovery: func(r *Recovery) uint64 { return uint64(100 * r.WarmFraction) }},
	{Name: "recovery_turned_total", Meaning: "requests refused, as cold hosts are left to classes of more worth or to fresh ones; they are among the refused", recovery: func(r *Recovery) uint64 { return r.RejectedRequests }},
	{Name: "recovery_shunned", Meaning: "hosts of the last life's list that get nothing by another router's word", recovery: func(r *Recovery) uint64 { return r.ExcludedHosts }},
	{Name: "recovery_snapshots_total", Meaning: "snapshots written", recovery: func(r *Recovery) uint64 { return r.Snapshots }},
}

// Answer returns the answer to a line, which comes without its end.
func Answer(line string, r Router) string {
	command := strings.TrimSpace(line)
	arguments := strings.Fields(command)
	i := slices.IndexFunc(Calls, func(c Call) bool {
		name, _, more := strings.Cut(c.Name, " ")
		return c.Name == command || more && len(arguments) > 0 && arguments[0] == name
	})
	switch {
	case i >= 0 && Calls[i].withArguments != nil:
		return Calls[i].withArguments(r, arguments[1:])
	case i >= 0:
		return Calls[i].answer(r)
	case command == "":
		return Refusal("the line is empty; say " + callNames())
	}
	return Refusal(fmt.Sprintf("%q is no call; say %s", command, callNames()))
}

// Refusal is the answer to what is no call.
func Refusal(why string) string { return "-ERR " + why + "\n" }

// callNames lists the calls in words.
func callNames() string {
	var all []string
	for _, c := range Calls {
		name, _, _ := strings.Cut(c.Name, " ")
		all = append(all, name)
	}
	last := len(all) - 1
	return strings.Join(all[:last], ", ") + " or " + all[last]
}

func check(r Router) string {
	if takes, phase := r.Accepting(); !takes {
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
		if f.fleet != nil {
			if v.Fleet != nil {
				text = fmt.Appendf(text, "%s%s %d\n", prefix, f.Name, f.fleet(v.Fleet))
			}
			continue
		}
		if f.duties != nil {
			if v.Roles != nil {
				text = fmt.Appendf(text, "%s%s %d\n", prefix, f.Name, f.duties(v.Roles))
			}
			continue
		}
		if f.recovery != nil {
			if v.Recovery != nil {
				text = fmt.Appendf(text, "%s%s %d\n", prefix, f.Name, f.recovery(v.Recovery))
			}
			continue
		}
		if f.value != nil {
			text = fmt.Appendf(text, "%s%s %d\n", prefix, f.Name, f.value(&v))
			continue
		}
		for i := range v.Classes {
			c := &v.Classes[i]
			text = fmt.Appendf(text, "%s%s{%s=%s} %d\n", prefix, f.Name, label, quote(c.Name), f.class(c))
		}
	}
	return string(append(text, ".\n"...))
}

func fleetView(r Router) string {
	lines, on := r.View()
	if !on {
		return Refusal("this router keeps no view of the fleet; the settings have no block fleet")
	}
	return "+OK\n" + strings.Join(append(lines, ".\n"), "\n")
}

func rolesStatus(r Router) string {
	lines, on := r.Roles()
	if !on {
		return Refusal("this router has no duties; the settings have no block duties")
	}
	return "+OK\n" + strings.Join(append(lines, ".\n"), "\n")
}

func recoveryStatus(r Router) string {
	lines, on := r.Recovery()
	if !on {
		return Refusal("this router keeps nothing of its last life; the settings have no block recovery")
	}
	return "+OK\n" + strings.Join(append(lines, ".\n"), "\n")
}

func transferRole(r Router, words []string) string {
	var token uint64
	var err error
	if len(words) == 3 {
		token, err = strconv.ParseUint(words[2], 10, 64)
	}
	if len(words) < 2 || len(words) > 3 || err != nil {
		return Refusal("say duty-give DUTY ROUTER [TOKEN], with * for whoever waits and the token of the holder, as duties tells it")
	}
	return acknowledge(r.TransferRole(words[0], words[1], token))
}

func rebuildRoles(r Router, words []string) string { return acknowledge(r.RebuildRoles(words)) }

func acknowledge(err error) string {
	if err != nil {
		return Refusal(err.Error())
	}
	return "+OK\n"
}

func boolFigure(on bool) uint64 {
	if on {
		return 1
	}
	return 0
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
