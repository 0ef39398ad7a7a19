package standin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"reachspread/internal/lab"
	"reachspread/internal/protocol"
)

// Tally is what came of the requests of one class so far. Times are from when a request was due, not from when it was
// sent: a client that is held up by others counts that, too.
type Tally struct {
	Class                                                 string
	Asked, Good, Late, Refused, Failed, BrokenOff, Tokens int
	First                                                 *hdrhistogram.Histogram // microseconds
}

// Clients ask what a plan says.
type Clients struct {
	addr    string
	spec    *lab.Spec
	client  *http.Client
	mu      sync.Mutex
	tallies []Tally
}

// NewClients returns clients of the router at an address.
func NewClients(addr string, spec *lab.Spec) *Clients {
	c := &Clients{addr: addr, spec: spec, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
	for _, class := range spec.Classes {
		c.tallies = append(c.tallies, Tally{Class: class.Class.Name, First: hdrhistogram.New(1, 600e6, 3)})
	}
	return c
}

// Tallies returns what has come so far.
func (c *Clients) Tallies() []Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]Tally(nil), c.tallies...)
	for i := range all {
		all[i].First = hdrhistogram.Import(all[i].First.Export())
	}
	return all
}

// Run asks each request of a plan at its time, in an open loop, and waits for all answers or until ctx ends.
func (c *Clients) Run(ctx context.Context, plan []lab.Planned) {
	defer c.client.CloseIdleConnections()
	var all sync.WaitGroup
	defer all.Wait()
	start := time.Now()
	for i := range plan {
		due := start.Add(plan[i].At)
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		all.Go(func() { c.ask(ctx, &plan[i], due) })
	}
}

func (c *Clients) ask(ctx context.Context, p *lab.Planned, due time.Time) {
	class := &c.spec.Classes[p.Class].Class
	more := time.Duration(float64(p.Prompt) / 1000 * float64(class.AimPer1000))
	deadline := class.Deadline + 2*more
	first, last, tokens, how := c.stream(ctx, p, due, deadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.tallies[p.Class]
	t.Asked++
	t.Tokens += tokens
	switch how {
	case http.StatusOK:
		t.First.RecordValue(max(first.Microseconds(), 1))
		pace := time.Duration(0)
		if tokens > 1 {
			pace = (last - first) / time.Duration(tokens-1)
		}
		if first <= class.Aim+more && (class.TokenAim == 0 || pace <= class.TokenAim) {
			t.Good++
		} else {
			t.Late++
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		t.Refused++
	case 0:
		t.BrokenOff++
	default:
		t.Failed++
	}
}

// stream asks once. How is the status of the answer, 0 for one that began and is not whole, -1 for none.
func (c *Clients) stream(ctx context.Context, p *lab.Planned, due time.Time, deadline time.Duration) (first, last time.Duration, tokens, how int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gaveUp := time.AfterFunc(time.Until(due.Add(deadline)), cancel)
	defer gaveUp.Stop()
	prompt := strings.Repeat("word", min(p.Prompt, 60000))
	body := fmt.Sprintf(`{"stream":true,"max_tokens":%d,"lab_out":%d,"lab_prompt":%d,"lab_session":%q,"lab_prefix":%q,"lab_shared":%d,`+
		`"messages":[{"role":"user","content":"%s"}]}`, p.MaxOut, p.Out, p.Prompt, p.Session, p.Prefix, p.Shared, prompt)
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.addr+protocol.PathCompletions, strings.NewReader(body))
	if err != nil {
		return 0, 0, 0, -1
	}
	facts := fmt.Sprintf("prompt_len=%d,max_out=%d", p.Prompt, p.MaxOut)
	if p.Prefix != "" {
		facts = fmt.Sprintf("prefix=%s,prefix_len=%d,", p.Prefix, p.Shared) + facts
	}
	for name, value := range map[string]string{protocol.HeaderID: p.ID, protocol.HeaderClass: c.spec.Classes[p.Class].Class.Name,
		protocol.HeaderSession: p.Session, protocol.HeaderTimeLeft: fmt.Sprintf("%dm", max(time.Until(due.Add(deadline)).Milliseconds(), 1)),
		protocol.HeaderFacts: facts} {
		r.Header.Set(name, value)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, 0, 0, -1
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, resp.Body)
		return 0, 0, 0, resp.StatusCode
	}
	done := false
	for lines := bufio.NewReader(resp.Body); ; {
		line, err := lines.ReadBytes('\n')
		if bytes.Contains(line, []byte(`"content":`)) {
			if tokens == 0 {
				gaveUp.Stop() // it belongs to the client now
				first = time.Since(due)
			}
			tokens++ // of events, until the usage tells
			last = time.Since(due)
		}
		if _, usage, ok := bytes.Cut(line, []byte(`"completion_tokens":`)); ok {
			fmt.Sscanf(string(usage), "%d", &tokens)
		}
		done = done || bytes.HasPrefix(line, []byte("data: [DONE]"))
		if err == io.EOF && done {
			return first, last, tokens, http.StatusOK
		}
		if err != nil {
			return first, last, 0, 0
		}
	}
}
