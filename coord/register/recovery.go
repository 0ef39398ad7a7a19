package register

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/storage"
)

// SavedState is the value of UnreadableError.Record for an error in the saved state rather than in
// a record of the log.
const SavedState = -1

// UnreadableError reports data on disk whose checksum is correct but that can't be decoded or
// restored: another program or version wrote it. The process must not use the folder, because the
// unreadable data may contain a promise that binds it.
type UnreadableError struct {
	Record int   // the index of the record in the log, or SavedState
	Err    error // the cause
}

// Error says which data can't be read, why, and how the operator can recover it.
func (e *UnreadableError) Error() string {
	what := "the saved state"
	if e.Record != SavedState {
		what = fmt.Sprintf("record %d of the log", e.Record)
	}
	return fmt.Sprintf("register: %s can't be read (start the version that wrote it): %v", what, e.Err)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *UnreadableError) Unwrap() error { return e.Err }

// Load opens the store in files and restores the state on disk into a machine. The returned Durable
// is nil if nothing has been saved yet; the replica then begins with a Save to the store. The error
// is an *UnreadableError, or the error of reading a file.
func Load(files storage.Files, m chain.Machine) (*storage.Store, *coordpb.Durable, error) {
	store, found, err := storage.Open(files)
	if err != nil || found.State == nil {
		return store, nil, err
	}
	d := &coordpb.Durable{}
	if err := proto.Unmarshal(found.State, d); err != nil {
		return nil, nil, &UnreadableError{SavedState, err}
	}
	var records []*coordpb.Record
	for i, data := range found.Records {
		r := &coordpb.Record{}
		if err := proto.Unmarshal(data, r); err != nil {
			return nil, nil, &UnreadableError{i, err}
		}
		records = append(records, r)
	}
	return store, d, Replay(d, records, m)
}

// Replay restores the machine from a saved state, and then applies the records written after that
// state to both. The error is an *UnreadableError for a snapshot that the machine rejects.
func Replay(d *coordpb.Durable, records []*coordpb.Record, m chain.Machine) error {
	if len(d.State) > 0 {
		if err := m.Restore(d.State); err != nil {
			return &UnreadableError{SavedState, err}
		}
	}
	if d.Position == nil {
		d.Position = &coordpb.Position{}
	}
	for i, r := range records {
		if err := replayRecord(d, r, m); err != nil {
			return &UnreadableError{i, err}
		}
	}
	return nil
}

// replayRecord applies one record to the state and the machine. The error is that of the machine
// for a snapshot that it rejects.
func replayRecord(d *coordpb.Durable, r *coordpb.Record, m chain.Machine) error {
	switch b := r.Body.(type) {
	case *coordpb.Record_Promised:
		d.Promised = b.Promised.Ballot
	case *coordpb.Record_Accepted:
		d.AcceptedBallot, d.AcceptedView = b.Accepted.Ballot, b.Accepted.View
	case *coordpb.Record_Learned:
		d.View, d.Promised, d.AcceptedBallot, d.AcceptedView = b.Learned, nil, nil, nil
	case *coordpb.Record_Entry:
		m.Apply(b.Entry.Change)
		d.Position.Sequence, d.Position.EntryEpoch = b.Entry.Sequence, b.Entry.Epoch
	case *coordpb.Record_Installed:
		d.Position = b.Installed.Position
		return m.Restore(b.Installed.State)
	case *coordpb.Record_StateEpoch:
		d.Position.StateEpoch = b.StateEpoch
	}
	return nil
}
