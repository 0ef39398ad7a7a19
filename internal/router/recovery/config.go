package recovery

import (
	"cmp"
	"fmt"
	"time"

	"reachspread/internal/router/snapshot"
)

// Bounds of what comes from outside.
const (
	MaxDatagramBytes = 256  // the platform's
	MaxPeers         = 512  // routers of the saved membership that are asked
	MaxNameBytes     = 32   // of a router's name
	MaxHosts         = 4096 // of a list
	MaxTags          = 40   // hosts in a datagram
	maxQueriedPeers  = 3    // routers that are asked at a time about hosts, or for their measures
)

// Periods.
const (
	queryInterval = 250 * time.Millisecond // until who has not replied is asked again
	// savedListQueryInterval is that of queries on hosts while the saved list is in use.
	savedListQueryInterval = 2 * time.Second
	measureQueryInterval   = 500 * time.Millisecond // until the next routers are asked for their measures
)

// Defaults of a Config.
const (
	defaultQueryTimeout   = time.Second
	defaultListTimeout    = 2 * time.Second
	defaultStaleListDelay = 8 * time.Second
	defaultWarmUpTimeout  = 20 * time.Second
)

// Config is what a Decider is told at its start. A time-out of 0 counts as its default.
type Config struct {
	Self      string
	Boot      uint32          // of this process
	Saved     *snapshot.State // that the last process left, nil for none
	Damaged   []string        // what is wrong with the files that it left; shown to operators
	Discovery string          // address
	// QueryTimeout bounds the wait for other routers. Longer classifies outages better, and delays
	// a router whose peers are down.
	QueryTimeout time.Duration
	// ListTimeout bounds the wait for discovery until the saved list is used. Shorter sends
	// requests to hosts that may be gone, longer sends none.
	ListTimeout time.Duration
	// StaleListDelay is added to ListTimeout while a peer has a newer list and has not replied
	// which hosts it has.
	StaleListDelay time.Duration
	// WarmUpTimeout bounds the wait for hosts to be warm. Requests are still admitted as hosts go.
	WarmUpTimeout time.Duration
	HasRoles      bool // voters of singleton roles are waited for
}

// validate returns what is wrong with a configuration, and fills in defaults.
func (c *Config) validate() error {
	if c.Self == "" || len(c.Self) > MaxNameBytes {
		return fmt.Errorf("router %q: a name has 1 to %d bytes", c.Self, MaxNameBytes)
	}
	c.QueryTimeout = cmp.Or(c.QueryTimeout, defaultQueryTimeout)
	c.ListTimeout = cmp.Or(c.ListTimeout, defaultListTimeout)
	c.StaleListDelay = cmp.Or(c.StaleListDelay, defaultStaleListDelay)
	c.WarmUpTimeout = cmp.Or(c.WarmUpTimeout, defaultWarmUpTimeout)
	return nil
}
