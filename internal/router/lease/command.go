package lease

// Grant is a current lease of a role as the voters record it. It is stored in their snapshots.
type Grant struct {
	Role        string `json:"Duty"`
	Holder      Router
	Token       uint64 // the fencing token
	Renewals    uint64 // number of renewals so far
	TransferTo  string `json:"Wish"`   // the router to which operators want to transfer the role, or AnyRouter; empty for none
	Reason      Reason `json:"Why"`    // why the voters made the grant
	Unconfirmed bool   `json:"Pushed"` // granted from the queue and not renewed yet: the holder may not know of the grant
}

// CommandKind is the kind of a Command. Its values are stored and sent to other routers.
type CommandKind uint8

// The kinds of commands. Decode accepts the kinds up to RequestTransfer from routers; only voters
// propose the other kinds.
const (
	Acquire         CommandKind = iota // grants Router a free slot, or else puts Router into the queue
	Renew                              // renews Router's grant with Token
	Release                            // ends Router's grant with Token
	Transfer                           // ends Router's grant with Token and reserves the slot for To
	Expire                             // ends the grant with Token, unless it has more than Renewals renewals
	Dequeue                            // removes Router from the queue and the reservations for To
	RequestTransfer                    // asks the holder of Token to transfer the role to To; Token 0 means the first grant
	DefineRole                         // adds or changes the role Definition
	RaiseToken                         // raises the table's largest token to at least Token
)

// Command is one entry of the sequence that the voters agree on. Which fields it uses depends on
// its kind.
type Command struct {
	Kind       CommandKind
	Role       string `json:"Duty"`
	Router     Router `json:"Who"`
	Token      uint64
	Renewals   uint64
	To         string
	Definition *Role `json:"With"` // only for DefineRole
}

// Reason says why a grant was made or ended. It is stored in grants, sent to other routers and shown
// to operators.
type Reason string

// The reasons for which grants are made or ended.
const (
	ReasonAvailable   Reason = "asked"       // granted: a slot was free when the router sent Acquire
	ReasonQueued      Reason = "in turn"     // granted: a slot became free for a queued router
	ReasonReleased    Reason = "yielded"     // ended: the holder released the role
	ReasonTransferred Reason = "handed over" // ended: the holder transferred the role; granted: the slot was reserved for the router
	ReasonExpired     Reason = "expired"     // ended: the holder did not renew the grant
	ReasonRestarted   Reason = "again"       // ended and granted: a later process of the holder sent Acquire
	ReasonFailed      Reason = "dropped"     // ended: the holder released the role because its work failed
)

// Change describes a grant that a command has made or ended.
type Change struct {
	Grant   Grant
	Granted bool // true if the grant was made, false if it was ended
	Reason  Reason
}

// Result is the result of a command, which is sent to the router that requested it.
type Result struct {
	OK      bool
	Queued  bool    // only for Acquire: the role was not granted, and the router is in the queue
	Grant   Grant   // for Acquire, Renew and RequestTransfer, if OK
	Refusal Refusal // if not OK
}

// Refusal says why a command was refused. It is sent to other routers and shown to operators.
type Refusal string

// Error implements error.
func (r Refusal) Error() string { return string(r) }

// The refusals. Besides these, a refusal may be the text of an error in the definition of a role.
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
