package controlclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"reachspread/internal/transport"
)

// Call is one call of the control plane's API.
type Call struct {
	Address string // address of a router's control plane
	Method  string
	Path    string
	IfMatch string // the version that an order builds on, empty for none
	Body    []byte
}

// Answer is a router's answer to a call, whatever its status.
type Answer struct {
	Code   int
	Status string // code and text
	Text   []byte // body, cut after maxAnswerBytes
}

// maxAnswerBytes is how many bytes of an answer's body are read. The rest is dropped.
const maxAnswerBytes = 64 << 20

// client keeps no connections open between calls, because the next call may reach another
// incarnation of the router at the same address.
var client = http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}

// dial connects to a router whose answers are refused if their heads are malformed.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return transport.NewResponseConn(c), nil
}

// Do makes the call once and returns the answer. It gives up when ctx ends. After an error there was
// no complete answer, but the call may have taken effect.
func Do(ctx context.Context, c Call) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	if c.IfMatch != "" {
		request.Header.Set("If-Match", c.IfMatch)
	}
	answer, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	return &Answer{Code: answer.StatusCode, Status: answer.Status, Text: text}, nil
}
