package scripted

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	defaultEvents    = 10   // token events of an answer, if the behavior states no number
	maxUnreadStarted = 1000 // capacity of Model.Started
)

// ModelBehavior describes how a Model answers requests.
type ModelBehavior struct {
	FirstDelay    time.Duration // delay before the head and the first event
	EventInterval time.Duration // interval between two events
	Events        int           // number of events with one token each; 0 means defaultEvents
	Suffix        string        // appended to the last token, so that the text differs from other models' answers
	Report        string        // load report at the end of the stream; none if empty
	Breaks        bool          // resets the connection halfway through the stream
	Stalls        bool          // sends nothing until the client closes the connection or sends more
	Status        int           // if not 0, answers with this status and no body
	Gate          <-chan bool   // if not nil, the last event waits for a value or the close of this channel
	Stages        []<-chan bool // the last len(Stages) events each wait for the channel at their position
}

// Model is a scripted model host. It answers each prompt with a text derived from the prompt, counts
// the attempts in flight for each request id, and can be killed and restarted at the same address.
type Model struct {
	Addr    string
	Started chan string // request ids of started attempts; ids that exceed the channel's capacity are dropped

	mu           sync.Mutex
	behavior     ModelBehavior
	listener     net.Listener
	conns        map[net.Conn]bool
	inFlight     map[string]int // attempts in flight, by request id
	attemptsByID map[string]int // attempts so far, by request id
	total        int            // attempts so far
	duplicated   []string       // see ModelCounts.Duplicated
	maxInFlight  int            // largest number of attempts in flight at the same time
	accepted     int            // connections accepted so far
}

// ModelCounts counts the attempts that a Model has received.
type ModelCounts struct {
	Total       int      // attempts so far
	MaxInFlight int      // largest number of attempts in flight at the same time
	InFlight    int      // attempts in flight now
	Duplicated  []string // request ids that ever had two attempts in flight at the same time
}

// NewModel starts a model host. It is killed at the end of the test.
func NewModel(t testing.TB, b ModelBehavior) *Model {
	t.Helper()
	h := &Model{
		Addr:         "127.0.0.1:0",
		behavior:     b,
		inFlight:     map[string]int{},
		attemptsByID: map[string]int{},
		Started:      make(chan string, maxUnreadStarted),
	}
	h.Revive(t)
	t.Cleanup(h.Kill)
	return h
}

// Set changes the behavior of the model, starting with the next request.
func (h *Model) Set(b ModelBehavior) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.behavior = b
}

// Kill resets all connections and refuses new ones.
func (h *Model) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener.Close()
	for c := range h.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Revive makes a killed model listen again at its address.
func (h *Model) Revive(t testing.TB) {
	t.Helper()
	ln, err := net.Listen("tcp", h.Addr)
	if err != nil {
		t.Fatal(err)
	}
	h.mu.Lock()
	h.Addr, h.listener, h.conns = ln.Addr().String(), ln, map[net.Conn]bool{}
	h.mu.Unlock()
	go h.accept(ln)
}

// accept serves the connections of a listener until Kill closes it.
func (h *Model) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.accepted++
		h.mu.Unlock()
		go h.serve(c)
	}
}

// Counts returns the current counts of attempts.
func (h *Model) Counts() ModelCounts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return ModelCounts{
		Total:       h.total,
		MaxInFlight: h.maxInFlight,
		InFlight:    h.inFlightLocked(),
		Duplicated:  h.duplicated,
	}
}

// inFlightLocked returns the number of attempts in flight over all request ids. The caller holds mu.
func (h *Model) inFlightLocked() (n int) {
	for _, attempts := range h.inFlight {
		n += attempts
	}
	return n
}

// Accepted returns the number of connections accepted so far.
func (h *Model) Accepted() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.accepted
}

// Attempts returns the number of attempts so far for a request id.
func (h *Model) Attempts(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.attemptsByID[id]
}

// begin counts a new attempt and returns how to answer it.
func (h *Model) begin(id string) ModelBehavior {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total++
	h.attemptsByID[id]++
	h.inFlight[id]++
	if h.inFlight[id] > 1 {
		h.duplicated = append(h.duplicated, id)
	}
	h.maxInFlight = max(h.maxInFlight, h.inFlightLocked())
	return h.behavior
}

