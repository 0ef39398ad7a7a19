package fakes

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"reachspread/internal/protocol"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/simulator"
)

// Tally is what came of the requests of one class so far. Times are from when a request was due, not from when it was
// sent: a client that is held up by others counts that, too.
type Tally struct {
	Class                                                 string
	Asked, Good, Late, Refused, Failed, BrokenOff, Tokens int
	First                                                 *hdrhistogram.Histogram // microseconds
}

// Manner is how clients behave, as shares of their requests.
type Manner struct {
	Pieces float64 // write the request in pieces, with pauses
	Silent float64 // fall silent in the midst of it, and keep the connection
	Leave  float64 // go away while they wait or read
}

// Saw is what a watcher of clients is told: an event of a request, without its time, and until when its client waits.
type Saw struct {
	history.Event
	Until time.Time
}

// Clients ask what a plan says.
type Clients struct {
	Front   func(p *simulator.Planned) string // the address of a router for a request, empty for none
	Watch   func(Saw)                         // nil for nobody; must not wait
	Grace   time.Duration                     // beyond its deadline that a client still listens
	Manner  Manner
	Retries bool // who is refused comes again, as the plan's experiment says

	spec    *simulator.Spec
	client  *http.Client
	fresh   *http.Client // a new connection for each request
	mu      sync.Mutex
	tallies []Tally
}

