package main

import (
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

	"reachspread/internal/system/status"
)

const (
	// statusTimeout is how long a router has to answer.
	statusTimeout = 3 * time.Second
	// maxConcurrentCalls bounds the routers that are asked at the same time.
	maxConcurrentCalls = 32
)

// routerAnswer is what came of asking one router for its status.
type routerAnswer struct {
	At     string         `json:"at"` // its readiness address
	Error  string         `json:"error,omitempty"`
	Status *status.Router `json:"status,omitempty"` // nil after an error
}

// failures is what went wrong with the routers that were asked, nil for nothing.
func failures(answers []routerAnswer) error {
	var all []error
	for _, a := range answers {
		if a.Error != "" {
			all = append(all, fmt.Errorf("%s: %s", a.At, a.Error))
		}
	}
	return errors.Join(all...)
}

// forEachStatus calls a function for each router that answered.
func forEachStatus(answers []routerAnswer, do func(a routerAnswer, s *status.Router)) {
	for _, a := range answers {
		if a.Status != nil {
			do(a, a.Status)
		}
	}
}

// fetchStatuses asks routers, and with all set the routers that those see as well. The answers are
// in the order of the addresses then.
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

// peersOf are the readiness addresses of the routers that one sees: they have its port.
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
			continue // of a router of another version
		}
		all = append(all, net.JoinHostPort(host, port))
	}
	return all, nil
}

// fetchEach asks routers, several at a time; the answers are in the order of the addresses.
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+status.Path, nil)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the router answers %s", answer.Status)
	}
	return status.Read(answer.Body)
}
