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

// Manner is how a Model answers.
type Manner struct {
	First  time.Duration // until the head and the first event
	Gap    time.Duration // between two events
	Events int           // with a word each; 0 counts as 10
	Accent string        // added to the last word, so that the text differs from that of others
	Report string        // load report at the end, none if empty
	Break  bool          // resets the connection halfway
	Stalls bool          // says nothing until the other side closes
	Status int           // other than 0: this status and nothing else
	Gate   <-chan bool   // waits for a word before the last event
	Stages []<-chan bool // each of the last events waits until one of these is closed, in their order
}

// Model is a stand-in for a model host. It answers each prompt with a text made from it, keeps count of the attempts
// that are out for each id, and can be killed and revived at its address.
type Model struct {
	Addr    string
	Started chan string // the ids of attempts, if there is room

	mu     sync.Mutex
	manner Manner
	ln     net.Listener
	conns  map[net.Conn]bool
	out    map[string]int // attempts that are out
	Asked  map[string]int // attempts so far; read it with Attempts
	total  int
	twice  []string // ids with two out at once
	most   int      // out at once
	taken  int      // connections
}

// NewModel starts a model host.
func NewModel(t testing.TB, m Manner) *Model {
	t.Helper()
	h := &Model{Addr: "127.0.0.1:0", manner: m, out: map[string]int{}, Asked: map[string]int{}, Started: make(chan string, 1000)}
	h.Revive(t)
	t.Cleanup(h.Kill)
	return h
}

// Set changes how it answers from the next request on.
func (h *Model) Set(m Manner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.manner = m
}

// Kill resets all connections and refuses new ones.
func (h *Model) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ln.Close()
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
	h.Addr, h.ln, h.conns = ln.Addr().String(), ln, map[net.Conn]bool{}
	h.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns[c] = true
			h.taken++
			h.mu.Unlock()
			go h.serve(c)
		}
	}()
}

// Counts returns the attempts so far, the most that were out at once, how many are, and the ids that ever had two
// out at once.
func (h *Model) Counts() (total, most, out int, twice []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.out {
		out += n
	}
	return h.total, h.most, out, h.twice
}

// Accepted returns how many connections there were so far.
func (h *Model) Accepted() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.taken
}

// Attempts returns how often an id was asked for.
func (h *Model) Attempts(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Asked[id]
}

func (h *Model) begin(id string) Manner {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total++
	h.Asked[id]++
	if h.out[id]++; h.out[id] > 1 {
		h.twice = append(h.twice, id)
	}
	n := 0
	for _, out := range h.out {
		n += out
	}
	h.most = max(h.most, n)
	return h.manner
}

func (h *Model) end(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.out[id]--; h.out[id] == 0 {
		delete(h.out, id)
	}
}

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
		m := h.begin(id)
		select {
		case h.Started <- id:
		default:
		}
		// An attempt is out until the other side closes or has it all; only the reader notices a close.
		gone := make(chan bool)
		go func() { in.Peek(1); close(gone) }()
		ok := h.answer(c, m, string(body), gone)
		h.end(id)
		if !ok {
			return
		}
		<-gone // the next request, or the close
	}
}

// answer writes one answer and tells whether the connection is of further use.
func (h *Model) answer(c net.Conn, m Manner, prompt string, gone <-chan bool) bool {
	sleepFor := func(d time.Duration) bool {
		if d <= 0 {
			return true
		}
		select {
		case <-time.After(d):
			return true
		case <-gone:
			return false
		}
	}
	if m.Stalls {
		<-gone
		return false
	}
	if !sleepFor(m.First) {
		return false
	}
	if m.Status != 0 {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d Odd\r\nContent-Length: 0\r\n\r\n", m.Status)
		return err == nil
	}
	expected := Tokens(prompt, m)
	for i, word := range expected {
		text := Chunk(fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", word))
		if i == 0 {
			text = Head + text
		} else if !sleepFor(m.Gap) {
			return false
		}
		if m.Break && i == len(expected)/2 {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		if stage := i - (len(expected) - len(m.Stages)); stage >= 0 {
			select {
			case <-m.Stages[stage]:
			case <-gone:
				return false
			}
		}
		if i == len(expected)-1 && m.Gate != nil {
			select {
			case <-m.Gate:
			case <-gone:
				return false
			}
		}
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
	}
	last := "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n" + fmt.Sprintf(
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n\n",
		len(prompt)/4, len(expected)) + "data: [DONE]\n\n"
	if m.Report != "" {
		last += ": X-Backend-Load: " + m.Report + "\n\n"
	}
	_, err := io.WriteString(c, Chunk(last)+End)
	return err == nil
}

// Tokens is the text of an answer to a prompt.
func Tokens(prompt string, m Manner) []string {
	n := m.Events
	if n == 0 {
		n = 10
	}
	hash := fnv.New32a()
	io.WriteString(hash, prompt)
	seed := hash.Sum32()
	expected := make([]string, n)
	for i := range expected {
		seed = seed*1664525 + 1013904223
		expected[i] = fmt.Sprintf("w%d ", seed>>20)
	}
	expected[n-1] = strings.TrimSpace(expected[n-1]) + m.Accent
	return expected
}
