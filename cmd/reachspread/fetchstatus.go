package main

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	mapset "github.com/deckarep/golang-set/v2"

	"reachspread/internal/system/controlclient"
	"reachspread/internal/system/status"
)

const (
	// statusTimeout bounds one status request to a router.
	statusTimeout = 3 * time.Second
	// maxConcurrentCalls bounds how many routers are queried at the same time.
	maxConcurrentCalls = 32
)

// routerAnswer is the result of querying one router for its status.
type routerAnswer struct {
	At     string         `json:"at"` // the router's readiness address
	Error  string         `json:"error,omitempty"`
	Status *status.Router `json:"status,omitempty"` // nil after an error
}

// failures joins the errors of the routers whose status could not be fetched. It returns nil if
// there are none.
func failures(answers []routerAnswer) error {
	var all []error
	for _, a := range answers {
		if a.Error != "" {
			all = append(all, fmt.Errorf("%s: %s", a.At, a.Error))
		}
	}
	return errors.Join(all...)
}

// forEachStatus calls do for each router that answered with a status.
func forEachStatus(answers []routerAnswer, do func(a routerAnswer, s *status.Router)) {
	for _, a := range answers {
		if a.Status != nil {
			do(a, a.Status)
		}
	}
}

// fetchStatuses queries the routers at the given addresses. If all is set, it also queries the
// members that these routers report, and sorts the answers by address.
func fetchStatuses(ctx context.Context, at []string, all bool) ([]routerAnswer, error) {
	answers := fetchEach(ctx, at)
	if !all {
		return answers, nil
	}
	known := mapset.NewThreadUnsafeSet(at...)
	var more []string
	for _, a := range answers {
		peers, err := peersOf(a)
		if err != nil {
			return nil, err
		}
		for _, address := range peers {
			if known.Add(address) {
				more = append(more, address)
			}
		}
	}
	answers = append(answers, fetchEach(ctx, more)...)
	slices.SortFunc(answers, func(a, b routerAnswer) int { return cmp.Compare(a.At, b.At) })
	return answers, nil
}

// peersOf returns the readiness addresses of the members that a router reports. All routers of a
// fleet use the same readiness port, so each address combines the member's host with the port of the
// router that answered.
func peersOf(a routerAnswer) (all []string, err error) {
	if a.Status == nil {
		return nil, nil
	}
	_, port, err := net.SplitHostPort(a.At)
	if err != nil {
		return nil, fmt.Errorf("--at %s: %w", a.At, err)
	}
	for _, m := range a.Status.Members {
		host, _, err := net.SplitHostPort(m.Address)
		if err != nil {
			continue // a router of another version may report addresses in another form
		}
		all = append(all, net.JoinHostPort(host, port))
	}
	return all, nil
}

// fetchEach queries routers, up to maxConcurrentCalls at a time. It returns the answers in the order
// of the addresses.
func fetchEach(ctx context.Context, at []string) []routerAnswer {
	answers := make([]routerAnswer, len(at))
	running := make(chan struct{}, maxConcurrentCalls)
	var group sync.WaitGroup
	for i, address := range at {
		running <- struct{}{}
		group.Go(func() {
			defer func() { <-running }()
			answers[i] = fetchStatus(ctx, address)
		})
	}
	group.Wait()
	return answers
}

func fetchStatus(ctx context.Context, at string) routerAnswer {
	s, err := callStatus(ctx, at)
	if err != nil {
		return routerAnswer{At: at, Error: err.Error()}
	}
	return routerAnswer{At: at, Status: s}
}

func callStatus(ctx context.Context, at string) (*status.Router, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answer, err := controlclient.Do(ctx, controlclient.Call{Address: at, Method: http.MethodGet, Path: status.Path})
	if err != nil {
		return nil, err
	}
	if answer.Code != http.StatusOK {
		return nil, fmt.Errorf("the router answered the status request with %s", answer.Status)
	}
	return status.Read(bytes.NewReader(answer.Text))
}
