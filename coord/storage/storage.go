package storage

import (
	"errors"
	"fmt"
	"io/fs"
)

const (
	// MaxLogSize is the size in bytes from which on LogFull reports that a Save is due. A longer
	// log takes longer to recover, a shorter one has the state written more often.
	MaxLogSize = 256 << 10
	// MaxRecordSize bounds one record, in bytes.
	MaxRecordSize = 16 << 20
)

const logFile = "log"

var slotFiles = [2]string{"slot-a", "slot-b"}

// Files is the folder that a Store has for itself. Folder implements it.
type Files interface {
	// Read returns the content of a file, or an error that wraps fs.ErrNotExist if there is none.
	Read(name string) ([]byte, error)
	// WriteAt writes at an offset of a file and creates it if there is none.
	WriteAt(name string, data []byte, offset int64) error
	// Sync makes what was written to a file survive a loss of power.
	Sync(name string) error
	// SyncFolder makes the names of new files survive a loss of power.
	SyncFolder() error
}

// ErrSaveRequired is returned by Append after an earlier write failed, and in a new folder: what
// the log has is unknown, so the owner must Save the complete state before it appends.
var ErrSaveRequired = errors.New("storage: the complete state must be saved before records are appended")

// RecordTooLargeError is returned by Append for a record above MaxRecordSize. Nothing was written.
type RecordTooLargeError struct{ Size int }

// Error implements error.
func (e *RecordTooLargeError) Error() string {
	return fmt.Sprintf("storage: a record has %d bytes; at most %d are allowed", e.Size, MaxRecordSize)
}

// Store persists a state. Open returns one.
type Store struct {
	files        Files
	generation   uint64 // of the slot in force, 0 for none
	nextSlot     int    // which is written next
	logSize      int64
	nextIndex    uint32 // of the next record
	saveRequired bool
	unsynced     bool // what was recovered may not survive a loss of power
}

// Recovered is the content of a folder when it was opened.
type Recovered struct {
	State   []byte   // nil if nothing was ever saved
	Records [][]byte // appended since, in order
}

// Open recovers the newest complete state of a folder and the records since. Until SyncRecovered,
// Append or Save has succeeded it may be lost with a loss of power.
func Open(files Files) (*Store, *Recovered, error) {
	s := &Store{files: files}
	recovered := &Recovered{}
	for i, name := range slotFiles {
		data, err := readFile(files, name)
		if err != nil {
			return nil, nil, err
		}
		generation, state, ok := parseSlot(data)
		if ok && generation > s.generation {
			s.generation, s.nextSlot, recovered.State = generation, 1-i, state
		}
	}
	log, err := readFile(files, logFile)
	if err != nil {
		return nil, nil, err
	}
	if s.generation == 0 {
		s.saveRequired = true
		return s, recovered, nil
	}
	recovered.Records = s.readLog(log)
	s.unsynced = true
	return s, recovered, nil
}

// readLog returns the records of the generation in force, up to the first that is torn.
func (s *Store) readLog(log []byte) (records [][]byte) {
	for {
		record, size, ok := parseRecord(log[s.logSize:], s.generation, s.nextIndex)
		if !ok {
			return records
		}
		records = append(records, record)
		s.logSize += int64(size)
		s.nextIndex++
	}
}

// readFile returns the content of a file, nil if there is none.
func readFile(files Files, name string) ([]byte, error) {
	data, err := files.Read(name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("storage: %s: %w", name, err)
	}
	return data, nil
}

// LogFull reports whether the log is long enough for a Save to be due.
func (s *Store) LogFull() bool { return s.logSize >= MaxLogSize }

// SaveRequired reports whether Append would return ErrSaveRequired.
func (s *Store) SaveRequired() bool { return s.saveRequired }

// Unsynced reports whether what was recovered may not survive a loss of power.
func (s *Store) Unsynced() bool { return s.unsynced }

// SyncRecovered makes what was recovered survive a loss of power. Append and Save call it: else a
// slot that was never synced could be the only complete one while the other is overwritten.
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

// Append appends records to the log and syncs it. It returns ErrSaveRequired, a
// *RecordTooLargeError, or the error of the disk.
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
			return &RecordTooLargeError{Size: len(r)}
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

// Save writes a complete state to the slot that is not in force, syncs it and begins a new log.
func (s *Store) Save(state []byte) error {
	if err := s.SyncRecovered(); err != nil {
		return err
	}
	name := slotFiles[s.nextSlot]
	s.generation++ // never reused, even if this write fails
	if err := s.files.WriteAt(name, appendSlot(nil, s.generation, state), 0); err != nil {
		return s.writeFailed(name, err)
	}
	if err := s.files.Sync(name); err != nil {
		return s.writeFailed(name, err)
	}
	if err := s.files.SyncFolder(); err != nil {
		return s.writeFailed(name, err)
	}
	s.nextSlot = 1 - s.nextSlot
	s.logSize, s.nextIndex = 0, 0
	s.saveRequired = false
	return nil
}

// writeFailed takes note that the content of the disk is unknown.
func (s *Store) writeFailed(name string, err error) error {
	s.saveRequired = true
	return fmt.Errorf("storage: %s: %w", name, err)
}
