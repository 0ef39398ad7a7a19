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
	slotMagic       = 0x52535331 // "RSS1"
	recordMagic     = 0x52534c31 // "RSL1"
	slotHeaderLen   = 4 + 8 + 8 + 4
	recordHeaderLen = 4 + 8 + 4 + 4 + 4
	logFile         = "log"

	// MostLog is the size in bytes from which on the log is due to be replaced by a slot.
	MaxLogSize = 256 << 10
	// MostRecord bounds one record, in bytes.
	MaxRecordSize = 16 << 20
)

var slotFiles = [2]string{"slot-a", "slot-b"}

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// ErrBroken says that an earlier write failed, and that only a Save can be next.
var ErrSaveRequired = errors.New("storage: an earlier write failed; the whole state must be saved")

// Store keeps a state. Open makes one.
type Store struct {
	files        Files
	generation   uint64 // of the slot in force, 0 for none
	nextSlot     int    // where the next one goes
	logSize      int64  // of the log
	nextIndex    uint32 // of the next record
	saveRequired bool
	unsynced     bool // what was found may not survive a loss of power
}

// Found is what a Store has from before.
type Recovered struct {
	State   []byte   // of the slot in force; nil if nothing was ever saved
	Records [][]byte // appended since, in order
}

// Open reads what is there. A life before may have ended between a write and its sync, so none of it is certain to outlive a loss of power
// until Secure, Append or Save has succeeded.
func Open(files Files) (*Store, *Recovered, error) {
	s := &Store{files: files}
	found := &Recovered{}
	for i, name := range slotFiles {
		text, err := readFile(files, name)
		if err != nil {
			return nil, nil, err
		}
		generation, state, ok := parseSlot(text)
		if ok && generation > s.generation {
			s.generation, s.nextSlot, found.State = generation, 1-i, state
		}
	}
	log, err := readFile(files, logFile)
	if err != nil {
		return nil, nil, err
	}
	for {
		record, size, ok := parseRecord(log[s.logSize:], s.generation, s.nextIndex)
		if !ok {
			break
		}
		found.Records = append(found.Records, record)
		s.logSize, s.nextIndex = s.logSize+int64(size), s.nextIndex+1
	}
	if s.generation == 0 {
		found.Records, s.logSize, s.nextIndex = nil, 0, 0
		s.saveRequired = true // a first Save is due
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
func (s *Store) LogFull() bool { return s.logSize >= MaxLogSize }

// Broken tells that only a Save can be next.
func (s *Store) SaveRequired() bool { return s.saveRequired }

// Unsynced tells that what was found may not survive a loss of power.
func (s *Store) Unsynced() bool { return s.unsynced }

// Secure syncs what was found. Without it a slot in force that was never synced would be the only whole one while the other is
// overwritten.
func (s *Store) SyncRecovered() error {
	if !s.unsynced {
		return nil
	}
	for _, name := range []string{slotFiles[1-s.nextSlot], logFile} {
		if err := s.files.Sync(name); err != nil {
			return s.writeFailed(name, err)
		}
	}
	if err := s.files.SyncFolder(); err != nil {
		return s.writeFailed(logFile, err)
	}
	s.unsynced = false
	return nil
}

// Append adds records to the log and syncs them.
func (s *Store) Append(records ...[]byte) error {
	if s.saveRequired {
		return ErrSaveRequired
	}
	if err := s.SyncRecovered(); err != nil {
		return err
	}
	var out []byte
	index := s.nextIndex
	for _, r := range records {
		if len(r) > MaxRecordSize {
			return fmt.Errorf("storage: a record of %d bytes; there may be %d", len(r), MaxRecordSize)
		}
		out = appendRecord(out, s.generation, index, r)
		index++
	}
	if err := s.files.WriteAt(logFile, out, s.logSize); err != nil {
		return s.writeFailed(logFile, err)
	}
	if err := s.files.Sync(logFile); err != nil {
		return s.writeFailed(logFile, err)
	}
	s.logSize, s.nextIndex = s.logSize+int64(len(out)), index
	return nil
}

// Save writes the whole state to the slot whose turn it is. The log begins anew.
func (s *Store) Save(state []byte) error {
	if err := s.SyncRecovered(); err != nil {
		return err
	}
	name := slotFiles[s.nextSlot]
	s.generation++ // never used again, whatever becomes of this one
	if err := s.files.WriteAt(name, appendSlot(nil, s.generation, state), 0); err != nil {
		return s.writeFailed(name, err)
	}
	if err := s.files.Sync(name); err != nil {
		return s.writeFailed(name, err)
	}
	if err := s.files.SyncFolder(); err != nil {
		return s.writeFailed(name, err)
	}
	s.nextSlot, s.logSize, s.nextIndex, s.saveRequired = 1-s.nextSlot, 0, 0, false
	return nil
}

// fail notes that a write failed: what is on the disk is unknown, so the log is not to be continued.
func (s *Store) writeFailed(name string, err error) error {
	s.saveRequired = true
	return fmt.Errorf("storage: %s: %w", name, err)
}

// appendSlot writes magic, generation, length and sum, then the state.
func appendSlot(to []byte, generation uint64, state []byte) []byte {
	begin := len(to)
	to = binary.BigEndian.AppendUint32(to, slotMagic)
	to = binary.BigEndian.AppendUint64(to, generation)
	to = binary.BigEndian.AppendUint64(to, uint64(len(state)))
	sum := crc32.Update(crc32.Checksum(to[begin:], crcTable), crcTable, state)
	to = binary.BigEndian.AppendUint32(to, sum)
	return append(to, state...)
}

// parseSlot reads a slot; ok is false unless it is whole.
func parseSlot(text []byte) (generation uint64, state []byte, ok bool) {
	if len(text) < slotHeaderLen || binary.BigEndian.Uint32(text) != slotMagic {
		return 0, nil, false
	}
	generation = binary.BigEndian.Uint64(text[4:])
	length := binary.BigEndian.Uint64(text[12:])
	if length > uint64(len(text)-slotHeaderLen) {
		return 0, nil, false
	}
	state = text[slotHeaderLen : slotHeaderLen+int(length)]
	sum := crc32.Update(crc32.Checksum(text[:slotHeaderLen-4], crcTable), crcTable, state)
	return generation, state, generation > 0 && sum == binary.BigEndian.Uint32(text[slotHeaderLen-4:])
}

// appendRecord writes magic, generation, index, length and sum, then the record.
func appendRecord(to []byte, generation uint64, index uint32, record []byte) []byte {
	begin := len(to)
	to = binary.BigEndian.AppendUint32(to, recordMagic)
	to = binary.BigEndian.AppendUint64(to, generation)
	to = binary.BigEndian.AppendUint32(to, index)
	to = binary.BigEndian.AppendUint32(to, uint32(len(record)))
	sum := crc32.Update(crc32.Checksum(to[begin:], crcTable), crcTable, record)
	to = binary.BigEndian.AppendUint32(to, sum)
	return append(to, record...)
}

// parseRecord reads the record at the start of text; ok is false unless it is whole, of the generation, and the one with the index.
func parseRecord(text []byte, generation uint64, index uint32) (record []byte, size int, ok bool) {
	if len(text) < recordHeaderLen || binary.BigEndian.Uint32(text) != recordMagic {
		return nil, 0, false
	}
	length := binary.BigEndian.Uint32(text[16:])
	if binary.BigEndian.Uint64(text[4:]) != generation || binary.BigEndian.Uint32(text[12:]) != index || uint64(length) > uint64(len(text)-recordHeaderLen) {
		return nil, 0, false
	}
	record = text[recordHeaderLen : recordHeaderLen+int(length)]
	sum := crc32.Update(crc32.Checksum(text[:recordHeaderLen-4], crcTable), crcTable, record)
	return record, recordHeaderLen + int(length), sum == binary.BigEndian.Uint32(text[recordHeaderLen-4:])
}
