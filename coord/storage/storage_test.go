package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// disk implements Files and can lose power. After a loss of power each unsynced write is complete,
// lost or torn.
type disk struct {
	synced      map[string][]byte  // the durable content of the files, by name
	written     map[string][]write // the writes since the last sync, by file name
	steps       int                // the number of writes and syncs so far
	powerLossAt int                // the step from which on every step fails for lack of power; 0 for never
	failAt      int                // the step that fails while there is power; 0 for none
}

// write is a write of data at an offset of a file.
type write struct {
	data   []byte
	offset int64
}

var (
	errPowerLost = errors.New("power is lost")
	errFull      = errors.New("the disk is full")
)

func newDisk() *disk { return &disk{synced: map[string][]byte{}, written: map[string][]write{}} }

// step counts a write or sync, and returns the error with which it fails, nil for none.
func (d *disk) step() error {
	d.steps++
	switch {
	case d.powerLossAt > 0 && d.steps >= d.powerLossAt:
		return errPowerLost
	case d.failAt == d.steps:
		return errFull
	}
	return nil
}

// applyWrite returns the content of a file after a write.
func applyWrite(to []byte, w write) []byte {
	if end := int(w.offset) + len(w.data); end > len(to) {
		to = append(to, make([]byte, end-len(to))...)
	}
	copy(to[w.offset:], w.data)
	return to
}

func (d *disk) Read(name string) ([]byte, error) {
	data, ok := d.synced[name]
	if !ok && len(d.written[name]) == 0 {
		return nil, fs.ErrNotExist
	}
	data = append([]byte(nil), data...)
	for _, w := range d.written[name] {
		data = applyWrite(data, w)
	}
	return data, nil
}

func (d *disk) WriteAt(name string, data []byte, offset int64) error {
	err := d.step()
	if err == nil || errors.Is(err, errPowerLost) { // the write may have been in progress when power was lost
		d.written[name] = append(d.written[name], write{append([]byte(nil), data...), offset})
	}
	return err
}

func (d *disk) Sync(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	data, _ := d.Read(name)
	d.synced[name], d.written[name] = data, nil
	return nil
}

func (d *disk) SyncFolder() error { return d.step() }

// afterPowerLoss returns the disk after a loss of power. Each unsynced write is complete, lost, or
// torn at a random byte.
func (d *disk) afterPowerLoss(rng *rand.Rand) *disk {
	remaining := newDisk()
	for name, data := range d.synced {
		remaining.synced[name] = append([]byte(nil), data...)
	}
	for name, writes := range d.written {
		data, existed := remaining.synced[name]
		for _, w := range writes {
			switch rng.IntN(3) {
			case 0:
				data = applyWrite(data, w)
			case 1:
				data = applyWrite(data, write{w.data[:rng.IntN(len(w.data)+1)], w.offset})
			}
		}
		if existed || len(data) > 0 {
			remaining.synced[name] = data
		}
	}
	return remaining
}

// owner persists a list of numbers. A slot holds the whole list, and a record of the log holds one
// further number.
type owner struct {
	store        *Store
	list         []byte
	acknowledged int // the length of the list at the last successful write
}

// open returns an owner with the list that Open recovers from a disk.
func open(d *disk) (*owner, error) {
	s, found, err := Open(d)
	if err != nil {
		return nil, err
	}
	o := &owner{store: s, list: append([]byte(nil), found.State...)}
	for _, r := range found.Records {
		o.list = append(o.list, r...)
	}
	return o, nil
}

// add appends a number to the list and persists it: in a slot if save is true or the store requires
// a Save, and in the log otherwise.
func (o *owner) add(n byte, save bool) error {
	o.list = append(o.list, n)
	var err error
	if save || o.store.SaveRequired() {
		err = o.store.Save(o.list)
	} else {
		err = o.store.Append([]byte{n})
	}
	if err == nil {
		o.acknowledged = len(o.list)
	}
	return err
}

// addUntilPowerLoss adds numbers until power is lost or the list has the given length. It returns how
// many numbers of the list were acknowledged.
func addUntilPowerLoss(d *disk, o *owner, numbers int) (acknowledged int) {
	for n := len(o.list); n < numbers; n++ {
		err := o.add(byte(n), n%4 == 0)
		if errors.Is(err, errPowerLost) {
			break
		}
	}
	return o.acknowledged
}

// check returns an error if a recovered list lacks an acknowledged number or has a wrong number.
func check(list []byte, acknowledged int) error {
	if len(list) < acknowledged {
		return fmt.Errorf("%d numbers were recovered, but %d were acknowledged", len(list), acknowledged)
	}
	for i, n := range list {
		if int(n) != i {
			return fmt.Errorf("number %d of the recovered list has the value %d", i, n)
		}
	}
	return nil
}

