package members

import "net/netip"

// Event is an input of a Decider: a Received, Tick, Leave or SetSeeds.
type Event interface{ isEvent() }

// Received is a datagram that arrived. The Decider does not retain Data.
type Received struct {
	From netip.AddrPort
	Data []byte
}

// Tick is an event without content: the Decider only processes the passage of time.
type Tick struct{}

// Leave makes the Decider announce that the local process is ending. If Replaced is set, another
// process takes over the same name. The Decider then announces nothing, and the other members see
// the successor as a restart.
type Leave struct{ Replaced bool }

// SetSeeds replaces Config.Seeds. The caller must not modify the slice afterwards.
type SetSeeds struct{ Addrs []netip.AddrPort }

func (Received) isEvent() {}
func (Tick) isEvent()     {}
func (Leave) isEvent()    {}
func (SetSeeds) isEvent() {}

// Action is an output of a Decider that its owner must carry out: a Send, Changed, NameConflict or
// LocalNameTaken.
type Action interface{ isAction() }

// Send is a datagram to send. The owner may retain and modify Data.
type Send struct {
	To   netip.AddrPort
	Data []byte
}

// Changed reports the changes from one version of the view to the next. Decider.View returns the
// complete view of that version.
type Changed struct {
	Version, Digest uint64
	Changes         []Change
}

// NameConflict reports that a process claims the name of a live member. It is reported once for
// each pair of name and address.
type NameConflict struct {
	Name string
	Addr netip.AddrPort // address of the process that claims the name
}

// LocalNameTaken reports, once, that a live member at another address has the local name. By is the
// address of the member that sent the rejection. The local process stays in state Joining and
// appears in no view until the other member is dead.
type LocalNameTaken struct{ By netip.AddrPort }

func (Send) isAction()           {}
func (Changed) isAction()        {}
func (NameConflict) isAction()   {}
func (LocalNameTaken) isAction() {}
