package register

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/storage"
)

// Batch is one write to the disk.
type Batch struct {
	// RecordCount is the count to pass to Core.RecordsWritten once the batch is written.
	RecordCount uint64

	records  [][]byte
	state    []byte // the complete state to save instead of records, nil for none
	syncOnly bool   // write nothing, only sync the data that was recovered at the start
}

// NextBatch returns the next write to the disk, nil if there is nothing to write. It contains the
// records created since the last batch, or the complete state if the log is full or the argument
// full is true. After a failed write or an error of NextBatch, the caller has to set full.
func (c *Core) NextBatch(store *storage.Store, full bool) (*Batch, error) {
	switch {
	case full || store.LogFull():
		return c.fullBatch()
	case store.Unsynced():
		return &Batch{RecordCount: RecoveredRecords, syncOnly: true}, nil
	}
	records, count := c.PendingRecords()
	if len(records) == 0 {
		return nil, nil
	}
	b := &Batch{RecordCount: count}
	for _, record := range records {
		data, err := proto.Marshal(record)
		if err != nil {
			return nil, fmt.Errorf("register: encoding a record for the log: %w", err)
		}
		b.records = append(b.records, data)
	}
	return b, nil
}

// fullBatch returns a batch that saves the complete state.
func (c *Core) fullBatch() (*Batch, error) {
	state, count := c.Durable()
	data, err := proto.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("register: encoding the complete state: %w", err)
	}
	return &Batch{RecordCount: count, state: data}, nil
}

// Write writes the batch to the store and returns once the batch is durable.
func (b *Batch) Write(store *storage.Store) error {
	switch {
	case b.syncOnly:
		return store.SyncRecovered()
	case b.state != nil:
		return store.Save(b.state)
	}
	return store.Append(b.records...)
}
