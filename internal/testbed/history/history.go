// Package history has the format of the history of a run, an event a line: of processes on sockets
// or of the simulator's virtual time. history.schema.json beside this file describes the same lines
// for other programs. The package is pure: it writes to what it is given, and its caller stamps the
// times.
//
// Times are nanoseconds since the run began, by one monotonic clock for the whole machine. A
// client's request, a call of a process and an operation each have a start and an end; the outcome
// of one without an end is unknown, neither done nor not done.
package history

import (
	"bufio"
	"bytes"
	"cmp"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Version is the version of the format; a reader rejects others.
const Version = 1

// MostLine bounds a line in bytes, MostText the text of an event, and MostEvents the events of one
// history.
const (
	MaxLineBytes = 64 << 10
	MaxTextBytes = 512
	MaxEvents    = 2_000_000
)

// Schema is the JSON schema of a line.
//
//go:embed history.schema.json
var Schema []byte

// What is the kind of an event.
type What string

// The events.
const (
	Begin What = "begin" // the first one: Play
	Bound What = "bound" // the last one where the history is full
	End   What = "end"   // of the play

	Start        What = "start"   // a process: Who, PID; Text is why where that is not the play's beginning
	Phase        What = "phase"   // its log names a phase: Text
	Ready        What = "ready"   // its clients' address says yes
	Unready      What = "unready" // and no more
	Log          What = "log"     // any other line that it wrote: Text
	Term         What = "term"    // it was told to end
	Exit         What = "exit"    // it has ended: Status, or Text for a signal
	Usage        What = "usage"   // what it uses: Memory, Descriptors, CPU, Withheld
	Unresponsive What = "caught"  // it does not answer, and no fault excuses that: Text is where the evidence is
	Call         What = "call"    // a call at its management address: ID, Text
	Return       What = "return"  // the answer: ID, Text; empty for none in time

	Fault What = "fault" // begins: N in the schedule, Text its kind, Routers, Hosts, Links
	Heal  What = "heal"  // ends

	Ask               What = "ask"     // a client's request goes to a router: ID, Who, Class, Until
	First             What = "first"   // its first event came
	Answer            What = "answer"  // its final answer: Status, How
	Attempt           What = "attempt" // its last byte is at a host: ID, Who the host, From the router, Conn
	Done              What = "done"    // the host has finished it, in whatever way
	Closed            What = "closed"  // the router closed the connection Conn
	ListApplied       What = "told"    // the list told router Who of host From: Text is the state
	HostOverloaded    What = "fell"    // host Who failed from overload in its slow start
	OversizedDatagram What = "wide"    // router Who sent a datagram of Bytes, more than the platform allows

	View   What = "view"   // a router's view of the fleet: Who, Text its digest, N its number, Routers who is in it, Inc its own incarnation
	Invoke What = "invoke" // an operation of client Who begins: ID, Op
	OK     What = "ok"     // it has ended: ID, Op
	Act    What = "act"    // under a duty, as its receiver Who has it: From the router, Text the duty, Token, Status 200 or 409 where it was refused
	Note   What = "note"   // of the rig itself: Text
)

// How is the outcome of a client's request.
type How string

// The outcomes.
const (
	Complete    How = "whole"
	Broken      How = "broken"    // it began, and is not whole
	Refused     How = "refused"   // 429 or 503
	Failed      How = "failed"    // any other status
	Unreached   How = "unreached" // no connection came up: nobody has taken the request
	Interrupted How = "cut off"   // the connection ended with no answer
	None        How = "none"      // nothing came before the client's time-out
	Left        How = "left"      // the client canceled
)

// Event is a line.
type Event struct {
	T    int64  `json:"t"` // nanoseconds since the run began
	What What   `json:"what"`
	Who  string `json:"who,omitempty"` // r0 is a router, r0/2 its second process, h0 a host
	ID   string `json:"id,omitempty"`
	Text string `json:"text,omitempty"`

	PID    int   `json:"pid,omitempty"`
	N      int   `json:"n,omitempty"`
	Status int   `json:"status,omitempty"`
	How    How   `json:"how,omitempty"`
	Until  int64 `json:"until,omitempty"` // when its client gives up; of what the router sent, when that was due as the request stated
	// Arrived is when the bytes of a first event or of an answer came to the client's system, or
	// those of an attempt left its router; 0 where that is not known.
	Arrived int64 `json:"arrived,omitempty"`

	Class string `json:"class,omitempty"`
	From  string `json:"from,omitempty"`
	Conn  string `json:"conn,omitempty"`
	Bytes int    `json:"bytes,omitempty"`

	Memory      int64 `json:"memory,omitempty"` // bytes, most so far
	Descriptors int   `json:"descriptors,omitempty"`
	CPU         int64 `json:"cpu,omitempty"`      // nanoseconds so far
	Withheld    int64 `json:"withheld,omitempty"` // nanoseconds so far in which its threads were ready to run and had no processor

	Routers []int    `json:"routers,omitempty"`
	Hosts   []int    `json:"hosts,omitempty"`
	Links   []string `json:"links,omitempty"`
	All     bool     `json:"all,omitempty"` // the links of every router are affected

	Incarnation    uint32 `json:"inc,omitempty"`
	Token          uint64 `json:"token,omitempty"`
	LeaseCheckedAt int64  `json:"begun,omitempty"` // when the holder of Token last checked its lease, where both have one clock

	Op   *Op   `json:"op,omitempty"`
	Play *Play `json:"play,omitempty"`
}

// Op is what an operation does, for histories that must be linearizable.
type Op struct {
	Kind      string `json:"kind"` // read, write or cas of a register; acquire, renew, yield or expire of a duty
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"` // of a duty the router, and its process behind a slash
	Old       string `json:"old,omitempty"`   // of cas
	Succeeded bool   `json:"did,omitempty"`   // of the end of all but read and write
	Token     uint64 `json:"token,omitempty"`
}

// Play is what was played.
type Play struct {
	Version  int    `json:"version"`
	World    string `json:"world"` // rig or lab
	Name     string `json:"name,omitempty"`
	Seed     uint64 `json:"seed"`
	Routers  int    `json:"routers"`
	Hosts    int    `json:"hosts"`
	Schedule string `json:"schedule,omitempty"` // as its file has it
	Slack    int64  `json:"slack"`              // nanoseconds that an answer may be late
	Memory   int64  `json:"memory,omitempty"`   // bytes that a router may hold, 0 for no bound
	Sockets  int    `json:"sockets,omitempty"`
	Leave    int64  `json:"leave,omitempty"`  // nanoseconds that a router has after SIGTERM
	Views    int64  `json:"views,omitempty"`  // nanoseconds after the last fault until all views are the same; 0 where there are none
	Settle   int64  `json:"settle,omitempty"` // nanoseconds after the last fault until the fleet serves as before; 0 for no bound
}

// At is the time as a span.
func (e *Event) At() time.Duration { return time.Duration(e.T) }

// ArrivedAt is when what an event tells of came, in nanoseconds since the run began: T where nothing
// else is known.
func (e *Event) ArrivedAt() int64 { return cmp.Or(e.Arrived, e.T) }

// String is a line for people.
func (e *Event) String() string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%12v %-8s %s", e.At().Round(time.Microsecond), e.What, e.Who)
	for _, word := range []string{e.ID, e.Class, e.From, e.Conn, string(e.How), e.Text} {
		if word != "" {
			fmt.Fprintf(&b, " %s", word)
		}
	}
	if e.Status != 0 {
		fmt.Fprintf(&b, " %d", e.Status)
	}
	return b.String()
}

