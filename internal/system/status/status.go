package status

import (
	"encoding/json"
	"fmt"
	"io"

	"reachspread/internal/system/deciders/configuration"
)

// Path is the HTTP path of the status on a router's readiness address.
const Path = "/status"

// Router is one router's status.
type Router struct {
	Name          string        `json:"name"`
	Address       string        `json:"address"` // address for other routers
	Zone          string        `json:"zone"`
	Eligible      bool          `json:"core"` // whether the router may be a member of the register
	UptimeSeconds float64       `json:"upS"`
	Ready         bool          `json:"ready"`
	Draining      bool          `json:"leaving"`
	DrainPhase    string        `json:"phase"` // phase of draining, empty before draining starts
	Process       Process       `json:"process"`
	Loops         []Loop        `json:"loops"`
	Requests      Requests      `json:"requests"`
	Connections   []Connections `json:"connectionsClosed"` // closed client connections, by the reason
	Panics        uint64        `json:"panicsRecovered"`   // panics that each ended one connection
	Malformed     uint64        `json:"malformedAnswers"`  // answers of hosts that were malformed by RFC 9110 or RFC 9112
	Link          Link          `json:"link"`
	PromptReports PromptReports `json:"promptReports"`
	Configuration Configuration `json:"configuration"`
	Members       []Member      `json:"members"` // members of the fleet, including this router
	Register      Register      `json:"register"`
	Services      []Service     `json:"services"`
	Pins          Pins          `json:"pins"`
}

// Process counts the resources that the process has used since it started.
type Process struct {
	CPUSeconds *float64 `json:"cpuS"` // processor time; null if the operating system does not report it
}

// Connections counts the client connections that were closed for one reason.
type Connections struct {
	Reason     string `json:"reason"`
	Closed     uint64 `json:"closed"`
	Unread     uint64 `json:"unread"`     // closed connections with received bytes that were not read
	Unanswered uint64 `json:"unanswered"` // closed connections with a request that had started and was not answered
}

// Loop counts the steps of an event loop that runs one part of the process.
type Loop struct {
	Name    string `json:"name"`
	Steps   uint64 `json:"steps"`   // steps since the process started
	Stalled uint64 `json:"stalled"` // steps by a timer that was due again at once, which indicates a busy loop
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
	Tenant        string           `json:"tenant"` // empty for all tenants
	Route         string           `json:"route"`  // empty for all routes
	Model         string           `json:"model"`
	Version       int64            `json:"version"`
	Hosts         int              `json:"hosts"`  // ready hosts that have the version
	OtherVersions int              `json:"others"` // ready hosts that have other versions of the model
	ActiveSeconds float64          `json:"sinceS"` // how long the pin has been in force on this router
	Requests      uint64           `json:"requests"`
	Answered      map[int64]uint64 `json:"answered"` // complete answers, by the version that they state
	WrongVersion  uint64           `json:"wrong"`    // complete answers of another version than the pin's
	Rejected      uint64           `json:"refused"`
	Failed        uint64           `json:"failed"`
}

// Requests counts the requests of clients since the process started.
type Requests struct {
	Received uint64       `json:"taken"`
	Rejected uint64       `json:"rejected"` // rejected before a host was chosen
	Ended    []RequestEnd `json:"ended"`
}

// RequestEnd counts the requests of a kind and a tenant with one outcome.
type RequestEnd struct {
	Kind    string `json:"kind"`   // kind of the route; empty if no route was found
	Tenant  string `json:"tenant"` // empty if no tenant was found
	Outcome string `json:"outcome"`
	Count   uint64 `json:"count"`
}

// PromptReports counts the datagrams with which routers report to each other the prompts that they
// sent to hosts.
type PromptReports struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	Dropped  uint64 `json:"dropped"` // the queue was full, the sender was unknown, or the datagram was invalid
}

// Link counts messages, bytes and TCP connections between this router and others.
type Link struct {
	Sent          uint64 `json:"sent"`
	SentBytes     uint64 `json:"sentBytes"`
	Received      uint64 `json:"received"`
	ReceivedBytes uint64 `json:"receivedBytes"`
	Lost          uint64 `json:"lost"`        // messages that were not sent because the queue was full or there was no connection
	Connected     uint64 `json:"connected"`   // connections that were opened to other routers
	Unreachable   uint64 `json:"unreachable"` // failed attempts to open a connection
	Broken        uint64 `json:"broken"`      // connections that ended during a send, or over which no message got through
}

