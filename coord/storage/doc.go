// Package storage persists the state of one process: two slots that are written in turn, each with
// a complete state, and a short log of the records since. FORMAT.md in this folder specifies the
// bytes.
//
// The owner calls Open, uses what it recovered, and from then on appends a record for each change
// and saves the complete state when LogFull reports that it is due. A Store is used by one
// goroutine at a time; its methods block as long as the disk does.
//
// # Promises
//
// What Append or Save returned nil for survives a crash, a loss of power and a torn write. A state
// is recovered with exactly the records that follow it, never with those of another state: both
// carry its generation, which is used once. A write that a crash interrupted is recovered
// completely or not at all.
//
// After an error the content of the disk is unknown until a Save succeeds: the owner must not act
// on what it wrote since. What Open recovered may not yet survive a loss of power, as the process
// before may have ended between a write and its sync; SyncRecovered ensures that, and the first
// Append or Save does so by itself.
package storage