// Acknowledged numbers are recovered after a loss of power, and nothing is recovered that was never
// written. The test loses power before each step in turn, and a second time at each step after the
// first recovery.
func TestAcknowledgedSurvivesPowerLoss(t *testing.T) {
	is := is.New(t)
	const numbers = 14
	for first := 1; first < 40; first++ {
		for second := 1; second < 20; second++ {
			rng := rand.New(rand.NewPCG(uint64(first), uint64(second)))
			d := newDisk()
			d.powerLossAt = first
			o, err := open(d)
			is.NoErr(err)
			acknowledged := addUntilPowerLoss(d, o, numbers)
			d = d.afterPowerLoss(rng)
			d.powerLossAt = second
			o, err = open(d)
			is.NoErr(err)
			if err := check(o.list, acknowledged); err != nil {
				t.Fatalf("power lost at step %d: %v", first, err)
			}
			o.acknowledged = acknowledged
			acknowledged = addUntilPowerLoss(d, o, numbers)
			o, err = open(d.afterPowerLoss(rng))
			is.NoErr(err)
			if err := check(o.list, acknowledged); err != nil {
				t.Fatalf("power lost at step %d, then %d: %v", first, second, err)
			}
		}
	}
}

// Acknowledged numbers are recovered when one step fails, as on a full disk, and power is lost some
// steps later, whatever the failed write left on the disk.
func TestAcknowledgedSurvivesFailedWrite(t *testing.T) {
	is := is.New(t)
	const numbers = 14
	for failed := 3; failed < 36; failed++ {
		for later := 1; later < 12; later++ {
			rng := rand.New(rand.NewPCG(uint64(failed), uint64(later)))
			d := newDisk()
			d.failAt, d.powerLossAt = failed, failed+later
			o, err := open(d)
			is.NoErr(err)
			acknowledged := addUntilPowerLoss(d, o, numbers)
			o, err = open(d.afterPowerLoss(rng))
			is.NoErr(err)
			if err := check(o.list, acknowledged); err != nil {
				t.Fatalf("step %d failed, power lost %d steps later: %v", failed, later, err)
			}
		}
	}
}

// Numbers that were recovered and synced survive a later loss of power. The test kills a process
// before each step in turn, which leaves its writes unsynced. The next process recovers the writes
// and relies on them once SyncRecovered has succeeded. Power is lost some steps later. The recovered
// numbers and those acknowledged since must then be recovered again.
func TestRecoveredSurvivesPowerLoss(t *testing.T) {
	is := is.New(t)
	const numbers = 14
	for killed := 3; killed < 36; killed++ {
		for later := range 16 {
			rng := rand.New(rand.NewPCG(uint64(killed), uint64(later)))
			d := newDisk()
			d.powerLossAt = killed
			o, err := open(d)
			is.NoErr(err)
			addUntilPowerLoss(d, o, numbers)
			d.powerLossAt = 0
			o, err = open(d)
			is.NoErr(err)
			acknowledged := 0
			d.steps = 0
			if d.powerLossAt = later; o.store.SyncRecovered() == nil {
				o.acknowledged = len(o.list)
				acknowledged = addUntilPowerLoss(d, o, numbers)
			}
			o, err = open(d.afterPowerLoss(rng))
			is.NoErr(err)
			if err := check(o.list, acknowledged); err != nil {
				t.Fatalf("killed at step %d, power lost %d steps later: %v", killed, later, err)
			}
		}
	}
}

// Append requires a first Save: without a state in a slot, records could not be distinguished from
// those of an earlier state.
func TestAppendRequiresFirstSave(t *testing.T) {
	is := is.New(t)
	s, found, err := Open(newDisk())
	is.NoErr(err)
	is.True(found.State == nil)
	is.True(s.SaveRequired())
	is.True(errors.Is(s.Append([]byte("x")), ErrSaveRequired))
	is.NoErr(s.Save([]byte("state")))
	is.NoErr(s.Append([]byte("x")))
}

// Open ignores bytes that don't follow the format.
func FuzzOpen(f *testing.F) {
	whole := appendSlot(nil, 3, []byte("state"))
	f.Add(whole, appendRecord(nil, 3, 0, []byte("record")))
	f.Add([]byte{}, []byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, slot, log []byte) {
		d := newDisk()
		d.synced[slotFiles[0]], d.synced[logFile] = slot, log
		s, found, err := Open(d)
		if err != nil || s.generation == 0 && len(found.Records) > 0 {
			t.Errorf("generation %d with %d records: %v", s.generation, len(found.Records), err)
		}
	})
}

// Folder persists a state and records in the file system.
func TestFolderPersists(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	files, err := NewFolder(path)
	is.NoErr(err)
	s, _, err := Open(files)
	is.NoErr(err)
	is.NoErr(s.Save([]byte("state")))
	is.NoErr(s.Append([]byte("one"), []byte("two")))
	files.Close()
	files, err = NewFolder(path)
	is.NoErr(err)
	_, found, err := Open(files)
	is.NoErr(err)
	is.Equal(string(found.State), "state")
	is.Equal(len(found.Records), 2)
	is.Equal(string(found.Records[1]), "two")
}

// Append rejects a record above MaxRecordSize with a RecordTooLargeError, and the store stays usable.
func TestTooLargeRecordIsRejected(t *testing.T) {
	is := is.New(t)
	s, _, err := Open(newDisk())
	is.NoErr(err)
	is.NoErr(s.Save([]byte("state")))
	var tooLarge *RecordTooLargeError
	is.True(errors.As(s.Append(make([]byte, MaxRecordSize+1)), &tooLarge))
	is.Equal(tooLarge.Size, MaxRecordSize+1)
	is.NoErr(s.Append([]byte("x")))
}
