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
	defaultEvents    = 10
	maxUnreadStarted = 1000
)

// ModelBehavior is how a Model answers.
type ModelBehavior struct {
	FirstDelay    time.Duration // before the head and the first event
	EventInterval time.Duration // between two events
	Events        int           // with a token each; 0 for defaultEvents
	Suffix        string        // of the last token, so that the text differs from that of others
	Report        string        // load report at the end, none if empty
	Breaks        bool          // resets the connection halfway
	Stalls        bool          // sends nothing until the other side closes
	Status        int           // if not 0: answers with this status alone
	Gate          <-chan bool   // the last event waits until this is sent to or closed
	Stages        []<-chan bool // each of the last events waits for one of these, in their order
}

// Model is a scripted model host. It answers each prompt with a text made from it, counts the
// attempts in flight for each request id, and can be killed and revived at its address.
type Model struct {
	Addr    string
	Started chan string // the ids of attempts; those that it has no capacity for are dropped

	mu           sync.Mutex
	behavior     ModelBehavior
	listener     net.Listener
	conns        map[net.Conn]bool
	inFlight     map[string]int // attempts by request id
	attemptsByID map[string]int // so far
	total        int            // attempts so far
	duplicated   []string
	maxInFlight  int
	accepted     int // connections so far
}

// ModelCounts are the attempts at a model.
type ModelCounts struct {
	Total       int      // so far
	MaxInFlight int      // at the same time
	InFlight    int      // now
	Duplicated  []string // ids that ever had two attempts in flight at the same time
}

// NewModel starts a model host until the end of the test.
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

// Set changes how the model answers from the next request on.
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

// Revive listens again at the same address.
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

// Counts returns the attempts so far.
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

// inFlightLocked is the number of attempts in flight, of all ids.
func (h *Model) inFlightLocked() (n int) {
	for _, attempts := range h.inFlight {
		n += attempts
	}
	return n
}

// Accepted returns how many connections there were so far.
func (h *Model) Accepted() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.accepted
}

// Attempts returns how many attempts a request id had so far.
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

// serve answers the requests of a connection. An attempt is in flight until the other side closes
// or has the complete answer.
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
		go func() { // until the next request or the close, for which this function waits
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
	interrupted <-chan bool // closed when the other side closes or sends more
}

// write writes the answer to a prompt and reports whether the connection is of further use.
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

// writeEvents writes the head and an event for each token, as slowly and as far as the behavior
// says.
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

// finalEvents are the end of the stream: the finish, the usage and the load report.
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

// send writes a text and reports whether it could.
func (a *modelAnswer) send(text string) bool {
	_, err := io.WriteString(a.conn, text)
	return err == nil
}

// sleep waits for a time and reports false if the other side interrupted it.
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

// await waits for the test to open a gate and reports false if the other side interrupted it.
func (a *modelAnswer) await(gate <-chan bool) bool {
	select {
	case <-gate:
		return true
	case <-a.interrupted:
		return false
	}
}

// Tokens are the tokens of a model's answer to a prompt.
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
