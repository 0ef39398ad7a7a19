package recovery

import (
	"cmp"
	"fmt"
	"time"

	"reachspread/internal/router/snapshot"
)

// Limits of external input and of queries.
const (
	MaxDatagramBytes = 256  // limit that the platform sets for a datagram
	MaxPeers         = 512  // routers of the saved membership that are asked
	MaxNameBytes     = 32   // bytes of a router's name
	MaxHosts         = 4096 // hosts of a list
	MaxTags          = 40   // hosts in a datagram
	maxQueriedPeers  = 3    // routers that take turns in answering about hosts; routers per round of queries for a measure
)

// Intervals between queries.
const (
	queryInterval = 250 * time.Millisecond // until routers that have not replied are asked again
	// savedListQueryInterval is the time between queries about hosts while the saved list is in use.
	savedListQueryInterval = 2 * time.Second
	measureQueryInterval   = 500 * time.Millisecond // until the next routers are asked for their measures
)

// Default timeouts of a Config.
const (
	defaultQueryTimeout   = time.Second
	defaultListTimeout    = 2 * time.Second
	defaultStaleListDelay = 8 * time.Second
	defaultWarmUpTimeout  = 20 * time.Second
)

// Config configures a Decider. A timeout or delay of 0 selects its default.
type Config struct {
	Self      string          // name of this router
	Boot      uint32          // boot number of this process
	Saved     *snapshot.State // state saved by the previous process, nil for none
	Damaged   []string        // faults of the files of the previous process; shown to operators
	Discovery string          // address of discovery
	// QueryTimeout bounds the wait for replies of other routers. A longer timeout classifies outages
	// better but delays a router whose peers are down.
	QueryTimeout time.Duration
	// ListTimeout bounds the wait for discovery's list; after it the router uses the saved list. With
	// a shorter timeout the router may send requests to hosts that are gone. A longer timeout delays
	// its first requests if discovery is silent.
	ListTimeout time.Duration
	// StaleListDelay is added to ListTimeout while a peer has a newer list than the saved one and
	// queries about the saved hosts are unanswered.
	StaleListDelay time.Duration
	// WarmUpTimeout bounds the stage that waits for the hosts to be warm. After it, a Gate still
	// admits only as many requests as the hosts can serve.
	WarmUpTimeout time.Duration
	HasRoles      bool // the recovery waits for the voters of singleton roles
}

// validate fills in defaults and returns an error for an invalid configuration.
func (c *Config) validate() error {
	if c.Self == "" || len(c.Self) > MaxNameBytes {
		return fmt.Errorf("invalid router name %q: it must have 1 to %d bytes", c.Self, MaxNameBytes)
	}
	c.QueryTimeout = cmp.Or(c.QueryTimeout, defaultQueryTimeout)
	c.ListTimeout = cmp.Or(c.ListTimeout, defaultListTimeout)
	c.StaleListDelay = cmp.Or(c.StaleListDelay, defaultStaleListDelay)
	c.WarmUpTimeout = cmp.Or(c.WarmUpTimeout, defaultWarmUpTimeout)
	return nil
}
