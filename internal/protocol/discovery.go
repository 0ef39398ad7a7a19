package protocol

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"reachspread/balance"
)

// ListedServer is a server as discovery lists it. The decisions know it by its ID, which is the
// same for all routers; only the network uses the address.
type ListedServer struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	StartedMs float64 `json:"started_ms"`
}

// List is an answer of discovery: the full list, or the servers that changed.
type List struct {
	Version int64          `json:"version"`
	Full    bool           `json:"full"`
	Servers []ListedServer `json:"servers"`
}

// ParseList parses and validates a list. A malformed one is rejected as a whole.
func ParseList(text []byte) (*List, error) {
	l := new(List)
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("discovery list: %w", err)
	}
	return l, l.Validate()
}

// Validate returns the first fault of a list, with the field at fault.
func (l *List) Validate() error {
	for i, e := range l.Servers {
		state, known := stateOf(e.State)
		switch {
		case e.ID == "":
			return fmt.Errorf("servers[%d].id is empty", i)
		case !known:
			return fmt.Errorf("servers[%d].state is %q; it must be Ready, Terminating or Gone", i, e.State)
		case e.Addr == "" && state == balance.Serving:
			return fmt.Errorf("servers[%d].addr is empty", i)
		}
	}
	return nil
}

// stateOf returns the state that discovery names so.
func stateOf(name string) (state balance.State, known bool) {
	switch name {
	case "Ready":
		return balance.Serving, true
	case "Terminating":
		return balance.Draining, true
	case "Gone":
		return balance.Removed, true
	}
	return balance.Removed, false
}

// Members returns a valid list as an event for the decisions, whose clock counts from the start of
// Unix time.
func (l *List) Members() balance.Members {
	ev := balance.Members{Version: l.Version, Complete: l.Full}
	for _, e := range l.Servers {
		state, _ := stateOf(e.State)
		ev.Members = append(ev.Members, balance.Member{Replica: e.ID, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind,
			State: state, StartedAt: time.Duration(e.StartedMs * float64(time.Millisecond))})
	}
	return ev
}

// Addrs returns the address of each server of the list.
func (l *List) Addrs() map[string]string {
	addrs := make(map[string]string, len(l.Servers))
	for _, e := range l.Servers {
		addrs[e.ID] = e.Addr
	}
	return addrs
}

// ListPath is the path of the full list.
const ListPath = "/api/targets"

// WatchPath returns the path of a call that waits for a list newer than a version.
func WatchPath(version int64, wait time.Duration) string {
	return ListPath + "?index=" + strconv.FormatInt(version, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
}
