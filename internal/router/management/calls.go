package management

import (
	"strconv"
	"strings"
)

// Call is a command of the management API. Name is the command line, and Meaning is its description
// on the operators' page.
type Call struct {
	Name, Meaning string
	answer        func(Router) string
	withArguments func(Router, []string) string // replaces answer for a call with arguments
}

// Calls lists every call.
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

// callNames returns the names of all calls, formatted for an error text.
func callNames() string {
	var all []string
	for _, c := range Calls {
		name, _, _ := strings.Cut(c.Name, " ")
		all = append(all, name)
	}
	last := len(all) - 1
	return strings.Join(all[:last], ", ") + " or " + all[last]
}

// check answers +OK if this process accepts clients, and otherwise an error that names its phase.
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

func transferRole(r Router, arguments []string) string {
	var token uint64
	var err error
	if len(arguments) == 3 {
		token, err = strconv.ParseUint(arguments[2], 10, 64)
	}
	if len(arguments) < 2 || len(arguments) > 3 || err != nil {
		return Refusal("say duty-give DUTY ROUTER [TOKEN], with * for whoever waits and the token of the holder, as duties tells it")
	}
	return acknowledge(r.TransferRole(arguments[0], arguments[1], token))
}

func rebuildRoles(r Router, arguments []string) string { return acknowledge(r.RebuildRoles(arguments)) }

func acknowledge(err error) string {
	if err != nil {
		return Refusal(err.Error())
	}
	return "+OK\n"
}
