package register

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/storage"
)

// Batch is what a process hands to its disk at once.
type Batch struct {
	UpTo uint64 // the number that Core.Written is told once it is there

	records [][]byte
	state   []byte // of all, in place of records
	secure  bool   // nothing but a sync of what was found
}

// NextBatch is what is to be written next: the records since the last one, or all of the state where the log is long or whole is asked for,
// as it is after a write has failed. It is nil where nothing is due. After an error the next batch has to be whole.
func (o *Core) NextBatch(store *storage.Store, whole bool) (*Batch, error) {
	switch {
	case whole || store.LogFull():
		return o.wholeBatch()
	case store.Unsynced():
		return &Batch{UpTo: FoundRecords, secure: true}, nil
	}
	records, upTo := o.Unwritten()
	if len(records) == 0 {
		return nil, nil
	}
	b := &Batch{UpTo: upTo}
	for _, record := range records {
		text, err := proto.Marshal(record)
		if err != nil {
			return nil, fmt.Errorf("register: a record can not be written: %w", err)
		}
		b.records = append(b.records, text)
	}
	return b, nil
}

func (o *Core) wholeBatch() (*Batch, error) {
	state, upTo := o.Durable()
	text, err := proto.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("register: the state can not be written: %w", err)
	}
	return &Batch{UpTo: upTo, state: text}, nil
}

// Write carries a batch out. It blocks as long as the disk does.
func (b *Batch) Write(store *storage.Store) error {
	switch {
	case b.secure:
		return store.SyncRecovered()
	case b.state != nil:
		return store.Save(b.state)
	}
	return store.Append(b.records...)
}
