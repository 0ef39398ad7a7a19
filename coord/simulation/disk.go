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

// errProcessEnded is returned by a disk operation after the process has ended.
var errProcessEnded = errors.New("simulation: the process has ended")

// errDiskFull is returned by a write to a full disk.
var errDiskFull = errors.New("simulation: no space left on device")

// disk is the data folder of one machine. It implements storage.Files; a loss of power may lose or
// tear each write until it is synced.
type disk struct {
	files     map[string]*file
	stepsLeft int  // how many steps still succeed, below 0 for no limit
	full      bool // all writes fail with errDiskFull
}

// file contains what a process reads and what certainly remains after a power failure.
type file struct {
	content []byte
	synced  []byte
	pending []pendingWrite // the writes since the last sync
}

// pendingWrite is a write that wasn't synced. After a power failure it is complete, missing or torn.
type pendingWrite struct {
	offset int64
	data   []byte
}

func newDisk() *disk { return &disk{files: map[string]*file{}, stepsLeft: -1} }

// step counts an operation. It returns errProcessEnded if the process ended before the operation.
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

// writeAt returns a text with data written at an offset.
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

// SyncFolder implements storage.Files. It only counts a step, because the sync of a new file is
// enough to preserve it on this disk.
func (d *disk) SyncFolder() error { return d.step() }

// losePower leaves each pending write complete, missing or torn.
func (d *disk) losePower(rng *rand.Rand) {
	loseAll := rng.IntN(4) == 0 // one loss of power in four loses all pending writes
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

// maxBatchSteps is the greatest number of steps of an interrupted batch that a crash carries out. A
// batch of records takes two.
const maxBatchSteps = 3

// load restores a register from the disk into a machine. The returned durable state is nil if the
// disk has none.
func (d *disk) load(m chain.Machine) (*storage.Store, *coordpb.Durable, error) {
	d.stepsLeft = -1
	return register.Load(d, m)
}
