// Package storage keeps the state of one process on a disk: two slots that are written in turn, each with the whole state, and a
// short log of the changes since. FORMAT.md, beside this file, has the bytes.
//
// A Store is used by one goroutine at a time, and its methods block as long as the disk does. What Append or Save returned without
// an error for is there after a loss of power, a crash or a torn write. After an error nothing is certain until a Save succeeds: the
// owner must not act on what it wrote since.
package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
)

// Files is the folder that a Store has for itself.
type Files interface {
	// Read returns all of a file; fs.ErrNotExist if there is none.
	Read(name string) ([]byte, error)
	// WriteAt writes at an offset of a file, which it makes if there is none.
	WriteAt(name string, data []byte, offset int64) error
	// Sync has what was written to a file be there after a loss of power, the file itself among it.
	Sync(name string) error
	// SyncFolder has the names in the folder be there.
	SyncFolder() error
}

const (
	slotMagic   = 0x52535331 // "RSS1"
	recordMagic = 0x52534c31 // "RSL1"
	slotHead    = 4 + 8 + 8 + 4
	recordHead  = 4 + 8 + 4 + 4 + 4
	logFile     = "log"

	// MostLog is the size in bytes from which on the log is due to be replaced by a slot.
	MostLog = 256 << 10
	// MostRecord bounds one record, in bytes.
	MostRecord = 16 << 20
)

var slotFiles = [2]string{"slot-a", "slot-b"}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrBroken says that an earlier write failed, and that only a Save can be next.
var ErrBroken = errors.New("storage: an earlier write failed; the whole state must be saved")

// Store keeps a state. Open makes one.
type Store struct {
	files      Files
	generation uint64 // of the slot in force, 0 for none
	slot       int    // where the next one goes
	end        int64  // of the log
	index      uint32 // of the next record
	broken     bool
	unsynced   bool // what was found may not survive a loss of power
}

// Found is what a Store has from before.
type Found struct {
	State   []byte   // of the slot in force; nil if nothing was ever saved
	Records [][]byte // appended since, in order
}

// Open reads what is there. A life before may have ended between a write and its sync, so none of it is certain to outlive a loss of power
// until Secure, Append or Save has succeeded.
func Open(files Files) (*Store, *Found, error) {
	s := &Store{files: files}
	found := &Found{}
	for i, name := range slotFiles {
		text, err := readFile(files, name)
		if err != nil {
			return nil, nil, err
		}
		generation, state, ok := parseSlot(text)
		if ok && generation > s.generation {
			s.generation, s.slot, found.State = generation, 1-i, state
		}
	}
	log, err := readFile(files, logFile)
	if err != nil {
		return nil, nil, err
	}
	for {
		record, size, ok := parseRecord(log[s.end:], s.generation, s.index)
		if !ok {
			break
		}
		found.Records = append(found.Records, record)
		s.end, s.index = s.end+int64(size), s.index+1
	}
	if s.generation == 0 {
		found.Records, s.end, s.index = nil, 0, 0
		s.broken = true // a first Save is due
	}
	s.unsynced = s.generation > 0
	return s, found, nil
}

func readFile(files Files, name string) ([]byte, error) {
	text, err := files.Read(name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("storage: %s: %w", name, err)
	}
	return text, nil
}

// Full tells that the log is long enough for a Save to be due.
func (s *Store) Full() bool { return s.end >= MostLog }

// Broken tells that only a Save can be next.
func (s *Store) Broken() bool { return s.broken }

// Unsynced tells that what was found may not survive a loss of power.
func (s *Store) Unsynced() bool { return s.unsynced }

// Secure syncs what was found. Without it a slot in force that was never synced would be the only whole one while the other is
// overwritten.
func (s *Store) Secure() error {
	if !s.unsynced {
		return nil
	}
	for _, name := range []string{slotFiles[1-s.slot], logFile} {
		if err := s.files.Sync(name); err != nil {
			return s.fail(name, err)
		}
	}
	if err := s.files.SyncFolder(); err != nil {
		return s.fail(logFile, err)
	}
	s.unsynced = false
	return nil
}

