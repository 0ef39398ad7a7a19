package protocol

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"reachspread/balance"
)

// ListedServer is a server in a discovery list. Package balance identifies the server by its ID,
// which is the same in all routers; the address is only used to connect to the server.
type ListedServer struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	StartedMs float64 `json:"started_ms"`
}

// List is an answer of discovery: either the full list of servers, or the servers that changed.
type List struct {
	Version int64          `json:"version"`
	Full    bool           `json:"full"`
	Servers []ListedServer `json:"servers"`
}

// ParseList parses and validates a list. It rejects a malformed list as a whole.
func ParseList(text []byte) (*List, error) {
	l := new(List)
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("discovery list: %w", err)
	}
	return l, l.Validate()
}

// Validate returns an error that names the first invalid field of a list, or nil.
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

// stateOf returns the state for a name that discovery uses, and reports whether the name is known.
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

// Members converts a valid list to an event of package balance. Times in the event count from the
// Unix epoch, as in the list.
func (l *List) Members() balance.Members {
	ev := balance.Members{Version: l.Version, Complete: l.Full}
	for _, e := range l.Servers {
		state, _ := stateOf(e.State)
		ev.Members = append(ev.Members, balance.Member{Replica: e.ID, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind,
			State: state, StartedAt: time.Duration(e.StartedMs * float64(time.Millisecond))})
	}
	return ev
}

// Addrs returns the address of each server in the list by the server's ID.
func (l *List) Addrs() map[string]string {
	addrs := make(map[string]string, len(l.Servers))
	for _, e := range l.Servers {
		addrs[e.ID] = e.Addr
	}
	return addrs
}

// ListPath is the path at which discovery serves the full list.
const ListPath = "/api/targets"

// WatchPath returns the path of a long poll that discovery answers once it has a list newer than
// version, or after the wait.
func WatchPath(version int64, wait time.Duration) string {
	return ListPath + "?index=" + strconv.FormatInt(version, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
}
