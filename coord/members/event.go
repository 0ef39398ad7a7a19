package members

import "net/netip"

// Event is an input of a Decider: one of the types below.
type Event interface{ isEvent() }

// Received is a datagram that arrived. Data is not retained.
type Received struct {
	From netip.AddrPort
	Data []byte
}

// Tick is an event without content: only time has passed.
type Tick struct{}

// Leave announces that this process ends. With Replaced another process takes over the same name,
// and nothing is announced: the successor appears as a restart.
type Leave struct{ Replaced bool }

// SetSeeds replaces Config.Seeds. The slice must not change afterwards.
type SetSeeds struct{ Addrs []netip.AddrPort }

func (Received) isEvent() {}
func (Tick) isEvent()     {}
func (Leave) isEvent()    {}
func (SetSeeds) isEvent() {}

// Action is an output of a Decider for its owner to carry out: one of the types below.
type Action interface{ isAction() }

// Send is a datagram to send. Data belongs to the owner.
type Send struct {
	To   netip.AddrPort
	Data []byte
}

// Changed notifies users of the view. View returns the complete view of that version.
type Changed struct {
	Version, Digest uint64
	Changes         []Change
}

// NameConflict reports, once for each name and address, that a process claims the name of a live
// member.
type NameConflict struct {
	Name string
	Addr netip.AddrPort // of the claimant
}

// LocalNameTaken reports, once, that a live member at another address has the local name: the local
// process stays Joining, in no view, until that member is dead.
type LocalNameTaken struct{ By netip.AddrPort }

func (Send) isAction()           {}
func (Changed) isAction()        {}
func (NameConflict) isAction()   {}
func (LocalNameTaken) isAction() {}
