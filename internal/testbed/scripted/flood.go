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

// Flood is a crowd of bad clients. Each connects from an address of its own choice, does its harm, and comes again as
// soon as its connection has ended.
type Flood struct {
	Answers sync.Map // how often each status came, as *atomic.Int64; 0 for a connection that ended without an answer
	Conns   atomic.Int64
	mu      sync.Mutex
	refused *hdrhistogram.Histogram // microseconds from connecting, or asking again, to the word of a refusal
	stop    chan bool
	all     sync.WaitGroup
}

// Harm is what a bad client does with its connection.
type Harm int

// The kinds.
const (
	Mute      Harm = iota // says nothing until the other side closes
	Asking                // sends requests, one after another
	Flapping              // closes at once
	Trickling             // sends a head, a byte at a time
	Deaf                  // asks and reads nothing of the answer
)

// NewFlood starts so many bad clients; from gives the address of each. They stop after a while even if nobody says so.
func NewFlood(addr string, clients int, harm Harm, from func(i int) string, most time.Duration) *Flood {
	f := &Flood{stop: make(chan bool), refused: hdrhistogram.New(1, 60e6, 3)}
	end := time.Now().Add(most)
	for i := range clients {
		f.all.Go(func() {
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from(i))}, Timeout: time.Second, Control: PortLater}
			for n := 0; time.Now().Before(end); n++ {
				select {
				case <-f.stop:
					return
				default:
				}
				begun := time.Now()
				c, err := dialer.Dial("tcp", addr)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				f.Conns.Add(1)
				f.harm(c, harm, fmt.Sprintf("flood-%d-%d", i, n), begun)
				c.Close()
			}
		})
	}
	return f
}

// PortLater has the system choose the port when it knows the other side: to find one that is free for all takes ever
// longer with thousands of connections that ended, and holds up others who connect.
func PortLater(_, _ string, c syscall.RawConn) (err error) {
	const bindAddressNoPort = 24 // IP_BIND_ADDRESS_NO_PORT of ip(7)
	failed := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, bindAddressNoPort, 1)
	})
	return errors.Join(failed, err)
}

func (f *Flood) harm(c net.Conn, harm Harm, id string, begun time.Time) {
	c.SetDeadline(time.Now().Add(Patience))
	done := make(chan bool)
	defer close(done)
	go func() { // a stop ends what is waited for
		select {
		case <-f.stop:
			c.SetDeadline(time.Unix(1, 0))
		case <-done:
		}
	}()
	switch harm {
	case Mute:
		io.Copy(io.Discard, c)
	case Trickling:
		for _, b := range []byte(AskText(id, "")) {
			if _, err := c.Write([]byte{b}); err != nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	case Deaf:
		io.WriteString(c, AskText(id, ""))
		<-f.stop
	case Asking:
		in := bufio.NewReader(c)
		for n := 0; ; n++ {
			if _, err := io.WriteString(c, AskText(fmt.Sprint(id, "-", n), "")); err != nil {
				return
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				f.count(0)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			f.count(resp.StatusCode)
			if resp.StatusCode != http.StatusOK {
				f.mu.Lock()
				f.refused.RecordValue(min(time.Since(begun).Microseconds(), 60e6))
				f.mu.Unlock()
			}
			if resp.Close {
				return
			}
			begun = time.Now()
		}
	}
}

func (f *Flood) count(status int) {
	n, _ := f.Answers.LoadOrStore(status, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

// Stop ends it and waits for all.
func (f *Flood) Stop() {
	close(f.stop)
	f.all.Wait()
}

// Summary tells what came back.
func (f *Flood) Summary() string {
	var fields []string
	f.Answers.Range(func(status, n any) bool {
		fields = append(fields, fmt.Sprintf("%d: %d", status, n.(*atomic.Int64).Load()))
		return true
	})
	slices.Sort(fields)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refused.TotalCount() > 0 {
		fields = append(fields, fmt.Sprintf("refused within p50 %.1f ms, p99 %.1f ms", float64(f.refused.ValueAtQuantile(50))/1000, float64(f.refused.ValueAtQuantile(99))/1000))
	}
	return fmt.Sprintf("%d connections, answers %s", f.Conns.Load(), strings.Join(fields, ", "))
}

// AskText is a well-formed client request as it goes over the wire, with more header lines.
func AskText(id, more string) string {
	body := `{"stream": true}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Correlation-Id: %s\r\nX-Service-Class: chat\r\n"+
		"X-Session-Key: s\r\nX-Time-Left: 8000m\r\nX-Facts: prompt_len=100,max_out=10\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
}
