package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"reachspread/coord/chain"
)

// Counter is an Application whose state is a version and the names of the last accepted commands.
// Its commands and snapshots are text fields separated by spaces, because a richer encoding would
// take most of the time of a run.
type Counter struct{}

// maxRemembered is how many of the last accepted commands a counter recognizes when they are
// submitted again.
const maxRemembered = 64

// New implements Application.
func (Counter) New() chain.Machine { return newCounter() }

// Version implements Application.
func (Counter) Version(m chain.Machine) int { return m.(*counter).version }

// Encode implements Application. A command's name must not contain a space.
func (Counter) Encode(o Command) []byte { return fmt.Appendf(nil, "%d %d %s", o.Base, o.Next, o.Name) }

// NameOf implements Application.
func (Counter) NameOf(change []byte) string {
	o, _ := parseCommand(change)
	return o.Name
}

// Outcome implements Application.
func (Counter) Outcome(reply []byte) (Outcome, error) {
	verdict, version, _ := strings.Cut(string(reply), " ")
	number, err := strconv.Atoi(version)
	switch verdict {
	case acceptedReply:
		return Outcome{Accepted, number}, err
	case rejectedReply:
		return Outcome{Rejected, number}, err
	}
	return Outcome{Unknown, number}, err
}

// The verdicts in replies.
const (
	acceptedReply   = "taken"
	rejectedReply   = "refused"
	retryLaterReply = "later" // the base version doesn't exist yet, but may follow
)

// parseCommand parses the text of a command.
func parseCommand(text []byte) (o Command, err error) {
	base, rest, _ := strings.Cut(string(text), " ")
	next, name, _ := strings.Cut(rest, " ")
	o.Name = name
	if o.Base, err = strconv.Atoi(base); err != nil {
		return o, err
	}
	o.Next, err = strconv.Atoi(next)
	return o, err
}

// counter is the machine of Counter.
type counter struct {
	version  int
	accepted map[string]bool // the names of the last accepted commands, at most maxRemembered
	names    []string        // the same names, the oldest first
}

// newCounter returns a counter in its initial state.
func newCounter() *counter { return &counter{accepted: map[string]bool{}} }

// Decide implements chain.Machine.
func (c *counter) Decide(text []byte) (change, reply []byte) {
	o, err := parseCommand(text)
	switch {
	case c.accepted[o.Name]:
		return nil, fmt.Appendf(nil, "%s %d", acceptedReply, c.version)
	case err == nil && o.Base == c.version:
		return text, fmt.Appendf(nil, "%s %d", acceptedReply, o.Next)
	}
	verdict := rejectedReply
	if err == nil && o.Base > c.version {
		verdict = retryLaterReply
	}
	return nil, fmt.Appendf(nil, "%s %d", verdict, c.version)
}

// Apply implements chain.Machine.
func (c *counter) Apply(change []byte) {
	o, _ := parseCommand(change)
	c.version = o.Next
	c.remember(o.Name)
}

// remember records an accepted command, and forgets the oldest one beyond maxRemembered.
func (c *counter) remember(name string) {
	c.accepted[name] = true
	if c.names = append(c.names, name); len(c.names) > maxRemembered {
		delete(c.accepted, c.names[0])
		c.names = c.names[1:]
	}
}

// Snapshot implements chain.Machine.
func (c *counter) Snapshot() []byte {
	return []byte(strings.Join(append([]string{strconv.Itoa(c.version)}, c.names...), " "))
}

// Restore implements chain.Machine.
func (c *counter) Restore(text []byte) (err error) {
	*c = *newCounter()
	fields := strings.Fields(string(text))
	if len(fields) == 0 {
		return fmt.Errorf("simulation: the snapshot of a counter has no fields; it needs a version")
	}
	c.version, err = strconv.Atoi(fields[0])
	for _, name := range fields[1:] {
		c.remember(name)
	}
	return err
}

// Value implements chain.Machine.
func (c *counter) Value() any { return c.version }
