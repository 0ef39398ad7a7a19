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
	trickleInterval   = 50 * time.Millisecond // between two bytes of a request
	maxRefusalTimeUs  = 60e6                  // longest refusal time that the histogram holds, in microseconds
	refusalTimeDigits = 3                     // significant digits of the times in the histogram
)

// Misbehavior is the way in which a bad client misuses its connection.
type Misbehavior int

// The kinds.
const (
	SendNothing    Misbehavior = iota // sends nothing until the router closes the connection
	SendRequests                      // sends one request after another, whatever the answers say
	CloseAtOnce                       // closes the connection right after connecting
	TrickleRequest                    // sends a request one byte at a time
	ReadNothing                       // sends a request and never reads the answer
)

// Flood overloads a router with bad clients. Each client connects from its own address, misbehaves,
// and connects again as soon as its connection has ended. Stop ends the flood's goroutines.
type Flood struct {
	Conns atomic.Int64 // connections opened so far

	mu           sync.Mutex
	answers      map[int]int64           // number of answers by status; status 0 counts connections that ended without an answer
	refusalTimes *hdrhistogram.Histogram // in microseconds, from the start of connecting or of a later request to the refusal

	stop    chan bool
	clients sync.WaitGroup
}

// NewFlood starts bad clients of the router at addr. from returns the source address of each client.
// The clients stop connecting after maxDuration even without Stop.
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

// runClient connects and misbehaves repeatedly until the flood is stopped or the time end is reached.
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

// DeferPortChoice makes the kernel choose the local port at connect time, when it knows the remote
// address. Without this option, the kernel must find a port that is free for all remote addresses.
// With thousands of closed connections, this search takes ever longer and delays other clients that
// connect.
func DeferPortChoice(_, _ string, c syscall.RawConn) (err error) {
	const bindAddressNoPort = 24 // IP_BIND_ADDRESS_NO_PORT of ip(7)
	controlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, bindAddressNoPort, 1)
	})
	return errors.Join(controlErr, err)
}

// misbehave misuses a connection until the connection ends or the flood is stopped.
func (f *Flood) misbehave(c net.Conn, kind Misbehavior, id string, start time.Time) {
	c.SetDeadline(time.Now().Add(EventTimeout))
	done := make(chan bool)
	defer close(done)
	go func() { // runs until misbehave returns; ends pending reads and writes when the flood is stopped
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

// trickleRequest writes a request one byte at a time.
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

// countAnswer counts an answer and, if it is a refusal, records its time. Status 0 means that the
// connection ended without an answer.
func (f *Flood) countAnswer(status int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[status]++
	if status != 0 && status != http.StatusOK {
		f.refusalTimes.RecordValue(min(took.Microseconds(), maxRefusalTimeUs))
	}
}

// Stop stops the flood and waits until all its clients have ended.
func (f *Flood) Stop() {
	close(f.stop)
	f.clients.Wait()
}

// Summary returns a line with the number of connections, the answers by status and the refusal times.
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