// Append adds records to the log and syncs them.
func (s *Store) Append(records ...[]byte) error {
	if s.broken {
		return ErrBroken
	}
	if err := s.Secure(); err != nil {
		return err
	}
	var out []byte
	index := s.index
	for _, r := range records {
		if len(r) > MostRecord {
			return fmt.Errorf("storage: a record of %d bytes; there may be %d", len(r), MostRecord)
		}
		out = appendRecord(out, s.generation, index, r)
		index++
	}
	if err := s.files.WriteAt(logFile, out, s.end); err != nil {
		return s.fail(logFile, err)
	}
	if err := s.files.Sync(logFile); err != nil {
		return s.fail(logFile, err)
	}
	s.end, s.index = s.end+int64(len(out)), index
	return nil
}

// Save writes the whole state to the slot whose turn it is. The log begins anew.
func (s *Store) Save(state []byte) error {
	if err := s.Secure(); err != nil {
		return err
	}
	name := slotFiles[s.slot]
	s.generation++ // never used again, whatever becomes of this one
	if err := s.files.WriteAt(name, appendSlot(nil, s.generation, state), 0); err != nil {
		return s.fail(name, err)
	}
	if err := s.files.Sync(name); err != nil {
		return s.fail(name, err)
	}
	if err := s.files.SyncFolder(); err != nil {
		return s.fail(name, err)
	}
	s.slot, s.end, s.index, s.broken = 1-s.slot, 0, 0, false
	return nil
}

// fail notes that a write failed: what is on the disk is unknown, so the log is not to be continued.
func (s *Store) fail(name string, err error) error {
	s.broken = true
	return fmt.Errorf("storage: %s: %w", name, err)
}

// appendSlot writes magic, generation, length and sum, then the state.
func appendSlot(to []byte, generation uint64, state []byte) []byte {
	begin := len(to)
	to = binary.BigEndian.AppendUint32(to, slotMagic)
	to = binary.BigEndian.AppendUint64(to, generation)
	to = binary.BigEndian.AppendUint64(to, uint64(len(state)))
	sum := crc32.Update(crc32.Checksum(to[begin:], castagnoli), castagnoli, state)
	to = binary.BigEndian.AppendUint32(to, sum)
	return append(to, state...)
}

// parseSlot reads a slot; ok is false unless it is whole.
func parseSlot(text []byte) (generation uint64, state []byte, ok bool) {
	if len(text) < slotHead || binary.BigEndian.Uint32(text) != slotMagic {
		return 0, nil, false
	}
	generation = binary.BigEndian.Uint64(text[4:])
	length := binary.BigEndian.Uint64(text[12:])
	if length > uint64(len(text)-slotHead) {
		return 0, nil, false
	}
	state = text[slotHead : slotHead+int(length)]
	sum := crc32.Update(crc32.Checksum(text[:slotHead-4], castagnoli), castagnoli, state)
	return generation, state, generation > 0 && sum == binary.BigEndian.Uint32(text[slotHead-4:])
}

// appendRecord writes magic, generation, index, length and sum, then the record.
func appendRecord(to []byte, generation uint64, index uint32, record []byte) []byte {
	begin := len(to)
	to = binary.BigEndian.AppendUint32(to, recordMagic)
	to = binary.BigEndian.AppendUint64(to, generation)
	to = binary.BigEndian.AppendUint32(to, index)
	to = binary.BigEndian.AppendUint32(to, uint32(len(record)))
	sum := crc32.Update(crc32.Checksum(to[begin:], castagnoli), castagnoli, record)
	to = binary.BigEndian.AppendUint32(to, sum)
	return append(to, record...)
}

// parseRecord reads the record at the start of text; ok is false unless it is whole, of the generation, and the one with the index.
func parseRecord(text []byte, generation uint64, index uint32) (record []byte, size int, ok bool) {
	if len(text) < recordHead || binary.BigEndian.Uint32(text) != recordMagic {
		return nil, 0, false
	}
	length := binary.BigEndian.Uint32(text[16:])
	if binary.BigEndian.Uint64(text[4:]) != generation || binary.BigEndian.Uint32(text[12:]) != index || uint64(length) > uint64(len(text)-recordHead) {
		return nil, 0, false
	}
	record = text[recordHead : recordHead+int(length)]
	sum := crc32.Update(crc32.Checksum(text[:recordHead-4], castagnoli), castagnoli, record)
	return record, recordHead + int(length), sum == binary.BigEndian.Uint32(text[recordHead-4:])
}
