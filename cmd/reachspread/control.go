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
	// controlCallTimeout bounds one call. The router may answer only once a change is in force on all
	// routers.
	controlCallTimeout = 12 * time.Second
	// controlRetryInterval is the pause before a call whose outcome is unknown is retried.
	controlRetryInterval = 200 * time.Millisecond
	// controlTimeout bounds a call including all its retries.
	controlTimeout = time.Minute
)

// controlClient calls the control plane. Any of the routers at its addresses can answer; it goes to
// the next one after each call without a known outcome.
type controlClient struct {
	addresses []string
	next      int // selects the router of the next call, modulo the number of addresses
}

// newControlClient returns a client and adds the --control flag, which names its routers, to a
// command.
func newControlClient(c *cobra.Command) *controlClient {
	to := &controlClient{}
	c.Flags().StringSliceVar(&to.addresses, "control", nil, "the control plane `address` of a router; several addresses are tried in turn")
	return to
}

// errOutcomeUnknown reports that a call may or may not have had an effect. Retrying the same call is
// safe because the register recognizes an order that it has already accepted.
var errOutcomeUnknown = errors.New("the outcome of the call is unknown")

// call repeats a call, at one router after the other, until its outcome is known or controlTimeout
// has passed.
func (t *controlClient) call(ctx context.Context, method, path, ifMatch string, body any) (text []byte, err error) {
	if len(t.addresses) == 0 {
		return nil, errors.New("--control must name the control plane address of a router, which is listenAddresses.controlPlane in the router's settings file")
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

// callOnce makes a call to the router that next selects.
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
		return nil, fmt.Errorf("%w; router %s: %w", errOutcomeUnknown, address, err)
	case answer.Code == http.StatusOK:
		return answer.Text, nil
	case answer.Code == http.StatusAccepted, answer.Code/100 == 5:
		return nil, fmt.Errorf("%w; router %s answered %s", errOutcomeUnknown, address, answer.Status)
	}
	return nil, rejection(answer.Status, answer.Text)
}

// rejection returns the error for a call that the control plane rejected: the reason in the answer's
// body, or else the HTTP status.
func rejection(status string, text []byte) error {
	var body struct {
		Error string `json:"error"` // why the call is invalid
		Text  string `json:"text"`  // why the register rejected the order
	}
	if json.Unmarshal(text, &body) == nil && body.Error+body.Text != "" {
		return errors.New(cmp.Or(body.Error, body.Text))
	}
	return fmt.Errorf("the router rejected the call with %s", status)
}
