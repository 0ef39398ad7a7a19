// Package history reads and writes histories of runs, of real processes or in the simulator's virtual
// time. A history has one event per line, as JSON. history.schema.json beside this file describes the
// format for other programs. The package is pure: it writes only to the given writer, and callers set
// the times of events.
//
// Times are nanoseconds since the run began, by one monotonic clock for the whole machine. A client's
// request, a call of a process and an operation each have a start and an end. If the history has no
// end for one of them, its outcome is unknown: it may or may not have taken effect.
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

// Version is the version of the format. Read rejects histories of other versions.
const Version = 1

// MaxLineBytes is the largest size of a line, MaxTextBytes the largest size of an event's text, and
// MaxEvents the largest number of events in one history.
const (
	MaxLineBytes = 64 << 10
	MaxTextBytes = 512
	MaxEvents    = 2_000_000
)

// Schema is the JSON schema of one line of a history.
//
//go:embed history.schema.json
var Schema []byte

// What is the kind of an event.
type What string

// The kinds of events. After the colon, a comment names the fields that an event of the kind sets.
const (
	Begin What = "begin" // the first event: Play
	Bound What = "bound" // the last event of a history that is full
	End   What = "end"   // the play has ended

	Start        What = "start"   // a process started: Who, PID; Text is the reason if it is not the first process of its router
	Phase        What = "phase"   // the process logged that it entered a phase: Text is its name
	Ready        What = "ready"   // the router's client address reports that it is ready
	Unready      What = "unready" // the router stopped being ready
	Log          What = "log"     // the process wrote any other line: Text
	Term         What = "term"    // SIGTERM was sent to the process
	Exit         What = "exit"    // the process exited: Status, or Text with the signal that killed it
	Usage        What = "usage"   // the resources that the process uses: Memory, Descriptors, CPU, Withheld
	Unresponsive What = "caught"  // the process does not answer, and no fault excuses that: Text has the error and where the evidence is
	Call         What = "call"    // a call to the process's management address: ID is the command
	Return       What = "return"  // the answer to a call: ID, Text, which is empty if there was no answer in time

	Fault What = "fault" // a fault begins: N is its number in the schedule, Text its kind; Routers, Hosts, Links
	Heal  What = "heal"  // a fault ends

	Ask               What = "ask"     // a client sends a request to a router: ID, Who, Class, Until
	First             What = "first"   // the first event of the request's stream arrived
	Answer            What = "answer"  // the final answer to the request: Status, How
	Attempt           What = "attempt" // the last byte of the request reached a host: ID, Conn; Who is the host, From the router
	Done              What = "done"    // the host has finished the attempt, with any outcome
	Closed            What = "closed"  // the router closed the connection Conn
	ListApplied       What = "told"    // the list reported the state of host From to router Who: Text is the state
	HostOverloaded    What = "fell"    // host Who failed from overload while it was cold
	OversizedDatagram What = "wide"    // router Who sent a datagram of Bytes bytes, more than the platform allows

	View   What = "view"   // a router's view of the fleet: Who, Text is the digest, N the version, Routers the routers in it, Incarnation that of Who
	Invoke What = "invoke" // client Who starts an operation: ID, Op
	OK     What = "ok"     // the operation has ended: ID, Op
	Act    What = "act"    // receiver Who got a request that router From sent under a duty: Text is the duty, Token; Status is 200, or 409 if it was refused
	Note   What = "note"   // a remark of the test itself: Text
)

// How is the outcome of a client's request.
type How string

// The outcomes of requests.
const (
	Complete    How = "whole"
	Broken      How = "broken"    // the answer began but is incomplete
	Refused     How = "refused"   // the answer has status 429 or 503
	Failed      How = "failed"    // the answer has any other status
	Unreached   How = "unreached" // no connection could be opened, so no router got the request
	Interrupted How = "cut off"   // the connection ended with no answer
	None        How = "none"      // no answer arrived before the client's timeout
	Left        How = "left"      // the client canceled the request
)

