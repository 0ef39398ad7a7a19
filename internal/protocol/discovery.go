package protocol

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"reachspread/balance"
)

// ServiceEntry is one server as discovery lists it. The decisions know it by its id, which is alike at all
// routers; only the network uses the address.
type ServiceEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	StartedMs float64 `json:"started_ms"`
}

// List is an answer of discovery: the whole list, or the entries that changed.
type List struct {
	Version int64          `json:"version"`
	Full    bool           `json:"full"`
	Servers []ServiceEntry `json:"servers"`
}

// ParseList reads and checks a list, so that a malformed one is refused whole.
func ParseList(text []byte) (*List, error) {
	l := new(List)
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("discovery list: %w", err)
	}
	return l, l.Check()
}

// Check tells the first fault of a list.
func (l *List) Check() error {
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

// stateOf maps a word of discovery to the module's state.
func stateOf(word string) (state balance.State, known bool) {
	switch word {
	case "Ready":
		return balance.Serving, true
	case "Terminating":
		return balance.Draining, true
	case "Gone":
		return balance.Removed, true
	}
	return balance.Removed, false
}

// Members turns a checked list into the module's event. The module's clock counts from the start of Unix time.
func (l *List) Members() balance.Members {
	ev := balance.Members{Version: l.Version, Complete: l.Full}
	for _, e := range l.Servers {
		state, _ := stateOf(e.State)
		ev.Members = append(ev.Members, balance.Member{Replica: e.ID, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind,
			State: state, StartedAt: time.Duration(e.StartedMs * float64(time.Millisecond))})
	}
	return ev
}

// Addrs returns where to reach each server of the list.
func (l *List) Addrs() map[string]string {
	addrs := make(map[string]string, len(l.Servers))
	for _, e := range l.Servers {
		addrs[e.ID] = e.Addr
	}
	return addrs
}

// ListPath is the call for the whole list.
const ListPath = "/api/targets"

// WatchPath is the call that waits for something newer than a version.
func WatchPath(version int64, wait time.Duration) string {
	return ListPath + "?index=" + strconv.FormatInt(version, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
}
