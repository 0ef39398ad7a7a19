package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/system/controlclient"
)

const (
	// controlCallTimeout bounds one call, which may wait until a change is in force everywhere.
	controlCallTimeout = 12 * time.Second
	// controlRetryInterval is the time between two calls whose outcome is unknown.
	controlRetryInterval = 200 * time.Millisecond
	// controlTimeout bounds the time until an outcome is known.
	controlTimeout = time.Minute
)

// controlClient calls the control plane at any of several routers.
type controlClient struct {
	addresses []string
	next      int // the number of the next call; its router follows from that
}

// newControlClient adds the flag that says which routers are called.
func newControlClient(c *cobra.Command) *controlClient {
	to := &controlClient{}
	c.Flags().StringSliceVar(&to.addresses, "control", nil, "the control plane's `address` of a router; several are tried in turn")
	return to
}

// errOutcomeUnknown says that a call may or may not have had an effect. It is safe to make the same
// call again: the register recognizes an order that it has accepted.
var errOutcomeUnknown = errors.New("no clear answer")

// call makes a call until its outcome is known, at one router after the other.
func (t *controlClient) call(ctx context.Context, method, path, ifMatch string, body any) (text []byte, err error) {
	if len(t.addresses) == 0 {
		return nil, errors.New("--control must name the control plane's address of a router, as its settings file has it under listenAddresses")
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for {
		text, err = t.callOnce(ctx, method, path, ifMatch, body)
		if !errors.Is(err, errOutcomeUnknown) {
			return text, err
		}
		t.next++
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(controlRetryInterval):
		}
	}
}

// callOnce makes a call at the router whose turn it is.
func (t *controlClient) callOnce(ctx context.Context, method, path, ifMatch string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	address := t.addresses[t.next%len(t.addresses)]
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	call := controlclient.Call{Address: address, Method: method, Path: path, IfMatch: ifMatch, Body: text}
	answer, err := controlclient.Do(ctx, call)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w from %s: %w", errOutcomeUnknown, address, err)
	case answer.Code == http.StatusOK:
		return answer.Text, nil
	case answer.Code == http.StatusAccepted, answer.Code/100 == 5:
		return nil, fmt.Errorf("%w from %s: %s", errOutcomeUnknown, address, answer.Status)
	}
	return nil, rejection(answer.Status, answer.Text)
}

// rejection is the error of a call that was rejected.
func rejection(status string, text []byte) error {
	var body struct {
		Error string `json:"error"` // of the call itself
		Text  string `json:"text"`  // of the order
	}
	if json.Unmarshal(text, &body) == nil && body.Error+body.Text != "" {
		return errors.New(cmp.Or(body.Error, body.Text))
	}
	return fmt.Errorf("the router answers %s", status)
}
