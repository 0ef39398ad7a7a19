package peering

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/durable"
	"reachspread/internal/router/quorum"
)

// The names of the files in a voter's directory. A new store file has freshStoreSuffix until it
// replaces the old one.
const (
	storeFileName       = "voter.db"
	unreadStoreFileName = "voter.db.unread" // the last store file that could not be read
	storeLockName       = "voter.lock"
	freshStoreSuffix    = ".new"
)

const (
	storeOpenTimeout = time.Second // how long bbolt waits for its own file lock
	storeAllocBytes  = 64 << 10    // the file grows in steps of this size
	// maxStoredEntries bounds how many log entries are read from a store, because broken pages may
	// refer to each other in a cycle. It is far above what a voter keeps between two snapshots.
	maxStoredEntries = 20_000
	storeFormat      = 1 // quorum.Meta.Version of the stores that this version reads
)

// The buckets of a store and the keys in metaBucket. The keys in logBucket are the indexes of the
// log entries.
var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	metaKey      = []byte("meta")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
)

// store keeps a voter's quorum.StoredState on disk, in a bbolt file. Each value has a checksum,
// because bbolt's own checksums do not cover the values.
type store struct {
	db   *bbolt.DB
	path string
	lock *os.File
}

// openStore opens the store in a directory and returns its content, nil if it is empty. If another
// process uses the store, the error wraps durable.ErrLocked.
//
// A file that can't be read is renamed to unreadStoreFileName, and unread is the reason. If a log
// entry is broken, openStore still returns what was read before that entry. This is safe: quorum.New
// rejects a log that ends before the commit index, and the records that other candidates keep of
// this store reveal a log that ends before the last acknowledged entry.
//
// openStore copies the content of a readable file into a new file. The copy has no broken pages
// that were not read now and would cause errors later, and it is no larger than necessary.
func openStore(directory string) (s *store, stored *quorum.StoredState, unread error, err error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, nil, nil, err
	}
	lock, err := durable.Lock(directory, storeLockName)
	if err != nil {
		return nil, nil, nil, err
	}
	defer func() {
		if err != nil {
			lock.Close()
		}
	}()
	path := filepath.Join(directory, storeFileName)
	if _, err := os.Stat(path); err == nil {
		if stored, unread = readStore(path); unread != nil {
			if err := os.Rename(path, filepath.Join(directory, unreadStoreFileName)); err != nil {
				return nil, nil, nil, err
			}
		}
	}
	s = &store{path: path, lock: lock}
	if err := s.create(stored); err != nil {
		return nil, nil, nil, err
	}
	return s, stored, unread, nil
}

// create writes a new file with the stored state in the same directory and renames it over the old
// file.
func (s *store) create(stored *quorum.StoredState) (err error) {
	fresh := s.path + freshStoreSuffix
	os.Remove(fresh)
	if s.db, err = bbolt.Open(fresh, 0o644, &bbolt.Options{Timeout: storeOpenTimeout, FreelistType: bbolt.FreelistMapType}); err != nil {
		return err
	}
	s.db.AllocSize = storeAllocBytes
	if stored != nil {
		err = s.persist(&quorum.Persist{Reset: true, Meta: &stored.Meta, HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: stored.Entries})
	}
	if err == nil {
		err = os.Rename(fresh, s.path)
	}
	if err == nil {
		err = durable.SyncDirectory(filepath.Dir(s.path))
	}
	if err != nil {
		s.db.Close()
	}
	return err
}

func (s *store) close() {
	s.db.Close()
	s.lock.Close()
}

// persist carries out a quorum.Persist in one transaction, and returns once the transaction is
// synced to disk. It turns memory faults into errors: bbolt maps its file into memory, and access to
// a page beyond the end of the file would otherwise crash the process.
func (s *store) persist(p *quorum.Persist) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("%s: %v", s.path, x)
		}
	}()
	return s.db.Update(func(tx *bbolt.Tx) error {
		if p.Reset {
			if err := deleteBuckets(tx); err != nil {
				return err
			}
		}
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		log, err := tx.CreateBucketIfNotExists(logBucket)
		if err != nil {
			return err
		}
		if err := putMeta(meta, p); err != nil {
			return err
		}
		return putLog(log, p)
	})
}

