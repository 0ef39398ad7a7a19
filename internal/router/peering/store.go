package peering

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
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

// storeFile is a voter's file in its durable folder; what could not be read is set aside under a second name, one at a time.
const (
	storeFileName       = "voter.db"
	unreadStoreFileName = "voter.db.unread"
	storeLockName       = "voter.lock"
	storeOpenTimeout    = time.Second // for a lock that the engine below takes itself
	storeAllocBytes     = 64 << 10    // bytes at a time
	// storeEntries is far more than a voter keeps between two snapshots: broken pages may lead in circles.
	maxStoredEntries = 20_000
)

var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	metaKey      = []byte("meta")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
	errChecksum  = errors.New("a sum is wrong")
)

// store is what a voter keeps. Each value has a sum behind it: the engine below guards its own pages, not what is in them.
type store struct {
	db   *bbolt.DB
	path string
	lock *os.File
}

// openStore opens a folder's store, and returns what it has: nil for nothing. What can't be read is set aside, and aside says why. What
// can is written anew: pages that were broken and not read would be met later, and the file is no longer than it must be.
func openStore(folder string) (s *store, had *quorum.StoredState, aside error, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, nil, nil, err
	}
	lock, err := durable.Lock(folder, storeLockName)
	if err != nil {
		return nil, nil, nil, err
	}
	defer func() {
		if err != nil {
			lock.Close()
		}
	}()
	path := filepath.Join(folder, storeFileName)
	if _, err := os.Stat(path); err == nil {
		if had, aside = readStore(path); aside != nil {
			if err := os.Rename(path, filepath.Join(folder, unreadStoreFileName)); err != nil {
				return nil, nil, nil, err
			}
		}
	}
	fresh := path + ".new"
	os.Remove(fresh)
	s = &store{path: path, lock: lock}
	if s.db, err = bbolt.Open(fresh, 0o644, &bbolt.Options{Timeout: storeOpenTimeout, FreelistType: bbolt.FreelistMapType}); err != nil {
		return nil, nil, nil, err
	}
	s.db.AllocSize = storeAllocBytes
	if had != nil {
		err = s.persist(&quorum.Persist{Reset: true, Meta: &had.Meta, HardState: had.HardState, Snapshot: had.Snapshot, Entries: had.Entries})
	}
	if err == nil {
		err = os.Rename(fresh, path)
	}
	if err == nil {
		err = durable.SyncDirectory(folder)
	}
	if err != nil {
		s.db.Close()
		return nil, nil, nil, err
	}
	return s, had, aside, nil
}

// readStore reads all that is in a file. A page that the file ends before is an error here, not the end of the process.
func readStore(path string) (had *quorum.StoredState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if x := recover(); x != nil {
			had, err = nil, fmt.Errorf("%s: %v", path, x) // what was opened stays so; the file is set aside
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
		had, err = readAll(tx)
		return err
	})
	return had, err
}

func readAll(tx *bbolt.Tx) (*quorum.StoredState, error) {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if meta == nil || log == nil {
		return nil, nil
	}
	had := &quorum.StoredState{}
	text, err := stripChecksum(meta.Get(metaKey))
	if err != nil || text == nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &had.Meta); err != nil {
		return nil, fmt.Errorf("the store's description: %w", err)
	}
	if had.Meta.Version != 1 {
		return nil, fmt.Errorf("the store has version %d, not 1", had.Meta.Version)
	}
	message := func(key []byte, m proto.Message) (bool, error) {
		text, err := stripChecksum(meta.Get(key))
		if err != nil || text == nil {
			return false, err
		}
		return true, proto.Unmarshal(text, m)
	}
	hard, snap := &raftpb.HardState{}, &raftpb.Snapshot{}
	if is, err := message(hardStateKey, hard); err != nil {
		return nil, err
	} else if is {
		had.HardState = hard
	}
	if is, err := message(snapshotKey, snap); err != nil {
		return nil, err
	} else if is {
		had.Snapshot = snap
	}
	return had, log.ForEach(func(_, v []byte) error {
		text, err := stripChecksum(v)
		if err != nil {
			return err
		}
		if len(had.Entries) >= maxStoredEntries {
			return fmt.Errorf("the store has more than %d commands", maxStoredEntries)
		}
		e := &raftpb.Entry{}
		had.Entries = append(had.Entries, e)
		return proto.Unmarshal(text, e)
	})
}

func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// unsum returns a copy of what stands before the sum, nil for nothing.
func stripChecksum(b []byte) ([]byte, error) {
	if b == nil {
		return nil, nil
	}
	if len(b) < 4 || crc32.Checksum(b[:len(b)-4], castagnoli) != binary.BigEndian.Uint32(b[len(b)-4:]) {
		return nil, errChecksum
	}
	return append(make([]byte, 0, len(b)), b[:len(b)-4]...), nil
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// keep writes one Keep, and returns once it is on the disk.
func (s *store) persist(k *quorum.Persist) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("%s: %v", s.path, x)
		}
	}()
	return s.db.Update(func(tx *bbolt.Tx) error {
		if k.Reset {
			for _, b := range [][]byte{metaBucket, logBucket} {
				if err := tx.DeleteBucket(b); err != nil && !errors.Is(err, bbolterrors.ErrBucketNotFound) {
					return err
				}
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
		if k.Meta != nil {
			text, err := json.Marshal(k.Meta)
			if err == nil {
				err = meta.Put(metaKey, appendChecksum(text))
			}
			if err != nil {
				return err
			}
		}
		for _, x := range []struct {
			key []byte
			m   proto.Message
			is  bool
		}{{hardStateKey, k.HardState, k.HardState != nil}, {snapshotKey, k.Snapshot, k.Snapshot != nil}} {
			if !x.is {
				continue
			}
			text, err := proto.Marshal(x.m)
			if err == nil {
				err = meta.Put(x.key, appendChecksum(text))
			}
			if err != nil {
				return err
			}
		}
		if k.Snapshot != nil && k.Compact == 0 {
			if err := deleteEntries(log, 0, 1<<64-1); err != nil {
				return err
			}
		}
		if len(k.Entries) > 0 {
			if err := deleteEntries(log, k.Entries[0].GetIndex(), 1<<64-1); err != nil {
				return err
			}
		}
		for _, e := range k.Entries {
			text, err := proto.Marshal(e)
			if err == nil {
				err = log.Put(indexKey(e.GetIndex()), appendChecksum(text))
			}
			if err != nil {
				return err
			}
		}
		if k.Compact > 0 {
			return deleteEntries(log, 0, k.Compact)
		}
		return nil
	})
}

// cutLog takes away the entries from one to another, both included.
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	for key, _ := c.Seek(indexKey(from)); key != nil && binary.BigEndian.Uint64(key) <= to; key, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func (s *store) close() {
	s.db.Close()
	s.lock.Close()
}
