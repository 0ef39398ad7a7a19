package simulation

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/register"
	"reachspread/coord/storage"
)

// errStopped ends what a process does with its disk once the process has ended.
var errProcessEnded = errors.New("simulation: the process has ended")

// errFull is what a disk without room answers to a write.
var errDiskFull = errors.New("simulation: no space left on device")

// disk is the folder of one machine: storage.Files of which each write stays uncertain until it is synced.
type disk struct {
	files map[string]*file
	steps int  // that may still be carried out, below 0 for any number
	full  bool // it takes no more bytes
}

// file has what a process reads there, and what is there after a loss of power.
type file struct {
	content []byte
	synced  []byte
	pending []pendingWrite
}

// unsyncedWrite may be present, missing or torn after a loss of power.
type pendingWrite struct {
	offset int64
	data   []byte
}

func newDisk() *disk { return &disk{files: map[string]*file{}, steps: -1} }

// step counts one operation; it fails where the process has ended before it.
func (d *disk) step() error {
	if d.steps == 0 {
		return errProcessEnded
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
	return slices.Clone(f.content), nil
}

// WriteAt implements storage.Files.
func (d *disk) WriteAt(name string, data []byte, offset int64) error {
	if err := d.step(); err != nil {
		return err
	}
	if d.full {
		return errDiskFull
	}
	f := d.files[name]
	if f == nil {
		f = &file{}
		d.files[name] = f
	}
	data = slices.Clone(data)
	f.content = writeAt(f.content, data, offset)
	f.pending = append(f.pending, pendingWrite{offset, data})
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
	f.synced, f.pending = slices.Clone(f.content), nil
	return nil
}

// SyncFolder implements storage.Files. A new file survives through its own sync, so there is nothing to be done.
func (d *disk) SyncFolder() error { return d.step() }

// losePower leaves each write that was not synced present, missing or torn.
func (d *disk) losePower(rng *rand.Rand) {
	none := rng.IntN(4) == 0 // some losses of power wipe out every one of them
	for _, f := range d.files {
		text := slices.Clone(f.synced)
		for _, write := range f.pending {
			switch kept := rng.IntN(3); {
			case none || kept == 0:
			case kept == 1:
				text = writeAt(text, write.data, write.offset)
			default:
				text = writeAt(text, write.data[:rng.IntN(len(write.data)+1)], write.offset)
			}
		}
		f.content, f.synced, f.pending = text, slices.Clone(text), nil
	}
}

// operations is how many steps of a batch are looked at: a batch of records takes two.
const maxBatchSteps = 3

// load reads what a disk has of a register into a machine; nil says that there is nothing.
func (d *disk) load(m chain.Machine) (*storage.Store, *coordpb.Durable, error) {
	d.steps = -1
	return register.Load(d, m)
}
