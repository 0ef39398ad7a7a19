package lease

// Grant is a lease of a role that stands, as the voters have it. It is stored in their snapshots.
type Grant struct {
	Role        string `json:"Duty"`
	Holder      Router
	Token       uint64 // the fencing token
	Renewals    uint64 // so far
	TransferTo  string `json:"Wish"`   // a router that operators want the role to go to, or AnyRouter
	Reason      Reason `json:"Why"`    // why it was granted
	Unconfirmed bool   `json:"Pushed"` // it came in turn and is not renewed yet: its holder may not know of it
}

// CommandKind is what a command does. Its values are stored and on the wire.
type CommandKind uint8

// The kinds. Routers send those up to RequestTransfer; the rest are the voters' own.
const (
	Acquire         CommandKind = iota // grants Router a free slot, or else queues it
	Renew                              // Router still works under Token
	Release                            // Router gives Token back
	Transfer                           // as Release, and the slot is reserved for To
	Expire                             // a lease has passed since Token's Renewals-th renewal
	Dequeue                            // Router waits no more, or To's reservation lapses
	RequestTransfer                    // has Token's holder, 0 for the first, transfer to To
	DefineRole                         // the role Definition exists from here on
	RaiseToken                         // tokens begin above Token
)

// Command is one step of the sequence that the voters agree on.
type Command struct {
	Kind       CommandKind
	Role       string `json:"Duty"`
	Router     Router `json:"Who"`
	Token      uint64
	Renewals   uint64
	To         string
	Definition *Role `json:"With"` // of DefineRole
}

// Reason is why a grant was made or ended. It is stored in grants, on the wire, and shown to
// operators.
type Reason string

// The reasons.
const (
	ReasonAvailable   Reason = "asked"       // a slot was free
	ReasonQueued      Reason = "in turn"     // a slot became free for a queued router
	ReasonReleased    Reason = "yielded"     // the holder gave it back
	ReasonTransferred Reason = "handed over" // the holder gave it back for a router that was named
	ReasonExpired     Reason = "expired"     // the holder did not renew it
	ReasonRestarted   Reason = "again"       // another process of the same router asked
	ReasonFailed      Reason = "dropped"     // the holder gave it back because its work failed
)

// Change is a grant that a command made or ended.
type Change struct {
	Grant   Grant
	Granted bool // or ended
	Reason  Reason
}

// Result is what a command's sender is told.
type Result struct {
	OK      bool
	Queued  bool    // of Acquire where not OK: the router waits for its turn
	Grant   Grant   // of Acquire, Renew and RequestTransfer, if OK
	Refusal Refusal // if not OK
}

// Refusal is why a command changed nothing. It is on the wire and shown to operators.
type Refusal string

// Error implements error.
func (r Refusal) Error() string { return string(r) }

// The refusals, besides what is wrong with the definition of a role.
const (
	RefusedNoSuchRole    Refusal = "there is no such duty"
	RefusedNoDefinition  Refusal = "there is no duty with it"
	RefusedNoSuchCommand Refusal = "there is no such command"
	RefusedNoSuchGrant   Refusal = "the grant is no more"
	RefusedRenewed       Refusal = "it was renewed, or is no more"
	RefusedNotGranted    Refusal = "nobody holds it"
	RefusedRouterName    Refusal = "the router has no name, or too long a one"
	RefusedQueueFull     Refusal = "too many wait"
	RefusedQueued        Refusal = "it is held; the router waits in line"
)