// end counts the end of an attempt.
func (h *Model) end(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight[id]--
	if h.inFlight[id] == 0 {
		delete(h.inFlight, id)
	}
}

// serve answers the requests of a connection. An attempt is in flight until its answer is complete or
// the client closes the connection.
func (h *Model) serve(c net.Conn) {
	defer func() {
		c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Correlation-Id")
		behavior := h.begin(id)
		select {
		case h.Started <- id:
		default:
		}
		readable := make(chan bool)
		go func() { // ends at the next request or the close of the connection; serve waits for it
			in.Peek(1)
			close(readable)
		}()
		a := modelAnswer{conn: c, ModelBehavior: behavior, interrupted: readable}
		ok := a.write(string(body))
		h.end(id)
		if !ok {
			return
		}
		<-readable
	}
}

// modelAnswer writes one answer of a model.
type modelAnswer struct {
	ModelBehavior
	conn        net.Conn
	interrupted <-chan bool // closed when the client closes the connection or sends more
}

// write writes the answer to a prompt and reports whether the connection can be used for further
// requests.
func (a *modelAnswer) write(prompt string) bool {
	if a.Stalls {
		<-a.interrupted
		return false
	}
	if !a.sleep(a.FirstDelay) {
		return false
	}
	if a.Status != 0 {
		return a.send(fmt.Sprintf("HTTP/1.1 %d Odd\r\nContent-Length: 0\r\n\r\n", a.Status))
	}
	tokens := Tokens(prompt, a.ModelBehavior)
	if !a.writeEvents(tokens) {
		return false
	}
	return a.send(Chunk(a.finalEvents(len(prompt)/4, len(tokens))) + End)
}

// writeEvents writes the head and one event for each token, with the pauses and the break that the
// behavior asks for. It reports whether it wrote all events.
func (a *modelAnswer) writeEvents(tokens []string) bool {
	for i, token := range tokens {
		event := Chunk(fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", token))
		if i == 0 {
			event = Head + event
		} else if !a.sleep(a.EventInterval) {
			return false
		}
		if a.Breaks && i == len(tokens)/2 {
			a.conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		if stage := i - (len(tokens) - len(a.Stages)); stage >= 0 && !a.await(a.Stages[stage]) {
			return false
		}
		if i == len(tokens)-1 && a.Gate != nil && !a.await(a.Gate) {
			return false
		}
		if !a.send(event) {
			return false
		}
	}
	return true
}

// finalEvents returns the events at the end of the stream: the finish, the usage, the end marker and
// the load report.
func (a *modelAnswer) finalEvents(promptTokens, completionTokens int) string {
	const finish = "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
	usage := fmt.Sprintf(
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n\n",
		promptTokens, completionTokens)
	events := finish + usage + "data: [DONE]\n\n"
	if a.Report != "" {
		events += ": X-Backend-Load: " + a.Report + "\n\n"
	}
	return events
}

// send writes a text to the connection and reports whether it succeeded.
func (a *modelAnswer) send(text string) bool {
	_, err := io.WriteString(a.conn, text)
	return err == nil
}

// sleep waits for a duration. It returns false if the client closes the connection or sends more
// first.
func (a *modelAnswer) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-a.interrupted:
		return false
	}
}

// await waits until the test opens a gate. It returns false if the client closes the connection or
// sends more first.
func (a *modelAnswer) await(gate <-chan bool) bool {
	select {
	case <-gate:
		return true
	case <-a.interrupted:
		return false
	}
}

// Tokens returns the tokens with which a Model of the given behavior answers a prompt.
func Tokens(prompt string, b ModelBehavior) []string {
	n := b.Events
	if n == 0 {
		n = defaultEvents
	}
	hash := fnv.New32a()
	io.WriteString(hash, prompt)
	seed := hash.Sum32()
	tokens := make([]string, n)
	for i := range tokens {
		seed = seed*1664525 + 1013904223 // a linear congruential generator
		tokens[i] = fmt.Sprintf("w%d ", seed>>20)
	}
	tokens[n-1] = strings.TrimSpace(tokens[n-1]) + b.Suffix
	return tokens
}
