package status

import (
	"encoding/json"
	"fmt"
	"io"

	"reachspread/internal/system/deciders/configuration"
)

// Path is where a router serves its status, on its readiness address.
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
	DrainPhase    string        `json:"phase"` // of draining; empty before
	Process       Process       `json:"process"`
	Loops         []Loop        `json:"loops"`
	Requests      Requests      `json:"requests"`
	Connections   []Connections `json:"connectionsClosed"` // of clients, by the reason of the close
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
	CPUSeconds *float64 `json:"cpuS"` // processor time; null where the system does not say
}

// Connections counts the client connections that were closed for one reason.
type Connections struct {
	Reason     string `json:"reason"`
	Closed     uint64 `json:"closed"`
	Unread     uint64 `json:"unread"`     // of these, with bytes that were not read
	Unanswered uint64 `json:"unanswered"` // of these, with a request that was begun and has no answer
}

// Loop is a loop of the process that drives one part of it.
type Loop struct {
	Name    string `json:"name"`
	Steps   uint64 `json:"steps"`   // since the start
	Stalled uint64 `json:"stalled"` // of these, by a timer that was due again at once: a busy loop
}

// Pins are the version pins in force on a router.
type Pins struct {
	Revision int64 `json:"revision"`
	Pins     []Pin `json:"pins"`
}

// Pin is a version pin, with the outcomes of the requests in its scope since it came into force on
// this router, or since the router's start.
type Pin struct {
	Name          string           `json:"name"`
	Tenant        string           `json:"tenant"` // empty for all
	Route         string           `json:"route"`  // empty for all
	Model         string           `json:"model"`
	Version       int64            `json:"version"`
	Hosts         int              `json:"hosts"`  // that are ready and have the version
	OtherVersions int              `json:"others"` // that have only other versions of the model
	ActiveSeconds float64          `json:"sinceS"` // it has been in force here
	Requests      uint64           `json:"requests"`
	Answered      map[int64]uint64 `json:"answered"` // complete answers, by the version that they named
	WrongVersion  uint64           `json:"wrong"`    // of these, of another version than the pin's
	Rejected      uint64           `json:"refused"`
	Failed        uint64           `json:"failed"`
}

// Requests are counts since the start.
type Requests struct {
	Received uint64       `json:"taken"`
	Rejected uint64       `json:"rejected"` // before a host was chosen
	Ended    []RequestEnd `json:"ended"`
}

// RequestEnd counts the requests of a kind and a tenant with one outcome.
type RequestEnd struct {
	Kind    string `json:"kind"`   // of the route; empty where none was found
	Tenant  string `json:"tenant"` // empty where none was found
	Outcome string `json:"outcome"`
	Count   uint64 `json:"count"`
}

// PromptReports counts the datagrams by which routers report to each other the prompts that they
// sent to hosts.
type PromptReports struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	Dropped  uint64 `json:"dropped"` // beyond the queue, of an unknown router, or not valid
}

// Link counts what went over the TCP connections to other routers.
type Link struct {
	Sent          uint64 `json:"sent"`
	SentBytes     uint64 `json:"sentBytes"`
	Received      uint64 `json:"received"`
	ReceivedBytes uint64 `json:"receivedBytes"`
	Lost          uint64 `json:"lost"`        // the queue was full, or there was no connection
	Connected     uint64 `json:"connected"`   // connections that were opened to others
	Unreachable   uint64 `json:"unreachable"` // failed attempts to open one
	Broken        uint64 `json:"broken"`      // that ended while something was sent, or passed nothing on
}

// Configuration is the one in force on the router.
type Configuration struct {
	Version             int64    `json:"version"` // 0 for none
	Routes              int      `json:"routes"`
	Tenants             int      `json:"tenants"`
	ConfirmedAgeSeconds *float64 `json:"confirmedS"` // since it was known to be the newest; null for never
	HonoursKeys         bool     `json:"fresh"`      // it was confirmed recently enough for API keys
	Source              string   `json:"from"`       // the router that it comes from, empty for the register itself

	History []Revision `json:"history"` // the one in force and those before that are retained, the newest first
}

// Revision is a configuration that was in force on a router.
type Revision struct {
	Version       int64                      `json:"version"`
	ActiveSeconds float64                    `json:"sinceS"`  // since it came into force here
	Changes       []configuration.ListChange `json:"changes"` // from the one before; null where that is not known
}

// Member is a router of the fleet by this one's membership.
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
	Machines []Machine `json:"machines"` // the chain from the head to the tail, then the other members and the standbys
	Shards   []Shard   `json:"shards"`   // in their order; none before the first view
}

// Shard is a shard of the tenants, with the machine that owns it and so counts their limits.
type Shard struct {
	Number  int    `json:"number"` // from 0
	Owner   string `json:"owner"`  // identity
	Address string `json:"address"`
	Token   uint64 `json:"token"` // the epoch that assigned it to the owner: a fencing token
}

// Replica is the state of this router's replica of the register; null where it has none.
type Replica struct {
	Identity            string   `json:"identity"`
	Sequence            uint64   `json:"sequence"`
	Healthy             bool     `json:"healthy"`    // its disk takes writes in time
	ConfirmedAgeSeconds *float64 `json:"confirmedS"` // since a majority confirmed its epoch; null where it may not act
	Shards              int      `json:"shards"`     // that it owns
	CurrentTolerance    int      `json:"bears"`      // members that may be lost at once, as far as this one knows
	TargetTolerance     int      `json:"tolerance"`  // members that have to be tolerable losses
	ShortSeconds        *float64 `json:"shortS"`     // for so long the tolerance has been too low; null where it is not
}

// Machine is a router that may be a member of the register.
type Machine struct {
	Address         string   `json:"address"`
	Identity        string   `json:"identity"`
	Member          bool     `json:"member"` // it votes on the next view
	ChainPosition   int      `json:"place"`  // from 1 at the head; 0 for outside the chain
	HeardAgeSeconds *float64 `json:"heardS"` // since its last message; null where this router has none
	Sequence        uint64   `json:"sequence"`
	Complete        bool     `json:"complete"` // it has all that was acknowledged before the present view
	Behind          uint64   `json:"behind"`   // changes that are known here and not in its last message
	Healthy         bool     `json:"healthy"`
	Draining        bool     `json:"leaving"`
}

// Service is the hosts of one service.
type Service struct {
	Name    string  `json:"name"`
	Hosts   []Host  `json:"hosts"`
	Open    int64   `json:"open"`    // requests in flight or queued
	Retries float64 `json:"retries"` // retries that the budget allows now
	Ejected int64   `json:"avoided"` // hosts that are ejected for their failures
}

// Host is a host of a service, as this router knows it.
type Host struct {
	ID               string  `json:"id"`
	Address          string  `json:"address"`
	Zone             string  `json:"zone"`
	State            string  `json:"state"`
	Slots            uint32  `json:"slots"`
	SlowStartSeconds float64 `json:"coldS"` // it is warming up for so long
	Models           []Model `json:"models"`
}

// Model is one that a host has loaded.
type Model struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// MaxBytes bounds a status that Read takes.
const MaxBytes = 64 << 20

// Read decodes a status. The error says that the answer is not one.
func Read(from io.Reader) (*Router, error) {
	r := &Router{}
	if err := json.NewDecoder(io.LimitReader(from, MaxBytes)).Decode(r); err != nil {
		return nil, fmt.Errorf("the answer is not a router's status: %w", err)
	}
	return r, nil
}
