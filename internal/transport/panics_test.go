package transport

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/admission"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// faultyID is the ID of the request at which the parts below panic.
const faultyID = "faulty"

// panickingIntake panics at one step of the request with faultyID.
type panickingIntake struct {
	Intake
	step string
}

func (i *panickingIntake) panicAt(step string, ctx *fasthttp.RequestCtx) {
	if i.step == step && string(ctx.Request.Header.Peek((protocol.Completions{}).RequestID())) == faultyID {
		panic("planted at " + step)
	}
}

func (i *panickingIntake) Head(ctx *fasthttp.RequestCtx) *Rejection {
	i.panicAt("head", ctx)
	return i.Intake.Head(ctx)
}

func (i *panickingIntake) Plan(ctx *fasthttp.RequestCtx, body []byte, began time.Time) (*Plan, *Rejection) {
	i.panicAt("plan", ctx)
	return i.Intake.Plan(ctx, body, began)
}

func (i *panickingIntake) Served(ctx *fasthttp.RequestCtx, s *routing.Stream) {
	i.panicAt("served", ctx)
	i.Intake.Served(ctx, s)
}

// Guards against a panic that ends the process and with it the requests of all other clients
// (review/1, LOST). What panics while one connection is served ends that connection alone, leaves
// nothing of it open, and is counted and logged.
func TestPanicEndsOneConnection(t *testing.T) {
	for _, test := range []struct {
		step   string
		status int // 0 for a close without an answer
	}{{"head", 502}, {"plan", 502}, {"served", 502}, {"read", 0}, {"close", 200}} {
		t.Run(test.step, func(t *testing.T) {
			lines := make(scripted.LogLines, 100)
			limits := FrontLimits{Admission: admission.Config{MaxConnections: 8}, Panics: NewPanicLog(lines)}
			closes := 0
			limits.OnClose = func(ConnectionClosed) {
				if closes++; test.step == "close" && closes == 1 {
					panic("planted at close")
				}
			}
			front, _ := newRoutedFront(t, limits, scripted.Answer(scripted.CompleteAnswer()))
			front.intake = &panickingIntake{front.intake, test.step}
			client, accepted := pair(t)
			conn := &pausedConn{TCPConn: accepted}
			if test.step == "read" {
				conn.beforeRead = func() { panic("planted at read") }
			}
			client.SetDeadline(time.Now().Add(scripted.EventTimeout))
			client.Write([]byte(scripted.RequestText(faultyID, "Connection: close\r\n")))
			if err := front.adopt(conn, nil, false); err != nil {
				t.Fatal(err)
			}
			status := 0
			if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err == nil {
				status = resp.StatusCode
			}
			if status != test.status {
				t.Errorf("got status %d; want %d", status, test.status)
			}
			scripted.AwaitCondition(t, "the panic is counted", func() bool { return limits.Panics.Count() == 1 })
			scripted.AwaitCondition(t, "the end of the connection", func() bool { return front.listener.isEmpty() })
			scripted.AwaitCondition(t, "the end of the request", func() bool { return front.router.Metrics().Open == 0 && front.memory.used.Load() == 0 })
		})
	}
}

// panickingDialect panics at each answer of a server.
type panickingDialect struct{ protocol.Completions }

func (panickingDialect) Judge(int, protocol.HeaderReader) protocol.AttemptJudgement {
	panic("planted at an answer")
}

// An answer of a server that makes the router panic fails its attempt, and the connection to the
// server is closed.
func TestPanicAtAnswerFailsTheAttempt(t *testing.T) {
	panics := NewPanicLog(make(scripted.LogLines, 1))
	server := scripted.NewServer(t, scripted.Answer(scripted.CompleteAnswer()))
	servers := NewServers(ServerLimits{ConnectTimeout: time.Second, Keepalive: time.Minute, Connections: 1, StreamIdleTimeout: time.Second,
		Dialect: panickingDialect{}, Panics: panics}, make(scripted.LogLines, 1))
	m := &Message{method: []byte("POST"), uri: []byte("/v1/chat/completions"), id: []byte("q")}
	got := servers.Send(context.Background(), time.Now().Add(scripted.EventTimeout), routing.Server{ID: "s", Addr: server.Addr}, m, probeHooks)
	if got.Result != balance.Error || panics.Count() != 1 || servers.Open() != 0 {
		t.Errorf("got %+v, %d panics, %d open connections; want one failed attempt, one panic and none", got, panics.Count(), servers.Open())
	}
}

// A panic while a moved stream goes on ends that stream alone: it no longer counts as running, so the
// process may end.
func TestPanicOfMovedStreamEndsTheStream(t *testing.T) {
	limits := oneConnection
	limits.Panics = NewPanicLog(make(scripted.LogLines, 1))
	front, _ := newRoutedFront(t, limits, scripted.Answer(scripted.CompleteAnswer()))
	receiver, client, conn, end := movedStream(t, front)
	conn.afterWrite = func([]byte) { panic("planted at a write") }
	end()
	scripted.AwaitCondition(t, "the end of the stream", func() bool { return receiver.ActiveStreams() == 0 })
	scripted.AwaitCondition(t, "the end of the request", func() bool { return front.router.Metrics().Open == 0 })
	client.SetDeadline(time.Now().Add(scripted.EventTimeout))
	if _, err := io.Copy(io.Discard, client); err != nil || limits.Panics.Count() != 1 {
		t.Errorf("the client's connection ended with %v and %d panics; want a close and one panic", err, limits.Panics.Count())
	}
}