// NewClients returns clients of the router at an address.
func NewClients(addr string, spec *simulator.Spec) *Clients {
	c := &Clients{Front: func(*simulator.Planned) string { return addr }, spec: spec,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}},
		fresh:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
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
func (c *Clients) Run(ctx context.Context, plan []simulator.Planned) {
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

// answered is what came of one try.
type answered struct {
	first, last time.Duration // from when the request was due
	tokens      int
	how         history.How
	status      int
	away        time.Duration // that the answer asked to wait
}

func (c *Clients) ask(ctx context.Context, p *simulator.Planned, due time.Time) {
	class := &c.spec.Classes[p.Class].Class
	more := time.Duration(float64(p.Prompt) / 1000 * float64(class.LatencyTargetPer1000Tokens))
	until := due.Add(class.Deadline + 2*more)
	var a answered
	for n := 1; ; n++ {
		id := p.ID
		if n > 1 {
			id += "." + strconv.Itoa(n)
		}
		a = c.attempt(ctx, p, id, n > 1, due, until)
		wait := max(a.away, c.spec.Retries.After)
		again := a.how == history.Refused || a.how == history.Failed || a.how == history.Unreached || a.how == history.Interrupted
		if !c.Retries || !again || n > c.spec.Retries.Max || time.Until(until) <= wait {
			break
		}
		select {
		case <-time.After(wait):
			continue
		case <-ctx.Done():
		}
		break
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.tallies[p.Class]
	t.Asked++
	t.Tokens += a.tokens
	switch a.how {
	case history.Complete:
		t.First.RecordValue(max(a.first.Microseconds(), 1))
		pace := time.Duration(0)
		if a.tokens > 1 {
			pace = (a.last - a.first) / time.Duration(a.tokens-1)
		}
		if a.first <= class.LatencyTarget+more && (class.TokenLatencyTarget == 0 || pace <= class.TokenLatencyTarget) {
			t.Good++
		} else {
			t.Late++
		}
	case history.Refused:
		t.Refused++
	case history.Broken:
		t.BrokenOff++
	default:
		t.Failed++
	}
}

// record tells the watcher.
func (c *Clients) record(e history.Event, until time.Time) {
	if c.Watch != nil {
		c.Watch(Saw{e, until})
	}
}

// manner draws how the client of one request behaves: what it does with its body, and when it leaves (0 for never).
func (c *Clients) manner(ctx context.Context, id, body string, wait time.Duration) (io.Reader, time.Duration) {
	hash := fnv.New64a()
	io.WriteString(hash, id)
	rng := rand.New(rand.NewPCG(hash.Sum64(), c.spec.Seed))
	x := rng.Float64()
	m := &c.Manner
	switch {
	case x < m.Pieces:
		return &chunkedBody{ctx: ctx, rng: rng, text: body}, 0
	case x < m.Pieces+m.Silent:
		return &chunkedBody{ctx: ctx, rng: rng, text: body[:len(body)/2], stalls: true}, 0
	case x < m.Pieces+m.Silent+m.Leave:
		return strings.NewReader(body), max(time.Duration(rng.Float64()*float64(min(wait, 3*time.Second))), time.Millisecond)
	}
	return strings.NewReader(body), 0
}

// chunkedBody is a body that comes in pieces of any size, with pauses, and perhaps never to its end.
type chunkedBody struct {
	ctx    context.Context
	rng    *rand.Rand
	text   string
	stalls bool
}

func (p *chunkedBody) Read(to []byte) (int, error) {
	if p.text == "" {
		if p.stalls {
			<-p.ctx.Done()
			return 0, p.ctx.Err()
		}
		return 0, io.EOF
	}
	select {
	case <-time.After(time.Duration(p.rng.IntN(40)) * time.Millisecond):
	case <-p.ctx.Done():
		return 0, p.ctx.Err()
	}
	n := copy(to, p.text[:min(1+p.rng.IntN(max(len(p.text)/3, 64)), len(p.text))])
	p.text = p.text[n:]
	return n, nil
}

// attempt asks once.
func (c *Clients) attempt(ctx context.Context, p *simulator.Planned, id string, again bool, due, until time.Time) (a answered) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	gaveUp := time.AfterFunc(time.Until(until.Add(c.Grace)), func() { cancel(errGaveUp) })
	defer gaveUp.Stop()
	addr := c.Front(p)
	if addr == "" {
		return answered{how: history.Unreached}
	}
	prompt := strings.Repeat("word", min(p.Prompt, 60000))
	body := fmt.Sprintf(`{"stream":true,"max_tokens":%d,"lab_out":%d,"lab_prompt":%d,"lab_session":%q,"lab_prefix":%q,"lab_shared":%d,`+
		`"messages":[{"role":"user","content":"%s"}]}`, p.MaxOut, p.Out, p.Prompt, p.Session, p.Prefix, p.Shared, prompt)
	content, departure := c.manner(ctx, id, body, time.Until(until))
	if departure > 0 {
		defer time.AfterFunc(departure, func() { cancel(errLeft) }).Stop()
	}
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+protocol.PathCompletions, content)
	if err != nil {
		return answered{how: history.Failed}
	}
	r.ContentLength = int64(len(body))
	facts := fmt.Sprintf("prompt_len=%d,max_out=%d", p.Prompt, p.MaxOut)
	if p.Prefix != "" {
		facts = fmt.Sprintf("prefix=%s,prefix_len=%d,", p.Prefix, p.Shared) + facts
	}
	class := c.spec.Classes[p.Class].Class.Name
	for name, value := range map[string]string{protocol.HeaderID: id, protocol.HeaderClass: class,
		protocol.HeaderSession: p.Session, protocol.HeaderTimeLeft: fmt.Sprintf("%dm", max(time.Until(until).Milliseconds(), 1)),
		protocol.HeaderFacts: facts} {
		r.Header.Set(name, value)
	}
	if again {
		r.Header.Set("X-Repeat", "1")
	}
	var keptAlive atomic.Bool
	var wrote atomic.Pointer[time.Time]
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { keptAlive.Store(i.Reused) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			now := time.Now()
			wrote.Store(&now)
		},
	}))
	c.record(history.Event{What: history.Ask, ID: id, Who: addr, Class: class}, until)
	defer func() {
		silent, _ := content.(*chunkedBody)
		if cause := context.Cause(ctx); a.how != history.Complete && (cause == errLeft || silent != nil && silent.stalls) {
			a.how = history.Left
		}
		c.record(history.Event{What: history.Answer, ID: id, How: a.how, Status: a.status}, until)
	}()
	resp, err := c.client.Do(r)
	if at := wrote.Load(); err != nil && ctx.Err() == nil && keptAlive.Load() && (at == nil || time.Since(*at) < crossing) {
		c.record(history.Event{What: history.Note, ID: id, Who: addr, Text: CloseCrossed}, until)
		r = r.Clone(ctx)
		r.Body = io.NopCloser(strings.NewReader(body))
		resp, err = c.fresh.Do(r)
	}
	switch {
	case err == nil:
	case context.Cause(ctx) == errGaveUp:
		return answered{how: history.None}
	case errors.Is(err, syscall.ECONNREFUSED):
		return answered{how: history.Unreached}
	default:
		if p, ok := content.(*chunkedBody); ok && p.text != "" { // its last byte was not written yet
			return answered{how: history.Unreached}
		}
		return answered{how: history.Interrupted}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, resp.Body)
		a := answered{how: history.Failed, status: resp.StatusCode}
		if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable {
			a.how = history.Refused
			seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			a.away = time.Duration(seconds * float64(time.Second))
		}
		return a
	}
	a.status = resp.StatusCode
	done := false
	for lines := bufio.NewReader(resp.Body); ; {
		line, err := lines.ReadBytes('\n')
		if bytes.Contains(line, []byte(`"content":`)) {
			if a.tokens == 0 {
				gaveUp.Stop() // it belongs to the client now
				a.first = time.Since(due)
				c.record(history.Event{What: history.First, ID: id}, until)
			}
			a.tokens++ // of events, until the usage tells
			a.last = time.Since(due)
		}
		if _, usage, ok := bytes.Cut(line, []byte(`"completion_tokens":`)); ok {
			fmt.Sscanf(string(usage), "%d", &a.tokens)
		}
		done = done || bytes.HasPrefix(line, []byte("data: [DONE]"))
		if err == io.EOF && done {
			a.how = history.Complete
			return a
		}
		if err != nil {
			a.tokens, a.how = 0, history.Broken
			return a
		}
	}
}

// crossing is how soon after a request was written the end of its connection may be a close that the router began between two
// requests. The platform's clients then send once more, on a new connection.
const crossing = 100 * time.Millisecond

// CloseCrossed is what a history says of that.
const CloseCrossed = "a close crossed the request"

var (
	errGaveUp = errors.New("the client gave up")
	errLeft   = errors.New("the client left")
)
