package snapshot

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/balance"
	"reachspread/internal/protocol"
)

// Version is the version of the file format. Decode rejects files with any other version.
const Version = 1

// Limits of a file and its content.
const (
	MaxBytes        = 1 << 20 // size of a file
	MaxOpenRequests = 2048    // open requests in a state
	MaxRouters      = 4096    // routers in a state
)

// Layout of a file: the magic, and offsets and sizes in bytes.
const (
	magic            = "RSSN"
	versionOffset    = 4
	generationOffset = 6
	lengthOffset     = 14
	headerSize       = 18
	checksumSize     = 8
)

// GenerationFiles are the names of the files for the two latest generations. The last bit of a
// generation's number is the index of its file.
var GenerationFiles = [2]string{"router.0.snap", "router.1.snap"}

// OpenRequestsFile is the name of the file of open requests. Its State contains only the router's
// name, the open requests and the number of omitted ones.
const OpenRequestsFile = "router.open"

// State is the content of a file: what a router stores for its next process.
type State struct {
	Router     string
	Zone       string    `json:",omitempty"`
	Boot       uint32    // boot number of the process that saved the state
	SavedAt    time.Time `json:"At"` // for human readers only; no decision depends on it
	List       *protocol.List
	ListSource string             `json:"ListFrom"` // discovery address that List came from
	Learned    *balance.Learned   `json:",omitempty"`
	Demand     map[string]float64 `json:",omitempty"` // usual demand for work, by class

	Incarnation     uint32        `json:",omitempty"`
	HighestToken    uint64        `json:"Token,omitempty"`
	SettingsDigest  string        `json:"Settings,omitempty"`
	Routers         []Router      `json:"View,omitempty"` // members of the fleet
	Drained         bool          `json:",omitempty"`     // an operator has drained this router
	OpenRequests    []OpenRequest `json:"Open,omitempty"`
	OmittedRequests int           `json:"OpenMore,omitempty"` // open requests left out because of the limits
}

// Router is a member of the fleet. Boot is the boot number of its process when the state was saved.
type Router struct {
	Name, Addr string
	Boot       uint32
}

// OpenRequest is a request that the router has accepted but not yet answered.
type OpenRequest struct{ ID, Class string }

// Encode returns the bytes of a file. It omits requests and routers beyond the limits. It returns an
// error if the state exceeds MaxBytes even without open requests: it never cuts the list of hosts.
func Encode(s *State, generation uint64) ([]byte, error) {
	c := *s
	if n := len(c.OpenRequests); n > MaxOpenRequests {
		c.OpenRequests, c.OmittedRequests = c.OpenRequests[:MaxOpenRequests], c.OmittedRequests+n-MaxOpenRequests
	}
	c.Routers = c.Routers[:min(len(c.Routers), MaxRouters)]
	content, err := marshalContent(&c)
	if err != nil {
		return nil, err
	}
	b := binary.BigEndian.AppendUint16([]byte(magic), Version)
	b = binary.BigEndian.AppendUint64(b, generation)
	b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
	b = append(b, content...)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)), nil
}

// marshalContent returns the JSON content of a file. It omits all open requests if the file would
// exceed MaxBytes with them.
func marshalContent(s *State) ([]byte, error) {
	for {
		content, err := json.Marshal(s)
		if err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		size := headerSize + len(content) + checksumSize
		if size <= MaxBytes {
			return content, nil
		}
		if len(s.OpenRequests) == 0 {
			return nil, fmt.Errorf("snapshot: encoded file has %d bytes; at most %d are allowed", size, MaxBytes)
		}
		s.OmittedRequests, s.OpenRequests = s.OmittedRequests+len(s.OpenRequests), nil
	}
}

// CorruptError reports why a file can't be read and the byte offset of the fault.
type CorruptError struct {
	Offset int
	Reason string
}

func (e *CorruptError) Error() string { return fmt.Sprintf("byte %d: %s", e.Offset, e.Reason) }

// Decode returns the state and the generation of a file. It accepts a file as a whole or rejects it.
// Every error is a *CorruptError.
func Decode(b []byte) (*State, uint64, error) {
	generation, content, err := decodeFrame(b)
	if err != nil {
		return nil, 0, err
	}
	s := &State{}
	// The checksum matches, so the file is intact; its writer encoded content that this version
	// can't read.
	if err := json.Unmarshal(content, s); err != nil {
		return nil, 0, &CorruptError{headerSize, "the content: " + err.Error()}
	}
	if s.List != nil {
		if err := s.List.Validate(); err != nil {
			return nil, 0, &CorruptError{headerSize, "the content: " + err.Error()}
		}
	}
	return s, generation, nil
}

// decodeFrame checks a file's header, length and checksum, and returns its generation and content.
func decodeFrame(b []byte) (generation uint64, content []byte, err error) {
	switch {
	case len(b) == 0:
		return 0, nil, &CorruptError{0, "the file is empty"}
	case len(b) > MaxBytes:
		return 0, nil, &CorruptError{MaxBytes, fmt.Sprintf("the file has %d bytes; there may be %d", len(b), MaxBytes)}
	case len(b) < headerSize+checksumSize:
		return 0, nil, &CorruptError{len(b), "the file ends within its head"}
	case string(b[:versionOffset]) != magic:
		return 0, nil, &CorruptError{0, fmt.Sprintf("the mark is %q, not %q", b[:versionOffset], magic)}
	}
	if v := binary.BigEndian.Uint16(b[versionOffset:]); v != Version {
		return 0, nil, &CorruptError{versionOffset, fmt.Sprintf("the format has version %d, not %d: another program wrote it", v, Version)}
	}
	n := int(binary.BigEndian.Uint32(b[lengthOffset:]))
	if want := headerSize + n + checksumSize; n > MaxBytes || len(b) != want {
		return 0, nil, &CorruptError{min(len(b), want), fmt.Sprintf("the file has %d bytes, and its head says %d", len(b), want)}
	}
	end := headerSize + n
	if binary.BigEndian.Uint64(b[end:]) != xxhash.Sum64(b[:end]) {
		return 0, nil, &CorruptError{end, "the sum is not that of what stands before it"}
	}
	return binary.BigEndian.Uint64(b[generationOffset:]), b[headerSize:end], nil
}

// Newest decodes the files of both generations and returns the state of the newer intact one, or nil
// if neither is intact. A nil element of files stands for a file that does not exist. The element of
// errs for a damaged file says what is wrong with it.
func Newest(files [2][]byte) (s *State, generation uint64, errs [2]error) {
	for i, b := range files {
		if b == nil {
			continue
		}
		decoded, g, err := Decode(b)
		errs[i] = err
		if err == nil && (s == nil || g > generation) {
			s, generation = decoded, g
		}
	}
	return s, generation, errs
}
