package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// disk is Files whose power can be cut: what was written and not synced is then kept, lost or torn, write by write.
type disk struct {
	synced  map[string][]byte
	written map[string][]write // since the last sync
	steps   int                // writes and syncs so far
	cutAt   int                // the step before which the power is cut; 0 for never
	failAt  int                // the step that fails, without a cut; 0 for none
}

type write struct {
	data   []byte
	offset int64
}

var (
	errCut  = errors.New("the power is cut")
	errFull = errors.New("the disk is full")
)

func newDisk() *disk { return &disk{synced: map[string][]byte{}, written: map[string][]write{}} }

func (d *disk) step() error {
	d.steps++
	switch {
	case d.cutAt > 0 && d.steps >= d.cutAt:
		return errCut
	case d.failAt == d.steps:
		return errFull
	}
	return nil
}

func put(to []byte, w write) []byte {
	if end := int(w.offset) + len(w.data); end > len(to) {
		to = append(to, make([]byte, end-len(to))...)
	}
	copy(to[w.offset:], w.data)
	return to
}

func (d *disk) Read(name string) ([]byte, error) {
	text, ok := d.synced[name]
	if !ok && len(d.written[name]) == 0 {
		return nil, fs.ErrNotExist
	}
	text = append([]byte(nil), text...)
	for _, w := range d.written[name] {
		text = put(text, w)
	}
	return text, nil
}

func (d *disk) WriteAt(name string, data []byte, offset int64) error {
	err := d.step()
	if err == nil || errors.Is(err, errCut) { // at a cut the write may have been under way
		d.written[name] = append(d.written[name], write{append([]byte(nil), data...), offset})
	}
	return err
}

func (d *disk) Sync(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	text, _ := d.Read(name)
	d.synced[name], d.written[name] = text, nil
	return nil
}

func (d *disk) SyncFolder() error { return d.step() }

// afterCut is what is left of a disk: each write that was not synced is there, lost, or torn at any byte.
func (d *disk) afterCut(rng *rand.Rand) *disk {
	left := newDisk()
	for name, text := range d.synced {
		left.synced[name] = append([]byte(nil), text...)
	}
	for name, writes := range d.written {
		text, existed := left.synced[name]
		for _, w := range writes {
			switch rng.IntN(3) {
			case 0:
				text = put(text, w)
			case 1:
				text = put(text, write{w.data[:rng.IntN(len(w.data)+1)], w.offset})
			}
		}
		if existed || len(text) > 0 {
			left.synced[name] = text
		}
	}
	return left
}

// owner keeps a list of numbers in a store: all in the slot, single ones in the log.
type owner struct {
	store        *Store
	list         []byte
	acknowledged int // numbers that were told to be kept
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

// add keeps one more number, by the log or, every now and then and after an error, by a slot.
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

// play adds numbers until the power is cut, and returns how many were told to be kept.
func play(d *disk, from *owner, numbers int) (kept int) {
	for n := len(from.list); n < numbers; n++ {
		err := from.add(byte(n), n%4 == 0)
		if errors.Is(err, errCut) {
			break
		}
	}
	return from.acknowledged
}

// check tells what is wrong with a list of which so many numbers were told to be kept.
func check(list []byte, kept int) error {
	if len(list) < kept {
		return fmt.Errorf("%d numbers are there; %d were told to be kept", len(list), kept)
	}
	for i, n := range list {
		if int(n) != i {
			return fmt.Errorf("number %d is %d", i, n)
		}
	}
	return nil
}

// The power is cut before every step in turn, a second time after the first return, and each write that was not synced is there, lost
// or torn: what was told to be kept is there, and nothing that was never written.
func TestPowerLoss(t *testing.T) {
	is := is.New(t)
	const numbers = 14
	for first := 1; first < 40; first++ {
		for second := 1; second < 20; second++ {
			rng := rand.New(rand.NewPCG(uint64(first), uint64(second)))
			d := newDisk()
			d.cutAt = first
			o, err := open(d)
			is.NoErr(err)
			kept := play(d, o, numbers)
			d = d.afterCut(rng)
			d.cutAt = second
			o, err = open(d)
			is.NoErr(err)
			if err := check(o.list, kept); err != nil {
				t.Fatalf("cut at step %d: %v", first, err)
			}
			o.acknowledged = kept
			kept = play(d, o, numbers)
			o, err = open(d.afterCut(rng))
			is.NoErr(err)
			if err := check(o.list, kept); err != nil {
				t.Fatalf("cut at step %d, then %d: %v", first, second, err)
			}
		}
	}
}

// One step fails, as on a full disk, and the power is cut some steps later: whatever the failed write left behind, nothing that was
// told to be kept since is lost.
func TestFailedWrite(t *testing.T) {
	is := is.New(t)
	const numbers = 14
	for failed := 3; failed < 36; failed++ {
		for later := 1; later < 12; later++ {
			rng := rand.New(rand.NewPCG(uint64(failed), uint64(later)))
			d := newDisk()
			d.failAt, d.cutAt = failed, failed+later
			o, err := open(d)
			is.NoErr(err)
			kept := play(d, o, numbers)
			o, err = open(d.afterCut(rng))
			is.NoErr(err)
			if err := check(o.list, kept); err != nil {
				t.Fatalf("step %d failed, cut %d steps later: %v", failed, later, err)
			}
		}
	}
}

// A process is killed before every step in turn, which leaves what it wrote unsynced; the next one reads that and acts on it once the store
// says that it is secure. The power is cut some steps later: whatever was read is there then, as is what was kept since.
func TestKillThenPowerLoss(t *testing.T) {
	is := is.New(t)
	const numbers = 14
	for killed := 3; killed < 36; killed++ {
		for later := range 16 {
			rng := rand.New(rand.NewPCG(uint64(killed), uint64(later)))
			d := newDisk()
			d.cutAt = killed
			o, err := open(d)
			is.NoErr(err)
			play(d, o, numbers)
			d.cutAt = 0
			o, err = open(d)
			is.NoErr(err)
			kept := 0
			d.steps = 0
			if d.cutAt = later; o.store.SyncRecovered() == nil {
				o.acknowledged = len(o.list)
				kept = play(d, o, numbers)
			}
			o, err = open(d.afterCut(rng))
			is.NoErr(err)
			if err := check(o.list, kept); err != nil {
				t.Fatalf("killed at step %d, cut %d steps later: %v", killed, later, err)
			}
		}
	}
}

// Without a slot nothing can be appended: records that follow no state could not be told from leftovers.
func TestFirstSave(t *testing.T) {
	is := is.New(t)
	s, found, err := Open(newDisk())
	is.NoErr(err)
	is.True(found.State == nil)
	is.True(s.SaveRequired())
	is.True(errors.Is(s.Append([]byte("x")), ErrSaveRequired))
	is.NoErr(s.Save([]byte("state")))
	is.NoErr(s.Append([]byte("x")))
}

// Bytes that are not of the format are passed over, whatever they are.
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

// A folder of the operating system keeps what it was given.
func TestFolder(t *testing.T) {
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
