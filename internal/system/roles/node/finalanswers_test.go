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
	"reachspread/internal/system/dataplane"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// slowIntake answers requests itself, once it is resumed.
type slowIntake struct {
	transport.Intake
	reached, resume chan struct{}
}

func (i *slowIntake) Local(*fasthttp.RequestCtx) bool {
	close(i.reached)
	<-i.resume
	return true
}

// Guards against requests that end with their process: at the end of the grace it waited 150 ms for
// the last answers and ended, though a goroutine that lost its processor was still about to write one.
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
		t.Error("the process ends with a request that it has read")
	case <-time.After(300 * time.Millisecond):
	}
	close(intake.resume)
	_, err = http.ReadResponse(bufio.NewReader(client), nil)
	is.NoErr(err)
}
