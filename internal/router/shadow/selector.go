package shadow

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxPools is how many pools a Selector can distinguish: Pools has a bit for each.
const MaxPools = 64

// Choice says which requests a pool gets copies of.
type Choice struct {
	Pool    string
	Share   float64  // of conversations, from 0 to 1
	Classes []string // none for all
	Tenants []string // none for all
}

// Pools is a set of pools, by their index in the choices of NewSelector.
type Pools uint64

// Has reports whether the pool with that index is in the set.
func (p Pools) Has(i int) bool { return p&(1<<i) != 0 }

// Selector chooses requests. It is immutable, and safe for use by many goroutines.
type Selector struct {
	choices []choice
}

type choice struct {
	Choice
	salt      uint64 // pools choose independently of one another
	hashLimit uint64 // hashes below it are chosen
	all       bool
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

// Session returns the hash that stands for a conversation; a request that names none is one of its
// own.
func Session(session, id string) uint64 {
	if session == "" {
		return xxhash.Sum64String(id)
	}
	return xxhash.Sum64String(session)
}

// Choose returns the pools that get a copy. The share is taken by the hash of the conversation, so
// that each pool gets a conversation whole or not at all, at every router alike and after every
// restart; a larger share keeps what a smaller one chose. It allocates nothing.
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

// Idle reports whether nothing is ever chosen.
func (s *Selector) Idle() bool {
	return !slices.ContainsFunc(s.choices, func(c choice) bool { return c.all || c.hashLimit > 0 })
}

// mix is the finalizer of xxHash64, which spreads a difference in any bit over all of them.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 14029467366897019727
	h ^= h >> 29
	h *= 1609587929392839161
	return h ^ h>>32
}
