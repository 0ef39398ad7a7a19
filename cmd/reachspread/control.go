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
	controlCallFor  = 12 * time.Second       // one call, which may wait until a change is in force everywhere
	controlAgain    = 200 * time.Millisecond // between calls without a clear answer
	controlPatience = time.Minute            // for a clear answer
)

// control is the control API, at any of some routers.
type control struct {
	addresses []string
	next      int // address that is called next
}

// controlFlag is the flag that says which routers are called.
func controlFlag(c *cobra.Command) *control {
	to := &control{}
	c.Flags().StringSliceVar(&to.addresses, "control", nil, "the control plane's `address` of a router; several are tried in turn")
	return to
}

// errUnclear says that a call had no clear answer: it is to be made again, as it was.
var errUnclear = errors.New("no clear answer")

// call makes a call until it has a clear answer, at one router after the other.
func (t *control) call(ctx context.Context, method, path, ifMatch string, body any) (text []byte, err error) {
	if len(t.addresses) == 0 {
		return nil, errors.New("--control must name the control plane's address of a router, as its settings file has it under listenAddresses")
	}
	ctx, cancel := context.WithTimeout(ctx, controlPatience)
	defer cancel()
	for {
		text, err = t.once(ctx, method, path, ifMatch, body)
		if !errors.Is(err, errUnclear) {
			return text, err
		}
		t.next++
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(controlAgain):
		}
	}
}

// once makes a call at the router whose turn it is.
func (t *control) once(ctx context.Context, method, path, ifMatch string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlCallFor)
	defer cancel()
	address := t.addresses[t.next%len(t.addresses)]
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	answer, err := controlclient.Do(ctx, controlclient.Call{Address: address, Method: method, Path: path, IfMatch: ifMatch, Body: text})
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w from %s: %w", errUnclear, address, err)
	case answer.Code == http.StatusOK:
		return answer.Text, nil
	case answer.Code == http.StatusAccepted, answer.Code/100 == 5:
		return nil, fmt.Errorf("%w from %s: %s", errUnclear, address, answer.Status)
	}
	return nil, refusal(answer.Status, answer.Text)
}

// refusal is the error of a call that was refused.
func refusal(status string, text []byte) error {
	var problem struct {
		Error string `json:"error"` // of the call itself
		Text  string `json:"text"`  // of the order
	}
	if json.Unmarshal(text, &problem) == nil && problem.Error+problem.Text != "" {
		return errors.New(cmp.Or(problem.Error, problem.Text))
	}
	return fmt.Errorf("the router answers %s", status)
}
