package controlclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// Call is one call.
type Call struct {
	Address string // of a router's control plane
	Method  string
	Path    string
	IfMatch string // the version that an order builds on, empty for none
	Body    []byte
}

// Answer is what a router answered, with whatever status.
type Answer struct {
	Code   int
	Status string // code and text
	Text   []byte // maxAnswerBytes at most
}

// maxAnswerBytes bounds what is read of an answer. The rest is dropped.
const maxAnswerBytes = 64 << 20

// client keeps no connection: the next call may go to another incarnation at the same address.
var client = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Do makes the call once, until ctx ends. An error says that there was no complete answer: the call
// may have had its effect.
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
