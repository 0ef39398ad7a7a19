package register

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/storage"
)

// Load restores what is on disk into a machine. The returned state is nil if there is none;
// then the store needs a first Save, which the replica does. An error means that a record
// passed its checksum and can't be parsed, so another version wrote it: the folder must not be
// used.
func Load(files storage.Files, m chain.Machine) (*storage.Store, *coordpb.Durable, error) {
	store, found, err := storage.Open(files)
	if err != nil || found.State == nil {
		return store, nil, err
	}
	d := &coordpb.Durable{}
	if err := proto.Unmarshal(found.State, d); err != nil {
		return nil, nil, fmt.Errorf("register: the saved state can not be read: %w", err)
	}
	var records []*coordpb.Record
	for i, text := range found.Records {
		r := &coordpb.Record{}
		if err := proto.Unmarshal(text, r); err != nil {
			return nil, nil, fmt.Errorf("register: record %d can not be read: %w", i, err)
		}
		records = append(records, r)
	}
	return store, d, Replay(d, records, m)
}

// Replay applies records that were written after a state to that state and to the machine.
func Replay(d *coordpb.Durable, records []*coordpb.Record, m chain.Machine) error {
	if len(d.State) > 0 {
		if err := m.Restore(d.State); err != nil {
			return err
		}
	}
	if d.Position == nil {
		d.Position = &coordpb.Position{}
	}
	for _, r := range records {
		if err := replayRecord(d, r, m); err != nil {
			return err
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
