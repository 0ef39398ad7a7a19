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

// The files of a voter's directory.
const (
	storeFileName       = "voter.db"
	unreadStoreFileName = "voter.db.unread" // the last one that could not be read
	storeLockName       = "voter.lock"
	freshStoreSuffix    = ".new"
)

const (
	storeOpenTimeout = time.Second // for the lock that the engine takes itself
	storeAllocBytes  = 64 << 10    // by which the file grows
	// maxStoredEntries is far more than a voter keeps between two snapshots: broken pages may lead
	// in circles.
	maxStoredEntries = 20_000
	storeFormat      = 1 // of quorum.Meta
)

// The buckets of a store, and the keys of metaBucket; logBucket has entries by their index.
var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	metaKey      = []byte("meta")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
)

// store is a voter's quorum.StoredState on disk, in a bbolt file. Each value has a checksum: the
// engine guards its own pages, not what is in them.
type store struct {
	db   *bbolt.DB
	path string
	lock *os.File
}

// openStore opens a directory's store and returns what it has, nil for nothing. A file that can't
// be read is set aside, and unread says why. Of one that has a broken log entry, what was read
// before it is returned all the same: a log that ends before what was committed is rejected by
// quorum.New, one that ends before what was acknowledged by the records of other candidates. A file
// that can be read is written anew: pages that are broken and were not read would be met later, and
// the file is no longer than it must be. Another process's store is an error that wraps
// durable.ErrLocked.
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

// create writes a new file beside the old one, and puts it in its place.
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

// persist carries out a quorum.Persist in one transaction, and returns once it is on the disk. The
// engine maps its file: a page beyond its end is a fault, which must not end the process.
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

// putMeta writes what is no log.
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

// putLog writes the log's entries and deletes those that are replaced or compacted.
func putLog(log *bbolt.Bucket, p *quorum.Persist) error {
	if p.Snapshot != nil && p.Compact == 0 { // it replaces the log
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

// readStore reads all that a file has, nil for an empty store.
func readStore(path string) (stored *quorum.StoredState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if x := recover(); x != nil {
			stored, err = nil, fmt.Errorf("%s: %v", path, x) // the file stays open, and is set aside
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
			return fmt.Errorf("%s has %d bytes, and says %d", path, info.Size(), tx.Size())
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
		return nil, fmt.Errorf("the store has version %d, not %d", stored.Meta.Version, storeFormat)
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
			return fmt.Errorf("the store has more than %d commands", maxStoredEntries)
		}
		e := &raftpb.Entry{}
		entries = append(entries, e)
		return proto.Unmarshal(text, e)
	})
	return entries, err
}
