package simulation

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/register"
	"reachspread/coord/storage"
)

// errStopped ends what a process does with its disk once the process has ended.
var errStopped = errors.New("simulation: the process has ended")

// errFull is what a disk without room answers to a write.
var errFull = errors.New("simulation: no space left on device")

// disk is the folder of one machine: storage.Files of which each write stays uncertain until it is synced.
type disk struct {
	files map[string]*file
	steps int  // that may still be carried out, below 0 for any number
	full  bool // it takes no more bytes
}

// file has what a process reads there, and what is there after a loss of power.
type file struct {
	seen     []byte
	synced   []byte
	unsynced []unsyncedWrite
}

// unsyncedWrite may be present, missing or torn after a loss of power.
type unsyncedWrite struct {
	offset int64
	data   []byte
}

func newDisk() *disk { return &disk{files: map[string]*file{}, steps: -1} }

// step counts one operation; it fails where the process has ended before it.
func (d *disk) step() error {
	if d.steps == 0 {
		return errStopped
	}
	if d.steps > 0 {
		d.steps--
	}
	return nil
}

// Read implements storage.Files.
func (d *disk) Read(name string) ([]byte, error) {
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.seen), nil
}

// WriteAt implements storage.Files.
func (d *disk) WriteAt(name string, data []byte, offset int64) error {
	if err := d.step(); err != nil {
		return err
	}
	if d.full {
		return errFull
	}
	f := d.files[name]
	if f == nil {
		f = &file{}
		d.files[name] = f
	}
	data = slices.Clone(data)
	f.seen = writeAt(f.seen, data, offset)
	f.unsynced = append(f.unsynced, unsyncedWrite{offset, data})
	return nil
}

// writeAt is a text with data put at an offset.
func writeAt(text, data []byte, offset int64) []byte {
	if end := int(offset) + len(data); end > len(text) {
		text = append(text, make([]byte, end-len(text))...)
	}
	copy(text[offset:], data)
	return text
}

// Sync implements storage.Files.
func (d *disk) Sync(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	f := d.files[name]
	if f == nil {
		f = &file{}
		d.files[name] = f
	}
	f.synced, f.unsynced = slices.Clone(f.seen), nil
	return nil
}

// SyncFolder implements storage.Files. A new file survives through its own sync, so there is nothing to be done.
func (d *disk) SyncFolder() error { return d.step() }

// losePower leaves each write that was not synced present, missing or torn.
func (d *disk) losePower(rng *rand.Rand) {
	none := rng.IntN(4) == 0 // some losses of power wipe out every one of them
	for _, f := range d.files {
		text := slices.Clone(f.synced)
		for _, write := range f.unsynced {
			switch kept := rng.IntN(3); {
			case none || kept == 0:
			case kept == 1:
				text = writeAt(text, write.data, write.offset)
			default:
				text = writeAt(text, write.data[:rng.IntN(len(write.data)+1)], write.offset)
			}
		}
		f.seen, f.synced, f.unsynced = text, slices.Clone(text), nil
	}
}

// batch is what a process hands to its disk at once.
type batch struct {
	upTo    uint64
	records [][]byte
	state   []byte // of all, in place of records
	secure  bool   // nothing but a sync of what was found
}

// operations is how many steps of a batch are looked at: a batch of records takes two.
const operations = 3

// write carries a batch out.
func (b *batch) write(store *storage.Store) error {
	switch {
	case b.secure:
		return store.Secure()
	case b.state != nil:
		return store.Save(b.state)
	}
	return store.Append(b.records...)
}

// nextBatch is what a core wants written next; nil for nothing.
func nextBatch(core *register.Core, store *storage.Store, whole bool) *batch {
	if store.Unsynced() && !whole {
		return &batch{upTo: register.FoundRecords, secure: true}
	}
	if whole {
		state, upTo := core.Durable()
		return &batch{upTo: upTo, state: mustMarshal(state)}
	}
	records, upTo := core.Unwritten()
	if len(records) == 0 {
		return nil
	}
	b := &batch{upTo: upTo}
	for _, r := range records {
		b.records = append(b.records, mustMarshal(r))
	}
	return b
}

func mustMarshal(m proto.Message) []byte {
	text, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return text
}

// load reads what a disk has of a register into a machine; nil says that there is nothing.
func (d *disk) load(m chain.Machine) (*storage.Store, *coordpb.Durable, error) {
	d.steps = -1
	return register.Load(d, m)
}