// Event is one event, which is one line of the file. The kind determines which fields are set.
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
	Until  int64 `json:"until,omitempty"` // when the client gives up; for an answer or first event, when it was due according to the request
	// Arrived is when the bytes of a first event or an answer arrived at the client's operating
	// system, or when the bytes of an attempt left the router. It is 0 if the time is not known.
	Arrived int64 `json:"arrived,omitempty"`

	Class string `json:"class,omitempty"`
	From  string `json:"from,omitempty"`
	Conn  string `json:"conn,omitempty"`
	Bytes int    `json:"bytes,omitempty"`

	Memory      int64 `json:"memory,omitempty"` // peak memory so far, in bytes
	Descriptors int   `json:"descriptors,omitempty"`
	CPU         int64 `json:"cpu,omitempty"`      // processor time used so far, in nanoseconds
	Withheld    int64 `json:"withheld,omitempty"` // nanoseconds so far in which threads of the process were ready to run but had no processor

	Routers []int    `json:"routers,omitempty"`
	Hosts   []int    `json:"hosts,omitempty"`
	Links   []string `json:"links,omitempty"`
	All     bool     `json:"all,omitempty"` // the links of every router are affected

	Incarnation    uint32 `json:"inc,omitempty"`
	Token          uint64 `json:"token,omitempty"`
	LeaseCheckedAt int64  `json:"begun,omitempty"` // when the holder of Token last checked its lease; only set if holder and receiver share a clock

	Op   *Op   `json:"op,omitempty"`
	Play *Play `json:"play,omitempty"`
}

// Op describes an operation of a history that must be linearizable.
type Op struct {
	Kind      string `json:"kind"` // read, write or cas of a register; acquire, renew, yield or expire of a duty
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"` // for a duty, the router and its process, separated by a slash
	Old       string `json:"old,omitempty"`   // for cas, the expected value
	Succeeded bool   `json:"did,omitempty"`   // set at the end of an operation other than read and write that succeeded
	Token     uint64 `json:"token,omitempty"`
}

// Play describes the run: its experiment, its size, and the limits that checkers apply.
type Play struct {
	Version  int    `json:"version"`
	World    string `json:"world"` // rig for real processes, lab for the simulator
	Name     string `json:"name,omitempty"`
	Seed     uint64 `json:"seed"`
	Routers  int    `json:"routers"`
	Hosts    int    `json:"hosts"`
	Schedule string `json:"schedule,omitempty"` // the faults, in the syntax of an experiment's file
	Slack    int64  `json:"slack"`              // nanoseconds by which an answer may be late
	Memory   int64  `json:"memory,omitempty"`   // largest memory of a router in bytes; 0 for no limit
	Sockets  int    `json:"sockets,omitempty"`
	Leave    int64  `json:"leave,omitempty"`  // nanoseconds in which a router must exit after SIGTERM
	Views    int64  `json:"views,omitempty"`  // nanoseconds after the last fault until all views must be identical; 0 if routers maintain no views
	Settle   int64  `json:"settle,omitempty"` // nanoseconds after the last fault until the fleet must serve as before; 0 for no limit
}

// At returns the time of the event since the run began.
func (e *Event) At() time.Duration { return time.Duration(e.T) }

// ArrivedAt returns Arrived, or T if Arrived is not known. Both are in nanoseconds since the run
// began.
func (e *Event) ArrivedAt() int64 { return cmp.Or(e.Arrived, e.T) }

// String returns the event as one human-readable line.
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

// Writer writes events to an io.Writer. It makes one unbuffered write per event, so that the events of
// a process that was killed can be read.
type Writer struct {
	to     io.Writer
	events int
	lost   int
}

// NewWriter returns a Writer that writes to an io.Writer without buffering.
func NewWriter(to io.Writer) *Writer { return &Writer{to: to} }

// Write writes an event, and truncates its text to MaxTextBytes. A Bound event replaces the last event
// that fits into MaxEvents. Later events are dropped and counted.
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

// Lost returns how many events were dropped after the Bound event.
func (w *Writer) Lost() int { return w.lost }

// Read reads a history. It ignores an incomplete last line. Any other error names its line.
func Read(from io.Reader) ([]Event, error) {
	var all []Event
	lines := bufio.NewReaderSize(from, MaxLineBytes)
	for n := 1; ; n++ {
		line, err := lines.ReadSlice('\n')
		if err == io.EOF {
			break // the last line is incomplete or empty
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if n == 1 && (e.What != Begin || e.Play == nil) {
			return nil, fmt.Errorf("line 1: not a begin event that describes the play")
		}
		if n == 1 && e.Play.Version != Version {
			return nil, fmt.Errorf("line 1: the history has format version %d; this program reads version %d", e.Play.Version, Version)
		}
		if len(all) == MaxEvents {
			return nil, fmt.Errorf("line %d: the history has more than the %d events allowed", n, MaxEvents)
		}
		all = append(all, e)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("line 1: the history is empty")
	}
	return all, nil
}
