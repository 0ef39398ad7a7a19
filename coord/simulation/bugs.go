package simulation

// Bug is a fault that is built into the program, for tests that the checks find it.
type Bug int

// The bugs.
const (
	NoBug            Bug = iota
	EarlyWrite           // a write counts as durable at once
	ReusedIdentity       // a process whose disk was lost keeps its identity, and votes again
	UnconfirmedReads     // the tail replies to reads without a confirmation
	EarlyReply           // the head acknowledges a command before the tail has it
	IgnoredLease         // owners act on shards without a confirmation
	StaleRejections      // commands are rejected without a confirmation
)
