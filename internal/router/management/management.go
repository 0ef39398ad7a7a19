// Package management is the operators' management API without its socket: the calls, the figures,
// and the answer to one line. Its two tables, Calls and Figures, are the only place where they are
// named; the output and the operators' page are made from them. It has no state.
package management

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// MaxLineBytes is the length of the longest line that is a call.
const MaxLineBytes = 256

// Router is the process that the management API reports on and controls. No method may block: a
// caller has a second, however busy the router is.
type Router interface {
	// Accepting reports whether this process accepts clients, and the name of its phase.
	Accepting() (accepting bool, phase string)
	// Values returns the values of the figures.
	Values() Values
	// View returns the routers in this one's view of the fleet, a line each; on is false where it
	// has no view.
	View() (lines []string, on bool)
	// Drain starts draining or ends it, and returns the name of the phase that follows.
	Drain(on bool) (phase string, err error)
	// Recovery returns the state of the recovery from the last incarnation, a line and one for each
	// part of its state that was discarded; on is false where no state is stored.
	Recovery() (lines []string, on bool)
	// Roles returns the singleton roles, a line each; on is false where there are none.
	Roles() (lines []string, on bool)
	// TransferRole transfers the lease of a role to a router, or to the first in its queue. Of
	// several lease holders it names the one with that token, 0 for the first.
	TransferRole(name, to string, token uint64) error
	// RebuildRoles founds the voters' state anew where the named routers have lost their disks.
	RebuildRoles(lost []string) error
}

// Values are the values of the figures.
type Values struct {
	Classes                         []Class
	AttemptsWritten                 uint64
	OpenRequests                    int64
	ListedHosts                     int64
	ExcludedHosts                   int64
	ConfigsAccepted, ConfigsInvalid uint64
	ClosedConnections               []ClosedConnections
	Fleet                           *Fleet    // nil where the router has no view of the fleet
	Roles                           *Roles    // nil where it has none
	Recovery                        *Recovery // nil where no state is stored for the next incarnation
}

// ClosedConnections counts the client connections that were closed for one reason.
type ClosedConnections struct {
	Reason             string
	Closed             uint64
	Unread, Unanswered uint64 // of them: with unread bytes; with a request that was begun and has no answer
}

// Recovery is the values of the figures of the recovery.
type Recovery struct {
	Stage                                      int     // from 0 on
	WarmFraction                               float64 // of the listed hosts' warm capacity
	RejectedRequests, Snapshots, ExcludedHosts uint64
}

// Roles is the values of the figures of the singleton roles.
type Roles struct {
	Leases, Requested                  int
	Begun, Ended, TokensRejected, Sent uint64
	NoLeader                           bool
	Commands, Elections, LogEntries    uint64
	Token                              uint64
}

// Fleet is the values of the figures of the view of the fleet.
type Fleet struct {
	Members, Suspected, Dead            int
	View                                uint64 // the number of the view in force
	Deaths, Suspicions, Refuted, Pauses uint64
	Sent, SentBytes, Dropped            uint64
}

// Class counts how the requests of one class ended.
type Class struct {
	Name                          string
	Accepted                      uint64 // the sum of all others and of the open requests
	Fulfilled, Throttled, Faulted uint64
	Abandoned, Moved              uint64
}

// Answer returns the answer to a line, which has no line end.
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

// Refusal is the answer to a call that failed, or to a line that is no call.
func Refusal(why string) string { return "-ERR " + why + "\n" }

// Page returns the two tables in the form of the operators' page.
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
