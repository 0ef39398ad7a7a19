package peering

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/router/quorum"
)

// checksumBytes is the length of the CRC-32C checksum that follows each value of a store. The value
// itself is JSON or a protobuf message.
const checksumBytes = 4

var (
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
	errChecksum = errors.New("a stored value has a wrong checksum")
)

func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// stripChecksum verifies the checksum at the end of b and returns a copy of the bytes before it. It
// returns nil for nil.
func stripChecksum(b []byte) ([]byte, error) {
	if b == nil {
		return nil, nil
	}
	n := len(b) - checksumBytes
	if n < 0 || crc32.Checksum(b[:n], castagnoli) != binary.BigEndian.Uint32(b[n:]) {
		return nil, errChecksum
	}
	return append(make([]byte, 0, len(b)), b[:n]...), nil
}

func putJSON(bucket *bbolt.Bucket, key []byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return bucket.Put(key, appendChecksum(text))
}

func putMessage(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return bucket.Put(key, appendChecksum(text))
}

// getMeta reads a store's quorum.Meta into m, and reports whether the store has one.
func getMeta(bucket *bbolt.Bucket, m *quorum.Meta) (exists bool, err error) {
	text, err := stripChecksum(bucket.Get(metaKey))
	if err != nil || text == nil {
		return false, err
	}
	if err := json.Unmarshal(text, m); err != nil {
		return false, fmt.Errorf("metadata of the voter's store: %w", err)
	}
	return true, nil
}

// getMessage reads the protobuf message under a key into m, and reports whether the key exists.
func getMessage(bucket *bbolt.Bucket, key []byte, m proto.Message) (exists bool, err error) {
	text, err := stripChecksum(bucket.Get(key))
	if err != nil || text == nil {
		return false, err
	}
	return true, proto.Unmarshal(text, m)
}

const maxIndex = math.MaxUint64 // the largest index of a log entry

// indexKey returns the key of a log entry. Big-endian keys sort in the order of the indexes.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// deleteEntries deletes the log entries with indexes from through to, both inclusive.
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	for key, _ := c.Seek(indexKey(from)); key != nil && binary.BigEndian.Uint64(key) <= to; key, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