// Configuration describes the configuration in force on the router.
type Configuration struct {
	Version             int64    `json:"version"` // 0 if there is none
	Routes              int      `json:"routes"`
	Tenants             int      `json:"tenants"`
	ConfirmedAgeSeconds *float64 `json:"confirmedS"` // time since the configuration was confirmed to be the newest; null if it never was
	HonoursKeys         bool     `json:"fresh"`      // whether it was confirmed recently enough to honour API keys
	Source              string   `json:"from"`       // the router that sent the configuration, empty if the register did

	History []Revision `json:"history"` // the configuration in force and the earlier ones that are retained, the newest first
}

// Revision is a configuration that is or was in force on a router.
type Revision struct {
	Version       int64                      `json:"version"`
	ActiveSeconds float64                    `json:"sinceS"`  // time since it came into force on this router
	Changes       []configuration.ListChange `json:"changes"` // changes to the previous configuration; null if that is not known
}

// Member is a router of the fleet, as this router's membership sees it.
type Member struct {
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Eligible bool   `json:"core"`
}

// Register describes the replicated register, as far as this router knows it.
type Register struct {
	Epoch    uint64    `json:"epoch"` // epoch of the view, 0 before the first view
	Replica  *Replica  `json:"replica"`
	Machines []Machine `json:"machines"` // the chain from the head to the tail, then the other members and the standbys
	Shards   []Shard   `json:"shards"`   // in the order of their numbers; empty before the first view
}

// Shard is a shard of the tenants. The machine that owns it counts the usage of its tenants for
// their limits.
type Shard struct {
	Number  int    `json:"number"` // from 0
	Owner   string `json:"owner"`  // identity of the owner
	Address string `json:"address"`
	Token   uint64 `json:"token"` // fencing token: the epoch in which the shard was assigned to its owner
}

// Replica is the state of this router's replica of the register. It is null if the router has none.
type Replica struct {
	Identity            string   `json:"identity"`
	Sequence            uint64   `json:"sequence"`
	Healthy             bool     `json:"healthy"`    // whether its disk completes writes in time
	ConfirmedAgeSeconds *float64 `json:"confirmedS"` // time since a majority confirmed its epoch; null if it may not act
	Shards              int      `json:"shards"`     // shards that it owns
	CurrentTolerance    int      `json:"bears"`      // members that may be lost at once now, as far as this router knows
	TargetTolerance     int      `json:"tolerance"`  // members whose loss at once has to be tolerated
	ShortSeconds        *float64 `json:"shortS"`     // how long the current tolerance has been below the target; null if it is not
}

// Machine is a router that may be a member of the register.
type Machine struct {
	Address         string   `json:"address"`
	Identity        string   `json:"identity"`
	Member          bool     `json:"member"` // whether it votes on the next view
	ChainPosition   int      `json:"place"`  // 1 at the head of the chain; 0 outside the chain
	HeardAgeSeconds *float64 `json:"heardS"` // time since its last message; null if this router received none
	Sequence        uint64   `json:"sequence"`
	Complete        bool     `json:"complete"` // whether it has all changes that were acknowledged before the current view
	Behind          uint64   `json:"behind"`   // changes that this router has and the machine's last message does not report
	Healthy         bool     `json:"healthy"`
	Draining        bool     `json:"leaving"`
}

// Service describes one service: its hosts, its open requests and its retry budget.
type Service struct {
	Name    string  `json:"name"`
	Hosts   []Host  `json:"hosts"`
	Open    int64   `json:"open"`    // requests in flight or queued
	Retries float64 `json:"retries"` // retries that the budget allows now
	Ejected int64   `json:"avoided"` // hosts that are ejected because of their failures
}

// Host is a host of a service, as this router knows it.
type Host struct {
	ID               string  `json:"id"`
	Address          string  `json:"address"`
	Zone             string  `json:"zone"`
	State            string  `json:"state"`
	Slots            uint32  `json:"slots"`
	SlowStartSeconds float64 `json:"coldS"` // remaining time of the host's slow start
	Models           []Model `json:"models"`
}

// Model is a version of a model that a host has loaded.
type Model struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// MaxBytes is the maximum length of a status that Read accepts.
const MaxBytes = 64 << 20

// Read decodes a router's status. It returns an error if the input is not a status.
func Read(from io.Reader) (*Router, error) {
	r := &Router{}
	if err := json.NewDecoder(io.LimitReader(from, MaxBytes)).Decode(r); err != nil {
		return nil, fmt.Errorf("the answer is not a router's status: %w", err)
	}
	return r, nil
}
