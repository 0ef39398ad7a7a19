package shadow

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxPools is the maximum number of pools of a Selector: Pools has one bit for each pool.
const MaxPools = 64

// Choice configures which requests are copied to a pool.
type Choice struct {
	Pool    string
	Share   float64  // fraction of the conversations, from 0 to 1
	Classes []string // empty for all classes
	Tenants []string // empty for all tenants
}

// Pools is a set of pools. Bit i stands for the pool at index i of the choices of NewSelector.
type Pools uint64

// Has reports whether the pool at index i is in the set.
func (p Pools) Has(i int) bool { return p&(1<<i) != 0 }

// Selector chooses the requests that are copied to each pool. It is immutable and safe for
// concurrent use.
type Selector struct {
	choices []choice
}

type choice struct {
	Choice
	salt      uint64 // makes the choice independent of those of other pools
	hashLimit uint64 // a conversation whose mixed hash is below hashLimit is chosen
	all       bool   // every conversation is chosen
}

// NewSelector returns a Selector for up to MaxPools choices.
func NewSelector(choices []Choice) *Selector {
	s := new(Selector)
	for _, c := range choices {
		s.choices = append(s.choices, choice{Choice: c, salt: xxhash.Sum64String(c.Pool), all: c.Share >= 1,
			hashLimit: uint64(c.Share * math.MaxUint32 * (1 << 32))})
	}
	return s
}

// Session returns the hash that identifies a conversation. A request without a session counts as a
// conversation of its own, identified by the request's ID.
func Session(session, id string) uint64 {
	if session == "" {
		return xxhash.Sum64String(id)
	}
	return xxhash.Sum64String(session)
}

// Choose returns the pools that get a copy of a request. It applies the share to the hash of the
// conversation, so that a pool gets either all requests of a conversation or none, on every router
// and after every restart. A larger share includes all conversations of a smaller share. Choose does
// not allocate.
func (s *Selector) Choose(class string, tenant []byte, session uint64) Pools {
	var chosen Pools
	for i := range s.choices {
		c := &s.choices[i]
		if !c.all && mix(session^c.salt) >= c.hashLimit ||
			len(c.Classes) > 0 && !slices.Contains(c.Classes, class) ||
			len(c.Tenants) > 0 && !slices.ContainsFunc(c.Tenants, func(t string) bool { return t == string(tenant) }) {
			continue
		}
		chosen |= 1 << i
	}
	return chosen
}

// Idle reports whether Choose never chooses a pool.
func (s *Selector) Idle() bool {
	return !slices.ContainsFunc(s.choices, func(c choice) bool { return c.all || c.hashLimit > 0 })
}

// mix is the finalizer of xxHash64. A difference in any input bit affects all output bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 14029467366897019727
	h ^= h >> 29
	h *= 1609587929392839161
	return h ^ h>>32
}
