package fakes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// RouterSite gives a router's addresses, its location, its resource limits and its peers.
type RouterSite struct {
	Name, Listen, Discovery string // Discovery is empty for the fleet's first list
	Seed                    uint64
	Zone                    string  // empty for the zone of the first group of hosts
	Memory, Sockets         int     // limits in MB and file descriptors; 0 for the defaults
	Cores                   float64 // 0 for the default

	Index      int // this router's index in Peers
	PeerListen string
	Peers      []string // addresses of all routers including this one; empty for a single router
}

// The default limits of a router.
const (
	defaultMemoryMB = 256
	defaultSockets  = 1024
	defaultCores    = 2
)

// stopSendingWithin is how long after a host begins to drain a router may still send it requests.
const stopSendingWithin = 500 * time.Millisecond

// The objects of a router's configuration file, with the platform's names in the JSON tags. The
// fields are ordered by these names.
type (
	routerConfig struct {
		Discovery string       `json:"discovery"`
		Known     knownServers `json:"known"`
		Limits    siteLimits   `json:"limits"`
		Listen    string       `json:"listen"`
		Name      string       `json:"name"`
		*peerConfig
		Seed     string         `json:"seed"` // hexadecimal
		Settings routerSettings `json:"settings"`
	}
	knownServers struct {
		Full    bool    `json:"full"`
		Servers []Entry `json:"servers"`
		Version int64   `json:"version"`
	}
	siteLimits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	}
	peerConfig struct {
		PeerListen string   `json:"peer_listen"`
		Peers      []string `json:"peers"`
	}
	routerSettings struct {
		Zone      string            `json:"az"`
		Clients   clientSettings    `json:"clients"`
		Discovery string            `json:"discovery"`
		Extra     extraSettings     `json:"extra"`
		Limits    attemptLimits     `json:"limits"`
		Index     int               `json:"me"`
		Routers   int               `json:"nInstances"`
		Tick      time.Duration     `json:"quantumNs"`
		Reporting reportingSettings `json:"reporting"`
		Rules     slowStartSettings `json:"rules"`
		Services  []serviceSettings `json:"services"`
	}
	clientSettings struct {
		HasRetryHeader bool `json:"marksRetry"`
	}
	extraSettings struct {
		LatencyTargetsPer1000Tokens []float64       `json:"aimUsPer1000PromptTokens"` // microseconds, by class
		ReportX1                    string          `json:"reportX1"`
		TokenLatencyTargets         []time.Duration `json:"tokenAimNs"` // by class
	}
	attemptLimits struct {
		ConnectTimeout time.Duration `json:"connectTimeoutNs"`
		IdleTimeout    time.Duration `json:"keepaliveNs"`
		MaxAttempts    int           `json:"maxAttempts"`
		MaxRetryAfter  time.Duration `json:"maxRetryAfterNs"`
		MayProbe       bool          `json:"mayProbe"`
		HasPeers       bool          `json:"peers"`
		RetryAfter     bool          `json:"retryAfter"`
	}
	reportingSettings struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"`
	}
	slowStartSettings struct {
		Window            time.Duration `json:"coldNs"`
		OverloadFactor    float64       `json:"overloadFactor"`
		MinCapacity       float64       `json:"startCapacity"`
		StopSendingWithin time.Duration `json:"stopSendingWithinNs"`
		OverloadWindow    time.Duration `json:"tipAfterNs"`
	}
	serviceSettings struct {
		LatencyTarget     time.Duration `json:"aimNs"`
		Effect            string        `json:"effect"`
		Value             float64       `json:"gain"`
		Group             string        `json:"group"`
		Deadline          time.Duration `json:"hardLimitNs"`
		LateValueFraction float64       `json:"lateWorth"`
		Name              string        `json:"name"`
		Streaming         bool          `json:"streaming"`
	}
)

// RouterConfig returns the configuration file of a router of this fleet. The classes of the
// experiment become the router's services.
func (f *Fleet) RouterConfig(at RouterSite) []byte {
	if at.Zone == "" && len(f.spec.Groups) > 0 {
		at.Zone = f.spec.Groups[0].Zone
	}
	config := routerConfig{
		Discovery: cmp.Or(at.Discovery, f.List.Addr),
		Known:     knownServers{Full: true, Servers: []Entry{}},
		Limits: siteLimits{
			Cores:    cmp.Or(at.Cores, defaultCores),
			MemoryMB: cmp.Or(at.Memory, defaultMemoryMB),
			Sockets:  cmp.Or(at.Sockets, defaultSockets),
		},
		Listen:   at.Listen,
		Name:     at.Name,
		Seed:     strconv.FormatUint(max(at.Seed, 1), 16),
		Settings: f.routerSettings(&at),
	}
	if len(at.Peers) > 0 {
		config.peerConfig = &peerConfig{PeerListen: at.PeerListen, Peers: at.Peers}
	}
	text, err := json.Marshal(config)
	if err != nil {
		panic(fmt.Sprintf("the configuration of router %s can't be encoded as JSON: %v", at.Name, err))
	}
	return text
}

// routerSettings returns the settings of a router, derived from the experiment and the router's site.
func (f *Fleet) routerSettings(at *RouterSite) routerSettings {
	b := &f.spec.Balance
	return routerSettings{
		Zone:      at.Zone,
		Clients:   clientSettings{HasRetryHeader: true},
		Discovery: "push",
		Extra:     f.extraSettings(),
		Limits: attemptLimits{
			ConnectTimeout: f.spec.Net.Connect,
			IdleTimeout:    f.spec.Net.Idle,
			MaxAttempts:    b.MaxAttempts,
			MaxRetryAfter:  b.MaxRetryAfter,
			MayProbe:       b.MayProbe,
			HasPeers:       len(at.Peers) > 0,
			RetryAfter:     true,
		},
		Index:     at.Index,
		Routers:   max(len(at.Peers), 1),
		Tick:      f.spec.Tick,
		Reporting: reportingSettings{Columns: []string{"inflight", "util", "x1"}, How: "answers"},
		Rules: slowStartSettings{
			Window:            b.SlowStartWindow,
			OverloadFactor:    b.OverloadFactor,
			MinCapacity:       b.SlowStartMinCapacity,
			StopSendingWithin: stopSendingWithin,
			OverloadWindow:    b.OverloadWindow,
		},
		Services: f.services(),
	}
}

// extraSettings returns the latency targets per 1000 prompt tokens and per answer token, by class.
func (f *Fleet) extraSettings() extraSettings {
	extra := extraSettings{ReportX1: "thousands of prompt tokens waiting to be read"}
	for _, c := range f.spec.Classes {
		perThousand := float64(c.Class.LatencyTargetPer1000Tokens.Microseconds())
		extra.LatencyTargetsPer1000Tokens = append(extra.LatencyTargetsPer1000Tokens, perThousand)
		extra.TokenLatencyTargets = append(extra.TokenLatencyTargets, c.Class.TokenLatencyTarget)
	}
	return extra
}

// services returns the services of a router, one for each class of the experiment.
func (f *Fleet) services() (services []serviceSettings) {
	for _, c := range f.spec.Classes {
		services = append(services, serviceSettings{
			LatencyTarget:     c.Class.LatencyTarget,
			Effect:            "safe",
			Value:             c.Class.Value,
			Group:             "all",
			Deadline:          c.Class.Deadline,
			LateValueFraction: c.Class.LateValueFraction,
			Name:              c.Class.Name,
			Streaming:         true,
		})
	}
	return services
}
