package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"reachspread/internal/admission"
	"reachspread/internal/schedlatency"
	"reachspread/internal/system/dataplane"
	"reachspread/internal/system/settings"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// slowIntake answers requests itself. It holds each request until resume is closed.
type slowIntake struct {
	transport.Intake
	reached, resume chan struct{}
}

func (i *slowIntake) Local(*fasthttp.RequestCtx) bool {
	close(i.reached)
	<-i.resume
	return true
}

// Guards against requests that are lost because the process ends. At the end of the grace period
// the process used to wait 150 ms for the last answers and then end, even if a goroutine without a
// processor had yet to write one.
func TestProcessStaysUntilLastAnswerIsWritten(t *testing.T) {
	is := is.New(t)
	intake := &slowIntake{reached: make(chan struct{}), resume: make(chan struct{})}
	n := &Node{
		front: transport.NewIntakeFront(intake, transport.FrontLimits{Admission: admission.Config{MaxConnections: 2}}),
		plane: dataplane.New(t.Context(), dataplane.Options{}),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go n.front.Serve(ln, false)
	client, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer client.Close()
	io.WriteString(client, "GET /a HTTP/1.1\r\nHost: r\r\n\r\n")
	scripted.Receive(t, intake.reached, "the request")
	grace, end := context.WithCancel(t.Context())
	end()
	finished := make(chan error, 1)
	go func() { finished <- n.finishRequests(grace) }()
	select {
	case <-finished:
		t.Error("the process ended before it answered a request that it had read")
	case <-time.After(300 * time.Millisecond):
	}
	close(intake.resume)
	_, err = http.ReadResponse(bufio.NewReader(client), nil)
	is.NoErr(err)
}

// Guards against unanswered requests when SIGKILL arrives. The platform's grace period begins with
// SIGTERM, but the process may notice SIGTERM late because it was not running when it arrived.
func TestDrainingEndsBeforeKill(t *testing.T) {
	const grace, noticed = 8 * time.Second, time.Minute
	start := time.Now()
	for _, x := range []struct {
		name               string
		lastTick, tickLate time.Duration // time from the last tick to the notice of SIGTERM; delay of that tick
		want               time.Duration
	}{
		{"in time", 50 * time.Millisecond, 0, grace - minGraceMargin},
		{"stopped a while ago", 5 * time.Second, 200 * time.Millisecond, grace - minGraceMargin - 200*time.Millisecond},
		{"stopped just before", 50 * time.Millisecond, time.Second, grace - time.Second - minGraceMargin - maxLatencyMargin},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			n := &Node{latency: schedlatency.NewMonitor(start.Add(noticed - x.lastTick - x.tickLate - schedlatency.Interval))}
			n.activeSettings.Store(&settings.Settings{Bounds: settings.Bounds{GraceS: grace.Seconds()}})
			for at := noticed - x.lastTick; at <= noticed; at += schedlatency.Interval {
				n.latency.Tick(start.Add(at))
			}
			is.Equal(n.drainTimeout(start.Add(noticed)), x.want)
		})
	}
}
