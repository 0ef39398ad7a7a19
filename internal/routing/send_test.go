package routing

import (
	"context"
	"testing"
	"time"

	"reachspread/balance"
)

// slowNetwork is a Network whose connections are established when the test allows it.
type slowNetwork struct {
	connecting chan Server // receives the server of an attempt that waits for its connection
	connected  chan bool   // the test sends here to establish the connection
	maySend    chan bool   // receives what SendHooks.MaySend returned after that
}

func newSlowNetwork() *slowNetwork {
	return &slowNetwork{make(chan Server), make(chan bool), make(chan bool)}
}

// Send implements Network.
func (n *slowNetwork) Send(_ context.Context, _ time.Time, to Server, _ Message, hooks SendHooks) AttemptResult {
	n.connecting <- to
	<-n.connected
	n.maySend <- hooks.MaySend()
	return AttemptResult{Result: balance.NotSent}
}

// Probe implements Network.
func (n *slowNetwork) Probe(context.Context, Server) (balance.Result, *balance.Load) {
	return balance.NotSent, nil
}

// CloseIdle implements Network.
func (n *slowNetwork) CloseIdle(string) {}

// discardLogger implements Logger.
type discardLogger struct{}

func (discardLogger) Info(string, ...any) {}
func (discardLogger) Warn(string, ...any) {}

// Guards against sends to a server that begins to drain, is removed or moves while the connection to
// it is being established. A connection may take a second, but a server must get no new requests
// 500 ms after the update.
func TestUpdateWhileConnectingDecidesWhetherAttemptIsSent(t *testing.T) {
	const server, address, otherAddress = "s", "10.0.0.1:80", "10.0.0.2:80"
	for name, x := range map[string]struct {
		state   balance.State
		address string
		want    bool
	}{
		"serving":  {balance.Serving, address, true},
		"draining": {balance.Draining, address, false},
		"removed":  {balance.Removed, address, false},
		"moved":    {balance.Serving, otherAddress, false},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := balance.New(balance.Config{Zone: "a", MaxAttempts: 1, MaxRetryAfter: time.Second, StepInterval: time.Millisecond,
				Classes: []balance.Class{{Name: "chat", LatencyTarget: 8 * time.Second, Deadline: 8 * time.Second, Streamed: true}}}, 1)
			if err != nil {
				t.Fatal(err)
			}
			network := newSlowNetwork()
			r := New(b, network, discardLogger{}, time.Second)
			go r.Run(t.Context())
			update := func(state balance.State, address string) {
				r.ApplyUpdate(balance.Members{Members: []balance.Member{{Replica: server, State: state, Zone: "a", Kind: "k"}}}, map[string]string{server: address})
			}
			update(balance.Serving, address)
			request, err := r.Accept(balance.Arrival{ID: "q", Class: "chat", TimeLeft: 8 * time.Second, PromptTokens: 10}, time.Now(), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer r.Done(request)
			if to := <-network.connecting; to != (Server{server, address}) {
				t.Fatalf("the attempt goes to %v, want server s at 10.0.0.1:80", to)
			}
			update(x.state, x.address)
			network.connected <- true
			if got := <-network.maySend; got != x.want {
				t.Errorf("MaySend after the update: got %v, want %v", got, x.want)
			}
		})
	}
}
