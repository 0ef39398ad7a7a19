package scripted

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	dialTimeout       = time.Second
	redialDelay       = time.Millisecond      // after a failed dial
	trickleInterval   = 50 * time.Millisecond // between two bytes
	maxRefusalTimeUs  = 60e6                  // the longest refusal time that a summary distinguishes, in microseconds
	refusalTimeDigits = 3                     // significant digits of these times
)

// Misbehavior is what a bad client does with its connection.
type Misbehavior int

// The kinds.
const (
	SendNothing    Misbehavior = iota // waits until the other side closes
	SendRequests                      // one after another, without regard to the answers
	CloseAtOnce                       // right after connecting
	TrickleRequest                    // a byte at a time
	ReadNothing                       // sends a request and never reads the answer
)

// Flood is an overload of bad clients. Each connects from an address of its own, misbehaves, and
// connects again as soon as its connection has ended. Stop ends its goroutines.
type Flood struct {
	Conns atomic.Int64 // so far

	mu           sync.Mutex
	answers      map[int]int64           // by status; 0 for a connection that ended without an answer
	refusalTimes *hdrhistogram.Histogram // microseconds from connecting, or the request, to the refusal

	stop    chan bool
	clients sync.WaitGroup
}

// NewFlood starts bad clients of a router; from gives the address that each connects from. They end
// after maxDuration even without Stop.
func NewFlood(addr string, clients int, kind Misbehavior, from func(i int) string, maxDuration time.Duration) *Flood {
	f := &Flood{
		answers:      map[int]int64{},
		refusalTimes: hdrhistogram.New(1, maxRefusalTimeUs, refusalTimeDigits),
		stop:         make(chan bool),
	}
	end := time.Now().Add(maxDuration)
	for i := range clients {
		f.clients.Go(func() { f.runClient(addr, i, kind, from(i), end) })
	}
	return f
}

// runClient connects and misbehaves until the flood is stopped or a time has come.
func (f *Flood) runClient(addr string, client int, kind Misbehavior, from string, end time.Time) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: dialTimeout, Control: DeferPortChoice}
	for n := 0; time.Now().Before(end); n++ {
		select {
		case <-f.stop:
			return
		default:
		}
		start := time.Now()
		c, err := dialer.Dial("tcp", addr)
		if err != nil {
			time.Sleep(redialDelay)
			continue
		}
		f.Conns.Add(1)
		f.misbehave(c, kind, fmt.Sprintf("flood-%d-%d", client, n), start)
		c.Close()
	}
}

// DeferPortChoice has the system choose the local port when it knows the other side: to find one
// that is free for all takes ever longer with thousands of closed connections, and delays other
// clients that connect.
func DeferPortChoice(_, _ string, c syscall.RawConn) (err error) {
	const bindAddressNoPort = 24 // IP_BIND_ADDRESS_NO_PORT of ip(7)
	controlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, bindAddressNoPort, 1)
	})
	return errors.Join(controlErr, err)
}

// misbehave uses a connection badly until it ends or the flood is stopped.
func (f *Flood) misbehave(c net.Conn, kind Misbehavior, id string, start time.Time) {
	c.SetDeadline(time.Now().Add(EventTimeout))
	done := make(chan bool)
	defer close(done)
	go func() { // until this function returns: a stop ends its reads and writes
		select {
		case <-f.stop:
			c.SetDeadline(time.Unix(1, 0))
		case <-done:
		}
	}()
	switch kind {
	case SendNothing:
		io.Copy(io.Discard, c)
	case TrickleRequest:
		trickleRequest(c, id)
	case ReadNothing:
		io.WriteString(c, RequestText(id, ""))
		<-f.stop
	case SendRequests:
		f.sendRequests(c, id, start)
	}
}

// trickleRequest writes a request a byte at a time.
func trickleRequest(c net.Conn, id string) {
	for _, b := range []byte(RequestText(id, "")) {
		if _, err := c.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(trickleInterval)
	}
}

// sendRequests sends requests until the connection ends, and counts the answers.
func (f *Flood) sendRequests(c net.Conn, id string, start time.Time) {
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		if _, err := io.WriteString(c, RequestText(fmt.Sprint(id, "-", n), "")); err != nil {
			return
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			f.countAnswer(0, 0)
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		f.countAnswer(resp.StatusCode, time.Since(start))
		if resp.Close {
			return
		}
		start = time.Now()
	}
}

// countAnswer counts an answer, and its time if it is a refusal. Status 0 is no answer.
func (f *Flood) countAnswer(status int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[status]++
	if status != 0 && status != http.StatusOK {
		f.refusalTimes.RecordValue(min(took.Microseconds(), maxRefusalTimeUs))
	}
}

// Stop ends the flood and waits for all its clients.
func (f *Flood) Stop() {
	close(f.stop)
	f.clients.Wait()
}

// Summary is a line with the number of connections, the answers by status and the refusal times.
func (f *Flood) Summary() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fields []string
	for status, n := range f.answers {
		fields = append(fields, fmt.Sprintf("%d: %d", status, n))
	}
	slices.Sort(fields)
	if f.refusalTimes.TotalCount() > 0 {
		p50 := float64(f.refusalTimes.ValueAtQuantile(50)) / 1000
		p99 := float64(f.refusalTimes.ValueAtQuantile(99)) / 1000
		fields = append(fields, fmt.Sprintf("refused within p50 %.1f ms, p99 %.1f ms", p50, p99))
	}
	return fmt.Sprintf("%d connections, answers %s", f.Conns.Load(), strings.Join(fields, ", "))
}
