package pintest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"reachspread/internal/system/controlapi"
)

const (
	callTimeout    = 10 * time.Second // limit of one call to a control plane
	callRetryDelay = 50 * time.Millisecond
	maxReplyBytes  = 1 << 20
	hostZone       = "z0"
)

// Configure sends Configuration to a fleet that has no configuration yet.
func (s *Scenario) Configure(ctx context.Context) error {
	_, err := s.call(ctx, http.MethodPut, "/configuration", "0", []byte(Configuration))
	return err
}

// Register registers all hosts.
func (s *Scenario) Register(ctx context.Context) error {
	for _, h := range s.Hosts {
		if _, err := s.call(ctx, http.MethodPut, "/instances/"+h.ID, "", h.registration(hostZone)); err != nil {
			return err
		}
	}
	return nil
}

// Heartbeats sends a registration for each host that is not closed, once per interval, until ctx
// ends or Finish is called. It ignores failed calls.
func (s *Scenario) Heartbeats(ctx context.Context, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stop:
			return
		case <-tick.C:
		}
		for i, h := range s.Hosts {
			if !h.closed.Load() {
				s.callOne(ctx, i%len(s.Controls), http.MethodPut, "/instances/"+h.ID, "", h.registration(hostZone))
			}
		}
	}
}

// call sends a request to the control planes in rotation, as operators and hosts do, until one of
// them answers with status 200 or 4xx. For 4xx, the error holds the status and the answer. If ctx
// ends first, the error wraps the error of the last call.
func (s *Scenario) call(ctx context.Context, method, path, ifMatch string, body []byte) (text []byte, err error) {
	for attempt := 0; ; attempt++ {
		var status int
		status, text, err = s.callOne(ctx, attempt%len(s.Controls), method, path, ifMatch, body)
		switch {
		case status == http.StatusOK:
			return text, nil
		case status/100 == 4:
			return nil, fmt.Errorf("%s %s was refused with status %d: %s", method, path, status, text)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%s %s: no answer with status 200 or 4xx before the context ended; the last status is %d: %w", method, path, status, err)
		case <-time.After(callRetryDelay):
		}
	}
}

// callOne sends one request to the control plane of one router. The status is 0 if there is no
// answer.
func (s *Scenario) callOne(ctx context.Context, router int, method, path, ifMatch string, body []byte) (status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.Controls[router]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if ifMatch != "" {
		r.Header.Set("If-Match", ifMatch)
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, text, err
}

// Revision returns the revision of the pins in force.
func (s *Scenario) Revision(ctx context.Context) (int64, error) {
	text, err := s.call(ctx, http.MethodGet, "/pins", "", nil)
	if err != nil {
		return 0, err
	}
	var list controlapi.PinList
	err = json.Unmarshal(text, &list)
	return list.Revision, err
}

// ChangePin sets the pin p of tenant x to a version, or removes the pin if the version is 0. It
// returns after a control plane has acknowledged the change.
func (s *Scenario) ChangePin(ctx context.Context, version int64) error {
	revision, err := s.Revision(ctx)
	if err != nil {
		return err
	}
	method := http.MethodPut
	order := controlapi.PinOrder{Tenant: "x", Model: Model, Version: version, By: "ann", Why: "trial"}
	if version == 0 {
		method, order = http.MethodDelete, controlapi.PinOrder{By: "ann", Why: "done"}
	}
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	last, next := &s.pins[len(s.pins)-1], period{version: version, from: time.Now()}
	if _, err := s.call(ctx, method, "/pins/p", fmt.Sprint(revision), body); err != nil {
		return err
	}
	last.until = time.Now()
	s.pins = append(s.pins, next)
	return nil
}
