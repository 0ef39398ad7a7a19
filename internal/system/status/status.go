// Package status is what a router of the fleet tells its operators of itself: the shapes that the readiness address serves under Path and
// that the command line reads. Times are in seconds. It has no I/O.
package status

import (
	"encoding/json"
	"fmt"
	"io"

	"reachspread/internal/system/deciders/configuration"
)

// Path is where a router tells its status, on its readiness address.
const Path = "/status"

// Router is one router's status.
type Router struct {
	Name          string        `json:"name"`
	Address       string        `json:"address"` // for other routers
	Zone          string        `json:"zone"`
	Eligible      bool          `json:"core"` // it may be a member of the register
	UptimeSeconds float64       `json:"upS"`
	Ready         bool          `json:"ready"`
	Draining      bool          `json:"leaving"`
	DrainPhase    string        `json:"phase"` // of leaving; empty for none
	Process       Process       `json:"process"`
	Loops         []Loop        `json:"loops"`
	Requests      Requests      `json:"requests"`
	Link          Link          `json:"link"`
	PromptReports PromptReports `json:"promptReports"`
	Configuration Configuration `json:"configuration"`
	Members       []Member      `json:"members"` // of the fleet, this one among them
	Register      Register      `json:"register"`
	Services      []Service     `json:"services"`
	Pins          Pins          `json:"pins"`
}

// Process is what the process has used since its start.
type Process struct {
	CPUSeconds *float64 `json:"cpuS"` // processor time; null where the system does not tell
}

// Loop is a loop of the process that drives one part of it.
type Loop struct {
	Name    string `json:"name"`
	Steps   uint64 `json:"steps"`   // since the start
	Stalled uint64 `json:"stalled"` // of these, by a timer that was due again at once
}

// Pins are the version pins in force on a router.
type Pins struct {
	Revision int64 `json:"revision"`
	Pins     []Pin `json:"pins"`
}

// Pin is one of them, with the requests of its scope since it came in force on this router, or since the router's start.
type Pin struct {
	Name          string           `json:"name"`
	Tenant        string           `json:"tenant"` // empty for all
	Route         string           `json:"route"`  // empty for all
	Model         string           `json:"model"`
	Version       int64            `json:"version"`
	Hosts         int              `json:"hosts"`  // that are ready and have the version
	OtherVersions int              `json:"others"` // that have only other versions of the model
	ActiveSeconds float64          `json:"sinceS"` // it is in force here for so long
	Requests      uint64           `json:"requests"`
	Answered      map[int64]uint64 `json:"answered"` // whole answers, by the version that they said
	WrongVersion  uint64           `json:"wrong"`    // of these, of another version than the pin's
	Rejected      uint64           `json:"refused"`
	Failed        uint64           `json:"failed"`
}

// Requests are counts since the start.
type Requests struct {
	Received uint64       `json:"taken"`
	Rejected uint64       `json:"rejected"` // before a host was looked for
	Ended    []RequestEnd `json:"ended"`
}

// RequestEnd is how many requests of a kind and a tenant ended in one way.
type RequestEnd struct {
	Kind    string `json:"kind"`   // of the route; empty where none was found
	Tenant  string `json:"tenant"` // empty where none was found
	Outcome string `json:"outcome"`
	Count   uint64 `json:"count"`
}

// PromptReports counts the datagrams by which routers tell each other of prompts that they sent to hosts.
type PromptReports struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	Dropped  uint64 `json:"dropped"` // found no room to wait in, came from nobody that lives, or can't be read
}

// Link is what went over the link to other routers since the start; datagrams of the membership are not in it.
type Link struct {
	Sent          uint64 `json:"sent"`
	SentBytes     uint64 `json:"sentBytes"`
	Received      uint64 `json:"received"`
	ReceivedBytes uint64 `json:"receivedBytes"`
	Lost          uint64 `json:"lost"`        // found no room, or no connection
	Connected     uint64 `json:"connected"`   // connections that were opened to others
	Unreachable   uint64 `json:"unreachable"` // tries to open one in vain
	Broken        uint64 `json:"broken"`      // that ended while something was sent, or that nothing went through
}

