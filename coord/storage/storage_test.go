package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// disk is Files that can lose power: each write that was not synced is then there, lost or torn.
type disk struct {
	synced      map[string][]byte
	written     map[string][]write // since the last sync
	steps       int                // writes and syncs so far
	powerLossAt int                // the step before which power is lost; 0 for never
	failAt      int                // the step that fails, with power; 0 for none
}

type write struct {
	data   []byte
	offset int64
}

var (
	errPowerLost = errors.New("power is lost")
	errFull      = errors.New("the disk is full")
)

func newDisk() *disk { return &disk{synced: map[string][]byte{}, written: map[string][]write{}} }

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
	if err == nil || errors.Is(err, errPowerLost) { // the write may have been under way
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

// afterPowerLoss is what is left of a disk: each write that was not synced is there, lost, or torn
// at any byte.
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

// owner persists a list of numbers: all in the slot, single ones in the log.
type owner struct {
	store        *Store
	list         []byte
	acknowledged int // numbers whose write was acknowledged
}

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

// add persists one more number by the log or, from time to time and after an error, by a slot.
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

// play adds numbers until power is lost, and returns how many were acknowledged.
func addUntilPowerLoss(d *disk, o *owner, numbers int) (acknowledged int) {
	for n := len(o.list); n < numbers; n++ {
		err := o.add(byte(n), n%4 == 0)
		if errors.Is(err, errPowerLost) {
			break
		}
	}
	return o.acknowledged
}

// check returns what is wrong with a recovered list of which so many numbers were acknowledged.
func check(list []byte, acknowledged int) error {
	if len(list) < acknowledged {
		return fmt.Errorf("%d numbers are there; %d were acknowledged", len(list), acknowledged)
	}
	for i, n := range list {
		if int(n) != i {
			return fmt.Errorf("number %d is %d", i, n)
		}
	}
	return nil
}

// Power is lost before every step in turn, and a second time after the first recovery: what was
// acknowledged is recovered, and nothing that was never written.
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

// One step fails, as on a full disk, and power is lost some steps later: nothing that was
// acknowledged since is lost, whatever the failed write left.
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

// A process is killed before every step in turn, which leaves its writes unsynced. The next one
// recovers them and acts on them once SyncRecovered has succeeded, and power is lost some steps
// later: what was recovered is there again, as is what was acknowledged since.
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

// Without a slot nothing can be appended: records of no state could not be told from those of a
// former one.
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

// Open ignores bytes that are not of the format.
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

// A folder of the operating system persists what was written.
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

// A record above the bound is rejected with a typed error, and the store goes on.
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
