package register

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/storage"
)

// Batch is one write to the disk.
type Batch struct {
	// RecordCount is the count that Core.RecordsWritten gets once the batch is written.
	RecordCount uint64

	records  [][]byte
	state    []byte // the complete state, in place of records
	syncOnly bool   // only what was found is synced
}

// NextBatch returns what is to be written next, nil for nothing: the records since the last
// batch, or the complete state if the log is long or full is true, as it has to be after a
// write or NextBatch has failed.
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
			return nil, fmt.Errorf("register: a record can not be written: %w", err)
		}
		b.records = append(b.records, data)
	}
	return b, nil
}

// fullBatch is a batch with the complete state.
func (c *Core) fullBatch() (*Batch, error) {
	state, count := c.Durable()
	data, err := proto.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("register: the state can not be written: %w", err)
	}
	return &Batch{RecordCount: count, state: data}, nil
}

// Write writes the batch, and returns once it is durable.
func (b *Batch) Write(store *storage.Store) error {
	switch {
	case b.syncOnly:
		return store.SyncRecovered()
	case b.state != nil:
		return store.Save(b.state)
	}
	return store.Append(b.records...)
}
