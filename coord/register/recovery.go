package register

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/storage"
)

// SavedState is the Record of an UnreadableError about the saved state rather than the log.
const SavedState = -1

// UnreadableError reports that what is on disk passed its checksum and can't be read: it was
// written by another program or version. The folder must not be used, as this process may have
// promised something in what can't be read.
type UnreadableError struct {
	Record int // the index in the log, or SavedState
	Err    error
}

// Error names what can't be read, and how to go on.
func (e *UnreadableError) Error() string {
	what := "the saved state"
	if e.Record != SavedState {
		what = fmt.Sprintf("record %d of the log", e.Record)
	}
	return fmt.Sprintf("register: %s can't be read (start the version that wrote it): %v", what, e.Err)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// Load restores what is on disk into a machine. The returned state is nil if there is none; then
// the store needs a first Save, which the replica does. The error is an *UnreadableError, or that
// of reading a file.
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

// Replay applies records that were written after a state to that state and to the machine. The
// error is an *UnreadableError about a snapshot that the machine rejects.
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

// replayRecord applies one record.
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