func deleteBuckets(tx *bbolt.Tx) error {
	for _, b := range [][]byte{metaBucket, logBucket} {
		if err := tx.DeleteBucket(b); err != nil && !errors.Is(err, bbolterrors.ErrBucketNotFound) {
			return err
		}
	}
	return nil
}

// putMeta writes all parts of a quorum.Persist except the log entries.
func putMeta(meta *bbolt.Bucket, p *quorum.Persist) error {
	if p.Meta != nil {
		if err := putJSON(meta, metaKey, p.Meta); err != nil {
			return err
		}
	}
	if p.HardState != nil {
		if err := putMessage(meta, hardStateKey, p.HardState); err != nil {
			return err
		}
	}
	if p.Snapshot != nil {
		return putMessage(meta, snapshotKey, p.Snapshot)
	}
	return nil
}

// putLog writes the log entries of a quorum.Persist and deletes the entries that it replaces or
// compacts.
func putLog(log *bbolt.Bucket, p *quorum.Persist) error {
	if p.Snapshot != nil && p.Compact == 0 { // the snapshot replaces the log
		if err := deleteEntries(log, 0, maxIndex); err != nil {
			return err
		}
	}
	if len(p.Entries) > 0 {
		if err := deleteEntries(log, p.Entries[0].GetIndex(), maxIndex); err != nil {
			return err
		}
	}
	for _, e := range p.Entries {
		if err := putMessage(log, indexKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	if p.Compact > 0 {
		return deleteEntries(log, 0, p.Compact)
	}
	return nil
}

// readStore reads the complete content of a store file, nil for an empty store. After a broken log
// entry it returns both an error and what was read before that entry.
func readStore(path string) (stored *quorum.StoredState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if x := recover(); x != nil {
			stored, err = nil, fmt.Errorf("%s: %v", path, x) // the caller renames the file
		}
	}()
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: storeOpenTimeout, ReadOnly: true})
	if err != nil {
		return nil, err
	}
	defer db.Close()
	err = db.View(func(tx *bbolt.Tx) error {
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		if info.Size() < tx.Size() {
			return fmt.Errorf("store file %s is truncated: it has %d bytes, its header states %d", path, info.Size(), tx.Size())
		}
		stored, err = readBuckets(tx)
		return err
	})
	return stored, err
}

func readBuckets(tx *bbolt.Tx) (*quorum.StoredState, error) {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if meta == nil || log == nil {
		return nil, nil
	}
	stored := &quorum.StoredState{}
	exists, err := getMeta(meta, &stored.Meta)
	if err != nil || !exists {
		return nil, err
	}
	if stored.Meta.Version != storeFormat {
		return nil, fmt.Errorf("the store has format version %d; only version %d is supported", stored.Meta.Version, storeFormat)
	}
	hardState, snapshot := &raftpb.HardState{}, &raftpb.Snapshot{}
	if exists, err = getMessage(meta, hardStateKey, hardState); err != nil {
		return nil, err
	} else if exists {
		stored.HardState = hardState
	}
	if exists, err = getMessage(meta, snapshotKey, snapshot); err != nil {
		return nil, err
	} else if exists {
		stored.Snapshot = snapshot
	}
	stored.Entries, err = readEntries(log)
	return stored, err
}

func readEntries(log *bbolt.Bucket) (entries []*raftpb.Entry, err error) {
	err = log.ForEach(func(_, value []byte) error {
		text, err := stripChecksum(value)
		if err != nil {
			return err
		}
		if len(entries) >= maxStoredEntries {
			return fmt.Errorf("the store has more than %d log entries", maxStoredEntries)
		}
		e := &raftpb.Entry{}
		entries = append(entries, e)
		return proto.Unmarshal(text, e)
	})
	return entries, err
}
