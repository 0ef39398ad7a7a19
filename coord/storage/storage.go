package storage

import (
	"errors"
	"fmt"
	"io/fs"
)

const (
	// MaxLogSize is the size of the log, in bytes, from which on LogFull reports that a Save is
	// due. A longer log takes longer to recover; with a shorter log the owner saves the complete
	// state more often.
	MaxLogSize = 256 << 10
	// MaxRecordSize is the maximum size of one record, in bytes.
	MaxRecordSize = 16 << 20
)

const logFile = "log"

var slotFiles = [2]string{"slot-a", "slot-b"}

// Files is a folder that one Store uses exclusively. Folder implements it.
type Files interface {
	// Read returns the content of a file. The error wraps fs.ErrNotExist if there is no such file.
	Read(name string) ([]byte, error)
	// WriteAt writes data at an offset of a file, and creates the file if it doesn't exist.
	WriteAt(name string, data []byte, offset int64) error
	// Sync makes the content of a file durable, so that it survives a loss of power.
	Sync(name string) error
	// SyncFolder makes the names of new files durable, so that they survive a loss of power.
	SyncFolder() error
}

// ErrSaveRequired is returned by Append after an earlier write failed, and while the folder has no
// complete state. The content of the log is unknown then, so the owner must Save the complete state
// before it appends.
var ErrSaveRequired = errors.New("storage: the complete state must be saved before records are appended")

// RecordTooLargeError is returned by Append if a record is larger than MaxRecordSize. Append has
// then written nothing. Size is the size of the record, in bytes.
type RecordTooLargeError struct{ Size int }

// Error implements error.
func (e *RecordTooLargeError) Error() string {
	return fmt.Sprintf("storage: record not appended: it has %d bytes, at most %d are allowed", e.Size, MaxRecordSize)
}

// Store persists the state of one process in a folder. Open returns a Store.
type Store struct {
	files        Files
	generation   uint64 // of the newest state or of a later Save that failed, 0 for none
	nextSlot     int    // the index in slotFiles of the slot to write next
	logSize      int64  // the size of the valid records in the log, in bytes
	nextIndex    uint32 // the index of the next record
	saveRequired bool   // records can't be appended before a Save
	unsynced     bool   // a loss of power may still destroy what was recovered
}

// Recovered is the content that Open found in a folder.
type Recovered struct {
	State   []byte   // the newest complete state, nil if no complete state was found
	Records [][]byte // the records appended since that state, in order
}

// Open recovers the newest complete state of a folder and the records appended since. A loss of
// power may still destroy them until SyncRecovered, Append or Save has succeeded.
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

// readLog returns the records of the current generation, up to the first that isn't valid: the rest
// of the log is torn or belongs to an earlier generation.
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

// readFile returns the content of a file, nil if the file doesn't exist.
func readFile(files Files, name string) ([]byte, error) {
	data, err := files.Read(name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("storage: reading %s: %w", name, err)
	}
	return data, nil
}

// LogFull reports whether the log has reached MaxLogSize, so that a Save is due.
func (s *Store) LogFull() bool { return s.logSize >= MaxLogSize }

// SaveRequired reports whether Append would return ErrSaveRequired.
func (s *Store) SaveRequired() bool { return s.saveRequired }

// Unsynced reports whether a loss of power may still destroy what Open recovered.
func (s *Store) Unsynced() bool { return s.unsynced }

// SyncRecovered makes what Open recovered durable, so that it survives a loss of power. Append and
// Save call it first. Otherwise, while Save overwrites one slot, the other one could be the only
// complete slot and still be lost because it was never synced.
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

// Append appends records to the log and syncs the log. The error is ErrSaveRequired, a
// *RecordTooLargeError, or an error of the disk.
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

// Save writes a complete state to the slot that doesn't hold the newest state, syncs it and begins a
// new log.
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

// writeFailed records that the content of the disk is unknown after a failed write or sync, and
// returns the error with the name of the file.
func (s *Store) writeFailed(name string, err error) error {
	s.saveRequired = true
	return fmt.Errorf("storage: writing %s: %w", name, err)
}
