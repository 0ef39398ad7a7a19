package simulation

// Bug is a deliberate error in the simulated program. Tests plant bugs to verify that the checks
// find them.
type Bug int

// The bugs.
const (
	NoBug            Bug = iota
	EarlyWrite           // a write counts as durable when it starts
	ReusedIdentity       // a process that lost its disk keeps its identity, and votes again
	UnconfirmedReads     // the tail replies to reads without a confirmation
	EarlyReply           // the head acknowledges a command before the tail has it
	IgnoredLease         // owners act on shards without a confirmation
	StaleRejections      // a process rejects commands without a confirmation
)
