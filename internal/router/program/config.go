// Package program implements the router process: its configuration and its phases from start to
// exit.
package program

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"reachspread/balance"
	"reachspread/internal/logging"
	"reachspread/internal/protocol"
	"reachspread/internal/router/settings"
	"reachspread/internal/wire"
)

// Config is the configuration that the platform gives a router. It is read from the file that
// ROUTER_CONFIG names.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	// Management is the management address, empty for none.
	Management string        `json:"management"`
	Seed       string        `json:"seed"`
	Limits     Limits        `json:"limits"`
	Known      protocol.List `json:"known"`

	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"` // the addresses of all routers including this one, indexed by router number

	Settings wire.Options `json:"settings"`

	text      []byte // the content of the file
	seed      uint64
	balance   balance.Config
	acceptFD  int                // the inherited descriptor of the clients' listener, 0 if the router opens its own listener
	boot      uint32             // identifies this process in the fleet view, drawn at random when member first needs it
	discovery string             // the discovery address in the file, without the override of ROUTER_DISCOVERY
	set       *settings.Settings // the operators' settings, nil without a settings file
}

// Limits are the resources that a router may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

const (
	reservedDescriptors  = 64 // descriptors for discovery, the listener, probes and the Go runtime
	minClientConnections = 16
)

// Load reads the configuration file that ROUTER_CONFIG names. The other environment variables of the
// platform override fields of the file. An error is one line that names the invalid field.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("ROUTER_CONFIG is not set; it must name the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	c := &Config{text: text}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.discovery = c.Discovery
	for name, field := range map[string]*string{"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen,
		"ROUTER_DISCOVERY": &c.Discovery, "ROUTER_MANAGEMENT": &c.Management} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if fd := getenv("ROUTER_ACCEPT_FD"); fd != "" {
		if c.acceptFD, err = strconv.Atoi(fd); err != nil || c.acceptFD < 3 {
			return nil, fmt.Errorf("ROUTER_ACCEPT_FD is %q; it must be the number of a descriptor, 3 or more", fd)
		}
	}
	return c, c.check()
}

func (c *Config) check() error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Management); c.Management != "" && err != nil {
		return fmt.Errorf("management: %w", err)
	}
	var err error
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", c.Seed)
	}
	switch l := c.Limits; {
	case !(l.Cores > 0):
		return fmt.Errorf("limits.cores is %v; it must be more than 0", l.Cores)
	case l.MemoryMB < 32:
		return fmt.Errorf("limits.memory_mb is %d; it must be 32 or more", l.MemoryMB)
	case c.clients() < minClientConnections:
		return fmt.Errorf("limits.sockets is %d; it must be %d or more", l.Sockets, l.Sockets+2*(minClientConnections-c.clients()))
	}
	if err := c.Known.Validate(); err != nil {
		return fmt.Errorf("known.%w", err)
	}
	if c.Settings.Limits.ConnectTimeoutNs <= 0 {
		return fmt.Errorf("settings.limits.connectTimeoutNs is %d; it must be more than 0", c.Settings.Limits.ConnectTimeoutNs)
	}
	if c.Settings.Limits.KeepaliveNs <= 0 {
		return fmt.Errorf("settings.limits.keepaliveNs is %d; it must be more than 0", c.Settings.Limits.KeepaliveNs)
	}
	if c.balance, err = c.Settings.Config(); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if err := c.checkPeers(); err != nil {
		return err
	}
	if _, err := balance.New(c.balance, c.seed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// checkPeers checks the addresses of the routers. It checks nothing if the settings do not allow
// datagrams between routers.
func (c *Config) checkPeers() error {
	if c.balance.Routers == 0 {
		return nil
	}
	if _, err := netip.ParseAddrPort(c.PeerListen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	if len(c.Peers) != c.balance.Routers {
		return fmt.Errorf("peers has %d addresses; it must have %d, as settings.nInstances says", len(c.Peers), c.balance.Routers)
	}
	for i, p := range c.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
	}
	return nil
}

// descriptorsForSettings returns how many descriptors are reserved for the features that the
// operators' settings turn on.
func (c *Config) descriptorsForSettings() int {
	if c.set == nil {
		return 0
	}
	return c.set.Descriptors()
}

// settingsMemoryDivisor is the divisor of the memory limit that gives the memory that the operators'
// settings may use for copies of requests and their answers.
const settingsMemoryDivisor = 8

// ReadSettings reads the operators' settings file. It returns an error if the settings need more
// descriptors or memory than the limits allow.
func (c *Config) ReadSettings(path string) error {
	set, err := settings.Read(path)
	if err != nil {
		return err
	}
	if most := c.Limits.Sockets - reservedDescriptors - 2*minClientConnections; set.Descriptors() > most {
		return fmt.Errorf("%s: shadow and status may use %d descriptors; limits.sockets leaves %d for them", path, set.Descriptors(), most)
	}
	if most := int64(c.Limits.MemoryMB) << 20 / settingsMemoryDivisor; set.MaxMemory() > most {
		return fmt.Errorf("%s: shadow may hold %d bytes of bodies and answers; an eighth of limits.memory_mb is %d", path, set.MaxMemory(), most)
	}
	c.set = set
	if err := c.checkFleet(path); err != nil {
		return err
	}
	return c.checkRoles(path)
}

// connectTimeout returns the timeout for establishing a connection to a server.
func (c *Config) connectTimeout() time.Duration {
	return time.Duration(c.Settings.Limits.ConnectTimeoutNs)
}

// LogFormat returns the format of log lines.
func (c *Config) LogFormat() logging.Format {
	if c.set == nil {
		return logging.Text
	}
	return c.set.LogFormat
}