// Configuration is the one in force.
type Configuration struct {
	Version             int64    `json:"version"` // 0 for none
	Routes              int      `json:"routes"`
	Tenants             int      `json:"tenants"`
	ConfirmedAgeSeconds *float64 `json:"confirmedS"` // it was the newest for certain so long ago; null for never
	HonoursKeys         bool     `json:"fresh"`      // young enough to honour keys by it
	Source              string   `json:"from"`       // the router that it comes from, empty for the register itself

	History []Revision `json:"history"` // the one in force and those before it that this router keeps, the newest first
}

// Revision is a configuration that was in force on a router.
type Revision struct {
	Version       int64                      `json:"version"`
	ActiveSeconds float64                    `json:"sinceS"`  // it came in force here so long ago
	Changes       []configuration.ListChange `json:"changes"` // against the one before; null where that is not known
}

// Member is a router of the fleet, as this one sees it.
type Member struct {
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Eligible bool   `json:"core"`
}

// Register is what this router knows of the register.
type Register struct {
	Epoch    uint64    `json:"epoch"` // of the view, 0 for none yet
	Replica  *Replica  `json:"replica"`
	Machines []Machine `json:"machines"` // the chain from the head to the tail, then the other members and those that stand by
	Shards   []Shard   `json:"shards"`   // of the duties, in their order; none before the first view
}

// Shard is a part of the duties, such as counting the limits of the tenants that it has, with the machine that owns it.
type Shard struct {
	Number  int    `json:"number"` // from 0
	Owner   string `json:"owner"`  // identity
	Address string `json:"address"`
	Token   uint64 `json:"token"` // the epoch in which the owner was dealt it: what an older owner says counts for nothing
}

// Replica is how this router stands as a member of the register; null where it can't be one.
type Replica struct {
	Identity            string   `json:"identity"`
	Sequence            uint64   `json:"sequence"`
	Healthy             bool     `json:"healthy"`    // what it writes gets to its disk in time
	ConfirmedAgeSeconds *float64 `json:"confirmedS"` // a majority confirmed its epoch so long ago; null where it may not act
	Shards              int      `json:"shards"`     // of the duties
	CurrentTolerance    int      `json:"bears"`      // machines more that may be lost at once, as this one knows it
	TargetTolerance     int      `json:"tolerance"`  // as many as are to be
	ShortSeconds        *float64 `json:"shortS"`     // for so long fewer may be lost; null where all is well
}

// Machine is one that may be a member of the register.
type Machine struct {
	Address         string   `json:"address"`
	Identity        string   `json:"identity"`
	Member          bool     `json:"member"` // it votes on the next view
	ChainPosition   int      `json:"place"`  // in the chain, from 1 at the head; 0 for outside
	HeardAgeSeconds *float64 `json:"heardS"` // the last word of it is so old; null where this router does not listen or heard none
	Sequence        uint64   `json:"sequence"`
	Complete        bool     `json:"complete"` // it has all that was acknowledged before the present view
	Behind          uint64   `json:"behind"`   // changes that it lacks of what is known here; its last word may be older than the newest
	Healthy         bool     `json:"healthy"`
	Draining        bool     `json:"leaving"`
}

// Service is the hosts of one service.
type Service struct {
	Name    string  `json:"name"`
	Hosts   []Host  `json:"hosts"`
	Open    int64   `json:"open"`    // requests that were taken and have not ended
	Retries float64 `json:"retries"` // further attempts that the budget allows now
	Ejected int64   `json:"avoided"` // hosts out of rotation for their failures
}

// Host is one, as this router knows it.
type Host struct {
	ID               string  `json:"id"`
	Address          string  `json:"address"`
	Zone             string  `json:"zone"`
	State            string  `json:"state"`
	Slots            uint32  `json:"slots"`
	SlowStartSeconds float64 `json:"coldS"` // it is slow from its start for so long
	Models           []Model `json:"models"`
}

// Model is one that a host has loaded.
type Model struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// MostBytes bounds a status.
const MaxBytes = 64 << 20

// Read reads a status.
func Read(from io.Reader) (*Router, error) {
	r := &Router{}
	if err := json.NewDecoder(io.LimitReader(from, MaxBytes)).Decode(r); err != nil {
		return nil, fmt.Errorf("the answer is not a router's status: %w", err)
	}
	return r, nil
}
