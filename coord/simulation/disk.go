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

// errProcessEnded is the error of a step of the disk after the process has ended.
var errProcessEnded = errors.New("simulation: the process has ended")

// errDiskFull is the error of a write to a full disk.
var errDiskFull = errors.New("simulation: no space left on device")

// disk is the folder of one machine: storage.Files of which each write may be lost until it is
// synced.
type disk struct {
	files     map[string]*file
	stepsLeft int  // that still succeed, below 0 for all
	full      bool // writes fail
}

// file has what a process reads, and what remains after a power failure.
type file struct {
	content []byte
	synced  []byte
	pending []pendingWrite // since the last sync
}

// pendingWrite is complete, missing or torn after a power failure.
type pendingWrite struct {
	offset int64
	data   []byte
}

func newDisk() *disk { return &disk{files: map[string]*file{}, stepsLeft: -1} }

// step counts an operation. It fails if the process has ended before it.
func (d *disk) step() error {
	if d.stepsLeft == 0 {
		return errProcessEnded
	}
	if d.stepsLeft > 0 {
		d.stepsLeft--
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

// writeAt is a text with data written at an offset.
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

// SyncFolder implements storage.Files. A new file survives through its own sync, so nothing is
// left to do.
func (d *disk) SyncFolder() error { return d.step() }

// losePower leaves each pending write complete, missing or torn.
func (d *disk) losePower(rng *rand.Rand) {
	loseAll := rng.IntN(4) == 0 // some losses of power wipe out every one of them
	for _, f := range d.files {
		text := slices.Clone(f.synced)
		for _, write := range f.pending {
			switch outcome := rng.IntN(3); {
			case loseAll || outcome == 0:
			case outcome == 1:
				text = writeAt(text, write.data, write.offset)
			default:
				text = writeAt(text, write.data[:rng.IntN(len(write.data)+1)], write.offset)
			}
		}
		f.content, f.synced, f.pending = text, slices.Clone(text), nil
	}
}

// maxBatchSteps is how many steps of an interrupted batch are considered: a batch of records
// takes two.
const maxBatchSteps = 3

// load restores a register from the disk into a machine. The state is nil if there is none.
func (d *disk) load(m chain.Machine) (*storage.Store, *coordpb.Durable, error) {
	d.stepsLeft = -1
	return register.Load(d, m)
}