// Writer writes events, each with one call of Write, so that what a killed process has written can
// be read.
type Writer struct {
	to     io.Writer
	events int
	lost   int
}

// NewWriter returns a Writer to an io.Writer that it does not buffer.
func NewWriter(to io.Writer) *Writer { return &Writer{to: to} }

// Write writes an event. Beyond MostEvents it writes Bound once, and counts.
func (w *Writer) Write(e *Event) error {
	switch {
	case w.events == MaxEvents-1:
		e = &Event{T: e.T, What: Bound, Text: fmt.Sprintf("full after %d events", w.events)}
	case w.events >= MaxEvents:
		w.lost++
		return nil
	}
	if len(e.Text) > MaxTextBytes {
		truncated := *e
		truncated.Text = e.Text[:MaxTextBytes]
		e = &truncated
	}
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	w.events++
	_, err = w.to.Write(append(line, '\n'))
	return err
}

// Lost returns how many events came after the bound.
func (w *Writer) Lost() int { return w.lost }

// Read reads a history. A last line that was cut is left out; any other fault names its line.
func Read(from io.Reader) ([]Event, error) {
	var all []Event
	lines := bufio.NewReaderSize(from, MaxLineBytes)
	for n := 1; ; n++ {
		line, err := lines.ReadSlice('\n')
		if err == io.EOF {
			break // with a line that was cut, or with none
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if n == 1 && (e.What != Begin || e.Play == nil) {
			return nil, fmt.Errorf("line 1: is no beginning of a history")
		}
		if n == 1 && e.Play.Version != Version {
			return nil, fmt.Errorf("line 1: is of version %d; this program reads %d", e.Play.Version, Version)
		}
		if len(all) == MaxEvents {
			return nil, fmt.Errorf("line %d: is more than the %d events that a history may have", n, MaxEvents)
		}
		all = append(all, e)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("line 1: the history is empty")
	}
	return all, nil
}
