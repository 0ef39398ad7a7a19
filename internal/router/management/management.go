// Package management implements the operators' management API without its socket: the calls, the
// figures, and the answer to one line. The tables Calls and Figures are the only place that defines
// the names of calls and figures; the output and the operators' page are generated from them. The
// package has no state.
package management

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// MaxLineBytes is the maximum length of a line that contains a call, in bytes.
const MaxLineBytes = 256

// Router is the router process that the management API reports on and controls. No method may
// block, because a caller must receive its answer within a second, however busy the router is.
type Router interface {
	// Accepting reports whether this process accepts clients, and returns the name of its phase.
	Accepting() (accepting bool, phase string)
	// Values returns the values of the figures.
	Values() Values
	// View returns one line for each router in this router's view of the fleet; on is false if it
	// has no view.
	View() (lines []string, on bool)
	// Drain starts draining if on is set and otherwise ends it. It returns the name of the phase
	// that the router is in afterwards.
	Drain(on bool) (phase string, err error)
	// Recovery returns lines on the recovery of the last incarnation's state and its stage, and one
	// line for each part of that state that was discarded; on is false if the router stores no
	// state.
	Recovery() (lines []string, on bool)
	// Roles returns lines on the voters, on each singleton role and on the roles of this router; on
	// is false if there are no singleton roles.
	Roles() (lines []string, on bool)
	// TransferRole transfers the lease of a role to a router, or to the first router in the role's
	// queue. If several routers hold the role, token selects the holder; 0 selects the first.
	TransferRole(name, to string, token uint64) error
	// RebuildRoles founds a new group of voters after the named routers have lost their disks.
	RebuildRoles(lost []string) error
}

// Values holds the values of the figures.
type Values struct {
	Classes                         []Class
	AttemptsWritten                 uint64
	OpenRequests                    int64
	ListedHosts                     int64
	ExcludedHosts                   int64
	ConfigsAccepted, ConfigsInvalid uint64
	PanicsRecovered                 uint64
	MalformedAnswers                uint64
	ClosedConnections               []ClosedConnections
	Fleet                           *Fleet    // nil if the router has no view of the fleet
	Roles                           *Roles    // nil if the router has no singleton roles
	Recovery                        *Recovery // nil if the router stores no state for its next incarnation
}

// ClosedConnections counts the client connections that were closed for one reason.
type ClosedConnections struct {
	Reason             string
	Closed             uint64
	Unread, Unanswered uint64 // subsets of Closed: connections with unread bytes; with a started request without an answer
}

// Recovery holds the values of the recovery figures.
type Recovery struct {
	Stage                                      int     // number of the stage, from 0; the figure recovery_stage lists the stages
	WarmFraction                               float64 // present capacity of the listed hosts as a fraction of their capacity when warm
	RejectedRequests, Snapshots, ExcludedHosts uint64
}

// Roles holds the values of the figures about singleton roles.
type Roles struct {
	Leases, Requested                  int
	Begun, Ended, TokensRejected, Sent uint64
	NoLeader                           bool
	Commands, Elections, LogEntries    uint64
	Token                              uint64
}

// Fleet holds the values of the figures about the router's view of the fleet.
type Fleet struct {
	Members, Suspected, Dead            int
	View                                uint64 // version number of the view that is in use
	Deaths, Suspicions, Refuted, Pauses uint64
	Sent, SentBytes, Dropped            uint64
}

// Class counts how the requests of one class ended.
type Class struct {
	Name                          string
	Accepted                      uint64 // the sum of the other counters and the number of open requests
	Fulfilled, Throttled, Faulted uint64
	Abandoned, Moved              uint64
}

// Answer returns the answer to a line. The line is passed without its line end.
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

// Refusal returns the answer to a call that failed, or to a line that is no call.
func Refusal(why string) string { return "-ERR " + why + "\n" }

// Page returns the tables of calls and figures in Markdown, as the operators' page contains them.
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
