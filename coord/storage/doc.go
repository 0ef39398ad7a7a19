// Package storage persists the state of one process. It uses two slots that are written in turn,
// each with a complete state, and a short log of the records appended since the newest state.
// FORMAT.md in this folder specifies the bytes.
//
// The owner of a Store calls Open and uses the recovered state. From then on it appends a record for
// each change, and saves the complete state when LogFull reports that a Save is due. Only one
// goroutine may use a Store at a time. The methods of a Store block as long as the disk does.
//
// # Guarantees
//
// Data for which Append or Save returned nil survives a crash, a loss of power and a torn write. A
// state is recovered with exactly the records that were appended after it, never with records of
// another state: a state and its records carry the same generation, and each generation is used
// once. A write that a crash interrupted is recovered completely or not at all.
//
// After an error the content of the disk is unknown until a Save succeeds. Until then the owner must
// not act on the data that it failed to write. A loss of power may also destroy what Open recovered,
// because the previous process may have ended between a write and its sync. SyncRecovered makes the
// recovered data durable; the first Append or Save calls it.
package storage
